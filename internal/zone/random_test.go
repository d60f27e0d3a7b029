package zone_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	_ "github.com/chervilrun/chervilrun/internal/rapidseed"
	"github.com/chervilrun/chervilrun/internal/standin/pool"
)

// randomRun is one run with random jobs and faults.
type randomRun struct {
	*testCluster
	rt   *rapid.T
	jobs []model.JobID
}

func (r *randomRun) randomZone() *testZone { return r.zones[rapid.IntRange(0, 1).Draw(r.rt, "zone")] }

func (r *randomRun) randomWorker() model.WorkerID {
	workers := r.pool.Workers()
	return workers[rapid.IntRange(0, len(workers)-1).Draw(r.rt, "worker")].ID
}

func (r *randomRun) submit() {
	id := fmt.Sprint("job", len(r.jobs))
	run := time.Duration(rapid.IntRange(100, 15_000).Draw(r.rt, "run_ms")) * time.Millisecond
	s := spec(id, rapid.IntRange(1, 8).Draw(r.rt, "tasks"), run)
	switch rapid.IntRange(0, 3).Draw(r.rt, "kind") {
	case 0:
		s = nonRepeatable(id, s.Shape.Tasks, run)
	case 1:
		s.Checkpoint = true
	}
	s.Shape.PerTask.Accelerators = rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(r.rt, "accelerators")
	if s.Shape.Tasks*s.Shape.PerTask.Accelerators <= 8 && s.Shape.Tasks <= 4 {
		s.Shape.Adjacency = model.AdjacencyWorker
	}
	r.jobs = append(r.jobs, s.ID)
	r.submitTo(r.randomZone(), s)
}

func (r *randomRun) randomAction() {
	z := r.randomZone()
	switch rapid.IntRange(0, 18).Draw(r.rt, "action") {
	case 0, 1, 2, 3:
		for range rapid.IntRange(1, 6).Draw(r.rt, "burst") {
			r.submit()
		}
	case 4:
		for i := range min(len(r.jobs), 4) {
			r.cancel(z, r.jobs[len(r.jobs)-1-i])
		}
	case 5:
		r.kill(z)
	case 6:
		r.pause(z)
	case 7:
		r.storeDown = !r.storeDown
	case 8:
		r.writesToLose = rapid.IntRange(0, 2).Draw(r.rt, "lost")
		r.writesToDelay = rapid.IntRange(0, 2).Draw(r.rt, "late")
	case 9:
		r.storeLatency = time.Duration(rapid.IntRange(0, 2000).Draw(r.rt, "slow_ms")) * time.Millisecond
	case 10, 11, 12:
		r.failWorker(r.randomWorker())
	case 13:
		r.pool.Restart(r.randomWorker())
	case 14, 15:
		r.setOutOfService(z, !z.out)
	case 16:
		z.owner.missesUpdates = !z.owner.missesUpdates
	case 17:
		r.unlist(r.randomWorker())
	case 18:
		r.moveToNewProcess(r.randomWorker())
	}
}

func (r *randomRun) pause(z *testZone) {
	o := z.owner
	if o.paused || o.dead {
		return
	}
	o.paused = true
	r.scheduleTakeover(z)
	r.schedule(time.Duration(rapid.IntRange(100, 12_000).Draw(r.rt, "pause_ms"))*time.Millisecond, o.resume)
}

func (r *randomRun) failWorker(id model.WorkerID) {
	faults := rapid.SampledFrom([]pool.Faults{
		{Down: true}, {Partitioned: true}, {Frozen: true}, {LostResponses: 5}, {FailStarts: true}, {Truncated: true}, {},
	}).Draw(r.rt, "faults")
	r.pool.SetFaults(id, faults)
	heal := time.Duration(rapid.IntRange(100, 30_000).Draw(r.rt, "heal_ms")) * time.Millisecond
	r.schedule(heal, func() { r.pool.SetFaults(id, pool.Faults{}) })
}

// unlist removes a worker from the platform's list for a while.
func (r *randomRun) unlist(id model.WorkerID) {
	r.unlisted[id] = true
	relist := time.Duration(rapid.IntRange(100, 30_000).Draw(r.rt, "relist_ms")) * time.Millisecond
	r.schedule(relist, func() { delete(r.unlisted, id) })
}

// moveToNewProcess lists a worker at the endpoint of a new process, once; the earlier one lives on.
func (r *randomRun) moveToNewProcess(id model.WorkerID) {
	if r.endpoints[id] == "" && !r.otherProcesses[id] {
		r.moveToOtherProcess(id)
	}
}

func (r *randomRun) healAll() {
	r.storeDown = false
	r.writesToLose, r.writesToDelay = 0, 0
	r.storeLatency = 0
	clear(r.unlisted)
	for _, z := range r.zones {
		r.setOutOfService(z, false)
		z.owner.missesUpdates = false
	}
	r.run(40 * time.Second)
	for _, info := range r.pool.Workers() {
		r.pool.SetFaults(info.ID, pool.Faults{})
	}
}

// requireOutcomes checks that accepted jobs end and that refused jobs have not run.
func (r *randomRun) requireOutcomes() {
	var accepted []model.JobID
	for _, id := range r.jobs {
		switch r.outcomes[id].Kind {
		case outcome.Accepted:
			accepted = append(accepted, id)
		case outcome.NotRun:
			_, recorded := r.record(id)
			require.False(r.rt, recorded, "%s was refused and is recorded: %s", id, r.outcomes[id])
			require.Empty(r.rt, r.workerOf(id, 0), "%s was refused and has run", id)
		}
	}
	ended := r.runUntil(20*time.Minute, r.haveEnded(accepted...))
	require.True(r.rt, ended, "lost: %v", r.unfinished(accepted))
}

// TestRandomFaults runs jobs under random faults of owners, workers and the store, and
// then lets everything recover: no gang may run partially, no task may run twice and no
// accepted job may be lost.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &randomRun{testCluster: newTestCluster(rt, rapid.Uint64().Draw(rt, "seed"), 5), rt: rt}
		r.run(time.Second)
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			r.randomAction()
			r.run(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "gap_ms")) * time.Millisecond)
		}
		r.healAll()
		r.requireOutcomes()
		r.run(5 * time.Second)
		r.requireInvariants()
	})
}
