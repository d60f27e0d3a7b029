package scheduler

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/usage"
)

// minHealthyRun is how long a stopped gang must have run to count as a success of its workers.
const minHealthyRun = time.Minute

// Enqueue adds an accepted job, or refuses one that can never run here.
func (e *ZoneEngine) Enqueue(spec model.JobSpec, accepted, now time.Time) outcome.Outcome {
	e.now = now
	if _, known := e.gangs[spec.ID]; known {
		return outcome.Outcome{Kind: outcome.Accepted}
	}
	if refusal, refused := e.infeasible(spec); refused {
		return refusal
	}
	g := e.addGang(spec, accepted)
	e.mix.Observe(spec.Shape)
	e.queue.Add(g)
	e.deadlines.add(g)
	e.checkInvariants()
	return outcome.Outcome{Kind: outcome.Accepted}
}

func (e *ZoneEngine) addGang(spec model.JobSpec, accepted time.Time) *cache.Gang {
	e.sequence++
	g := &cache.Gang{
		Spec:     spec,
		Shape:    e.placementShape(spec),
		Accepted: accepted,
		Sequence: e.sequence,
	}
	e.gangs[spec.ID] = g
	return g
}

// Adopt adds a job all of whose tasks were found running with this placement. Guarantee
// instances held on the same resources are moved, or become unmet.
func (e *ZoneEngine) Adopt(spec model.JobSpec, placement model.Placement, accepted, now time.Time) {
	e.now = now
	if _, known := e.gangs[spec.ID]; known {
		return
	}
	g := e.addGang(spec, accepted)
	g.Shape = spec.Shape
	g.State = cache.Running
	g.Parts = e.partsOf(placement)
	g.Placed, g.Started = now, now
	e.coverAdopted(g)
	e.addToAccounts(g, 1)
	for _, part := range g.Parts {
		part.Worker.Place(g, part.Tasks)
	}
	for _, part := range g.Parts {
		e.releaseOvercommitted(part.Worker)
	}
	e.placementStale = true
	e.checkInvariants()
}

func (e *ZoneEngine) partsOf(placement model.Placement) []cache.Part {
	var parts []cache.Part
	for _, id := range placement {
		w := e.pool.Ensure(id)
		i := slices.IndexFunc(parts, func(part cache.Part) bool { return part.Worker == w })
		if i < 0 {
			parts = append(parts, cache.Part{Worker: w, Tasks: 1})
			continue
		}
		parts[i].Tasks++
	}
	return parts
}

// Cancel removes a job that has not been started. It returns false if it has been.
func (e *ZoneEngine) Cancel(job model.JobID) bool {
	g, ok := e.gangs[job]
	if !ok {
		return true
	}
	switch g.State {
	case cache.Queued:
		e.queue.Remove(g)
	case cache.Claiming:
		e.releaseClaim(g)
	default:
		return false
	}
	e.removeGang(g)
	e.checkInvariants()
	return true
}

// removeGang forgets a job that has ended.
func (e *ZoneEngine) removeGang(g *cache.Gang) {
	delete(e.gangs, g.Spec.ID)
	delete(e.overuseByJob, g.Spec.ID)
	e.dropReservation(g)
	e.stateVersion++
}

// Started says that every task of the gang has confirmed its start.
func (e *ZoneEngine) Started(job model.JobID, now time.Time) {
	e.now = now
	g, ok := e.gangs[job]
	if !ok {
		return
	}
	if g.State == cache.Starting {
		g.State = cache.Running
	}
	g.Started = now
}

// Stopped says that no task of the gang runs any more.
func (e *ZoneEngine) Stopped(job model.JobID, cause StopCause, requeue bool, blamed []model.WorkerID, now time.Time) {
	e.now = now
	g, ok := e.gangs[job]
	if !ok || g.State == cache.Queued {
		return
	}
	e.recordWorkerOutcomes(g, cause, blamed)
	e.releasePlacement(g)
	g.Started = time.Time{}
	if requeue {
		e.requeue(g)
	} else {
		e.removeGang(g)
	}
	e.checkInvariants()
}

// releasePlacement frees the gang's resources, or its claim.
func (e *ZoneEngine) releasePlacement(g *cache.Gang) {
	if g.State == cache.Claiming {
		e.releaseClaim(g)
	} else {
		e.removeFromWorkers(g)
	}
	e.placementStale = e.placementStale || e.hasUnmet
}

// requeue returns the gang to its earlier position in the queue.
func (e *ZoneEngine) requeue(g *cache.Gang) {
	g.State = cache.Queued
	g.Shape = e.placementShape(g.Spec)
	e.queue.Add(g)
	e.deadlines.add(g)
}

// Finished says that every task of the gang has finished.
func (e *ZoneEngine) Finished(job model.JobID, now time.Time) {
	e.now = now
	g, ok := e.gangs[job]
	if !ok || g.State == cache.Queued {
		return
	}
	if !g.Started.IsZero() {
		e.estimator.AddRunTime(usage.KeyOf(g.Spec), now.Sub(g.Started))
	}
	for _, part := range g.Parts {
		e.quarantine.RecordSuccess(part.Worker.ID, g.Spec.ID)
	}
	e.releasePlacement(g)
	e.removeGang(g)
	e.checkInvariants()
}

// recordWorkerOutcomes records a failure of each blamed worker if a start or a task failed.
// Otherwise, unless a worker was lost, it records a success of each worker of a gang that
// ran for minHealthyRun.
func (e *ZoneEngine) recordWorkerOutcomes(g *cache.Gang, cause StopCause, blamed []model.WorkerID) {
	if cause == StoppedNotStarted || cause == StoppedFailed {
		for _, id := range blamed {
			e.recordWorkerFailure(g, id)
		}
		return
	}
	ranWell := !g.Started.IsZero() && e.now.Sub(g.Started) >= minHealthyRun
	if ranWell && cause != StoppedWorkerLost {
		for _, part := range g.Parts {
			e.quarantine.RecordSuccess(part.Worker.ID, g.Spec.ID)
		}
	}
}

func (e *ZoneEngine) recordWorkerFailure(g *cache.Gang, id model.WorkerID) {
	if g.AvoidWorkers == nil {
		g.AvoidWorkers = make(map[model.WorkerID]bool)
	}
	g.AvoidWorkers[id] = true
	if !e.quarantine.RecordFailure(id, g.Spec.ID, e.now) {
		return
	}
	if w, ok := e.pool.Worker(id); ok && !w.Quarantined {
		w.Quarantined = true
		e.abandonUnschedulableClaims()
		e.placementStale = true
	}
	e.nextQuarantineEnd = e.quarantine.NextEnd(e.now)
}
