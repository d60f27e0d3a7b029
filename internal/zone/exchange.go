package zone

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/view"
	"github.com/chervilrun/chervilrun/internal/worker"
)

// Call is one exchange to be made with one worker.
type Call struct {
	Worker   model.WorkerID
	Endpoint string
	Exchange worker.Exchange
	// Deadline is when the call times out; the worker executes no command after it.
	Deadline time.Time
}

// stopRetryInterval is the interval at which an unconfirmed stop is sent again.
const stopRetryInterval = 500 * time.Millisecond

// intervalJitter is the largest fraction by which an interval is randomly shortened.
const intervalJitter = 0.25

// dueCalls returns the exchanges that are due, at most one per worker.
func (r *Runner) dueCalls(now time.Time, gate Gate) []Call {
	var calls []Call
	for _, w := range r.orderedWorkers {
		if w.inFlight != nil || now.Before(w.nextExchangeAt) {
			continue
		}
		call := r.buildCall(w, now, gate)
		w.inFlight = &call
		r.stats.Exchanges++
		calls = append(calls, call)
	}
	return calls
}

func (r *Runner) buildCall(w *workerState, now time.Time, gate Gate) Call {
	call := Call{
		Worker:   w.info.ID,
		Endpoint: w.info.Endpoint,
		Deadline: now.Add(r.Timing.ExchangeTimeout),
		Exchange: worker.Exchange{Zone: r.Zone, Epoch: r.Epoch, Since: w.lastSequence, Incarnation: w.incarnation},
	}
	e := &call.Exchange
	if w.machine.State() == workerUnclaimed {
		// A claim changes nothing but the epoch, so it needs no NotAfterMS.
		e.Claim = true
		e.Since = 0
		return call
	}
	r.addStops(w, e, now)
	e.Forget = r.forgettableAttempts(w)
	if w.clockMS == 0 {
		return call // the other commands need NotAfterMS, which needs the worker's clock
	}
	r.addStarts(w, &call, now, gate)
	r.addCheckpoints(w, e)
	r.addExtension(w, &call)
	e.Throttles = w.throttles
	e.NotAfterMS = w.clockMS + call.Deadline.Sub(w.clockAt).Milliseconds()
	return call
}

// addStarts adds the starts that the worker has not acknowledged.
func (r *Runner) addStarts(w *workerState, call *Call, now time.Time, gate Gate) {
	if !r.canStart(gate, now) {
		return
	}
	for _, t := range w.tasks {
		if t.isDelivered || t.ended() || !t.gang.canSendStart() {
			continue
		}
		call.Exchange.Starts = append(call.Exchange.Starts, worker.Start{
			Task: t.id, Job: t.gang.job.id(), Attempt: t.gang.attempt,
			Resources:  t.gang.job.record.Spec.Shape.PerTask,
			GangTasks:  len(t.gang.tasks),
			LeaseMS:    worker.ShortLease.Milliseconds(),
			Checkpoint: t.checkpoint,
			Payload:    t.gang.job.record.Spec.Payload,
		})
	}
	if len(call.Exchange.Starts) == 0 {
		return
	}
	// A start must not take effect after the view that it is based on has gone stale.
	if c := gate.Confirmation; !c.OutageConfirmed {
		call.Deadline = earliest(call.Deadline, c.ConfirmedAt.Add(view.MaxConfirmationAge))
	}
	leaseEnd := call.Deadline.Add(worker.ShortLease)
	for _, t := range w.tasks {
		if !t.isDelivered && t.gang.canSendStart() && !t.ended() {
			t.machine.Fire("send")
			t.endpoint = call.Endpoint
			t.gang.setConfirmDeadline(now.Add(r.Timing.StartTimeout))
			t.leaseExpiresBy = latest(t.leaseExpiresBy, leaseEnd)
		}
	}
}

// setConfirmDeadline sets the deadline by which every task must have confirmed its
// start. It counts from the first start that is sent.
func (g *gang) setConfirmDeadline(confirmBy time.Time) {
	if !g.isSent {
		g.isSent = true
		g.confirmBy = confirmBy
	}
}

func (r *Runner) addStops(w *workerState, e *worker.Exchange, now time.Time) {
	for _, t := range w.tasks {
		if t.gang.state() != gangStopping || t.ended() || t.isDetached || !t.mayHaveStarted || now.Sub(t.stopSentAt) < stopRetryInterval {
			continue
		}
		t.stopSentAt = now
		stop := worker.Stop{Task: t.id, Attempt: t.gang.attempt}
		if t.gang.stop.checkpoint {
			stop.Checkpoint = t.checkpointName()
		}
		e.Stops = append(e.Stops, stop)
	}
}

// addExtension extends the leases of all tasks of the worker, including discovered tasks
// that are not reconciled yet, except for the attempts of gangs that are starting or stopping.
func (r *Runner) addExtension(w *workerState, call *Call) {
	if w.isUnresponsive {
		return
	}
	e := &call.Exchange
	e.ExtendAll = true
	lease := r.Timing.RunLease
	if r.releasing {
		lease = r.Timing.HandoverLease
	}
	e.LeaseMS = lease.Milliseconds()
	leaseEnd := call.Deadline.Add(lease)
	for _, t := range w.tasks {
		if t.gang.state() == gangRunning {
			t.leaseExpiresBy = latest(t.leaseExpiresBy, leaseEnd)
			continue
		}
		if !slices.Contains(e.ShortLease, t.gang.attempt) {
			e.ShortLease = append(e.ShortLease, t.gang.attempt)
		}
	}
}

// forgettableAttempts returns the ended attempts whose end is durably recorded, so that
// the worker need not report them again.
func (r *Runner) forgettableAttempts(w *workerState) []model.AttemptID {
	if !r.recorder.loaded {
		return nil
	}
	var attempts []model.AttemptID
	for _, e := range w.endedAttempts {
		j := r.jobs[e.job]
		if j == nil || (j.isDurable() && !j.needsReconciliation && (j.gang == nil || j.gang.attempt != e.attempt)) {
			attempts = append(attempts, e.attempt)
		}
	}
	return attempts
}

// ExchangeDone processes the result of a call that Step returned.
func (r *Runner) ExchangeDone(call Call, response worker.Response, err error, now time.Time) {
	w := r.workers[call.Worker]
	if w == nil {
		return
	}
	w.inFlight = nil
	wasUnresponsive := w.isUnresponsive
	r.Metrics.Exchanges.WithLabelValues(string(r.Zone), resultLabel(err)).Inc()
	if err != nil {
		r.exchangeFailed(w, call, err, now)
	} else {
		r.exchangeSucceeded(w, call, response, now)
	}
	w.nextExchangeAt = now.Add(r.nextInterval(w, now))
	if err == nil && (wasUnresponsive || call.Exchange.Claim || w.machine.State() == workerUnclaimed) {
		w.exchangeNow(now) // extend its leases at once
	}
}

func resultLabel(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, worker.ErrEpoch):
		return "epoch"
	case errors.Is(err, worker.ErrTooLate):
		return "too_late"
	case errors.Is(err, worker.ErrUnreachable):
		return "unreachable"
	}
	return "lost"
}

func (r *Runner) exchangeFailed(w *workerState, call Call, err error, now time.Time) {
	if errors.Is(err, worker.ErrEpoch) {
		r.fence("worker " + string(w.info.ID) + " has seen a higher epoch")
		return
	}
	if !w.isUnresponsive {
		w.isUnresponsive = true
		r.setUsable(w, now)
	}
	if errors.Is(err, worker.ErrTooLate) {
		// The last response was processed late, so the estimate of the worker's clock is
		// behind. Wait for a new reading.
		w.clockMS = 0
	}
	if errors.Is(err, worker.ErrUnreachable) || errors.Is(err, worker.ErrTooLate) {
		return // no command was executed
	}
	w.markStartsSent(call, false)
}

// markStartsSent marks the tasks whose start in the call may have taken effect.
func (w *workerState) markStartsSent(call Call, delivered bool) {
	for _, s := range call.Exchange.Starts {
		for _, t := range w.tasks {
			if t.id == s.Task && t.gang.attempt == s.Attempt {
				t.mayHaveStarted = true
				t.isDelivered = t.isDelivered || delivered
			}
		}
	}
}

func (r *Runner) exchangeSucceeded(w *workerState, call Call, response worker.Response, now time.Time) {
	w.lastResponseAt = now
	w.isUnresponsive = false
	w.clockMS = response.ClockMS
	w.clockAt = now
	if !call.Exchange.Claim && response.Incarnation != w.incarnation {
		w.machine.Fire("restart") // the worker has lost its state and executed no command
		w.lastSequence = 0
		return
	}
	w.markStartsSent(call, true)
	w.handoverLeaseGiven = w.handoverLeaseGiven || r.gaveHandoverLease(w, call)
	w.throttles = w.throttles[min(len(call.Exchange.Throttles), len(w.throttles)):]
	w.forget(call.Exchange.Forget)
	if call.Exchange.Claim {
		r.applyClaim(w, call, response, now)
		return
	}
	w.answeredAt(call.Endpoint)
	w.machine.Fire("answer")
	w.lostGangs = nil // it was only silent
	w.lastSequence = response.Sequence
	r.applyReports(w, response.Reports, now)
}

// gaveHandoverLease reports whether the call extended the leases of all running gangs on the worker
// for a handover. Gangs that were confirmed after the call was built still have their short lease.
func (r *Runner) gaveHandoverLease(w *workerState, call Call) bool {
	if call.Exchange.LeaseMS != r.Timing.HandoverLease.Milliseconds() {
		return false
	}
	return !slices.ContainsFunc(w.tasks, func(t *task) bool {
		return t.gang.state() == gangRunning && slices.Contains(call.Exchange.ShortLease, t.gang.attempt)
	})
}

func (w *workerState) forget(attempts []model.AttemptID) {
	w.endedAttempts = slices.DeleteFunc(w.endedAttempts, func(e endedAttempt) bool {
		return slices.Contains(attempts, e.attempt)
	})
}

// applyClaim processes the response to a claim, which reports all tasks of the worker.
func (r *Runner) applyClaim(w *workerState, call Call, response worker.Response, now time.Time) {
	w.machine.Fire("claim")
	delete(r.recorder.workers.unclaimed, addressOf(w.info.ID, call.Endpoint))
	w.lastSequence = response.Sequence
	if w.incarnation != 0 && w.incarnation != response.Incarnation && w.claimedAt != call.Endpoint {
		r.detachTasks(w, now)
	}
	r.checkRestart(w, response.Incarnation, now)
	w.incarnation = response.Incarnation
	w.answeredAt(call.Endpoint)
	r.Events.Record(event.WorkerClaimed, w.subject(), "")
	reported := map[model.AttemptID]bool{}
	for _, report := range response.Reports {
		reported[report.Attempt] = true
	}
	for _, t := range append([]*task(nil), w.tasks...) {
		if t.mayHaveStarted && !t.ended() && !t.isDetached && !reported[t.gang.attempt] {
			t.hasRun = true
			t.machine.Fire("stop") // the worker no longer has it
		}
	}
	r.markDiscoveredStopped(w, reported)
	r.applyReports(w, response.Reports, now)
}

// answeredAt records the endpoint at which the claimed incarnation has answered.
func (w *workerState) answeredAt(endpoint string) {
	if w.claimedAt == endpoint {
		return
	}
	w.claimedAt = endpoint
	for _, t := range w.tasks {
		if t.endpoint != "" && !t.isDetached {
			t.endpoint = endpoint
		}
	}
}

// detachTasks gives up the tasks of a worker for which another process answers at another endpoint.
// That does not show that the earlier process has ended.
func (r *Runner) detachTasks(w *workerState, now time.Time) {
	w.lostGangs = nil // nothing is known of a crash
	for _, d := range r.discovered {
		for _, dt := range d.tasks {
			dt.isDetached = dt.isDetached || dt.worker == w && dt.report.State == worker.TaskRunning
		}
	}
	tasks := append([]*task(nil), w.tasks...)
	for _, t := range tasks {
		t.isDetached = t.isDetached || t.mayHaveStarted && !t.ended()
	}
	for _, t := range tasks {
		if t.isDetached && !t.ended() {
			r.stopGang(t.gang, stop{cause: stopWorkerLost, reason: outcome.ReasonWorkerLost, detail: string(w.info.ID) + " is another process now"}, now)
		}
	}
}

// nextInterval returns the time until the next exchange with a worker. The renewal
// policy spreads routine exchanges over time. Exchanges that wait for a confirmation
// follow at a short, jittered interval.
func (r *Runner) nextInterval(w *workerState, now time.Time) time.Duration {
	interval := r.Timing.IdleInterval
	if len(w.tasks) > 0 || !w.isClaimed() {
		interval = r.Timing.Interval
	}
	for _, t := range w.tasks {
		if !t.ended() && !t.isDetached && t.gang.state() != gangRunning {
			interval = r.Timing.ConfirmInterval
		}
	}
	if w.isUnresponsive {
		interval = max(interval, r.Timing.Interval/2)
	}
	if interval >= r.Timing.Interval {
		return r.renewalPolicy.Next(now, interval)
	}
	return interval - time.Duration(intervalJitter*r.Rand.Float64()*float64(interval))
}
