package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

func (sim *simulation) cancelEarly(id model.JobID, organisation model.OrganisationID) {
	sim.put(store.PoolEarlyCancelKey(id, organisation), workflow.Encode(workflow.Cancellation{Organisation: &organisation}))
	sim.owner.load()
}

// Guards against records of cancellations of jobs that never come, which stayed in the store and in the
// owner's memory for ever. Those of jobs that came in the meantime have cancelled them.
func TestCancellationsOfJobsThatNeverComeAreRemoved(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %v", takeOver), func(t *testing.T) {
			sim := startSimulation(t, 1, 4)
			for i := range 25 {
				sim.cancelEarly(model.JobID(fmt.Sprintf("never-%02d", i)), "aso")
			}
			sim.cancelEarly("late", "aso")
			sim.cancelEarly("other", "genkai")
			sim.run(time.Second)
			sim.submit("late", "aso", normalQueue(), step(1, 1, time.Second))
			sim.submit("other", "aso", normalQueue(), step(1, 1, time.Second))
			sim.waitFor(time.Second, "late", workflow.Cancelled)
			sim.waitFor(5*time.Second, "other", workflow.Completed)
			if takeOver {
				sim.owner.stopped = true
				sim.takeOver()
			}
			sim.run(retention - 10*time.Second)
			require.Len(t, sim.earlyCancellations(), 27)
			sim.run(time.Minute)
			require.Empty(t, sim.earlyCancellations())
		})
	}
}

func (sim *simulation) earlyCancellations() []string {
	var found []string
	for _, kv := range sim.rangeAll(store.PoolInputPrefix) {
		if _, kind := store.ParsePoolInput(kv.Key); kind == store.PoolEarlyCancel {
			found = append(found, kv.Key)
		}
	}
	return found
}
