package pool_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Tasks of an advised queue start only on workers that the adviser allows, with a ticket
// that is still valid.
func TestAdvisedStepsRunWhereTheyMay(t *testing.T) {
	sim := startSimulation(t, 2, 8)
	sim.adviser.allows = func(_ string, worker model.WorkerID) bool { return strings.HasSuffix(string(worker), "-3") }
	queue := normalQueue()
	queue.Advised = true
	id := sim.submit("a", "aso", queue, step(40, 1, time.Second), gang(2, 8, time.Second))
	sim.waitFor(30*time.Second, id, workflow.Completed)
	for worker, f := range sim.workers {
		if !sim.adviser.allows("", worker) {
			require.Zero(t, f.endCount, "%s ran a task", worker)
		}
	}
}

// waveStatus encodes the status of a wave for the tests.
func waveStatus(number int, completed bool) (string, []byte) {
	state := "running"
	if completed {
		state = "completed"
	}
	return "waves/" + string(rune('0'+number)), []byte(state)
}

func (sim *simulation) waveState(number int) string {
	key, _ := waveStatus(number, false)
	for _, kv := range sim.rangeAll(key) {
		return string(kv.Value)
	}
	return ""
}

// A wave takes each machine down once, at most MaxDown at a time, first moves long-running
// tasks within their disruption budget, and is completed when every machine is back.
func TestUpkeepWave(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.maxMachinesDown = 2
	serve := step(4, 1, time.Second)
	serve.LongRunning, serve.DisruptionBudget, serve.MaxPerWorker = true, 1, 2
	sim.submit("serving", "aso", normalQueue(), serve)
	batch := sim.submit("batch", "aso", normalQueue(), step(20, 1, 2*time.Second))
	sim.run(1500 * time.Millisecond)
	var machines []pool.MachineID
	for _, id := range sim.ids {
		machines = append(machines, machineOf(sim.workers[id]))
	}
	sim.owner.owner.SetUpkeep(upkeepDuration, waveStatus)
	sim.owner.owner.SetWaves([]pool.Wave{{Number: 1, Machines: machines, MaxDown: 2, Due: sim.now().Add(time.Minute)}}, sim.now())
	require.True(t, sim.runUntil(10*time.Second, func() bool { return sim.waveState(1) == "running" }))
	require.True(t, sim.runUntil(time.Minute, func() bool { return sim.waveState(1) == "completed" }))
	require.Len(t, sim.machinesDone, 4)
	sim.waitFor(30*time.Second, batch, workflow.Completed)
	require.True(t, sim.runUntil(10*time.Second, func() bool { return sim.runningTasks() == 4 }))
}

// A wave that is behind schedule does not wait for tasks without checkpoints.
func TestUpkeepWaveBehindSchedule(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	sim.maxMachinesDown = 1
	id := sim.submit("batch", "aso", normalQueue(), step(4, 1, 30*time.Second))
	sim.run(2 * time.Second)
	var machines []pool.MachineID
	for _, id := range sim.ids {
		machines = append(machines, machineOf(sim.workers[id]))
	}
	sim.owner.owner.SetUpkeep(upkeepDuration, waveStatus)
	sim.owner.owner.SetWaves([]pool.Wave{{Number: 1, Machines: machines, MaxDown: 1, Due: sim.now().Add(10 * time.Second)}}, sim.now())
	require.True(t, sim.runUntil(14*time.Second, func() bool { return sim.waveState(1) == "completed" }))
	sim.waitFor(time.Minute, id, workflow.Completed)
}

// A status whose write was delayed, with its response lost, does not replace a later one.
func TestStatusOfAWaveNeverGoesBack(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	sim.maxMachinesDown = 1
	sim.run(time.Second)
	sim.loseWrites, sim.lateWrites = 1, 12*time.Second
	sim.owner.owner.SetUpkeep(upkeepDuration, waveStatus)
	machines := []pool.MachineID{machineOf(sim.workers[sim.ids[0]])}
	sim.owner.owner.SetWaves([]pool.Wave{{Number: 1, Machines: machines, MaxDown: 1, Due: sim.now().Add(20 * time.Second)}}, sim.now())
	require.True(t, sim.runUntil(10*time.Second, func() bool { return sim.waveState(1) == "completed" }))
	sim.run(15 * time.Second)
	require.Equal(t, "completed", sim.waveState(1))
}

// A new owner replaces the wave status that an earlier owner has written.
func TestStatusOfAWaveAfterATakeOver(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	sim.maxMachinesDown = 1
	var machines []pool.MachineID
	for _, id := range sim.ids {
		machines = append(machines, machineOf(sim.workers[id]))
	}
	wave := pool.Wave{Number: 1, Machines: machines, MaxDown: 1, Due: sim.now().Add(time.Minute)}
	sim.owner.owner.SetUpkeep(upkeepDuration, waveStatus)
	sim.owner.owner.SetWaves([]pool.Wave{wave}, sim.now())
	require.True(t, sim.runUntil(10*time.Second, func() bool { return sim.waveState(1) == "running" }))
	sim.owner.stopped = true
	sim.takeOver()
	sim.owner.owner.SetUpkeep(upkeepDuration, waveStatus)
	sim.owner.owner.SetWaves([]pool.Wave{wave}, sim.now())
	require.True(t, sim.runUntil(time.Minute, func() bool { return sim.waveState(1) == "completed" }))
}

// Fillers are slowed down until the serving tasks on the same worker meet their latency
// target, but not stopped.
func TestFillersYieldToServingTasks(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	serve := step(1, 1, time.Second)
	serve.LongRunning, serve.LatencyTarget = true, 100*time.Millisecond
	sim.submit("serving", "aso", urgentQueue(), serve)
	fill := step(1, 1, time.Minute)
	fill.Filler = true
	sim.submit("filling", "aso", normalQueue(), fill)
	sim.run(6 * time.Second)
	share, latency := 0, 0
	for _, run := range sim.workers["w0-0"].sortedRuns() {
		if run.spec.Filler {
			share = run.share
		} else {
			latency = sim.workers["w0-0"].load(run)
		}
	}
	require.LessOrEqual(t, latency, 100)
	require.Positive(t, share)
}
