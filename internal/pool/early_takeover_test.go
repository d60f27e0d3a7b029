package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/pool"
)

// storeLease is how long a host may hold the ownership after its last renewal.
const storeLease = 1800 * time.Millisecond

func fenceOf(c pool.Call) uint64 {
	switch {
	case c.Start != nil:
		return c.Start.Fence
	case c.Stop != nil:
		return c.Stop.Fence
	case c.Renew != nil:
		return c.Renew.Fence
	}
	return 0
}

// Guards against a takeover before the lease of a live owner has expired that doesn't add what was
// left of it: that owner goes on renewing the leases of workers that only it reaches, for longer
// than the new owner waits. Their tasks were started a second time.
func TestEarlyTakeoverWaitsForLeasesOfTheLiveOwner(t *testing.T) {
	for _, since := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, storeLease} {
		for phase := range 10 {
			t.Run(fmt.Sprintf("%s after the last renewal, phase %d", since, phase), func(t *testing.T) {
				sim := startSimulation(t, 1, 4)
				_, f := sim.submitToOneWorker(step(1, 8, time.Minute))
				sim.run(time.Duration(phase) * 200 * time.Millisecond)
				old := sim.owner
				// The simulation's owners have a longer lease than real ones.
				old.renewing, old.renewedAt = false, sim.now().Add(storeLease-ownerLease)
				sim.loseCall = func(c pool.Call) (bool, time.Duration) {
					return c.Target.Worker == f.info.ID && fenceOf(c) > uint64(old.fence), time.Hour
				}
				sim.run(since)
				sim.leaseLeft = storeLease - since
				sim.takeOver()
				sim.run(20 * time.Second)
				require.Equal(t, 2, sim.audit.starts)
			})
		}
	}
}
