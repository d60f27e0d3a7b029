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

// Tasks of an advised queue start only on workers that the adviser allows, with a
// ticket that still holds.
func TestAdvisedStepsRunWhereTheyMay(t *testing.T) {
	w := start(t, 2, 8)
	w.good = func(_ string, worker model.WorkerID) bool { return strings.HasSuffix(string(worker), "-3") }
	queue := normal()
	queue.Advised = true
	id := w.submit("a", "aso", queue, step(40, 1, time.Second), gang(2, 8, time.Second))
	w.waitFor(30*time.Second, id, workflow.Completed)
	for worker, f := range w.workers {
		if !w.good("", worker) {
			require.Zero(t, f.number, "%s ran a task", worker)
		}
	}
}

// status is how the tests write the state of a wave.
func status(number int, completed bool) (string, []byte) {
	state := "running"
	if completed {
		state = "completed"
	}
	return "waves/" + string(rune('0'+number)), []byte(state)
}

func (w *world) waveState(number int) string {
	key, _ := status(number, false)
	for _, kv := range w.rangeAll(key) {
		return string(kv.Value)
	}
	return ""
}

// A wave takes each machine down once, at most so many at a time, moves long-running
// tasks within their budget first, and is completed when every machine is back.
func TestUpkeepWave(t *testing.T) {
	w := start(t, 1, 4)
	w.cap = 2
	serve := step(4, 1, time.Second)
	serve.LongRunning, serve.DisruptionBudget, serve.MaxPerWorker = true, 1, 2
	w.submit("serving", "aso", normal(), serve)
	batch := w.submit("batch", "aso", normal(), step(20, 1, 2*time.Second))
	w.run(1500 * time.Millisecond)
	var machines []pool.MachineID
	for _, id := range w.ids {
		machines = append(machines, machineOf(w.workers[id]))
	}
	w.owner.owner.SetUpkeep(upkeepTime, status)
	w.owner.owner.SetWaves([]pool.Wave{{Number: 1, Machines: machines, Cap: 2, Due: w.now().Add(time.Minute)}}, w.now())
	require.True(t, w.runUntil(10*time.Second, func() bool { return w.waveState(1) == "running" }))
	require.True(t, w.runUntil(time.Minute, func() bool { return w.waveState(1) == "completed" }))
	require.Len(t, w.upkept, 4)
	w.waitFor(30*time.Second, batch, workflow.Completed)
	require.True(t, w.runUntil(10*time.Second, func() bool { return w.runningTasks() == 4 }))
}

// A wave whose time runs short does not wait for tasks that save nothing.
func TestUpkeepWaveInAHurry(t *testing.T) {
	w := start(t, 1, 2)
	w.cap = 1
	id := w.submit("batch", "aso", normal(), step(4, 1, 30*time.Second))
	w.run(2 * time.Second)
	var machines []pool.MachineID
	for _, id := range w.ids {
		machines = append(machines, machineOf(w.workers[id]))
	}
	w.owner.owner.SetUpkeep(upkeepTime, status)
	w.owner.owner.SetWaves([]pool.Wave{{Number: 1, Machines: machines, Cap: 1, Due: w.now().Add(10 * time.Second)}}, w.now())
	require.True(t, w.runUntil(14*time.Second, func() bool { return w.waveState(1) == "completed" }))
	w.waitFor(time.Minute, id, workflow.Completed)
}

// A status that is written late, since its answer was lost, does not replace a later one.
func TestStatusOfAWaveNeverGoesBack(t *testing.T) {
	w := start(t, 1, 1)
	w.cap = 1
	w.run(time.Second)
	w.loseWrites, w.lateWrites = 1, 12*time.Second
	w.owner.owner.SetUpkeep(upkeepTime, status)
	machines := []pool.MachineID{machineOf(w.workers[w.ids[0]])}
	w.owner.owner.SetWaves([]pool.Wave{{Number: 1, Machines: machines, Cap: 1, Due: w.now().Add(20 * time.Second)}}, w.now())
	require.True(t, w.runUntil(10*time.Second, func() bool { return w.waveState(1) == "completed" }))
	w.run(15 * time.Second)
	require.Equal(t, "completed", w.waveState(1))
}

// A new owner finds the status of an earlier one and goes on from it.
func TestStatusOfAWaveAfterATakeOver(t *testing.T) {
	w := start(t, 1, 2)
	w.cap = 1
	var machines []pool.MachineID
	for _, id := range w.ids {
		machines = append(machines, machineOf(w.workers[id]))
	}
	wave := pool.Wave{Number: 1, Machines: machines, Cap: 1, Due: w.now().Add(time.Minute)}
	w.owner.owner.SetUpkeep(upkeepTime, status)
	w.owner.owner.SetWaves([]pool.Wave{wave}, w.now())
	require.True(t, w.runUntil(10*time.Second, func() bool { return w.waveState(1) == "running" }))
	w.owner.stopped = true
	w.takeOver()
	w.owner.owner.SetUpkeep(upkeepTime, status)
	w.owner.owner.SetWaves([]pool.Wave{wave}, w.now())
	require.True(t, w.runUntil(time.Minute, func() bool { return w.waveState(1) == "completed" }))
}

// Tasks that fill are slowed down until the tasks that serve beside them keep their
// target, and no further.
func TestFillersYieldToServingTasks(t *testing.T) {
	w := start(t, 1, 1)
	serve := step(1, 1, time.Second)
	serve.LongRunning, serve.LatencyTarget = true, 100*time.Millisecond
	w.submit("serving", "aso", urgent(), serve)
	fill := step(1, 1, time.Minute)
	fill.Filler = true
	w.submit("filling", "aso", normal(), fill)
	w.run(6 * time.Second)
	share, latency := 0, 0
	for _, run := range w.workers["w0-0"].sorted() {
		if run.spec.Filler {
			share = run.share
		} else {
			latency = w.workers["w0-0"].load(run)
		}
	}
	require.LessOrEqual(t, latency, 100)
	require.Positive(t, share)
}
