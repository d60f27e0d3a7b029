package pool

import (
	"slices"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
)

// quarantineFailures is the number of consecutive failures, of at least two jobs, after
// which a worker is quarantined.
const quarantineFailures = 2

// workerClass is a set of workers that some task may depend on: those of a service, or those of
// them that have a label.
type workerClass struct {
	service model.ServiceID
	label   string
}

// classes returns the classes that a worker belongs to.
func (w *worker) classes() []workerClass {
	found := []workerClass{{service: w.info.Service}}
	for _, label := range w.info.Labels {
		found = append(found, workerClass{w.info.Service, label})
	}
	return found
}

// quarantinePenalty makes the planner use quarantined workers after all others.
const quarantinePenalty = 2

// quarantinedWorkers returns the quarantined workers, and for each whether it is excluded from
// planning. It is not if more than half of the workers of its service, or with one of its
// labels, are quarantined: then the workers are hardly at fault, and work needs them.
func (o *Owner) quarantinedWorkers() map[model.WorkerID]bool {
	quarantined, total := map[workerClass]int{}, map[workerClass]int{}
	excluded := map[model.WorkerID]bool{}
	for _, id := range o.quarantine.Active(o.now) {
		if w, ok := o.workers.get(id); ok {
			excluded[id] = true
			for _, class := range w.classes() {
				quarantined[class]++
			}
		}
	}
	if len(excluded) == 0 {
		return excluded
	}
	for _, w := range o.workers.all() {
		for _, class := range w.classes() {
			if w.Listed && quarantined[class] > 0 {
				total[class]++
			}
		}
	}
	for id := range excluded {
		excluded[id] = !slices.ContainsFunc(o.workers.getOrZero(id).classes(), func(class workerClass) bool {
			return 2*quarantined[class] > total[class]
		})
	}
	return excluded
}

// recordWorkerFailure counts a failure for the quarantine of the worker and makes the task
// group avoid it.
func (o *Owner) recordWorkerFailure(g *taskGroup, id model.WorkerID) {
	g.avoid(id)
	if g.step.spec.LongRunning {
		// Such tasks may fail at any time without a fault of the worker, and they have to start again
		// soon. They avoid the worker themselves.
		return
	}
	if o.quarantine.RecordFailure(id, g.job.id(), o.now) {
		o.emit(event.WorkerQuarantined, event.Subject{Worker: string(id), Job: string(g.job.id())}, event.Fields{"piece": g.key})
	}
}

// noteSteadyRun counts a long-running task that has run for a while as a success of its worker,
// as the end of any other task does.
func (o *Owner) noteSteadyRun(w *worker, m *member) {
	if m.steady || !m.group.step.spec.LongRunning || m.phase != memberRunning || o.now.Sub(m.confirmedAt) < steadyRunTime {
		return
	}
	m.steady = true
	o.quarantine.RecordSuccess(w.info.ID, m.group.job.id())
}
