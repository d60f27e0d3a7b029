package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Guards against a pool that stands still since failures of two jobs that last have put every
// worker in quarantine (review/4): neither these jobs nor a new one were started for up to a minute.
func TestFailuresOfJobsThatLastLeaveThePoolUsable(t *testing.T) {
	sim := startSimulation(t, 2, 6)
	failing := false
	sim.failAfter = func(run *fakeRun) (bool, time.Duration) { return failing && run.spec.LongRunning, time.Second }
	service := step(12, 2, time.Second)
	service.LongRunning, service.MaxPerWorker = true, 1
	sim.submit("first", "aso", normalQueue(), service)
	sim.submit("second", "aso", normalQueue(), service)
	require.True(t, sim.runUntil(10*time.Second, func() bool { return sim.runningTasks() == 24 }))
	sim.run(2 * time.Second)
	failing = true
	for _, f := range sim.workers {
		for _, run := range f.sortedRuns() {
			f.failLater(run)
		}
	}
	idle := 0
	for range 180 {
		sim.run(100 * time.Millisecond)
		if idle++; sim.runningTasks() > 0 {
			idle = 0
		}
		require.Less(t, idle, 60, "nothing has run for 6 s")
	}
	failing = false
	id := sim.submit("third", "aso", normalQueue(), step(1, 1, 2*time.Second))
	sim.waitFor(4*time.Second, id, workflow.Completed)
	require.True(t, sim.runUntil(10*time.Second, func() bool { return sim.runningTasks() == 24 }))
}

// Guards against long-running tasks that fail by themselves and have no run for many seconds beside free
// workers (review/10): their failures put these workers into quarantine, for longer each time.
func TestFailingLongRunningTasksStartAgainOnFreeWorkers(t *testing.T) {
	const ruleBound = 9 * time.Second
	sim := startSimulation(t, 1, 4)
	full := step(2, 8, time.Second)
	full.LongRunning = true
	sim.submit("full", "aso", normalQueue(), full)
	require.True(t, sim.runUntil(10*time.Second, func() bool { return sim.runningTasks() == 2 }))
	sim.failAfter = func(run *fakeRun) (bool, time.Duration) { return run.task.Job != "full", 1500 * time.Millisecond }
	jobs := []model.JobID{"first", "second"}
	for _, id := range jobs {
		sim.submit(string(id), "aso", normalQueue(), serving())
	}
	lastRun := map[model.JobID]time.Time{jobs[0]: sim.now(), jobs[1]: sim.now()}
	for range 900 {
		sim.run(100 * time.Millisecond)
		for _, f := range sim.workers {
			for _, run := range f.sortedRuns() {
				lastRun[run.task.Job] = sim.now()
			}
		}
		for _, id := range jobs {
			require.LessOrEqual(t, sim.now().Sub(lastRun[id]), ruleBound, id)
		}
	}
}

// However many workers fail, work goes on: the sound ones come first, and of those that fail the
// ones with a label that a task requires are used all the same.
func TestWorkGoesOnWhereMostWorkersFail(t *testing.T) {
	sim := startSimulation(t, 3, 4)
	for _, f := range sim.workers {
		f.failTasks = f.info.Rack != "r2"
	}
	var ids []model.JobID
	bound := step(1, 1, 300*time.Millisecond)
	bound.RequiredLabel = "r0"
	for i := range 60 {
		sim.run(500 * time.Millisecond)
		if sim.owner.owner.Report().Workers.Quarantined == 8 {
			id := sim.submit(fmt.Sprintf("bound%d", i), "aso", normalQueue(), bound)
			require.True(t, sim.runUntil(time.Second, func() bool { return sim.state(id) == workflow.Running }), "workers with the required label are left out")
		}
		ids = append(ids, sim.submit(fmt.Sprintf("j%d", i), "aso", normalQueue(), step(1, 1, 300*time.Millisecond)))
	}
	completed := 0
	for _, id := range ids {
		if sim.state(id) == workflow.Completed {
			completed++
		}
	}
	require.GreaterOrEqual(t, completed, 35)
}
