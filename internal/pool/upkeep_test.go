package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// requestWaves passes the operators' waves to the owner.
func (sim *simulation) requestWaves(waves ...pool.Wave) {
	sim.owner.owner.SetUpkeep(upkeepDuration, waveStatus)
	sim.owner.owner.SetWaves(waves, sim.now())
}

// waveOfAll returns a wave of all machines, one at a time.
func (sim *simulation) waveOfAll(number int, duration time.Duration) pool.Wave {
	wave := pool.Wave{Number: number, MaxDown: 1, Due: sim.now().Add(duration)}
	for _, id := range sim.ids {
		wave.Machines = append(wave.Machines, machineOf(sim.workers[id]))
	}
	return wave
}

// Guards against a new owner that takes "the upkeep is already done" for the end of the tasks
// that have been started on the machine since: it went through the whole wave again, and each
// task on a machine whose upkeep was over was started a second time.
func TestTakeoverDuringAWaveEndsNoRunningTask(t *testing.T) {
	for name, changeOwner := range map[string]func(sim *simulation){
		"planned": func(sim *simulation) { sim.owner.stopped = true },
		"killed":  func(sim *simulation) { sim.owner.stopped = true; sim.run(ownerLease) },
		"paused":  func(sim *simulation) { sim.owner.pause(5 * time.Second); sim.run(ownerLease) },
	} {
		t.Run(name, func(t *testing.T) {
			sim := startSimulation(t, 1, 6)
			sim.maxMachinesDown = 1
			sim.run(500 * time.Millisecond)
			wave := sim.waveOfAll(1, 26*time.Second)
			sim.requestWaves(wave)
			require.True(t, sim.runUntil(time.Minute, func() bool { return len(sim.machinesDone) == 3 }))
			sim.run(500 * time.Millisecond)
			id := sim.submit("a", "aso", normalQueue(), step(3, 8, 20*time.Second))
			require.True(t, sim.runUntil(10*time.Second, func() bool { return sim.runningTasks() == 3 }))
			sim.run(time.Second)
			changeOwner(sim)
			sim.takeOver()
			sim.requestWaves(wave)
			require.True(t, sim.runUntil(time.Minute, func() bool { return sim.waveState(1) == "completed" }))
			require.Len(t, sim.machinesDone, 6)
			sim.waitFor(time.Minute, id, workflow.Completed)
		})
	}
}

// startAfterACompletedWave returns a simulation with three machines whose wave is completed, and a
// job with a task on each of them.
func startAfterACompletedWave(t *testing.T) (*simulation, pool.Wave, model.JobID) {
	sim := startSimulation(t, 1, 3)
	sim.maxMachinesDown = 1
	sim.run(500 * time.Millisecond)
	wave := sim.waveOfAll(1, 20*time.Second)
	sim.requestWaves(wave)
	require.True(t, sim.runUntil(time.Minute, func() bool { return sim.waveState(1) == "completed" }))
	id := sim.submit("a", "aso", normalQueue(), step(3, 8, 15*time.Second))
	require.True(t, sim.runUntil(10*time.Second, func() bool { return sim.runningTasks() == 3 }))
	return sim, wave, id
}

// requireNothingRepeated waits until that job is completed, and checks that no task was started
// and no upkeep ordered a second time.
func (sim *simulation) requireNothingRepeated(id model.JobID) {
	sim.waitFor(20*time.Second, id, workflow.Completed)
	sim.run(10 * time.Second)
	require.Equal(sim.t, 3, sim.audit.starts)
	require.Equal(sim.t, 3, sim.upkeepOrders)
}

// Guards against the same when the wave has been completed: its key stays, and each new owner
// went through it again.
func TestCompletedWaveStaysCompletedAfterATakeover(t *testing.T) {
	sim, wave, id := startAfterACompletedWave(t)
	sim.owner.stopped = true
	sim.takeOver()
	sim.requestWaves(wave)
	sim.run(2 * time.Second)
	require.Equal(t, "completed", sim.waveState(1))
	sim.requireNothingRepeated(id)
}

// Guards against the same without a takeover: operators remove the key of the wave and put it
// back.
func TestWaveThatIsPutBackEndsNoRunningTask(t *testing.T) {
	sim, wave, id := startAfterACompletedWave(t)
	sim.requestWaves()
	sim.run(time.Second)
	sim.requestWaves(wave)
	sim.requireNothingRepeated(id)
}

// Guards against the same when nothing is recorded, as after an upgrade: the response alone
// doesn't show whether the upkeep has begun now or was over long before.
func TestUpkeepWithoutRecordEndsNoRunningTask(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.maxMachinesDown = 1
	sim.run(500 * time.Millisecond)
	wave := sim.waveOfAll(1, 20*time.Second)
	sim.requestWaves(wave)
	require.True(t, sim.runUntil(time.Minute, func() bool { return len(sim.machinesDone) == 2 }))
	sim.run(500 * time.Millisecond)
	id := sim.submit("a", "aso", normalQueue(), step(2, 8, 15*time.Second))
	require.True(t, sim.runUntil(10*time.Second, func() bool { return sim.runningTasks() == 2 }))
	sim.owner.stopped = true
	sim.run(ownerLease)
	for _, kv := range sim.rangeAll(store.PoolUpkeepPrefix) {
		sim.remove(kv.Key)
	}
	sim.takeOver()
	sim.requestWaves(wave)
	require.True(t, sim.runUntil(time.Minute, func() bool { return sim.waveState(1) == "completed" }))
	sim.waitFor(time.Minute, id, workflow.Completed)
}

// The tasks on a machine whose upkeep has begun are started elsewhere at once, by the owner that
// has ordered it and by one that takes over right after.
func TestTasksOfAMachineInUpkeepStartElsewhereAtOnce(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %v", takeOver), func(t *testing.T) {
			sim := startSimulation(t, 1, 4)
			sim.maxMachinesDown = 1
			sim.run(500 * time.Millisecond)
			id := sim.submit("a", "aso", normalQueue(), step(1, 8, 10*time.Second))
			sim.waitFor(time.Second, id, workflow.Running)
			sim.run(500 * time.Millisecond)
			var busy *fakeWorker
			for _, f := range sim.workers {
				if len(f.runs) > 0 {
					busy = f
				}
			}
			// The wave is late from the beginning, so that it waits for no task.
			wave := pool.Wave{Number: 1, Machines: []pool.MachineID{machineOf(busy)}, MaxDown: 1, Due: sim.now()}
			sim.requestWaves(wave)
			require.True(t, sim.runUntil(5*time.Second, func() bool { return len(sim.machinesDown) == 1 }))
			if takeOver {
				sim.owner.stopped = true
				sim.takeOver()
				sim.requestWaves(wave)
			}
			require.True(t, sim.runUntil(200*time.Millisecond, func() bool { return sim.runningTasks() == 1 }))
			sim.waitFor(20*time.Second, id, workflow.Completed)
		})
	}
}

// Guards against a new owner that orders the upkeep of a machine again within the time in which
// only one holder may give orders for it. The simulation checks each order.
func TestTwoOwnersGiveNoOrdersForOneMachineWithinTheGap(t *testing.T) {
	for _, loseResponse := range []bool{false, true} {
		t.Run(fmt.Sprintf("response lost %v", loseResponse), func(t *testing.T) {
			sim := startSimulation(t, 1, 4)
			sim.maxMachinesDown = 3
			sim.run(500 * time.Millisecond)
			wave := sim.waveOfAll(1, 20*time.Second)
			wave.MaxDown = 3
			sim.loseUpkeep = func() (bool, bool) { return loseResponse, sim.rng.IntN(2) == 0 }
			sim.requestWaves(wave)
			require.True(t, sim.runUntil(5*time.Second, func() bool { return len(sim.machineOrders) == 3 }))
			sim.owner.stopped = true
			sim.takeOver()
			sim.requestWaves(wave)
			sim.run(time.Second)
			sim.loseUpkeep = nil
			require.True(t, sim.runUntil(time.Minute, func() bool { return sim.waveState(1) == "completed" }))
			require.Len(t, sim.machinesDone, 4)
		})
	}
}

// Guards against two owners that order the upkeep of one machine within the gap for different waves
// (review/9). The simulation checks each order.
func TestTwoOwnersKeepTheGapOverWaves(t *testing.T) {
	for _, ownerDies := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner dies %v", ownerDies), func(t *testing.T) {
			sim := startSimulation(t, 1, 4)
			sim.maxMachinesDown = 4
			sim.run(500 * time.Millisecond)
			first, second := sim.waveOfAll(1, 20*time.Second), sim.waveOfAll(2, 20*time.Second)
			first.MaxDown, second.MaxDown = 4, 4
			sim.requestWaves(first)
			require.True(t, sim.runUntil(5*time.Second, func() bool { return len(sim.machineOrders) == 4 }))
			sim.owner.stopped = true
			if ownerDies {
				sim.run(time.Second)
			}
			sim.takeOver()
			sim.requestWaves(first, second)
			for number := 1; number <= 2; number++ {
				require.True(t, sim.runUntil(time.Minute, func() bool { return sim.waveState(number) == "completed" }))
			}
			require.Len(t, sim.machinesDone, 8)
		})
	}
}

// Guards against a worker that counts as crashed, with the tasks that were on it as suspects,
// although its upkeep was ordered by an earlier owner.
func TestUpkeepOfAnEarlierOwnerIsNoCrash(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.maxMachinesDown = 1
	sim.run(500 * time.Millisecond)
	id := sim.submit("a", "aso", normalQueue(), step(4, 8, 10*time.Second))
	sim.waitFor(time.Second, id, workflow.Running)
	sim.run(500 * time.Millisecond)
	wave := sim.waveOfAll(1, 0)
	sim.requestWaves(wave)
	require.True(t, sim.runUntil(5*time.Second, func() bool { return len(sim.machinesDown) == 1 }))
	sim.owner.stopped = true
	sim.run(ownerLease)
	sim.takeOver()
	sim.requestWaves(wave)
	sim.run(11 * time.Second)
	require.Zero(t, sim.owner.owner.Report().Crashes)
	sim.waitFor(time.Minute, id, workflow.Completed)
}

// The records of upkeeps are removed some time after operators have removed their wave.
func TestRecordsOfRemovedWavesAreRemoved(t *testing.T) {
	sim := startSimulation(t, 1, 3)
	sim.maxMachinesDown = 1
	sim.run(500 * time.Millisecond)
	sim.requestWaves(sim.waveOfAll(1, 20*time.Second))
	require.True(t, sim.runUntil(time.Minute, func() bool { return sim.waveState(1) == "completed" }))
	require.Len(t, sim.rangeAll(store.PoolUpkeepPrefix), 3)
	sim.requestWaves()
	sim.run(retention - time.Minute)
	require.Len(t, sim.rangeAll(store.PoolUpkeepPrefix), 3)
	sim.run(2 * time.Minute)
	require.Empty(t, sim.rangeAll(store.PoolUpkeepPrefix))
}

// Guards against a failed request for the list of machines that counts as news: a machine that
// was still down was taken to be up again, and the upkeep of the next one began.
func TestUnreadListOfMachinesIsNoNews(t *testing.T) {
	sim := startSimulation(t, 1, 3)
	sim.maxMachinesDown = 1
	sim.run(500 * time.Millisecond)
	sim.upkeepTime = 20 * time.Second
	sim.requestWaves(sim.waveOfAll(1, 0))
	sim.failList = func() bool { return len(sim.machinesDown) > 0 }
	require.True(t, sim.runUntil(5*time.Second, func() bool { return len(sim.machinesDown) == 1 }))
	sim.run(15 * time.Second)
	require.Len(t, sim.machinesDown, 1)
	require.Empty(t, sim.machinesDone)
	sim.upkeepTime = upkeepDuration
	require.True(t, sim.runUntil(time.Minute, func() bool { return sim.waveState(1) == "completed" }))
	require.Len(t, sim.machinesDone, 3)
}

// Guards against a machine that counts as gone, and so as done, because one reading of the list
// of machines lacks it: the pages of the list are not read at one time.
func TestMachineMissingInOneListIsNotGone(t *testing.T) {
	for name, down := range map[string]bool{"before its upkeep": false, "during its upkeep": true} {
		t.Run(name, func(t *testing.T) {
			sim := startSimulation(t, 1, 3)
			sim.maxMachinesDown = 1
			sim.run(500 * time.Millisecond)
			wave := sim.waveOfAll(1, 20*time.Second)
			missing := wave.Machines[0]
			omitted := 0
			sim.omitMachine = func(id pool.MachineID) bool {
				if id != missing || sim.isDown(id) != down || omitted == 2 {
					return false
				}
				omitted++
				return true
			}
			sim.requestWaves(wave)
			require.True(t, sim.runUntil(time.Minute, func() bool { return sim.waveState(1) == "completed" }))
			require.Equal(t, 2, omitted)
			require.Len(t, sim.machinesDone, 3)
		})
	}
}

// A machine that stays missing is gone: the wave is completed without it.
func TestMachineThatStaysMissingIsGone(t *testing.T) {
	sim := startSimulation(t, 1, 3)
	sim.maxMachinesDown = 1
	sim.run(500 * time.Millisecond)
	wave := sim.waveOfAll(1, 20*time.Second)
	sim.omitMachine = func(id pool.MachineID) bool { return id == wave.Machines[1] }
	sim.requestWaves(wave)
	require.True(t, sim.runUntil(time.Minute, func() bool { return sim.waveState(1) == "completed" }))
	require.Len(t, sim.machinesDone, 2)
}

// Guards against a new owner that orders the upkeep of a machine before its worker has listed
// what it runs: serving tasks were ended beyond their disruption budget.
func TestNewOwnerKnowsWhatRunsBeforeItOrdersAnUpkeep(t *testing.T) {
	for _, listed := range []bool{true, false} {
		t.Run(fmt.Sprintf("listed %v", listed), func(t *testing.T) {
			sim := startSimulation(t, 1, 5)
			sim.maxMachinesDown = 2
			serve := step(4, 8, time.Second)
			serve.LongRunning, serve.DisruptionBudget, serve.MaxPerWorker = true, 1, 1
			sim.submit("serving", "aso", normalQueue(), serve)
			require.True(t, sim.runUntil(10*time.Second, func() bool { return sim.runningTasks() == 4 }))
			sim.run(time.Second)
			// The wave is late from the beginning.
			wave := sim.waveOfAll(1, 0)
			wave.MaxDown = 2
			sim.owner.stopped = true
			for id, f := range sim.workers {
				sim.unreachable[id], f.unlisted = true, !listed
			}
			sim.takeOver()
			sim.requestWaves(wave)
			sim.run(1500 * time.Millisecond)
			for _, f := range sim.workers {
				f.unlisted = false
			}
			clear(sim.unreachable)
			sim.owner.reload()
			require.True(t, sim.runUntil(2*time.Minute, func() bool { return sim.waveState(1) == "completed" }))
			require.True(t, sim.runUntil(10*time.Second, func() bool { return sim.runningTasks() == 4 }))
		})
	}
}

// Guards against an upkeep that hides that a worker has crashed: it was ordered while the worker
// was silent with a run on it, and the crash no longer counted.
func TestUpkeepWaitsWhileASilentWorkerMayHaveCrashed(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	sim.maxMachinesDown = 1
	id, f := sim.submitToOneWorker(step(1, 8, 20*time.Second))
	wave := pool.Wave{Number: 1, Machines: []pool.MachineID{machineOf(f)}, MaxDown: 1, Due: sim.now()}
	f.goDown(workerRestart{after: 3 * time.Second})
	sim.run(100 * time.Millisecond)
	sim.requestWaves(wave)
	require.True(t, sim.runUntil(15*time.Second, func() bool { return sim.waveState(1) == "completed" }))
	require.Equal(t, 1, sim.owner.owner.Report().Crashes.Workers)
	sim.waitFor(time.Minute, id, workflow.Completed)
}

// Guards against an owner that panics, or whose transactions the store refuses, when many upkeeps change
// at once while jobs have to be recorded.
func TestManyUpkeepsAreRecordedBesideJobs(t *testing.T) {
	// maxEntries is how many conditions and writes the store accepts in one transaction.
	const maxEntries = 32
	sim := startSimulation(t, 6, 8)
	sim.maxMachinesDown = 48
	sim.onWrite = func(txn store.Txn) { require.LessOrEqual(t, len(txn.If)+len(txn.Then), maxEntries) }
	sim.run(500 * time.Millisecond)
	const jobs = 200
	for i := range jobs {
		if i == jobs/2 {
			wave := sim.waveOfAll(1, 0)
			wave.MaxDown = 48
			sim.requestWaves(wave)
			sim.storeDown = true
			sim.after(200*time.Millisecond, func() { sim.storeDown = false })
		}
		sim.submit(fmt.Sprintf("job-%03d", i), "aso", normalQueue(), step(2, 1, 300*time.Millisecond))
		sim.run(5 * time.Millisecond)
	}
	require.True(t, sim.runUntil(time.Minute, func() bool { return sim.waveState(1) == "completed" }))
	for i := range jobs {
		sim.waitFor(time.Minute, model.JobID(fmt.Sprintf("job-%03d", i)), workflow.Completed)
	}
}
