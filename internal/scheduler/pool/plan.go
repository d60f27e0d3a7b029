package pool

import (
	"cmp"
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
)

// planner holds the working state of one call of Plan.
type planner struct {
	s       *Snapshot
	workers []Worker
	byID    map[model.WorkerID]int
	racks   map[string][]int
	names   []string
	// urgent is the number of accelerators that priority-0 runs of an organisation hold.
	urgent  map[model.OrganisationID]int
	covered map[*Run]bool
	evicted map[*Run]bool
	// placed counts the tasks that this plan has placed, by class of the piece.
	placed map[string]map[model.WorkerID]int
	// victims holds the runs that may be stopped, by index of the worker, once they have
	// been looked for.
	victims [][]victim
	// offers holds, by index of the worker, what one more task costs there in the search
	// that it names; searches counts the searches.
	offers   []offer
	searches int
	// slab is memory for lists of victims.
	slab []victim
	// scratch is the list of victims that is being put together.
	scratch []victim
	room    headroom
	// reservations are not yet booked; reservable is the number of accelerators that may
	// still be reserved, and reserved holds the workers on which some are.
	reservations []reservation
	reservable   int
	reserved     map[int]bool
}

// Plan returns where waiting pieces go, most important first.
func Plan(s *Snapshot) []Placement {
	p := newPlanner(s)
	var placements []Placement
	blocked := map[string]bool{}
	for _, piece := range p.order() {
		if blocked[piece.Class] {
			continue
		}
		p.applyReservations(piece.Priority)
		placement, ok := p.place(piece)
		if !ok {
			blocked[piece.Class] = piece.Class != ""
			p.reserve(piece)
			continue
		}
		placements = append(placements, placement)
	}
	return placements
}

func newPlanner(s *Snapshot) *planner {
	p := &planner{
		s:       s,
		workers: slices.Clone(s.Workers),
		byID:    make(map[model.WorkerID]int, len(s.Workers)),
		racks:   map[string][]int{},
		urgent:  map[model.OrganisationID]int{},
		covered: map[*Run]bool{},
		evicted: map[*Run]bool{},
		placed:  map[string]map[model.WorkerID]int{},

		reserved: map[int]bool{},
	}
	for i := range p.workers {
		w := &p.workers[i]
		p.byID[w.ID] = i
		if p.racks[w.Rack] == nil {
			p.names = append(p.names, w.Rack)
		}
		p.racks[w.Rack] = append(p.racks[w.Rack], i)
	}
	slices.Sort(p.names)
	p.coverRuns()
	p.measureHeadroom()
	return p
}

// coverRuns marks the runs that lie within a guarantee, oldest first.
func (p *planner) coverRuns() {
	runs := slices.Clone(p.s.Urgent)
	slices.SortFunc(runs, func(a, b *Run) int {
		return cmp.Or(a.Started.Compare(b.Started), cmp.Compare(a.Piece, b.Piece))
	})
	for _, run := range runs {
		total := p.urgent[run.Organisation] + run.Accelerators
		p.urgent[run.Organisation] = total
		p.covered[run] = total <= p.s.Guarantees[run.Organisation]
	}
}

// entitled reports whether the piece lies within its organisation's guarantee.
func (p *planner) entitled(piece *Piece) bool {
	return piece.Priority == 0 &&
		p.urgent[piece.Organisation]+piece.accelerators() <= p.s.Guarantees[piece.Organisation]
}

// The ranks in which pieces are placed.
const (
	rankEntitled = iota
	rankInTime
	rankLate
	rankLost
)

// rank puts pieces that can still meet their objective before those that are late.
func (p *planner) rank(piece *Piece) int {
	switch {
	case p.entitled(piece):
		return rankEntitled
	case piece.Objective.IsZero() || !p.s.Now.Add(piece.Remaining).After(piece.Objective):
		return rankInTime
	case piece.Began:
		return rankLate
	}
	return rankLost
}

// ranked is a waiting piece with its rank.
type ranked struct {
	*Piece
	rank int
}

// order returns the waiting pieces, most important first.
func (p *planner) order() []*Piece {
	all := make([]ranked, len(p.s.Waiting))
	for i, piece := range p.s.Waiting {
		all[i] = ranked{piece, p.rank(piece)}
	}
	slices.SortFunc(all, compare)
	order := make([]*Piece, len(all))
	for i := range all {
		order[i] = all[i].Piece
	}
	return order
}

// compare orders by rank and priority, jobs that began first, then by objective.
func compare(a, b ranked) int {
	if a.rank != b.rank && (a.rank == rankEntitled || b.rank == rankEntitled) {
		return cmp.Compare(a.rank, b.rank)
	}
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}
	if a.rank != b.rank {
		return cmp.Compare(a.rank, b.rank)
	}
	if a.Began != b.Began {
		if a.Began {
			return -1
		}
		return 1
	}
	if c := a.Objective.Compare(b.Objective); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// place finds room for a piece: near, then far if it may, then by evicting others.
func (p *planner) place(piece *Piece) (Placement, bool) {
	entitled := p.entitled(piece)
	far := p.mayGoFar(piece, entitled)
	for _, avoid := range []bool{true, false} {
		if !avoid && len(piece.Avoid) == 0 {
			break
		}
		if workers, ok := p.findFree(piece, far, avoid); ok {
			return p.take(piece, workers, nil), true
		}
	}
	if !entitled && (p.rank(piece) != rankInTime || p.hasSlack(piece)) {
		return Placement{}, false
	}
	workers, evict, ok := p.evictFor(piece, far, entitled)
	if !ok {
		return Placement{}, false
	}
	return p.take(piece, workers, evict), true
}

// mayGoFar reports whether the piece may run away from its data or over several
// racks. That makes it several times slower, so it first waits about as long as it
// would run, unless a guarantee bounds its wait.
func (p *planner) mayGoFar(piece *Piece, entitled bool) bool {
	waited := p.s.Now.Sub(piece.Ready)
	if entitled {
		return waited >= entitledPatience
	}
	return waited >= piece.Estimate || !p.fitsNear(piece)
}

// fitsNear reports whether the piece would fit near its data if that rack were empty.
func (p *planner) fitsNear(piece *Piece) bool {
	for _, name := range p.candidateRacks(piece) {
		slots := 0
		for _, i := range p.racks[name] {
			w := &p.workers[i]
			if p.allowed(piece, w, false) {
				slots += piece.Demand.CountIn(w.Capacity, p.limit(piece, w))
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
		return p.names
	}
	if p.racks[piece.DataRack] == nil {
		return nil
	}
	return []string{piece.DataRack}
}

// allowed reports whether a worker may run tasks of the piece.
func (p *planner) allowed(piece *Piece, w *Worker, avoid bool) bool {
	if avoid && piece.Avoid[w.ID] || piece.Allowed != nil && !piece.Allowed[w.ID] {
		return false
	}
	return piece.RequiredLabel == "" || slices.Contains(w.Labels, piece.RequiredLabel)
}

// limit is the largest number of tasks of the piece that a worker may get.
func (p *planner) limit(piece *Piece, w *Worker) int {
	if piece.MaxPerWorker == 0 {
		return piece.Tasks
	}
	return min(piece.Tasks, max(0, piece.MaxPerWorker-piece.OnWorker[w.ID]-p.placed[piece.Class][w.ID]))
}

// findFree looks for free room: on one rack when that matters, else anywhere.
func (p *planner) findFree(piece *Piece, far, avoid bool) ([]model.WorkerID, bool) {
	if piece.SameRack || piece.DataRack != "" {
		if workers, ok := p.findNear(piece, avoid); ok {
			return workers, true
		}
		if !far {
			return nil, false
		}
	}
	return p.fill(piece, p.allWorkers(), avoid)
}

// findNear returns the place on the candidate rack that leaves the least room over.
func (p *planner) findNear(piece *Piece, avoid bool) ([]model.WorkerID, bool) {
	var best []model.WorkerID
	least := 0
	for _, name := range p.candidateRacks(piece) {
		slots := 0
		for _, i := range p.racks[name] {
			slots += p.slots(piece, i, avoid)
		}
		if slots < piece.Tasks || best != nil && slots >= least {
			continue
		}
		if workers, ok := p.fill(piece, p.racks[name], avoid); ok {
			best, least = workers, slots
		}
	}
	return best, best != nil
}

func (p *planner) slots(piece *Piece, i int, avoid bool) int {
	w := &p.workers[i]
	if !p.allowed(piece, w, avoid) {
		return 0
	}
	return piece.Demand.CountIn(w.Free, p.limit(piece, w))
}

func (p *planner) allWorkers() []int {
	all := make([]int, len(p.workers))
	for i := range all {
		all[i] = i
	}
	return all
}

// option is a worker that has room for tasks of a piece.
type option struct {
	index int
	slots int
	empty bool
}

// fill gives the tasks to the workers with the least free accelerators that fit, so
// that whole workers stay free for large tasks, and whole racks for large gangs.
func (p *planner) fill(piece *Piece, among []int, avoid bool) ([]model.WorkerID, bool) {
	options, total := p.options(piece, among, avoid)
	if total < piece.Tasks {
		return nil, false
	}
	slices.SortFunc(options, func(a, b option) int {
		wa, wb := &p.workers[a.index], &p.workers[b.index]
		return cmp.Or(
			cmp.Compare(wa.Penalty, wb.Penalty),
			cmp.Compare(wa.Free.Accelerators, wb.Free.Accelerators),
			cmp.Compare(p.room.empty[wa.Rack], p.room.empty[wb.Rack]),
			cmp.Compare(wa.Free.MemoryMB, wb.Free.MemoryMB),
			cmp.Compare(wa.ID, wb.ID),
		)
	})
	workers := make([]model.WorkerID, 0, piece.Tasks)
	mayBreak := p.mayBreak(piece)
	for _, o := range options {
		if o.empty {
			if mayBreak == 0 {
				continue
			}
			mayBreak--
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

// options lists the workers with room for the piece, and the tasks that fit in all.
func (p *planner) options(piece *Piece, among []int, avoid bool) ([]option, int) {
	var options []option
	total := 0
	for _, i := range among {
		if n := p.slots(piece, i, avoid); n > 0 {
			options = append(options, option{index: i, slots: n, empty: p.workers[i].isEmpty()})
			total += n
		}
	}
	return options, total
}

// take books the room of a placement in the working state.
func (p *planner) take(piece *Piece, workers []model.WorkerID, evict []PieceID) Placement {
	for _, id := range workers {
		w := &p.workers[p.byID[id]]
		if w.isEmpty() {
			p.room.empty[w.Rack]--
			p.room.total--
		}
		w.Free = w.Free.Sub(piece.Demand)
	}
	if piece.Priority == 0 {
		p.urgent[piece.Organisation] += piece.accelerators()
	}
	if piece.MaxPerWorker > 0 {
		if p.placed[piece.Class] == nil {
			p.placed[piece.Class] = map[model.WorkerID]int{}
		}
		for _, id := range workers {
			p.placed[piece.Class][id]++
		}
	}
	return Placement{Piece: piece.ID, Workers: workers, Evict: evict}
}
