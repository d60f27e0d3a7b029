package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// silence makes random workers unreachable, one or two at a time, for random times between
// shortest and longest, until the simulation has run for d.
func (sim *simulation) silence(d, shortest, longest time.Duration) {
	for at := time.Second; at < d; at += 2 * longest {
		for range 1 + sim.rng.IntN(2) {
			id := sim.randomWorker()
			length := shortest + time.Duration(sim.rng.Int64N(int64(longest-shortest)))
			sim.after(at, func() { sim.unreachable[id] = true })
			sim.after(at+length, func() { delete(sim.unreachable, id) })
		}
	}
}

// submitLongWork submits gangs and independent tasks of 20 s and returns the jobs and the
// number of their tasks.
func (sim *simulation) submitLongWork() (ids []model.JobID, tasks int) {
	for i := range 3 {
		ids = append(ids,
			sim.submit(fmt.Sprintf("g%d", i), "aso", normalQueue(), gang(3, 4, 20*time.Second)),
			sim.submit(fmt.Sprintf("t%d", i), "genkai", normalQueue(), step(6, 1, 20*time.Second)))
		tasks += 3 + 6
	}
	return ids, tasks
}

const silenceSeeds = 20

// A worker that is silent, or slow to answer, for up to 0.4 of its lease keeps its work: no run
// is started again or given up.
func TestShortSilenceKeepsRunningWork(t *testing.T) {
	for seed := range uint64(silenceSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 2, 4)
			sim.after(0, sim.tick)
			sim.takeOver()
			sim.run(time.Second)
			ids, tasks := sim.submitLongWork()
			sim.run(time.Second)
			sim.silence(18*time.Second, workerLease/5, 2*workerLease/5)
			for _, id := range ids {
				sim.waitFor(time.Minute, id, workflow.Completed)
			}
			require.Equal(t, tasks, sim.audit.starts)
		})
	}
}

// After a silence of any length, up to three times the lease, no task runs twice at a time
// or again after its end was read (the audit checks each start), and all work is done.
func TestLongSilenceRunsNothingTwice(t *testing.T) {
	for seed := range uint64(silenceSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 2, 4)
			sim.audit.faults = true
			sim.after(0, sim.tick)
			sim.takeOver()
			sim.run(time.Second)
			ids, _ := sim.submitLongWork()
			sim.run(time.Second)
			sim.silence(40*time.Second, workerLease/5, 3*workerLease)
			for _, id := range ids {
				sim.waitFor(5*time.Minute, id, workflow.Completed)
			}
		})
	}
}
