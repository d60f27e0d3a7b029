package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Guards against a task that is done twice: its worker restarts unnoticed, and is told with the
// numbers of its earlier incarnation to forget ends that nobody has read.
func TestEndsOfALaterIncarnationAreNotAcknowledgedByNumbersOfTheEarlierOne(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	sim.audit.faults = true
	f := sim.workers["w0-0"]
	first := sim.submit("first", "aso", normalQueue(), step(6, 1, 300*time.Millisecond))
	sim.waitFor(5*time.Second, first, workflow.Completed)
	sim.run(time.Second)

	// The list of workers describes the earlier incarnation until the end.
	before := f.info
	sim.listedWorkers = func() []pool.WorkerInfo { return []pool.WorkerInfo{before} }
	f.crash()
	// The start orders arrive, the first renewals don't.
	lossEnds := sim.now().Add(2 * time.Second)
	sim.loseCall = func(c pool.Call) (bool, time.Duration) {
		return c.Renew != nil && sim.now().Before(lossEnds), time.Minute
	}
	second := sim.submit("second", "aso", normalQueue(), step(4, 1, 300*time.Millisecond))
	sim.waitFor(time.Minute, second, workflow.Completed)
}

// Guards against tasks that are done twice, or are started on a worker that has not been examined, when
// workers restart unnoticed at any moment, with more or fewer ends than before.
func TestTasksAreDoneOnceWhileWorkersRestartUnnoticed(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { unnoticedRestarts(t, seed) })
	}
}

func unnoticedRestarts(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed, 2, 2)
	sim.audit.faults = true
	sim.after(0, sim.tick)
	sim.takeOver()
	var jobs []model.JobID
	for i := range 40 {
		sim.after(time.Duration(sim.rng.IntN(20_000))*time.Millisecond, func() {
			work := time.Duration(100+sim.rng.IntN(1500)) * time.Millisecond
			jobs = append(jobs, sim.submit(fmt.Sprintf("j%02d", i), "aso", normalQueue(), step(1+sim.rng.IntN(6), 1, work)))
		})
	}
	for range 6 {
		sim.after(time.Duration(sim.rng.IntN(20_000))*time.Millisecond, func() { sim.restartUnnoticed(time.Duration(sim.rng.IntN(3000)) * time.Millisecond) })
	}
	sim.loseCall = func(c pool.Call) (bool, time.Duration) {
		if sim.now().Sub(begin) > 22*time.Second || sim.rng.IntN(5) > 0 {
			return false, 0
		}
		return true, time.Duration(sim.rng.IntN(3000)) * time.Millisecond
	}
	sim.run(22 * time.Second)
	for _, id := range jobs {
		sim.waitFor(2*time.Minute, id, workflow.Completed)
	}
}

// restartUnnoticed restarts a worker, of which the list of workers tells after a while.
func (sim *simulation) restartUnnoticed(unnoticed time.Duration) {
	f := sim.workers[sim.ids[sim.rng.IntN(len(sim.ids))]]
	before := f.info
	f.crash()
	after := f.info
	f.info = before
	sim.after(unnoticed, func() {
		if f.incarnation == after.Incarnation {
			f.info = after
			sim.owner.reload()
		}
	})
}

// Guards against ends that are acknowledged only with the next idle renewal, half a minute later, if
// an acknowledgement was not sent since the connection was a new one.
func TestAcknowledgementThatWasNotSentIsRepeatedAtOnce(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	unsent := 0
	sim.alterResponse = func(c pool.Call, inventory pool.Inventory, err error) (pool.Inventory, error) {
		if c.Renew != nil && c.Renew.Acknowledged > 0 && unsent == 0 {
			unsent++
			inventory.Unacknowledged = true
		}
		return inventory, err
	}
	repeated := 0
	sim.loseCall = func(c pool.Call) (bool, time.Duration) {
		if unsent == 1 && c.Renew != nil && c.Renew.Acknowledged > 0 {
			repeated++
		}
		return false, 0
	}
	id := sim.submit("a", "aso", normalQueue(), step(1, 1, 300*time.Millisecond))
	sim.waitFor(5*time.Second, id, workflow.Completed)
	require.True(t, sim.runUntil(500*time.Millisecond, func() bool { return repeated > 0 }))
}
