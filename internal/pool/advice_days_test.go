package pool_test

import (
	"flag"
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

var (
	adviceDays     = flag.Int("pool.advice.days", 60, "number of random days of queues with advice")
	firstAdviceDay = flag.Uint64("pool.advice.day", 1, "seed of the first of these days")
)

// Guards against jobs of queues with advice that never start: on random days with many jobs at once, a
// slow adviser, tickets of any validity, denials, faults of workers, calls and the store, and takeovers,
// each accepted job ends as done.
func TestAdvisedJobsEndOnRandomDays(t *testing.T) {
	for i := range *adviceDays {
		seed := *firstAdviceDay + uint64(i)
		t.Run(fmt.Sprintf("day %d", seed), func(t *testing.T) { runAdviceDay(t, seed) })
	}
}

// maxRequestsPerStep is the number of requests to the adviser, on average and of 30 workers each, within
// which the steps of a day have to start.
const maxRequestsPerStep = 3

func runAdviceDay(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed, 2, 4)
	for rack := 2; rack < 2+sim.rng.IntN(20); rack++ {
		for i := range 8 {
			sim.addWorker(rack, i)
		}
	}
	sim.policy.Guarantees["aso"] = 16
	sim.audit.faults = true
	millis := func(from, to int) time.Duration {
		return time.Duration(from+sim.rng.IntN(to-from)) * time.Millisecond
	}
	base, each := millis(0, 1500), millis(0, 60)
	sim.adviser.validity, sim.adviser.slowness = millis(400, 6000), 1+sim.rng.IntN(3)
	denied := uint64(sim.rng.IntN(90))
	sim.adviser.allows = func(step string, worker model.WorkerID) bool {
		hash := fnv.New64a()
		_, _ = fmt.Fprintf(hash, "%s %s", step, worker)
		return hash.Sum64()%100 >= denied || worker == "w0-0"
	}
	sim.after(0, sim.tick)
	sim.takeOver()
	sim.run(millis(0, 2000))

	length := millis(1000, 20000)
	var ids []model.JobID
	submit := func(n int) {
		queue := normalQueue()
		queue.Priority = sim.rng.IntN(3)
		if sim.rng.IntN(4) > 0 {
			queue.Advised, queue.AdviceBase, queue.AdvicePerWorker = true, base, each
		}
		ids = append(ids, sim.submitSpec(fmt.Sprintf("job-%02d", n), []model.OrganisationID{"aso", "genkai"}[n%2], queue, sim.adviceDaySpec(n, queue.Advised)))
	}
	for n := range 1 + sim.rng.IntN(30) {
		sim.after(millis(0, int(length.Milliseconds())), func() { submit(n) })
	}
	faults := []func(){
		func() { sim.loseCalls(millis(500, 3000)) },
		func() { sim.disconnectWorker(millis(500, 8000)) },
		func() { sim.workers[sim.randomWorker()].crash(); sim.owner.reload() },
		func() { sim.storeOutage(millis(200, 3000)) },
		func() { sim.changeOwner() },
	}
	for range sim.rng.IntN(6) {
		sim.after(millis(0, int(length.Milliseconds())), faults[sim.rng.IntN(len(faults))])
	}
	sim.run(length + time.Second)
	limit := 2*time.Minute + time.Duration(sim.advisedSteps()*maxRequestsPerStep*sim.adviser.slowness)*(base+30*each)
	deadline := sim.now().Add(limit)
	for _, id := range ids {
		require.True(t, sim.runUntil(max(0, deadline.Sub(sim.now())), func() bool { return sim.state(id).Final() }),
			"%s is still %s after %s: %s", id, sim.state(id), limit, sim.explain(id))
		require.Equal(t, workflow.Completed, sim.state(id), id)
	}
}

// adviceDaySpec draws a job that can be done: a gang needs no more workers than the adviser allows.
func (sim *simulation) adviceDaySpec(n int, advised bool) workflow.Spec {
	spec := workflow.Spec{Payload: fmt.Sprintf("job %d", n)}
	for number := range 1 + sim.rng.IntN(2) {
		s := step(1+sim.rng.IntN(6), 1<<sim.rng.IntN(4), time.Duration(200+sim.rng.IntN(3000))*time.Millisecond)
		s.Gang = sim.rng.IntN(3) == 0
		if number > 0 {
			s.DependsOn = []int{number - 1}
		}
		if sim.rng.IntN(4) == 0 {
			s.DataRack = fmt.Sprintf("r%d", sim.rng.IntN(3))
		}
		if s.Gang {
			s.Tasks = min(s.Tasks, sim.allowedWorkers(fmt.Sprintf("job-%02d.0.%d", n, number), advised))
		}
		spec.Steps = append(spec.Steps, s)
	}
	return spec
}

// allowedWorkers counts the workers that may run a step.
func (sim *simulation) allowedWorkers(step string, advised bool) int {
	allowed := 0
	for _, id := range sim.ids {
		if !advised || sim.adviser.allows(step, id) {
			allowed++
		}
	}
	return allowed
}

func (sim *simulation) explain(id model.JobID) string {
	explanation, _ := sim.owner.owner.Explain(id)
	return fmt.Sprintf("%+v", explanation.Steps)
}

// advisedSteps counts the steps that need advice.
func (sim *simulation) advisedSteps() int {
	steps := 0
	for _, record := range sim.records {
		if record.Queue.Advised {
			steps += len(record.Spec.Steps)
		}
	}
	return steps
}
