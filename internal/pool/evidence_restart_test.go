package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// completesAlthoughAStartIsLate submits a job of one task whose first start order gets no response
// and is carried out 11.5 s later. Its worker restarts right after the order was sent, and answers
// nobody; meanwhile is called then.
func (sim *simulation) completesAlthoughAStartIsLate(meanwhile func()) {
	sim.audit.faults = true
	sim.run(time.Minute)
	var victim *fakeWorker
	sim.carry = func(o *fakeOwner, call pool.Call) {
		f := sim.workers[call.Target.Worker]
		switch {
		case victim == nil && call.Start != nil:
			victim = f
			sim.after(11500*time.Millisecond, func() { _, _ = sim.execute(call) })
			sim.after(100*time.Millisecond, func() { f.crash(); meanwhile() })
			fallthrough
		case f == victim:
			sim.after(call.Timeout, func() { o.handleResult(call, pool.Inventory{}, pool.ErrResponseLost) })
		default:
			inventory, err := sim.execute(call)
			sim.after(sim.networkDelay(), func() { o.handleResult(call, inventory, err) })
		}
	}
	id := sim.submit("a", "aso", normalQueue(), step(1, 1, 30*time.Second))
	require.True(sim.t, sim.runUntil(5*time.Second, func() bool { return victim != nil }))
	sim.waitFor(2*time.Minute, id, workflow.Completed)
}

// Guards against a start order that reaches a later incarnation, which has answered no call yet,
// after the run was given up: an order names the worker, not its incarnation, and expires by the
// clock of the earlier one. The task ran elsewhere meanwhile.
func TestLateStartReachesALaterIncarnationThatIsCutOff(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.completesAlthoughAStartIsLate(sim.reload)
}

// Guards against a new owner that gives up a recorded run before a start order of the earlier owner
// can no longer reach a later incarnation, which has answered no call yet.
func TestLateStartOfAnEarlierOwnerReachesALaterIncarnation(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.completesAlthoughAStartIsLate(func() {
		sim.owner.stopped = true
		sim.takeOver()
	})
}
