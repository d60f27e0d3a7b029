package pool

import (
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
)

// drainMachine drains the worker on a machine and reports whether its upkeep may begin.
// Tasks with checkpoints are stopped at once, long-running ones as their disruption budget
// allows, and others may finish unless the wave is behind schedule.
func (o *Owner) drainMachine(m Machine, behind bool) bool {
	if !m.Up || o.hasUnverifiedRuns(m.Worker) {
		return false
	}
	w, ok := o.workers.get(m.Worker)
	if !ok {
		return m.Worker == "" || behind
	}
	w.cordoned = true
	if !w.SilentSince.IsZero() && w.members.len() > 0 {
		// The worker may have crashed. Its next answer or the end of its lease shows it; after
		// an order nobody could tell.
		return false
	}
	empty := true
	for _, member := range w.members.all() {
		if member.phase == memberGone {
			continue
		}
		g := member.group
		spec := g.step.spec
		switch {
		case spec.LongRunning:
			empty = false
			if !member.stopping && o.mayDisrupt(g) {
				o.stopTaskGroup(g, "upkeep")
			}
		case spec.Checkpoints:
			empty = false
			o.stopTaskGroup(g, "upkeep")
		case !behind:
			empty = false
		}
	}
	for _, g := range o.assigned {
		for _, member := range g.members {
			empty = empty && (g.state() != taskGroupAssigned || member.workerID != m.Worker)
		}
	}
	return empty && w.orphans.len() == 0
}

// hasUnverifiedRuns reports whether runs of an earlier owner are recorded on a worker that has
// not yet said whether it has them.
func (o *Owner) hasUnverifiedRuns(id model.WorkerID) bool {
	for _, g := range o.recoveringTaskGroups {
		if g.state() == taskGroupRecovering && slices.ContainsFunc(g.members, func(m *member) bool { return m.phase == memberUnverified && m.workerID == id }) {
			return true
		}
	}
	return false
}

// mayDisrupt reports whether the disruption budget of a long-running step allows a task group
// to be stopped.
func (o *Owner) mayDisrupt(g *taskGroup) bool {
	unavailable := 0
	for _, other := range g.step.taskGroups {
		if other != g && !o.isServing(other) {
			unavailable += other.tasks()
		}
	}
	return unavailable+g.tasks() <= g.step.spec.DisruptionBudget
}

// isServing reports whether all tasks of a long-running task group are ready. A worker that doesn't
// answer may have crashed, so that its tasks don't count before it answers again.
func (o *Owner) isServing(g *taskGroup) bool {
	if g.state() != taskGroupRunning {
		return false
	}
	for _, m := range g.members {
		w, ok := o.workers.get(m.workerID)
		if !ok || !w.SilentSince.IsZero() || m.progress.percent < 100 {
			return false
		}
	}
	return true
}
