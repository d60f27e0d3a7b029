package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chervilrun/chervilrun/client"
	"github.com/chervilrun/chervilrun/internal/hostlist"
	"github.com/chervilrun/chervilrun/internal/localcluster"
	executor "github.com/chervilrun/chervilrun/internal/standin/executor"
	"github.com/chervilrun/chervilrun/internal/standin/platform"
	"github.com/chervilrun/chervilrun/internal/standin/pool"
)

// cluster DEPLOYMENT HOSTS [links]: starts all processes, applies the example
// configuration and waits until each process is ready and each zone has an owner. With
// links, the links between the processes can be broken.
func cmdCluster(ts *testscript.TestScript, _ bool, args []string) {
	b := testbedOf(ts)
	b.takenOutAt = map[string]int64{}
	must(ts, b.start(args[0], atoi(ts, args[1]), slices.Contains(args, "links")))
	must(ts, b.applyExample())
	must(ts, b.cluster.WaitReady(context.Background(), "*"))
	waitUntil(ts, "owners", func() error {
		for _, zone := range b.deployment.zones {
			if b.owner(zone) == "" {
				return errors.Errorf("zone %s has no owner", zone)
			}
		}
		return nil
	})
}

// ctl HOST ARGS: runs chervilctl as the operator against a host and prints its output.
// With ! the command must fail.
func cmdCtl(ts *testscript.TestScript, neg bool, args []string) {
	b := testbedOf(ts)
	for i, arg := range args {
		if strings.HasSuffix(arg, ".toml") {
			args[i] = ts.MkAbs(arg)
		}
	}
	output, err := b.ctl(args[0], b.deployment.operatorToken, args[1:]...)
	fmt.Fprint(ts.Stdout(), output)
	if (err != nil) != neg {
		ts.Fatalf("chervilctl %v: %v\n%s", args[1:], err, output)
	}
}

// process start|ready|stop|kill|pause|resume PATTERN: starts the matching processes, waits
// until they are ready, stops them gracefully, kills, pauses or resumes them.
func cmdProcess(ts *testscript.TestScript, _ bool, args []string) {
	cluster := testbedOf(ts).cluster
	ctx := context.Background()
	pattern := args[1]
	switch args[0] {
	case "start":
		must(ts, cluster.Start(ctx, pattern))
	case "ready":
		must(ts, cluster.WaitReady(ctx, pattern))
	case "stop":
		must(ts, cluster.Stop(pattern))
	case "kill":
		must(ts, cluster.Kill(pattern))
	case "pause":
		must(ts, cluster.Pause(pattern))
	case "resume":
		must(ts, cluster.Resume(pattern))
	default:
		ts.Fatalf("unknown process command %s", args[0])
	}
}

// breaklink FROM TO [responses]: breaks the link from a host to another host or to the
// pool, so that its requests are lost; with responses, only the responses are lost.
func cmdBreakLink(ts *testscript.TestScript, _ bool, args []string) {
	loss := localcluster.LoseRequests
	if slices.Contains(args, "responses") {
		loss = localcluster.LoseResponses
	}
	testbedOf(ts).cluster.BreakLink(args[0], args[1], loss)
}

// restorelinks: restores all links.
func cmdRestoreLinks(ts *testscript.TestScript, _ bool, _ []string) {
	testbedOf(ts).cluster.RestoreLinks()
}

// fault kv|pool|hosts|executors|EXECUTOR JSON: sets the injected faults of the stand-in
// of the store, the workers, the host list, all executors or one executor.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	b := testbedOf(ts)
	body := []byte(args[1])
	switch args[0] {
	case "kv":
		must(ts, b.post(localcluster.StandinStore, "/fault", body))
	case "pool":
		must(ts, b.post(localcluster.StandinPool, "/fault", body))
	case "hosts":
		must(ts, b.post(localcluster.StandinPool, platform.HostsPrefix+"/fault", body))
	case "executors":
		for _, e := range b.hostList(ts).Executors {
			must(ts, b.post(localcluster.StandinPool, "/executors/"+string(e.ID)+"/fault", body))
		}
	default:
		must(ts, b.post(localcluster.StandinPool, "/executors/"+args[0]+"/fault", body))
	}
}

func (b *testbed) hostList(ts *testscript.TestScript) hostlist.Hosts {
	var hosts hostlist.Hosts
	must(ts, b.get(localcluster.StandinPool, platform.HostsPrefix+hostlist.Path, &hosts))
	return hosts
}

// request HOST ORGANISATION SERVICE BODY [KEY]: sends a request and prints its outcome
// and response.
func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	request := client.Request{Service: args[2], Body: []byte(args[3])}
	if len(args) > 4 {
		request.IdempotencyKey = args[4]
	}
	response, err := testbedOf(ts).client(args[0], args[1]).Do(context.Background(), request)
	fmt.Fprintf(ts.Stdout(), "%s: %s\n", describe(err), response.Body)
	if response.Replayed {
		fmt.Fprintln(ts.Stdout(), "replayed")
	}
}

// submit NAME HOST ORGANISATION SERVICE TASKS RUN_MS [once] [checkpoint] [urgent]
// [adjacency=A] [zone=Z] [accelerators=N]: submits a job and prints the outcome.
func cmdSubmit(ts *testscript.TestScript, _ bool, args []string) {
	b := testbedOf(ts)
	job, err := b.client(args[1], args[2]).SubmitJob(context.Background(), jobRequest(ts, args[3:]), args[0])
	if err == nil {
		b.jobs[args[0]] = job.ID
		fmt.Fprintln(ts.Stdout(), "accepted")
		return
	}
	fmt.Fprintln(ts.Stdout(), describe(err))
}

// accept NAME HOST ORGANISATION SERVICE TASKS RUN_MS [OPTION...]: like submit, but repeats the
// call while it is refused for want of an owner: the admin process of a host learns of the
// first owner before its entry process does.
func cmdAccept(ts *testscript.TestScript, _ bool, args []string) {
	b := testbedOf(ts)
	waitUntil(ts, "acceptance of "+args[0], func() error {
		job, err := b.client(args[1], args[2]).SubmitJob(context.Background(), jobRequest(ts, args[3:]), args[0])
		if err == nil {
			b.jobs[args[0]] = job.ID
			return nil
		}
		if described := describe(err); described != "not_run no_owner" {
			ts.Fatalf("job %s: %s", args[0], described)
		}
		return err
	})
}

// jobRequest parses SERVICE TASKS RUN_MS [OPTION...].
func jobRequest(ts *testscript.TestScript, args []string) client.JobRequest {
	request := client.JobRequest{
		Service:    args[0],
		Repeatable: true,
		Shape: client.Shape{
			Tasks:     atoi(ts, args[1]),
			PerTask:   client.Resources{Accelerators: 1, MilliCPU: 4000, MemoryMB: 8 << 10},
			Adjacency: "zone",
		},
	}
	payload := map[string]any{"run_ms": atoi(ts, args[2])}
	for _, option := range args[3:] {
		name, value, _ := strings.Cut(option, "=")
		switch name {
		case "once":
			request.Repeatable = false
			payload["once"] = true
		case "checkpoint":
			request.Checkpoint = true
		case "urgent":
			request.Priority = "urgent"
		case "adjacency":
			request.Shape.Adjacency = value
		case "zone":
			request.Zones = []string{value}
		case "accelerators":
			request.Shape.PerTask.Accelerators = atoi(ts, value)
		default:
			ts.Fatalf("unknown job option %s", option)
		}
	}
	request.Payload, _ = json.Marshal(payload)
	return request
}

// await HOST ORGANISATION STATE NAME...: waits until each of the jobs is in the state.
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[3:] {
		testbedOf(ts).await(ts, args[0], args[1], args[2], name)
	}
}

func (b *testbed) await(ts *testscript.TestScript, host, organisation, state, name string) {
	id, known := b.jobs[name]
	if !known {
		ts.Fatalf("job %s was not accepted", name)
	}
	waitUntil(ts, "job "+name, func() error {
		job, err := b.client(host, organisation).GetJob(context.Background(), id)
		if err != nil {
			return err
		}
		if job.State == state {
			return nil
		}
		if job.Final() {
			ts.Fatalf("job %s is %s: %+v", name, job.State, job.Outcome)
		}
		return errors.Errorf("%s on %v", job.State, job.Workers)
	})
}

// reach HOST ORGANISATION NAME: waits until the entry process of the host can look up the
// job, and so knows an owner of the job's zone that answers. The admin process of a host
// learns of a new owner before its entry process does.
func cmdReach(ts *testscript.TestScript, _ bool, args []string) {
	b := testbedOf(ts)
	waitUntil(ts, "job "+args[2]+" through "+args[0], func() error {
		_, err := b.client(args[0], args[1]).GetJob(context.Background(), b.jobs[args[2]])
		return err
	})
}

// cancel HOST ORGANISATION NAME...: cancels jobs; it retries until the call succeeds.
func cmdCancel(ts *testscript.TestScript, _ bool, args []string) {
	b := testbedOf(ts)
	for _, name := range args[2:] {
		waitUntil(ts, "cancel "+name, func() error {
			_, err := b.client(args[0], args[1]).CancelJob(context.Background(), b.jobs[name])
			return err
		})
	}
}

// owner returns the owner of a zone as reported by the first host that knows one, or "".
func (b *testbed) owner(zone string) string {
	for host := range b.runningHosts() {
		if owner := b.ownerSeenBy(host, zone); owner != "" {
			return owner
		}
	}
	return ""
}

// runningHosts yields the hosts whose admin process runs.
func (b *testbed) runningHosts() func(func(string) bool) {
	return func(yield func(string) bool) {
		for _, name := range b.cluster.Names("*") {
			host, role, found := strings.Cut(name, "/")
			if found && role == localcluster.RoleAdmin && b.cluster.Running(name) && !yield(host) {
				return
			}
		}
	}
}

// owner VARIABLE ZONE [not HOST]: waits until the zone has an owner other than HOST and
// sets the variable to it.
func cmdOwner(ts *testscript.TestScript, _ bool, args []string) {
	b := testbedOf(ts)
	waitUntil(ts, "owner of "+args[1], func() error {
		owner := b.owner(args[1])
		if owner == "" || len(args) > 3 && owner == args[3] {
			return errors.Errorf("owned by %q", owner)
		}
		ts.Setenv(args[0], owner)
		return nil
	})
}

// newowner WITNESS VARIABLE ZONE not HOST: like owner, but doesn't ask HOST, which may be
// partitioned from the others; sets WITNESS to a host that knows the new owner.
func cmdNewOwner(ts *testscript.TestScript, _ bool, args []string) {
	b := testbedOf(ts)
	waitUntil(ts, "owner of "+args[2], func() error {
		for host := range b.runningHosts() {
			if host == args[4] {
				continue
			}
			if owner := b.ownerSeenBy(host, args[2]); owner != "" && owner != args[4] {
				ts.Setenv(args[0], host)
				ts.Setenv(args[1], owner)
				return nil
			}
		}
		return errors.New("no other owner")
	})
}

// ownerSeenBy returns the owner of a zone as reported by a host, or "".
func (b *testbed) ownerSeenBy(host, zone string) string {
	status, err := b.status(host)
	if err != nil {
		return ""
	}
	for _, z := range status.Zones {
		if string(z.ID) == zone && z.Owner != nil {
			return string(z.Owner.Host)
		}
	}
	return ""
}

// invariants: checks the invariants: no partial gang, no task run or started twice, no
// oversubscribed worker, and no idempotency key executed twice.
func cmdInvariants(ts *testscript.TestScript, _ bool, _ []string) {
	b := testbedOf(ts)
	var audit pool.Audit
	must(ts, b.get(localcluster.StandinPool, "/audit", &audit))
	if audit.PartialGangs+audit.DoubleRuns+audit.RepeatedStarts+audit.Oversubscribed > 0 {
		ts.Fatalf("invariants violated: %+v", audit)
	}
	runs := map[string]int{}
	for _, e := range b.hostList(ts).Executors {
		var stats executor.Stats
		must(ts, b.get(localcluster.StandinPool, "/executors/"+string(e.ID)+"/stats", &stats))
		for key, count := range stats.Runs {
			runs[key] += count
		}
	}
	for key, count := range runs {
		if strings.HasPrefix(key, "key-") && count > 1 {
			ts.Fatalf("%s ran %d times", key, count)
		}
	}
	fmt.Fprintf(ts.Stdout(), "%+v\n", audit)
}

// executor idle ID: waits until the executor has received no request for idlePeriod.
func cmdExecutor(ts *testscript.TestScript, _ bool, args []string) {
	b := testbedOf(ts)
	path := "/executors/" + args[1] + "/stats"
	var seen executor.Stats
	must(ts, b.get(localcluster.StandinPool, path, &seen))
	since := time.Now()
	waitUntil(ts, args[1]+" still receives requests", func() error {
		var now executor.Stats
		must(ts, b.get(localcluster.StandinPool, path, &now))
		if now.Requests != seen.Requests {
			seen, since = now, time.Now()
		}
		if time.Since(since) < idlePeriod {
			return errors.Errorf("%d requests", now.Requests)
		}
		return nil
	})
}

// idlePeriod is the time without requests after which an executor counts as idle.
const idlePeriod = 2 * time.Second
