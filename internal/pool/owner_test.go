package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

func TestStepsRunInOrder(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	second := step(4, 1, time.Second)
	second.DependsOn = []int{0}
	id := sim.submit("a", "aso", normalQueue(), step(3, 2, time.Second), second, gang(4, 8, time.Second))
	sim.waitFor(10*time.Second, id, workflow.Completed)
}

func TestJobIsCompletedOnlyOnceRecorded(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	id := sim.submit("a", "aso", normalQueue(), step(1, 1, time.Second))
	sim.waitFor(time.Second, id, workflow.Running)
	sim.run(500 * time.Millisecond)
	sim.storeDown = true
	sim.run(2 * time.Second)
	require.True(t, sim.audit.done["a.0.0.0"])
	require.Equal(t, workflow.Running, sim.state(id))
	sim.storeDown = false
	sim.waitFor(time.Second, id, workflow.Completed)
}

func TestFailsAfterItsLastAttempt(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	for _, worker := range sim.workers {
		worker.failTasks = true
	}
	id := sim.submit("a", "aso", normalQueue(), step(1, 1, 200*time.Millisecond))
	sim.waitFor(30*time.Second, id, workflow.Failed)
	require.Equal(t, normalQueue().MaxAttempts, sim.audit.starts)
}

// A retry goes to a worker other than the one on which the task failed.
func TestRetryAvoidsTheWorkerThatFailed(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	sim.workers["w0-0"].failTasks = true
	var ids []model.JobID
	for i := range 6 {
		ids = append(ids, sim.submit(fmt.Sprintf("j%d", i), "aso", normalQueue(), step(1, 1, 300*time.Millisecond)))
	}
	for _, id := range ids {
		sim.waitFor(10*time.Second, id, workflow.Completed)
	}
}

func TestCancelStopsEverything(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	id := sim.submit("a", "aso", normalQueue(), gang(4, 8, time.Minute), step(8, 1, time.Minute))
	sim.waitFor(2*time.Second, id, workflow.Running)
	sim.run(time.Second)
	sim.cancel(id)
	require.Equal(t, workflow.Cancelled, sim.state(id))
	require.True(t, sim.runUntil(time.Second, func() bool { return sim.runningTasks() == 0 }))
	starts := sim.audit.starts
	sim.run(5 * time.Second)
	require.Equal(t, starts, sim.audit.starts)
}

func (sim *simulation) runningTasks() int {
	count := 0
	for _, worker := range sim.workers {
		count += len(worker.runs)
	}
	return count
}

// A start order whose response is lost and that is executed seconds later starts its task
// only once.
func TestStartsCarriedOutLate(t *testing.T) {
	sim := startSimulation(t, 1, 3)
	sim.loseCall = func(c pool.Call) (bool, time.Duration) {
		if c.Start != nil && sim.rng.IntN(3) == 0 {
			return true, time.Duration(2+sim.rng.IntN(10)) * time.Second
		}
		return false, 0
	}
	var ids []model.JobID
	for i := range 10 {
		ids = append(ids, sim.submit(fmt.Sprintf("j%d", i), "aso", normalQueue(), step(3, 1, time.Second)))
	}
	for _, id := range ids {
		sim.waitFor(time.Minute, id, workflow.Completed)
	}
}

func TestOrdersThatAreCarriedOutWithoutAnswer(t *testing.T) {
	sim := startSimulation(t, 1, 3)
	sim.loseCall = func(pool.Call) (bool, time.Duration) { return sim.rng.IntN(4) == 0, 0 }
	var ids []model.JobID
	for i := range 10 {
		ids = append(ids, sim.submit(fmt.Sprintf("j%d", i), "aso", normalQueue(), step(2, 1, time.Second), step(1, 8, time.Second)))
	}
	for _, id := range ids {
		sim.waitFor(time.Minute, id, workflow.Completed)
	}
}

// A write whose response was lost, and that is executed only after newer ones, has no effect.
func TestRecordsThatAreWrittenLate(t *testing.T) {
	sim := startSimulation(t, 1, 3)
	sim.lateWrites = 2 * time.Second
	sim.after(300*time.Millisecond, func() { sim.loseWrites = 3 })
	sim.after(2*time.Second, func() { sim.loseWrites = 4 })
	var ids []model.JobID
	for i := range 6 {
		ids = append(ids, sim.submit(fmt.Sprintf("j%d", i), "aso", normalQueue(), step(3, 2, time.Second), step(2, 1, 2*time.Second)))
	}
	for _, id := range ids {
		sim.waitFor(time.Minute, id, workflow.Completed)
	}
}

// An unreachable worker goes on running its tasks until its lease expires; only then are
// they started on other workers.
func TestLeaseOfUnreachableWorkerIsWaitedOut(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	id := sim.submit("a", "aso", normalQueue(), step(4, 2, 4*time.Second))
	sim.waitFor(time.Second, id, workflow.Running)
	sim.run(time.Second)
	sim.unreachable["w0-0"] = true
	sim.waitFor(30*time.Second, id, workflow.Completed)
}

func TestRestartedWorkerLosesItsTasks(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	id := sim.submit("a", "aso", normalQueue(), step(2, 1, 2*time.Second))
	sim.waitFor(time.Second, id, workflow.Running)
	sim.run(time.Second)
	sim.workers["w0-0"].crash()
	sim.waitFor(10*time.Second, id, workflow.Completed)
	require.Equal(t, 4, sim.audit.starts)
}

// A new owner adopts the running tasks.
func TestTakeOverKeepsRunningTasks(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	id := sim.submit("a", "aso", normalQueue(), gang(3, 8, 6*time.Second), step(4, 1, 6*time.Second))
	sim.waitFor(time.Second, id, workflow.Running)
	sim.run(time.Second)
	sim.owner.stopped = true
	sim.run(2 * time.Second)
	sim.takeOver()
	sim.waitFor(10*time.Second, id, workflow.Completed)
	require.Equal(t, 7, sim.audit.starts)
}

// A new owner that can't reach a worker delays only the tasks that may be running there.
func TestTakeoverWaitsForUnreachableWorkers(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	id := sim.submit("a", "aso", normalQueue(), step(2, 8, 8*time.Second))
	sim.waitFor(time.Second, id, workflow.Running)
	sim.run(time.Second)
	sim.owner.stopped = true
	sim.unreachable["w0-0"] = true
	sim.takeOver()
	other := sim.submit("b", "aso", normalQueue(), step(1, 1, time.Second))
	sim.run(2 * time.Second)
	sim.workers["w0-1"].info.Capacity.Accelerators = 16
	sim.owner.reload()
	sim.waitFor(3*time.Second, other, workflow.Completed)
	sim.waitFor(40*time.Second, id, workflow.Completed)
}

// An owner that was frozen while another took over is fenced when it resumes.
func TestFrozenOwnerIsFenced(t *testing.T) {
	sim := startSimulation(t, 1, 3)
	for i := range 8 {
		sim.submit(fmt.Sprintf("j%d", i), "aso", normalQueue(), step(3, 2, 2*time.Second))
	}
	sim.run(time.Second)
	first := sim.owner
	first.pause(5 * time.Second)
	sim.run(ownerLease)
	sim.takeOver()
	for i := range 8 {
		sim.waitFor(time.Minute, model.JobID(fmt.Sprintf("j%d", i)), workflow.Completed)
	}
	require.True(t, sim.runUntil(10*time.Second, func() bool { return first.owner.OwnershipLost() }))
}

func TestDrainingWorkerGetsNoNewTasks(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	sim.workers["w0-0"].info.Draining = true
	sim.owner.reload()
	id := sim.submit("a", "aso", normalQueue(), step(8, 2, time.Second))
	sim.waitFor(10*time.Second, id, workflow.Completed)
	require.Zero(t, sim.workers["w0-0"].endCount)
}

func TestZoneOutOfServiceGetsNoNewTasks(t *testing.T) {
	sim := startSimulation(t, 2, 1)
	sim.policy.ZonesOutOfService["z0"] = true
	sim.owner.reload()
	id := sim.submit("a", "aso", normalQueue(), step(8, 2, time.Second))
	sim.waitFor(10*time.Second, id, workflow.Completed)
	require.Zero(t, sim.workers["w0-0"].endCount)
}

func TestResumesFromItsCheckpoint(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	long := step(1, 8, 10*time.Second)
	long.Checkpoints = true
	id := sim.submit("a", "aso", normalQueue(), long)
	sim.waitFor(time.Second, id, workflow.Running)
	sim.run(6 * time.Second)
	for _, worker := range sim.workers {
		if len(worker.runs) > 0 {
			worker.crash()
		}
	}
	sim.waitFor(8*time.Second, id, workflow.Completed)
	require.Equal(t, 1, sim.audit.resumes)
}

// Urgent work within a guarantee starts in time although other organisations fill the pool.
func TestGuaranteeIsReclaimedInTime(t *testing.T) {
	const limit = 2700 * time.Millisecond
	sim := startSimulation(t, 2, 4)
	sim.policy.Guarantees["aso"] = 32
	sim.owner.reload()
	for i := range 16 {
		sim.submit(fmt.Sprintf("j%d", i), "genkai", normalQueue(), step(4, 1, 20*time.Second))
	}
	sim.run(2 * time.Second)
	require.Equal(t, 64, sim.runningTasks())
	sameRack := gang(4, 8, time.Second)
	sameRack.SameRack = true
	sim.submit("urgent", "aso", urgentQueue(), sameRack)
	require.True(t, sim.runUntil(limit, func() bool {
		return sim.audit.running["urgent.0.0.0"]+sim.audit.running["urgent.0.0.1"]+sim.audit.running["urgent.0.0.2"]+sim.audit.running["urgent.0.0.3"] == 4
	}))
}

func TestOccurrencesRunWhenTheyAreDue(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	id := sim.submitSpec("a", "aso", normalQueue(), workflow.Spec{
		Payload: "a", Steps: []workflow.Step{step(2, 1, time.Second)},
		FirstDue: begin.Add(3 * time.Second), Period: 2 * time.Second, Occurrences: 3,
	})
	sim.run(2900 * time.Millisecond)
	require.Zero(t, sim.audit.starts)
	sim.run(1500 * time.Millisecond)
	require.Equal(t, 2, sim.audit.starts)
	sim.owner.stopped = true
	sim.takeOver()
	sim.waitFor(10*time.Second, id, workflow.Completed)
	require.Equal(t, 6, sim.audit.starts)
}

func TestLongRunningTasksAreRestarted(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	serve := step(2, 1, time.Second)
	serve.LongRunning = true
	id := sim.submit("a", "aso", normalQueue(), serve)
	sim.run(2 * time.Second)
	require.Equal(t, 2, sim.runningTasks())
	for _, worker := range sim.workers {
		for _, run := range worker.sortedRuns() {
			worker.end(run, pool.EndFailed)
		}
	}
	require.True(t, sim.runUntil(3*time.Second, func() bool { return sim.runningTasks() == 2 }))
	sim.run(3 * time.Second)
	require.Equal(t, workflow.Running, sim.state(id))
	sim.cancel(id)
	require.True(t, sim.runUntil(time.Second, func() bool { return sim.runningTasks() == 0 }))
}

func TestBoundOfTasksPerWorker(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	spread := step(8, 1, time.Second)
	spread.MaxPerWorker = 1
	id := sim.submit("a", "aso", normalQueue(), spread)
	sim.waitFor(10*time.Second, id, workflow.Completed)
}

// A task that fits on no worker does not block others.
func TestTaskLargerThanAnyWorkerBlocksNobody(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	sim.submit("huge", "aso", normalQueue(), step(4, 64, time.Second))
	id := sim.submit("a", "aso", normalQueue(), step(4, 1, time.Second))
	sim.waitFor(5*time.Second, id, workflow.Completed)
}

// Tasks on a worker that makes no progress are started on other workers.
func TestStalledTasksMove(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	id := sim.submit("a", "aso", normalQueue(), step(1, 8, 4*time.Second))
	sim.waitFor(time.Second, id, workflow.Running)
	sim.run(2 * time.Second)
	for _, worker := range sim.workers {
		if len(worker.runs) > 0 {
			worker.speed = 0.000001
		}
	}
	sim.waitFor(15*time.Second, id, workflow.Completed)
}

// New tasks go to slow workers last.
func TestSlowWorkersComeLast(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	sim.workers["w0-0"].speed = 0.2
	first := sim.submit("a", "aso", normalQueue(), step(16, 1, 4*time.Second))
	sim.run(3 * time.Second)
	id := sim.submit("b", "aso", normalQueue(), step(4, 1, time.Second))
	sim.waitFor(8*time.Second, id, workflow.Completed)
	sim.waitFor(time.Minute, first, workflow.Completed)
}

// When a worker is about to leave, tasks that can't finish before are moved at once, with
// their checkpoint if they have one; the others may finish.
func TestTasksMoveOffADrainingWorker(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	saving := step(1, 4, 10*time.Second)
	saving.Checkpoints = true
	long := sim.submit("long", "aso", normalQueue(), saving)
	short := sim.submit("short", "aso", normalQueue(), step(1, 4, 3*time.Second))
	sim.run(2500 * time.Millisecond)
	worker := sim.workers["w0-0"]
	require.Len(t, worker.runs, 2)
	worker.info.Draining, worker.info.TimeUntilRemoval = true, 2*time.Second
	sim.owner.reload()
	sim.waitFor(2*time.Second, short, workflow.Completed)
	require.Zero(t, len(worker.runs))
	sim.waitFor(10*time.Second, long, workflow.Completed)
	require.Equal(t, 1, sim.audit.resumes)
	require.Equal(t, 3, sim.audit.starts)
}

// In a large pool an owner claims only the workers that it needs: those of recorded runs,
// and enough for the waiting task groups.
func TestLargePoolIsClaimedAsNeeded(t *testing.T) {
	sim := startSimulation(t, 40, 10)
	id := sim.submit("a", "aso", normalQueue(), gang(16, 8, 4*time.Second), step(300, 1, 4*time.Second))
	sim.waitFor(3*time.Second, id, workflow.Running)
	sim.run(time.Second)
	require.Less(t, sim.claimedWorkers(), 250)
	sim.owner.stopped = true
	sim.takeOver()
	sim.waitFor(10*time.Second, id, workflow.Completed)
	require.Equal(t, 316, sim.audit.starts)
	require.Less(t, sim.claimedWorkers(), 250)
}

// claimedWorkers counts the workers that have received the owner's fencing token.
func (sim *simulation) claimedWorkers() int {
	count := 0
	for _, worker := range sim.workers {
		if worker.fence == uint64(sim.owner.fence) {
			count++
		}
	}
	return count
}

// In a large pool the workers that tasks require by rack or label are claimed for them.
func TestBoundTasksFindTheirWorkersInALargePool(t *testing.T) {
	sim := startSimulation(t, 40, 10)
	near := step(4, 8, time.Second)
	near.DataRack = "r37"
	labelled := step(2, 1, time.Second)
	labelled.RequiredLabel = "r33"
	id := sim.submit("a", "aso", normalQueue(), near, labelled)
	sim.waitFor(4*time.Second, id, workflow.Completed)
	require.Positive(t, sim.workers["w37-0"].endCount)
}

// The list may still show an earlier incarnation of a worker that has already responded
// with a later one. Without the check, each update of the list counted as a restart, and the
// running tasks were started on other workers as well.
func TestOutdatedWorkerListIsIgnored(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	worker := sim.workers["w0-0"]
	sim.run(500 * time.Millisecond)
	worker.crash()
	worker.info.Incarnation = 1
	id := sim.submit("a", "aso", normalQueue(), step(16, 1, 6*time.Second))
	sim.run(3 * time.Second)
	starts := sim.audit.starts
	for range 5 {
		sim.owner.reload()
		sim.run(100 * time.Millisecond)
	}
	sim.waitFor(20*time.Second, id, workflow.Completed)
	require.Equal(t, starts, sim.audit.starts)
}

// A start order may reach an incarnation of the worker that the owner does not know yet: the
// task runs there and must not be started on another worker.
func TestStartReachesALaterIncarnation(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	sim.run(500 * time.Millisecond)
	for _, worker := range sim.workers {
		worker.crash()
	}
	id := sim.submit("a", "aso", normalQueue(), step(10, 1, 2*time.Second))
	sim.run(300 * time.Millisecond)
	sim.owner.reload()
	sim.waitFor(10*time.Second, id, workflow.Completed)
	require.Equal(t, 10, sim.audit.starts)
}

// A start order may be executed just before it expires, while the stop orders for it are
// lost. The task must not be started on another worker before.
func TestUnansweredStartIsWaitedOut(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	tries := 0
	sim.loseCall = func(c pool.Call) (bool, time.Duration) {
		switch {
		case c.Start != nil && c.Start.Payload == "a" && c.Start.Run == 1:
			tries++
			if tries == 3 {
				return true, 1900 * time.Millisecond
			}
			return true, time.Minute
		case c.Stop != nil && sim.now().Sub(begin) < 4*time.Second:
			return true, time.Minute
		}
		return false, 0
	}
	// The other task ends, and is listed, while the start is unanswered.
	sim.submit("other", "aso", normalQueue(), step(1, 1, 2600*time.Millisecond))
	sim.run(100 * time.Millisecond)
	id := sim.submit("a", "aso", normalQueue(), step(1, 1, 3*time.Second))
	sim.waitFor(20*time.Second, id, workflow.Completed)
	require.Equal(t, 3, tries)
}

// A start order that is unanswered when its worker restarts must not block the task group: its
// expiry was on the clock of the earlier incarnation, and the new clock would reach it much
// later.
func TestUnansweredStartAtARestartedWorkerIsResolved(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	sim.run(time.Minute)
	sim.loseCall = func(c pool.Call) (bool, time.Duration) { return c.Start != nil, time.Minute }
	id := sim.submit("a", "aso", normalQueue(), step(1, 1, time.Second))
	sim.run(500 * time.Millisecond)
	sim.workers["w0-0"].crash()
	sim.owner.reload()
	sim.run(500 * time.Millisecond)
	sim.loseCall = nil
	sim.waitFor(10*time.Second, id, workflow.Completed)
}

// A repeated start order is refused as old, since the first one was executed and its run
// has ended; the worker restarts before it has listed that end.
func TestStartRefusedAsOldBeforeARestartIsResolved(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	sim.run(time.Minute)
	refused := false
	sim.loseCall = func(c pool.Call) (bool, time.Duration) {
		switch {
		case c.Start != nil && c.Start.Run == 1 && !refused:
			refused = true
			sim.after(100*time.Millisecond, func() {
				for _, run := range sim.workers["w0-0"].sortedRuns() {
					sim.workers["w0-0"].end(run, pool.EndLeaseExpired)
				}
			})
			return true, 0
		case c.Renew != nil && sim.workers["w0-0"].incarnation == 1:
			return true, time.Minute
		}
		return false, 0
	}
	id := sim.submit("a", "aso", normalQueue(), step(1, 1, time.Second))
	sim.run(1200 * time.Millisecond)
	sim.workers["w0-0"].crash()
	sim.owner.reload()
	sim.waitFor(10*time.Second, id, workflow.Completed)
}

// While the store loses responses, starts are delayed only by a few tries with short timeouts.
func TestLostStoreResponsesDelayStartsBriefly(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	sim.run(time.Second)
	sim.loseWrites, sim.lateWrites = 2, 4*time.Second
	sim.submit("a", "aso", normalQueue(), step(1, 1, 10*time.Second))
	require.True(t, sim.runUntil(1200*time.Millisecond, func() bool { return sim.runningTasks() == 1 }))
}

// A store that resets each connection at once is not called more often than after a failure.
func TestResetWritesAreNotRepeatedAtOnce(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	sim.run(time.Second)
	sim.resetWrites = true
	sim.submit("a", "aso", normalQueue(), step(1, 1, time.Second))
	sim.run(2 * time.Second)
	require.LessOrEqual(t, sim.transactions, 11)
	sim.resetWrites = false
	sim.waitFor(3*time.Second, "a", workflow.Completed)
}
