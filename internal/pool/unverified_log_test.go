package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/pool"
)

// Guards against a run of an earlier owner that is given up without a line that says why: after a
// double run, nothing would tell a lease that was waited out from a list without the run.
func TestEndOfARecordedRunIsLoggedWithItsReason(t *testing.T) {
	for name, cutOff := range map[string]func(sim *simulation, f *fakeWorker){
		"unreachable": func(sim *simulation, f *fakeWorker) { sim.unreachable[f.info.ID] = true },
		"restarted":   func(_ *simulation, f *fakeWorker) { f.crash() },
		"another worker answers": func(sim *simulation, f *fakeWorker) {
			f.crash()
			sim.alterNextRenewals(f, time.Second, func(pool.Inventory) (pool.Inventory, error) { return pool.Inventory{}, pool.ErrIncarnation })
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1, 4)
			sim.keepEvents()
			sim.after(0, sim.tick)
			sim.takeOver()
			_, f := sim.submitToOneWorker(step(1, 8, 9*time.Second))
			sim.owner.stopped = true
			cutOff(sim, f)
			sim.takeOver()
			require.True(t, sim.runUntil(15*time.Second, func() bool { return sim.audit.starts == 2 }))
			ended := sim.eventsOf(event.TaskEnded)
			require.NotEmpty(t, ended)
			require.NotEmpty(t, ended[0].Fields["why"])
		})
	}
}
