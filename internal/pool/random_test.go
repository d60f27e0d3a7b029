package pool_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

var (
	seedCount = flag.Int("pool.seeds", 8, "number of random simulations")
	firstSeed = flag.Uint64("pool.seed", 1, "first seed of the random simulations")
)

// TestRandomFaults runs simulations with random faults: orders and responses are lost or late,
// workers are unreachable or crash, the store fails, loses responses and delays writes, and
// owners freeze, die and are replaced, while jobs of all kinds are submitted and cancelled.
// The audit checks each start and each acknowledged end; finally every job has to reach a
// final state.
func TestRandomFaults(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runRandomFaults(t, seed) })
	}
}

const faultPeriod = 40 * time.Second

func runRandomFaults(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed, 2+int(seed%2), 4)
	sim.policy.Guarantees["aso"] = 16
	sim.audit.faults = true
	sim.after(0, sim.tick)
	sim.takeOver()
	var ids []model.JobID
	for i := range 40 {
		sim.after(sim.randomTime(), func() { ids = append(ids, sim.randomJob(i)) })
	}
	for range 3 {
		sim.after(sim.randomTime(), func() { sim.loseCalls(time.Second + sim.randomTime()/8) })
		sim.after(sim.randomTime(), func() { sim.disconnectWorker(time.Second + sim.randomTime()/4) })
		sim.after(sim.randomTime(), func() { sim.workers[sim.randomWorker()].crash(); sim.owner.reload() })
		sim.after(sim.randomTime(), func() { sim.lateWrites, sim.loseWrites = sim.randomTime()/10, 1+sim.rng.IntN(4) })
		sim.after(sim.randomTime(), func() { sim.storeOutage(sim.randomTime() / 10) })
		sim.after(sim.randomTime(), sim.changeOwner)
	}
	sim.run(faultPeriod)
	sim.run(30 * time.Second)
	for _, id := range ids {
		if sim.records[id].Spec.LongRunning() && !sim.state(id).Final() {
			sim.cancel(id)
		}
	}
	for _, id := range ids {
		require.True(t, sim.runUntil(2*time.Minute, func() bool { return sim.state(id).Final() }), "%s is still %s", id, sim.state(id))
	}
	sim.run(5 * time.Second)
	require.Zero(t, sim.runningTasks(), "tasks of ended jobs are still running")
}

func (sim *simulation) randomTime() time.Duration {
	return time.Duration(sim.rng.Int64N(int64(faultPeriod)))
}

func (sim *simulation) randomWorker() model.WorkerID { return sim.ids[sim.rng.IntN(len(sim.ids))] }

func (sim *simulation) randomJob(i int) model.JobID {
	queue := []workflow.Queue{normalQueue(), urgentQueue(), normalQueue()}[sim.rng.IntN(3)]
	organisation := []model.OrganisationID{"aso", "genkai", "sakurajima"}[sim.rng.IntN(3)]
	spec := workflow.Spec{Payload: fmt.Sprintf("job %d", i)}
	for number := range 1 + sim.rng.IntN(3) {
		s := step(1+sim.rng.IntN(6), 1<<sim.rng.IntN(4), time.Duration(200+sim.rng.IntN(4000))*time.Millisecond)
		s.Gang = sim.rng.IntN(2) == 0
		s.SameRack = s.Gang && sim.rng.IntN(2) == 0
		s.Checkpoints = sim.rng.IntN(2) == 0
		if number > 0 && sim.rng.IntN(2) == 0 {
			s.DependsOn = []int{number - 1}
		}
		if sim.rng.IntN(5) == 0 {
			s.MaxPerWorker = 1 + sim.rng.IntN(2)
			s.Tasks = min(s.Tasks, 4)
		}
		spec.Steps = append(spec.Steps, s)
	}
	switch sim.rng.IntN(12) {
	case 0:
		spec.Steps[0].LongRunning, spec.Steps = true, spec.Steps[:1]
	case 1:
		spec.FirstDue, spec.Period, spec.Occurrences = sim.now().Add(time.Second), 2*time.Second, 3
	}
	id := sim.submitSpec(fmt.Sprintf("j%02d", i), organisation, queue, spec)
	if sim.rng.IntN(6) == 0 {
		sim.after(sim.randomTime()/4, func() { sim.cancel(id) })
	}
	return id
}

// loseCalls loses the responses to a tenth of the orders for d; some are executed late.
func (sim *simulation) loseCalls(d time.Duration) {
	sim.loseCall = func(pool.Call) (bool, time.Duration) {
		if sim.rng.IntN(10) > 0 {
			return false, 0
		}
		return true, time.Duration(sim.rng.IntN(2)*(2000+sim.rng.IntN(10000))) * time.Millisecond
	}
	sim.after(d, func() { sim.loseCall = nil })
}

func (sim *simulation) disconnectWorker(d time.Duration) {
	id := sim.randomWorker()
	sim.unreachable[id] = true
	sim.after(d, func() { delete(sim.unreachable, id) })
}

func (sim *simulation) storeOutage(d time.Duration) {
	sim.storeDown, sim.owner.renewing = true, false
	owner := sim.owner
	sim.after(d, func() { sim.storeDown, owner.renewing = false, !owner.stopped && !owner.paused })
}

// changeOwner stops or freezes the owner; another one takes over when its lease has expired.
func (sim *simulation) changeOwner() {
	previous := sim.owner
	if sim.rng.IntN(2) == 0 {
		previous.stopped = true
	} else {
		previous.pause(ownerLease + sim.randomTime()/4)
	}
	previous.renewing = false
	sim.after(ownerLease, func() {
		if sim.owner == previous {
			sim.takeOver()
		}
	})
}
