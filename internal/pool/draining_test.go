package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// submitToOneWorker submits a job of one task, and returns the job and its worker once the task
// runs.
func (sim *simulation) submitToOneWorker(task workflow.Step) (model.JobID, *fakeWorker) {
	id := sim.submit("a", "aso", normalQueue(), task)
	sim.waitFor(5*time.Second, id, workflow.Running)
	sim.run(500 * time.Millisecond)
	for _, f := range sim.workers {
		if len(f.runs) > 0 {
			return id, f
		}
	}
	require.FailNow(sim.t, "the task does not run")
	return "", nil
}

// serving returns a step with one task that runs until it is cancelled.
func serving() workflow.Step {
	task := step(1, 8, time.Second)
	task.LongRunning = true
	return task
}

// Guards against a draining worker that counts as gone because its entry is missing: entries also
// expire while the store is down, and the worker runs on. Its task was started a second time.
func TestDrainingWorkerWhoseEntryExpiresKeepsItsTasks(t *testing.T) {
	for name, test := range map[string]struct {
		// drains is how long the worker stays at least, missing how long its entry is missing.
		drains, missing time.Duration
		takeOver        bool
	}{
		"time left":                {12 * time.Second, 1500 * time.Millisecond, false},
		"minimum time nearly over": {9 * time.Second, 1500 * time.Millisecond, false},
		"missing for longer":       {12 * time.Second, 8 * time.Second, false},
		"takeover in between":      {12 * time.Second, 1500 * time.Millisecond, true},
		"takeover, while missing":  {12 * time.Second, 5 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := startSimulation(t, 1, 4)
			id, f := sim.submitToOneWorker(step(1, 8, 9*time.Second))
			f.drain(test.drains)
			sim.run(entryLifetime + 100*time.Millisecond)
			f.unlist()
			if test.takeOver {
				sim.run(test.missing / 2)
				sim.owner.stopped = true
				sim.takeOver()
				sim.run(test.missing / 2)
			} else {
				sim.run(test.missing)
			}
			f.list()
			sim.waitFor(20*time.Second, id, workflow.Completed)
			require.Equal(t, 1, sim.audit.starts)
		})
	}
}

// A draining worker that has left looks like one that is cut off, however its entry and its address
// look. Its tasks start again as soon as its last lease has certainly run out, and no earlier.
func TestDrainingWorkerThatHasLeftIsGivenUpWithItsLease(t *testing.T) {
	for name, test := range map[string]struct {
		// writtenFor is the age of the entry when the worker leaves; silentAddress is true if
		// its address does not answer and false if connections are refused.
		writtenFor    time.Duration
		silentAddress bool
		unlisted      bool
	}{
		"refused, removed": {time.Second, false, true},
		"refused, expired": {entryLifetime + time.Second, false, true},
		"refused, listed":  {time.Second, false, false},
		"silent, removed":  {time.Second, true, true},
		"silent, expired":  {entryLifetime + time.Second, true, true},
		"silent, listed":   {time.Second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			sim := startSimulation(t, 1, 4)
			_, f := sim.submitToOneWorker(serving())
			f.drain(500 * time.Millisecond)
			// Else the task would be moved before.
			sim.unreachable[f.info.ID] = true
			sim.run(test.writtenFor)
			leaseEnd := sim.now().Add(time.Duration(f.leaseMS-f.clockMS()) * time.Millisecond)
			f.leave()
			sim.unreachable[f.info.ID] = test.silentAddress
			if test.unlisted {
				f.unlist()
			}
			// The worker's clock may be 2% slow.
			latest := leaseEnd.Add(workerLease/49 + maxAdvanceInterval)
			require.True(t, sim.runUntil(latest.Sub(sim.now()), func() bool { return sim.audit.starts == 2 }))
			require.True(t, sim.now().After(leaseEnd))
			sim.run(10 * time.Second)
			require.Equal(t, 2, sim.audit.starts)
		})
	}
}

// Only the end of its lease shows whether a silent draining worker has left or is cut off.
func TestDrainingWorkerThatIsSilentIsGivenUpWithItsLease(t *testing.T) {
	for _, left := range []bool{true, false} {
		t.Run(fmt.Sprintf("left %v", left), func(t *testing.T) {
			sim := startSimulation(t, 1, 4)
			_, f := sim.submitToOneWorker(serving())
			f.drain(500 * time.Millisecond)
			sim.run(time.Second)
			sim.unreachable[f.info.ID] = true
			if left {
				f.leave()
			}
			sim.run(entryLifetime)
			f.unlist()
			require.True(t, sim.runUntil(workerLease-entryLifetime+time.Second, func() bool { return sim.audit.starts == 2 }))
		})
	}
}

// Guards against a refused connection that counts as the end of a draining worker: a cut may refuse
// while the worker runs on. Its tasks were started a second time.
func TestDrainingWorkerThatRefusesConnectionsKeepsItsTasks(t *testing.T) {
	for name, test := range map[string]struct {
		task   workflow.Step
		drains time.Duration
		// silent is how long the entry is written no more, refuses how long connections are
		// refused from then on.
		silent, refuses time.Duration
		expires         bool
		takeOver        bool
	}{
		"entry expired, refused for long":     {step(1, 8, 9*time.Second), 14 * time.Second, entryLifetime, 3 * time.Second, true, false},
		"entry expired, refused for a moment": {step(1, 8, 9*time.Second), 14 * time.Second, entryLifetime, 1200 * time.Millisecond, true, false},
		"minimum time over":                   {serving(), time.Second, 3 * time.Second, 500 * time.Millisecond, false, false},
		"minimum time over, entry expired":    {serving(), time.Second, 3 * time.Second, 500 * time.Millisecond, true, false},
		"takeover meanwhile":                  {serving(), time.Second, 3 * time.Second, 500 * time.Millisecond, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := startSimulation(t, 1, 4)
			_, f := sim.submitToOneWorker(test.task)
			f.drain(test.drains)
			// A task whose worker may leave soon would be moved if the worker could be reached.
			f.cutRefusing = test.drains < longRunningMoveMargin
			sim.run(test.silent + 100*time.Millisecond)
			f.cutRefusing = true
			sim.run(300 * time.Millisecond)
			if test.expires {
				f.unlist()
			}
			if test.takeOver {
				sim.owner.stopped = true
				sim.takeOver()
			}
			sim.run(test.refuses)
			require.Equal(t, 1, sim.audit.starts)
			f.cutRefusing = false
			f.list()
			sim.run(10 * time.Second)
			if test.drains >= longRunningMoveMargin {
				require.Equal(t, 1, sim.audit.starts)
			} else {
				require.Equal(t, 1, sim.runningTasks())
			}
		})
	}
}

// longRunningMoveMargin is how long before its worker may leave a long-running task is moved.
const longRunningMoveMargin = 2500 * time.Millisecond

// Guards against an entry that is missing soon after it was written and therefore counts as removed
// by its draining worker: the store may have let it lapse, or another writer may have made it
// unreadable. Tasks of the worker were started a second time.
func TestDrainingWorkerWhoseEntryVanishesEarlyKeepsItsTasks(t *testing.T) {
	for _, age := range []time.Duration{100 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		t.Run(age.String(), func(t *testing.T) {
			sim := startSimulation(t, 1, 4)
			id, f := sim.submitToOneWorker(step(1, 8, 9*time.Second))
			f.drain(14 * time.Second)
			sim.run(age)
			f.unlist()
			sim.run(1500 * time.Millisecond)
			f.list()
			sim.waitFor(20*time.Second, id, workflow.Completed)
			require.Equal(t, 1, sim.audit.starts)
		})
	}
}

// Guards against a long-running task that stays on a draining worker to the end: it was away until
// the lease of that worker had run out, 4 to 6 s, and longer with a takeover.
func TestLongRunningTaskIsMovedBeforeItsWorkerLeaves(t *testing.T) {
	for _, drains := range []time.Duration{time.Second, 4 * time.Second, 8 * time.Second} {
		t.Run(drains.String(), func(t *testing.T) {
			sim := startSimulation(t, 1, 4)
			_, f := sim.submitToOneWorker(serving())
			f.drain(drains)
			sim.run(max(0, drains-3*time.Second))
			if drains > 4*time.Second {
				require.Equal(t, 1, sim.audit.starts, "a task that can still serve is not moved")
			}
			sim.run(drains - max(0, drains-3*time.Second))
			f.leave()
			f.unlist()
			require.Equal(t, 2, sim.audit.starts)
			require.Equal(t, 1, sim.runningTasks())
		})
	}
}
