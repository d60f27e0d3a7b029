package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/pool"
)

// replaceCutOff cuts the owner off from the store and lets another one take over once its lease has
// ended. The new one can't reach a worker.
func (sim *simulation) replaceCutOff(f *fakeWorker) {
	sim.owner.cutOff, sim.owner.renewing = true, false
	sim.run(ownerLease)
	next := sim.takeOver()
	sim.cutFrom(uint64(next.fence), f.info.ID)
}

// Guards against a second run after a write that names a worker and had no response: it counted as
// not written, so that the worker was renewed as soon as it answered.
func TestUnansweredWriteNamesAWorker(t *testing.T) {
	for silent := 2 * time.Second; silent <= 4*time.Second; silent += 50 * time.Millisecond {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			sim := startSimulation(t, 1, 4)
			_, f := sim.submitToOneWorker(serving())
			sim.unreachable[f.info.ID] = true
			sim.loseWrites = 1
			sim.run(silent)
			delete(sim.unreachable, f.info.ID)
			sim.replaceCutOff(f)
			sim.run(20 * time.Second)
		})
	}
}

// Guards against a second run after a term whose owner reached a silent worker, but could not remove
// it from the record: that owner must not renew the worker, since the next one relies on the record.
func TestOwnerBarsWorkersThatAnEarlierOneHasRecorded(t *testing.T) {
	for wait := 3500 * time.Millisecond; wait <= 5500*time.Millisecond; wait += 500 * time.Millisecond {
		for _, listFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("takeover at %s, list first %v", wait, listFirst), func(t *testing.T) {
				sim := startSimulation(t, 1, 4)
				sim.listFirst = listFirst
				_, f := sim.submitToOneWorker(serving())
				sim.unreachable[f.info.ID] = true
				sim.run(wait)
				require.NotNil(t, sim.silenceRecord())
				delete(sim.unreachable, f.info.ID)
				sim.replaceOwner(0)
				sim.replaceCutOff(f)
				sim.run(20 * time.Second)
			})
		}
	}
}

// Guards against a lease for a worker that the record names: start orders grant one too.
func TestNoStartOrderToASilentWorker(t *testing.T) {
	for offset := time.Duration(0); offset <= 2*time.Second; offset += 100 * time.Millisecond {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			sim := startSimulation(t, 1, 1)
			f := sim.workers["w0-0"]
			sim.submit("a", "aso", normalQueue(), step(1, 1, 30*time.Second))
			require.True(t, sim.runUntil(5*time.Second, func() bool { return len(f.runs) == 1 }))
			sim.run(offset)
			sim.loseCall = func(c pool.Call) (bool, time.Duration) {
				record := sim.silenceRecord()
				grants := c.Start != nil || c.Renew != nil && c.Renew.ExpiresMS > 0
				require.False(t, record != nil && len(record.Workers) > 0 && grants, "a lease was granted to a worker that the record names")
				return true, forever
			}
			sim.submit("b", "aso", normalQueue(), step(1, 1, 30*time.Second))
			sim.run(15 * time.Second)
		})
	}
}

// Guards against a second silence of a worker that counts as the first one: the host has not seen the
// version of the record in between that doesn't name the worker.
func TestSecondSilenceCountsAnewIfAVersionWasSkipped(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	_, f := sim.submitToOneWorker(serving())
	named := func() bool { return sim.silenceRecord() != nil && len(sim.silenceRecord().Workers) == 1 }
	sim.unreachable[f.info.ID] = true
	require.True(t, sim.runUntil(5*time.Second, named))
	sim.run(2 * silenceFollowDelay)
	delete(sim.unreachable, f.info.ID)
	sim.followsNothing = true
	require.True(t, sim.runUntil(5*time.Second, func() bool { return !named() }))
	sim.run(6 * time.Second)
	sim.unreachable[f.info.ID] = true
	require.True(t, sim.runUntil(5*time.Second, named))
	sim.followsNothing = false
	sim.followSilence()
	sim.replaceOwner(0)
	sim.run(20 * time.Second)
	require.Equal(t, 2, sim.audit.starts)
}
