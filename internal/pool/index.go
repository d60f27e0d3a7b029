package pool

import (
	"github.com/chervilrun/chervilrun/internal/model"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
)

// index keeps the task groups arranged as a plan needs them, so that the cost of a plan
// depends on the number of waiting task groups and not on that of running ones.
type index struct {
	// waiting are the unassigned task groups, including those of steps that are not ready.
	waiting orderedMap[plan.TaskGroupID, *taskGroup]
	// advised counts those of them that need advice.
	advised int
	// urgent are the task groups of priority 0 that hold or may hold resources.
	urgent orderedMap[plan.TaskGroupID, *taskGroup]
	// usage counts the accelerators of the task groups that hold or may hold resources.
	usage map[usageKey]int
}

// usageKey identifies the runs of a service that have the same priority.
type usageKey struct {
	service  model.ServiceID
	priority int
}

func newIndex() index {
	return index{
		waiting: newOrderedMap[plan.TaskGroupID, *taskGroup](),
		urgent:  newOrderedMap[plan.TaskGroupID, *taskGroup](),
		usage:   map[usageKey]int{},
	}
}

// add adds a task group according to its present state.
func (x *index) add(g *taskGroup) {
	switch {
	case g.state() == taskGroupWaiting:
		x.waiting.set(g.id, g)
		if g.job.queue.Advised {
			x.advised++
		}
	case g.holdsResources():
		x.usage[g.usageKey()] += g.accelerators()
		if g.job.queue.Priority == 0 {
			x.urgent.set(g.id, g)
		}
	}
}

// remove removes a task group whose state has not changed since it was added.
func (x *index) remove(g *taskGroup) {
	switch {
	case g.state() == taskGroupWaiting:
		x.waiting.remove(g.id)
		if g.job.queue.Advised {
			x.advised--
		}
	case g.holdsResources():
		x.usage[g.usageKey()] -= g.accelerators()
		x.urgent.remove(g.id)
	}
}

func (g *taskGroup) usageKey() usageKey { return usageKey{g.job.queue.Service, g.job.queue.Priority} }

// addTaskGroup registers a task group with the owner.
func (o *Owner) addTaskGroup(g *taskGroup) {
	o.taskGroups[g.id] = g
	o.index.add(g)
	o.checkpointMemory += len(g.checkpoint)
	if g.isSuspect() {
		o.suspects.set(g.id, g)
	}
}

// removeTaskGroup unregisters a task group.
func (o *Owner) removeTaskGroup(g *taskGroup) {
	if o.taskGroups[g.id] == g {
		o.dropCheckpoint(g)
		o.index.remove(g)
		delete(o.taskGroups, g.id)
	}
}

// fire makes a state transition of a task group and keeps the index up to date.
func (o *Owner) fire(g *taskGroup, transition string) {
	indexed := o.taskGroups[g.id] == g
	if indexed {
		o.index.remove(g)
	}
	g.chart.Fire(transition)
	if indexed {
		o.index.add(g)
	}
	o.invalidatePlanRun(g)
}

// invalidatePlanRun clears the cached planner input of a task group that has changed.
func (o *Owner) invalidatePlanRun(g *taskGroup) {
	g.cachedPlanRun = nil
	for _, m := range g.members {
		if w, ok := o.workers.get(m.workerID); ok {
			w.cachedPlanRuns = nil
		}
	}
}
