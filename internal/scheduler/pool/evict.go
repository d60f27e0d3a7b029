package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// victim is a run that may be stopped to make room on a worker.
type victim struct {
	*Run
	price float64
}

// offer is what one more task costs on a worker.
type offer struct {
	cost float64
	ok   bool
	// search is the search that worked the offer out.
	search int
}

// eviction is the working state of a search for runs to stop. Workers are named by index.
type eviction struct {
	p     *planner
	piece *Piece
	// entitled pieces take room from all runs that no guarantee covers, others from
	// runs of lower priority only, and at a bounded cost.
	entitled bool
	free     map[int]model.Resources
	chosen   map[*Run]bool
	// number tells the offers of this search from earlier ones.
	number int
	order  []*Run
	cost   float64
}

// evictFor finds room by stopping the runs with the least unsaved work that no
// guarantee covers. The room is booked as if they were gone.
func (p *planner) evictFor(piece *Piece, far, entitled bool) ([]model.WorkerID, []PieceID, bool) {
	if p.offers == nil {
		p.offers = make([]offer, len(p.workers))
		p.victims = make([][]victim, len(p.workers))
	}
	var best *eviction
	var place []model.WorkerID
	limit := math.Inf(1)
	for _, among := range p.evictionScopes(piece, far) {
		p.searches++
		e := &eviction{
			p: p, piece: piece, entitled: entitled, number: p.searches,
			free: map[int]model.Resources{}, chosen: map[*Run]bool{},
		}
		workers, ok := e.search(among, limit)
		if ok && e.worthwhile() {
			best, place, limit = e, workers, e.cost
		}
	}
	if best == nil {
		return nil, nil, false
	}
	var evicted []PieceID
	for _, run := range best.order {
		p.evict(run)
		evicted = append(evicted, run.Piece)
	}
	return place, evicted, true
}

// evictionScopes lists the sets of workers to search: each near rack, else all.
func (p *planner) evictionScopes(piece *Piece, far bool) [][]int {
	near := piece.SameRack || piece.DataRack != ""
	var scopes [][]int
	if near && p.fitsNear(piece) {
		for _, name := range p.candidateRacks(piece) {
			scopes = append(scopes, p.racks[name])
		}
	}
	if far || len(scopes) == 0 {
		scopes = append(scopes, p.allWorkers())
	}
	return scopes
}

// victimsOn lists the runs on a worker that may be stopped, the cheapest first.
func (p *planner) victimsOn(i int) []victim {
	if p.victims[i] != nil {
		return p.victims[i]
	}
	w := &p.workers[i]
	victims := p.newVictims(len(w.Runs))
	for _, run := range w.Runs {
		if run.Stoppable && (run.Priority > 0 || !p.covered[run]) {
			victims = append(victims, victim{run, price(run, p.s.Now)})
		}
	}
	slices.SortFunc(victims, func(a, b victim) int {
		if a.price != b.price {
			return cmp.Compare(a.price, b.price)
		}
		return cmp.Compare(a.Piece, b.Piece)
	})
	p.victims[i] = victims
	return victims
}

// slabSize is the number of victims that are allocated at once.
const slabSize = 4096

// newVictims returns an empty list with a capacity.
func (p *planner) newVictims(capacity int) []victim {
	if len(p.slab) < capacity {
		p.slab = make([]victim, max(slabSize, capacity))
	}
	list := p.slab[:0:capacity]
	p.slab = p.slab[capacity:]
	return list
}

// evict books the room of a run as free.
func (p *planner) evict(run *Run) {
	p.evicted[run] = true
	for _, share := range run.On {
		if i, ok := p.byID[share.Worker]; ok {
			p.workers[i].Free = p.workers[i].Free.Add(share.Room)
		}
	}
}

// search places the tasks one by one, each where it costs least. It gives up when the
// cost reaches the limit, which another place has.
func (e *eviction) search(among []int, limit float64) ([]model.WorkerID, bool) {
	used := map[int]int{}
	var workers []model.WorkerID
	for range e.piece.Tasks {
		i, ok := e.cheapest(among, used)
		if !ok || e.cost >= limit {
			return nil, false
		}
		workers = append(workers, e.p.workers[i].ID)
		used[i]++
		e.setFree(i, e.freeOn(i).Sub(e.piece.Demand))
	}
	return workers, true
}

func (e *eviction) freeOn(i int) model.Resources {
	if free, ok := e.free[i]; ok {
		return free
	}
	return e.p.workers[i].Free
}

// setFree notes the room of a worker, so that its offer is worked out anew.
func (e *eviction) setFree(i int, free model.Resources) {
	e.free[i] = free
	e.p.offers[i] = offer{}
}

// cheapest picks the worker on which one more task costs the least unsaved work.
func (e *eviction) cheapest(among []int, used map[int]int) (int, bool) {
	var best offer
	at := 0
	for _, i := range among {
		w := &e.p.workers[i]
		if !e.p.allowed(e.piece, w, true) || used[i] >= e.p.limit(e.piece, w) {
			continue
		}
		o := &e.p.offers[i]
		if o.search != e.number {
			_, cost, ok := e.victimsFor(i)
			*o = offer{cost: cost, ok: ok, search: e.number}
		}
		if o.ok && (!best.ok || o.cost < best.cost) {
			best, at = *o, i
		}
	}
	if best.ok {
		victims, _, _ := e.victimsFor(at)
		for _, v := range victims {
			e.choose(v)
		}
	}
	return at, best.ok
}

func (e *eviction) choose(v victim) {
	e.chosen[v.Run] = true
	e.order = append(e.order, v.Run)
	e.cost += v.price
	for _, share := range v.On {
		if i, ok := e.p.byID[share.Worker]; ok {
			e.setFree(i, e.freeOn(i).Add(share.Room))
		}
	}
}

// victimsFor returns runs whose end makes room for one task on a worker, and their price.
// The list holds until the next call.
func (e *eviction) victimsFor(i int) ([]victim, float64, bool) {
	chosen := e.p.scratch[:0]
	id, free := e.p.workers[i].ID, e.freeOn(i)
	if e.piece.Demand.Fits(free) {
		return chosen, 0, true
	}
	for _, v := range e.p.victimsOn(i) {
		if !e.mayStop(v.Run) {
			continue
		}
		chosen = append(chosen, v)
		free = free.Add(v.roomOn(id))
		if e.piece.Demand.Fits(free) {
			break
		}
	}
	e.p.scratch = chosen
	if !e.piece.Demand.Fits(free) {
		return nil, 0, false
	}
	chosen = spare(chosen, id, free, e.piece.Demand)
	cost := 0.0
	for _, v := range chosen {
		cost += v.price
	}
	return chosen, cost, true
}

// spare drops the runs, the most expensive first, whose room on a worker is not needed
// since that of the others is enough. The runs are sorted by price, and free counts them
// as gone.
func spare(victims []victim, id model.WorkerID, free, demand model.Resources) []victim {
	for i := len(victims) - 1; i >= 0; i-- {
		if without := free.Sub(victims[i].roomOn(id)); demand.Fits(without) {
			free = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// worthShare bounds the work that an eviction throws away, as a share of the work of
// the piece that gets its room in time.
const worthShare = 0.15

func (e *eviction) worthwhile() bool {
	return e.entitled || e.cost <= worthShare*e.piece.work()
}

// work is the estimated work of a piece in core-seconds.
func (p *Piece) work() float64 {
	return Cores(p.Demand) * float64(p.Tasks) * p.Estimate.Seconds()
}

func (e *eviction) mayStop(run *Run) bool {
	if !e.entitled && run.Priority <= e.piece.Priority {
		return false
	}
	// Most searches have chosen nothing yet, which an empty map tells without a lookup.
	return !(len(e.p.evicted) > 0 && e.p.evicted[run]) && !(len(e.chosen) > 0 && e.chosen[run])
}

// urgentPrice is what stopping a run of priority 0 costs beside its unsaved work, in
// core-seconds: runs of lower priority are stopped first.
const urgentPrice = 1000

// stopPrice is the cost of any stop and restart, in core-seconds.
const stopPrice = 5

func price(run *Run, now time.Time) float64 {
	price := stopPrice + run.UnsavedWork(now)
	if run.Priority == 0 {
		price += urgentPrice
	}
	return price
}
