package zone_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/standin/pool"
)

// Guards against a worker whose entry is missing being taken for one that has left: the next owner
// started its tasks again at once, while they ran on under the lease of the earlier owner.
func TestWorkerUnlistedAtATakeoverMayStillRun(t *testing.T) {
	cases := map[string]struct {
		unlistedAfter time.Duration // after the end of the first owner
		cut           bool
		repeatable    bool
		ranFor        time.Duration
	}{
		"the list lags":                  {repeatable: true, ranFor: 3 * time.Second},
		"lags, placement not recorded":   {repeatable: true, ranFor: 200 * time.Millisecond},
		"cut off before the takeover":    {repeatable: true, ranFor: 3 * time.Second, cut: true},
		"cut off, unlisted after it":     {repeatable: true, ranFor: 3 * time.Second, cut: true, unlistedAfter: ownerTTL + 500*time.Millisecond},
		"the list lags, one run only":    {ranFor: 3 * time.Second},
		"cut off after, one run only":    {ranFor: 3 * time.Second, cut: true, unlistedAfter: ownerTTL + 500*time.Millisecond},
		"unlisted while its owner lives": {repeatable: true, ranFor: 3 * time.Second, unlistedAfter: -2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			testUnlistedAtATakeover(t, c.unlistedAfter, c.cut, c.repeatable, c.ranFor)
		})
	}
}

func testUnlistedAtATakeover(t *testing.T, unlistedAfter time.Duration, cut, repeatable bool, ranFor time.Duration) {
	c := newTestCluster(t, 61, 4)
	z := c.zones[0]
	c.run(time.Second)
	s := onOneWorker("a", 20*time.Second)
	if !repeatable {
		s = nonRepeatable("a", 2, 20*time.Second)
		s.Shape.Adjacency = model.AdjacencyWorker
	}
	c.submitTo(z, s)
	require.True(t, c.runUntil(5*time.Second, c.allRunning("a", 2)))
	c.run(ranFor)
	id := c.workerOf("a", 0)
	if cut {
		c.pool.SetFaults(id, pool.Faults{Partitioned: true})
	}
	if unlistedAfter < 0 {
		c.unlisted[id] = true
		c.run(-unlistedAfter)
	}
	c.schedule(max(unlistedAfter, 0), func() { c.unlisted[id] = true })
	c.kill(z)
	c.run(9 * time.Second)
	c.submitTo(z, onOneWorker("b", time.Second)) // jobs of the new epoch start at once
	require.True(t, c.runUntil(2*time.Second, c.allRunning("b", 2)))
	require.True(t, c.runUntil(completionTimeout, c.haveEnded("a")), "not ended: %v", c.unfinished([]model.JobID{"a"}))
	c.requireInvariants()
	record, _ := c.record("a")
	if repeatable {
		require.Equal(t, job.Done, record.State, "%s", record.Outcome)
		return
	}
	require.Equal(t, outcome.Unknown, record.Outcome.Kind, "%s", record.Outcome)
	for _, run := range c.pool.History() {
		require.False(t, run.Job == "a" && run.End.After(record.Ended), "the job counted as ended at %s, and a task ran until %s", record.Ended, run.End)
	}
}

// Guards against a worker that is dropped when it is unlisted at a takeover, although its task of an
// earlier owner's gang has been reported: the owner crashed when it adopted the gang.
func TestWorkerOfADiscoveredGangIsKept(t *testing.T) {
	c := newTestCluster(t, 64, 4)
	z := c.zones[0]
	c.run(time.Second)
	s := spec("a", 2, 8*time.Second)
	s.Shape.PerTask.Accelerators = 8
	c.submitTo(z, s)
	require.True(t, c.runUntil(5*time.Second, c.allRunning("a", 2)))
	c.run(6 * time.Second)
	c.kill(z)
	c.run(ownerTTL - 500*time.Millisecond) // the tasks have finished, and nobody has heard of it
	reported, unreachable := c.workerOf("a", 0), c.workerOf("a", 1)
	c.pool.SetFaults(unreachable, pool.Faults{Partitioned: true})
	c.run(time.Second)
	c.unlisted[reported] = true
	c.run(2 * time.Second)
	c.pool.SetFaults(unreachable, pool.Faults{})
	c.requireDone(t, "a")
	require.Equal(t, 2, c.pool.Audit().Starts)
	c.requireInvariants()
}

// laterIncarnation is more than the restarts of any worker in a test, so that incarnations differ.
const laterIncarnation = 100

// moveToOtherProcess makes the list name another process for a worker, whose earlier one lives on.
func (c *testCluster) moveToOtherProcess(id model.WorkerID) {
	for _, info := range c.pool.Workers() {
		if info.ID == id {
			info.ID += "-other"
			info.Endpoint += "-other"
			c.otherProcesses[info.ID] = true
			c.pool.Add(info)
			for range laterIncarnation {
				c.pool.Restart(info.ID)
			}
			c.endpoints[id] = info.Endpoint
		}
	}
}

// Guards against another process at a worker's address in the list being taken for the end of the
// earlier one: its tasks were started again at once, while they ran on under their leases.
func TestWorkerThatIsListedElsewhereMayStillRun(t *testing.T) {
	cases := map[string]func(c *testCluster, id model.WorkerID){
		"its owner lives": func(c *testCluster, id model.WorkerID) { c.moveToOtherProcess(id) },
		"before a takeover": func(c *testCluster, id model.WorkerID) {
			c.kill(c.zones[0])
			c.run(time.Second)
			c.moveToOtherProcess(id)
		},
		"right before its owner ends": func(c *testCluster, id model.WorkerID) {
			c.moveToOtherProcess(id)
			c.run(2 * time.Second)
			c.kill(c.zones[0])
		},
		"after a takeover": func(c *testCluster, id model.WorkerID) {
			c.pool.SetFaults(c.workerOf("a", 1), pool.Faults{Partitioned: true})
			c.kill(c.zones[0])
			c.run(ownerTTL + time.Second)
			c.moveToOtherProcess(id)
		},
	}
	for name, move := range cases {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 65, 4)
			c.run(time.Second)
			s := spec("a", 2, 20*time.Second)
			s.Shape.PerTask.Accelerators = 8
			c.submitTo(c.zones[0], s)
			require.True(t, c.runUntil(5*time.Second, c.allRunning("a", 2)))
			c.run(3 * time.Second)
			move(c, c.workerOf("a", 0))
			c.requireDone(t, "a")
			c.requireInvariants()
		})
	}
}
