package pool

import "github.com/chervilrun/chervilrun/internal/model"

// findEmptyWorkers looks for workers that run nothing.
func (p *planner) findEmptyWorkers(group *TaskGroup, anyRack bool) ([]model.WorkerID, bool) {
	p.emptyOnly = true
	defer func() { p.emptyOnly = false }()
	return p.findFreeWorkers(group, anyRack, true)
}

// emptyWorkersFor lets workers become empty for a task group that waits for empty ones: those
// with the most free resources get nothing more.
func (p *planner) emptyWorkersFor(group *TaskGroup) {
	if p.reservableAccelerators < group.accelerators() {
		return
	}
	reservations, _ := p.chooseReservations(group, p.allWorkers())
	for _, r := range reservations {
		w := &p.workers[r.workerIndex]
		p.reservedWorkers[r.workerIndex] = true
		p.reservableAccelerators -= w.Capacity.Accelerators
		w.Free = model.Resources{}
	}
}
