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
	// placedTasks counts the tasks that this plan has placed, by step of the piece.
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
	// reservations are not yet subtracted from the free resources; reservableAccelerators
	// may still be reserved, and reservedWorkers have a reservation.
	reservations           []reservation
	reservableAccelerators int
	reservedWorkers        map[int]bool
}

// Plan places waiting pieces, most important first.
func Plan(s *Snapshot) []Placement {
	p := newPlanner(s)
	var placements []Placement
	blockedSteps := map[string]bool{}
	for _, piece := range p.order() {
		if blockedSteps[piece.Step] {
			continue
		}
		p.applyReservations(piece.Priority)
		placement, ok := p.place(piece)
		if !ok {
			blockedSteps[piece.Step] = piece.Step != ""
			p.reserve(piece)
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
		return cmp.Or(a.Started.Compare(b.Started), cmp.Compare(a.Piece, b.Piece))
	})
	for _, run := range runs {
		total := p.urgentUsage[run.Organisation] + run.Accelerators
		p.urgentUsage[run.Organisation] = total
		p.guaranteed[run] = total <= p.snapshot.Guarantees[run.Organisation]
	}
}

// withinGuarantee reports whether the piece would fit into the unused part of its
// organisation's guarantee.
func (p *planner) withinGuarantee(piece *Piece) bool {
	return piece.Priority == 0 &&
		p.urgentUsage[piece.Organisation]+piece.accelerators() <= p.snapshot.Guarantees[piece.Organisation]
}

// The ranks in which pieces are placed.
const (
	rankGuaranteed = iota
	rankOnTime
	rankLateStarted
	rankLateNotStarted
)

// rank puts pieces within a guarantee first, then those that can still meet their
// objective, then late ones.
func (p *planner) rank(piece *Piece) int {
	switch {
	case p.withinGuarantee(piece):
		return rankGuaranteed
	case piece.Objective.IsZero() || !p.snapshot.Now.Add(piece.Remaining).After(piece.Objective):
		return rankOnTime
	case piece.JobStarted:
		return rankLateStarted
	}
	return rankLateNotStarted
}

// rankedPiece is a waiting piece with its rank.
type rankedPiece struct {
	*Piece
	rank int
}

// order returns the waiting pieces, most important first.
func (p *planner) order() []*Piece {
	all := make([]rankedPiece, len(p.snapshot.Waiting))
	for i, piece := range p.snapshot.Waiting {
		all[i] = rankedPiece{piece, p.rank(piece)}
	}
	slices.SortFunc(all, compareRanked)
	order := make([]*Piece, len(all))
	for i := range all {
		order[i] = all[i].Piece
	}
	return order
}

// compareRanked puts pieces within a guarantee first and orders the others by priority
// and then rank; ties go to jobs that have started, then to the earlier objective.
func compareRanked(a, b rankedPiece) int {
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

// place finds workers for a piece: on a candidate rack, then on any if it may use them,
// then by eviction. Pieces that are late or can wait evict nothing.
func (p *planner) place(piece *Piece) (Placement, bool) {
	withinGuarantee := p.withinGuarantee(piece)
	anyRack := p.mayUseAnyRack(piece, withinGuarantee)
	for _, skipAvoided := range []bool{true, false} {
		if !skipAvoided && len(piece.AvoidedWorkers) == 0 {
			break
		}
		if workers, ok := p.findFreeWorkers(piece, anyRack, skipAvoided); ok {
			return p.commit(piece, workers, nil), true
		}
	}
	if !withinGuarantee && (p.rank(piece) != rankOnTime || p.hasSlack(piece)) {
		return Placement{}, false
	}
	workers, evict, ok := p.findByEviction(piece, anyRack, withinGuarantee)
	if !ok {
		return Placement{}, false
	}
	return p.commit(piece, workers, evict), true
}

// mayUseAnyRack reports whether the piece may run away from its data or across several
// racks. That is several times slower, so it first waits as long as its estimated run
// time; within a guarantee it waits less.
func (p *planner) mayUseAnyRack(piece *Piece, withinGuarantee bool) bool {
	waited := p.snapshot.Now.Sub(piece.ReadySince)
	if withinGuarantee {
		return waited >= guaranteedRackWait
	}
	return waited >= piece.Estimate || !p.fitsOnCandidateRack(piece)
}

// fitsOnCandidateRack reports whether the piece would fit on a candidate rack if that
// were empty.
func (p *planner) fitsOnCandidateRack(piece *Piece) bool {
	for _, name := range p.candidateRacks(piece) {
		slots := 0
		for _, i := range p.racks[name] {
			w := &p.workers[i]
			if p.allowed(piece, w, false) {
				slots += piece.Demand.CountIn(w.Capacity, p.maxTasksOn(piece, w))
			}
		}
		if slots >= piece.Tasks {
			return true
		}
	}
	return !piece.SameRack && piece.DataRack == ""
}

// candidateRacks lists the racks on which the piece runs at full speed.
func (p *planner) candidateRacks(piece *Piece) []string {
	if piece.DataRack == "" {
		return p.rackNames
	}
	if p.racks[piece.DataRack] == nil {
		return nil
	}
	return []string{piece.DataRack}
}

// allowed reports whether a worker may run tasks of the piece.
func (p *planner) allowed(piece *Piece, w *Worker, skipAvoided bool) bool {
	if skipAvoided && piece.AvoidedWorkers[w.ID] || piece.AllowedWorkers != nil && !piece.AllowedWorkers[w.ID] {
		return false
	}
	return piece.RequiredLabel == "" || slices.Contains(w.Labels, piece.RequiredLabel)
}

// maxTasksOn is the largest number of tasks of the piece that a worker may get.
func (p *planner) maxTasksOn(piece *Piece, w *Worker) int {
	if piece.MaxPerWorker == 0 {
		return piece.Tasks
	}
	return min(piece.Tasks, max(0, piece.MaxPerWorker-piece.TasksOnWorker[w.ID]-p.placedTasks[piece.Step][w.ID]))
}

// findFreeWorkers looks for free resources: on one rack if that matters, else anywhere.
func (p *planner) findFreeWorkers(piece *Piece, anyRack, skipAvoided bool) ([]model.WorkerID, bool) {
	if piece.SameRack || piece.DataRack != "" {
		if workers, ok := p.findOnCandidateRack(piece, skipAvoided); ok {
			return workers, true
		}
		if !anyRack {
			return nil, false
		}
	}
	return p.packTasks(piece, p.allWorkers(), skipAvoided)
}

// findOnCandidateRack places the piece on the candidate rack with the fewest free slots
// (best fit).
func (p *planner) findOnCandidateRack(piece *Piece, skipAvoided bool) ([]model.WorkerID, bool) {
	var best []model.WorkerID
	fewestSlots := 0
	for _, name := range p.candidateRacks(piece) {
		slots := 0
		for _, i := range p.racks[name] {
			slots += p.freeSlots(piece, i, skipAvoided)
		}
		if slots < piece.Tasks || best != nil && slots >= fewestSlots {
			continue
		}
		if workers, ok := p.packTasks(piece, p.racks[name], skipAvoided); ok {
			best, fewestSlots = workers, slots
		}
	}
	return best, best != nil
}

func (p *planner) freeSlots(piece *Piece, i int, skipAvoided bool) int {
	w := &p.workers[i]
	if !p.allowed(piece, w, skipAvoided) {
		return 0
	}
	return piece.Demand.CountIn(w.Free, p.maxTasksOn(piece, w))
}

func (p *planner) allWorkers() []int {
	all := make([]int, len(p.workers))
	for i := range all {
		all[i] = i
	}
	return all
}

// freeWorker is a worker on which tasks of a piece fit.
type freeWorker struct {
	index int
	slots int
	empty bool
}

// packTasks places the tasks on the workers with the fewest free accelerators that fit
// them, so that whole workers stay free for large tasks, and whole racks for large gangs.
func (p *planner) packTasks(piece *Piece, candidates []int, skipAvoided bool) ([]model.WorkerID, bool) {
	options, total := p.workersWithSlots(piece, candidates, skipAvoided)
	if total < piece.Tasks {
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
	workers := make([]model.WorkerID, 0, piece.Tasks)
	emptyWorkersLeft := p.usableEmptyWorkers(piece)
	for _, o := range options {
		if o.empty {
			if emptyWorkersLeft == 0 {
				continue
			}
			emptyWorkersLeft--
		}
		for range min(o.slots, piece.Tasks-len(workers)) {
			workers = append(workers, p.workers[o.index].ID)
		}
		if len(workers) == piece.Tasks {
			return workers, true
		}
	}
	return nil, false
}

// workersWithSlots lists the workers on which tasks of the piece fit, and the total of such tasks.
func (p *planner) workersWithSlots(piece *Piece, candidates []int, skipAvoided bool) ([]freeWorker, int) {
	var options []freeWorker
	total := 0
	for _, i := range candidates {
		if n := p.freeSlots(piece, i, skipAvoided); n > 0 {
			options = append(options, freeWorker{index: i, slots: n, empty: p.workers[i].isEmpty()})
			total += n
		}
	}
	return options, total
}

// commit subtracts a placement from the free resources and updates the usage counts.
func (p *planner) commit(piece *Piece, workers []model.WorkerID, evict []PieceID) Placement {
	for _, id := range workers {
		w := &p.workers[p.byID[id]]
		if w.isEmpty() {
			p.headroom.emptyByRack[w.Rack]--
			p.headroom.emptyWorkers--
		}
		w.Free = w.Free.Sub(piece.Demand)
	}
	if piece.Priority == 0 {
		p.urgentUsage[piece.Organisation] += piece.accelerators()
	}
	if piece.MaxPerWorker > 0 {
		if p.placedTasks[piece.Step] == nil {
			p.placedTasks[piece.Step] = map[model.WorkerID]int{}
		}
		for _, id := range workers {
			p.placedTasks[piece.Step][id]++
		}
	}
	return Placement{Piece: piece.ID, Workers: workers, Evict: evict}
}
