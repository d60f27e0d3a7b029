package zone

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/scheduler"
)

// Limits on attempts, which end a job that fails on all workers.
const (
	// MaxTaskFailures is the number of attempts after which a job ends, counting those in
	// which a task failed, or used too much memory, while its gang ran.
	MaxTaskFailures = 3
	// MaxStartFailures is the number of consecutive attempts without a start of all tasks
	// after which a job ends.
	MaxStartFailures = 20
	// retryMin and retryMax limit the delay before the next start, from the second
	// consecutive failure on.
	retryMin = 500 * time.Millisecond
	retryMax = 30 * time.Second
)

// gangStopped requeues, parks or ends a job whose gang is confirmed to have stopped.
func (r *Runner) gangStopped(g *gang, now time.Time) {
	j := g.job
	j.keepCheckpoints(g)
	j.countFailure(g)
	result, final := j.outcomeAfterStop(g)
	cause := g.engineCause()
	delay := max(j.retryDelay(), r.crashDelay(j))
	requeue := !final && delay == 0 && !r.mustPark(g)
	if g.inEngine {
		r.Engine.Stopped(j.id(), cause, requeue, g.faultyWorkers, now)
	}
	j.inEngine = g.inEngine && requeue
	j.record.Placement, j.record.Incarnations = nil, nil
	if final {
		r.finishJob(j, finalState(result), result, now)
		return
	}
	if !g.mayHaveRun() {
		j.record.Attempts--
	}
	r.fire(j, "requeue", false, now)
	r.recordEvent(event.JobRequeued, j, string(cause))
	switch {
	case j.inEngine:
	case r.mustPark(g):
		j.parked = true
	case delay > 0:
		j.retryAt = now.Add(delay)
	default:
		r.enqueue(j, now)
	}
}

// retryDelay returns how long a job waits after failed starts. Other jobs are placed on
// the workers in the meantime, which shows whether the job or its workers are at fault.
func (j *jobState) retryDelay() time.Duration {
	if j.startFailures < 2 {
		return 0
	}
	delay := retryMin << min(j.startFailures-2, 10)
	return min(delay, retryMax)
}

// retryStarts queues the jobs whose retry delay has passed.
func (r *Runner) retryStarts(now time.Time) {
	for _, j := range r.orderedJobs {
		if !j.retryAt.IsZero() && !now.Before(j.retryAt) {
			r.enqueue(j, now)
		}
	}
}

// mustPark reports whether the start failed because it could not be recorded. The job
// then waits outside the queue, so that it occupies no workers.
func (r *Runner) mustPark(g *gang) bool {
	return g.intentVersion != 0 && g.job.storedVersion < g.intentVersion && !r.recorder.isStoreUp
}

// park removes a job from the scheduling engine because its start can't be recorded.
func (r *Runner) park(j *jobState, now time.Time) {
	r.Engine.Stopped(j.id(), scheduler.StoppedNotStarted, false, nil, now)
	j.inEngine = false
	j.parked = true
}

// unpark queues the parked jobs.
func (r *Runner) unpark(now time.Time) {
	for _, j := range r.orderedJobs {
		if j.parked {
			r.enqueue(j, now)
		}
	}
}

// keepCheckpoints records the checkpoints that were saved during the stop, if complete.
// Otherwise the record keeps the last complete round.
func (j *jobState) keepCheckpoints(g *gang) {
	if g.isResumable() {
		j.record.Checkpoints = g.checkpoints()
	}
}

func (j *jobState) countFailure(g *gang) {
	switch {
	case g.stop.reason == outcome.ReasonMemoryOverDeclared:
		j.taskFailures++
	case g.stop.cause == stopTaskFailed && g.wasFullyStarted:
		j.taskFailures++
	case g.stop.cause == stopPreempted || g.stop.cause == stopCancelled:
	case g.wasFullyStarted:
		j.startFailures = 0
	case g.mayHaveRun():
		j.startFailures++
	}
}

// mayHaveRun reports whether any task of the attempt may have run.
func (g *gang) mayHaveRun() bool {
	for _, t := range g.tasks {
		if t.hasRun || (t.mayHaveStarted && !t.ended()) {
			return true
		}
	}
	return false
}

// isResumable reports whether the state of every task was saved during the stop.
func (g *gang) isResumable() bool { return g.stop.checkpoint && g.isRoundSaved() }

// outcomeAfterStop returns the outcome of a job that must not run again after its gang
// has stopped, or false if it may.
func (j *jobState) outcomeAfterStop(g *gang) (outcome.Outcome, bool) {
	spec := j.record.Spec
	reason := g.stop.reason
	if reason == outcome.ReasonNone {
		reason = outcome.ReasonWorkerLost
	}
	mayRepeat := spec.Repeatable || !g.mayHaveRun() || (spec.Checkpoint && g.isResumable())
	switch {
	case j.record.Cancel && g.mayHaveRun():
		return outcome.UnknownBecause(outcome.ReasonCancelled, "cancelled by the caller after it had started"), true
	case j.record.Cancel:
		return outcome.NotRunBecause(outcome.ReasonCancelled, "cancelled by the caller"), true
	case g.stop.cause == stopPermanent:
		return outcome.UnknownBecause(reason, "stopped: %s", g.stop.detail), true
	case !mayRepeat:
		return outcome.UnknownBecause(reason, "attempt %s may have run partially, and the job may not be repeated", g.attempt), true
	case j.record.Crashes.GivesUp():
		return outcomeOfCrashes(j), true
	case j.taskFailures >= MaxTaskFailures:
		return outcome.UnknownBecause(reason, "%d attempts failed after all tasks had started", j.taskFailures), true
	case j.startFailures >= MaxStartFailures:
		return outcome.UnknownBecause(reason, "%d attempts failed to start all tasks", j.startFailures), true
	}
	return outcome.Outcome{}, false
}

// outcomeOfCrashes is the outcome of a job that is given up because it crashes its workers.
func outcomeOfCrashes(j *jobState) outcome.Outcome {
	return outcome.UnknownBecause(outcome.ReasonWorkerLost, "%d workers crashed under it", j.record.Crashes.Crashes)
}

func (g *gang) engineCause() scheduler.StopCause {
	switch g.stop.cause {
	case stopWorkerLost:
		return scheduler.StoppedWorkerLost
	case stopTaskFailed:
		return scheduler.StoppedFailed
	case stopCancelled:
		return scheduler.StoppedCancelled
	case stopPreempted, stopPermanent:
		return scheduler.StoppedPreempted
	}
	return scheduler.StoppedNotStarted
}

// reconcileJobs queues or ends the jobs of earlier owners once every task that may still
// run is known.
func (r *Runner) reconcileJobs(now time.Time) {
	if !r.recorder.loaded || !r.reconciliationPending || !r.isPoolReconciled(now) {
		return
	}
	r.reconciliationPending = false
	for _, j := range append([]*jobState(nil), r.orderedJobs...) {
		switch {
		case !j.needsReconciliation:
		case j.gang != nil || r.hasDiscoveredTasks(j.id()):
			r.reconciliationPending = true
		default:
			r.reconcileJob(j, now)
		}
	}
}

// reconcileJob queues or ends a job of an earlier owner of which no task runs.
func (r *Runner) reconcileJob(j *jobState, now time.Time) {
	j.needsReconciliation = false
	r.countRecordedCrashes(j, now)
	j.record.Placement, j.record.Incarnations = nil, nil
	if j.record.Crashes.GivesUp() {
		r.finishJob(j, job.Failed, outcomeOfCrashes(j), now)
		return
	}
	if !j.record.Spec.Repeatable && j.record.Attempts > 0 && !j.isCheckpointed() {
		lost := outcome.UnknownBecause(outcome.ReasonWorkerLost, "attempt %s may have run, and no worker reports it", j.record.Attempt)
		r.finishJob(j, job.Failed, lost, now)
		return
	}
	if j.record.State != job.Queued {
		if j.record.State == job.Running {
			r.fire(j, "stop", false, now)
		}
		r.fire(j, "requeue", false, now)
		r.recordEvent(event.JobRequeued, j, "no worker is running it")
	}
	r.enqueue(j, now)
}

// isCheckpointed reports whether the record shows that the last attempt was stopped
// with checkpoints.
func (j *jobState) isCheckpointed() bool {
	return j.record.State == job.Queued && j.record.Spec.Checkpoint && len(j.record.Checkpoints) > 0
}
