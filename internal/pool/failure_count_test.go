package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// A gang fails on one worker while the other can't be reached. The owner dies right after it has
// recorded the failure, before it has acknowledged the end. The next owner is told of the same
// end again and must not count it twice.
func TestFailureIsCountedOnceOverATakeover(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	sim.workers["w0-0"].failTasks = true
	sim.submit("a", "aso", normalQueue(), gang(2, 8, time.Second))
	require.True(t, sim.runUntil(time.Second, func() bool { return sim.runningTasks() == 2 }))
	sim.unreachable["w0-1"] = true
	failures := func() int {
		for _, kv := range sim.rangeAll(store.PoolProgressPrefix) {
			progress, err := workflow.DecodeProgress(kv.Value)
			require.NoError(t, err)
			for _, group := range progress.TaskGroups {
				return group.Failures
			}
		}
		return 0
	}
	for passed := time.Duration(0); failures() == 0; passed += time.Millisecond {
		require.Less(t, passed, 5*time.Second)
		sim.run(time.Millisecond)
	}
	sim.owner.stopped = true
	sim.takeOver()
	sim.run(300 * time.Millisecond)
	require.Equal(t, 1, failures())
}
