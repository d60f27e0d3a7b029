package pool_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
)

const forever = 24 * time.Hour

// cutFrom loses every call of an owner to a worker.
func (sim *simulation) cutFrom(fence uint64, worker model.WorkerID) {
	earlier := sim.loseCall
	sim.loseCall = func(c pool.Call) (bool, time.Duration) {
		if c.Target.Worker == worker && (c.Renew != nil && c.Renew.Fence == fence || c.Start != nil && c.Start.Fence == fence || c.Stop != nil && c.Stop.Fence == fence) {
			return true, forever
		}
		if earlier != nil {
			return earlier(c)
		}
		return false, 0
	}
}

// Guards against a second run of a task whose worker was recorded as silent, answered again and was
// renewed before the record was changed: the next owner that can't reach it took its lease for over.
func TestWorkerThatAnsweredAgainKeepsItsTasksOverATakeover(t *testing.T) {
	for name, disturb := range map[string]func(sim *simulation){
		"store in order":             func(*simulation) {},
		"writes fail":                func(sim *simulation) { sim.storeDown = true },
		"responses lost":             func(sim *simulation) { sim.loseWrites = 3 },
		"responses lost, late":       func(sim *simulation) { sim.loseWrites, sim.lateWrites = 3, 700*time.Millisecond },
		"responses lost, very late":  func(sim *simulation) { sim.loseWrites, sim.lateWrites = 1, 3*time.Second },
		"connections reset":          func(sim *simulation) { sim.resetWrites = true },
		"not seen by the next owner": func(sim *simulation) { sim.seenSilence = pool.SilenceTimes{} },
	} {
		for _, silent := range []time.Duration{1200 * time.Millisecond, 3 * time.Second, 4 * time.Second} {
			for i := range 40 {
				// The earlier owner is killed or lives on without the store.
				wait, alive := time.Duration(i/2)*300*time.Millisecond, i%2 == 1
				t.Run(fmt.Sprintf("%s, silent %s, takeover %s later, alive %v", name, silent, wait, alive), func(t *testing.T) {
					sim := startSimulation(t, 1, 4)
					_, f := sim.submitToOneWorker(serving())
					sim.unreachable[f.info.ID] = true
					sim.run(silent)
					delete(sim.unreachable, f.info.ID)
					disturb(sim)
					sim.run(wait)
					// The next owner can't reach the worker; the earlier one could.
					sim.storeDown, sim.resetWrites, sim.loseWrites = false, false, 0
					if alive {
						sim.owner.cutOff, sim.owner.renewing = true, false
						sim.run(ownerLease)
					} else {
						sim.owner.stopped = true
					}
					next := sim.takeOver()
					sim.cutFrom(uint64(next.fence), f.info.ID)
					sim.run(20 * time.Second)
				})
			}
		}
	}
}

// Guards against a second run while the earlier owner, which was cut off from the store, still
// renews the worker within its grace: no other owner may take the silence that it sees for more.
func TestCutOffOwnerRenewsWithinItsGrace(t *testing.T) {
	for _, takeovers := range [][]time.Duration{{0}, {0, time.Second}, {0, time.Second, 3 * time.Second}, {0, 5 * time.Second}, {time.Second, 500 * time.Millisecond}} {
		t.Run(fmt.Sprint(takeovers), func(t *testing.T) {
			sim := startSimulation(t, 1, 4)
			_, f := sim.submitToOneWorker(serving())
			sim.owner.cutOff, sim.owner.renewing = true, false
			sim.run(ownerLease)
			for i, wait := range takeovers {
				sim.run(wait)
				if i > 0 {
					sim.owner.stopped = true
				}
				next := sim.takeOver()
				sim.cutFrom(uint64(next.fence), f.info.ID)
			}
			sim.run(30 * time.Second)
			require.Equal(t, 2, sim.audit.starts)
		})
	}
}

// Guards against a record that is believed although an owner that doesn't know it came in between,
// and renewed the worker.
func TestSilenceIsNotBelievedAfterAnUnawareOwner(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	_, f := sim.submitToOneWorker(serving())
	sim.unreachable[f.info.ID] = true
	sim.run(4 * time.Second)
	require.Len(t, sim.silenceRecord().Workers, 1)
	sim.unawareOwner = true
	sim.replaceOwner(0)
	sim.run(lostRunBound - 4*time.Second)
	require.Equal(t, 1, sim.audit.starts)
	sim.run(pool.DefaultTiming(workerLease, retention).TakeoverWait)
	require.Equal(t, 2, sim.audit.starts)
}

var (
	silentDays     = flag.Int("pool.silent.days", 150, "number of random days with silent workers, takeovers and store outages")
	firstSilentDay = flag.Int("pool.silent.day", 1, "seed of the first of these days")
)

// silentDay is what happens to workers, owners and the store on a random day.
type silentDay struct {
	cuts, departures, takeovers, outages []silentDayEvent
}

type silentDayEvent struct {
	at, length time.Duration
	worker     int
	// alive is true if the owner that is replaced lives on without the store.
	alive bool
}

var randomSilentDay = rapid.Custom(func(t *rapid.T) silentDay {
	tenths := func(from, to int) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, "tenths")) * 100 * time.Millisecond
	}
	events := func(most, workers int, from, to int) (list []silentDayEvent) {
		for range rapid.IntRange(0, most).Draw(t, "events") {
			list = append(list, silentDayEvent{at: tenths(20, 250), length: tenths(from, to), worker: rapid.IntRange(0, workers-1).Draw(t, "worker"), alive: rapid.Bool().Draw(t, "alive")})
		}
		return list
	}
	return silentDay{cuts: events(4, 2, 3, 90), departures: events(2, 2, 0, 0), takeovers: events(4, 1, 0, 40), outages: events(2, 1, 5, 50)}
})

// The days have 8 workers. 0 and 1 are cut off at times and have tasks of their own, since a start on a
// cut worker would hide that a task was given up in time; 2 and 3 leave, and there is room for all
// other tasks on the rest.
func playSilentDay(t *testing.T, seed int) {
	sim := newSimulation(t, uint64(seed), 2, 4)
	sim.audit.faults = true
	sim.loadDelay = time.Duration(seed%3) * 150 * time.Millisecond
	for _, id := range sim.ids[:2] {
		sim.workers[id].info.Service = "abacus"
	}
	sim.after(0, sim.tick)
	sim.takeOver()
	started := map[model.TaskID]time.Time{}
	sim.failAfter = func(run *fakeRun) (bool, time.Duration) {
		started[run.key.Task] = sim.now()
		return false, 0
	}
	for i := range 4 {
		task := serving()
		task.Tasks = 1
		sim.submit(fmt.Sprintf("s%d", i), "aso", normalQueue(), task)
		if i < 2 {
			queue := normalQueue()
			queue.Service = "abacus"
			task.PerTask.Accelerators = 4
			sim.submit(fmt.Sprintf("c%d", i), "aso", queue, task)
		}
	}
	day := randomSilentDay.Example(seed)
	// calmAt is the end of the latest takeover or outage. An owner that has not read its jobs at
	// takenOverAt yet has claimed no worker, so that its predecessor may renew on within its grace.
	calmAt, takenOverAt := sim.now(), sim.now()
	calm := func() { calmAt = sim.now() }
	for _, cut := range day.cuts {
		id := sim.ids[cut.worker]
		sim.after(cut.at, func() { sim.unreachable[id] = true })
		sim.after(cut.at+cut.length, func() { delete(sim.unreachable, id) })
	}
	for _, outage := range day.outages {
		sim.after(outage.at, func() { sim.storeDown = true })
		sim.after(outage.at+outage.length, func() {
			sim.storeDown = false
			calm()
		})
	}
	type lost struct {
		task model.TaskID
		gone time.Time
		// worker may have been renewed until lastRenewal.
		worker      model.WorkerID
		lastRenewal time.Time
		checked     bool
	}
	var losses []*lost
	for _, takeover := range day.takeovers {
		sim.after(takeover.at, func() {
			if takeover.alive {
				sim.owner.cutOff, sim.owner.renewing = true, false
			} else {
				sim.owner.stopped = true
			}
			var next func()
			next = func() {
				if sim.storeDown {
					sim.after(100*time.Millisecond, next)
					return
				}
				named := map[model.WorkerID]bool{}
				if record := sim.silenceRecord(); record != nil {
					for _, w := range record.Workers {
						named[w.Worker] = true
					}
				}
				sim.owner.cutOff, sim.owner.renewing = true, false
				sim.takeOver()
				takenOverAt = sim.now()
				calm()
				sim.after(sim.loadDelay, calm)
				for _, l := range losses {
					if !named[l.worker] {
						l.lastRenewal = sim.now().Add(pool.LeaseRenewalGrace)
					}
				}
			}
			sim.after(max(ownerLease, takeover.length), next)
		})
	}
	for _, departure := range day.departures {
		f := sim.workers[sim.ids[2+departure.worker]]
		sim.after(departure.at, func() {
			if f.left {
				return
			}
			lastRenewal := sim.now()
			if sim.owner.loading {
				lastRenewal = takenOverAt.Add(pool.LeaseRenewalGrace)
			}
			for _, run := range f.sortedRuns() {
				losses = append(losses, &lost{task: run.key.Task, gone: sim.now(), worker: f.info.ID, lastRenewal: lastRenewal})
			}
			f.leave()
			f.unlisted = true
			sim.reload()
		})
	}
	var check func()
	check = func() {
		for _, l := range losses {
			deadline := l.lastRenewal.Add(lostRunBound)
			if calmEnd := calmAt.Add(1500 * time.Millisecond); calmEnd.After(deadline) {
				deadline = calmEnd
			}
			if l.checked || sim.now().Before(deadline) || sim.owner.stopped || sim.owner.cutOff || sim.storeDown {
				continue
			}
			l.checked = true
			require.True(t, started[l.task].After(l.gone), "%s, whose worker left at %s, is not started again at %s", l.task, l.gone.Sub(begin), sim.now().Sub(begin))
		}
		sim.after(50*time.Millisecond, check)
	}
	sim.after(0, check)
	sim.run(60 * time.Second)
	for i := range 4 {
		require.Equal(t, 1, sim.servingTasks(model.JobID(fmt.Sprintf("s%d", i))))
	}
}

// On random days no task runs twice (the audit checks each start), and one whose worker has left
// starts again in time, however many owners there were.
func TestSilentWorkersOnRandomDays(t *testing.T) {
	for i := range *silentDays {
		seed := *firstSilentDay + i
		t.Run(fmt.Sprintf("day %d", seed), func(t *testing.T) { playSilentDay(t, seed) })
	}
}
