package scenarios

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/hostlist"
	"github.com/chervilrun/chervilrun/internal/localcluster"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/standin/platform"
	"github.com/chervilrun/chervilrun/internal/standin/pool"
)

// zone out|in HOST ZONE: takes a zone out of service or returns it; zone nolatestart ZONE:
// checks that no task started in it more than maxStartDelay after it was taken out.
func cmdZone(ts *testscript.TestScript, _ bool, args []string) {
	b := testbedOf(ts)
	if args[0] == "nolatestart" {
		b.requireNoLateStart(ts, args[1])
		return
	}
	output, err := b.ctl(args[1], b.deployment.operatorToken, "zone", args[0], args[2])
	fmt.Fprint(ts.Stdout(), output)
	must(ts, err)
	b.takenOutAt[args[2]] = time.Now().UnixNano()
}

// maxStartDelay is how long after taking a zone out of service a task may still start.
const maxStartDelay = 3 * time.Second

func (b *testbed) requireNoLateStart(ts *testscript.TestScript, zone string) {
	out := time.Unix(0, b.takenOutAt[zone])
	time.Sleep(time.Until(out.Add(maxStartDelay + time.Second)))
	var history []pool.Run
	must(ts, b.get(localcluster.StandinPool, "/history", &history))
	for _, run := range history {
		if string(run.Zone) == zone && run.Start.After(out.Add(maxStartDelay)) {
			ts.Fatalf("task %s started in %s, %s after it was taken out", run.Task, zone, run.Start.Sub(out))
		}
	}
}

// hosts leaving|live ID...: sets the state of workers and executors in the platform's
// host list.
func cmdHosts(ts *testscript.TestScript, _ bool, args []string) {
	b := testbedOf(ts)
	hosts := b.hostList(ts)
	for i, w := range hosts.Workers {
		if slices.Contains(args[1:], string(w.ID)) {
			hosts.Workers[i].State = model.HostState(args[0])
		}
	}
	for i, e := range hosts.Executors {
		if slices.Contains(args[1:], string(e.ID)) {
			hosts.Executors[i].State = model.HostState(args[0])
		}
	}
	body, err := json.Marshal(hosts)
	must(ts, err)
	must(ts, b.put(localcluster.StandinPool, platform.HostsPrefix+hostlist.Path, body))
}

// awaitversion HOST N: waits until the host has applied configuration version N or a later
// one, and fails if the version ever decreases.
func cmdAwaitVersion(ts *testscript.TestScript, _ bool, args []string) {
	b := testbedOf(ts)
	want := model.ConfigVersion(atoi(ts, args[1]))
	highest := model.ConfigVersion(0)
	waitUntil(ts, "version", func() error {
		var status adminapi.StatusResponse
		if err := b.getAdmin(args[0], "status", &status); err != nil {
			return err
		}
		if status.View.ConfigVersion < highest {
			ts.Fatalf("the version decreased from %d to %d", highest, status.View.ConfigVersion)
		}
		highest = status.View.ConfigVersion
		if highest < want {
			return errors.Errorf("version %d", highest)
		}
		return nil
	})
}
