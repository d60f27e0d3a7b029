package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a gap between the orders of two owners that counts from the takeover: an earlier
// owner that didn't know of it gave orders until its permission ended, and the later one began
// right after. The simulation checks each order.
func TestGapCountsFromTheLastOrderOfAnUnawareOwner(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.maxMachinesDown = 3
	sim.upkeepTime = time.Minute
	sim.run(500 * time.Millisecond)
	wave := sim.waveOfAll(1, time.Minute)
	wave.MaxDown = 3
	// Each order is carried out, and each response is lost, so that all orders are repeated.
	sim.loseUpkeep = func() (bool, bool) { return true, true }
	sim.requestWaves(wave)
	require.True(t, sim.runUntil(5*time.Second, func() bool { return len(sim.machineOrders) == 3 }))
	earlier := sim.owner
	earlier.renewing = false
	sim.takeOver()
	sim.requestWaves(wave)
	ordersBefore := sim.upkeepOrders
	sim.run(ownerLease)
	require.Greater(t, sim.upkeepOrders, ordersBefore, "the earlier owner orders as long as it may")
	sim.loseUpkeep = nil
	later := uint64(sim.owner.fence)
	require.True(t, sim.runUntil(20*time.Second, func() bool {
		for _, order := range sim.machineOrders {
			if order.fence != later {
				return false
			}
		}
		return true
	}))
}
