package pool_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
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

// allowEven allows every second worker.
func allowEven(_ string, worker model.WorkerID) bool {
	return strings.ContainsAny(string(worker[len(worker)-1:]), "02468")
}

func (sim *simulation) whyWaiting(id model.JobID) string {
	explanation, known := sim.owner.owner.Explain(id)
	require.True(sim.t, known)
	if len(explanation.Steps) == 0 {
		return ""
	}
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
}

// Guards against the livelock of review/6: several jobs of an advised queue come at once, their
// requests to the adviser wait for one another, and the tickets of each count as expired on arrival,
// so that the adviser is asked again and nothing starts.
func TestBurstOfAdvisedJobsStarts(t *testing.T) {
	sim := startSimulation(t, 6, 8)
	sim.adviser.validity = 3 * time.Second
	sim.adviser.allows = allowEven
	sim.run(time.Second)
	queue := advisedQueue()
	queue.AdviceBase = 300 * time.Millisecond
	var jobs []model.JobID
	for n := range 6 {
		jobs = append(jobs, sim.submit(fmt.Sprintf("burst-%d", n), "aso", queue, step(2, 1, 2*time.Second)))
		sim.run(200 * time.Millisecond)
	}
	sim.run(14 * time.Second)
	for _, id := range jobs {
		require.Equal(t, workflow.Completed, sim.state(id), sim.whyWaiting(id))
	}
}

// Guards against tickets that lose their validity while the adviser works on them: one job alone, whose
// adviser takes longer for a request than the tickets are valid, never started.
func TestAdviserThatTakesLongerThanTicketsAreValid(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.adviser.validity = 3 * time.Second
	sim.adviser.allows = allowAll
	queue := advisedQueue()
	queue.AdviceBase = 4 * time.Second
	id := sim.submit("a", "aso", queue, step(2, 1, time.Second))
	sim.waitFor(15*time.Second, id, workflow.Completed)
}

// Guards against tickets that are never used since they are valid for less time than the owner wants
// them to have left: every job of the queue waited without an end.
func TestTicketsOfShortValidityAreUsed(t *testing.T) {
	for _, validity := range []time.Duration{900 * time.Millisecond, 100 * time.Millisecond} {
		sim := startSimulation(t, 1, 4)
		sim.adviser.validity, sim.adviser.allows = validity, allowAll
		id := sim.submit("a", "aso", advisedQueue(), step(6, 1, time.Second), gang(4, 8, time.Second))
		sim.waitFor(30*time.Second, id, workflow.Completed)
	}
}

// Guards against steps that can't start and keep the adviser to themselves: their tickets were renewed
// again and again, and the adviser was never asked about the step of a later job.
func TestStepsThatDontFitLeaveTheAdviserToOthers(t *testing.T) {
	sim := startSimulation(t, 2, 8)
	sim.adviser.validity, sim.adviser.allows = 3*time.Second, allowAll
	sim.run(time.Second)
	for n := range 6 {
		sim.submit(fmt.Sprintf("wide-%d", n), "aso", advisedQueue(), gang(17, 8, time.Second))
	}
	sim.run(5 * time.Second)
	id := sim.submit("small", "aso", advisedQueue(), step(2, 1, time.Second))
	sim.waitFor(5*time.Second, id, workflow.Completed)
}

// Guards against a job that could start at once and waits until all steps that can't have had their turn.
func TestAdviserIsAskedForWhatCanStartFirst(t *testing.T) {
	sim := startSimulation(t, 2, 8)
	sim.adviser.validity, sim.adviser.allows = 3*time.Second, allowAll
	sim.run(time.Second)
	for n := range 12 {
		sim.submit(fmt.Sprintf("wide-%02d", n), "aso", advisedQueue(), gang(17, 8, time.Second))
	}
	sim.run(12 * time.Second)
	id := sim.submit("small", "aso", advisedQueue(), step(2, 1, 10*time.Second))
	// At most one request is handled before its own.
	sim.waitFor(2*time.Second, id, workflow.Running)
}

// Guards against requests that name many more workers than the step needs, so that the jobs of a burst
// wait for each other's advice for longer than users bear.
func TestBurstOfAdvisedJobsEndsInTime(t *testing.T) {
	const jobs, gap = 22, 180 * time.Millisecond
	sim := startSimulation(t, 6, 8)
	sim.adviser.validity, sim.adviser.allows = 3*time.Second, allowEven
	sim.run(time.Second)
	queue := advisedQueue()
	queue.AdviceBase = 300 * time.Millisecond
	for n := range jobs {
		sim.submit(fmt.Sprintf("burst-%d", n), "aso", queue, step(2, 1, 2*time.Second))
		sim.run(gap)
	}
	sim.run(14 * time.Second)
	for n := range jobs {
		id := model.JobID(fmt.Sprintf("burst-%d", n))
		require.NotEqual(t, workflow.Queued, sim.state(id), "%s: %s", id, sim.whyWaiting(id))
	}
}

// Guards against urgent work that waits until the adviser has been asked for all jobs that came before.
func TestAdviserIsAskedForUrgentWorkFirst(t *testing.T) {
	sim := startSimulation(t, 6, 8)
	sim.adviser.validity, sim.adviser.allows = 3*time.Second, allowEven
	sim.policy.Guarantees["aso"] = 8
	sim.owner.reload()
	sim.run(time.Second)
	for n := range 20 {
		sim.submit(fmt.Sprintf("batch-%d", n), "kuju", advisedQueue(), step(2, 1, 2*time.Second))
	}
	sim.run(100 * time.Millisecond)
	urgent := advisedQueue()
	urgent.Priority = 0
	id := sim.submit("urgent", "aso", urgent, step(2, 1, 5*time.Second))
	sim.waitFor(2900*time.Millisecond, id, workflow.Running)
}

// Guards against a gang on many workers that never holds the tickets for all of them at once, since they
// are requested in parts and the first ones expire meanwhile.
func TestWideGangGetsItsTicketsTogether(t *testing.T) {
	sim := startSimulation(t, 10, 8)
	sim.adviser.validity, sim.adviser.allows = 3*time.Second, allowAll
	id := sim.submit("wide", "aso", advisedQueue(), gang(70, 8, time.Second))
	sim.waitFor(30*time.Second, id, workflow.Completed)
}

// Guards against tasks that run far from their data although there is room beside it: the adviser was not
// asked about the workers of that rack.
func TestAdviceNamesTheWorkersBesideTheData(t *testing.T) {
	sim := startSimulation(t, 6, 8)
	sim.adviser.validity, sim.adviser.allows = 3*time.Second, allowEven
	sim.run(time.Second)
	near := step(4, 1, time.Second)
	near.DataRack = "r5"
	id := sim.submit("near", "aso", advisedQueue(), near)
	sim.waitFor(10*time.Second, id, workflow.Completed)
	for worker, f := range sim.workers {
		require.True(t, f.endCount == 0 || f.info.Rack == "r5", "%s ran a task", worker)
	}
}

// Guards against requests that are given up while the adviser still works on them: the next one waits
// behind them and is given up as well, without an end.
func TestAdviserSlowerThanItsQueueSays(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.adviser.validity, sim.adviser.allows, sim.adviser.slowness = 3*time.Second, allowAll, 10
	queue := advisedQueue()
	for n := range 4 {
		sim.submit(fmt.Sprintf("slow-%d", n), "aso", queue, step(2, 1, time.Second))
	}
	sim.run(time.Minute)
	for n := range 4 {
		id := model.JobID(fmt.Sprintf("slow-%d", n))
		require.Equal(t, workflow.Completed, sim.state(id), sim.whyWaiting(id))
	}
}

// Guards against workers that are never asked about in a pool where only some are claimed: the adviser
// denies all of these, and the job waits beside free workers without an end.
func TestAdviserDeniesAllClaimedWorkers(t *testing.T) {
	sim := startSimulation(t, 30, 8)
	sim.adviser.validity = 3 * time.Second
	sim.adviser.allows = func(_ string, worker model.WorkerID) bool { return strings.HasPrefix(string(worker), "w29-") }
	id := sim.submit("a", "aso", advisedQueue(), step(2, 1, time.Second))
	sim.waitFor(60*time.Second, id, workflow.Completed)
}

// Guards against starts that are bound to be refused: a ticket that has expired while the assignment was
// recorded is not sent.
func TestExpiredTicketIsNotSent(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.adviser.validity, sim.adviser.allows = 500*time.Millisecond, allowAll
	refused := 0
	sim.alterResponse = func(call pool.Call, inventory pool.Inventory, err error) (pool.Inventory, error) {
		if errors.Is(err, pool.ErrTicketRefused) {
			refused++
		}
		return inventory, err
	}
	sim.run(time.Second)
	id := sim.submit("a", "aso", advisedQueue(), step(2, 1, time.Second))
	sim.run(300 * time.Millisecond)
	sim.storeDown = true
	sim.run(3 * time.Second)
	sim.storeDown = false
	sim.waitFor(10*time.Second, id, workflow.Completed)
	require.Zero(t, refused)
}

// Guards against a wide gang that waits beside workers that would be enough: those that the adviser has
// denied count among the claimed ones.
func TestWideGangBesideDeniedWorkers(t *testing.T) {
	sim := startSimulation(t, 30, 8)
	sim.adviser.validity, sim.adviser.allows = 3*time.Second, allowEven
	id := sim.submit("a", "aso", advisedQueue(), gang(100, 8, time.Second))
	sim.waitFor(60*time.Second, id, workflow.Completed)
}

// Guards against a denial that outlives the worker that it was given for: a worker that comes back under
// its ID may be of another kind.
func TestDenialEndsWithTheIncarnation(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	allowed := false
	sim.adviser.validity = 3 * time.Second
	sim.adviser.allows = func(string, model.WorkerID) bool { return allowed }
	id := sim.submit("a", "aso", advisedQueue(), step(2, 1, time.Second))
	require.True(t, sim.runUntil(5*time.Second, func() bool {
		return strings.Contains(sim.whyWaiting(id), "the adviser has denied 4 workers")
	}), sim.whyWaiting(id))
	allowed = true
	for _, worker := range sim.ids {
		sim.workers[worker].crash()
	}
	sim.owner.reload()
	sim.waitFor(30*time.Second, id, workflow.Completed)
}

// Guards against tickets that count as expired since the response doesn't say how long they are valid: the
// queue says so, else a start is tried with them.
func TestValidityIsTakenFromTheQueue(t *testing.T) {
	for _, validity := range []time.Duration{900 * time.Millisecond, 0} {
		sim := startSimulation(t, 1, 4)
		sim.adviser.validity, sim.adviser.allows, sim.adviser.omitsValidity = 900*time.Millisecond, allowAll, true
		queue := advisedQueue()
		queue.TicketValidity = validity
		id := sim.submit("a", "aso", queue, step(2, 1, time.Second))
		sim.waitFor(10*time.Second, id, workflow.Completed)
	}
}

// Guards against a gang that never holds the tickets for all of its workers at once: it asked only for the
// missing ones, and meanwhile the others expired, by turns.
func TestGangRenewsItsTicketsTogether(t *testing.T) {
	sim := startSimulation(t, 1, 6)
	sim.adviser.validity, sim.adviser.allows = 1300*time.Millisecond, allowAll
	blocker := sim.submit("blocker", "aso", normalQueue(), step(1, 8, 6*time.Second))
	sim.waitFor(time.Second, blocker, workflow.Running)
	queue := advisedQueue()
	queue.AdviceBase = 1200 * time.Millisecond
	id := sim.submit("a", "aso", queue, gang(6, 8, time.Second))
	sim.run(3300 * time.Millisecond)
	for _, worker := range []model.WorkerID{"w0-4", "w0-5"} {
		sim.workers[worker].crash()
	}
	sim.owner.reload()
	sim.waitFor(30*time.Second, id, workflow.Completed)
}

// Guards against an adviser that is slower than its queue says and is given too little time again after
// each response: most of its work is for requests that were given up.
func TestTimeForASlowAdviserIsKept(t *testing.T) {
	const jobs = 6
	sim := startSimulation(t, 1, 4)
	sim.adviser.validity, sim.adviser.allows, sim.adviser.slowness = 3*time.Second, allowAll, 10
	for n := range jobs {
		sim.submit(fmt.Sprintf("slow-%d", n), "aso", advisedQueue(), step(2, 1, time.Second))
	}
	sim.run(time.Minute)
	requests := 0
	for n := range jobs {
		id := model.JobID(fmt.Sprintf("slow-%d", n))
		require.Equal(t, workflow.Completed, sim.state(id), sim.whyWaiting(id))
		requests += sim.adviser.requests[fmt.Sprintf("%s.0.0", id)]
	}
	require.LessOrEqual(t, requests, jobs+3)
}
