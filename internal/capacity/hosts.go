package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/localcluster"
)

// idleHostCounts lists the numbers of entry hosts of the measured deployments.
var idleHostCounts = []int{3, 6, 9, 18}

const (
	// idleSettleTime lets ownership and views become stable before idleWindow is measured.
	idleSettleTime     = 5 * time.Second
	idleWindow         = 10 * time.Second
	startTimeout       = time.Minute
	applyRetryInterval = 100 * time.Millisecond
)

// idleDeployments returns the measurement of idle deployments, which runs the programs
// in bin: store calls, processor time and memory of each role.
func idleDeployments(bin string) func() []Figure {
	return func() []Figure {
		var figures []Figure
		for _, hosts := range idleHostCounts {
			figures = append(figures, idleFigures(bin, hosts)...)
		}
		return figures
	}
}

func idleFigures(bin string, hosts int) []Figure {
	dir, err := os.MkdirTemp("", "chervilrun-capacity-")
	must(err)
	defer os.RemoveAll(dir)
	cluster := localcluster.New(bin, dir, localcluster.Topology{
		Deployment: "chikushi",
		Zones:      []string{"fukuoka", "kumamoto", "kagoshima"},
		Hosts:      hosts,
	})
	defer func() { must(cluster.Close()) }()
	must(startDeployment(cluster, bin, dir))
	time.Sleep(idleSettleTime)
	before := sampleRoles(cluster, hosts)
	time.Sleep(idleWindow)
	after := sampleRoles(cluster, hosts)
	return roleFigures(before, after, hosts)
}

func startDeployment(cluster *localcluster.Cluster, bin, dir string) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := cluster.Start(ctx, "*"); err != nil {
		return err
	}
	text, err := exec.CommandContext(ctx, filepath.Join(bin, "chikushi")).Output()
	if err != nil {
		return errors.Wrap(err, "operator program")
	}
	path := filepath.Join(dir, "chikushi.toml")
	if err := writeFile(path, text); err != nil {
		return err
	}
	for {
		apply := exec.CommandContext(ctx, filepath.Join(bin, "chervilctl"), "config", "apply", "-base", "0", path)
		apply.Env = append(os.Environ(),
			"CHERVILCTL_ADDRESS=http://"+cluster.Address("host1/admin"),
			"CHERVILCTL_TOKEN="+localcluster.BootstrapToken,
		)
		if output, err := apply.CombinedOutput(); err == nil {
			return cluster.WaitReady(ctx, "*")
		} else if ctx.Err() != nil {
			return errors.Wrapf(err, "apply: %s", output)
		}
		time.Sleep(applyRetryInterval)
	}
}

func writeFile(path string, text []byte) error {
	const fileMode = 0o600
	return errors.Wrap(os.WriteFile(path, text, fileMode), "capacity")
}

// roleSample is the sum of the metrics of all processes of one role.
type roleSample struct {
	// storeCalls counts calls by kind.
	storeCalls    map[string]float64
	cpuSeconds    float64
	residentBytes float64
}

func sampleRoles(cluster *localcluster.Cluster, hosts int) map[string]roleSample {
	samples := map[string]roleSample{}
	for _, role := range []string{localcluster.RoleEntry, localcluster.RoleScheduler, localcluster.RoleAdmin} {
		sum := roleSample{storeCalls: map[string]float64{}}
		for host := 1; host <= hosts; host++ {
			name := localcluster.HostName(host) + "/" + role
			must(sum.addProcess("http://" + cluster.Address(name) + "/metrics"))
		}
		samples[role] = sum
	}
	return samples
}

// addProcess fetches the metrics of one process and adds them.
func (s *roleSample) addProcess(url string) error {
	response, err := http.Get(url)
	if err != nil {
		return errors.Wrap(err, "metrics")
	}
	defer response.Body.Close()
	return s.addMetrics(response.Body)
}

func (s *roleSample) addMetrics(metrics io.Reader) error {
	lines := bufio.NewScanner(metrics)
	for lines.Scan() {
		name, text, found := strings.Cut(lines.Text(), " ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		switch {
		case strings.HasPrefix(name, "chervil_store_calls_total{"):
			_, kind, _ := strings.Cut(name, `kind="`)
			s.storeCalls[strings.TrimSuffix(kind, `"}`)] += value
		case name == "process_cpu_seconds_total":
			s.cpuSeconds += value
		case name == "process_resident_memory_bytes":
			s.residentBytes += value
		}
	}
	return lines.Err()
}

func roleFigures(before, after map[string]roleSample, hosts int) []Figure {
	conditions := fmt.Sprintf("%d hosts at rest, 50 workers", hosts)
	seconds := idleWindow.Seconds()
	var figures []Figure
	total := 0.0
	for _, role := range []string{localcluster.RoleEntry, localcluster.RoleScheduler, localcluster.RoleAdmin} {
		first, last := before[role], after[role]
		for kind, calls := range last.storeCalls {
			total += calls - first.storeCalls[kind]
		}
		figures = append(figures,
			Figure{role, "processor_share_at_rest", "host", (last.cpuSeconds - first.cpuSeconds) / seconds / float64(hosts), "core", conditions},
			Figure{role, "resident_memory_at_rest", "host", last.residentBytes / float64(hosts), "B", conditions},
		)
	}
	return append(figures,
		Figure{"store", "calls_at_rest", "", total / seconds, "1/s", conditions},
		Figure{"store", "calls_at_rest", "host", total / seconds / float64(hosts), "1/s", conditions},
	)
}
