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

// zone out|in HOST ZONE changes a zone; zone quiet ZONE checks that no task started in
// it later than 3 s after it was taken out.
func cmdZone(ts *testscript.TestScript, _ bool, args []string) {
	b := of(ts)
	if args[0] == "quiet" {
		b.requireQuiet(ts, args[1])
		return
	}
	output, err := b.ctl(args[1], b.deployment.operator, "zone", args[0], args[2])
	fmt.Fprint(ts.Stdout(), output)
	must(ts, err)
	b.outAt[args[2]] = time.Now().UnixNano()
}

// gateLimit is the longest time after which a task may start in a zone taken out.
const gateLimit = 3 * time.Second

func (b *bench) requireQuiet(ts *testscript.TestScript, zone string) {
	out := time.Unix(0, b.outAt[zone])
	time.Sleep(time.Until(out.Add(gateLimit + time.Second)))
	var history []pool.Run
	must(ts, b.get(localcluster.StandinPool, "/history", &history))
	for _, run := range history {
		if string(run.Zone) == zone && run.Start.After(out.Add(gateLimit)) {
			ts.Fatalf("task %s started in %s, %s after it was taken out", run.Task, zone, run.Start.Sub(out))
		}
	}
}

// hosts leaving|live ID...: changes the state of workers and executors in the list.
func cmdHosts(ts *testscript.TestScript, _ bool, args []string) {
	b := of(ts)
	hosts := b.list(ts)
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

// version HOST N: waits until the host works by a version of at least N, and fails if
// the version ever falls.
func cmdVersion(ts *testscript.TestScript, _ bool, args []string) {
	b := of(ts)
	want := model.ConfigVersion(atoi(ts, args[1]))
	highest := model.ConfigVersion(0)
	until(ts, "version", func() error {
		var status adminapi.StatusResponse
		if err := b.admin(args[0], "status", &status); err != nil {
			return err
		}
		if status.View.ConfigVersion < highest {
			ts.Fatalf("the version fell from %d to %d", highest, status.View.ConfigVersion)
		}
		highest = status.View.ConfigVersion
		if highest < want {
			return errors.Errorf("version %d", highest)
		}
		return nil
	})
}
