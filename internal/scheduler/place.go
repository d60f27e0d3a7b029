package scheduler

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
	"github.com/chervilrun/chervilrun/internal/scheduler/queue"
	"github.com/chervilrun/chervilrun/internal/scheduler/usage"
)

// The reasons why a job waits, as Explain gives them.
const (
	waitsForQuota        = "its organisation uses all the accelerators that it may use"
	waitsForPlace        = "no place is free that has the shape it asks for"
	waitsForUnguaranteed = "it can't be stopped once it runs, and what is free belongs to guarantees"
	waitsForEarlierJobs  = "jobs ahead of it have not been placed yet"
	waitsForZone         = "the availability zone is out of service"
	waitsForVictims      = "others are leaving the place that it will take"
	waitsReserved        = "a place is reserved for it; it waits for the gangs there to finish"
)

// tryPlace gives the head of the lane a place, if there is one, or the claim to one.
func (e *Core) tryPlace(lane *queue.EquivalenceClass) bool {
	g := lane.Head()
	if !e.ledger.Allows(g.Spec.Organisation, g.Total().Accelerators) {
		lane.Reason = waitsForQuota
		return false
	}
	p, ok := e.findPlace(g)
	if !ok {
		lane.Reason = waitsForPlace
		if !g.Spec.Preemptible() {
			lane.Reason = waitsForUnguaranteed
		}
		return false
	}
	e.dropReservation(g)
	e.claim(g, p)
	return true
}

// findPlace looks for a place in this order: free and within the organisation's
// guarantees, free beside them, within the guarantees by evicting borrowers.
func (e *Core) findPlace(g *cache.Gang) (plan, bool) {
	e.avoidWorkers = g.AvoidWorkers
	p, ok := e.findPlaceAvoiding(g)
	e.avoidWorkers = nil
	if ok || len(g.AvoidWorkers) == 0 {
		return p, ok
	}
	return e.findPlaceAvoiding(g)
}

func (e *Core) findPlaceAvoiding(g *cache.Gang) (plan, bool) {
	if p, ok := e.placeWithinGuarantees(g); ok {
		return p, true
	}
	if p, ok := e.borrow(g); ok {
		return p, true
	}
	return e.reclaim(g)
}

// freeOn is the room of a worker for the gang at hand, heeding the workers to avoid.
func (e *Core) freeOn(w *cache.Worker) model.Resources {
	if e.avoidWorkers[w.ID] {
		return model.Resources{}
	}
	return w.Free()
}

// bestCandidate returns the candidate with the lowest score in e.space, or nil.
func (e *Core) bestCandidate(shape model.Shape) feasible.Candidate {
	e.ranker.Prepare(e.pool, shape.PerTask)
	var best feasible.Candidate
	lowest := 0.0
	e.search.Each(&e.candidateSpace, shape, e.ranker, func(c feasible.Candidate) bool {
		score := e.ranker.Score(c)
		if best == nil || score < lowest {
			best, lowest = append(best[:0], c...), score
		}
		return true
	})
	return best
}

// borrow finds a place that is free and beside the organisation's guarantees, on
// workers reserved for others only if there is no other place.
func (e *Core) borrow(g *cache.Gang) (plan, bool) {
	if p, ok := e.borrowFrom(g, false); ok {
		return p, true
	}
	if !g.Spec.Preemptible() {
		return e.borrowByMovingGuarantees(g)
	}
	if len(e.reservations) == 0 || !e.mayBackfill(g) {
		return plan{}, false
	}
	return e.borrowFrom(g, true)
}

// borrowByMovingGuarantees finds a free place for a gang that can't be stopped and moves the vacant
// guaranteed shapes that lie there to other places.
func (e *Core) borrowByMovingGuarantees(g *cache.Gang) (plan, bool) {
	e.pool.FillSpace(&e.candidateSpace, func(w *cache.Worker) model.Resources {
		if w.Reserved != nil && w.Reserved != g {
			return model.Resources{}
		}
		return cache.Min(e.freeOn(w), cache.AtLeastZero(w.Capacity.Sub(e.guaranteedInUse(w)).Sub(w.Pinned)))
	})
	c := e.bestCandidate(g.Shape)
	if c == nil {
		return plan{}, false
	}
	parts := e.pool.Parts(c)
	workers := e.adjustPinned(parts, g.Shape.PerTask, 1)
	ok := e.guarantees.MoveVacantOff(workers)
	e.adjustPinned(parts, g.Shape.PerTask, -1)
	return plan{parts: parts}, ok
}

// guaranteedInUse is what instances hold on a worker that gangs use, and that can't move.
func (e *Core) guaranteedInUse(w *cache.Worker) model.Resources {
	held := w.Guaranteed
	for _, inst := range e.guarantees.Instances() {
		if inst.Vacant() {
			held = held.Sub(inst.AmountOn(w))
		}
	}
	return held
}

// adjustPinned counts parts as pinned, or no longer with sign -1, and lists the workers.
func (e *Core) adjustPinned(parts []cache.Part, perTask model.Resources, sign int) []*cache.Worker {
	var workers []*cache.Worker
	for _, part := range parts {
		w := part.Worker
		w.Pinned = w.Pinned.Add(perTask.Times(sign * part.Tasks))
		workers = append(workers, w)
	}
	return workers
}

func (e *Core) borrowFrom(g *cache.Gang, reserved bool) (plan, bool) {
	e.pool.FillSpace(&e.candidateSpace, func(w *cache.Worker) model.Resources {
		if !reserved && w.Reserved != nil && w.Reserved != g {
			return model.Resources{}
		}
		return e.availableToBorrow(g, w)
	})
	if e.rampingUp() && !e.isLarge(g) {
		e.excludeClosedRacks()
	}
	c := e.bestCandidate(g.Shape)
	if c == nil {
		return plan{}, false
	}
	return plan{parts: e.pool.Parts(c), backfill: reserved}, true
}

// maxShortRunTime is the typical run time, as a hint, up to which a gang without
// checkpoints is let onto reserved workers.
const maxShortRunTime = 2 * time.Minute

// mayBackfill reports whether the gang may run on workers reserved for another. It
// must be one that can be stopped at any time; whether it loses work then is judged
// by what its service was seen to do, never by what the job declares.
func (e *Core) mayBackfill(g *cache.Gang) bool {
	if !g.Spec.Preemptible() {
		return false
	}
	return g.Spec.Checkpoint || e.estimator.MedianRunTime(usage.KeyOf(g.Spec)) <= maxShortRunTime
}

// availableToBorrow is the room in which the gang may run as a borrower: a gang that can't
// be stopped stays off guarantees.
func (e *Core) availableToBorrow(g *cache.Gang, w *cache.Worker) model.Resources {
	free := e.freeOn(w)
	if g.Spec.Preemptible() {
		return free
	}
	return cache.Min(free, w.Unguaranteed())
}
