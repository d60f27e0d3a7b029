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
	w := start(t, 1, 4)
	second := step(4, 1, time.Second)
	second.After = []int{0}
	id := w.submit("a", "aso", normal(), step(3, 2, time.Second), second, gang(4, 8, time.Second))
	w.waitFor(10*time.Second, id, workflow.Completed)
}

func TestJobIsCompletedOnlyOnceRecorded(t *testing.T) {
	w := start(t, 1, 1)
	id := w.submit("a", "aso", normal(), step(1, 1, time.Second))
	w.waitFor(time.Second, id, workflow.Running)
	w.run(500 * time.Millisecond)
	w.storeDown = true
	w.run(2 * time.Second)
	require.True(t, w.audit.done["a.0.0.0"])
	require.Equal(t, workflow.Running, w.state(id))
	w.storeDown = false
	w.waitFor(time.Second, id, workflow.Completed)
}

func TestFailsAfterItsLastAttempt(t *testing.T) {
	w := start(t, 1, 4)
	for _, worker := range w.workers {
		worker.fails = true
	}
	id := w.submit("a", "aso", normal(), step(1, 1, 200*time.Millisecond))
	w.waitFor(30*time.Second, id, workflow.Failed)
	require.Equal(t, normal().MaxAttempts, w.audit.starts)
}

// A retry goes to a worker other than the one at which the task failed.
func TestRetryAvoidsTheWorkerThatFailed(t *testing.T) {
	w := start(t, 1, 2)
	w.workers["w0-0"].fails = true
	var ids []model.JobID
	for i := range 6 {
		ids = append(ids, w.submit(fmt.Sprintf("j%d", i), "aso", normal(), step(1, 1, 300*time.Millisecond)))
	}
	for _, id := range ids {
		w.waitFor(10*time.Second, id, workflow.Completed)
	}
}

func TestCancelStopsEverything(t *testing.T) {
	w := start(t, 1, 4)
	id := w.submit("a", "aso", normal(), gang(4, 8, time.Minute), step(8, 1, time.Minute))
	w.waitFor(2*time.Second, id, workflow.Running)
	w.run(time.Second)
	w.cancel(id)
	require.Equal(t, workflow.Cancelled, w.state(id))
	require.True(t, w.runUntil(time.Second, func() bool { return w.runningTasks() == 0 }))
	starts := w.audit.starts
	w.run(5 * time.Second)
	require.Equal(t, starts, w.audit.starts)
}

func (w *world) runningTasks() int {
	count := 0
	for _, worker := range w.workers {
		count += len(worker.runs)
	}
	return count
}

// A start whose answer is lost and that is carried out seconds later runs only once.
func TestStartsCarriedOutLate(t *testing.T) {
	w := start(t, 1, 3)
	w.lose = func(c pool.Call) (bool, time.Duration) {
		if c.Start != nil && w.rng.IntN(3) == 0 {
			return true, time.Duration(2+w.rng.IntN(10)) * time.Second
		}
		return false, 0
	}
	var ids []model.JobID
	for i := range 10 {
		ids = append(ids, w.submit(fmt.Sprintf("j%d", i), "aso", normal(), step(3, 1, time.Second)))
	}
	for _, id := range ids {
		w.waitFor(time.Minute, id, workflow.Completed)
	}
}

func TestOrdersThatAreCarriedOutWithoutAnswer(t *testing.T) {
	w := start(t, 1, 3)
	w.lose = func(pool.Call) (bool, time.Duration) { return w.rng.IntN(4) == 0, 0 }
	var ids []model.JobID
	for i := range 10 {
		ids = append(ids, w.submit(fmt.Sprintf("j%d", i), "aso", normal(), step(2, 1, time.Second), step(1, 8, time.Second)))
	}
	for _, id := range ids {
		w.waitFor(time.Minute, id, workflow.Completed)
	}
}

// A write whose answer was lost, and that happens only after newer ones, changes nothing.
func TestRecordsThatAreWrittenLate(t *testing.T) {
	w := start(t, 1, 3)
	w.lateWrites = 2 * time.Second
	w.after(300*time.Millisecond, func() { w.loseWrites = 3 })
	w.after(2*time.Second, func() { w.loseWrites = 4 })
	var ids []model.JobID
	for i := range 6 {
		ids = append(ids, w.submit(fmt.Sprintf("j%d", i), "aso", normal(), step(3, 2, time.Second), step(2, 1, 2*time.Second)))
	}
	for _, id := range ids {
		w.waitFor(time.Minute, id, workflow.Completed)
	}
}

// A cut worker runs on until its lease lapses; its tasks start elsewhere after that.
func TestCutWorkerIsWaitedOut(t *testing.T) {
	w := start(t, 1, 2)
	id := w.submit("a", "aso", normal(), step(4, 2, 4*time.Second))
	w.waitFor(time.Second, id, workflow.Running)
	w.run(time.Second)
	w.cut["w0-0"] = true
	w.waitFor(30*time.Second, id, workflow.Completed)
}

func TestRebornWorkerLosesItsTasks(t *testing.T) {
	w := start(t, 1, 1)
	id := w.submit("a", "aso", normal(), step(2, 1, 2*time.Second))
	w.waitFor(time.Second, id, workflow.Running)
	w.run(time.Second)
	w.workers["w0-0"].crash()
	w.waitFor(10*time.Second, id, workflow.Completed)
	require.Equal(t, 4, w.audit.starts)
}

// A new owner finds the running tasks and keeps them.
func TestTakeOverKeepsRunningTasks(t *testing.T) {
	w := start(t, 1, 4)
	id := w.submit("a", "aso", normal(), gang(3, 8, 6*time.Second), step(4, 1, 6*time.Second))
	w.waitFor(time.Second, id, workflow.Running)
	w.run(time.Second)
	w.owner.stopped = true
	w.run(2 * time.Second)
	w.takeOver()
	w.waitFor(10*time.Second, id, workflow.Completed)
	require.Equal(t, 7, w.audit.starts)
}

// A new owner that can't reach a worker holds back just the tasks that may be there.
func TestTakeOverWaitsForWhatItCannotReach(t *testing.T) {
	w := start(t, 1, 2)
	id := w.submit("a", "aso", normal(), step(2, 8, 8*time.Second))
	w.waitFor(time.Second, id, workflow.Running)
	w.run(time.Second)
	w.owner.stopped = true
	w.cut["w0-0"] = true
	w.takeOver()
	other := w.submit("b", "aso", normal(), step(1, 1, time.Second))
	w.run(2 * time.Second)
	w.workers["w0-1"].info.Capacity.Accelerators = 16
	w.owner.sync()
	w.waitFor(3*time.Second, other, workflow.Completed)
	w.waitFor(40*time.Second, id, workflow.Completed)
}

// An owner that was frozen while another took over does no harm when it wakes.
func TestFrozenOwnerIsFenced(t *testing.T) {
	w := start(t, 1, 3)
	for i := range 8 {
		w.submit(fmt.Sprintf("j%d", i), "aso", normal(), step(3, 2, 2*time.Second))
	}
	w.run(time.Second)
	first := w.owner
	first.pause(5 * time.Second)
	w.run(ownerLease)
	w.takeOver()
	for i := range 8 {
		w.waitFor(time.Minute, model.JobID(fmt.Sprintf("j%d", i)), workflow.Completed)
	}
	require.True(t, w.runUntil(10*time.Second, func() bool { return first.owner.Deposed() }))
}

func TestDrainingWorkerGetsNothingNew(t *testing.T) {
	w := start(t, 1, 2)
	w.workers["w0-0"].info.Draining = true
	w.owner.sync()
	id := w.submit("a", "aso", normal(), step(8, 2, time.Second))
	w.waitFor(10*time.Second, id, workflow.Completed)
	require.Zero(t, w.workers["w0-0"].number)
}

func TestZoneOutGetsNothingNew(t *testing.T) {
	w := start(t, 2, 1)
	w.policy.Out["z0"] = true
	w.owner.sync()
	id := w.submit("a", "aso", normal(), step(8, 2, time.Second))
	w.waitFor(10*time.Second, id, workflow.Completed)
	require.Zero(t, w.workers["w0-0"].number)
}

func TestResumesFromItsCheckpoint(t *testing.T) {
	w := start(t, 1, 2)
	long := step(1, 8, 10*time.Second)
	long.Checkpoints = true
	id := w.submit("a", "aso", normal(), long)
	w.waitFor(time.Second, id, workflow.Running)
	w.run(6 * time.Second)
	for _, worker := range w.workers {
		if len(worker.runs) > 0 {
			worker.crash()
		}
	}
	w.waitFor(8*time.Second, id, workflow.Completed)
	require.Equal(t, 1, w.audit.resume)
}

// Urgent work within a guarantee starts in time although others fill the pool.
func TestGuaranteeIsReclaimedInTime(t *testing.T) {
	const bound = 2700 * time.Millisecond
	w := start(t, 2, 4)
	w.policy.Guarantees["aso"] = 32
	w.owner.sync()
	for i := range 16 {
		w.submit(fmt.Sprintf("j%d", i), "genkai", normal(), step(4, 1, 20*time.Second))
	}
	w.run(2 * time.Second)
	require.Equal(t, 64, w.runningTasks())
	sameRack := gang(4, 8, time.Second)
	sameRack.SameRack = true
	w.submit("urgent", "aso", urgent(), sameRack)
	require.True(t, w.runUntil(bound, func() bool {
		return w.audit.running["urgent.0.0.0"]+w.audit.running["urgent.0.0.1"]+w.audit.running["urgent.0.0.2"]+w.audit.running["urgent.0.0.3"] == 4
	}))
}

func TestOccurrencesRunWhenTheyAreDue(t *testing.T) {
	w := start(t, 1, 2)
	id := w.submitSpec("a", "aso", normal(), workflow.Spec{
		Payload: "a", Steps: []workflow.Step{step(2, 1, time.Second)},
		First: begin.Add(3 * time.Second), Period: 2 * time.Second, Occurrences: 3,
	})
	w.run(2900 * time.Millisecond)
	require.Zero(t, w.audit.starts)
	w.run(1500 * time.Millisecond)
	require.Equal(t, 2, w.audit.starts)
	w.owner.stopped = true
	w.takeOver()
	w.waitFor(10*time.Second, id, workflow.Completed)
	require.Equal(t, 6, w.audit.starts)
}

func TestLongRunningTasksAreRestarted(t *testing.T) {
	w := start(t, 1, 2)
	serve := step(2, 1, time.Second)
	serve.LongRunning = true
	id := w.submit("a", "aso", normal(), serve)
	w.run(2 * time.Second)
	require.Equal(t, 2, w.runningTasks())
	for _, worker := range w.workers {
		for _, run := range worker.sorted() {
			worker.end(run, pool.EndFailed)
		}
	}
	require.True(t, w.runUntil(3*time.Second, func() bool { return w.runningTasks() == 2 }))
	w.run(3 * time.Second)
	require.Equal(t, workflow.Running, w.state(id))
	w.cancel(id)
	require.True(t, w.runUntil(time.Second, func() bool { return w.runningTasks() == 0 }))
}

func TestBoundOfTasksPerWorker(t *testing.T) {
	w := start(t, 1, 4)
	spread := step(8, 1, time.Second)
	spread.MaxPerWorker = 1
	id := w.submit("a", "aso", normal(), spread)
	w.waitFor(10*time.Second, id, workflow.Completed)
}

// A task that no worker can ever hold waits without holding up others.
func TestTaskLargerThanAnyWorkerBlocksNobody(t *testing.T) {
	w := start(t, 1, 2)
	w.submit("huge", "aso", normal(), step(4, 64, time.Second))
	id := w.submit("a", "aso", normal(), step(4, 1, time.Second))
	w.waitFor(5*time.Second, id, workflow.Completed)
}

// Tasks on a worker that stands still are started elsewhere.
func TestStalledTasksMove(t *testing.T) {
	w := start(t, 1, 2)
	id := w.submit("a", "aso", normal(), step(1, 8, 4*time.Second))
	w.waitFor(time.Second, id, workflow.Running)
	w.run(2 * time.Second)
	for _, worker := range w.workers {
		if len(worker.runs) > 0 {
			worker.speed = 0.000001
		}
	}
	w.waitFor(15*time.Second, id, workflow.Completed)
}

// New tasks go to workers that are not slow.
func TestSlowWorkersComeLast(t *testing.T) {
	w := start(t, 1, 2)
	w.workers["w0-0"].speed = 0.2
	first := w.submit("a", "aso", normal(), step(16, 1, 4*time.Second))
	w.run(3 * time.Second)
	id := w.submit("b", "aso", normal(), step(4, 1, time.Second))
	w.waitFor(8*time.Second, id, workflow.Completed)
	w.waitFor(time.Minute, first, workflow.Completed)
}

// A worker announces that it leaves: what can't be done before is moved at once, with
// its progress where it saves any; the rest is left to end.
func TestTasksMoveFromALeavingWorker(t *testing.T) {
	w := start(t, 1, 2)
	saving := step(1, 4, 10*time.Second)
	saving.Checkpoints = true
	long := w.submit("long", "aso", normal(), saving)
	short := w.submit("short", "aso", normal(), step(1, 4, 3*time.Second))
	w.run(2500 * time.Millisecond)
	worker := w.workers["w0-0"]
	require.Len(t, worker.runs, 2)
	worker.info.Draining, worker.info.Leaves = true, 2*time.Second
	w.owner.sync()
	w.waitFor(2*time.Second, short, workflow.Completed)
	require.Zero(t, len(worker.runs))
	w.waitFor(10*time.Second, long, workflow.Completed)
	require.Equal(t, 1, w.audit.resume)
	require.Equal(t, 3, w.audit.starts)
}

// Of a large pool an owner claims what it needs: the workers of recorded runs, and room
// for what waits.
func TestLargePoolIsClaimedAsNeeded(t *testing.T) {
	w := start(t, 40, 10)
	id := w.submit("a", "aso", normal(), gang(16, 8, 4*time.Second), step(300, 1, 4*time.Second))
	w.waitFor(3*time.Second, id, workflow.Running)
	w.run(time.Second)
	require.Less(t, w.claimedWorkers(), 250)
	w.owner.stopped = true
	w.takeOver()
	w.waitFor(10*time.Second, id, workflow.Completed)
	require.Equal(t, 316, w.audit.starts)
	require.Less(t, w.claimedWorkers(), 250)
}

// claimedWorkers counts the workers that have seen the owner's fence.
func (w *world) claimedWorkers() int {
	count := 0
	for _, worker := range w.workers {
		if worker.fence == uint64(w.owner.fence) {
			count++
		}
	}
	return count
}

// Tasks that are bound to a rack find their workers in a large pool.
func TestBoundTasksFindTheirWorkersInALargePool(t *testing.T) {
	w := start(t, 40, 10)
	near := step(4, 8, time.Second)
	near.DataRack = "r37"
	labelled := step(2, 1, time.Second)
	labelled.RequiredLabel = "r33"
	id := w.submit("a", "aso", normal(), near, labelled)
	w.waitFor(4*time.Second, id, workflow.Completed)
	require.Positive(t, w.workers["w37-0"].number)
}

// The list may still show an earlier life of a worker that has answered as a later one.
// (Found by the soak, seed 4: the worker counted as born again with every reading of the
// list, and its running tasks were started elsewhere.)
func TestListThatIsBehindChangesNothing(t *testing.T) {
	w := start(t, 1, 2)
	worker := w.workers["w0-0"]
	w.run(500 * time.Millisecond)
	worker.crash()
	worker.info.Born = 1
	id := w.submit("a", "aso", normal(), step(16, 1, 6*time.Second))
	w.run(3 * time.Second)
	starts := w.audit.starts
	for range 5 {
		w.owner.sync()
		w.run(100 * time.Millisecond)
	}
	w.waitFor(20*time.Second, id, workflow.Completed)
	require.Equal(t, starts, w.audit.starts)
}

// A start may reach a life of the worker that the owner has not heard of yet: the task
// runs there, and is not started elsewhere. (Found by the soak, seed 3.)
func TestStartReachesALaterLife(t *testing.T) {
	w := start(t, 1, 2)
	w.run(500 * time.Millisecond)
	for _, worker := range w.workers {
		worker.crash()
	}
	id := w.submit("a", "aso", normal(), step(10, 1, 2*time.Second))
	w.run(300 * time.Millisecond)
	w.owner.sync()
	w.waitFor(10*time.Second, id, workflow.Completed)
	require.Equal(t, 10, w.audit.starts)
}

// A start that is carried out just before it expires, while orders to stop it are lost,
// still finds the task nowhere else.
func TestStartInDoubtIsWaitedOut(t *testing.T) {
	w := start(t, 1, 2)
	tries := 0
	w.lose = func(c pool.Call) (bool, time.Duration) {
		switch {
		case c.Start != nil && c.Start.Payload == "a" && c.Start.Run == 1:
			tries++
			if tries == 3 {
				return true, 1900 * time.Millisecond
			}
			return true, time.Minute
		case c.Stop != nil && w.now().Sub(begin) < 4*time.Second:
			return true, time.Minute
		}
		return false, 0
	}
	// The other task ends, and is listed, while the start is in doubt.
	w.submit("other", "aso", normal(), step(1, 1, 2600*time.Millisecond))
	w.run(100 * time.Millisecond)
	id := w.submit("a", "aso", normal(), step(1, 1, 3*time.Second))
	w.waitFor(20*time.Second, id, workflow.Completed)
	require.Equal(t, 3, tries)
}

// A start in doubt when its worker is born again is settled: its expiry was on the clock
// of the earlier life, which the new one reaches much later. (Found by a hunt, on a day
// on which workers are cut and born again.)
func TestStartInDoubtAtARebornWorkerIsSettled(t *testing.T) {
	w := start(t, 1, 1)
	w.run(time.Minute)
	w.lose = func(c pool.Call) (bool, time.Duration) { return c.Start != nil, time.Minute }
	id := w.submit("a", "aso", normal(), step(1, 1, time.Second))
	w.run(500 * time.Millisecond)
	w.workers["w0-0"].crash()
	w.owner.sync()
	w.run(500 * time.Millisecond)
	w.lose = nil
	w.waitFor(10*time.Second, id, workflow.Completed)
}

// A repeated start is refused as old when the first was carried out and its run has
// ended; the worker is born again before it has listed that end.
func TestStartRefusedAsOldBeforeARebirthIsSettled(t *testing.T) {
	w := start(t, 1, 1)
	w.run(time.Minute)
	refused := false
	w.lose = func(c pool.Call) (bool, time.Duration) {
		switch {
		case c.Start != nil && c.Start.Run == 1 && !refused:
			refused = true
			w.after(100*time.Millisecond, func() {
				for _, run := range w.workers["w0-0"].sorted() {
					w.workers["w0-0"].end(run, pool.EndLeaseExpired)
				}
			})
			return true, 0
		case c.Hold != nil && w.workers["w0-0"].born == 1:
			return true, time.Minute
		}
		return false, 0
	}
	id := w.submit("a", "aso", normal(), step(1, 1, time.Second))
	w.run(1200 * time.Millisecond)
	w.workers["w0-0"].crash()
	w.owner.sync()
	w.waitFor(10*time.Second, id, workflow.Completed)
}

// While the store loses answers, starts wait for a few short tries and not for long ones.
func TestLostAnswersOfTheStoreHoldUpStartsBriefly(t *testing.T) {
	w := start(t, 1, 1)
	w.run(time.Second)
	w.loseWrites, w.lateWrites = 2, 4*time.Second
	w.submit("a", "aso", normal(), step(1, 1, 10*time.Second))
	require.True(t, w.runUntil(1200*time.Millisecond, func() bool { return w.runningTasks() == 1 }))
}

// A store that resets each write at once is not asked more often than it would be after
// a refusal.
func TestResetWritesAreNotRepeatedAtOnce(t *testing.T) {
	w := start(t, 1, 1)
	w.run(time.Second)
	w.resetWrites = true
	w.submit("a", "aso", normal(), step(1, 1, time.Second))
	w.run(2 * time.Second)
	require.LessOrEqual(t, w.transactions, 11)
	w.resetWrites = false
	w.waitFor(3*time.Second, "a", workflow.Completed)
}
