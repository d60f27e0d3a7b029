package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/pool"
)

// Guards against a machine that counts as gone because two readings of the list, with failed ones
// between them, lack it.
func TestFailedListsDoNotMakeAMachineGone(t *testing.T) {
	sim := startSimulation(t, 1, 3)
	sim.maxMachinesDown = 1
	sim.run(500 * time.Millisecond)
	wave := sim.waveOfAll(1, 40*time.Second)
	missing := wave.Machines[2]
	omitted := 0
	sim.omitMachine = func(id pool.MachineID) bool {
		if id != missing || omitted == 2 {
			return false
		}
		omitted++
		return true
	}
	var firstOmission time.Time
	sim.failList = func() bool {
		if omitted == 1 && firstOmission.IsZero() {
			firstOmission = sim.now()
		}
		return omitted == 1 && sim.now().Sub(firstOmission) < 5*time.Second
	}
	sim.requestWaves(wave)
	require.True(t, sim.runUntil(2*time.Minute, func() bool { return sim.waveState(1) == "completed" }))
	require.Equal(t, 2, omitted)
	require.Len(t, sim.machinesDone, 3)
}
