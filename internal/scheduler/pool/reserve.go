package pool

import (
	"cmp"
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
)

// maxReservedShare limits the resources that are reserved, and may thus stay idle, as a share of
// the pool.
const maxReservedShare = 0.15

// reservation is resources on a worker that work of lower priority must not use.
type reservation struct {
	priority    int
	workerIndex int
	resources   model.Resources
}

// reserve reserves resources for a task group that could not be placed, on the rack (or the
// whole pool) where most of its tasks fit: the slots for the tasks that fit now, and the
// emptiest workers for the others. Otherwise small tasks of lower priority would keep taking
// what becomes free, and a large gang would starve or have to stop them. Late work reserves
// nothing, unless it is urgent.
func (p *planner) reserve(group *TaskGroup) {
	if group.Priority > 0 && p.rank(group) > rankOnTime || p.reservableAccelerators < group.accelerators() {
		return
	}
	var best []reservation
	bestSlots := -1
	for _, candidates := range p.candidateSets(group, false) {
		reservations, slots := p.chooseReservations(group, candidates)
		if len(reservations) > 0 && slots > bestSlots {
			best, bestSlots = reservations, slots
		}
	}
	if best != nil {
		p.reservableAccelerators -= group.accelerators()
	}
	for _, r := range best {
		if !r.resources.Fits(p.reservable) {
			continue
		}
		p.reservable = p.reservable.Sub(r.resources)
		p.reservations = append(p.reservations, r)
		p.reservedWorkers[r.workerIndex] = true
	}
}

// chooseReservations chooses resources on the workers and also returns the number of tasks
// that fit at once. It returns none if the task group would not fit even if all runs but
// long-running ones had ended.
func (p *planner) chooseReservations(group *TaskGroup, workers []int) ([]reservation, int) {
	candidates := make([]int, 0, len(workers))
	for _, i := range workers {
		if w := &p.workers[i]; p.allowed(group, w, true) && group.Demand.Fits(w.attainable()) && !p.reservedWorkers[i] {
			candidates = append(candidates, i)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int {
		return cmp.Compare(p.workers[b].Free.Accelerators, p.workers[a].Free.Accelerators)
	})
	var chosen []reservation
	tasksLeft, freeSlots := group.Tasks, 0
	for _, i := range candidates {
		if tasksLeft == 0 {
			break
		}
		w := &p.workers[i]
		slots := group.Demand.CountIn(w.Free, min(tasksLeft, p.maxTasksOn(group, w)))
		resources := group.Demand.Times(slots)
		freeSlots += slots
		if slots == 0 {
			// The worker has to be drained for one task: reserve all that is free now.
			slots, resources = 1, w.Free
		}
		tasksLeft -= slots
		chosen = append(chosen, reservation{priority: group.Priority, workerIndex: i, resources: resources})
	}
	if tasksLeft > 0 {
		return nil, 0
	}
	return chosen, freeSlots
}

// attainable is the part of the worker's resources that becomes free without a cancellation.
func (w *Worker) attainable() model.Resources {
	resources := w.Capacity
	for _, run := range w.Runs {
		if run.LongRunning {
			resources = resources.Sub(run.allocatedOn(w.ID))
		}
	}
	return resources
}

// applyReservations subtracts from the free resources what is reserved for work more
// urgent than the priority.
func (p *planner) applyReservations(priority int) {
	p.reservations = slices.DeleteFunc(p.reservations, func(r reservation) bool {
		if r.priority >= priority {
			return false
		}
		w := &p.workers[r.workerIndex]
		if w.isEmpty() {
			p.headroom.emptyByRack[w.Rack]--
			p.headroom.emptyWorkers--
		}
		w.Free = w.Free.Sub(r.resources)
		return true
	})
}
