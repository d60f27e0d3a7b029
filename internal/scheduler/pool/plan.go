package pool

import (
	"cmp"
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
)

// planner holds the working state of one call of Plan.
type planner struct {
	snapshot  *Snapshot
	workers   []Worker
	byID      map[model.WorkerID]int
	racks     map[string][]int
	rackNames []string
	// urgentUsage is the number of accelerators that priority-0 runs of an organisation hold.
	urgentUsage map[model.OrganisationID]int
	// guaranteed marks the priority-0 runs that a guarantee covers.
	guaranteed map[*Run]bool
	evicted    map[*Run]bool
	// placedTasks counts the tasks that this plan has placed, by step of the task group.
	placedTasks map[string]map[model.WorkerID]int
	// victims caches the runs that may be stopped, by index of the worker.
	victims [][]victim
	// costs caches, by index of the worker, the cost of one more task there. An entry is
	// valid only for the search whose ID it holds; searchCount is the last ID given.
	costs       []taskCost
	searchCount int
	// victimSlab is memory from which the lists in victims are cut.
	victimSlab []victim
	// victimScratch is reused for the result of victimsFor.
	victimScratch []victim
	headroom      headroom
	// emptyOnly restricts the search to empty workers.
	emptyOnly bool
	// reservations are not yet subtracted from the free resources; reservable may still be
	// reserved, and reservedWorkers have a reservation. reservableAccelerators limits what the
	// task groups with reservations ask for.
	reservations           []reservation
	reservable             model.Resources
	reservableAccelerators int
	reservedWorkers        map[int]bool
}

// Plan places waiting task groups, most important first.
func Plan(s *Snapshot) []Placement {
	p := newPlanner(s)
	var placements []Placement
	blockedSteps := map[string]bool{}
	for _, group := range p.order() {
		if blockedSteps[group.Step] {
			continue
		}
		p.applyReservations(group.Priority)
		placement, ok := p.place(group)
		if !ok && group.Isolation == EmptyWorkersOnly {
			p.emptyWorkersFor(group)
			continue
		}
		if !ok {
			blockedSteps[group.Step] = group.Step != ""
			p.reserve(group)
			continue
		}
		placements = append(placements, placement)
	}
	return placements
}

func newPlanner(s *Snapshot) *planner {
	p := &planner{
		snapshot:    s,
		workers:     slices.Clone(s.Workers),
		byID:        make(map[model.WorkerID]int, len(s.Workers)),
		racks:       map[string][]int{},
		urgentUsage: map[model.OrganisationID]int{},
		guaranteed:  map[*Run]bool{},
		evicted:     map[*Run]bool{},
		placedTasks: map[string]map[model.WorkerID]int{},

		reservedWorkers: map[int]bool{},
	}
	for i := range p.workers {
		w := &p.workers[i]
		p.byID[w.ID] = i
		if p.racks[w.Rack] == nil {
			p.rackNames = append(p.rackNames, w.Rack)
		}
		p.racks[w.Rack] = append(p.racks[w.Rack], i)
	}
	slices.Sort(p.rackNames)
	p.markGuaranteedRuns()
	p.computeHeadroom()
	return p
}

// markGuaranteedRuns marks the runs that are within a guarantee, oldest first.
func (p *planner) markGuaranteedRuns() {
	runs := slices.Clone(p.snapshot.Urgent)
	slices.SortFunc(runs, func(a, b *Run) int {
		return cmp.Or(a.Started.Compare(b.Started), cmp.Compare(a.TaskGroup, b.TaskGroup))
	})
	for _, run := range runs {
		total := p.urgentUsage[run.Organisation] + run.Accelerators
		p.urgentUsage[run.Organisation] = total
		p.guaranteed[run] = total <= p.snapshot.Guarantees[run.Organisation]
	}
}

// withinGuarantee reports whether the task group would fit into the unused part of its
// organisation's guarantee.
func (p *planner) withinGuarantee(group *TaskGroup) bool {
	return group.Priority == 0 &&
		p.urgentUsage[group.Organisation]+group.accelerators() <= p.snapshot.Guarantees[group.Organisation]
}

// The ranks in which task groups are placed.
const (
	rankGuaranteed = iota
	rankOnTime
	rankLateStarted
	rankLateNotStarted
)

// rank puts task groups within a guarantee first, then those that can still meet their
// objective, then late ones.
func (p *planner) rank(group *TaskGroup) int {
	switch {
	case p.withinGuarantee(group):
		return rankGuaranteed
	case group.Objective.IsZero() || !p.snapshot.Now.Add(group.Remaining).After(group.Objective):
		return rankOnTime
	case group.JobStarted:
		return rankLateStarted
	}
	return rankLateNotStarted
}

// rankedTaskGroup is a waiting task group with its rank.
type rankedTaskGroup struct {
	*TaskGroup
	rank int
}

// order returns the waiting task groups, most important first.
func (p *planner) order() []*TaskGroup {
	all := make([]rankedTaskGroup, len(p.snapshot.Waiting))
	for i, group := range p.snapshot.Waiting {
		all[i] = rankedTaskGroup{group, p.rank(group)}
	}
	slices.SortFunc(all, compareRanked)
	order := make([]*TaskGroup, len(all))
	for i := range all {
		order[i] = all[i].TaskGroup
	}
	return order
}

// compareRanked puts task groups within a guarantee first and orders the others by priority
// and then rank; ties go to jobs that have started, then to the earlier objective.
func compareRanked(a, b rankedTaskGroup) int {
	if a.rank != b.rank && (a.rank == rankGuaranteed || b.rank == rankGuaranteed) {
		return cmp.Compare(a.rank, b.rank)
	}
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}
	if a.rank != b.rank {
		return cmp.Compare(a.rank, b.rank)
	}
	if a.JobStarted != b.JobStarted {
		if a.JobStarted {
			return -1
		}
		return 1
	}
	if c := a.Objective.Compare(b.Objective); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// place finds workers for a task group: on a candidate rack, then on any racks if it may use
// them, then by eviction.
func (p *planner) place(group *TaskGroup) (Placement, bool) {
	withinGuarantee := p.withinGuarantee(group)
	anyRack := p.mayUseAnyRack(group, withinGuarantee)
	if group.Isolation != Shared {
		if workers, ok := p.findEmptyWorkers(group, anyRack); ok {
			return p.commit(group, workers, nil), true
		}
		if group.Isolation == EmptyWorkersOnly {
			return Placement{}, false
		}
	}
	for _, skipAvoided := range []bool{true, false} {
		if !skipAvoided && len(group.AvoidedWorkers) == 0 {
			break
		}
		if workers, ok := p.findFreeWorkers(group, anyRack, skipAvoided); ok {
			return p.commit(group, workers, nil), true
		}
	}
	if !withinGuarantee && !p.mayEvictForOthers(group) {
		return Placement{}, false
	}
	workers, evict, ok := p.findByEviction(group, anyRack, withinGuarantee)
	if !ok {
		return Placement{}, false
	}
	return p.commit(group, workers, evict), true
}

// mayEvictForOthers reports whether the task group may stop runs of lower priority although
// no guarantee covers it: if it is urgent, or would be late otherwise. Urgent work keeps
// this right when it is late. Else it would wait behind all batch work, since whole workers
// and racks hardly ever become free while small tasks wait.
func (p *planner) mayEvictForOthers(group *TaskGroup) bool {
	return group.Priority == 0 || p.rank(group) == rankOnTime && !p.hasSlack(group)
}

// mayUseAnyRack reports whether the task group may run on other racks than that of its data,
// or across several racks. That is several times slower, so it first waits as long as its
// estimated run time; within a guarantee it waits less.
func (p *planner) mayUseAnyRack(group *TaskGroup, withinGuarantee bool) bool {
	waited := p.snapshot.Now.Sub(group.ReadySince)
	if withinGuarantee {
		return waited >= guaranteedRackWait
	}
	return waited >= group.Estimate || !p.fitsOnCandidateRack(group)
}

// fitsOnCandidateRack reports whether the task group would fit on a candidate rack if that
// were empty.
func (p *planner) fitsOnCandidateRack(group *TaskGroup) bool {
	for _, name := range p.candidateRacks(group) {
		slots := 0
		for _, i := range p.racks[name] {
			w := &p.workers[i]
			if p.allowed(group, w, false) {
				slots += group.Demand.CountIn(w.Capacity, p.maxTasksOn(group, w))
			}
		}
		if slots >= group.Tasks {
			return true
		}
	}
	return !group.SameRack && group.DataRack == ""
}

// candidateRacks lists the racks on which the task group runs at full speed.
func (p *planner) candidateRacks(group *TaskGroup) []string {
	if group.DataRack == "" {
		return p.rackNames
	}
	if p.racks[group.DataRack] == nil {
		return nil
	}
	return []string{group.DataRack}
}

// allowed reports whether a worker may run tasks of the task group.
func (p *planner) allowed(group *TaskGroup, w *Worker, skipAvoided bool) bool {
	if skipAvoided && group.AvoidedWorkers[w.ID] || group.AllowedWorkers != nil && !group.AllowedWorkers[w.ID] {
		return false
	}
	return group.RequiredLabel == "" || slices.Contains(w.Labels, group.RequiredLabel)
}

// maxTasksOn is the largest number of tasks of the task group that a worker may get.
func (p *planner) maxTasksOn(group *TaskGroup, w *Worker) int {
	if group.MaxPerWorker == 0 {
		return group.Tasks
	}
	return min(group.Tasks, max(0, group.MaxPerWorker-group.TasksOnWorker[w.ID]-p.placedTasks[group.Step][w.ID]))
}

// findFreeWorkers looks for free resources: on one rack if that matters, else anywhere.
func (p *planner) findFreeWorkers(group *TaskGroup, anyRack, skipAvoided bool) ([]model.WorkerID, bool) {
	if group.SameRack || group.DataRack != "" {
		if workers, ok := p.findOnCandidateRack(group, skipAvoided); ok {
			return workers, true
		}
		if !anyRack {
			return nil, false
		}
	}
	return p.packTasks(group, p.allWorkers(), skipAvoided)
}

// findOnCandidateRack places the task group on the candidate rack with the fewest free slots
// (best fit).
func (p *planner) findOnCandidateRack(group *TaskGroup, skipAvoided bool) ([]model.WorkerID, bool) {
	var best []model.WorkerID
	fewestSlots := 0
	for _, name := range p.candidateRacks(group) {
		slots := 0
		for _, i := range p.racks[name] {
			slots += p.freeSlots(group, i, skipAvoided)
		}
		if slots < group.Tasks || best != nil && slots >= fewestSlots {
			continue
		}
		if workers, ok := p.packTasks(group, p.racks[name], skipAvoided); ok {
			best, fewestSlots = workers, slots
		}
	}
	return best, best != nil
}

func (p *planner) freeSlots(group *TaskGroup, i int, skipAvoided bool) int {
	w := &p.workers[i]
	if !p.allowed(group, w, skipAvoided) || p.emptyOnly && !w.isEmpty() {
		return 0
	}
	return group.Demand.CountIn(w.Free, p.maxTasksOn(group, w))
}

func (p *planner) allWorkers() []int {
	all := make([]int, len(p.workers))
	for i := range all {
		all[i] = i
	}
	return all
}

// freeWorker is a worker on which tasks of a task group fit.
type freeWorker struct {
	index int
	slots int
	empty bool
}

// packTasks places the tasks on the workers with the fewest free accelerators that fit
// them, so that whole workers stay free for large tasks, and whole racks for large gangs.
func (p *planner) packTasks(group *TaskGroup, candidates []int, skipAvoided bool) ([]model.WorkerID, bool) {
	options, total := p.workersWithSlots(group, candidates, skipAvoided)
	if total < group.Tasks {
		return nil, false
	}
	slices.SortFunc(options, func(a, b freeWorker) int {
		wa, wb := &p.workers[a.index], &p.workers[b.index]
		return cmp.Or(
			cmp.Compare(wa.Penalty, wb.Penalty),
			cmp.Compare(wa.Free.Accelerators, wb.Free.Accelerators),
			cmp.Compare(p.headroom.emptyByRack[wa.Rack], p.headroom.emptyByRack[wb.Rack]),
			cmp.Compare(wa.Free.MemoryMB, wb.Free.MemoryMB),
			cmp.Compare(wa.ID, wb.ID),
		)
	})
	workers := make([]model.WorkerID, 0, group.Tasks)
	emptyWorkersLeft := p.usableEmptyWorkers(group)
	if p.emptyOnly {
		emptyWorkersLeft = p.headroom.emptyWorkers
	}
	for _, o := range options {
		if o.empty {
			if emptyWorkersLeft == 0 {
				continue
			}
			emptyWorkersLeft--
		}
		for range min(o.slots, group.Tasks-len(workers)) {
			workers = append(workers, p.workers[o.index].ID)
		}
		if len(workers) == group.Tasks {
			return workers, true
		}
	}
	return nil, false
}

// workersWithSlots lists the workers on which tasks of the task group fit, and the total of
// such tasks.
func (p *planner) workersWithSlots(group *TaskGroup, candidates []int, skipAvoided bool) ([]freeWorker, int) {
	var options []freeWorker
	total := 0
	for _, i := range candidates {
		if n := p.freeSlots(group, i, skipAvoided); n > 0 {
			options = append(options, freeWorker{index: i, slots: n, empty: p.workers[i].isEmpty()})
			total += n
		}
	}
	return options, total
}

// commit subtracts a placement from the free resources and updates the usage counts.
func (p *planner) commit(group *TaskGroup, workers []model.WorkerID, evict []TaskGroupID) Placement {
	for _, id := range workers {
		w := &p.workers[p.byID[id]]
		if w.isEmpty() {
			p.headroom.emptyByRack[w.Rack]--
			p.headroom.emptyWorkers--
		}
		w.Free = w.Free.Sub(group.Demand)
	}
	if group.Isolation == EmptyWorkersOnly {
		for _, id := range workers {
			p.workers[p.byID[id]].Free = model.Resources{}
		}
	}
	if group.Priority == 0 {
		p.urgentUsage[group.Organisation] += group.accelerators()
	}
	if group.MaxPerWorker > 0 {
		if p.placedTasks[group.Step] == nil {
			p.placedTasks[group.Step] = map[model.WorkerID]int{}
		}
		for _, id := range workers {
			p.placedTasks[group.Step][id]++
		}
	}
	return Placement{TaskGroup: group.ID, Workers: workers, Evict: evict}
}
