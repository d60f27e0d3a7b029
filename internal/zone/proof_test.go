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
	"github.com/chervilrun/chervilrun/internal/zone"
)

// onOneWorker returns a job whose tasks must all run on one worker.
func onOneWorker(id string, run time.Duration) model.JobSpec {
	s := spec(id, 2, run)
	s.Shape.Adjacency = model.AdjacencyWorker
	return s
}

// TestFrozenWorkerStartsNothingLate freezes the workers while a start is on its way
// and thaws them after the job has been given up there.
func TestFrozenWorkerStartsNothingLate(t *testing.T) {
	w := newWorld(t, 16, 2)
	z := w.zones[0]
	w.run(4 * time.Second)
	frozen := w.pool.Workers()[:2]
	for _, info := range frozen {
		w.pool.SetFaults(info.ID, pool.Faults{Frozen: true})
	}
	w.submitTo(z, onOneWorker("a", time.Second))
	w.run(20 * time.Second)
	require.Empty(t, w.pool.History())
	w.kill(z) // so that nobody starts it again at once
	w.run(time.Second)
	for _, info := range frozen {
		w.pool.SetFaults(info.ID, pool.Faults{})
	}
	require.Empty(t, w.pool.History(), "a start took effect 20 s late")
	w.requireDone(t, "a")
	w.requireSound()
}

// TestTakeOverWaitsForWhatItCannotSee cuts a worker with a whole gang off and kills
// the owner: the next one can't see the gang and must not start it beside itself.
func TestTakeOverWaitsForWhatItCannotSee(t *testing.T) {
	w := newWorld(t, 17, 4)
	z := w.zones[0]
	w.run(time.Second)
	w.submitTo(z, onOneWorker("a", 60*time.Second))
	require.True(t, w.until(5*time.Second, w.isWhole("a", 2)))
	w.run(3 * time.Second)
	w.pool.SetFaults(w.workerOf("a", 0), pool.Faults{Cut: true})
	w.kill(z)
	w.run(8 * time.Second)
	require.Contains(t, z.owner.runner.Explain("a", w.now()), "earlier owner")
	w.submitTo(z, onOneWorker("b", time.Second)) // jobs of its own epoch start at once
	require.True(t, w.until(2*time.Second, w.isWhole("b", 2)))
	w.requireDone(t, "a")
	w.requireSound()
}

// TestStaleViewStartsNothing takes a zone out while its owner hears no news; it has to
// stop starting by itself.
func TestStaleViewStartsNothing(t *testing.T) {
	w := newWorld(t, 18, 8)
	z := w.zones[0]
	w.run(2 * time.Second)
	z.owner.blind = true
	w.setOut(z, true)
	for i := range 20 {
		w.submitTo(z, spec(fmt.Sprint("job", i), 1, time.Second))
		w.run(500 * time.Millisecond)
	}
	w.requireSound()
	require.NotEmpty(t, w.pool.History(), "starts in the first seconds are allowed")
}

// TestLateWriteIsNotRefused holds a submission up in the store until after it was read
// back, while the store goes down: nobody may say that the job does not run.
func TestLateWriteIsNotRefused(t *testing.T) {
	w := newWorld(t, 19, 2)
	z := w.zones[0]
	w.run(time.Second)
	w.lateWrites = 1
	w.submitTo(z, spec("a", 1, time.Second))
	isWrittenAgain := func() bool { return z.owner.calls[zone.CallWrite] == 2 }
	for !isWrittenAgain() {
		w.run(100 * time.Microsecond)
	}
	require.Equal(t, 1, z.owner.calls[zone.CallReadBack])
	w.storeDown = true
	w.run(20 * time.Second)
	_, recorded := w.record("a")
	require.True(t, recorded, "the held up write has taken effect")
	require.Empty(t, w.outcomes["a"].Kind)
	w.storeDown = false
	w.requireDone(t, "a")
	require.Equal(t, outcome.Accepted, w.outcomes["a"].Kind)
	w.requireSound()
}

// TestOldOwnersWriteIsRefused holds a submission to a dead owner up until its zone has
// another one, which has read the records without it.
func TestOldOwnersWriteIsRefused(t *testing.T) {
	w := newWorld(t, 20, 2)
	z := w.zones[0]
	w.run(time.Second)
	w.lateWrites = 1
	w.lateBy = 12 * time.Second
	w.submitTo(z, spec("a", 1, time.Second))
	w.run(10 * time.Millisecond)
	w.kill(z)
	w.run(30 * time.Second)
	_, recorded := w.record("a")
	require.False(t, recorded, "a record that no owner knows")
	w.submitTo(z, spec("a", 1, time.Second))
	w.requireDone(t, "a")
	w.requireSound()
}

// TestSlowStoreBlamesNoWorker places jobs whose start must be recorded first while the
// store takes longer than the confirmation of a start.
func TestSlowStoreBlamesNoWorker(t *testing.T) {
	w := newWorld(t, 23, 2)
	z := w.zones[0]
	w.run(time.Second)
	w.storeDelay = 11 * time.Second
	for i := range 4 {
		w.submitTo(z, once(fmt.Sprint("job", i), 2, time.Second))
	}
	w.run(3 * time.Minute)
	w.storeDelay = 0
	healed := w.now()
	w.requireDone(t, "job0", "job1", "job2", "job3")
	require.Less(t, w.now().Sub(healed), 25*time.Second, "a worker was quarantined for the store's fault")
	w.requireSound()
}

// TestCancelDuringAMove cancels jobs while their records are on their way to another
// zone: nobody is told that a job is cancelled which then runs.
func TestCancelDuringAMove(t *testing.T) {
	w := newWorld(t, 24, 2)
	z := w.zones[0]
	w.run(time.Second)
	w.submitTo(z, spec("a", 4, 10*time.Second))
	w.submitTo(z, spec("b", 4, 10*time.Second)) // waits
	w.run(time.Second)
	w.storeDelay = 500 * time.Millisecond
	w.setOut(z, true)
	w.run(1200 * time.Millisecond)
	told := map[model.JobID]outcome.Outcome{}
	for _, id := range []model.JobID{"a", "b"} {
		z.owner.runner.Cancel(id, "", w.now(), func(o outcome.Outcome, _ job.Record) { told[id] = o })
	}
	w.storeDelay = 0
	require.True(t, w.until(soon, w.isDone("a", "b")))
	for id, o := range told {
		record, _ := w.record(id)
		isCancelled := record.State == job.Cancelled
		require.Equal(t, isCancelled, o.Kind == outcome.Accepted, "%s is %s, the caller was told %s", id, record.State, o)
	}
	require.Len(t, told, 2)
	w.requireSound()
}

// TestAnswersReadLate pauses an owner within its lease, so that it reads answers
// seconds after they were given, and then uses every worker.
func TestAnswersReadLate(t *testing.T) {
	w := newWorld(t, 25, 4)
	z := w.zones[0]
	w.run(2 * time.Second)
	for range 20 {
		z.owner.paused = true
		w.run(3 * time.Second)
		z.owner.resume()
		w.run(500 * time.Millisecond)
	}
	w.submitTo(z, spec("all", 8, time.Second))
	require.True(t, w.until(10*time.Second, w.isDone("all")))
	w.requireSound()
}

// TestRestartBeforeAdoption restarts a worker after it has reported its part of a gang
// to the next owner and before the other part is seen: the gang is not adopted.
func TestRestartBeforeAdoption(t *testing.T) {
	w := newWorld(t, 26, 2)
	w.timing.DiscoveryTimeout = 25 * time.Second
	w.timing.RunLease = 25 * time.Second
	z := w.zones[0]
	w.take(z) // once more, under this timing
	w.run(2 * time.Second)
	s := spec("a", 2, 30*time.Second)
	s.Shape.PerTask.Accelerators = 8
	w.submitTo(z, s)
	require.True(t, w.until(5*time.Second, w.isWhole("a", 2)))
	w.run(2 * time.Second) // its lease is extended
	seen, cut := w.workerOf("a", 0), w.workerOf("a", 1)
	w.pool.SetFaults(cut, pool.Faults{Cut: true})
	w.kill(z)
	w.run(ownerTTL + time.Second)
	w.pool.Restart(seen)
	w.run(8 * time.Second)
	w.pool.SetFaults(cut, pool.Faults{})
	w.requireDone(t, "a")
}
