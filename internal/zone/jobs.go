package zone

import (
	"fmt"
	"time"

	"github.com/chervilrun/chervilrun/internal/chart"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/store"
)

var jobChart = chart.Load("job")

// jobState is the runner's state of one job.
type jobState struct {
	record  job.Record
	key     string // store key of the record
	machine *chart.Machine
	gang    *gang
	// inEngine is true while the scheduling engine has the job.
	inEngine bool
	// needsReconciliation is true while tasks that an earlier owner started may be
	// running without having been reported to this owner.
	needsReconciliation bool
	// parked is true while the job waits outside the queue for the store to recover,
	// because its start can't be recorded.
	parked bool
	// retryAt is when the job is queued again after failed starts; zero if none is pending.
	retryAt time.Time
	// moveTo is the zone that the job's record is being moved to. nextMoveAt is the
	// earliest time of the next move after a failed one.
	moveTo     model.AvailabilityZoneID
	nextMoveAt time.Time
	// moveUnsettled is true after a failed move until the record has been written again in this
	// zone. Until then the write of the move may still take effect.
	moveUnsettled bool
	// movedAway is true once the job was moved to another zone. The forwarding record
	// that remains names that zone to callers.
	movedAway bool

	// lastExplainedWait is how long the job had waited at its latest JobDeferred event.
	lastExplainedWait time.Duration
	// expired is true once the record is due for deletion.
	expired bool

	taskFailures  int // attempts in which a task failed while the gang ran
	startFailures int // consecutive attempts in which not all tasks started

	version       int64          // increases with each change
	storedVersion int64          // latest version known to be in the store
	modRevision   store.Revision // store revision of the record; 0 before it exists
	isDirty       bool           // is in recorder.dirty
	mayBeStored   bool           // the first write of the record may have taken effect
	// hadLostWrite is true once the response to a write was lost. That write may still take
	// effect at any time, so a new job can no longer be reported as not run.
	hadLostWrite bool
	waiters      []waiter
}

// waiter is a caller that waits until a version of the record is durable or the job is
// refused.
type waiter struct {
	version int64
	done    Callback
}

// Callback receives the outcome of a submission or a cancellation.
type Callback func(outcome.Outcome, job.Record)

// submission is a job that was submitted before the records were loaded.
type submission struct {
	spec model.JobSpec
	done Callback
}

// revisionBits is the width of the change counter in Record.Revision; the epoch takes
// the bits above it.
const revisionBits = 24

func newJobState(record job.Record, key string) *jobState {
	return &jobState{record: record, key: key, machine: jobChart.Restore(string(record.State))}
}

func (j *jobState) id() model.JobID { return j.record.Spec.ID }

func (j *jobState) isDurable() bool { return j.storedVersion == j.version }

func (j *jobState) subject() event.Subject {
	return event.Subject{
		Job:          string(j.id()),
		Zone:         string(j.record.Zone),
		Organisation: string(j.record.Spec.Organisation),
	}
}

func (r *Runner) recordEvent(number event.Number, j *jobState, detail string) {
	r.Events.Record(number, j.subject(), detail)
}

// fire makes a transition of the job's state chart and marks its record as changed.
func (r *Runner) fire(j *jobState, transition string, urgent bool, now time.Time) {
	j.machine.Fire(transition)
	j.record.State = job.State(j.machine.State())
	r.markChanged(j, urgent, now)
}

func (r *Runner) markChanged(j *jobState, urgent bool, now time.Time) {
	j.version++
	r.changes++
	j.record.Epoch = r.Epoch
	j.record.Revision = int64(r.Epoch)<<revisionBits + j.version
	r.recorder.markDirty(j, urgent, now)
}

// Submit accepts or refuses a job. It calls done once the job's record is durable or the
// job is refused. Submit is idempotent: for a known job, done receives its record.
func (r *Runner) Submit(spec model.JobSpec, now time.Time, done Callback) {
	if !r.recorder.loaded {
		r.pendingSubmissions = append(r.pendingSubmissions, &submission{spec, done})
		return
	}
	if known := r.jobs[spec.ID]; known != nil {
		if known.movedAway {
			r.recorder.nextRescanAt = now // it may have been moved back to this zone
		}
		r.awaitDurable(known, done)
		return
	}
	if refusal, refused := r.refusal(spec, now); refused {
		r.Events.Record(event.JobRefused, event.Subject{Job: string(spec.ID), Zone: string(r.Zone)}, refusal.String())
		done(refusal, job.Record{})
		return
	}
	record := job.Record{Spec: spec, Zone: r.Zone, State: job.Queued, Accepted: now}
	j := newJobState(record, store.JobKey(r.Zone, spec.ID))
	r.jobs[spec.ID] = j
	r.orderedJobs = append(r.orderedJobs, j)
	r.markChanged(j, true, now)
	r.awaitDurable(j, done)
}

// refusal returns why a new job can't be accepted now.
func (r *Runner) refusal(spec model.JobSpec, now time.Time) (outcome.Outcome, bool) {
	switch {
	case r.fenced:
		return outcome.NotRunBecause(outcome.ReasonNoOwner, "zone %s has another owner", r.Zone), true
	case r.releasing:
		return outcome.NotRunBecause(outcome.ReasonDraining, "zone %s is being handed over", r.Zone), true
	case r.outOfService:
		return outcome.NotRunBecause(outcome.ReasonZoneOut, "zone %s is out of service", r.Zone), true
	case !r.recorder.isStoreUp:
		return outcome.NotRunBecause(outcome.ReasonStoreUnavailable, "the job can't be recorded"), true
	}
	if feasible := r.Engine.Enqueue(spec, now, now); feasible.Kind == outcome.NotRun {
		return feasible, true
	}
	// The job must not start before its record is durable; jobAccepted enqueues it then.
	r.Engine.Cancel(spec.ID)
	return outcome.Outcome{}, false
}

func (r *Runner) awaitDurable(j *jobState, done Callback) {
	if j.isDurable() {
		done(outcome.Outcome{Kind: outcome.Accepted}, j.record)
		return
	}
	j.waiters = append(j.waiters, waiter{j.version, done})
}

// jobAccepted is called when the record of a new job has become durable.
func (r *Runner) jobAccepted(j *jobState, now time.Time) {
	r.stats.Accepted++
	r.Metrics.Jobs.WithLabelValues(string(r.Zone), "accepted").Inc()
	r.recordEvent(event.JobAccepted, j, "")
	r.enqueue(j, now)
}

// enqueue adds a waiting job to the queue of the scheduling engine.
func (r *Runner) enqueue(j *jobState, now time.Time) {
	j.needsReconciliation = false
	j.parked = false
	j.retryAt = time.Time{}
	if j.record.Cancel {
		r.finishJob(j, job.Cancelled, outcome.NotRunBecause(outcome.ReasonCancelled, "cancelled by the caller"), now)
		return
	}
	refused := r.Engine.Enqueue(j.record.Spec, j.record.Accepted, now)
	if refused.Kind == outcome.NotRun {
		r.finishJob(j, job.Failed, refused, now)
		return
	}
	j.inEngine = true
}

// rejectUnrecorded refuses a new job whose record is certain not to be in the store.
func (r *Runner) rejectUnrecorded(j *jobState, refusal outcome.Outcome) {
	delete(r.jobs, j.id())
	r.removeFromOrder(j)
	for _, w := range j.waiters {
		w.done(refusal, job.Record{})
	}
	j.waiters = nil
	r.recordEvent(event.JobRefused, j, refusal.String())
}

func (r *Runner) removeFromOrder(j *jobState) {
	for i, other := range r.orderedJobs {
		if other == j {
			r.orderedJobs = append(r.orderedJobs[:i], r.orderedJobs[i+1:]...)
			return
		}
	}
}

// Cancel cancels a job of the organisation and calls done once the cancellation is
// durable. It returns false if there is no such job.
func (r *Runner) Cancel(id model.JobID, organisation model.OrganisationID, now time.Time, done Callback) bool {
	j := r.jobs[id]
	if j == nil || j.movedAway || (organisation != "" && j.record.Spec.Organisation != organisation) {
		return false
	}
	if j.moveTo != "" || j.moveUnsettled {
		refusal := outcome.NotRunBecause(outcome.ReasonConflict, "the job is being moved to another zone; cancel it again")
		done(refusal, j.record)
		return true
	}
	if !j.record.State.Final() && !j.record.Cancel {
		j.record.Cancel = true
		r.markChanged(j, true, now)
		r.cancelJob(j, now)
	}
	r.awaitDurable(j, done)
	return true
}

func (r *Runner) cancelJob(j *jobState, now time.Time) {
	result := outcome.NotRunBecause(outcome.ReasonCancelled, "cancelled by the caller")
	switch {
	case j.gang != nil:
		r.stopGang(j.gang, stop{cause: stopCancelled}, now)
	case j.needsReconciliation || j.storedVersion == 0:
		// The job ends after its reconciliation, or once its record is durable.
	default:
		if j.inEngine {
			r.Engine.Cancel(j.id())
			j.inEngine = false
		}
		r.finishJob(j, job.Cancelled, result, now)
	}
}

// finishJob ends a job with the given final state and outcome.
func (r *Runner) finishJob(j *jobState, state job.State, result outcome.Outcome, now time.Time) {
	transitions := map[job.State]string{job.Done: "finish", job.Failed: "fail", job.Cancelled: "cancel"}
	numbers := map[job.State]event.Number{job.Done: event.JobDone, job.Failed: event.JobFailed, job.Cancelled: event.JobCancelled}
	j.record.Outcome = result
	j.record.Ended = now
	j.record.Placement = nil
	j.record.Checkpoints = nil
	j.record.Spec.Payload = nil
	j.moveTo = ""
	j.needsReconciliation = false
	j.parked = false
	j.retryAt = time.Time{}
	r.fire(j, transitions[state], true, now)
	r.stats.Finished++
	r.Metrics.Jobs.WithLabelValues(string(r.Zone), string(state)).Inc()
	r.recordEvent(numbers[state], j, result.String())
}

// finalState returns the final state of a job with the given outcome.
func finalState(o outcome.Outcome) job.State {
	switch {
	case o.Kind == outcome.Done:
		return job.Done
	case o.Reason == outcome.ReasonCancelled:
		return job.Cancelled
	}
	return job.Failed
}

// Lookup returns the record of a job.
func (r *Runner) Lookup(id model.JobID) (job.Record, bool) {
	j := r.jobs[id]
	if j == nil || j.movedAway || (j.storedVersion == 0 && !j.record.State.Final()) {
		return job.Record{}, false
	}
	return j.record, true
}

// IsAbsent reports whether the zone certainly has no job that Lookup does not find: all records have
// been read, and the job was not moved to a zone whose owner may not have read it yet.
func (r *Runner) IsAbsent(id model.JobID) bool {
	j := r.jobs[id]
	return r.recorder.loaded && (j == nil || !j.movedAway)
}

// Limits on the JobDeferred events.
const (
	explainInterval        = time.Second
	firstExplanationAfter  = time.Second
	maxExplanationsPerPass = 50
)

// explainWaiting records a JobDeferred event with the reason for each waiting job: the
// first after firstExplanationAfter, and another each time that the wait has doubled.
func (r *Runner) explainWaiting(now time.Time) {
	explained := 0
	for _, j := range r.orderedJobs {
		waited := now.Sub(j.record.Accepted)
		isWaiting := (j.record.State == job.Queued || j.needsReconciliation) && !j.movedAway
		if !isWaiting || waited < max(firstExplanationAfter, 2*j.lastExplainedWait) {
			continue
		}
		j.lastExplainedWait = waited
		r.recordEvent(event.JobDeferred, j, r.Explain(j.id(), now))
		if explained++; explained == maxExplanationsPerPass {
			return
		}
	}
}

// Explain returns the reason why a job waits, or "" if it does not wait.
func (r *Runner) Explain(id model.JobID, now time.Time) string {
	j := r.jobs[id]
	switch {
	case j == nil:
		return ""
	case j.needsReconciliation:
		return "an earlier owner may have started it; the workers are being asked"
	case j.record.State != job.Queued:
		return ""
	case j.parked:
		return "it may run once only, and its start can't be recorded while the store is down"
	case !j.retryAt.IsZero():
		return fmt.Sprintf("%d starts failed; the next is tried in %s", j.startFailures, j.retryAt.Sub(now).Round(time.Second))
	case j.moveTo != "":
		return "it is being moved to zone " + string(j.moveTo)
	case j.inEngine:
		return r.Engine.Explain(id, now)
	}
	return "it is being recorded"
}
