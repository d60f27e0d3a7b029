package pool_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/workflow"
)

var gangCrashDays = flag.Int("pool.crash.gang.days", 30, "number of random days of gangs on workers that lose power")

// playPowerLosses plays a gang of 4 s to 30 s on 12 workers that lose power for a second, one at a time and each
// time another one, and returns the gang's final state.
func playPowerLosses(t *testing.T, seed uint64) workflow.State {
	sim := newSimulation(t, seed, 2, 6)
	sim.audit.faults = true
	sim.after(0, sim.tick)
	sim.takeOver()
	sim.run(500 * time.Millisecond)
	id := sim.submit("wide", "aso", normalQueue(), gang(2+sim.rng.IntN(11), 8, time.Duration(4000+sim.rng.IntN(26000))*time.Millisecond))
	// Most losses hit the gang once it runs.
	for range 4 + sim.rng.IntN(12) {
		if sim.rng.IntN(3) > 0 {
			sim.runUntil(time.Minute, func() bool { return sim.state(id) == workflow.Running && sim.runningTasks() > 0 })
		}
		sim.run(time.Duration(500+sim.rng.IntN(12000)) * time.Millisecond)
		if f := sim.workers[sim.randomWorker()]; !f.down {
			f.goDown(workerRestart{after: time.Second})
		}
	}
	require.True(t, sim.runUntil(2*time.Minute, func() bool { return sim.state(id).Final() }))
	return sim.state(id)
}

// Guards against a gang that is given up for workers that lose power (review/8): it is on most of them, so
// that it is there at each loss.
func TestGangOnWorkersThatLosePowerIsNotGivenUp(t *testing.T) {
	for seed := range *gangCrashDays {
		require.Equal(t, workflow.Completed, playPowerLosses(t, uint64(seed)), "day %d", seed)
	}
}

// The same with the losses of review/8, each of which hits the gang.
func TestGangOnAllWorkersIsNotGivenUp(t *testing.T) {
	sim := startSimulation(t, 3, 3)
	sim.audit.faults = true
	sim.run(500 * time.Millisecond)
	id := sim.submit("wide", "aso", normalQueue(), gang(9, 8, 8500*time.Millisecond))
	for i := range 6 {
		require.True(t, sim.runUntil(time.Minute, func() bool { return sim.runningTasks() == 9 }))
		sim.run(time.Duration(1200+700*i) * time.Millisecond)
		sim.workers[sim.ids[i]].goDown(workerRestart{after: time.Second})
	}
	sim.waitFor(2*time.Minute, id, workflow.Completed)
}

// Guards against a gang that crashes its workers without an end, as no single crash shows which task of it
// does: one task or all of them, at once or later.
func TestGangThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	after := map[string]func(sim *simulation) time.Duration{
		"at once":      func(*simulation) time.Duration { return 10 * time.Millisecond },
		"soon":         func(sim *simulation) time.Duration { return time.Duration(10+sim.rng.IntN(600)) * time.Millisecond },
		"later":        func(*simulation) time.Duration { return 4 * time.Second },
		"at some time": func(sim *simulation) time.Duration { return time.Duration(1500+sim.rng.IntN(5000)) * time.Millisecond },
	}
	for name, delay := range after {
		for _, all := range []bool{false, true} {
			for _, tasks := range []int{2, 5, 9} {
				// Of tasks that crash their workers at random times another one may be the first each time.
				mostRuns := 5
				if all && name == "at some time" {
					mostRuns = 3*tasks + 1
				}
				t.Run(fmt.Sprintf("%s, all %v, %d tasks", name, all, tasks), func(t *testing.T) {
					for seed := range *crashSeeds {
						sim := newSimulation(t, seed, 2, 6)
						sim.audit.faults = true
						sim.restart = restarts["same id"]
						sim.crashAfter = func(run *fakeRun) (bool, time.Duration) {
							return isDeadly(run) && (all || run.task.Index == 1), delay(sim)
						}
						sim.after(0, sim.tick)
						sim.takeOver()
						sim.run(500 * time.Millisecond)
						id := sim.submit("deadly", "aso", normalQueue(), gang(tasks, 4, 8*time.Second))
						sim.waitFor(20*time.Minute, id, workflow.Failed)
						require.LessOrEqual(t, sim.audit.starts, mostRuns*tasks)
					}
				})
			}
		}
	}
}
