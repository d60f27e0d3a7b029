package guaranteeplacement

import (
	"cmp"
	"slices"

	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
)

// PlaceUnmet tries to place every instance that is unplaced or held on a worker that
// is not schedulable. Gangs within an instance that is moved are passed to detach. An
// instance with a gang that is not preemptible or still claiming stays where it is.
// It reports whether every instance is met now.
func (a *Allocator) PlaceUnmet(detach func(*cache.Gang)) bool {
	var unmet []*cache.GuaranteeInstance
	for _, inst := range a.instances {
		if !inst.Met() && movable(inst) {
			unmet = append(unmet, inst)
		}
	}
	sortLargestFirst(unmet)
	failed := 0
	for _, inst := range unmet {
		if !a.relocate(inst, detach) {
			failed++
		}
	}
	if failed > 0 {
		a.repack()
	}
	return unmetSize(a.instances) == 0
}

// movable reports whether all gangs within the instance can be detached.
func movable(inst *cache.GuaranteeInstance) bool {
	for _, g := range inst.Gangs {
		if !g.Spec.Preemptible() || g.State == cache.Claiming {
			return false
		}
	}
	return true
}

// relocate places the instance on schedulable workers. If that is impossible, it keeps
// its current placement, if any.
func (a *Allocator) relocate(inst *cache.GuaranteeInstance, detach func(*cache.Gang)) bool {
	parts := a.findPlacement(inst)
	if parts == nil {
		return false
	}
	DetachAndRelease(inst, detach)
	inst.Hold(parts)
	return true
}

// findPlacement finds a placement for an instance that avoids all other instances and pinned
// gangs. What borrowers use there only breaks ties between equal placements.
func (a *Allocator) findPlacement(inst *cache.GuaranteeInstance) []cache.Part {
	a.pool.FillSpace(&a.space, func(w *cache.Worker) model.Resources { return AvailableFor(inst, w) })
	var best feasible.Candidate
	lowestCost := 0.0
	a.search.Each(&a.space, inst.Shape, siteOrder{a}, func(c feasible.Candidate) bool {
		cost := 0.0
		for _, part := range c {
			cost += a.placementCost(part, inst.Shape.PerTask)
		}
		if best == nil || cost < lowestCost {
			best, lowestCost = append(best[:0], c...), cost
		}
		return true
	})
	if best == nil {
		return nil
	}
	return a.pool.Parts(best)
}

// AvailableFor returns the resources on a worker that the instance could hold: those not
// held by other instances or used by pinned gangs.
func AvailableFor(inst *cache.GuaranteeInstance, w *cache.Worker) model.Resources {
	if !w.Schedulable() {
		return model.Resources{}
	}
	return cache.AtLeastZero(w.Capacity.Sub(w.Guaranteed).Sub(w.Pinned).Add(inst.AmountOn(w)))
}

// placementCost is lowest for placements that leave the fewest resources unguaranteed on
// the workers; among equals, for those on free accelerators.
func (a *Allocator) placementCost(part feasible.Part, perTask model.Resources) float64 {
	amount := perTask.Times(part.Tasks)
	left := a.space.Available[part.Site].Sub(amount)
	lent := amount.Accelerators - a.pool.Workers[part.Site].Free().Accelerators
	return float64(left.Accelerators) + float64(left.MilliCPU)/16000 + 0.01*float64(max(lent, 0))
}

// siteOrder fills the workers with the fewest available accelerators first.
type siteOrder struct{ allocator *Allocator }

// Cost is the number of available accelerators at a site, times the number of tasks.
func (o siteOrder) Cost(site, tasks int) float64 {
	return float64(o.allocator.space.Available[site].Accelerators) * float64(tasks)
}

// PreferredTasks is every task: sites are filled completely.
func (siteOrder) PreferredTasks(_, tasks int) int { return tasks }

// repack places all vacant instances anew, with the algorithm that assigned them to the
// zone. If that doesn't reduce their unmetSize, it restores the old placements.
func (a *Allocator) repack() {
	vacant := a.vacantInstances()
	before := make([][]cache.Part, len(vacant))
	unmetBefore := unmetSize(vacant)
	instances := make([]guarantee.Instance, len(vacant))
	for i, inst := range vacant {
		before[i] = inst.Parts
		instances[i] = guarantee.Instance{Organisation: inst.Organisation, Name: inst.Name, Shape: inst.Shape}
		inst.Release()
	}
	unplaced := &cache.GuaranteeInstance{}
	a.pool.FillSpace(&a.space, func(w *cache.Worker) model.Resources { return AvailableFor(unplaced, w) })
	for i, c := range guarantee.PlaceInZone(&a.space, instances) {
		if c != nil {
			vacant[i].Hold(a.pool.Parts(c))
		}
	}
	if unmetSize(vacant) < unmetBefore {
		return
	}
	for _, inst := range vacant {
		inst.Release()
	}
	for i, inst := range vacant {
		inst.Hold(before[i])
	}
}

// vacantInstances lists the vacant instances by organisation and name.
func (a *Allocator) vacantInstances() []*cache.GuaranteeInstance {
	var list []*cache.GuaranteeInstance
	for _, inst := range a.instances {
		if inst.Vacant() {
			list = append(list, inst)
		}
	}
	slices.SortStableFunc(list, func(x, y *cache.GuaranteeInstance) int {
		return cmp.Or(cmp.Compare(x.Organisation, y.Organisation), cmp.Compare(x.Name, y.Name))
	})
	return list
}

// unmetSize is the number of accelerators of unmet instances, plus one for each instance.
func unmetSize(instances []*cache.GuaranteeInstance) int {
	sum := 0
	for _, inst := range instances {
		if !inst.Met() {
			sum += 1 + inst.Shape.Total().Accelerators
		}
	}
	return sum
}

func sortLargestFirst(instances []*cache.GuaranteeInstance) {
	adjacencyRank := map[model.Adjacency]int{model.AdjacencyRack: 1, model.AdjacencyWorker: 2}
	slices.SortStableFunc(instances, func(x, y *cache.GuaranteeInstance) int {
		return cmp.Or(
			cmp.Compare(weightedSize(y.Shape), weightedSize(x.Shape)),
			cmp.Compare(adjacencyRank[y.Shape.Adjacency], adjacencyRank[x.Shape.Adjacency]))
	})
}

// ReleaseOvercommitted releases instances held on a worker, vacant ones first, until the
// guarantees there fit again, after a pinned gang was found there or its capacity shrank.
func (a *Allocator) ReleaseOvercommitted(w *cache.Worker, detach func(*cache.Gang)) {
	for _, vacant := range []bool{true, false} {
		for _, inst := range a.instances {
			if w.GuaranteesFit() {
				return
			}
			if inst.Vacant() == vacant && !inst.AmountOn(w).IsZero() {
				DetachAndRelease(inst, detach)
			}
		}
	}
}
