package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Guards against workers that can't be reached and keep all claims of a new owner to themselves: the
// tasks of the others lost their leases, and new jobs waited beside free workers.
func TestUnreachableWorkersLeaveClaimsToOthers(t *testing.T) {
	sim := startSimulation(t, 40, 8)
	id := sim.submit("running", "aso", normalQueue(), step(320, 8, 20*time.Second))
	sim.waitFor(10*time.Second, id, workflow.Running)
	require.True(t, sim.runUntil(10*time.Second, func() bool { return sim.runningTasks() == 320 }))
	sim.owner.stopped = true
	for _, worker := range sim.ids[:200] {
		sim.unreachable[worker] = true
	}
	sim.run(ownerLease)
	sim.keepEvents()
	sim.takeOver()
	claimed := func() int {
		count := 0
		for _, worker := range sim.ids[200:] {
			if sim.workers[worker].fence >= uint64(sim.owner.fence) {
				count++
			}
		}
		return count
	}
	require.True(t, sim.runUntil(4*time.Second, func() bool { return claimed() == 120 }), fmt.Sprint(claimed()))
}
