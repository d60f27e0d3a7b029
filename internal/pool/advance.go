package pool

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool/evidence"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Call is one call to a worker, the adviser or the machine API. Exactly one of Start,
// Stop, Renew, Pace, Advise, Machines and Upkeep is set.
type Call struct {
	Target Target
	Start  *StartOrder
	Stop   *StopOrder
	Renew  *RenewalOrder
	Pace   *PaceOrder
	Advise *AdviseOrder
	// Machines requests the list of machines.
	Machines bool
	Upkeep   *UpkeepOrder
	Sent     time.Time
	Timeout  time.Duration

	member *member
	orphan *orphan
	worker *worker
	// incarnation is that of the worker, as it was known when the call was made.
	incarnation   int64
	step          *step
	queue         *workflow.Queue
	machineUpkeep *machineUpkeep
}

// Effects are the calls to execute after an Advance.
type Effects struct {
	Calls []Call
	Store *StoreCall
	// Next is when to call Advance again if nothing happens before.
	Next time.Time
}

// idleInterval is the time to the next call of Advance when nothing is due.
const idleInterval = time.Second

// Advance processes everything that is due and returns the calls to execute.
func (o *Owner) Advance(now time.Time, gate Gate) Effects {
	o.now = now
	o.nextDue = now.Add(idleInterval)
	o.advanceJobs()
	o.endProvenRuns()
	o.expireUnverified()
	if !gate.Loading {
		// Workers whose runs are not known yet would count as workers without runs.
		o.updateSilences()
	}
	if gate.MayStart {
		o.advanceUpkeep()
		o.plan()
		o.askAdviser()
	}
	o.startAssigned(gate)
	if gate.MayRenewLeases {
		o.sendOrders()
		o.sendRenewals()
	}
	effects := Effects{Calls: o.pendingCalls}
	o.pendingCalls = nil
	if gate.MayRecord {
		effects.Store = o.nextStoreCall()
	}
	effects.Next = o.nextDue
	return effects
}

func (o *Owner) advanceJobs() {
	for _, j := range o.active.all() {
		switch {
		case j.isTerminal():
			o.retire(j)
		case j.nextOccurrence < j.occurrenceCount():
			o.openDueOccurrences(j)
		}
	}
}

// endProvenRuns ends the runs on workers on which everything has certainly ended, and forgets
// workers that are gone.
func (o *Owner) endProvenRuns() {
	for _, w := range o.workers.all() {
		if w.members.len() > 0 {
			o.endRunsOf(w)
		} else if o.mayForget(w) {
			o.removeWorker(w)
		}
	}
}

// endRunsOf ends the runs on a worker if it is proven that all of them have ended.
func (o *Owner) endRunsOf(w *worker) {
	proof := w.AllEnded(o.now)
	switch proof {
	case evidence.None:
		if until, known := w.LeaseUntil(); known && !w.SilentSince.IsZero() {
			o.wakeAt(until.Add(time.Millisecond))
		}
		return
	case evidence.LeaseExpired:
		o.emit(event.WorkerLost, event.Subject{Worker: string(w.info.ID)}, event.Fields{
			"runs": w.members.len(), "silent_ms": o.now.Sub(w.AnsweredAt).Milliseconds(), "listed": w.Listed,
		})
		w.claimed = false
		for _, m := range w.members.all() {
			w.lostRuns = append(w.lostRuns, o.lostRunOf(w, m))
		}
	default:
		if proof == evidence.Replaced {
			o.workerCrashed(w, crashReplaced)
		}
		w.orphans.clear()
		defer o.endRecordedRuns(w.info.ID, proof)
	}
	for _, m := range w.members.all() {
		o.memberEnded(m, EndLeaseExpired, "", proof)
	}
}

// endRecordedRuns ends the runs of earlier owners on a worker that has not listed them.
func (o *Owner) endRecordedRuns(id model.WorkerID, proof evidence.Proof) {
	for _, g := range o.stillRecovering() {
		for _, m := range g.members {
			if m.phase == memberUnverified && m.workerID == id {
				o.recordedRunEnded(m, proof)
			}
		}
		o.resolveRecovery(g)
	}
}

// recordedRunEnded handles the proven end of the run of an earlier owner on a worker that has not
// listed it.
func (o *Owner) recordedRunEnded(m *member, proof evidence.Proof) {
	o.emitEnd(m, EndLeaseExpired, "", proof)
	o.markGone(m)
}

// expireUnverified gives up recorded runs on workers that can't be reached, once every
// lease that earlier owners may have granted has expired.
func (o *Owner) expireUnverified() {
	for _, g := range o.stillRecovering() {
		expired := false
		for _, m := range g.members {
			if m.phase != memberUnverified {
				continue
			}
			leases := o.unreached(m)
			if proof := leases.AllEnded(o.now); proof != evidence.None {
				o.unverifiedUnreachable(m, proof)
				expired = true
			} else {
				o.wakeAt(leases.Until().Add(time.Millisecond))
			}
		}
		if expired {
			o.markChanged(g)
			o.resolveRecovery(g)
		}
	}
}

// maxOrdersPerWorker limits the start and stop orders in flight to one worker, so that an
// unresponsive worker ties up few connections.
const maxOrdersPerWorker = 2

// sendOrders sends the start and stop orders that are due.
func (o *Owner) sendOrders() {
	for _, w := range o.workers.all() {
		if !w.ordersDue {
			continue
		}
		for _, m := range w.members.all() {
			if w.ordersInFlight >= maxOrdersPerWorker {
				break
			}
			o.sendOrder(w, m)
		}
		for _, orphan := range w.orphans.all() {
			if w.ordersInFlight < maxOrdersPerWorker && !orphan.stopInFlight && o.stopDue(orphan.stopSentAt, time.Time{}) {
				orphan.stopInFlight, orphan.stopSentAt = true, o.now
				o.sendStop(w, orphan.key, nil, orphan)
			}
		}
		w.ordersDue = w.hasOrders()
	}
}

func (o *Owner) sendOrder(w *worker, m *member) {
	switch {
	case m.stopping && m.startDue && m.evidence().Unsent() != evidence.None:
		// No start order has been sent, so there is nothing to stop.
		m.startDue = false
		o.memberEnded(m, EndStopped, "", evidence.NotSent)
		o.requeueIfGone(m.group)
	case m.stopping:
		m.startDue = false
		if !m.stopInFlight && o.stopDue(m.stopSentAt, m.stopConfirmedAt) {
			m.stopInFlight, m.stopSentAt = true, o.now
			o.sendStop(w, m.key(), m, nil)
		}
	case m.startDue && w.leasesBarred:
		if !w.SilentSince.IsZero() {
			o.stopTaskGroup(m.group, "worker_silent")
		}
	case m.startDue && !w.clockReadAt.IsZero():
		o.sendStart(w, m)
	}
}

func (o *Owner) sendStart(w *worker, m *member) {
	order := StartOrder{
		Task:       m.key().Task,
		Run:        m.run,
		Payload:    m.group.job.record.Spec.Payload,
		ExpiresMS:  w.clockNow(o.now) + o.timing.StartExpiry.Milliseconds(),
		Fence:      o.fence,
		Checkpoint: m.group.checkpoint,
	}
	if m.group.job.queue.Advised {
		// A ticket that has expired since is refused.
		t, _ := m.group.step.ticketFor(w)
		order.Ticket = t.text
	}
	w.extendLease(order.ExpiresMS)
	m.expiresMS = max(m.expiresMS, order.ExpiresMS)
	m.startTries++
	m.startDue = false
	w.ordersInFlight++
	m.startInFlight, m.startSentAt = true, o.now
	o.pendingCalls = append(o.pendingCalls, Call{Target: w.target(), Start: &order, Sent: o.now, Timeout: o.timing.CallTimeout, member: m, worker: w, incarnation: w.Incarnation})
}

// confirmedStopRetry is the time after which a confirmed stop order is sent again if the
// worker still lists the run.
const confirmedStopRetry = 2 * time.Second

func (o *Owner) stopDue(sentAt, confirmedAt time.Time) bool {
	if sentAt.IsZero() {
		return true
	}
	wait := o.timing.StopRetryInterval
	if !confirmedAt.IsZero() {
		wait = confirmedStopRetry
	}
	o.wakeAt(sentAt.Add(wait))
	return o.now.Sub(sentAt) >= wait
}

func (o *Owner) sendStop(w *worker, key RunKey, m *member, orphan *orphan) {
	w.ordersInFlight++
	order := StopOrder{Task: key.Task, Run: key.Run, Fence: o.fence}
	o.pendingCalls = append(o.pendingCalls, Call{Target: w.target(), Stop: &order, Sent: o.now, Timeout: o.timing.CallTimeout, member: m, orphan: orphan, worker: w, incarnation: w.Incarnation})
}

func (o *Owner) sendRenewals() {
	var unclaimed []*worker
	for _, w := range o.workers.all() {
		if w.renewalInFlight || !w.claimed && !w.claimDue() {
			continue
		}
		if o.now.Before(w.nextRenewal) {
			o.wakeAt(w.nextRenewal)
			continue
		}
		if w.claimed {
			o.sendRenewal(w)
		} else {
			unclaimed = append(unclaimed, w)
		}
	}
	o.sendClaims(unclaimed)
}

func (o *Owner) sendRenewal(w *worker) {
	order := RenewalOrder{Fence: o.fence, Acknowledged: w.acknowledged}
	// The lease of a worker that does not respond is not extended, so that it expires.
	if w.clockMS > 0 && w.members.len() > 0 && w.SilentSince.IsZero() && !w.leasesBarred {
		order.ExpiresMS = w.clockNow(o.now) + o.timing.WorkerLease.Milliseconds()
		w.extendLease(order.ExpiresMS)
		if len(w.pendingAcks) == 0 {
			order.Wait = o.timing.RenewalWait
			if w.watchesLatency() {
				order.Wait = min(order.Wait, throttleInterval/2)
			}
		}
	}
	w.renewalInFlight = true
	if !w.claimed {
		w.claimInFlight, w.claimSentAt = true, o.now
		o.claimsInFlight++
	}
	o.pendingCalls = append(o.pendingCalls, Call{Target: w.target(), Renew: &order, Sent: o.now, Timeout: o.timing.CallTimeout + order.Wait, worker: w, incarnation: w.Incarnation})
}

// visibleState returns the state of a job that callers may see: a final state is shown only
// once it is recorded.
func (j *job) visibleState() workflow.State {
	switch {
	case j.state.Final() && j.fullyRecorded():
		return j.state
	case j.cancelled:
		return workflow.Cancelled
	case j.mayHaveBegun():
		return workflow.Running
	}
	return workflow.Queued
}
