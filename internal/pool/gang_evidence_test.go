package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// refuseCalls makes the worker's address refuse connections for d, while what it runs goes on.
func (f *fakeWorker) refuseCalls(d time.Duration) {
	f.left = true
	until := f.now().Add(d)
	var tick func()
	tick = func() {
		f.advance()
		if f.now().Before(until) {
			f.sim.after(10*time.Millisecond, tick)
			return
		}
		f.left = false
	}
	tick()
}

// submitGang submits a gang with a member on each of three workers, and returns one of these once
// the gang runs.
func (sim *simulation) submitGang(work workflow.Step) (model.JobID, *fakeWorker) {
	id := sim.submit("a", "aso", normalQueue(), work)
	require.True(sim.t, sim.runUntil(5*time.Second, func() bool { return sim.runningTasks() == 3 }))
	sim.run(time.Second)
	for _, worker := range sim.ids {
		if f := sim.workers[worker]; len(f.runs) == 1 {
			return id, f
		}
	}
	require.FailNow(sim.t, "the gang does not run")
	return "", nil
}

// Guards against a gang that is stopped and started again since one of its workers, which drains,
// refuses connections for a moment: that member had not ended.
func TestGangOutlivesAWorkerThatDrainsAndRefuses(t *testing.T) {
	for name, unlisted := range map[string]bool{
		"its entry has expired": true,
		"it is listed":          false,
	} {
		t.Run(name, func(t *testing.T) {
			sim := startSimulation(t, 1, 6)
			id, f := sim.submitGang(gang(3, 8, 10*time.Second))
			f.drain(14 * time.Second)
			sim.run(entryLifetime + 100*time.Millisecond)
			if unlisted {
				f.unlist()
			}
			f.refuseCalls(1200 * time.Millisecond)
			sim.waitFor(40*time.Second, id, workflow.Completed)
			require.Equal(t, 3, sim.audit.starts)
		})
	}
}

// Guards against a gang that is stopped while its member on a worker that drains and refuses
// connections may run on. That member ends with its lease, and nothing of the gang is started
// before. The audit checks each start.
func TestRefusingMemberOfAGangEndsWithItsLease(t *testing.T) {
	sim := startSimulation(t, 1, 6)
	id, f := sim.submitGang(gang(3, 8, 12*time.Second))
	f.drain(15 * time.Second)
	// The lease is renewed until shortly before the worker's entry expires.
	sim.run(entryLifetime - time.Second)
	f.refuseCalls(2 * workerLease)
	sim.run(time.Second)
	f.unlist()
	require.True(t, sim.runUntil(2*workerLease, func() bool { return len(f.runs) == 0 }))
	require.Equal(t, pool.EndLeaseExpired, f.ends[len(f.ends)-1].Cause)
	require.Equal(t, 3, sim.audit.starts)
	sim.waitFor(2*time.Minute, id, workflow.Completed)
	require.Equal(t, 6, sim.audit.starts)
}

// The other members of a gang are stopped once one of them has certainly ended, and the gang starts
// again as one run.
func TestGangEndsWithAMemberThatHasLeft(t *testing.T) {
	for name, refuses := range map[string]bool{"the worker restarts": false, "nothing listens any more": true} {
		t.Run(name, func(t *testing.T) {
			sim := startSimulation(t, 1, 6)
			sim.audit.faults = true
			id, f := sim.submitGang(gang(3, 8, 10*time.Second))
			f.crash()
			f.left = refuses
			sim.waitFor(time.Minute, id, workflow.Completed)
			require.Equal(t, 6, sim.audit.starts)
		})
	}
}

// A member whose start order has no response may run. The order is repeated for the same run, and
// another run starts only once that one is known not to exist. The audit checks each start.
func TestGangWithAStartInDoubtIsNotStartedTwice(t *testing.T) {
	for name, late := range map[string]time.Duration{"carried out at once": 0, "carried out late": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			sim := startSimulation(t, 1, 6)
			sim.audit.faults = true
			sim.run(time.Second)
			lost := 0
			sim.loseCall = func(c pool.Call) (bool, time.Duration) {
				if c.Start == nil || c.Start.Run != 1 || lost == 2 {
					return false, 0
				}
				lost++
				return true, late
			}
			id := sim.submit("a", "aso", normalQueue(), gang(3, 8, 5*time.Second))
			sim.waitFor(time.Minute, id, workflow.Completed)
			require.Equal(t, 2, lost)
		})
	}
}
