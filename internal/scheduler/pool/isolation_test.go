package pool_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/pool"
)

func isolated(id string, tasks, accelerators int) *pool.TaskGroup {
	g := taskGroup(id, tasks, accelerators)
	g.Isolation = pool.EmptyWorkersOnly
	return g
}

func placementOf(placements []pool.Placement, id string) []model.WorkerID {
	for _, placement := range placements {
		if placement.TaskGroup == pool.TaskGroupID(id) {
			return placement.Workers
		}
	}
	return nil
}

// Guards against innocent work beside a task that crashes its workers: the task gets a worker of
// its own, and nothing is placed beside it by the same plan.
func TestIsolatedTaskGetsAWorkerOfItsOwn(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1), Waiting: []*pool.TaskGroup{isolated("a", 1, 1), taskGroup("b", 3, 1), isolated("c", 2, 2)}}
	addRun(s, &pool.Run{TaskGroup: "r", Priority: 1}, resources(1), "w0-0")
	placements := pool.Plan(s)
	a, b, c := placementOf(placements, "a"), placementOf(placements, "b"), placementOf(placements, "c")
	require.Len(t, a, 1)
	require.Len(t, b, 3)
	require.Len(t, c, 2)
	require.NotContains(t, append(a, c...), model.WorkerID("w0-0"))
	for _, id := range a {
		require.NotContains(t, append(b, c...), id)
	}
	for _, id := range c {
		require.NotContains(t, b, id)
	}
}

// Guards against an isolated task that waits for ever: a worker is left to become empty for it,
// the one with the most free resources, and other work goes elsewhere.
func TestWorkerIsLeftToBecomeEmptyForAnIsolatedTask(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(3)}
	for i := range s.Workers {
		used := 2
		if i == 5 {
			used = 1
		}
		addRun(s, &pool.Run{TaskGroup: pool.TaskGroupID(s.Workers[i].ID), Priority: 1}, resources(used), s.Workers[i].ID)
	}
	s.Waiting = []*pool.TaskGroup{isolated("a", 1, 1), taskGroup("b", 70, 1)}
	placements := pool.Plan(s)
	require.Nil(t, placementOf(placements, "a"))
	require.Nil(t, placementOf(placements, "b"), "it fits only with the worker that is left to become empty")
	s.Waiting[1] = taskGroup("b", 66, 1)
	b := placementOf(pool.Plan(s), "b")
	require.Len(t, b, 66)
	require.NotContains(t, b, s.Workers[5].ID)
}

// A task that only prefers empty workers is placed beside others when there are none.
func TestTaskThatPrefersEmptyWorkers(t *testing.T) {
	g := taskGroup("a", 1, 1)
	g.Isolation = pool.PreferEmptyWorkers
	s := &pool.Snapshot{Now: begin, Workers: workers(1)[:2], Waiting: []*pool.TaskGroup{g}}
	addRun(s, &pool.Run{TaskGroup: "r", Priority: 1}, resources(1), "w0-0")
	require.Equal(t, []model.WorkerID{"w0-1"}, placementOf(pool.Plan(s), "a"))
	addRun(s, &pool.Run{TaskGroup: "r2", Priority: 1}, resources(3), "w0-1")
	require.Len(t, placementOf(pool.Plan(s), "a"), 1)
}
