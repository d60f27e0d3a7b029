package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Guards against a start order that is valid far too long: the response of an earlier incarnation,
// overtaken by that of the present one, was taken for the present one's clock. The order, lost and
// executed late, started a task that had been given up with the lease and ran elsewhere.
func TestClockOfAnEarlierIncarnationIsNotUsed(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.audit.faults = true
	sim.run(time.Minute)
	var victim *fakeWorker
	silent := false
	sim.carry = func(o *fakeOwner, call pool.Call) {
		f := sim.workers[call.Target.Worker]
		switch {
		case victim == nil && call.Start != nil:
			// The worker restarts while its response is on the way.
			victim = f
			inventory, err := sim.execute(call)
			sim.after(600*time.Millisecond, func() { o.handleResult(call, inventory, err) })
			sim.after(50*time.Millisecond, func() { f.crash(); sim.reload() })
		case f == victim && silent:
			sim.after(call.Timeout, func() { o.handleResult(call, pool.Inventory{}, pool.ErrResponseLost) })
		case f == victim && call.Start != nil:
			// The worker is cut off from here on; this order still arrives, late.
			require.Less(t, call.Start.ExpiresMS, f.clockMS()+workerLease.Milliseconds(), "the order is valid for too long")
			silent = true
			sim.after(11500*time.Millisecond, func() { _, _ = sim.execute(call) })
			sim.after(call.Timeout, func() { o.handleResult(call, pool.Inventory{}, pool.ErrResponseLost) })
		case call.Renew != nil && call.Renew.Wait > 0:
			sim.respondToRenewal(o, call, sim.now().Add(call.Renew.Wait))
		default:
			inventory, err := sim.execute(call)
			sim.after(sim.networkDelay(), func() { o.handleResult(call, inventory, err) })
		}
	}
	sim.submit("a", "aso", normalQueue(), step(1, 1, 30*time.Second))
	require.True(t, sim.runUntil(5*time.Second, func() bool { return victim != nil }))
	sim.run(650 * time.Millisecond)
	id := sim.submit("b", "aso", normalQueue(), step(3, 5, 30*time.Second))
	require.True(t, sim.runUntil(5*time.Second, func() bool { return silent }))
	sim.waitFor(2*time.Minute, id, workflow.Completed)
}
