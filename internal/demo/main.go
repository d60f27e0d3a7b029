// Command demo runs whole deployments on loopback, one after the other: it starts the
// stand-ins of the platform and three entry hosts as separate processes, applies the
// configuration that the deployment's example of the operator library prints, sends
// requests and jobs, takes an availability zone out of service and returns it, shows the
// timeline of a gang, merged from all processes, and stops the processes. It exits with
// 1 if any outcome is not the expected one. `make demo` builds the programs first.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/localcluster"
)

const (
	demoHosts   = 3
	demoTimeout = 3 * time.Minute
	dirMode     = 0o700
)

func main() {
	bin := flag.String("bin", "bin", "folder of the built programs")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	for _, d := range deployments() {
		if err := runDeployment(ctx, *bin, d); err != nil {
			fmt.Fprintf(os.Stderr, "demo: %s: %v\n", d.name, err)
			os.Exit(1)
		}
	}
	fmt.Println("demo: every outcome was the expected one")
}

// runDeployment starts one deployment, carries out the demo and stops it. It keeps the
// logs if the demo fails.
func runDeployment(ctx context.Context, bin string, d deployment) (err error) {
	dir, err := os.MkdirTemp("", "chervilrun-demo-")
	if err != nil {
		return errors.Wrap(err, "create log folder")
	}
	cluster := localcluster.New(bin, dir, localcluster.Topology{
		Deployment: d.name,
		Zones:      d.zones,
		Hosts:      demoHosts,
	})
	defer func() {
		closeErr := cluster.Close()
		if err == nil {
			err = closeErr
		}
		if err == nil {
			err = os.RemoveAll(dir)
			return
		}
		fmt.Fprintln(os.Stderr, "demo: logs are in", dir)
	}()
	demo := &demo{deployment: d, cluster: cluster, bin: bin, configPath: filepath.Join(dir, d.name+".toml")}
	return demo.run(ctx)
}
