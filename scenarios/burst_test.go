package scenarios

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// burst NAME COUNT ORGANISATION SERVICE TASKS RUN_MS [OPTION...]: submits COUNT jobs
// concurrently through all hosts; they are named NAME-0, NAME-1 and so on.
func cmdBurst(ts *testscript.TestScript, _ bool, args []string) {
	b := testbedOf(ts)
	count := atoi(ts, args[1])
	request := jobRequest(ts, args[3:])
	var group sync.WaitGroup
	ids := make([]string, count)
	failures := make([]error, count)
	for i := range count {
		host := fmt.Sprintf("host%d", i%b.entryHosts+1)
		group.Go(func() {
			job, err := b.client(host, args[2]).SubmitJob(context.Background(), request, fmt.Sprint(args[0], "-", i))
			ids[i], failures[i] = job.ID, err
		})
	}
	group.Wait()
	for i, err := range failures {
		must(ts, err)
		b.jobs[fmt.Sprint(args[0], "-", i)] = ids[i]
	}
}

func jobNames(prefix string, count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprint(prefix, "-", i)
	}
	return list
}

// cancelburst NAME COUNT ORGANISATION: cancels the jobs of a burst concurrently.
func cmdCancelBurst(ts *testscript.TestScript, _ bool, args []string) {
	b := testbedOf(ts)
	var group sync.WaitGroup
	list := jobNames(args[0], atoi(ts, args[1]))
	failures := make([]error, len(list))
	for i, name := range list {
		group.Go(func() {
			_, failures[i] = b.client("host1", args[2]).CancelJob(context.Background(), b.jobs[name])
		})
	}
	group.Wait()
	for i, err := range failures {
		must(ts, errors.Wrap(err, list[i]))
	}
}

// awaitburst NAME COUNT ORGANISATION STATE: waits until all jobs of a burst are in the state.
func cmdAwaitBurst(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range jobNames(args[0], atoi(ts, args[1])) {
		testbedOf(ts).await(ts, "host1", args[2], args[3], name)
	}
}
