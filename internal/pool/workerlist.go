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
		w.leasesBarred = o.silences.workers.has(info.ID)
		o.workers.set(info.ID, w)
		return
	}
	// The list may be older than what the worker itself has reported.
	if w.Incarnation != 0 && info.Incarnation > w.Incarnation {
		o.handleRestart(w, info.Incarnation)
	}
	if info.Draining && !w.Draining {
		o.emit(event.WorkerDraining, event.Subject{Worker: string(info.ID)}, event.Fields{"leaves_ms": info.TimeUntilRemoval.Milliseconds(), "runs": w.members.len()})
	}
	w.info, w.Listed, w.Draining = info, true, info.Draining
	if info.Draining && w.LeavesAt.IsZero() {
		w.LeavesAt = o.now.Add(info.TimeUntilRemoval)
		o.moveOffDraining(w)
	}
	if !info.Draining {
		w.LeavesAt = time.Time{}
	}
}

// handleUnlisted handles a worker that is no longer in the list, which says nothing of its runs:
// entries also expire while the worker or the store is cut off, and other writers may make them
// unreadable.
func (o *Owner) handleUnlisted(w *worker) {
	if w.Listed {
		o.emit(event.WorkerUnlisted, event.Subject{Worker: string(w.info.ID)}, event.Fields{"runs": w.members.len(), "draining": w.Draining})
		// The worker's answer shows what it still runs.
		w.nextRenewal, w.claimWanted = o.now, true
	}
	w.Listed = false
	if o.mayForget(w) {
		o.removeWorker(w)
	}
}

// mayForget reports whether nothing is or may be on a worker that is not listed.
func (o *Owner) mayForget(w *worker) bool {
	return !w.Listed && w.members.len() == 0 && !w.renewalInFlight && !o.hasUnverifiedRuns(w.info.ID)
}

// handleRestart handles a worker that has restarted and lost its state. Orders that were in
// flight may have reached the new incarnation, so no run is given up until the worker has
// listed what it runs.
func (o *Owner) handleRestart(w *worker, incarnation int64) {
	o.emit(event.WorkerRestarted, event.Subject{Worker: string(w.info.ID)}, event.Fields{"born": incarnation, "before": w.Incarnation, "runs": w.members.len(), "acknowledged": w.acknowledged})
	o.workerCrashed(w, crashRestarted)
	w.upkeepOrdered, w.crashed = false, false
	w.Restarted(incarnation, o.leasesAfterRestart(w))
	w.claimed = false
	w.acknowledged, w.processed, w.pendingAcks = 0, 0, nil
	w.clockMS, w.clockReadAt = 0, time.Time{}
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

// leasesAfterRestart returns when every lease of a restarted worker has run out that orders to its
// earlier incarnation may have granted. These name no incarnation and expire by the earlier clock,
// so that one without a response may start its run whenever it arrives.
func (o *Owner) leasesAfterRestart(w *worker) time.Time {
	until := o.now.Add(o.timing.TakeoverWait)
	for _, m := range w.members.all() {
		if m.startTries > 1 || m.startTries == 1 && m.phase != memberRunning {
			if late := m.startSentAt.Add(o.timing.LateOrder + longestLease(o.timing.WorkerLease) + leaseMargin); late.After(until) {
				until = late
			}
		}
	}
	return until
}
