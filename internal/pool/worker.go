package pool

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
)

// worker is a worker as the owner knows it.
type worker struct {
	info WorkerInfo
	// listed is true while the worker has an entry in the list.
	listed bool
	// claimed is true once the worker has answered this owner's fence.
	claimed bool
	// wanted is true while the worker is to be claimed; claiming while a claim is under way.
	wanted   bool
	claiming bool
	born     int64
	// clockMS is the worker's clock when it answered at clockAt.
	clockMS int64
	clockAt time.Time
	// leaseUntil is when every lease given by this owner has lapsed for certain.
	leaseUntil time.Time

	// members are the runs that exist or may exist here.
	members table[RunKey, *member]
	// orphans are runs that no record explains; they are stopped.
	orphans table[RunKey, *orphan]
	// promised is room that claimed pieces wait for.
	promised model.Resources
	// used is the room of members.
	used model.Resources

	// seen is the last end that is recorded, taken the last one that was processed.
	seen  int64
	taken int64
	// ends are processed ends that are not yet recorded, in order.
	ends []pendingEnd

	// ordersDue is true while there may be starts or stops to send.
	ordersDue bool
	// shown are the runs here as plans see them; nil when they have changed since.
	shown   []*plan.Run
	holding bool
	// orders counts the starts and stops under way.
	orders   int
	nextHold time.Time
	answered time.Time
	failing  time.Time
	leavesAt time.Time
	// cordoned workers get nothing new, since their upkeep is near.
	cordoned bool
	// throttledAt is when the share of a filler was last changed here.
	throttledAt time.Time
	// slowUntil is until when the worker counts as slow.
	slowUntil time.Time
}

// pendingEnd is an end that may be forgotten once the job's change is recorded.
type pendingEnd struct {
	number int64
	job    *job
	change uint64
}

// orphan is a run that the worker lists and no record explains.
type orphan struct {
	key      RunKey
	demand   model.Resources
	known    bool
	stopSent time.Time
	inFlight bool
}

func newWorker(info WorkerInfo, now time.Time) *worker {
	return &worker{
		info:     info,
		listed:   true,
		born:     info.Born,
		members:  newTable[RunKey, *member](),
		orphans:  newTable[RunKey, *orphan](),
		nextHold: now,
	}
}

func (w *worker) target() Target { return Target{Worker: w.info.ID, Address: w.info.Address} }

// clockNow estimates the worker's clock; it may be ahead by clockDrift of the time
// since the last answer.
func (w *worker) clockNow(now time.Time) int64 {
	return w.clockMS + now.Sub(w.clockAt).Milliseconds()
}

// readClock takes in a reading of the worker's clock.
func (w *worker) readClock(clockMS int64, now time.Time) {
	if clockMS > 0 {
		w.clockMS, w.clockAt = clockMS, now
	}
}

// lapsesAt is when the worker's clock has passed a time for certain.
func (w *worker) lapsesAt(clockMS int64) time.Time {
	left := time.Duration(clockMS-w.clockMS) * time.Millisecond
	return w.clockAt.Add(time.Duration(float64(left) / (1 - clockDrift)))
}

// gaveLease notes a lease that an order asked for.
func (w *worker) gaveLease(expiresMS int64) {
	if until := w.lapsesAt(expiresMS); until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
}

// free is the room that nothing uses, not even what is being stopped.
func (w *worker) free() model.Resources {
	free := w.info.Capacity.Sub(w.used)
	for _, s := range w.orphans.all() {
		free = free.Sub(s.demand)
	}
	return free
}

// usable reports whether the worker may get new tasks.
func (w *worker) usable(policy *Policy) bool {
	if !w.listed || !w.claimed || w.info.Draining || policy.Out[w.info.Zone] || w.cordoned || !w.failing.IsZero() {
		return false
	}
	for _, s := range w.orphans.all() {
		if !s.known {
			return false
		}
	}
	return true
}

// admit books the room of a member.
func (w *worker) admit(m *member) {
	w.members.set(m.key(), m)
	w.used = w.used.Add(m.demand())
	w.ordersDue, w.shown = true, nil
}

// hasOrders reports whether starts or stops are to be sent or without an answer.
func (w *worker) hasOrders() bool {
	if w.orphans.len() > 0 {
		return true
	}
	for _, m := range w.members.all() {
		if m.stopping || m.startDue {
			return true
		}
	}
	return false
}

// release frees the room of a member.
func (w *worker) release(m *member) {
	if w.members.has(m.key()) {
		w.members.remove(m.key())
		w.used = w.used.Sub(m.demand())
		w.shown = nil
	}
}
