package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Guards against a long-running task that fails right after each start and spins. Once it no
// longer fails it is back within a few seconds.
func TestLongRunningTaskThatKeepsFailingIsStartedWithAPause(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.failAfter = func(run *fakeRun) (bool, time.Duration) { return true, 200 * time.Millisecond }
	id := sim.submit("a", "aso", normalQueue(), serving())
	sim.run(time.Minute)
	require.LessOrEqual(t, sim.audit.starts, 22)
	require.GreaterOrEqual(t, sim.audit.starts, 12)
	sim.failAfter = nil
	require.True(t, sim.runUntil(6*time.Second, func() bool { return sim.runningTasks() == 1 }))
	sim.run(15 * time.Second)
	require.Equal(t, workflow.Running, sim.state(id))
	// A run that has come up is started again at once.
	for key, run := range sim.workerOf("a.0.0.0").runs {
		require.Equal(t, "a.0.0.0", string(key.Task))
		sim.workerOf("a.0.0.0").end(run, "failed")
	}
	require.True(t, sim.runUntil(500*time.Millisecond, func() bool { return sim.runningTasks() == 1 }))
}

// Guards against a worker that is filled beyond its capacity: it answers as a later incarnation, which may be
// of another kind, while the list still describes the earlier one.
func TestRestartedWorkerIsUsedOnceTheListDescribesIt(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	sim.audit.faults = true
	id, f := sim.submitToOneWorker(step(1, 8, 3*time.Second))
	before := f.info
	f.crash()
	f.info.Capacity = model.Resources{Accelerators: 4, MilliCPU: 64000, MemoryMB: 128000}
	sim.listedWorkers = func() []pool.WorkerInfo { return []pool.WorkerInfo{before} }
	sim.reload()
	small := sim.submit("small", "aso", normalQueue(), step(1, 4, time.Second))
	sim.run(5 * time.Second)
	require.Equal(t, workflow.Queued, sim.state(small))
	sim.listedWorkers = nil
	sim.reload()
	sim.waitFor(5*time.Second, small, workflow.Completed)
	require.NotEqual(t, workflow.Completed, sim.state(id))
}
