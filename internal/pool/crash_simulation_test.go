package pool_test

import (
	"flag"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
)

var logEvents = flag.Bool("pool.events", false, "print the events of the simulated owners")

// recorder returns a recorder that prints events if -pool.events is set.
func (sim *simulation) recorder() *event.Recorder {
	if !*logEvents {
		return sim.timeline
	}
	return event.NewRecorder("owner", sim.clock, logrus.StandardLogger(), 1)
}

// workerRestart is how crashed workers come back.
type workerRestart struct {
	// after is how long they are away.
	after time.Duration
	// newID gives them another ID at the same address, newAddress another address as well.
	newID, newAddress bool
}

// silentUntilUnlisted is how long a worker is listed after it has crashed.
const silentUntilUnlisted = 4500 * time.Millisecond

// The limits that users set on a task that crashes its workers: once maxCrashes workers have
// crashed under it, it must not be started maxStartsAfterCrashes times more.
const (
	maxCrashes            = 3
	maxStartsAfterCrashes = 3
)

// checkCrashes checks the limits for a start; long-running tasks have none.
func (a *audit) checkCrashes(run *fakeRun) {
	id := run.key.Task
	if run.spec.LongRunning || a.crashes[id] < maxCrashes {
		return
	}
	a.startsAfterCrashes[id]++
	require.Less(a.sim.t, a.startsAfterCrashes[id], maxStartsAfterCrashes, "%s was started again after it had crashed %d workers", id, a.crashes[id])
}

// crashLater crashes the worker if the run is one that does so.
func (f *fakeWorker) crashLater(run *fakeRun) {
	if f.sim.crashAfter == nil {
		return
	}
	crashes, after := f.sim.crashAfter(run)
	if !crashes {
		return
	}
	f.sim.after(after, func() {
		if f.runs[run.key] != run {
			return
		}
		f.sim.audit.crashes[run.key.Task]++
		f.sim.audit.lostRuns += len(f.runs) - 1
		f.goDown(f.sim.restart)
	})
}

// failLater makes the run fail if it is one that does so.
func (f *fakeWorker) failLater(run *fakeRun) {
	if f.sim.failAfter == nil {
		return
	}
	if fails, after := f.sim.failAfter(run); fails {
		f.sim.after(after, func() {
			if f.runs[run.key] == run {
				f.end(run, pool.EndFailed)
			}
		})
	}
}

// goDown crashes a worker; it comes back after some time.
func (f *fakeWorker) goDown(restart workerRestart) {
	sim := f.sim
	before := f.info
	f.crash()
	f.down = true
	sim.after(silentUntilUnlisted, func() {
		if f.down {
			f.unlisted = true
			sim.reload()
		}
	})
	sim.after(restart.after, func() {
		f.down, f.unlisted = false, false
		f.startedAt = sim.now()
		if restart.newID || restart.newAddress {
			sim.rename(f, before, restart)
		}
		sim.reload()
	})
}

// rename gives a worker that comes back another ID. The list names its former one until that
// has been silent for too long.
func (sim *simulation) rename(f *fakeWorker, before pool.WorkerInfo, restart workerRestart) {
	delete(sim.workers, before.ID)
	f.info.ID += "'"
	if restart.newAddress {
		f.info.Address += "'"
	}
	sim.workers[f.info.ID] = f
	for i, id := range sim.ids {
		if id == before.ID {
			sim.ids[i] = f.info.ID
		}
	}
	left := silentUntilUnlisted - restart.after
	if left <= 0 {
		return
	}
	sim.crashedWorkers = append(sim.crashedWorkers, before)
	sim.after(left, func() {
		for i, info := range sim.crashedWorkers {
			if info.ID == before.ID {
				sim.crashedWorkers = append(sim.crashedWorkers[:i:i], sim.crashedWorkers[i+1:]...)
				break
			}
		}
		sim.reload()
	})
}

// reload passes the list of workers to the present owner, if it works.
func (sim *simulation) reload() {
	if sim.owner == nil || sim.owner.stopped {
		return
	}
	if sim.owner.paused {
		sim.after(10*time.Millisecond, sim.reload)
		return
	}
	sim.owner.reload()
	sim.owner.advanceIn(0)
}

// replacementError is the error of a call to a worker that does not exist: another worker at
// its address says so.
func (sim *simulation) replacementError(address string) error {
	for _, id := range sim.ids {
		if f := sim.workers[id]; f.info.Address == address && !f.down {
			return pool.ErrIncarnation
		}
	}
	return pool.ErrUnreachable
}

// incarnationOf returns the incarnation of a worker; 0 if none of this ID is up.
func (sim *simulation) incarnationOf(id model.WorkerID) int64 {
	if f := sim.workers[id]; f != nil && !f.down {
		return f.incarnation
	}
	return 0
}
