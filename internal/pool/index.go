package pool

import (
	"github.com/chervilrun/chervilrun/internal/model"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
)

// index keeps the pieces grouped as a plan needs them, so that the cost of a plan depends
// on the number of waiting pieces and not on that of running ones.
type index struct {
	// waiting are the unassigned pieces, including those of steps that are not ready.
	waiting orderedMap[plan.PieceID, *piece]
	// urgent are the pieces of priority 0 that hold or may hold resources.
	urgent orderedMap[plan.PieceID, *piece]
	// usage counts the accelerators of the pieces that hold or may hold resources.
	usage map[usageKey]int
}

// usageKey identifies the runs of a service that have the same priority.
type usageKey struct {
	service  model.ServiceID
	priority int
}

func newIndex() index {
	return index{
		waiting: newOrderedMap[plan.PieceID, *piece](),
		urgent:  newOrderedMap[plan.PieceID, *piece](),
		usage:   map[usageKey]int{},
	}
}

// add adds a piece according to its present state.
func (x *index) add(p *piece) {
	switch {
	case p.state() == pieceWaiting:
		x.waiting.set(p.id, p)
	case p.holdsResources():
		x.usage[p.usageKey()] += p.accelerators()
		if p.job.queue.Priority == 0 {
			x.urgent.set(p.id, p)
		}
	}
}

// remove removes a piece whose state has not changed since it was added.
func (x *index) remove(p *piece) {
	switch {
	case p.state() == pieceWaiting:
		x.waiting.remove(p.id)
	case p.holdsResources():
		x.usage[p.usageKey()] -= p.accelerators()
		x.urgent.remove(p.id)
	}
}

func (p *piece) usageKey() usageKey { return usageKey{p.job.queue.Service, p.job.queue.Priority} }

// addPiece registers a piece with the owner.
func (o *Owner) addPiece(p *piece) {
	o.pieces[p.id] = p
	o.index.add(p)
}

// removePiece unregisters a piece.
func (o *Owner) removePiece(p *piece) {
	if o.pieces[p.id] == p {
		o.index.remove(p)
		delete(o.pieces, p.id)
	}
}

// fire makes a state transition of a piece and keeps the index up to date.
func (o *Owner) fire(p *piece, transition string) {
	indexed := o.pieces[p.id] == p
	if indexed {
		o.index.remove(p)
	}
	p.chart.Fire(transition)
	if indexed {
		o.index.add(p)
	}
	o.invalidatePlanRun(p)
}

// invalidatePlanRun clears the cached planner input of a piece that has changed.
func (o *Owner) invalidatePlanRun(p *piece) {
	p.cachedPlanRun = nil
	for _, m := range p.members {
		if w, ok := o.workers.get(m.workerID); ok {
			w.cachedPlanRuns = nil
		}
	}
}
