package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// advisedQueue is a queue whose adviser takes a second for 20 workers.
func advisedQueue() workflow.Queue {
	queue := normalQueue()
	queue.Advised = true
	queue.AdviceBase, queue.AdvicePerWorker = 200*time.Millisecond, 40*time.Millisecond
	return queue
}

func allowAll(string, model.WorkerID) bool { return true }

func (sim *simulation) whyWaiting(id model.JobID) string {
	explanation, known := sim.owner.owner.Explain(id)
	require.True(sim.t, known)
	return explanation.Steps[0].Why
}

// Guards against a job that waits for advice without a trace of the reason: the explanation tells
// a missing response, a denial and expired tickets apart.
func TestWaitForAdviceIsExplained(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	allowed := false
	sim.adviser.allows = func(string, model.WorkerID) bool { return allowed }
	sim.run(time.Second)

	id := sim.submit("a", "aso", advisedQueue(), gang(5, 8, time.Second))
	sim.run(10 * time.Millisecond)
	require.Contains(t, sim.whyWaiting(id), "the adviser has not responded yet; a request is in flight")
	require.True(t, sim.runUntil(3*time.Second, func() bool {
		return sim.whyWaiting(id) == "the adviser has denied 4 workers and allowed none yet; no request is in flight"
	}), sim.whyWaiting(id))

	allowed, sim.adviser.validity = true, 300*time.Millisecond
	id = sim.submit("b", "aso", advisedQueue(), gang(5, 8, time.Second))
	const expired = "the tickets for all 4 workers that the adviser has allowed have expired; "
	require.True(t, sim.runUntil(5*time.Second, func() bool {
		return sim.whyWaiting(id) == expired+"a request is in flight"
	}), sim.whyWaiting(id))
}

// Guards against tickets that have expired when they arrive, seen only as jobs that never start: the
// log tells the validity that is left.
func TestAdviceIsLoggedWithItsValidity(t *testing.T) {
	sim := newSimulation(t, 1, 1, 4)
	sim.keepEvents()
	sim.adviser.allows = allowAll
	sim.after(0, sim.tick)
	sim.takeOver()
	id := sim.submit("a", "aso", advisedQueue(), step(1, 1, time.Second))
	sim.waitFor(10*time.Second, id, workflow.Completed)
	advice := sim.eventsOf(event.AdviceTaken)
	require.NotEmpty(t, advice)
	require.Positive(t, advice[0].Fields["valid_ms"])
	require.EqualValues(t, 0, advice[0].Fields["renewed"])
	require.EqualValues(t, 0, advice[0].Fields["also_in_flight"])
}
