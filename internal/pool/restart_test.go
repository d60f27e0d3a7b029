package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
