package holding

import (
	"cmp"
	"slices"

	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
)

// PlaceUnmet gives a place to every unit that lacks one or that lies on a worker which
// can't start tasks. Gangs within a unit that has to move are handed to detach if
// they can be stopped; a unit with a gang that can't be stopped stays where it is.
// It reports whether every unit is held now.
func (a *Allocator) PlaceUnmet(detach func(*cache.Gang)) bool {
	var homeless []*cache.GuaranteeInstance
	for _, inst := range a.instances {
		if !inst.Met() && movable(inst) {
			homeless = append(homeless, inst)
		}
	}
	sortLargestFirst(homeless)
	homelessLeft := 0
	for _, inst := range homeless {
		if !a.relocate(inst, detach) {
			homelessLeft++
		}
	}
	if homelessLeft > 0 {
		a.repack()
	}
	return unmetSize(a.instances) == 0
}

// movable reports whether no gang within the unit is bound to its place.
func movable(inst *cache.GuaranteeInstance) bool {
	for _, g := range inst.Gangs {
		if !g.Spec.Preemptible() || g.State == cache.Claiming {
			return false
		}
	}
	return true
}

// relocate gives the unit a place on workers that can start tasks. Without one it keeps
// the place that it has, if any.
func (a *Allocator) relocate(inst *cache.GuaranteeInstance, detach func(*cache.Gang)) bool {
	c := a.findPlace(inst)
	if c == nil {
		return false
	}
	DetachAndRelease(inst, detach)
	inst.Hold(c)
	return true
}

// findPlace finds a findPlace for a unit beside all other instances and pinned gangs; what
// borrowers use there counts against it only between places that are otherwise equal.
func (a *Allocator) findPlace(inst *cache.GuaranteeInstance) []cache.Part {
	a.pool.FillSpace(&a.space, func(w *cache.Worker) model.Resources { return AvailableFor(inst, w) })
	var best feasible.Candidate
	lowest := 0.0
	a.search.Each(&a.space, inst.Shape, siteOrder{a}, func(c feasible.Candidate) bool {
		cost := 0.0
		for _, part := range c {
			cost += a.placementCost(part, inst.Shape.PerTask)
		}
		if best == nil || cost < lowest {
			best, lowest = append(best[:0], c...), cost
		}
		return true
	})
	if best == nil {
		return nil
	}
	return a.pool.Parts(best)
}

// AvailableFor returns the room in which the unit could be held on a worker: what is
// beside all other instances and pinned gangs.
func AvailableFor(inst *cache.GuaranteeInstance, w *cache.Worker) model.Resources {
	if !w.Schedulable() {
		return model.Resources{}
	}
	return cache.AtLeastZero(w.Capacity.Sub(w.Guaranteed).Sub(w.Pinned).Add(inst.AmountOn(w)))
}

// placementCost prefers places that leave little room beside them and then free ones.
func (a *Allocator) placementCost(part feasible.Part, perTask model.Resources) float64 {
	amount := perTask.Times(part.Tasks)
	left := a.space.Available[part.Site].Sub(amount)
	lent := amount.Accelerators - a.pool.Workers[part.Site].Free().Accelerators
	return float64(left.Accelerators) + float64(left.MilliCPU)/16000 + 0.01*float64(max(lent, 0))
}

type siteOrder struct{ allocator *Allocator }

// Cost prefers workers that little room is left on.
func (o siteOrder) Cost(site, tasks int) float64 {
	return float64(o.allocator.space.Available[site].Accelerators) * float64(tasks)
}

// PreferredTasks is every task: the sites are filled to the brim.
func (siteOrder) PreferredTasks(_, tasks int) int { return tasks }

// repack places all vacant instances anew, in the way in which they were packed into the
// zone. It undoes this if that leaves no fewer accelerators without a place.
func (a *Allocator) repack() {
	vacantInstances := a.vacantInstances()
	before := make([][]cache.Part, len(vacantInstances))
	missed := unmetSize(vacantInstances)
	instances := make([]guarantee.Instance, len(vacantInstances))
	for i, inst := range vacantInstances {
		before[i] = inst.Parts
		instances[i] = guarantee.Instance{Organisation: inst.Organisation, Name: inst.Name, Shape: inst.Shape}
		inst.Release()
	}
	none := &cache.GuaranteeInstance{}
	a.pool.FillSpace(&a.space, func(w *cache.Worker) model.Resources { return AvailableFor(none, w) })
	for i, c := range guarantee.PlaceInZone(&a.space, instances) {
		if c != nil {
			vacantInstances[i].Hold(a.pool.Parts(c))
		}
	}
	if unmetSize(vacantInstances) < missed {
		return
	}
	for _, inst := range vacantInstances {
		inst.Release()
	}
	for i, inst := range vacantInstances {
		inst.Hold(before[i])
	}
}

// vacantInstances lists the vacantInstances instances by organisation and name.
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

// unmetSize is the number of accelerators of unmet instances, plus one for each unit.
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
	tight := map[model.Adjacency]int{model.AdjacencyRack: 1, model.AdjacencyWorker: 2}
	slices.SortStableFunc(instances, func(x, y *cache.GuaranteeInstance) int {
		return cmp.Or(
			cmp.Compare(weightedSize(y.Shape), weightedSize(x.Shape)),
			cmp.Compare(tight[y.Shape.Adjacency], tight[x.Shape.Adjacency]))
	})
}

// ReleaseOvercommitted makes a worker sound again, on which a pinned gang was found or whose
// capacity shrank: instances give up their place there, vacant ones first.
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
