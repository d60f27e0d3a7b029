package pool_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	_ "github.com/chervilrun/chervilrun/internal/rapidseed" // fixes the seed
	"github.com/chervilrun/chervilrun/internal/workflow"
)

var (
	dayCount = flag.Int("pool.days", 3, "number of random days that are played with a takeover at each moment")
	firstDay = flag.Int("pool.day", 1, "seed of the first of these days")
	dayStep  = flag.Duration("pool.day.step", 4*time.Second, "time between two moments at which the owner is replaced")
)

const dayLength = 24 * time.Second

// The kinds of a day's jobs, as prefixes of their IDs; the kind decides how the job has to end.
const (
	innocentJob = "innocent"
	failingJob  = "failing"
	deadlyJob   = "deadly"
	lastingJob  = "lasting"
)

// dayEvent is something that happens at a time of a day. One of its fields is set.
type dayEvent struct {
	at time.Duration
	// job is the kind of a job that is handed in, with step.
	job  string
	step workflow.Step
	// worker is the number of a worker that something happens to, for length.
	worker int
	what   string
	length time.Duration
	// wave is the cap of an upkeep wave of all machines.
	wave int
}

// The things that happen to a worker.
const (
	crashes  = "crashes"
	isCut    = "is cut off"
	lapses   = "is unlisted and back"
	refuses  = "refuses starts"
	leaves   = "drains and leaves"
	drainsOn = "drains, is unlisted and back"
)

// randomDay draws the events of a day.
var randomDay = rapid.Custom(func(t *rapid.T) []dayEvent {
	// SampledFrom draws all values equally often; ranges prefer small numbers.
	between := func(from, to time.Duration) time.Duration {
		var grid []time.Duration
		for d := from; d <= to; d += 50 * time.Millisecond {
			grid = append(grid, d)
		}
		return rapid.SampledFrom(grid).Draw(t, "duration")
	}
	at := func() time.Duration { return between(0, dayLength) }
	seconds := func(from, to int) time.Duration {
		return between(time.Duration(from)*time.Second, time.Duration(to)*time.Second)
	}
	var events []dayEvent
	for range rapid.IntRange(6, 14).Draw(t, "jobs") {
		s := step(rapid.IntRange(1, 4).Draw(t, "tasks"), rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "accelerators"), seconds(1, 9))
		s.Gang = rapid.Bool().Draw(t, "gang")
		s.Checkpoints = rapid.Bool().Draw(t, "checkpoints")
		events = append(events, dayEvent{at: at(), job: innocentJob, step: s})
	}
	if rapid.Bool().Draw(t, "fails") {
		events = append(events, dayEvent{at: at(), job: failingJob, step: step(2, 1, time.Second)})
	}
	if rapid.Bool().Draw(t, "deadly") {
		events = append(events, dayEvent{at: at(), job: deadlyJob, step: step(1, 1, 4*time.Second)})
	}
	if rapid.Bool().Draw(t, "lasts") {
		s := step(3, 1, time.Second)
		s.LongRunning, s.DisruptionBudget, s.MaxPerWorker = true, 1, 1
		events = append(events, dayEvent{at: at() / 4, job: lastingJob, step: s})
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		what := rapid.SampledFrom([]string{crashes, isCut, lapses, refuses, leaves, drainsOn}).Draw(t, "what")
		events = append(events, dayEvent{at: at(), worker: rapid.IntRange(0, 9).Draw(t, "worker"), what: what, length: seconds(1, 9)})
	}
	if rapid.Bool().Draw(t, "upkeep") {
		events = append(events, dayEvent{at: at() / 2, wave: rapid.IntRange(1, 3).Draw(t, "cap")})
	}
	return events
})

// play lets the events of a day happen.
func (sim *simulation) play(events []dayEvent) *[]model.JobID {
	var ids []model.JobID
	for number, e := range events {
		sim.after(e.at, func() {
			switch {
			case e.job != "":
				spec := workflow.Spec{Payload: "payload", Steps: []workflow.Step{e.step}}
				ids = append(ids, sim.submitSpec(fmt.Sprintf("%s%03d", e.job, number), "aso", normalQueue(), spec))
			case e.wave > 0:
				sim.maxMachinesDown = e.wave
				wave := sim.waveOfAll(1, 30*time.Second)
				wave.MaxDown = e.wave
				sim.waves = []pool.Wave{wave}
				sim.updateOwner()
			default:
				sim.happenTo(sim.workers[sim.ids[e.worker%len(sim.ids)]], e.what, e.length)
			}
		})
	}
	return &ids
}

// updateOwner passes waves and workers to the present owner, once it works.
func (sim *simulation) updateOwner() {
	if sim.owner.paused {
		sim.after(10*time.Millisecond, sim.updateOwner)
		return
	}
	if !sim.owner.stopped {
		sim.requestWaves(sim.waves...)
		sim.owner.advanceIn(0)
	}
	sim.reload()
}

// happenTo lets something happen to a worker, for a while.
func (sim *simulation) happenTo(f *fakeWorker, what string, length time.Duration) {
	if f.down || f.left {
		return
	}
	id := f.info.ID
	back := func() {
		delete(sim.unreachable, id)
		f.refuses = false
		if !f.down && !f.left {
			f.unlisted = false
		}
		sim.reload()
	}
	switch what {
	case crashes:
		f.goDown(workerRestart{after: length})
	case isCut:
		sim.unreachable[id] = true
		sim.after(length, back)
	case lapses:
		f.unlisted = true
		sim.reload()
		sim.after(length, back)
	case refuses:
		f.refuses = true
		sim.after(length, back)
	case leaves:
		f.info.Draining, f.info.TimeUntilRemoval = true, length
		sim.reload()
		sim.after(length, func() {
			if !f.down {
				f.leave()
				f.unlisted = true
				sim.reload()
			}
		})
	case drainsOn:
		f.info.Draining, f.info.TimeUntilRemoval = true, time.Minute
		sim.reload()
		sim.after(entryLifetime, func() {
			f.unlisted = true
			sim.reload()
			sim.after(length, back)
		})
	}
}

// takeovers are the ways in which the owner is replaced.
var takeovers = map[string]func(sim *simulation){
	"planned": func(sim *simulation) {
		sim.owner.stopped = true
		sim.takeOver()
	},
	"killed": func(sim *simulation) {
		sim.owner.stopped = true
		sim.after(ownerLease, func() { sim.takeOver() })
	},
	"paused and back too late": func(sim *simulation) {
		sim.owner.pause(ownerLease + 2*time.Second)
		sim.after(ownerLease, func() { sim.takeOver() })
	},
	"twice in a row": func(sim *simulation) {
		sim.owner.stopped = true
		sim.takeOver()
		sim.after(700*time.Millisecond, func() {
			sim.owner.stopped = true
			sim.after(ownerLease, func() { sim.takeOver() })
		})
	},
}

// playDay plays a day, with a takeover at a moment, and checks how it ends. The audit checks each
// start, each acknowledged end and each order for a machine on the way.
func playDay(t *testing.T, seed int, moment time.Duration, takeOver func(sim *simulation)) {
	sim := newSimulation(t, uint64(seed), 2, 5)
	sim.audit.faults = true
	sim.crashAfter = func(run *fakeRun) (bool, time.Duration) { return isDeadly(run), 10 * time.Millisecond }
	sim.failAfter = func(run *fakeRun) (bool, time.Duration) {
		return strings.HasPrefix(string(run.task.Job), failingJob), 400 * time.Millisecond
	}
	sim.restart = restarts["same id"]
	sim.after(0, sim.tick)
	sim.takeOver()
	ids := sim.play(randomDay.Example(seed))
	if takeOver != nil {
		sim.after(moment, func() { takeOver(sim) })
	}
	sim.run(dayLength + 10*time.Second)
	for _, id := range *ids {
		kind := strings.TrimRight(string(id), "0123456789")
		switch kind {
		case lastingJob:
			require.True(t, sim.runUntil(30*time.Second, func() bool { return sim.servingTasks(id) == 3 }), "%s has %d of 3 tasks at work", id, sim.servingTasks(id))
			require.Equal(t, workflow.Running, sim.state(id))
		case innocentJob:
			sim.waitFor(3*time.Minute, id, workflow.Completed)
		default:
			sim.waitFor(3*time.Minute, id, workflow.Failed)
		}
	}
	if len(sim.waves) > 0 {
		require.True(t, sim.runUntil(3*time.Minute, func() bool { return sim.waveState(1) == "completed" }), "the wave is not completed")
		for _, id := range sim.waves[0].Machines {
			done := sim.machinesDone[upkeepKey{1, id}] || sim.hasLeft(id)
			require.True(t, done, "the wave is completed, and %s has had no upkeep", id)
		}
	}
}

// servingTasks counts the tasks of a job that run.
func (sim *simulation) servingTasks(id model.JobID) int {
	count := 0
	for _, f := range sim.workers {
		for _, run := range f.runs {
			if run.task.Job == id {
				count++
			}
		}
	}
	return count
}

// hasLeft reports whether the worker of a machine has left for good.
func (sim *simulation) hasLeft(id pool.MachineID) bool {
	for _, f := range sim.workers {
		if machineOf(f) == id {
			return f.left
		}
	}
	return true
}

// A day ends as it does without a takeover, whenever and however the owner is replaced: what is
// done, given up and at work at the end is the same, and no promise is broken on the way.
func TestTakeoverAtAnyMomentChangesNoOutcome(t *testing.T) {
	for i := range *dayCount {
		seed := *firstDay + i
		t.Run(fmt.Sprintf("day %d", seed), func(t *testing.T) {
			t.Parallel()
			playDay(t, seed, 0, nil)
			for name, takeOver := range takeovers {
				for moment := time.Second; moment < dayLength; moment += *dayStep {
					t.Run(fmt.Sprintf("%s at %s", name, moment), func(t *testing.T) { playDay(t, seed, moment, takeOver) })
				}
			}
		})
	}
}

// Days that once failed: 1031 (an upkeep hid that a worker had crashed), 1054 (a failure that
// nobody could read was counted).
func TestTakeoverOnDaysThatOnceFailed(t *testing.T) {
	for _, seed := range []int{1031, 1054} {
		playDay(t, seed, time.Second, takeovers["killed"])
		playDay(t, seed, time.Second, takeovers["paused and back too late"])
	}
}
