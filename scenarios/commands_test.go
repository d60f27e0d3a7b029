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

// cluster DEPLOYMENT HOSTS [links]: starts everything, applies the example configuration
// and waits until each process is ready and each zone is owned. With links the links
// between the processes can be cut.
func cmdCluster(ts *testscript.TestScript, _ bool, args []string) {
	b := of(ts)
	b.outAt = map[string]int64{}
	must(ts, b.start(args[0], atoi(ts, args[1]), slices.Contains(args, "links")))
	must(ts, b.applyExample())
	must(ts, b.cluster.WaitReady(context.Background(), "*"))
	until(ts, "owners", func() error {
		for _, zone := range b.deployment.zones {
			if b.owner(zone) == "" {
				return errors.Errorf("nobody owns %s", zone)
			}
		}
		return nil
	})
}

// ctl HOST ARGS: runs chervilctl as the operator against a host and prints its output.
// With ! the command must fail.
func cmdCtl(ts *testscript.TestScript, neg bool, args []string) {
	b := of(ts)
	for i, arg := range args {
		if strings.HasSuffix(arg, ".toml") {
			args[i] = ts.MkAbs(arg)
		}
	}
	output, err := b.ctl(args[0], b.deployment.operator, args[1:]...)
	fmt.Fprint(ts.Stdout(), output)
	if (err != nil) != neg {
		ts.Fatalf("chervilctl %v: %v\n%s", args[1:], err, output)
	}
}

// process start|ready|stop|kill|freeze|thaw PATTERN
func cmdProcess(ts *testscript.TestScript, _ bool, args []string) {
	cluster := of(ts).cluster
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
	case "freeze":
		must(ts, cluster.Pause(pattern))
	case "thaw":
		must(ts, cluster.Resume(pattern))
	default:
		ts.Fatalf("process %s?", args[0])
	}
}

// cut FROM TO [answers]: cuts the link from a host to another or to the pool, both ways
// of an exchange or the answers only. mend makes all links whole.
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	loss := localcluster.LoseRequests
	if slices.Contains(args, "answers") {
		loss = localcluster.LoseResponses
	}
	of(ts).cluster.CutLink(args[0], args[1], loss)
}

func cmdMend(ts *testscript.TestScript, _ bool, _ []string) { of(ts).cluster.RestoreLinks() }

// fault kv|pool|hosts|executors JSON: replaces the fault switches of a stand-in.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	b := of(ts)
	body := []byte(args[1])
	switch args[0] {
	case "kv":
		must(ts, b.post(localcluster.StandinStore, "/fault", body))
	case "pool":
		must(ts, b.post(localcluster.StandinPool, "/fault", body))
	case "hosts":
		must(ts, b.post(localcluster.StandinPool, platform.HostsPrefix+"/fault", body))
	case "executors":
		for _, e := range b.list(ts).Executors {
			must(ts, b.post(localcluster.StandinPool, "/executors/"+string(e.ID)+"/fault", body))
		}
	default:
		must(ts, b.post(localcluster.StandinPool, "/executors/"+args[0]+"/fault", body))
	}
}

func (b *bench) list(ts *testscript.TestScript) hostlist.Hosts {
	var hosts hostlist.Hosts
	must(ts, b.get(localcluster.StandinPool, platform.HostsPrefix+hostlist.Path, &hosts))
	return hosts
}

// request HOST ORGANISATION SERVICE BODY [KEY]: prints the outcome and the answer.
func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	request := client.Request{Service: args[2], Body: []byte(args[3])}
	if len(args) > 4 {
		request.IdempotencyKey = args[4]
	}
	answer, err := of(ts).client(args[0], args[1]).Do(context.Background(), request)
	fmt.Fprintf(ts.Stdout(), "%s: %s\n", describe(err), answer.Body)
	if answer.Replayed {
		fmt.Fprintln(ts.Stdout(), "replayed")
	}
}

// submit NAME HOST ORGANISATION SERVICE TASKS RUN_MS [once] [checkpoint] [urgent]
// [adjacency=A] [zone=Z] [accelerators=N]: submits a job and prints the outcome.
func cmdSubmit(ts *testscript.TestScript, _ bool, args []string) {
	b := of(ts)
	job, err := b.client(args[1], args[2]).SubmitJob(context.Background(), jobRequest(ts, args[3:]), args[0])
	if err == nil {
		b.jobs[args[0]] = job.ID
		fmt.Fprintln(ts.Stdout(), "accepted")
		return
	}
	fmt.Fprintln(ts.Stdout(), describe(err))
}

// jobRequest reads SERVICE TASKS RUN_MS [OPTION...].
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
			ts.Fatalf("job option %s?", option)
		}
	}
	request.Payload, _ = json.Marshal(payload)
	return request
}

// await HOST ORGANISATION STATE NAME...: waits until each of the jobs is in the state.
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[3:] {
		of(ts).await(ts, args[0], args[1], args[2], name)
	}
}

func (b *bench) await(ts *testscript.TestScript, host, organisation, state, name string) {
	id, known := b.jobs[name]
	if !known {
		ts.Fatalf("job %s was not accepted", name)
	}
	until(ts, "job "+name, func() error {
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

// cancel HOST ORGANISATION NAME...: cancels jobs, again while the outcome is unknown.
func cmdCancel(ts *testscript.TestScript, _ bool, args []string) {
	b := of(ts)
	for _, name := range args[2:] {
		until(ts, "cancel "+name, func() error {
			_, err := b.client(args[0], args[1]).CancelJob(context.Background(), b.jobs[name])
			return err
		})
	}
}

// owner returns the host that owns a zone in the eyes of any host that answers.
func (b *bench) owner(zone string) string {
	for host := range b.hosts() {
		if owner := b.ownerSeenBy(host, zone); owner != "" {
			return owner
		}
	}
	return ""
}

// hosts yields the entry hosts whose admin process runs.
func (b *bench) hosts() func(func(string) bool) {
	return func(yield func(string) bool) {
		for _, name := range b.cluster.Names("*") {
			host, role, found := strings.Cut(name, "/")
			if found && role == localcluster.RoleAdmin && b.cluster.Running(name) && !yield(host) {
				return
			}
		}
	}
}

// owner VARIABLE ZONE [not HOST]: waits until the zone is owned, by another host than
// the one named, and puts the owner into the variable.
func cmdOwner(ts *testscript.TestScript, _ bool, args []string) {
	b := of(ts)
	until(ts, "owner of "+args[1], func() error {
		owner := b.owner(args[1])
		if owner == "" || len(args) > 3 && owner == args[3] {
			return errors.Errorf("owned by %q", owner)
		}
		ts.Setenv(args[0], owner)
		return nil
	})
}

// ownerat WITNESS VARIABLE ZONE not HOST: as owner, but asks the other hosts only, since
// HOST may be cut off; puts one that knows of the new owner into WITNESS.
func cmdOwnerAt(ts *testscript.TestScript, _ bool, args []string) {
	b := of(ts)
	until(ts, "owner of "+args[2], func() error {
		for host := range b.hosts() {
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

// ownerSeenBy returns the owner of a zone in the eyes of a host.
func (b *bench) ownerSeenBy(host, zone string) string {
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

// sound: no partial gang, no double run, no oversubscribed worker; no key ran twice.
func cmdSound(ts *testscript.TestScript, _ bool, _ []string) {
	b := of(ts)
	var audit pool.Audit
	must(ts, b.get(localcluster.StandinPool, "/audit", &audit))
	if audit.PartialGangs+audit.DoubleRuns+audit.RepeatedStarts+audit.Oversubscribed > 0 {
		ts.Fatalf("not sound: %+v", audit)
	}
	runs := map[string]int{}
	for _, e := range b.list(ts).Executors {
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

// executor idle ID: waits until the executor gets no new request for quietSpell.
func cmdExecutor(ts *testscript.TestScript, _ bool, args []string) {
	b := of(ts)
	path := "/executors/" + args[1] + "/stats"
	var seen executor.Stats
	must(ts, b.get(localcluster.StandinPool, path, &seen))
	since := time.Now()
	until(ts, args[1]+" gets requests", func() error {
		var now executor.Stats
		must(ts, b.get(localcluster.StandinPool, path, &now))
		if now.Requests != seen.Requests {
			seen, since = now, time.Now()
		}
		if time.Since(since) < quietSpell {
			return errors.Errorf("%d requests", now.Requests)
		}
		return nil
	})
}

// quietSpell is how long an executor without requests counts as left alone.
const quietSpell = 2 * time.Second
