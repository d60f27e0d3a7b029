package zone_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/standin/pool"
	"github.com/chervilrun/chervilrun/internal/worker"
)

const completionTimeout = 90 * time.Second

func (c *testCluster) requireDone(t *testing.T, ids ...model.JobID) {
	t.Helper()
	require.True(t, c.runUntil(completionTimeout, c.haveEnded(ids...)), "not ended: %v", c.unfinished(ids))
	for _, id := range ids {
		record, _ := c.record(id)
		require.Equal(t, job.Done, record.State, "%s: %s", id, record.Outcome)
	}
}

func (c *testCluster) unfinished(ids []model.JobID) []string {
	var unfinished []string
	for _, id := range ids {
		if record, _ := c.record(id); !record.State.Final() {
			unfinished = append(unfinished, fmt.Sprintf("%s %s in %q: %v", id, record.State, record.Zone, c.explain(id)))
		}
	}
	return unfinished
}

// explain returns the digest of each zone and its owner's events on a job.
func (c *testCluster) explain(id model.JobID) []string {
	var lines []string
	for _, z := range c.zones {
		digest := z.owner.runner.Digest(c.now())
		lines = append(lines, fmt.Sprintf("\n%s: %d running, %d queued, %d of %d accelerators free", z.id,
			digest.Running, digest.Queued, digest.FreeAccelerators, digest.TotalAccelerators))
		for _, e := range z.owner.events.Read(event.Filter{Subject: event.Subject{Job: string(id)}}) {
			lines = append(lines, fmt.Sprintf("\n%s %s %s %s", time.Unix(0, e.Time.WallNS).UTC().Format(time.StampMilli), z.id, e.Name, e.Detail))
		}
	}
	return lines
}

func (c *testCluster) workerOf(id model.JobID, task int) model.WorkerID {
	runs := c.pool.History()
	for i := len(runs) - 1; i >= 0; i-- {
		if runs[i].Job == id && string(runs[i].Task) == fmt.Sprintf("%s/%d", id, task) {
			return runs[i].Worker
		}
	}
	return ""
}

func (c *testCluster) allRunning(id model.JobID, tasks int) func() bool {
	return func() bool {
		running := 0
		for _, run := range c.pool.History() {
			if run.Job == id && run.End.IsZero() {
				running++
			}
		}
		return running == tasks
	}
}

// partialLimit is the maximum time for which a gang that loses a worker runs partially,
// as documented at DefaultTiming.
const partialLimit = worker.ShortLease + 2*time.Second

// TestGangRestartsAfterWorkerFailure makes one worker of a running gang of four fail in each of
// the possible ways. The gang must be stopped within partialLimit and started again.
func TestGangRestartsAfterWorkerFailure(t *testing.T) {
	faults := map[string]func(c *testCluster, id model.WorkerID){
		"cut":     func(c *testCluster, id model.WorkerID) { c.pool.SetFaults(id, pool.Faults{Partitioned: true}) },
		"down":    func(c *testCluster, id model.WorkerID) { c.pool.SetFaults(id, pool.Faults{Down: true}) },
		"frozen":  func(c *testCluster, id model.WorkerID) { c.pool.SetFaults(id, pool.Faults{Frozen: true}) },
		"one_way": func(c *testCluster, id model.WorkerID) { c.pool.SetFaults(id, pool.Faults{LostResponses: 1000}) },
		"one_way_then_cut": func(c *testCluster, id model.WorkerID) {
			c.pool.SetFaults(id, pool.Faults{LostResponses: 1000})
			c.schedule(5*time.Second, func() { c.pool.SetFaults(id, pool.Faults{Partitioned: true}) })
		},
		"restart": func(c *testCluster, id model.WorkerID) { c.pool.Restart(id) },
		"dead": func(c *testCluster, id model.WorkerID) {
			c.pool.Restart(id)
			c.pool.SetFaults(id, pool.Faults{Down: true})
		},
	}
	for name, fail := range faults {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 3, 8)
			c.run(time.Second)
			c.submitTo(c.zones[0], spec("gang", 4, 20*time.Second))
			require.True(t, c.runUntil(5*time.Second, c.allRunning("gang", 4)))
			c.run(3 * time.Second)
			lost := c.workerOf("gang", 0)
			fail(c, lost)
			c.run(25 * time.Second)
			c.pool.SetFaults(lost, pool.Faults{}) // exchanges held by a frozen worker are processed now
			c.requireDone(t, "gang")
			c.requireInvariants()
			record, _ := c.record("gang")
			require.Equal(t, 2, record.Attempts)
			longest := time.Duration(c.pool.Audit().LongestPartialMS) * time.Millisecond
			t.Logf("the gang was partial for %s", longest)
			require.Less(t, longest, partialLimit)
		})
	}
}

// TestNonRepeatableJobEndsUnknown restarts a worker that runs a job which may not be
// repeated: the job must end with an unknown outcome.
func TestNonRepeatableJobEndsUnknown(t *testing.T) {
	c := newTestCluster(t, 3, 4)
	c.run(time.Second)
	c.submitTo(c.zones[0], nonRepeatable("payout", 2, 20*time.Second))
	require.True(t, c.runUntil(5*time.Second, c.allRunning("payout", 2)))
	lost := c.workerOf("payout", 0)
	c.pool.Restart(lost)
	require.True(t, c.runUntil(completionTimeout, c.haveEnded("payout")))
	record, _ := c.record("payout")
	require.Equal(t, job.Failed, record.State)
	require.Equal(t, outcome.Unknown, record.Outcome.Kind)
	require.Equal(t, outcome.ReasonWorkerLost, record.Outcome.Reason)
	c.requireInvariants()
}

// TestTakeOver kills the owner while gangs start, run and end and jobs wait.
func TestTakeOver(t *testing.T) {
	for _, partitionedWorkers := range []int{0, 1} {
		t.Run(fmt.Sprint("cut_", partitionedWorkers), func(t *testing.T) {
			c := newTestCluster(t, 5, 8)
			z := c.zones[0]
			c.run(time.Second)
			c.submitTo(z, spec("long", 4, 40*time.Second))
			c.submitTo(z, spec("short", 4, 4*time.Second))
			c.submitTo(z, nonRepeatable("single", 1, 4*time.Second))
			require.True(t, c.runUntil(5*time.Second, c.allRunning("single", 1)))
			c.submitTo(z, spec("late", 12, 2*time.Second))
			c.run(50 * time.Millisecond)
			c.kill(z)
			for i := range partitionedWorkers {
				c.pool.SetFaults(c.workerOf("long", i), pool.Faults{Partitioned: true})
			}
			c.run(30 * time.Second)
			for _, info := range c.pool.Workers() {
				c.pool.SetFaults(info.ID, pool.Faults{})
			}
			c.requireDone(t, "long", "short", "single", "late")
			c.requireInvariants()
			if partitionedWorkers == 0 {
				require.Equal(t, 21, c.pool.Audit().Starts, "running gangs must be adopted, not started again")
			}
		})
	}
}

// TestPausedOwner pauses an owner for longer than its lease. The calls that it decided on
// before the pause must have no effect after it.
func TestPausedOwner(t *testing.T) {
	c := newTestCluster(t, 6, 8)
	z := c.zones[0]
	c.run(time.Second)
	c.submitTo(z, spec("long", 4, 30*time.Second))
	require.True(t, c.runUntil(5*time.Second, c.allRunning("long", 4)))
	previous := z.owner
	previous.execute(func() { // paused below before anything is sent
		previous.runner.Submit(spec("b", 2, 5*time.Second), c.now(), func(outcome.Outcome, job.Record) {})
	})
	c.run(12 * time.Millisecond)
	previous.paused = true
	c.scheduleTakeover(z)
	c.run(10 * time.Second)
	previous.resume()
	require.NotSame(t, previous, z.owner)
	c.requireDone(t, "long")
	c.run(20 * time.Second)
	c.requireInvariants()
}

// TestStoreOutage lets the store fail for ten minutes: accepted jobs run, new jobs are
// refused, and jobs that may not be repeated wait for the store.
func TestStoreOutage(t *testing.T) {
	c := newTestCluster(t, 7, 4)
	z := c.zones[0]
	c.run(time.Second)
	var ids []model.JobID
	for i := range 20 {
		id := fmt.Sprint("job", i)
		ids = append(ids, model.JobID(id))
		c.submitTo(z, spec(id, 4, 40*time.Second))
	}
	c.submitTo(z, nonRepeatable("single", 8, time.Second)) // waits for the workers of the other jobs
	c.run(2 * time.Second)
	c.storeDown = true
	c.run(10 * time.Second)
	c.submitTo(z, spec("refused", 1, time.Second))
	c.run(10 * time.Minute)
	require.Equal(t, outcome.NotRun, c.outcomes["refused"].Kind)
	require.Equal(t, outcome.ReasonStoreUnavailable, c.outcomes["refused"].Reason)
	require.Equal(t, 80, c.pool.Audit().Finished, "accepted jobs must run during the outage")
	require.Contains(t, z.owner.runner.Explain("single", c.now()), "store is down")
	c.storeDown = false
	c.requireDone(t, append(ids, "single")...)
	_, recorded := c.record("refused")
	require.False(t, recorded)
	c.requireInvariants()
}

// TestOwnerDiesBeforeCompletionsAreRecorded lets jobs finish during a store outage and
// kills their owner. The next owner must learn of the completions from the workers.
func TestOwnerDiesBeforeCompletionsAreRecorded(t *testing.T) {
	c := newTestCluster(t, 8, 4)
	z := c.zones[0]
	c.run(time.Second)
	c.submitTo(z, spec("a", 4, 10*time.Second))
	c.submitTo(z, nonRepeatable("b", 1, 10*time.Second))
	c.run(5 * time.Second)
	c.storeDown = true
	c.run(20 * time.Second)
	c.kill(z)
	c.run(20 * time.Second)
	c.storeDown = false
	c.requireDone(t, "a", "b")
	require.Equal(t, 5, c.pool.Audit().Starts)
	c.requireInvariants()
}

// TestLostStoreAnswers loses the responses to writes that took effect.
func TestLostStoreAnswers(t *testing.T) {
	c := newTestCluster(t, 9, 4)
	z := c.zones[0]
	c.run(time.Second)
	c.writesToLose = 3
	c.submitTo(z, spec("a", 2, time.Second))
	c.submitTo(z, nonRepeatable("b", 2, time.Second))
	c.requireDone(t, "a", "b")
	require.Equal(t, outcome.Accepted, c.outcomes["a"].Kind)
	require.Zero(t, c.writesToLose)
	require.Equal(t, 4, c.pool.Audit().Starts)
	c.requireInvariants()
}

// TestZoneOut takes a zone out of service: its jobs must move to the other zone, and no
// task may start in it after zoneOutLimit.
func TestZoneOut(t *testing.T) {
	c := newTestCluster(t, 10, 4)
	z := c.zones[0]
	c.run(time.Second)
	var ids []model.JobID
	for i := range 6 {
		id := fmt.Sprint("job", i)
		ids = append(ids, model.JobID(id))
		s := spec(id, 4, 20*time.Second)
		s.Checkpoint = i == 0
		c.submitTo(z, s)
	}
	c.submitTo(z, nonRepeatable("single", 1, 5*time.Second))
	c.run(5 * time.Second)
	c.setOutOfService(z, true)
	c.run(10 * time.Second)
	for _, id := range ids {
		record, found := c.record(id)
		require.True(t, found)
		require.Equal(t, model.AvailabilityZoneID("kumamoto"), record.Zone)
	}
	c.requireDone(t, append(ids, "single")...)
	c.requireInvariants()
	first, _ := c.record("job0")
	require.Less(t, c.lastRunTime("job0"), 17*time.Second, "job0 must resume from its checkpoint: %v", first)
	c.setOutOfService(z, false)
	c.run(2 * time.Second)
	c.submitTo(z, spec("back", 4, time.Second))
	c.requireDone(t, "back")
}

// lastRunTime returns how long the latest task run of a job took.
func (c *testCluster) lastRunTime(id model.JobID) time.Duration {
	var runTime time.Duration
	for _, run := range c.pool.History() {
		if run.Job == id {
			runTime = run.End.Sub(run.Start)
		}
	}
	return runTime
}

// TestManyCancellationsAtOnce cancels waiting, starting and running jobs at once.
func TestManyCancellationsAtOnce(t *testing.T) {
	c := newTestCluster(t, 11, 4)
	z := c.zones[0]
	c.run(time.Second)
	var ids []model.JobID
	for i := range 40 {
		id := model.JobID(fmt.Sprint("job", i))
		ids = append(ids, id)
		c.submitTo(z, spec(string(id), 2, time.Minute))
	}
	c.run(30 * time.Millisecond)
	for _, id := range ids {
		c.cancel(z, id)
		c.run(time.Millisecond)
	}
	require.True(t, c.runUntil(completionTimeout, c.haveEnded(ids...)), "not ended: %v", c.unfinished(ids))
	for _, id := range ids {
		record, _ := c.record(id)
		require.Equal(t, job.Cancelled, record.State)
	}
	c.submitTo(z, spec("after", 8, time.Second))
	c.requireDone(t, "after")
	c.requireInvariants()
}

// TestWorkerThatFailsEverything runs jobs while one listed worker fails every start.
func TestWorkerThatFailsEverything(t *testing.T) {
	c := newTestCluster(t, 12, 4)
	z := c.zones[0]
	c.run(time.Second)
	c.pool.SetFaults(c.pool.Workers()[0].ID, pool.Faults{FailStarts: true})
	var ids []model.JobID
	for i := range 10 {
		id := model.JobID(fmt.Sprint("job", i))
		ids = append(ids, id)
		c.submitTo(z, spec(string(id), 2, time.Second))
	}
	c.requireDone(t, ids...)
	c.requireInvariants()
}
