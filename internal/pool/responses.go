package pool

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/pool/evidence"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// StartDone handles the result of a start order.
func (o *Owner) StartDone(call Call, clockMS int64, err error, now time.Time) {
	o.now = now
	m, w := call.member, call.worker
	m.startInFlight = false
	w.ordersInFlight--
	w.readClockFrom(call, clockMS, now)
	if errors.Is(err, ErrFenced) {
		o.loseOwnership("worker", string(w.info.ID))
		return
	}
	if m.phase != memberStarting {
		return
	}
	switch {
	case err == nil:
		o.confirmStarted(w, m)
	case errors.Is(err, ErrResponseLost):
		o.startUnanswered(w, m)
	default:
		o.startRefused(w, m, err)
	}
}

// confirmStarted marks a member as running on its worker.
func (o *Owner) confirmStarted(w *worker, m *member) {
	m.phase, m.confirmedAt = memberRunning, o.now
	w.refusals = 0
	o.markStarted(m.group.job)
	if !w.renewalInFlight {
		w.nextRenewal = o.now
	}
	if m.group.state() == taskGroupStarting && m.run == m.group.run {
		o.checkAllStarted(m.group)
	}
}

// markStarted marks a job as begun once a worker has confirmed that it runs a task of it, or has
// run one. That is recorded with the next change of the job.
func (o *Owner) markStarted(j *job) {
	if j.started {
		return
	}
	j.started = true
	if j.state == workflow.Queued {
		j.state = workflow.Running
		if j.inParts {
			// A change of a task group doesn't record the state.
			o.markHeadChanged(j)
		}
	}
}

// startUnanswered schedules a retry, or stops the run after the last one. The run is gone
// once the worker does not list it after the order has expired.
func (o *Owner) startUnanswered(w *worker, m *member) {
	if !m.stopping && m.startTries < o.timing.StartTries && w.Listed {
		m.startDue = true
		o.markOrdersDue(m)
		return
	}
	o.emit(event.OrderUnanswered, event.Subject{Job: string(m.group.job.id()), Worker: string(w.info.ID)}, event.Fields{"task": string(m.key().Task), "run": m.run, "tries": m.startTries})
	w.nextRenewal = o.now
	o.stopTaskGroup(m.group, "start_unanswered")
}

// startRefused stops the run. A refusal proves that the run does not exist only if it is the
// response to the first start order.
func (o *Owner) startRefused(w *worker, m *member, err error) {
	o.emit(event.OrderRefused, event.Subject{Job: string(m.group.job.id()), Worker: string(w.info.ID)}, event.Fields{"task": string(m.key().Task), "run": m.run, "tries": m.startTries, "why": err.Error()})
	w.nextRenewal = o.now
	if errors.Is(err, ErrStaleRun) && m.startTries > 1 {
		// An earlier try was executed and the run has ended. If the worker does not list
		// the run, this incarnation of it will never start it.
		m.stopConfirmedAt = o.now
		return
	}
	if errors.Is(err, ErrOverloaded) || errors.Is(err, ErrInsufficientResources) || errors.Is(err, ErrUnreachable) {
		o.recordWorkerFailure(m.group, w.info.ID)
		w.backOff(o.now)
	}
	o.dropTicket(m, err)
	if m.evidence().Refused() != evidence.None {
		w.release(m)
		o.markGone(m)
	}
	o.planNeeded = true
	o.stopTaskGroup(m.group, "start_refused")
}

// StopDone handles the result of a stop order.
func (o *Owner) StopDone(call Call, clockMS int64, err error, now time.Time) {
	o.now = now
	call.worker.ordersInFlight--
	call.worker.readClockFrom(call, clockMS, now)
	if errors.Is(err, ErrFenced) {
		o.loseOwnership("worker", string(call.worker.info.ID))
		return
	}
	if call.orphan != nil {
		call.orphan.stopInFlight = false
		if !call.worker.renewalInFlight {
			call.worker.nextRenewal = now
		}
		return
	}
	call.member.stopInFlight = false
	if errors.Is(err, ErrRestarted) && !call.worker.renewalInFlight {
		call.worker.nextRenewal = now
	}
	if err == nil {
		if call.member.stopConfirmedAt.IsZero() {
			call.member.stopConfirmedAt = now
		}
		if !call.worker.renewalInFlight {
			call.worker.nextRenewal = now
		}
	}
}

// RenewalDone handles the result of a lease renewal.
func (o *Owner) RenewalDone(call Call, inventory Inventory, err error, now time.Time) {
	o.now = now
	w := call.worker
	w.renewalInFlight = false
	if w.claimInFlight {
		w.claimInFlight = false
		o.claimsInFlight--
	}
	if err == nil && inventory.Incarnation == 0 {
		err = errors.WithMessage(ErrResponseLost, "the response names no incarnation")
	}
	if err != nil {
		o.renewalFailed(w, err)
		return
	}
	if inventory.Incarnation < w.Incarnation {
		// The response of an earlier incarnation arrived after news of a later one.
		w.nextRenewal = now
		return
	}
	o.updateFromResponse(w, inventory)
	for _, end := range inventory.Ended {
		if end.Number > w.processed {
			o.processEnd(w, end)
		}
	}
	o.reconcileRuns(w, call.Sent, inventory)
	o.throttle(w)
	o.restartStalled(w)
	o.moveOffDraining(w)
	o.scheduleRenewal(w, len(inventory.Ended) >= maxEndsPerResponse)
	if inventory.Unacknowledged {
		// The response shows which incarnation receives the next renewal.
		w.nextRenewal = now
	}
}

// updateFromResponse updates the state of the worker itself from its response.
func (o *Owner) updateFromResponse(w *worker, inventory Inventory) {
	if w.Incarnation != 0 && inventory.Incarnation > w.Incarnation {
		o.handleRestart(w, inventory.Incarnation)
	}
	w.Incarnation = max(w.Incarnation, inventory.Incarnation)
	subject := event.Subject{Worker: string(w.info.ID)}
	if !w.claimed {
		// From now on the worker refuses the orders of earlier owners.
		w.MayHaveLeaseUntil(o.now.Add(longestLease(o.timing.WorkerLease)))
		o.planNeeded = true
		o.emit(event.WorkerClaimed, subject, event.Fields{"running": len(inventory.Running), "ended": len(inventory.Ended), "born": w.Incarnation})
	}
	if !w.SilentSince.IsZero() {
		o.planNeeded = true
		o.emit(event.WorkerAnswers, subject, event.Fields{"silent_ms": o.now.Sub(w.SilentSince).Milliseconds()})
	}
	w.claimed = true
	w.Answered(o.now)
	// A worker that answers as the same incarnation was only silent.
	w.lostRuns = nil
	w.readClock(inventory.ClockMS, o.now)
}

// maxEndsPerResponse is the maximum number of ended runs that a worker lists in one
// response.
const maxEndsPerResponse = 500

// scheduleRenewal schedules the renewal after a response, which may not have listed all ends.
func (o *Owner) scheduleRenewal(w *worker, moreEnds bool) {
	switch {
	case moreEnds, len(w.pendingAcks) >= maxEndsPerResponse, len(w.pendingAcks) == 0 && w.members.len() > 0:
		w.nextRenewal = o.now
	case len(w.pendingAcks)+w.orphans.len() > 0:
		w.nextRenewal = o.now.Add(o.timing.RenewalRetryDelay)
	default:
		w.nextRenewal = o.now.Add(o.timing.IdleRenewalInterval)
	}
}

func (o *Owner) renewalFailed(w *worker, err error) {
	if errors.Is(err, ErrFenced) {
		o.loseOwnership("worker", string(w.info.ID))
		return
	}
	if w.CallFailed(o.now) {
		o.planNeeded = true
		o.emit(event.WorkerSilent, event.Subject{Worker: string(w.info.ID)}, event.Fields{"why": err.Error(), "runs": w.members.len()})
	}
	if errors.Is(err, ErrIncarnation) {
		w.OtherIncarnationAnswered()
		o.endRunsOf(w)
	}
	w.nextRenewal = o.now.Add(o.timing.RenewalRetryDelay)
}

// processEnd processes an ended run that a worker lists.
func (o *Owner) processEnd(w *worker, end EndedTask) {
	w.processed = end.Number
	ack := pendingAck{number: end.Number}
	if g, m := o.findRun(w, end.RunKey); g != nil {
		o.markStarted(g.job)
		if m != nil {
			o.memberEnded(m, end.Cause, end.Checkpoint, evidence.Listed)
			o.requeueIfGone(g)
		} else if end.Cause == EndDone && end.Run == g.run && g.state() == taskGroupWaiting {
			o.finishTaskGroup(g)
		}
		if end.Cause == EndDone {
			o.quarantine.RecordSuccess(w.info.ID, g.job.id())
		}
	}
	// The acknowledgement waits for the job to be recorded even if this end changed
	// nothing: another member of the same run may just have reported the same result.
	if task, err := workflow.ParseTask(end.Task); err == nil {
		if j, ok := o.jobs.get(task.Job); ok {
			ack.job, ack.version = j, j.version
		}
	}
	w.orphans.remove(end.RunKey)
	w.pendingAcks = append(w.pendingAcks, ack)
	o.advanceAcknowledged(w)
}

// findRun returns the task group of a run and, if the run is current, its member on w.
func (o *Owner) findRun(w *worker, key RunKey) (*taskGroup, *member) {
	if m, ok := w.members.get(key); ok {
		return m.group, m
	}
	task, err := workflow.ParseTask(key.Task)
	if err != nil {
		return nil, nil
	}
	j, ok := o.jobs.get(task.Job)
	if !ok {
		return nil, nil
	}
	spec, ok := j.taskSpec(task)
	if !ok {
		return nil, nil
	}
	g, ok := o.taskGroups[taskGroupID(task, spec.Gang)]
	if !ok {
		return nil, nil
	}
	for _, m := range g.members {
		if m.phase == memberUnverified && m.workerID == w.info.ID && m.key() == key {
			return g, m
		}
	}
	return g, nil
}

// advanceAcknowledged acknowledges ended runs, in order, as far as they are recorded.
func (o *Owner) advanceAcknowledged(w *worker) {
	for len(w.pendingAcks) > 0 {
		ack := w.pendingAcks[0]
		if ack.job != nil && ack.job.recordedVersion < ack.version {
			return
		}
		w.acknowledged = ack.number
		w.pendingAcks = w.pendingAcks[1:]
		if len(w.pendingAcks) == 0 {
			w.nextRenewal = o.now
		}
	}
}

func (o *Owner) loseOwnership(kind, name string) {
	if !o.ownershipLost {
		o.emit(event.OwnershipLost, event.Subject{Worker: name}, event.Fields{"seen_at": kind})
	}
	o.ownershipLost = true
}
