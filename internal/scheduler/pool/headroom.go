package pool

import "github.com/chervilrun/chervilrun/internal/model"

// headroom keeps whole workers free for more urgent work that is likely to arrive: as many as
// it would need to reach its recent peak usage again. Only task groups with slack leave them
// free. Urgent gangs can then start at once without stopping other runs.
type headroom struct {
	// emptyByRack and emptyWorkers count the workers that run nothing.
	emptyByRack  map[string]int
	emptyWorkers int
	// keepEmpty is the number of workers to keep empty, by priority of the task group.
	keepEmpty map[int]int
}

func (p *planner) computeHeadroom() {
	p.headroom = headroom{emptyByRack: map[string]int{}, keepEmpty: map[int]int{}}
	var total model.Resources
	largest := 1
	for i := range p.workers {
		w := &p.workers[i]
		total = total.Add(w.Capacity)
		largest = max(largest, w.Capacity.Accelerators)
		if w.isEmpty() {
			p.headroom.emptyByRack[w.Rack]++
			p.headroom.emptyWorkers++
		}
	}
	p.reservable = total.Share(maxReservedShare)
	p.reservableAccelerators = p.reservable.Accelerators
	for priority, peak := range p.snapshot.PeakUsage {
		missing := min(peak-p.snapshot.UsageAbove(priority), int(maxHeadroomShare*float64(total.Accelerators)))
		p.headroom.keepEmpty[priority] = max(0, (missing+largest-1)/largest)
	}
}

func (w *Worker) isEmpty() bool { return w.Free == w.Capacity }

// hasSlack reports whether the task group can wait and still meet its objective.
func (p *planner) hasSlack(group *TaskGroup) bool {
	if group.Priority == 0 || group.Objective.IsZero() {
		return false
	}
	slack := group.Objective.Sub(p.snapshot.Now) - group.Remaining
	return slack.Seconds() > headroomMinSlack*group.Remaining.Seconds()
}

// usableEmptyWorkers is the number of empty workers that the task group may use.
func (p *planner) usableEmptyWorkers(group *TaskGroup) int {
	if !p.hasSlack(group) {
		return p.headroom.emptyWorkers
	}
	return max(0, p.headroom.emptyWorkers-p.headroom.keepEmpty[group.Priority])
}
