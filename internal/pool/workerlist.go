package pool

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
)

// SetWorkers replaces the list of workers.
func (o *Owner) SetWorkers(list []WorkerInfo, now time.Time) {
	o.now = now
	o.planNeeded = true
	present := make(map[model.WorkerID]bool, len(list))
	lost := o.lostWorkers()
	for _, info := range list {
		present[info.ID] = true
		o.updateWorker(info, lost)
	}
	for id, w := range o.workers.all() {
		if !present[id] {
			o.handleUnlisted(w)
		}
	}
}

func (o *Owner) updateWorker(info WorkerInfo, lost map[string]*worker) {
	w, known := o.workers.get(info.ID)
	if !known {
		o.handleNewWorker(info, lost)
		w = newWorker(info, o.now)
		w.upkeepOrdered = o.isUpkeepOrdered(info.ID)
		o.workers.set(info.ID, w)
		return
	}
	// The list may be older than what the worker itself has reported.
	if w.incarnation != 0 && info.Incarnation > w.incarnation {
		o.handleRestart(w, info.Incarnation)
	}
	if info.Draining && !w.info.Draining {
		o.emit(event.WorkerDraining, event.Subject{Worker: string(info.ID)}, event.Fields{"leaves_ms": info.TimeUntilRemoval.Milliseconds(), "runs": w.members.len()})
	}
	w.info, w.listed = info, true
	if info.Draining && w.leavesAt.IsZero() {
		w.leavesAt = o.now.Add(info.TimeUntilRemoval)
		o.moveOffDraining(w)
	}
	if !info.Draining {
		w.leavesAt = time.Time{}
	}
}

// handleUnlisted handles a worker that is no longer in the list, which says nothing of its runs:
// entries also expire while the worker or the store is cut off, and other writers may make them
// unreadable.
func (o *Owner) handleUnlisted(w *worker) {
	if w.listed {
		o.emit(event.WorkerUnlisted, event.Subject{Worker: string(w.info.ID)}, event.Fields{"runs": w.members.len(), "draining": w.info.Draining})
		// The worker's answer shows what it still runs.
		w.nextRenewal, w.claimWanted = o.now, true
	}
	w.listed = false
	if o.mayForget(w) {
		o.removeWorker(w)
	}
}

// mayForget reports whether nothing is or may be on a worker that is not listed.
func (o *Owner) mayForget(w *worker) bool {
	return !w.listed && w.members.len() == 0 && !w.renewalInFlight && !o.hasUnverifiedRuns(w.info.ID)
}

// handleRestart handles a worker that has restarted and lost its state. Orders that were in
// flight may have reached the new incarnation, so no run is given up until the worker has
// listed what it runs.
func (o *Owner) handleRestart(w *worker, incarnation int64) {
	o.emit(event.WorkerRestarted, event.Subject{Worker: string(w.info.ID)}, event.Fields{"born": incarnation, "before": w.incarnation, "runs": w.members.len()})
	o.workerCrashed(w, crashRestarted)
	w.upkeepOrdered, w.crashed = false, false
	w.incarnation = incarnation
	w.claimed = false
	w.acknowledged, w.processed, w.pendingAcks = 0, 0, nil
	w.clockMS, w.clockReadAt = 0, time.Time{}
	w.leaseUntil = o.now.Add(o.timing.TakeoverWait)
	w.nextRenewal = o.now
	w.orphans.clear()
	w.ordersDue = true
	for _, m := range w.members.all() {
		m.stopConfirmedAt = time.Time{}
		if m.startTries > 0 {
			// Another try would start the run on the new incarnation and crash that as well
			// if the task is at fault.
			m.startDue = false
		}
		if m.startTries > 1 {
			// An earlier start order may still be in flight, even if the run was confirmed.
			m.phase = memberStarting
		}
		m.expiresMS = neverExpires
	}
}

// dropRuns gives up all runs on a worker on which nothing runs any more.
func (o *Owner) dropRuns(id model.WorkerID, reason string) {
	if w, ok := o.workers.get(id); ok {
		w.orphans.clear()
		for _, m := range w.members.all() {
			o.memberEnded(m, EndLeaseExpired, "", reason)
		}
	}
	for _, g := range o.stillRecovering() {
		for _, m := range g.members {
			if m.phase == memberUnverified && m.workerID == id {
				o.markGone(m)
			}
		}
		o.resolveRecovery(g)
	}
}
