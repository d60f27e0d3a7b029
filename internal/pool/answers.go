package pool

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// StartDone takes in the result of a start order.
func (o *Owner) StartDone(call Call, clockMS int64, err error, now time.Time) {
	o.now = now
	m, w := call.member, call.worker
	m.inFlight = false
	w.orders--
	w.readClock(clockMS, now)
	if errors.Is(err, ErrFenced) {
		o.depose("worker", string(w.info.ID))
		return
	}
	if m.phase != memberSent {
		return
	}
	switch {
	case err == nil:
		o.confirm(w, m)
	case errors.Is(err, ErrAnswerLost):
		o.startUnanswered(w, m)
	default:
		o.startRefused(w, m, err)
	}
}

// confirm notes that a run is on its worker.
func (o *Owner) confirm(w *worker, m *member) {
	m.phase, m.confirmed = memberRunning, o.now
	if !w.holding {
		w.nextHold = o.now
	}
	if m.piece.state() == pieceStarting && m.run == m.piece.run {
		o.allStarted(m.piece)
	}
}

// startUnanswered sends the start again; after the last try the run is given up. It
// is settled when the worker denies it after the order has expired.
func (o *Owner) startUnanswered(w *worker, m *member) {
	if !m.stopping && m.tries < o.timing.StartTries && w.listed {
		m.startDue = true
		o.orderDue(m)
		return
	}
	o.record(event.OrderUnanswered, event.Subject{Job: string(m.piece.job.id()), Worker: string(w.info.ID)}, event.Fields{"task": string(m.key().Task), "run": m.run, "tries": m.tries})
	w.nextHold = o.now
	o.stopPiece(m.piece, "start_unanswered")
}

// startRefused gives the run up. Only a first try that was refused proves that the
// run does not exist.
func (o *Owner) startRefused(w *worker, m *member, err error) {
	o.record(event.OrderRefused, event.Subject{Job: string(m.piece.job.id()), Worker: string(w.info.ID)}, event.Fields{"task": string(m.key().Task), "run": m.run, "tries": m.tries, "why": err.Error()})
	w.nextHold = o.now
	if errors.Is(err, ErrOldRun) && m.tries > 1 {
		// An earlier try was carried out and the run has ended: unless the worker lists
		// it, this life of it will never start the run.
		m.stopConfirmed = o.now
		return
	}
	if errors.Is(err, ErrOverloaded) || errors.Is(err, ErrNoRoom) || errors.Is(err, ErrUnreachable) {
		o.blame(m.piece, w.info.ID)
	}
	o.dropTicket(m, err)
	if m.tries == 1 {
		w.release(m)
		o.vanish(m)
	}
	o.dirty = true
	o.stopPiece(m.piece, "start_refused")
}

// StopDone takes in the result of a stop order.
func (o *Owner) StopDone(call Call, clockMS int64, err error, now time.Time) {
	o.now = now
	call.worker.orders--
	call.worker.readClock(clockMS, now)
	if errors.Is(err, ErrFenced) {
		o.depose("worker", string(call.worker.info.ID))
		return
	}
	if call.orphan != nil {
		call.orphan.inFlight = false
		if !call.worker.holding {
			call.worker.nextHold = now
		}
		return
	}
	call.member.stopInFlight = false
	if err == nil {
		if call.member.stopConfirmed.IsZero() {
			call.member.stopConfirmed = now
		}
		if !call.worker.holding {
			call.worker.nextHold = now
		}
	}
}

// HoldDone takes in the result of a hold.
func (o *Owner) HoldDone(call Call, inventory Inventory, err error, now time.Time) {
	o.now = now
	w := call.worker
	w.holding = false
	if w.claiming {
		w.claiming = false
		o.claiming--
	}
	if err != nil {
		o.holdFailed(w, err)
		return
	}
	if inventory.Born != 0 && inventory.Born < w.born {
		// An answer of an earlier life, overtaken by news of a later one.
		w.nextHold = now
		return
	}
	o.noteAnswer(w, inventory)
	for _, end := range inventory.Ended {
		if end.Number > w.taken {
			o.takeEnd(w, end)
		}
	}
	o.takeRunning(w, call.Sent, inventory)
	o.throttle(w)
	o.moveStalled(w)
	o.moveFromLeaving(w)
	o.scheduleHold(w)
}

// noteAnswer takes in what an answer tells of the worker itself.
func (o *Owner) noteAnswer(w *worker, inventory Inventory) {
	if w.born != 0 && inventory.Born > w.born {
		o.reborn(w, inventory.Born)
	}
	w.born = max(w.born, inventory.Born)
	subject := event.Subject{Worker: string(w.info.ID)}
	if !w.claimed {
		o.dirty = true
		o.record(event.WorkerClaimed, subject, event.Fields{"running": len(inventory.Running), "ended": len(inventory.Ended), "born": w.born})
	}
	if !w.failing.IsZero() {
		o.dirty = true
		o.record(event.WorkerAnswers, subject, event.Fields{"silent_ms": o.now.Sub(w.failing).Milliseconds()})
	}
	w.claimed, w.failing, w.answered = true, time.Time{}, o.now
	w.readClock(inventory.ClockMS, o.now)
}

// endsPerAnswer is the most ends that a worker lists at once.
const endsPerAnswer = 500

func (o *Owner) scheduleHold(w *worker) {
	switch {
	case len(w.ends) >= endsPerAnswer, len(w.ends) == 0 && w.members.len() > 0:
		w.nextHold = o.now
	case len(w.ends)+w.orphans.len() > 0:
		w.nextHold = o.now.Add(o.timing.RetryHold)
	default:
		w.nextHold = o.now.Add(o.timing.IdleHold)
	}
}

func (o *Owner) holdFailed(w *worker, err error) {
	if errors.Is(err, ErrFenced) {
		o.depose("worker", string(w.info.ID))
		return
	}
	if w.failing.IsZero() {
		w.failing = o.now
		o.dirty = true
		o.record(event.WorkerSilent, event.Subject{Worker: string(w.info.ID)}, event.Fields{"why": err.Error(), "runs": w.members.len()})
	}
	if errors.Is(err, ErrIncarnation) {
		o.dropRuns(w, "other_incarnation")
	}
	w.nextHold = o.now.Add(o.timing.RetryHold)
}

// takeEnd processes an end that a worker lists.
func (o *Owner) takeEnd(w *worker, end EndedTask) {
	w.taken = end.Number
	pending := pendingEnd{number: end.Number}
	if p, m := o.find(w, end.RunKey); p != nil {
		if m != nil {
			o.memberEnded(m, end.Cause, end.Checkpoint, "listed")
			o.settle(p)
		} else if end.Cause == EndDone && end.Run == p.run && p.state() == pieceWaiting {
			o.finishPiece(p)
		}
		if end.Cause == EndDone {
			o.quarantine.Succeeded(w.info.ID)
		}
	}
	// Also an end that changes nothing waits for what is not yet recorded of its job:
	// another part of the same run may have just told of the same end.
	if task, err := workflow.ParseTask(end.Task); err == nil {
		if j, ok := o.jobs.get(task.Job); ok {
			pending.job, pending.change = j, j.changed
		}
	}
	w.orphans.remove(end.RunKey)
	w.ends = append(w.ends, pending)
	o.forgetEnds(w)
}

// find returns the piece of a run and, if it is a current part, the member on w.
func (o *Owner) find(w *worker, key RunKey) (*piece, *member) {
	if m, ok := w.members.get(key); ok {
		return m.piece, m
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
	p, ok := o.pieces[pieceID(task, spec.Gang)]
	if !ok {
		return nil, nil
	}
	for _, m := range p.members {
		if m.phase == memberSuspected && m.on == w.info.ID && m.key() == key {
			return p, m
		}
	}
	return p, nil
}

// takeRunning compares the runs that a worker lists with those that it should have.
func (o *Owner) takeRunning(w *worker, sent time.Time, inventory Inventory) {
	listed := make(map[RunKey]bool, len(inventory.Running))
	for _, running := range inventory.Running {
		listed[running.RunKey] = true
		o.takeRun(w, running)
	}
	for key, s := range w.orphans.all() {
		if !listed[key] && !s.inFlight {
			w.orphans.remove(key)
			o.dirty = true
		}
	}
	for key, m := range w.members.all() {
		switch {
		case listed[key]:
		case deniedBy(m, sent, inventory.ClockMS):
			o.memberEnded(m, EndLapsed, "", "not_listed")
			o.settle(m.piece)
		case m.expiresMS == neverExpires && !m.inFlight && !m.startDue && !m.stopping:
			o.stopPiece(m.piece, "start_in_doubt")
		}
	}
	o.resolveSuspects(w)
}

// deniedBy reports whether an answer that does not list a run proves that it does not
// exist and never will.
func deniedBy(m *member, sent time.Time, clockMS int64) bool {
	switch {
	case m.phase == memberRunning:
		return m.confirmed.Before(sent)
	case m.inFlight || m.startDue:
		return false
	case !m.stopConfirmed.IsZero() && m.stopConfirmed.Before(sent):
		return true
	}
	return m.sent.Before(sent) && clockMS > m.expiresMS
}

// takeRun processes one run that a worker lists.
func (o *Owner) takeRun(w *worker, running RunningTask) {
	p, m := o.find(w, running.RunKey)
	if m == nil {
		o.addOrphan(w, running.RunKey, p)
		return
	}
	switch m.phase {
	case memberSuspected:
		m.phase, m.confirmed = memberRunning, o.now
		w.admit(m)
		if w.leaseUntil.IsZero() {
			w.leaseUntil = o.now.Add(o.timing.TakeoverWait)
		}
	case memberSent:
		o.confirm(w, m)
	}
	if running.Checkpoint != "" && running.Run == p.run && !p.finished() {
		p.checkpoint = running.Checkpoint
	}
	m.load = running.Load
	o.noteProgress(w, m, running.Percent)
}

func (o *Owner) addOrphan(w *worker, key RunKey, p *piece) {
	if w.orphans.has(key) {
		return
	}
	s := &orphan{key: key}
	if p != nil {
		s.demand, s.known = p.step.spec.Demand(), true
	} else if task, err := workflow.ParseTask(key.Task); err == nil && o.jobs.has(task.Job) {
		if spec, ok := o.jobs.at(task.Job).taskSpec(task); ok {
			s.demand, s.known = spec.Demand(), true
		}
	}
	w.orphans.set(key, s)
	w.ordersDue = true
	o.record(event.RunUnexplained, event.Subject{Worker: string(w.info.ID)}, event.Fields{"task": string(key.Task), "run": key.Run})
}

// resolveSuspects notes that recorded runs are not on a worker that was heard.
func (o *Owner) resolveSuspects(w *worker) {
	for _, p := range o.recovering() {
		for _, m := range p.members {
			if m.phase == memberSuspected && m.on == w.info.ID {
				o.vanish(m)
				o.touch(p.job)
			}
		}
		o.settleRecovery(p)
	}
}

// forgetEnds moves the mark up to which the worker may forget its ends.
func (o *Owner) forgetEnds(w *worker) {
	for len(w.ends) > 0 {
		end := w.ends[0]
		if end.job != nil && end.job.recorded < end.change {
			return
		}
		w.seen = end.number
		w.ends = w.ends[1:]
		if len(w.ends) == 0 {
			w.nextHold = o.now
		}
	}
}

func (o *Owner) depose(kind, name string) {
	if !o.deposed {
		o.record(event.OwnershipLost, event.Subject{Worker: name}, event.Fields{"seen_at": kind})
	}
	o.deposed = true
}
