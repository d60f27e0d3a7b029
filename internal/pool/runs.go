package pool

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// assign assigns a piece to the workers of a placement and stops the runs that it evicts.
func (o *Owner) assign(placement plan.Placement) {
	p := o.pieces[placement.Piece]
	o.fire(p, "claim")
	p.run++
	p.placedAt, p.runningSince = o.now, time.Time{}
	p.members = nil
	for index, id := range placement.Workers {
		p.members = append(p.members, &member{piece: p, index: index, run: p.run, workerID: id, share: fullShare})
		w := o.workers.getOrZero(id)
		w.assigned = w.assigned.Add(p.step.spec.Demand())
	}
	p.assignmentVersion = o.markChanged(p.job)
	o.assigned = append(o.assigned, p)
	for _, id := range placement.Evict {
		victim := o.pieces[id]
		o.noteReclaim(p, victim)
		o.emit(event.JobPreempted, event.Subject{Job: string(victim.job.id())}, event.Fields{
			"piece": victim.key, "run": victim.run, "for": string(p.id),
			"organisation": string(p.job.record.Organisation),
		})
		o.stopPiece(victim, "guarantee")
	}
}

// releaseAssignment releases the assigned resources of a piece.
func (o *Owner) releaseAssignment(p *piece) {
	for _, m := range p.members {
		if w, ok := o.workers.get(m.workerID); ok && m.phase == memberAssigned {
			w.assigned = w.assigned.Sub(m.demand())
		}
	}
}

// unassign undoes an assignment before any order is sent. The run number is not reused.
func (o *Owner) unassign(p *piece) {
	o.releaseAssignment(p)
	o.fire(p, "unclaim")
	p.members = nil
	o.markChanged(p.job)
	o.planNeeded = true
}

// startAssigned starts the assigned pieces whose assignment is recorded and whose resources
// are free, and undoes assignments that have become invalid or waited too long.
func (o *Owner) startAssigned(gate Gate) {
	remaining := o.assigned[:0:0]
	for _, p := range o.assigned {
		switch {
		case p.state() != pieceAssigned:
		case p.job.isTerminal() || !o.workersUsable(p):
			o.unassign(p)
		case o.now.Sub(p.placedAt) > o.timing.AssignmentTimeout:
			o.unassign(p)
		case gate.MayStart && p.job.recordedVersion >= p.assignmentVersion && o.resourcesFree(p):
			o.queueStarts(p)
		default:
			remaining = append(remaining, p)
		}
	}
	o.assigned = remaining
	if len(remaining) > 0 {
		o.wakeAt(o.now.Add(o.timing.PlanInterval))
	}
}

func (o *Owner) workersUsable(p *piece) bool {
	for _, m := range p.members {
		w, ok := o.workers.get(m.workerID)
		if !ok || !w.usable(&o.policy) {
			return false
		}
	}
	return true
}

// resourcesFree reports whether the resources for every member are free.
func (o *Owner) resourcesFree(p *piece) bool {
	demands := map[model.WorkerID]model.Resources{}
	for _, m := range p.members {
		demands[m.workerID] = demands[m.workerID].Add(m.demand())
	}
	for id, resources := range demands {
		if !resources.Fits(o.workers.getOrZero(id).free()) {
			return false
		}
	}
	return true
}

func (o *Owner) queueStarts(p *piece) {
	o.releaseAssignment(p)
	o.fire(p, "send")
	if !p.job.started {
		p.job.started = true
		if p.job.state == workflow.Queued {
			p.job.state = workflow.Running
		}
	}
	for _, m := range p.members {
		w := o.workers.getOrZero(m.workerID)
		m.phase = memberStarting
		m.startDue = true
		w.admit(m)
	}
	o.emit(event.JobStarting, event.Subject{Job: string(p.job.id())}, event.Fields{
		"piece": p.key, "run": p.run, "workers": workerNames(p.members), "resumes": p.checkpoint != "",
		"waited_ms": o.now.Sub(p.readySince).Milliseconds(),
	})
}

func workerNames(members []*member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, string(m.workerID))
	}
	return names
}

// checkAllStarted marks the piece as running once every member runs.
func (o *Owner) checkAllStarted(p *piece) {
	for _, m := range p.members {
		if m.phase != memberRunning {
			return
		}
	}
	o.fire(p, "all_started")
	p.runningSince = o.now
}

// stopPiece stops the run of a piece, if it has one.
func (o *Owner) stopPiece(p *piece, reason string) {
	switch p.state() {
	case pieceAssigned:
		o.unassign(p)
		return
	case pieceStarting, pieceRunning:
		o.fire(p, "stop")
		o.emit(event.RunStopping, event.Subject{Job: string(p.job.id())}, event.Fields{"piece": p.key, "run": p.run, "why": reason})
	case pieceStopping, pieceRecovering:
	default:
		return
	}
	for _, m := range p.members {
		if m.exists() {
			m.stopping = true
			o.markOrdersDue(m)
		}
	}
	o.requeueIfGone(p)
}

// memberEnded handles the end of a member; unless it is done, the whole run is stopped.
func (o *Owner) memberEnded(m *member, cause EndCause, checkpoint, reason string) {
	if m.phase == memberGone {
		return
	}
	if w, ok := o.workers.get(m.workerID); ok {
		w.release(m)
	}
	o.markGone(m)
	m.cause = cause
	o.planNeeded = true
	p := m.piece
	if m.run != p.run || p.finished() {
		return
	}
	if checkpoint != "" {
		p.checkpoint = checkpoint
	}
	o.emit(event.TaskEnded, event.Subject{Job: string(p.job.id()), Worker: string(m.workerID)}, event.Fields{
		"task": string(m.key().Task), "run": m.run, "cause": string(cause), "why": reason, "saved": checkpoint != "",
	})
	if cause == EndDone {
		o.finishPiece(p)
		return
	}
	if cause == EndFailed {
		o.countFailure(p, m)
	}
	o.markChanged(p.job)
	o.stopPiece(p, "part_"+string(cause))
}

// markGone marks a member as not existing.
func (o *Owner) markGone(m *member) {
	m.phase = memberGone
	o.invalidatePlanRun(m.piece)
}

// countFailure counts a failed run once, however many of its members failed.
func (o *Owner) countFailure(p *piece, m *member) {
	if p.failedRun == p.run {
		return
	}
	p.failedRun = p.run
	p.failures++
	if !p.step.spec.LongRunning && p.failures >= p.job.queue.MaxAttempts && !p.job.isTerminal() {
		o.failJob(p.job, p)
	}
	o.recordWorkerFailure(p, m.workerID)
}

// recordWorkerFailure counts a failure for the quarantine of the worker and makes the piece
// avoid it.
func (o *Owner) recordWorkerFailure(p *piece, id model.WorkerID) {
	if p.avoidedWorkers == nil {
		p.avoidedWorkers = map[model.WorkerID]bool{}
	}
	p.avoidedWorkers[id] = true
	if o.quarantine.RecordFailure(id, p.job.id(), o.now) {
		o.emit(event.WorkerQuarantined, event.Subject{Worker: string(id), Job: string(p.job.id())}, event.Fields{"piece": p.key})
	}
}

func (o *Owner) failJob(j *job, p *piece) {
	o.emit(event.JobFailed, event.Subject{Job: string(j.id())}, event.Fields{"piece": p.key, "failures": p.failures, "attempts": j.queue.MaxAttempts})
	o.finishJob(j, workflow.Failed)
	o.stopJob(j)
}

// requeueIfGone requeues a stopping piece once no member of its run exists.
func (o *Owner) requeueIfGone(p *piece) {
	if p.state() == pieceRecovering {
		o.resolveRecovery(p)
		return
	}
	if p.state() != pieceStopping {
		return
	}
	for _, m := range p.members {
		if m.phase != memberGone {
			return
		}
	}
	o.fire(p, "requeue")
	p.members = nil
	p.readySince = o.now
	o.markChanged(p.job)
	o.planNeeded = true
	if !p.job.isTerminal() {
		o.emit(event.JobRequeued, event.Subject{Job: string(p.job.id())}, event.Fields{"piece": p.key, "run": p.run, "failures": p.failures, "resumes": p.checkpoint != ""})
	}
}

// finishPiece marks a piece as done. A long-running one is restarted instead.
func (o *Owner) finishPiece(p *piece) {
	if p.step.spec.LongRunning {
		o.markChanged(p.job)
		o.stopPiece(p, "long_running_ended")
		return
	}
	if p.state() == pieceAssigned {
		o.releaseAssignment(p)
	}
	o.fire(p, "finish")
	o.markChanged(p.job)
	o.planNeeded = true
	for _, m := range p.members {
		if m.phase == memberRunning {
			o.workerOf(m).nextHold = o.now
		}
	}
	if p.job.isTerminal() {
		return
	}
	p.step.piecesLeft--
	if p.step.piecesLeft > 0 {
		return
	}
	p.occurrence.stepsLeft--
	p.occurrence.markReadySteps(o.now)
	o.closeIfDone(p.job, p.occurrence)
}

// closeIfDone closes an occurrence once all of its steps are done, and completes the job
// with the last occurrence.
func (o *Owner) closeIfDone(j *job, occurrence *occurrence) {
	if occurrence.stepsLeft > 0 {
		return
	}
	for _, s := range occurrence.steps {
		for _, p := range s.pieces {
			o.removePiece(p)
		}
	}
	j.closeOccurrence(occurrence)
	o.markChanged(j)
	if len(j.closedOccurrences) == j.occurrenceCount() && !j.isTerminal() {
		o.finishJob(j, workflow.Completed)
		fields := event.Fields{"took_ms": o.now.Sub(j.record.Accepted).Milliseconds()}
		if objective := j.objective(occurrence); !objective.IsZero() {
			fields["objective_ms"] = objective.Sub(j.record.Accepted).Milliseconds()
		}
		o.emit(event.JobDone, event.Subject{Job: string(j.id())}, fields)
	}
}

func (o *Owner) workerOf(m *member) *worker { return o.workers.getOrZero(m.workerID) }

// markOrdersDue marks that there may be an order to send to the member's worker.
func (o *Owner) markOrdersDue(m *member) {
	if w, ok := o.workers.get(m.workerID); ok {
		w.ordersDue = true
	}
}

// stillRecovering lists the pieces that are still in recovery.
func (o *Owner) stillRecovering() []*piece {
	o.recoveringPieces = slices.DeleteFunc(o.recoveringPieces, func(p *piece) bool { return p.state() != pieceRecovering })
	return slices.Clone(o.recoveringPieces)
}

// resolveRecovery decides on a recorded run once each of its workers has answered or its
// lease has expired: a complete run is kept, an incomplete one is stopped.
func (o *Owner) resolveRecovery(p *piece) {
	running := 0
	for _, m := range p.members {
		switch m.phase {
		case memberUnverified:
			return
		case memberRunning:
			running++
		}
	}
	if p.state() != pieceRecovering {
		return
	}
	if running == len(p.members) && !p.job.isTerminal() {
		o.fire(p, "adopt")
		p.runningSince, p.placedAt = o.now, o.now
		o.emit(event.JobAdopted, event.Subject{Job: string(p.job.id())}, event.Fields{"piece": p.key, "run": p.run, "workers": workerNames(p.members)})
		o.planNeeded = true
		return
	}
	o.fire(p, "stop")
	for _, m := range p.members {
		m.stopping = m.exists()
		o.markOrdersDue(m)
	}
	o.requeueIfGone(p)
}
