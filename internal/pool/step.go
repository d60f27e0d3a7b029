package pool

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Call is one order for a worker or about machines, or one question to the adviser.
// Exactly one of Start, Stop, Hold, Pace, Advise, Machines and Upkeep is set.
type Call struct {
	Target Target
	Start  *StartOrder
	Stop   *StopOrder
	Hold   *HoldOrder
	Pace   *PaceOrder
	Advise *AdviseOrder
	// Machines asks for the list of machines.
	Machines bool
	Upkeep   *UpkeepOrder
	Sent     time.Time
	Timeout  time.Duration

	member      *member
	orphan      *orphan
	worker      *worker
	step        *step
	waveMachine *waveMachine
}

// Effects is what a step asks for.
type Effects struct {
	Calls []Call
	Store *StoreCall
	// Next is when the next step is due if nothing happens before.
	Next time.Time
}

// idleStep is the time to the next step when nothing is due.
const idleStep = time.Second

// Step returns the calls that are due.
func (o *Owner) Step(now time.Time, gate Gate) Effects {
	o.now = now
	o.due = now.Add(idleStep)
	o.openRounds()
	o.expireLeases()
	o.expireSuspicions()
	if gate.MayStart {
		o.advanceUpkeep()
		o.plan()
		o.askAdviser()
	}
	o.advanceClaims(gate)
	if gate.MayHold {
		o.sendOrders()
		o.sendHolds()
	}
	effects := Effects{Calls: o.calls}
	o.calls = nil
	if gate.MayRecord {
		effects.Store = o.nextRecord()
	}
	effects.Next = o.due
	return effects
}

func (o *Owner) openRounds() {
	for _, j := range o.active.all() {
		switch {
		case j.over():
			o.retire(j)
		case j.next < j.rounds():
			o.openDue(j)
		}
	}
}

// expireLeases gives up the runs on workers whose lease has lapsed for certain.
func (o *Owner) expireLeases() {
	for _, w := range o.workers.all() {
		if w.members.len() == 0 {
			if !w.listed && !w.holding {
				o.workers.remove(w.info.ID)
			}
			continue
		}
		if w.leaseUntil.IsZero() || !o.now.After(w.leaseUntil) {
			if !w.failing.IsZero() {
				o.wakeAt(w.leaseUntil.Add(time.Millisecond))
			}
			continue
		}
		o.record(event.WorkerLost, event.Subject{Worker: string(w.info.ID)}, event.Fields{
			"runs": w.members.len(), "silent_ms": o.now.Sub(w.answered).Milliseconds(), "listed": w.listed,
		})
		w.claimed = false
		for _, m := range w.members.all() {
			o.memberEnded(m, EndLapsed, "", "lease_lapsed")
		}
	}
}

// expireSuspicions gives up recorded runs on workers that can't be reached, when
// every lease that the owner before may have given has lapsed.
func (o *Owner) expireSuspicions() {
	until := o.began.Add(o.timing.TakeoverWait)
	if o.now.Before(until) {
		return
	}
	for _, p := range o.recovering() {
		for _, m := range p.members {
			if m.phase == memberSuspected {
				o.vanish(m)
			}
		}
		o.touch(p.job)
		o.settleRecovery(p)
	}
}

// ordersPerWorker bounds the starts and stops under way to one worker, so that orders
// without an answer hold up few others and need few connections.
const ordersPerWorker = 2

// sendOrders sends the starts and stops that are due.
func (o *Owner) sendOrders() {
	for _, w := range o.workers.all() {
		if !w.ordersDue {
			continue
		}
		for _, m := range w.members.all() {
			if w.orders >= ordersPerWorker {
				break
			}
			o.sendOrder(w, m)
		}
		for _, s := range w.orphans.all() {
			if w.orders < ordersPerWorker && !s.inFlight && o.stopDue(s.stopSent, time.Time{}) {
				s.inFlight, s.stopSent = true, o.now
				o.sendStop(w, s.key, nil, s)
			}
		}
		w.ordersDue = w.hasOrders()
	}
}

func (o *Owner) sendOrder(w *worker, m *member) {
	switch {
	case m.stopping && m.startDue && m.tries == 0:
		// No order has left, so that nothing has to be stopped.
		m.startDue = false
		o.memberEnded(m, EndStopped, "", "not_sent")
		o.settle(m.piece)
	case m.stopping:
		m.startDue = false
		if !m.stopInFlight && o.stopDue(m.stopSent, m.stopConfirmed) {
			m.stopInFlight, m.stopSent = true, o.now
			o.sendStop(w, m.key(), m, nil)
		}
	case m.startDue && !w.clockAt.IsZero():
		o.sendStart(w, m)
	}
}

func (o *Owner) sendStart(w *worker, m *member) {
	order := StartOrder{
		Task:       m.key().Task,
		Run:        m.run,
		Payload:    m.piece.job.record.Spec.Payload,
		ExpiresMS:  w.clockNow(o.now) + o.timing.StartExpiry.Milliseconds(),
		Fence:      o.fence,
		Checkpoint: m.piece.checkpoint,
	}
	if m.piece.job.queue.Advised {
		order.Ticket = m.piece.step.ticketFor(w, o.now, 0)
	}
	w.gaveLease(order.ExpiresMS)
	m.expiresMS = max(m.expiresMS, order.ExpiresMS)
	m.tries++
	m.startDue = false
	w.orders++
	m.inFlight, m.sent = true, o.now
	o.calls = append(o.calls, Call{Target: w.target(), Start: &order, Sent: o.now, Timeout: o.timing.CallTimeout, member: m, worker: w})
}

// stopAgain is the time after which a stop that was confirmed is sent again while the
// run is still listed.
const stopAgain = 2 * time.Second

func (o *Owner) stopDue(sent, confirmed time.Time) bool {
	if sent.IsZero() {
		return true
	}
	wait := o.timing.StopRetry
	if !confirmed.IsZero() {
		wait = stopAgain
	}
	o.wakeAt(sent.Add(wait))
	return o.now.Sub(sent) >= wait
}

func (o *Owner) sendStop(w *worker, key RunKey, m *member, s *orphan) {
	w.orders++
	order := StopOrder{Task: key.Task, Run: key.Run, Fence: o.fence}
	o.calls = append(o.calls, Call{Target: w.target(), Stop: &order, Sent: o.now, Timeout: o.timing.CallTimeout, member: m, orphan: s, worker: w})
}

func (o *Owner) sendHolds() {
	for _, w := range o.workers.all() {
		if w.holding || !w.claimed && !o.mayClaim(w) {
			continue
		}
		if o.now.Before(w.nextHold) {
			o.wakeAt(w.nextHold)
			continue
		}
		o.sendHold(w)
	}
}

// mayClaim reports whether a worker that is not claimed may be asked now.
func (o *Owner) mayClaim(w *worker) bool {
	return w.members.len() > 0 || w.orphans.len() > 0 || w.wanted && o.claiming < claimsInFlight
}

func (o *Owner) sendHold(w *worker) {
	order := HoldOrder{Fence: o.fence, Seen: w.seen}
	// A worker that does not answer gets no longer lease, so that its lease lapses.
	if w.clockMS > 0 && w.members.len() > 0 && w.failing.IsZero() {
		order.ExpiresMS = w.clockNow(o.now) + o.timing.WorkerLease.Milliseconds()
		w.gaveLease(order.ExpiresMS)
		if len(w.ends) == 0 {
			order.Wait = o.timing.HoldWait
			if w.watchesLatency() {
				order.Wait = min(order.Wait, throttleInterval/2)
			}
		}
	}
	w.holding = true
	if !w.claimed {
		w.claiming = true
		o.claiming++
	}
	o.calls = append(o.calls, Call{Target: w.target(), Hold: &order, Sent: o.now, Timeout: o.timing.CallTimeout + order.Wait, worker: w})
}

// visible returns the state of a job as callers may see it: an end is shown only when
// it is recorded.
func (j *job) visible() workflow.State {
	switch {
	case j.state.Final() && j.durable():
		return j.state
	case j.cancelled:
		return workflow.Cancelled
	case j.began:
		return workflow.Running
	}
	return workflow.Queued
}
