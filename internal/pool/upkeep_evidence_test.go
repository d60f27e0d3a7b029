package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/pool"
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

// Guards against an upkeep that ends a serving task while another of its step is on a worker that
// doesn't answer: that one counted as at work until its lease had expired.
func TestTasksOnASilentWorkerAreNotAtWork(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	sim.maxMachinesDown = 1
	sim.run(500 * time.Millisecond)
	serve := step(2, 8, time.Second)
	serve.LongRunning, serve.DisruptionBudget, serve.MaxPerWorker = true, 1, 1
	sim.submit("serving", "aso", normalQueue(), serve)
	require.True(t, sim.runUntil(10*time.Second, func() bool { return sim.runningTasks() == 2 }))
	sim.run(5 * time.Second)
	silent, other := sim.workers[sim.ids[0]], sim.workers[sim.ids[1]]
	silent.goDown(workerRestart{after: 20 * time.Second})
	// The owner notices the silence by the renewal that waits at that moment.
	sim.run(3 * time.Second)
	sim.requestWaves(pool.Wave{Number: 1, Machines: []pool.MachineID{machineOf(other)}, MaxDown: 1, Due: sim.now()})
	disrupted := func() bool { return len(other.runs) == 0 || len(sim.machinesDown) > 0 }
	require.False(t, sim.runUntil(3*time.Second, disrupted))
	require.True(t, sim.runUntil(2*time.Minute, func() bool { return sim.waveState(1) == "completed" }))
}
