package zone_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/standin/pool"
	"github.com/chervilrun/chervilrun/internal/zone"
)

// measureWork submits more than ten minutes of work, of which one job in ten may not be
// repeated, and returns the task time run in ten minutes, in seconds. A job is only 120
// task seconds, so that an unfinished job at the end changes little.
func measureWork(t *testing.T, intent, outage bool) float64 {
	c := newIntentCluster(t, 30, 8, intent)
	for i := range 480 {
		s := spec(fmt.Sprint("job", i), 8, 15*time.Second)
		if i%10 == 9 {
			s = nonRepeatable(fmt.Sprint("job", i), 8, 15*time.Second)
		}
		c.submitTo(c.zones[0], s)
	}
	c.run(5 * time.Second)
	c.storeDown = outage
	before := c.pool.Audit().RunMS
	c.run(10 * time.Minute)
	done := c.pool.Audit().RunMS - before
	c.requireInvariants()
	return float64(done) / 1000
}

// newIntentCluster returns a cluster with the given setting of IntentBeforeStart.
func newIntentCluster(t *testing.T, seed uint64, workers int, intent bool) *testCluster {
	c := newTestCluster(t, seed, workers)
	c.intentBeforeStart = intent
	for _, z := range c.zones {
		c.takeZone(z) // a new owner, so that the setting takes effect
	}
	c.run(2 * time.Second)
	return c
}

// measureStart returns the time from the acceptance of a job to the start of its last
// task, with a store that responds after 200 ms.
func measureStart(t *testing.T, intent bool) time.Duration {
	c := newIntentCluster(t, 34, 8, intent)
	c.storeLatency = 200 * time.Millisecond
	c.submitTo(c.zones[0], spec("a", 4, time.Minute))
	for c.outcomes["a"].Kind == "" {
		c.run(time.Millisecond)
	}
	accepted := c.now()
	for !c.allRunning("a", 4)() {
		c.run(time.Millisecond)
	}
	return c.now().Sub(accepted)
}

// TestStartDoesNotWaitForTheStore compares how soon a job starts with a slow store, with and
// without IntentBeforeStart.
func TestStartDoesNotWaitForTheStore(t *testing.T) {
	withIntent, withoutIntent := measureStart(t, true), measureStart(t, false)
	t.Logf("store responds after 200 ms: start after %s with intent, %s without", withIntent, withoutIntent)
	require.Less(t, withoutIntent, 100*time.Millisecond)
	require.Greater(t, withIntent, 200*time.Millisecond)
}

// TestWorkInAnOutage compares the work done during a store outage of ten minutes with
// the work done without an outage: with every attempt recorded before its start, and with
// only the attempts of jobs that may not be repeated recorded before.
func TestWorkInAnOutage(t *testing.T) {
	none := measureWork(t, false, false)
	withIntent := measureWork(t, true, true)
	withoutIntent := measureWork(t, false, true)
	t.Logf("task seconds: no outage %.0f, outage with intent %.0f (%.3f), outage without %.0f (%.3f)",
		none, withIntent, withIntent/none, withoutIntent, withoutIntent/none)
	require.Greater(t, withoutIntent, 0.95*none)
	require.Less(t, withIntent, 0.25*none)
}

// measureCosts runs 40 jobs and returns the store calls per job and the exchanges per
// worker and second.
func measureCosts(t *testing.T, workers, tasks int, intent bool) (callsPerJob, exchanges float64) {
	const jobs = 40
	c := newIntentCluster(t, 31, workers, intent)
	c.run(10 * time.Second)
	calls, sent, start := c.storeCalls, c.pool.Exchanges(), c.now()
	var ids []model.JobID
	for i := range jobs {
		s := spec(fmt.Sprint("job", i), tasks, 10*time.Second)
		ids = append(ids, s.ID)
		c.submitTo(c.zones[0], s)
		c.run(500 * time.Millisecond)
	}
	c.requireDone(t, ids...)
	seconds := c.now().Sub(start).Seconds()
	perSecond := float64(c.pool.Exchanges()-sent) / seconds / float64(workers) // the other zone is idle
	return float64(c.storeCalls-calls) / jobs, perSecond
}

// TestStoreCallsDoNotGrowWithTasks runs the same number of jobs with eight times as many
// tasks and workers.
func TestStoreCallsDoNotGrowWithTasks(t *testing.T) {
	small, smallExchanges := measureCosts(t, 8, 2, false)
	large, largeExchanges := measureCosts(t, 64, 16, false)
	intent, _ := measureCosts(t, 64, 16, true)
	t.Logf("2 tasks, 8 workers: %.2f store calls a job, %.2f exchanges a worker and second", small, smallExchanges)
	t.Logf("16 tasks, 64 workers, intent before each start: %.2f store calls a job", intent)
	t.Logf("16 tasks, 64 workers: %.2f store calls a job, %.2f exchanges a worker and second", large, largeExchanges)
	require.Less(t, large, small+1)
	require.Less(t, largeExchanges, 2*smallExchanges)
}

// TestBurstIsRecordedInFewCalls submits many jobs at once, whose records must be written
// in batches.
func TestBurstIsRecordedInFewCalls(t *testing.T) {
	const jobs = 500
	c := newTestCluster(t, 32, 8)
	c.run(10 * time.Second)
	calls := c.storeCalls
	for i := range jobs {
		c.submitTo(c.zones[0], spec(fmt.Sprint("job", i), 1, time.Second))
	}
	c.run(time.Second)
	t.Logf("%d jobs accepted with %d calls", jobs, c.storeCalls-calls)
	require.Less(t, c.storeCalls-calls, jobs/10)
}

// TestTimeToTakeOver measures the time from the takeover of a zone until the new owner
// starts its first job. The time that the elector takes is not included.
func TestTimeToTakeOver(t *testing.T) {
	c := newTestCluster(t, 33, 25)
	z := c.zones[0]
	c.run(time.Second)
	for i := range 12 {
		c.submitTo(z, spec(fmt.Sprint("long", i), 2, 60*time.Second))
	}
	c.run(5 * time.Second)
	c.kill(z)
	previous := z.owner
	require.True(t, c.runUntil(time.Minute, func() bool { return z.owner != previous }))
	takenAt := c.now()
	c.submitTo(z, spec("next", 2, time.Second))
	require.True(t, c.runUntil(time.Minute, c.allRunning("next", 2)))
	t.Logf("first start %s after the takeover", c.now().Sub(takenAt))
	require.Less(t, c.now().Sub(takenAt), 2*time.Second)
	require.Equal(t, 26, c.pool.Audit().Starts, "running gangs must be adopted, not started again")
}

// measureLease returns, for a given lease of running gangs, how long a gang is partial at
// most when a worker dies (dead) or becomes unreachable, and how many of ten gangs
// survive a change of the owner (kept).
func measureLease(t *testing.T, lease, lostAfter time.Duration) (dead, unreachable time.Duration, kept int) {
	longestPartial := func(faults pool.Faults, restart bool) time.Duration {
		var longest int64
		for seed := range uint64(10) {
			c := newLeaseCluster(t, 40+seed, lease, lostAfter)
			c.submitTo(c.zones[0], spec("gang", 4, time.Minute))
			c.run(time.Duration(8000+100*seed) * time.Millisecond)
			id := c.workerOf("gang", 0)
			if restart {
				c.pool.Restart(id)
			}
			c.pool.SetFaults(id, faults)
			c.run(lease + lostAfter + 5*time.Second)
			longest = max(longest, c.pool.Audit().LongestPartialMS)
		}
		return time.Duration(longest) * time.Millisecond
	}
	dead = longestPartial(pool.Faults{Down: true}, true)
	unreachable = longestPartial(pool.Faults{Partitioned: true}, false)
	c := newLeaseCluster(t, 50, lease, lostAfter)
	for i := range 10 {
		c.submitTo(c.zones[0], spec(fmt.Sprint("gang", i), 1, time.Minute))
	}
	c.run(8 * time.Second)
	c.kill(c.zones[0])
	c.run(20 * time.Second)
	for i := range 10 {
		if c.allRunning(model.JobID(fmt.Sprint("gang", i)), 1)() {
			kept++
		}
	}
	return dead, unreachable, kept - (c.pool.Audit().Starts - 10)
}

func newLeaseCluster(t *testing.T, seed uint64, lease, lostAfter time.Duration) *testCluster {
	c := newTestCluster(t, seed, 8)
	c.timing.RunLease, c.timing.LostAfter = lease, lostAfter
	c.takeZone(c.zones[0])
	c.run(2 * time.Second)
	return c
}

// TestLeaseLength compares leases of running gangs. A longer lease lets gangs survive a
// change of the owner, but lets a gang that lost a worker run partially for longer.
func TestLeaseLength(t *testing.T) {
	for _, lease := range []time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second} {
		dead, unreachable, kept := measureLease(t, lease, lease/2+500*time.Millisecond)
		t.Logf("lease %s: partial for at most %s (worker dead), %s (worker unreachable); %d of 10 gangs survive a change of the owner", lease, dead, unreachable, kept)
		if lease == zone.DefaultTiming().RunLease {
			require.Less(t, max(dead, unreachable), partialLimit)
			require.Equal(t, 10, kept)
		}
	}
}
