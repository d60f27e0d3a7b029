package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Guards against a new owner that gives up a recorded run before a start order of the earlier owner
// can no longer reach a later incarnation, which has answered no call yet.
func TestLateStartOfAnEarlierOwnerReachesALaterIncarnation(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.audit.faults = true
	sim.run(time.Minute)
	var victim *fakeWorker
	sim.carry = func(o *fakeOwner, call pool.Call) {
		f := sim.workers[call.Target.Worker]
		switch {
		case victim == nil && call.Start != nil:
			victim = f
			sim.after(11500*time.Millisecond, func() { _, _ = sim.execute(call) })
			sim.after(100*time.Millisecond, func() {
				f.crash()
				sim.owner.stopped = true
				sim.takeOver()
			})
			fallthrough
		case f == victim:
			sim.after(call.Timeout, func() { o.handleResult(call, pool.Inventory{}, pool.ErrResponseLost) })
		default:
			inventory, err := sim.execute(call)
			sim.after(sim.networkDelay(), func() { o.handleResult(call, inventory, err) })
		}
	}
	id := sim.submit("a", "aso", normalQueue(), step(1, 1, 30*time.Second))
	require.True(t, sim.runUntil(5*time.Second, func() bool { return victim != nil }))
	sim.waitFor(2*time.Minute, id, workflow.Completed)
}
