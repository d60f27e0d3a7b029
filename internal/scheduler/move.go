package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
)

const (
	// moveSearchInterval is the minimum time between two searches for gangs to move for
	// the same gang.
	moveSearchInterval = 10 * time.Second
	// minRunBeforeMove is how long a gang must have been placed before it may be moved (again).
	minRunBeforeMove = 2 * time.Minute
	// maxMoveCostRatio limits the eviction cost of all moved gangs together, as a multiple
	// of the cost of restarting the gang that benefits.
	maxMoveCostRatio = 1.0
)

// claimByMoving defragments the zone for a large gang: it looks for smaller gangs with
// checkpoints that can be restarted on free resources elsewhere, and claims the resources
// that they free. Gangs that may be preempted for fairness need not fit elsewhere at once.
// The cost of all moves is limited by maxMoveCostRatio.
func (e *ZoneEngine) claimByMoving(g *cache.Gang) bool {
	if e.now.Before(g.NextMoveSearch) || !e.ledger.Allows(g.Spec.Organisation, g.Total().Accelerators) {
		return false
	}
	g.NextMoveSearch = e.now.Add(moveSearchInterval)
	if e.now.Sub(g.Accepted) < e.options.FairPreemptAfter && !e.enoughFree(g) {
		return false
	}
	e.victimSelector.Allowed = func(v *cache.Gang) bool { return e.movable(v, g) }
	e.victimSelector.Cost = func(v *cache.Gang) float64 { return e.evictionCost(v, g) }
	e.pool.FillSpace(&e.candidateSpace, func(w *cache.Worker) model.Resources { return e.availableAfterMoves(g, w) })
	best, lowestCost := plan{}, maxMoveCostRatio*restartSeconds*float64(1+g.Total().Accelerators)
	order := evictionOrder{e, g.Shape.PerTask}
	e.search.Each(&e.candidateSpace, g.Shape, order, func(c feasible.Candidate) bool {
		parts := e.pool.Parts(c)
		victims, cost, ok := e.victimSelector.Select(e.needs(parts, g.Shape.PerTask), lowestCost)
		if ok && e.fitElsewhere(victims, g, parts) {
			best, lowestCost = plan{parts: parts, victims: slices.Clone(victims)}, cost
		}
		return true
	})
	if best.parts == nil {
		return false
	}
	e.dropReservation(g)
	e.claim(g, best)
	return true
}

// enoughFree reports whether the zone has as much free in total as the gang needs.
func (e *ZoneEngine) enoughFree(g *cache.Gang) bool {
	var free model.Resources
	for _, w := range e.pool.Workers {
		free = free.Add(w.Free())
	}
	return g.Total().Fits(free)
}

// movable reports whether a gang v may be moved for another gang g.
func (e *ZoneEngine) movable(v, g *cache.Gang) bool {
	if v.State != cache.Running || !v.Borrower() || !v.Spec.Checkpoint {
		return false
	}
	if !smaller(v.Total(), g.Total()) {
		return false
	}
	return e.now.Sub(v.Placed) >= minRunBeforeMove
}

// preemptibleForFairness reports whether v may be preempted for a gang g of another
// organisation: g has waited for FairPreemptAfter, v has been placed for MinBorrowerRunTime,
// and the weighted share of v's organisation without v is at least that of g's with g.
func (e *ZoneEngine) preemptibleForFairness(v, g *cache.Gang) bool {
	if e.now.Sub(g.Accepted) < e.options.FairPreemptAfter || e.now.Sub(v.Placed) < e.options.MinBorrowerRunTime {
		return false
	}
	without := e.ledger.ShareWith(v.Spec.Organisation, v.Total().Times(-1))
	with := e.ledger.ShareWith(g.Spec.Organisation, g.Total())
	return v.Spec.Organisation != g.Spec.Organisation && without >= with
}

// smaller compares by accelerators, then by CPU.
func smaller(a, b model.Resources) bool {
	return a.Accelerators < b.Accelerators || a.Accelerators == b.Accelerators && a.MilliCPU < b.MilliCPU
}

// availableAfterMoves is what is available to the gang on a worker once all movable gangs
// have left it.
func (e *ZoneEngine) availableAfterMoves(g *cache.Gang, w *cache.Worker) model.Resources {
	available := w.Free()
	if !w.Schedulable() || w.Reserved != nil && w.Reserved != g {
		return model.Resources{}
	}
	for _, v := range w.Gangs {
		if e.movable(v, g) {
			available = available.Add(amountOn(v, w))
		}
	}
	if !g.Spec.Preemptible() {
		return cache.Min(available, w.Unguaranteed())
	}
	return available
}

// fitElsewhere reports whether all victims fit on free resources outside the gang's
// parts, apart from those preempted for fairness, which may have to wait.
func (e *ZoneEngine) fitElsewhere(victims []*cache.Gang, g *cache.Gang, parts []cache.Part) bool {
	e.pool.FillSpace(&e.trialSpace, (*cache.Worker).Free)
	for _, v := range victims {
		e.trialRelease(v.Parts, v.Shape.PerTask)
	}
	for _, part := range parts {
		site := part.Worker.Site
		left := e.trialSpace.Available[site].Sub(g.Shape.PerTask.Times(part.Tasks))
		e.trialSpace.Available[site] = cache.AtLeastZero(left)
	}
	order := slices.DeleteFunc(slices.Clone(victims), func(v *cache.Gang) bool { return e.preemptibleForFairness(v, g) })
	slices.SortStableFunc(order, func(a, b *cache.Gang) int {
		return cmp.Compare(b.Total().Accelerators, a.Total().Accelerators)
	})
	for _, v := range order {
		if !e.trialPlace(v) {
			return false
		}
	}
	return true
}

func (e *ZoneEngine) trialRelease(parts []cache.Part, perTask model.Resources) {
	for _, part := range parts {
		if part.Worker.Site != cache.Unlisted {
			site := part.Worker.Site
			e.trialSpace.Available[site] = e.trialSpace.Available[site].Add(perTask.Times(part.Tasks))
		}
	}
}

// trialPlace allocates the placement with the fewest accelerators available in the trial
// space, if the gang fits.
func (e *ZoneEngine) trialPlace(v *cache.Gang) bool {
	var best feasible.Candidate
	lowestAvailable := math.Inf(1)
	e.nestedSearch.Each(&e.trialSpace, v.Shape, nil, func(c feasible.Candidate) bool {
		available := 0.0
		for _, part := range c {
			available += float64(e.trialSpace.Available[part.Site].Accelerators)
		}
		if available < lowestAvailable {
			best, lowestAvailable = append(best[:0], c...), available
		}
		return true
	})
	if best == nil {
		return false
	}
	e.trialSpace.Allocate(best, v.Shape.PerTask)
	return true
}
