package zone

import (
	"slices"
	"strconv"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/renewal"
	"github.com/chervilrun/chervilrun/internal/scheduler"
	"github.com/chervilrun/chervilrun/internal/scheduler/crashes"
	"github.com/chervilrun/chervilrun/internal/view"
)

// Runner runs one zone in one epoch. It is not safe for concurrent use.
type Runner struct {
	Options

	ownedSince            time.Time
	view                  *view.View
	outOfService          bool
	fenced                bool
	releasing             bool
	reconciliationPending bool // some job may need reconciliation

	jobs               map[model.JobID]*jobState
	orderedJobs        []*jobState // by time of acceptance or loading
	workers            map[model.WorkerID]*workerState
	orderedWorkers     []*workerState // those to exchange with, in the order of the view
	gangs              []*gang        // starting, running or stopping
	discovered         map[model.AttemptID]*discoveredGang
	crashRate          *crashes.Rate
	pendingSubmissions []*submission // waiting for the records to be loaded

	// renewalPolicy spreads the routine exchanges over time.
	renewalPolicy     renewal.Policy
	recorder          recorder
	notices           []Notice
	attempts          int
	changes           int64
	nextExpiryAt      time.Time
	nextExplanationAt time.Time
	stats             Stats
}

// Stats counts the work of a runner.
type Stats struct {
	Exchanges  int
	StoreCalls int
	Accepted   int
	Finished   int
	Aborted    int
}

// Effects are the calls to make now.
type Effects struct {
	Calls []Call
	// Store is nil if no call to the store is due; there is at most one in flight.
	Store *StoreCall
	// Notices are to be sent to the owners of other zones.
	Notices []Notice
}

// Notice notifies the owner of Zone that a job's record was moved to its zone.
type Notice struct {
	Zone model.AvailabilityZoneID
	Spec model.JobSpec
}

// NewRunner returns the runner of a zone whose ownership this host has just acquired.
func NewRunner(o Options, now time.Time) *Runner {
	return &Runner{
		Options:       o,
		ownedSince:    now,
		renewalPolicy: renewal.NewLeastLoaded(max(o.Timing.Interval, o.Timing.IdleInterval)),
		view:          &view.View{},
		jobs:          map[model.JobID]*jobState{},
		workers:       map[model.WorkerID]*workerState{},
		discovered:    map[model.AttemptID]*discoveredGang{},
		crashRate:     crashes.NewRate(now),
		recorder:      newRecorder(o.Timing, now),
	}
}

// SetView applies a newer view.
func (r *Runner) SetView(v *view.View, now time.Time) {
	r.view = v
	r.setWorkers(v.Workers, now)
	if v.Config == nil || v.Config.Version == 0 {
		return
	}
	if r.Assign != nil {
		r.Engine.SetOrganisations(v.Config.Organisations, r.Assign(v, r.Zone))
	}
	declared, known := v.Config.Zone(r.Zone)
	r.setOutOfService(!known || declared.OutOfService, now)
}

func (r *Runner) setOutOfService(out bool, now time.Time) {
	if out != r.outOfService {
		number := event.ZoneBroughtIn
		if out {
			number = event.ZoneTakenOut
		}
		r.Events.Record(number, event.Subject{Zone: string(r.Zone)}, "")
	}
	r.outOfService = out
	r.Engine.SetOutOfService(out, now)
}

// Fenced reports whether a worker or the store has shown that the zone has a newer
// owner. A fenced runner makes no calls.
func (r *Runner) Fenced() bool { return r.fenced }

// Changes returns a counter that increases with each change of a record.
func (r *Runner) Changes() int64 { return r.changes }

// Stats returns the counts up to now.
func (r *Runner) Stats() Stats { return r.stats }

func (r *Runner) fence(reason string) {
	if r.fenced {
		return
	}
	r.fenced = true
	r.Events.Record(event.OwnershipLost, event.Subject{Zone: string(r.Zone)}, reason)
}

// Step advances the state machine to the time now and returns the calls to make. The
// caller must check MayCarryOut right before it makes a call to a worker.
func (r *Runner) Step(now time.Time, gate Gate) Effects {
	if r.fenced || !gate.Owned {
		return Effects{}
	}
	r.checkWorkers(now)
	r.dropEarlierWorkers(now)
	r.reconcileDiscovered(now)
	r.advanceGangs(now)
	r.reconcileJobs(now)
	r.retryStarts(now)
	if r.outOfService {
		r.evacuate(now)
	}
	if !now.Before(r.nextExplanationAt) {
		r.nextExplanationAt = now.Add(explainInterval)
		r.explainWaiting(now)
	}
	if !now.Before(r.nextExpiryAt) {
		r.nextExpiryAt = now.Add(r.Timing.Rescan)
		r.expireRecords(now)
	}
	if r.canStart(gate, now) && !r.releasing {
		r.applyDecisions(now)
	}
	effects := Effects{Calls: r.dueCalls(now, gate), Notices: r.notices}
	r.notices = nil
	effects.Store = r.nextStoreCall(now)
	return effects
}

// canStart reports whether tasks may start now.
func (r *Runner) canStart(gate Gate, now time.Time) bool {
	return gate.Owned && !r.outOfService && !r.fenced && r.recorder.loaded && gate.Confirmation.MayStart(now)
}

// MayCarryOut reports whether a call that Step returned may still be made. It must be
// checked right before the call, since the process may have been paused since Step.
func MayCarryOut(call Call, gate Gate, now time.Time) bool {
	if !gate.Owned || !now.Before(call.Deadline) {
		return false
	}
	return len(call.Exchange.Starts) == 0 || gate.Confirmation.MayStart(now)
}

// Next returns when Step is due again unless an input arrives earlier.
func (r *Runner) Next(now time.Time) time.Time {
	next := now.Add(time.Second)
	for _, w := range r.workers {
		if w.inFlight == nil {
			next = earliest(next, w.nextExchangeAt)
		}
	}
	for _, g := range r.gangs {
		if g.isStarting() {
			next = earliest(next, g.confirmBy)
		}
	}
	return latest(earliest(next, r.recorder.nextCallAt()), now.Add(time.Millisecond))
}

// applyDecisions applies the actions that the scheduling engine decides on.
func (r *Runner) applyDecisions(now time.Time) {
	for _, action := range r.Engine.Decide(now) {
		r.applyAction(action, now)
	}
}

func (r *Runner) applyAction(action scheduler.Action, now time.Time) {
	switch a := action.(type) {
	case scheduler.StartGang:
		r.startGang(r.jobs[a.Job], a.Placement, now)
	case scheduler.StopGang:
		r.preempt(a, now)
	case scheduler.Refuse:
		j := r.jobs[a.Job]
		j.inEngine = false
		r.finishJob(j, finalState(a.Outcome), a.Outcome, now)
	case scheduler.ThrottleTask:
		r.throttle(a)
	}
}

// Digest returns the totals of the zone, which entry hosts use to route jobs.
func (r *Runner) Digest(now time.Time) scheduler.Digest { return r.Engine.Digest(now) }

// Accepting reports whether jobs may be submitted now.
func (r *Runner) Accepting() bool {
	return !r.fenced && !r.outOfService && !r.releasing && r.recorder.loaded && r.recorder.isStoreUp
}

// removeGang removes an ended gang and records its accelerator time.
func (r *Runner) removeGang(g *gang, now time.Time) {
	r.recordAcceleratorTime(g, now)
	r.gangs = slices.DeleteFunc(r.gangs, func(other *gang) bool { return other == g })
}

// recordAcceleratorTime adds the accelerator time of the gang to the metric.
func (r *Runner) recordAcceleratorTime(g *gang, now time.Time) {
	if g.job == nil {
		return
	}
	spec := g.job.record.Spec
	seconds := now.Sub(g.placedAt).Seconds() * float64(spec.Shape.Total().Accelerators)
	r.Metrics.AcceleratorSeconds.WithLabelValues(string(spec.Organisation)).Add(max(seconds, 0))
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expireRecords marks for deletion the records of jobs that ended or moved away at least
// Retention ago.
func (r *Runner) expireRecords(now time.Time) {
	for _, j := range r.orderedJobs {
		isOld := (j.record.State.Final() || j.movedAway) && now.Sub(latest(j.record.Ended, j.record.Accepted)) >= r.Timing.Retention
		if isOld && !j.expired && j.isDurable() {
			j.expired = true
			r.markChanged(j, false, now)
		}
	}
}

// isOwnEpoch reports whether the value of the epoch key is this owner's epoch.
func (r *Runner) isOwnEpoch(value []byte) bool {
	return string(value) == strconv.FormatUint(uint64(r.Epoch), 10)
}

// BeginRelease begins a planned handover: no gang is placed any more, and the next exchange
// with each worker extends its leases to last until the next owner has taken over.
func (r *Runner) BeginRelease(now time.Time) {
	r.releasing = true
	for _, w := range r.orderedWorkers {
		w.handoverLeaseGiven = false
		w.exchangeNow(now)
	}
}

// Released reports whether all changes are recorded, no gang is starting or stopping, every
// responsive worker has got the handover lease and no exchange is in flight. A fenced runner
// counts as released.
func (r *Runner) Released() bool {
	if r.fenced {
		return true
	}
	c := &r.recorder
	if c.inFlight != nil || c.unconfirmed != nil || len(c.dirty) > 0 {
		return false
	}
	for _, g := range r.gangs {
		if g.state() != gangRunning {
			return false
		}
	}
	for _, w := range r.orderedWorkers {
		if w.inFlight != nil || (w.isClaimed() && !w.isUnresponsive && !w.handoverLeaseGiven) {
			return false
		}
	}
	return true
}
