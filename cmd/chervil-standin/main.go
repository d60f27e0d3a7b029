// Command chervil-standin fakes parts of the platform for demos and scenarios: with part
// "kv" the key-value service, with part "pool" the workers, the executors and the list of
// hosts.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"github.com/chervilrun/chervilrun/internal/process"
	"github.com/chervilrun/chervilrun/internal/settings"
	"github.com/chervilrun/chervilrun/internal/standin/kv"
	"github.com/chervilrun/chervilrun/internal/standin/platform"
	"github.com/chervilrun/chervilrun/internal/standin/pool"
	"github.com/chervilrun/chervilrun/internal/store/memory"
)

const (
	name    = "chervil-standin"
	purpose = "fakes parts of the platform for demos and scenarios"

	partStore = "kv"
	partPool  = "pool"

	maxExecutors   = 1000
	maxSlots       = 1000
	maxConnections = 10_000
)

type options struct {
	part       string
	deployment string
	executors  platform.Executors
}

func (o *options) declare(set *settings.Set) {
	set.Text(&o.part, "part", partStore, "part of the platform to fake: kv or pool")
	set.Text(&o.deployment, "deployment", "chikushi", "deployment whose pool to fake: chikushi or vesofeny")
	set.Int(&o.executors.PerService, "executors", 4, 0, maxExecutors, "number of executors of each service")
	set.Int(&o.executors.Slots, "executor-slots", 8, 1, maxSlots, "number of requests that an executor runs concurrently")
	set.Int(&o.executors.Connections, "executor-connections", 60, 1, maxConnections, "maximum number of connections that an executor accepts")
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var opts options
	set := settings.New(name, purpose, os.Stderr)
	opts.declare(set)
	p, code := process.Start(name, purpose, args, &process.Settings{}, set)
	if p == nil {
		return code
	}
	handler, err := opts.handler(p)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return process.ExitSettings
	}
	p.Mux.Handle("/", handler)
	return p.Serve(context.Background())
}

func (o *options) handler(p *process.Process) (http.Handler, error) {
	switch o.part {
	case partStore:
		return kv.NewServer(memory.New(p.Clock)), nil
	case partPool:
		return o.platform(p)
	}
	return nil, settings.Invalid{Key: "part", Value: o.part, Expected: "kv or pool"}
}

func (o *options) platform(p *process.Process) (http.Handler, error) {
	topology, known := pool.Topologies()[o.deployment]
	if !known {
		return nil, settings.Invalid{Key: "deployment", Value: o.deployment, Expected: "chikushi or vesofeny"}
	}
	o.executors.Services = platform.Services(o.deployment)
	return platform.New(p.Clock, p.Address(), topology, o.executors)
}
