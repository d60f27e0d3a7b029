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
	waitsForQuota           = "it would exceed its organisation's quota of accelerators"
	waitsForResources       = "no free resources fit its shape"
	waitsForUnguaranteed    = "it is not preemptible, and no free resources outside guarantees fit its shape"
	waitsForEarlierJobs     = "jobs ahead of it have not been placed yet"
	waitsForZone            = "the availability zone is out of service"
	waitsForVictims         = "the jobs that it replaces are still stopping"
	waitsForReservedWorkers = "workers are reserved for it; it waits for the gangs there to finish"
)

// tryPlace claims resources for the head of the class, if it can be placed.
func (e *ZoneEngine) tryPlace(class *queue.EquivalenceClass) bool {
	g := class.Head()
	if !e.ledger.Allows(g.Spec.Organisation, g.Total().Accelerators) {
		class.Reason = waitsForQuota
		return false
	}
	p, ok := e.findPlacement(g)
	if !ok {
		class.Reason = waitsForResources
		if !g.Spec.Preemptible() {
			class.Reason = waitsForUnguaranteed
		}
		return false
	}
	e.dropReservation(g)
	e.claim(g, p)
	return true
}

// findPlacement tries, in this order: free resources within the organisation's guarantees,
// free resources outside them, and eviction of borrowers from the guarantees. Workers
// that the gang avoids are used only if there is no other placement.
func (e *ZoneEngine) findPlacement(g *cache.Gang) (plan, bool) {
	e.avoidWorkers = g.AvoidWorkers
	p, ok := e.findPlacementAvoiding(g)
	e.avoidWorkers = nil
	if ok || len(g.AvoidWorkers) == 0 {
		return p, ok
	}
	return e.findPlacementAvoiding(g)
}

func (e *ZoneEngine) findPlacementAvoiding(g *cache.Gang) (plan, bool) {
	if p, ok := e.placeWithinGuarantees(g); ok {
		return p, true
	}
	if p, ok := e.borrow(g); ok {
		return p, true
	}
	return e.reclaim(g)
}

// freeOn is what is free on a worker; zero for one that the current search avoids.
func (e *ZoneEngine) freeOn(w *cache.Worker) model.Resources {
	if e.avoidWorkers[w.ID] {
		return model.Resources{}
	}
	return w.Free()
}

// bestCandidate returns the candidate with the lowest score in e.candidateSpace, or nil.
func (e *ZoneEngine) bestCandidate(shape model.Shape) feasible.Candidate {
	e.ranker.Prepare(e.pool, shape.PerTask)
	var best feasible.Candidate
	lowestScore := 0.0
	e.search.Each(&e.candidateSpace, shape, e.ranker, func(c feasible.Candidate) bool {
		score := e.ranker.Score(c)
		if best == nil || score < lowestScore {
			best, lowestScore = append(best[:0], c...), score
		}
		return true
	})
	return best
}

// borrow finds a free placement outside the organisation's guarantees. It uses workers
// reserved for others only if there is no other placement.
func (e *ZoneEngine) borrow(g *cache.Gang) (plan, bool) {
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

// borrowByMovingGuarantees finds a free placement for a gang that is not preemptible and
// moves vacant guarantee instances out of the way.
func (e *ZoneEngine) borrowByMovingGuarantees(g *cache.Gang) (plan, bool) {
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

// guaranteedInUse is what instances that are not vacant, and so can't be moved, hold on a worker.
func (e *ZoneEngine) guaranteedInUse(w *cache.Worker) model.Resources {
	inUse := w.Guaranteed
	for _, inst := range e.guarantees.Instances() {
		if inst.Vacant() {
			inUse = inUse.Sub(inst.AmountOn(w))
		}
	}
	return inUse
}

// adjustPinned adds parts to what is pinned on their workers, or subtracts them with
// sign -1, and lists the workers.
func (e *ZoneEngine) adjustPinned(parts []cache.Part, perTask model.Resources, sign int) []*cache.Worker {
	var workers []*cache.Worker
	for _, part := range parts {
		w := part.Worker
		w.Pinned = w.Pinned.Add(perTask.Times(sign * part.Tasks))
		workers = append(workers, w)
	}
	return workers
}

// borrowFrom finds a free placement outside guarantees; with includeReserved also on
// workers reserved for others.
func (e *ZoneEngine) borrowFrom(g *cache.Gang, includeReserved bool) (plan, bool) {
	e.pool.FillSpace(&e.candidateSpace, func(w *cache.Worker) model.Resources {
		if !includeReserved && w.Reserved != nil && w.Reserved != g {
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
	return plan{parts: e.pool.Parts(c), backfill: includeReserved}, true
}

// maxShortRunTime is the median run time of a service's jobs up to which those without
// checkpoints may backfill.
const maxShortRunTime = 2 * time.Minute

// mayBackfill reports whether the gang may run on workers reserved for another. It must
// be preemptible and lose little work when stopped: it has checkpoints, or the observed,
// not the declared, run times of its service are short.
func (e *ZoneEngine) mayBackfill(g *cache.Gang) bool {
	if !g.Spec.Preemptible() {
		return false
	}
	return g.Spec.Checkpoint || e.estimator.MedianRunTime(usage.KeyOf(g.Spec)) <= maxShortRunTime
}

// availableToBorrow is what the gang may use on a worker outside its guarantees. A gang
// that is not preemptible must not use resources held by any guarantee.
func (e *ZoneEngine) availableToBorrow(g *cache.Gang, w *cache.Worker) model.Resources {
	free := e.freeOn(w)
	if g.Spec.Preemptible() {
		return free
	}
	return cache.Min(free, w.Unguaranteed())
}
