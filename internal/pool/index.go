package pool

import (
	"github.com/chervilrun/chervilrun/internal/model"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
)

// index sorts the pieces by what a plan asks of them, so that a plan costs time by what
// waits and not by what runs.
type index struct {
	// idle are the pieces without a place, those of steps to come included.
	idle table[plan.PieceID, *piece]
	// urgent are the pieces of priority 0 that hold room or may hold it.
	urgent table[plan.PieceID, *piece]
	// use counts the accelerators of the pieces that hold room or may hold it.
	use map[useKey]int
}

// useKey names the runs of a service that have the same priority.
type useKey struct {
	service  model.ServiceID
	priority int
}

func newIndex() index {
	return index{
		idle:   newTable[plan.PieceID, *piece](),
		urgent: newTable[plan.PieceID, *piece](),
		use:    map[useKey]int{},
	}
}

// add takes a piece in as it is.
func (x *index) add(p *piece) {
	switch {
	case p.state() == pieceWaiting:
		x.idle.set(p.id, p)
	case p.placing():
		x.use[p.useKey()] += p.accelerators()
		if p.job.queue.Priority == 0 {
			x.urgent.set(p.id, p)
		}
	}
}

// remove takes a piece out as it is.
func (x *index) remove(p *piece) {
	switch {
	case p.state() == pieceWaiting:
		x.idle.remove(p.id)
	case p.placing():
		x.use[p.useKey()] -= p.accelerators()
		x.urgent.remove(p.id)
	}
}

func (p *piece) useKey() useKey { return useKey{p.job.queue.Service, p.job.queue.Priority} }

// enter adds a piece to those that the owner drives.
func (o *Owner) enter(p *piece) {
	o.pieces[p.id] = p
	o.index.add(p)
}

// leave takes a piece out of those that the owner drives.
func (o *Owner) leave(p *piece) {
	if o.pieces[p.id] == p {
		o.index.remove(p)
		delete(o.pieces, p.id)
	}
}

// fire makes a transition of a piece.
func (o *Owner) fire(p *piece, transition string) {
	driven := o.pieces[p.id] == p
	if driven {
		o.index.remove(p)
	}
	p.chart.Fire(transition)
	if driven {
		o.index.add(p)
	}
	o.forgetRun(p)
}

// forgetRun drops what plans were shown of the piece, since it has changed.
func (o *Owner) forgetRun(p *piece) {
	p.shown = nil
	for _, m := range p.members {
		if w, ok := o.workers.get(m.on); ok {
			w.shown = nil
		}
	}
}
