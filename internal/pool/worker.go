package pool

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool/evidence"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
)

// worker is the owner's state of a worker.
type worker struct {
	// Worker is what is known of the worker, and decides which of its runs have ended.
	evidence.Worker
	info WorkerInfo
	// claimed is true once the worker has responded to a lease renewal of this owner.
	claimed bool
	// claimWanted is true once the worker is to be claimed, claimInFlight while a claim is
	// in flight. claimSentAt is when the latest one was sent.
	claimWanted   bool
	claimInFlight bool
	claimSentAt   time.Time
	// clockMS is the reading of the worker's clock received at clockReadAt.
	clockMS     int64
	clockReadAt time.Time

	// members are the runs that exist or may exist on the worker.
	members orderedMap[RunKey, *member]
	// orphans are runs that the owner does not know; they are stopped.
	orphans orderedMap[RunKey, *orphan]
	// assigned is the resources of assigned task groups that have not started.
	assigned model.Resources
	// used is the resources of members.
	used model.Resources

	// acknowledged is the number of the last ended run that is recorded, processed that of
	// the last one processed.
	acknowledged int64
	processed    int64
	// pendingAcks are the processed ended runs that are not yet acknowledged, in order.
	pendingAcks []pendingAck

	// ordersDue is true while there may be start or stop orders to send.
	ordersDue bool
	// cachedPlanRuns is the planner's view of the runs; nil if it has to be computed.
	cachedPlanRuns  []*plan.Run
	renewalInFlight bool
	// ordersInFlight counts the start and stop orders in flight.
	ordersInFlight int
	nextRenewal    time.Time
	// refusals counts the starts in a row that the worker has refused; it gets no further ones
	// before startsAfter.
	refusals    int
	startsAfter time.Time
	// cordoned workers get no new tasks, since their machine is about to go into upkeep.
	cordoned bool
	// upkeepOrdered is true once the upkeep of the worker's machine was ordered, which ends
	// the worker.
	upkeepOrdered bool
	// leasesBarred is true while the record of the silent workers names the worker, or may.
	leasesBarred bool
	// crashed is true once this incarnation of the worker is known to have crashed.
	crashed bool
	// lostRuns are the runs that were given up when the worker's lease had expired, until the
	// worker answers again or is known to have crashed.
	lostRuns []lostRun
	// throttledAt is when the share of a filler was last changed.
	throttledAt time.Time
	// slowUntil is the time until which the worker counts as slow.
	slowUntil time.Time
}

// The pause after a refused start, which doubles with each further one.
const (
	minRefusalPause = 100 * time.Millisecond
	maxRefusalPause = 2 * time.Second
)

// backOff pauses the starts on a worker that has refused one.
func (w *worker) backOff(now time.Time) {
	pause := maxRefusalPause
	if w.refusals < 8 {
		pause = min(minRefusalPause<<w.refusals, maxRefusalPause)
	}
	w.refusals++
	w.startsAfter = now.Add(pause)
}

// pendingAck is an ended run to acknowledge once the job's version is recorded.
type pendingAck struct {
	number  int64
	job     *job
	version uint64
}

// orphan is a run that the worker lists but the owner does not know.
type orphan struct {
	key          RunKey
	demand       model.Resources
	demandKnown  bool
	stopSentAt   time.Time
	stopInFlight bool
}

func newWorker(info WorkerInfo, now time.Time) *worker {
	return &worker{
		Worker:      evidence.Worker{Incarnation: info.Incarnation, Listed: true, Draining: info.Draining},
		info:        info,
		members:     newOrderedMap[RunKey, *member](),
		orphans:     newOrderedMap[RunKey, *orphan](),
		nextRenewal: now,
	}
}

func (w *worker) target() Target {
	return Target{Worker: w.info.ID, Address: w.info.Address, Incarnation: w.Incarnation}
}

// clockNow estimates the worker's clock; the estimate may be ahead by maxClockDrift of the
// time since the last reading.
func (w *worker) clockNow(now time.Time) int64 {
	return w.clockMS + now.Sub(w.clockReadAt).Milliseconds()
}

// readClock stores a reading of the worker's clock.
func (w *worker) readClock(clockMS int64, now time.Time) {
	if clockMS > 0 {
		w.clockMS, w.clockReadAt = clockMS, now
	}
}

// readClockFrom stores the reading of the worker's clock in the response to an order, unless the
// worker has restarted since: each incarnation has a clock of its own.
func (w *worker) readClockFrom(call Call, clockMS int64, now time.Time) {
	if call.incarnation == w.Incarnation {
		w.readClock(clockMS, now)
	}
}

// expiresAt is the time by which the worker's clock has certainly passed clockMS.
func (w *worker) expiresAt(clockMS int64) time.Time {
	remaining := time.Duration(clockMS-w.clockMS) * time.Millisecond
	return w.clockReadAt.Add(time.Duration(float64(remaining) / (1 - maxClockDrift)))
}

// extendLease takes in the lease that an order requests.
func (w *worker) extendLease(expiresMS int64) { w.MayHaveLeaseUntil(w.expiresAt(expiresMS)) }

// free is the resources not in use; runs that are being stopped still use theirs.
func (w *worker) free() model.Resources {
	free := w.info.Capacity.Sub(w.used)
	for _, orphan := range w.orphans.all() {
		free = free.Sub(orphan.demand)
	}
	return free
}

// usable reports whether the worker may get new tasks.
func (w *worker) usable(policy *Policy) bool {
	if !w.Listed || !w.claimed || w.Draining || policy.ZonesOutOfService[w.info.Zone] || w.cordoned || w.leasesBarred || !w.SilentSince.IsZero() {
		return false
	}
	for _, orphan := range w.orphans.all() {
		if !orphan.demandKnown {
			return false
		}
	}
	return true
}

// admit adds a member and its resources to the worker.
func (w *worker) admit(m *member) {
	w.members.set(m.key(), m)
	w.used = w.used.Add(m.demand())
	w.ordersDue, w.cachedPlanRuns = true, nil
}

// hasOrders reports whether there are start or stop orders that are to be sent or have
// no response yet.
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

// release removes a member and frees its resources.
func (w *worker) release(m *member) {
	if w.members.has(m.key()) {
		w.members.remove(m.key())
		w.used = w.used.Sub(m.demand())
		w.cachedPlanRuns = nil
	}
}
