package zone_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
)

// maxWorkerCrashes is the number of workers that a job may take down: one less than users bear.
const maxWorkerCrashes = 5

// crashing returns a job whose tasks crash their workers some time after their start.
func crashing(id string, tasks int, after time.Duration) model.JobSpec {
	s := spec(id, tasks, 20*time.Second)
	s.Payload = fmt.Appendf(nil, `{"run_ms":20000,"crash_ms":%d}`, after.Milliseconds())
	return s
}

// submitInnocentWork submits jobs that do no harm, one each interval, and returns their IDs.
func (c *testCluster) submitInnocentWork(interval time.Duration) []model.JobID {
	var ids []model.JobID
	for i := range 12 {
		id := fmt.Sprintf("innocent%02d", i)
		ids = append(ids, model.JobID(id))
		c.schedule(time.Duration(i)*interval, func() { c.submitTo(c.zones[0], spec(id, 1+i%3, time.Duration(2+i%4)*time.Second)) })
	}
	return ids
}

// requireGivenUp waits until the job has failed without having crashed too many workers.
func (c *testCluster) requireGivenUp(t *testing.T, id model.JobID, tasks int) {
	t.Helper()
	require.True(t, c.runUntil(10*time.Minute, c.haveEnded(id)), "not ended: %v", c.unfinished([]model.JobID{id}))
	record, _ := c.record(id)
	require.Equal(t, job.Failed, record.State, "%s", record.Outcome)
	require.Equal(t, outcome.ReasonWorkerLost, record.Outcome.Reason, "%s", record.Outcome)
	require.LessOrEqual(t, c.pool.Crashes(id), maxWorkerCrashes*tasks)
}

// Guards against a job that crashes worker after worker: the loss of a worker counted against
// nothing, so that the job was started again without limit.
func TestJobThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for tasks := 1; tasks <= 3; tasks += 2 {
		for _, after := range []time.Duration{10 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("%d tasks, %s", tasks, after), func(t *testing.T) {
				c := newTestCluster(t, 7, 8)
				c.run(time.Second)
				innocent := c.submitInnocentWork(2 * time.Second)
				c.run(3 * time.Second)
				c.submitTo(c.zones[0], crashing("deadly", tasks, after))
				c.requireGivenUp(t, "deadly", tasks)
				c.run(30 * time.Second)
				c.requireDone(t, innocent...)
				c.requireInvariants()
			})
		}
	}
}

// Guards against a count of crashes that is lost with its owner.
func TestCrashesOfWorkersAreCountedOverTakeovers(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := newTestCluster(t, 100+seed, 8)
			c.run(time.Second)
			innocent := c.submitInnocentWork(200 * time.Millisecond)
			c.run(3 * time.Second)
			c.submitTo(c.zones[0], crashing("deadly", 1, 10*time.Millisecond))
			for crashes := 1; crashes <= 2; crashes++ {
				require.True(t, c.runUntil(time.Minute, func() bool { return c.pool.Crashes("deadly") >= crashes }))
				c.run(time.Duration(500+c.rng.IntN(4000)) * time.Millisecond)
				c.kill(c.zones[0])
				c.run(time.Second)
			}
			c.requireGivenUp(t, "deadly", 1)
			c.run(30 * time.Second)
			c.requireDone(t, innocent...)
			c.requireInvariants()
		})
	}
}

// Guards against crashes that no owner counts: each owner dies right after a crash, before it
// has heard of it, and the next one finds the workers restarted.
func TestCrashesThatTheEarlierOwnerDidNotSeeAreCounted(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := newTestCluster(t, 300+seed, 8)
			c.run(time.Second)
			c.submitTo(c.zones[0], crashing("deadly", 1, 2*time.Second))
			ended := c.haveEnded("deadly")
			for crashes := 1; !ended(); crashes++ {
				require.LessOrEqual(t, crashes, maxWorkerCrashes+1, "%v", c.unfinished([]model.JobID{"deadly"}))
				c.runUntil(5*time.Minute, func() bool { return ended() || c.pool.Crashes("deadly") >= crashes })
				if !ended() {
					c.kill(c.zones[0])
				}
			}
			c.requireGivenUp(t, "deadly", 1)
		})
	}
}

// Guards against jobs that are given up because their workers crash by themselves.
func TestJobsOnCrashingWorkersAreNotGivenUp(t *testing.T) {
	const meanTimeBetweenCrashes = time.Minute
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := newTestCluster(t, 200+seed, 8)
			c.run(time.Second)
			innocent := c.submitInnocentWork(2 * time.Second)
			for range 120 {
				c.run(time.Second)
				for _, w := range c.pool.Workers() {
					if c.rng.IntN(int(meanTimeBetweenCrashes/time.Second)) == 0 {
						c.pool.Restart(w.ID)
					}
				}
			}
			c.requireDone(t, innocent...)
			c.requireInvariants()
		})
	}
}
