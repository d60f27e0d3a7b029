package pool

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool/evidence"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// assign assigns a task group to the workers of a placement and stops the runs that it evicts.
func (o *Owner) assign(placement plan.Placement) {
	g := o.taskGroups[placement.TaskGroup]
	o.fire(g, "claim")
	g.run++
	g.placedAt, g.runningSince = o.now, time.Time{}
	g.members = nil
	for index, id := range placement.Workers {
		g.members = append(g.members, &member{group: g, index: index, run: g.run, workerID: id, incarnation: o.incarnationOf(id), share: fullShare})
		w := o.workers.getOrZero(id)
		w.assigned = w.assigned.Add(g.step.spec.Demand())
	}
	g.assignmentVersion = o.markChanged(g)
	o.assigned = append(o.assigned, g)
	for _, id := range placement.Evict {
		victim := o.taskGroups[id]
		o.countReclaim(g, victim)
		o.emit(event.JobPreempted, event.Subject{Job: string(victim.job.id())}, event.Fields{
			"piece": victim.key, "run": victim.run, "for": string(g.id),
			"organisation": string(g.job.record.Organisation),
		})
		o.stopTaskGroup(victim, "guarantee")
	}
}

// releaseAssignment releases the assigned resources of a task group.
func (o *Owner) releaseAssignment(g *taskGroup) {
	for _, m := range g.members {
		if w, ok := o.workers.get(m.workerID); ok && m.phase == memberAssigned {
			w.assigned = w.assigned.Sub(m.demand())
		}
	}
}

// unassign undoes an assignment before any start order is sent. The run number is not reused.
func (o *Owner) unassign(g *taskGroup) {
	o.releaseAssignment(g)
	o.fire(g, "unclaim")
	g.members = nil
	o.markChanged(g)
	o.planNeeded = true
}

// startAssigned starts the assigned task groups whose assignment is recorded and whose
// resources are free, and undoes assignments that have become invalid or waited too long.
func (o *Owner) startAssigned(gate Gate) {
	remaining := o.assigned[:0:0]
	for _, g := range o.assigned {
		switch {
		case g.state() != taskGroupAssigned:
		case g.job.isTerminal() || !o.workersUsable(g) || !o.hasValidTickets(g):
			o.unassign(g)
		case o.now.Sub(g.placedAt) > o.timing.AssignmentTimeout:
			o.unassign(g)
		case gate.MayStart && g.job.recordedVersion >= g.assignmentVersion && o.resourcesFree(g):
			o.queueStarts(g)
		default:
			remaining = append(remaining, g)
		}
	}
	o.assigned = remaining
	if len(remaining) > 0 {
		o.wakeAt(o.now.Add(o.timing.PlanInterval))
	}
}

func (o *Owner) workersUsable(g *taskGroup) bool {
	for _, m := range g.members {
		w, ok := o.workers.get(m.workerID)
		if !ok || !w.usable(&o.policy) || w.Incarnation != m.incarnation {
			return false
		}
	}
	return true
}

// resourcesFree reports whether the resources for every member are free.
func (o *Owner) resourcesFree(g *taskGroup) bool {
	demands := map[model.WorkerID]model.Resources{}
	for _, m := range g.members {
		demands[m.workerID] = demands[m.workerID].Add(m.demand())
	}
	for id, resources := range demands {
		if !resources.Fits(o.workers.getOrZero(id).free()) {
			return false
		}
	}
	return true
}

func (o *Owner) queueStarts(g *taskGroup) {
	o.releaseAssignment(g)
	o.fire(g, "send")
	g.job.placed = true
	for _, m := range g.members {
		w := o.workers.getOrZero(m.workerID)
		m.phase = memberStarting
		m.startDue = true
		w.admit(m)
	}
	o.emit(event.JobStarting, event.Subject{Job: string(g.job.id())}, event.Fields{
		"piece": g.key, "run": g.run, "workers": workerNames(g.members), "resumes": g.checkpoint != "",
		"waited_ms": o.now.Sub(g.readySince).Milliseconds(),
	})
}

func workerNames(members []*member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, string(m.workerID))
	}
	return names
}

// checkAllStarted marks the task group as running once every member runs.
func (o *Owner) checkAllStarted(g *taskGroup) {
	for _, m := range g.members {
		if m.phase != memberRunning {
			return
		}
	}
	o.fire(g, "all_started")
	g.runningSince = o.now
}

// stopTaskGroup stops the run of a task group, if it has one.
func (o *Owner) stopTaskGroup(g *taskGroup, reason string) {
	switch g.state() {
	case taskGroupAssigned:
		o.unassign(g)
		return
	case taskGroupStarting, taskGroupRunning:
		o.fire(g, "stop")
		o.emit(event.RunStopping, event.Subject{Job: string(g.job.id())}, event.Fields{"piece": g.key, "run": g.run, "why": reason})
	case taskGroupStopping, taskGroupRecovering:
	default:
		return
	}
	for _, m := range g.members {
		if m.exists() {
			m.stopping = true
			o.markOrdersDue(m)
		}
	}
	o.requeueIfGone(g)
}

// memberEnded handles the proven end of a member. The members of a gang are done together, so the
// first one that is done finishes the task group; any other end stops the whole run.
func (o *Owner) memberEnded(m *member, cause EndCause, checkpoint string, proof evidence.Proof) {
	if m.phase == memberGone {
		return
	}
	if w, ok := o.workers.get(m.workerID); ok {
		w.release(m)
	}
	o.markGone(m)
	m.cause = cause
	o.planNeeded = true
	g := m.group
	if m.run != g.run || g.finished() {
		return
	}
	if checkpoint != "" {
		o.keepCheckpoint(g, checkpoint)
	}
	o.emitEnd(m, cause, checkpoint, proof)
	if state := g.state(); state == taskGroupStarting || state == taskGroupRunning {
		g.noteEnd(o.now)
	}
	if cause == EndDone {
		o.finishTaskGroup(g)
		return
	}
	if cause == EndFailed {
		o.countFailure(g, m)
	}
	o.markChanged(g)
	o.stopTaskGroup(g, "part_"+string(cause))
}

// emitEnd logs the end of a member, with the state of its worker if the worker hasn't listed it.
func (o *Owner) emitEnd(m *member, cause EndCause, checkpoint string, proof evidence.Proof) {
	fields := event.Fields{"task": string(m.key().Task), "run": m.run, "cause": string(cause), "why": string(proof), "saved": checkpoint != ""}
	if w, ok := o.workers.get(m.workerID); ok && proof != evidence.Listed {
		o.addWorkerState(fields, w)
	}
	o.emit(event.TaskEnded, event.Subject{Job: string(m.group.job.id()), Worker: string(m.workerID)}, fields)
}

// addWorkerState adds what is known of a worker when the end of a run is concluded and not listed.
// A run may live as long as its lease, so that lease_left_ms tells how much rests on the conclusion.
func (o *Owner) addWorkerState(fields event.Fields, w *worker) {
	fields["listed"], fields["draining"] = w.Listed, w.Draining
	if until, ok := w.LeaseUntil(); ok {
		fields["lease_left_ms"] = until.Sub(o.now).Milliseconds()
	}
	if !w.AnsweredAt.IsZero() {
		fields["silent_ms"] = o.now.Sub(w.AnsweredAt).Milliseconds()
	}
}

func (o *Owner) markGone(m *member) {
	m.phase = memberGone
	o.invalidatePlanRun(m.group)
}

// countFailure counts a failed run once, however many of its members failed.
func (o *Owner) countFailure(g *taskGroup, m *member) {
	if g.failedRun == g.run {
		return
	}
	g.failedRun = g.run
	g.failures++
	if !g.step.spec.LongRunning && g.failures >= g.job.queue.MaxAttempts && !g.job.isTerminal() {
		o.failJob(g.job, g, "failed_runs")
	}
	o.recordWorkerFailure(g, m.workerID)
}

// avoid makes the task group use a worker only if nothing else fits.
func (g *taskGroup) avoid(id model.WorkerID) {
	if g.avoidedWorkers == nil {
		g.avoidedWorkers = map[model.WorkerID]bool{}
	}
	g.avoidedWorkers[id] = true
}

// failJob gives a job up because of a task group.
func (o *Owner) failJob(j *job, g *taskGroup, why string) {
	o.emit(event.JobFailed, event.Subject{Job: string(j.id())}, event.Fields{
		"piece": g.key, "why": why, "failures": g.failures, "attempts": j.queue.MaxAttempts, "crashes": len(g.crashes),
	})
	o.finishJob(j, workflow.Failed)
	o.stopJob(j)
}

// requeueIfGone requeues a stopping task group once no member of its run exists.
func (o *Owner) requeueIfGone(g *taskGroup) {
	if g.state() == taskGroupRecovering {
		o.resolveRecovery(g)
		return
	}
	if g.state() != taskGroupStopping {
		return
	}
	for _, m := range g.members {
		if m.phase != memberGone {
			return
		}
	}
	o.fire(g, "requeue")
	g.members = nil
	g.readySince = o.now
	o.markChanged(g)
	o.planNeeded = true
	if !g.job.isTerminal() {
		o.emit(event.JobRequeued, event.Subject{Job: string(g.job.id())}, event.Fields{"piece": g.key, "run": g.run, "failures": g.failures, "crashes": len(g.crashes), "resumes": g.checkpoint != ""})
	}
}

// finishTaskGroup marks a task group as done. A long-running one is restarted instead.
func (o *Owner) finishTaskGroup(g *taskGroup) {
	if g.step.spec.LongRunning {
		o.markChanged(g)
		o.stopTaskGroup(g, "long_running_ended")
		return
	}
	if g.state() == taskGroupAssigned {
		o.releaseAssignment(g)
	}
	o.fire(g, "finish")
	o.dropCheckpoint(g)
	o.markChanged(g)
	o.planNeeded = true
	// The other members end too; renew at once to learn of it.
	for _, m := range g.members {
		if m.phase == memberRunning {
			o.workerOf(m).nextRenewal = o.now
		}
	}
	if g.job.isTerminal() {
		return
	}
	g.step.taskGroupsLeft--
	if g.step.taskGroupsLeft > 0 {
		return
	}
	g.occurrence.stepsLeft--
	g.occurrence.markReadySteps(o.now)
	o.closeIfDone(g.job, g.occurrence)
}

// closeIfDone closes an occurrence once all of its steps are done, and completes the job
// with the last occurrence.
func (o *Owner) closeIfDone(j *job, occurrence *occurrence) {
	if occurrence.stepsLeft > 0 {
		return
	}
	for _, s := range occurrence.steps {
		for _, g := range s.taskGroups {
			o.removeTaskGroup(g)
		}
	}
	j.closeOccurrence(occurrence)
	o.markHeadChanged(j)
	j.supersedeParts(func(number int) bool { return number == occurrence.number })
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

// stillRecovering drops the task groups that are no longer in recovery from
// recoveringTaskGroups and returns a copy of the rest.
func (o *Owner) stillRecovering() []*taskGroup {
	o.recoveringTaskGroups = slices.DeleteFunc(o.recoveringTaskGroups, func(g *taskGroup) bool { return g.state() != taskGroupRecovering })
	return slices.Clone(o.recoveringTaskGroups)
}

// resolveRecovery decides on a recorded run once each of its workers has responded or its
// lease has expired: a complete run is kept, an incomplete one is stopped.
func (o *Owner) resolveRecovery(g *taskGroup) {
	running := 0
	for _, m := range g.members {
		switch m.phase {
		case memberUnverified:
			return
		case memberRunning:
			running++
		}
	}
	if g.state() != taskGroupRecovering {
		return
	}
	if running == len(g.members) && !g.job.isTerminal() {
		o.fire(g, "adopt")
		g.runningSince = o.now
		if g.placedAt.IsZero() {
			g.placedAt = o.now
		}
		o.emit(event.JobAdopted, event.Subject{Job: string(g.job.id())}, event.Fields{"piece": g.key, "run": g.run, "workers": workerNames(g.members)})
		o.planNeeded = true
		return
	}
	o.fire(g, "stop")
	for _, m := range g.members {
		m.stopping = m.exists()
		o.markOrdersDue(m)
	}
	o.requeueIfGone(g)
}
