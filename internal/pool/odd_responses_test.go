package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/pool"
)

// alterNextRenewals alters the responses of one worker to renewals for a while.
func (sim *simulation) alterNextRenewals(f *fakeWorker, d time.Duration, alter func(pool.Inventory) (pool.Inventory, error)) {
	sim.alterResponse = func(c pool.Call, inventory pool.Inventory, err error) (pool.Inventory, error) {
		if c.Renew == nil || c.Target.Worker != f.info.ID || err != nil {
			return inventory, err
		}
		return alter(inventory)
	}
	sim.after(d, func() { sim.alterResponse = nil })
}

// Guards against a response that doesn't name the incarnation of the worker and lists nothing, and
// therefore counts as the worker's word that its runs are gone.
func TestResponseWithoutIncarnationEndsNoRun(t *testing.T) {
	for name, response := range map[string]pool.Inventory{
		"empty":      {},
		"clock only": {ClockMS: 1500},
	} {
		for _, takeOver := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, takeover %v", name, takeOver), func(t *testing.T) {
				sim := startSimulation(t, 1, 4)
				_, f := sim.submitToOneWorker(step(1, 8, 20*time.Second))
				if takeOver {
					sim.owner.stopped = true
					sim.takeOver()
				}
				sim.alterNextRenewals(f, 5*time.Second, func(pool.Inventory) (pool.Inventory, error) { return response, nil })
				sim.run(10 * time.Second)
				require.Equal(t, 1, sim.audit.starts)
			})
		}
	}
}
