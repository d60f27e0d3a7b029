package pool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// refusing makes the store refuse each transaction that writes a key.
func (sim *simulation) refusing(key string) {
	sim.refuseWrite = func(txn store.Txn) bool {
		return slices.ContainsFunc(txn.Then, func(op store.Op) bool { return op.Put != nil && op.Put.Key == key })
	}
}

// Guards against a record that the store refuses for its content and that is taken for an outage: it
// is sent again for good, with the records of other jobs, so that nothing is started or ended any more.
func TestRecordThatTheStoreRefusesHoldsUpNoOther(t *testing.T) {
	sim := startSimulation(t, 2, 2)
	sim.refusing(store.PoolProgressKey("refused"))
	refused := sim.submit("refused", "aso", normalQueue(), step(4, 1, time.Second))
	var others []model.JobID
	for i := range 20 {
		others = append(others, sim.submit(fmt.Sprintf("job-%02d", i), "aso", normalQueue(), step(1, 1, 500*time.Millisecond)))
	}
	for _, id := range others {
		sim.waitFor(10*time.Second, id, workflow.Completed)
	}
	late := sim.submit("late", "aso", normalQueue(), step(1, 1, 500*time.Millisecond))
	sim.waitFor(2*time.Second, late, workflow.Completed)
	require.Equal(t, workflow.Queued, sim.state(refused))
	sim.refuseWrite = nil
	sim.waitFor(time.Minute, refused, workflow.Completed)
}

// Guards against a record of the pool itself, such as that of silent workers, that the store refuses and
// with which no job is recorded any more.
func TestRecordOfThePoolThatTheStoreRefusesHoldsUpNoJob(t *testing.T) {
	for name, key := range map[string]string{"silent workers": store.PoolSilenceKey, "crashes": store.PoolCrashesKey} {
		t.Run(name, func(t *testing.T) {
			sim := startSimulation(t, 1, 3)
			sim.audit.faults = true
			sim.refusing(key)
			first := sim.submit("first", "aso", normalQueue(), step(3, 8, 2*time.Second))
			sim.run(500 * time.Millisecond)
			sim.workers["w0-0"].crash()
			sim.unreachable["w0-1"] = true
			sim.reload()
			sim.run(5 * time.Second)
			delete(sim.unreachable, "w0-1")
			sim.waitFor(time.Minute, first, workflow.Completed)
			second := sim.submit("second", "aso", normalQueue(), step(2, 1, 500*time.Millisecond))
			sim.waitFor(5*time.Second, second, workflow.Completed)
		})
	}
}

// Guards against a job whose record is refused and that takes the room of others with assignments
// that never start.
func TestJobThatCantBeRecordedWithholdsNoResources(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	sim.refusing(store.PoolProgressKey("refused"))
	sim.submit("refused", "aso", urgentQueue(), step(1, 8, time.Second))
	sim.run(5 * time.Second)
	for i := range 5 {
		id := sim.submit(fmt.Sprintf("job-%d", i), "aso", normalQueue(), step(1, 8, 500*time.Millisecond))
		sim.waitFor(1500*time.Millisecond, id, workflow.Completed)
	}
}
