package zone

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/chart"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/scheduler"
	"github.com/chervilrun/chervilrun/internal/view"
	"github.com/chervilrun/chervilrun/internal/worker"
)

var workerChart = chart.Load("worker")

// The states of the chart "worker".
const (
	workerUnclaimed = "unclaimed"
	workerClaimed   = "claimed"
	workerLost      = "lost"
)

// workerState is the runner's state of one worker.
type workerState struct {
	info     model.Worker
	machine  *chart.Machine
	isListed bool
	// lastSequence is the sequence number of the latest report processed.
	lastSequence int64
	// incarnation is the worker's incarnation when it was claimed.
	incarnation int64
	// claimedAt is the endpoint at which that incarnation answered last.
	claimedAt string
	// clockMS is the worker's clock at clockAt; 0 means unknown.
	clockMS int64
	clockAt time.Time

	inFlight       *Call
	nextExchangeAt time.Time
	lastResponseAt time.Time
	// isUnresponsive is true after an exchange without a response. No leases are extended
	// then, so that those of an unreachable worker expire soon.
	isUnresponsive bool
	// isUsable is the value last passed to the scheduling engine.
	isUsable bool
	// handoverLeaseGiven is true once the worker has got the lease for a handover.
	handoverLeaseGiven bool
	// untrackedTasks counts the tasks whose resources the scheduling engine does not
	// account for.
	untrackedTasks int

	// lostGangs were on the worker when it was lost; whether it has crashed is known once it
	// answers again.
	lostGangs []lostGang

	tasks     []*task
	throttles []worker.Throttle
	// endedAttempts lists the attempts that the worker reported as ended and has not yet
	// been instructed to forget.
	endedAttempts []endedAttempt
}

type endedAttempt struct {
	attempt model.AttemptID
	job     model.JobID
}

func (w *workerState) isClaimed() bool { return w.machine.State() == workerClaimed }

func (w *workerState) subject() event.Subject {
	return event.Subject{Worker: string(w.info.ID), Zone: string(w.info.Zone)}
}

// exchangeNow makes the next exchange due at once.
func (w *workerState) exchangeNow(now time.Time) { w.nextExchangeAt = now }

func (w *workerState) addTask(t *task, now time.Time) {
	w.tasks = append(w.tasks, t)
	if !t.gang.inEngine {
		w.untrackedTasks++
	}
	w.exchangeNow(now)
}

func (w *workerState) removeTask(t *task) {
	before := len(w.tasks)
	w.tasks = slices.DeleteFunc(w.tasks, func(other *task) bool { return other == t })
	if len(w.tasks) < before && !t.gang.inEngine {
		w.untrackedTasks--
	}
}

// isStartInFlight reports whether an exchange with the task's start is in flight.
func (w *workerState) isStartInFlight(t *task) bool {
	if w.inFlight == nil {
		return false
	}
	return slices.ContainsFunc(w.inFlight.Exchange.Starts, func(s worker.Start) bool {
		return s.Task == t.id && s.Attempt == t.gang.attempt
	})
}

// setWorkers applies the platform's list of workers.
func (r *Runner) setWorkers(all []model.Worker, now time.Time) {
	var zoneWorkers []model.Worker
	r.orderedWorkers = nil
	for _, w := range r.workers {
		w.isListed = false
	}
	for _, info := range all {
		if info.Zone != r.Zone {
			continue
		}
		zoneWorkers = append(zoneWorkers, info)
		w := r.workers[info.ID]
		if w == nil {
			w = &workerState{machine: workerChart.New(), nextExchangeAt: now, lastResponseAt: now}
			r.workers[info.ID] = w
		}
		w.info = info
		w.isListed = true
		r.orderedWorkers = append(r.orderedWorkers, w)
	}
	r.retainUnlisted()
	if r.recorder.epochRevision != 0 {
		r.updateWantedWorkers(now)
	}
	r.Engine.SetWorkers(zoneWorkers, now)
	for _, w := range r.orderedWorkers {
		r.Engine.SetUsable(w.info.ID, w.isUsable, now)
	}
}

// retainUnlisted keeps the workers that are no longer listed but still have tasks, or tasks of
// discovered gangs that may be adopted, and removes the others that are not listed.
func (r *Runner) retainUnlisted() {
	var kept []*workerState
	for id, w := range r.workers {
		switch {
		case w.isListed:
		case len(w.tasks) == 0 && w.inFlight == nil && !r.isDiscoveredOn(w):
			w.machine.Fire("leave")
			delete(r.workers, id)
		default:
			kept = append(kept, w)
		}
	}
	slices.SortFunc(kept, func(a, b *workerState) int {
		if a.info.ID < b.info.ID {
			return -1
		}
		return 1
	})
	r.orderedWorkers = append(r.orderedWorkers, kept...)
}

// checkWorkers marks unresponsive workers as lost after LostAfter and reports to
// the scheduling engine which workers are usable.
func (r *Runner) checkWorkers(now time.Time) {
	for _, w := range r.orderedWorkers {
		if w.isUnresponsive && w.isClaimed() && now.Sub(w.lastResponseAt) >= r.Timing.LostAfter {
			r.markWorkerLost(w, now)
		}
		r.setUsable(w, now)
	}
}

func (r *Runner) setUsable(w *workerState, now time.Time) {
	usable := w.isListed && w.isClaimed() && r.recorder.workers.has(addressOf(w.info.ID, w.info.Endpoint)) && !w.isUnresponsive && w.untrackedTasks == 0 && !r.hasDiscoveredOn(w)
	if usable != w.isUsable {
		w.isUsable = usable
		r.Engine.SetUsable(w.info.ID, usable, now)
	}
}

func (r *Runner) markWorkerLost(w *workerState, now time.Time) {
	w.machine.Fire("lose")
	r.Events.Record(event.WorkerLost, w.subject(), "")
	w.lostGangs = append(w.lostGangs, w.gangsOn(w.lastResponseAt)...)
	for _, t := range append([]*task(nil), w.tasks...) {
		if !t.ended() {
			r.stopGang(t.gang, stop{cause: stopWorkerLost, reason: outcome.ReasonWorkerLost, detail: string(w.info.ID)}, now)
		}
	}
}

// isPoolReconciled reports whether no unreported task of an earlier owner can be running:
// every worker that it used has reported all of its tasks to this epoch, whether the platform
// lists it or not, or the longest lease that an earlier owner can have given has expired.
func (r *Runner) isPoolReconciled(now time.Time) bool {
	if r.areEarlierLeasesOver(now) {
		return true
	}
	if used := &r.recorder.workers; !used.isComplete || len(used.unclaimed) > 0 {
		return false
	}
	for _, w := range r.orderedWorkers {
		if w.machine.State() == workerUnclaimed {
			return false
		}
	}
	return len(r.orderedWorkers) > 0
}

// areEarlierLeasesOver reports whether every lease that an earlier owner can have given has expired.
// That owner may act until the confirmation of its view is too old.
func (r *Runner) areEarlierLeasesOver(now time.Time) bool {
	return now.Sub(r.ownedSince) >= view.MaxConfirmationAge+r.longestLease()+r.Timing.LeaseMargin
}

// longestLease is the time from a call until the longest lease that it can give has expired.
func (r *Runner) longestLease() time.Duration {
	return r.Timing.ExchangeTimeout + max(r.Timing.HandoverLease, r.Timing.RunLease)
}

func (r *Runner) throttle(a scheduler.ThrottleTask) {
	w := r.workers[a.Worker]
	if w == nil {
		return
	}
	for _, t := range w.tasks {
		if t.id == a.Task && !t.ended() {
			w.throttles = append(w.throttles, worker.Throttle{Task: t.id, Attempt: t.gang.attempt})
		}
	}
}
