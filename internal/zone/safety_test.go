package zone_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/standin/pool"
	"github.com/chervilrun/chervilrun/internal/view"
	"github.com/chervilrun/chervilrun/internal/zone"
)

// onOneWorker returns a job whose tasks must all run on one worker.
func onOneWorker(id string, run time.Duration) model.JobSpec {
	s := spec(id, 2, run)
	s.Shape.Adjacency = model.AdjacencyWorker
	return s
}

// TestFrozenWorkerStartsNothingLate freezes the workers while a start is in flight and
// unfreezes them after the attempt was abandoned: the start must have no effect then.
func TestFrozenWorkerStartsNothingLate(t *testing.T) {
	c := newTestCluster(t, 16, 2)
	z := c.zones[0]
	c.run(4 * time.Second)
	frozen := c.pool.Workers()[:2]
	for _, info := range frozen {
		c.pool.SetFaults(info.ID, pool.Faults{Frozen: true})
	}
	c.submitTo(z, onOneWorker("a", time.Second))
	c.run(20 * time.Second)
	require.Empty(t, c.pool.History())
	c.kill(z) // so that the job is not started again at once
	c.run(time.Second)
	for _, info := range frozen {
		c.pool.SetFaults(info.ID, pool.Faults{})
	}
	require.Empty(t, c.pool.History(), "a start took effect 20 s late")
	c.requireDone(t, "a")
	c.requireInvariants()
}

// TestTakeOverWaitsForUnreportedTasks makes a worker that runs a complete gang unreachable
// and kills the owner. The next owner gets no report of the gang and must not start the
// job a second time while the gang may be running.
func TestTakeOverWaitsForUnreportedTasks(t *testing.T) {
	c := newTestCluster(t, 17, 4)
	z := c.zones[0]
	c.run(time.Second)
	c.submitTo(z, onOneWorker("a", 50*time.Second))
	require.True(t, c.runUntil(5*time.Second, c.allRunning("a", 2)))
	c.run(3 * time.Second)
	c.pool.SetFaults(c.workerOf("a", 0), pool.Faults{Partitioned: true})
	c.kill(z)
	c.run(8 * time.Second)
	require.Contains(t, z.owner.runner.Explain("a", c.now()), "earlier owner")
	c.submitTo(z, onOneWorker("b", time.Second)) // jobs of the new epoch start at once
	require.True(t, c.runUntil(2*time.Second, c.allRunning("b", 2)))
	c.requireDone(t, "a")
	c.requireInvariants()
}

// Guards against a lease that ends later than the next owner assumes: an earlier owner whose view was
// confirmed right before the takeover may still act for view.MaxConfirmationAge, here to extend leases
// for a handover.
func TestTakeOverWaitsForLeasesGivenAfterIt(t *testing.T) {
	c := newTestCluster(t, 63, 2)
	z := c.zones[0]
	c.run(time.Second)
	c.submitTo(z, onOneWorker("a", 45*time.Second))
	require.True(t, c.runUntil(5*time.Second, c.allRunning("a", 2)))
	c.run(3 * time.Second)
	earlier := z.owner
	confirmed := view.MaxConfirmationAge
	earlier.ownedUntil = c.now().Add(confirmed)
	c.takeZone(z)
	z.owner.cutOff = map[model.WorkerID]bool{c.workerOf("a", 0): true}
	earlier.cutOff = map[model.WorkerID]bool{}
	for _, w := range c.pool.Workers() {
		earlier.cutOff[w.ID] = w.ID != c.workerOf("a", 0) // it hears of the new epoch nowhere
	}
	c.run(confirmed - 100*time.Millisecond)
	earlier.execute(func() { earlier.runner.BeginRelease(c.now()) })
	c.requireDone(t, "a")
	c.requireInvariants()
}

// TestStaleViewStartsNothing takes a zone out of service while its owner receives no view
// updates. The owner must stop starting tasks once its view is stale.
func TestStaleViewStartsNothing(t *testing.T) {
	c := newTestCluster(t, 18, 8)
	z := c.zones[0]
	c.run(2 * time.Second)
	z.owner.missesUpdates = true
	c.setOutOfService(z, true)
	for i := range 20 {
		c.submitTo(z, spec(fmt.Sprint("job", i), 1, time.Second))
		c.run(500 * time.Millisecond)
	}
	c.requireInvariants()
	require.NotEmpty(t, c.pool.History(), "tasks must start while the view is fresh")
}

// TestLateWriteIsNotRefused delays the write of a submission until after it was read back,
// and then lets the store fail. The job must not be refused, since its record exists.
func TestLateWriteIsNotRefused(t *testing.T) {
	c := newTestCluster(t, 19, 2)
	z := c.zones[0]
	c.run(time.Second)
	c.writesToDelay = 1
	c.submitTo(z, spec("a", 1, time.Second))
	isWrittenAgain := func() bool { return z.owner.calls[zone.CallWrite] == 2 }
	for !isWrittenAgain() {
		c.run(100 * time.Microsecond)
	}
	require.Equal(t, 1, z.owner.calls[zone.CallReadBack])
	c.storeDown = true
	c.run(20 * time.Second)
	_, recorded := c.record("a")
	require.True(t, recorded, "the delayed write must have taken effect")
	require.Empty(t, c.outcomes["a"].Kind)
	c.storeDown = false
	c.requireDone(t, "a")
	require.Equal(t, outcome.Accepted, c.outcomes["a"].Kind)
	c.requireInvariants()
}

// TestOldOwnersWriteIsRefused delays a write of a dead owner until the next owner has
// loaded the records. The write must fail, since the next owner would miss the record.
func TestOldOwnersWriteIsRefused(t *testing.T) {
	c := newTestCluster(t, 20, 2)
	z := c.zones[0]
	c.run(time.Second)
	c.writesToDelay = 1
	c.writeDelay = 12 * time.Second
	c.submitTo(z, spec("a", 1, time.Second))
	c.run(10 * time.Millisecond)
	c.kill(z)
	c.run(30 * time.Second)
	_, recorded := c.record("a")
	require.False(t, recorded, "the old owner's record must not be written")
	c.submitTo(z, spec("a", 1, time.Second))
	c.requireDone(t, "a")
	c.requireInvariants()
}

// TestSlowStoreQuarantinesNoWorker places jobs whose attempts must be recorded before they
// start, while the store is slower than IntentTimeout. No worker may be quarantined.
func TestSlowStoreQuarantinesNoWorker(t *testing.T) {
	c := newTestCluster(t, 23, 2)
	z := c.zones[0]
	c.run(time.Second)
	c.storeLatency = 11 * time.Second
	for i := range 4 {
		c.submitTo(z, nonRepeatable(fmt.Sprint("job", i), 2, time.Second))
	}
	c.run(3 * time.Minute)
	c.storeLatency = 0
	recoveredAt := c.now()
	c.requireDone(t, "job0", "job1", "job2", "job3")
	require.Less(t, c.now().Sub(recoveredAt), 25*time.Second, "a worker was quarantined because of the store")
	c.requireInvariants()
}

// TestCancelDuringAMove cancels jobs while their records are being moved to another zone.
// A job whose cancellation was confirmed must not run.
func TestCancelDuringAMove(t *testing.T) {
	c := newTestCluster(t, 24, 2)
	z := c.zones[0]
	c.run(time.Second)
	c.submitTo(z, spec("a", 4, 10*time.Second))
	c.submitTo(z, spec("b", 4, 10*time.Second)) // waits
	c.run(time.Second)
	c.storeLatency = 500 * time.Millisecond
	c.setOutOfService(z, true)
	c.run(1200 * time.Millisecond)
	results := map[model.JobID]outcome.Outcome{}
	for _, id := range []model.JobID{"a", "b"} {
		z.owner.runner.Cancel(id, "", c.now(), func(o outcome.Outcome, _ job.Record) { results[id] = o })
	}
	c.storeLatency = 0
	require.True(t, c.runUntil(completionTimeout, c.haveEnded("a", "b")))
	for id, o := range results {
		record, _ := c.record(id)
		isCancelled := record.State == job.Cancelled
		require.Equal(t, isCancelled, o.Kind == outcome.Accepted, "%s is %s, the caller received %s", id, record.State, o)
	}
	require.Len(t, results, 2)
	c.requireInvariants()
}

// TestAnswersReadLate pauses an owner for less than its lease, so that it processes
// responses seconds after they were sent. All workers must remain usable.
func TestAnswersReadLate(t *testing.T) {
	c := newTestCluster(t, 25, 4)
	z := c.zones[0]
	c.run(2 * time.Second)
	for range 20 {
		z.owner.paused = true
		c.run(3 * time.Second)
		z.owner.resume()
		c.run(500 * time.Millisecond)
	}
	c.submitTo(z, spec("all", 8, time.Second))
	require.True(t, c.runUntil(10*time.Second, c.haveEnded("all")))
	c.requireInvariants()
}

// TestRestartBeforeAdoption restarts a worker after it has reported its task of a gang to
// the next owner and before the other task is reported. The gang must not be adopted.
func TestRestartBeforeAdoption(t *testing.T) {
	c := newTestCluster(t, 26, 2)
	c.timing.DiscoveryTimeout = 25 * time.Second
	c.timing.RunLease = 25 * time.Second
	z := c.zones[0]
	c.takeZone(z) // a new owner, so that the timing takes effect
	c.run(2 * time.Second)
	s := spec("a", 2, 30*time.Second)
	s.Shape.PerTask.Accelerators = 8
	c.submitTo(z, s)
	require.True(t, c.runUntil(5*time.Second, c.allRunning("a", 2)))
	c.run(2 * time.Second) // until the leases are extended
	reachable, unreachable := c.workerOf("a", 0), c.workerOf("a", 1)
	c.pool.SetFaults(unreachable, pool.Faults{Partitioned: true})
	c.kill(z)
	c.run(ownerTTL + time.Second)
	c.pool.Restart(reachable)
	c.run(8 * time.Second)
	c.pool.SetFaults(unreachable, pool.Faults{})
	c.requireDone(t, "a")
}
