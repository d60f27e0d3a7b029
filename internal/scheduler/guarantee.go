package scheduler

import (
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
	"github.com/chervilrun/chervilrun/internal/scheduler/guaranteeplacement"
)

// placeWithinGuarantees finds a free placement within the organisation's guarantees,
// moving a vacant instance if needed.
func (e *ZoneEngine) placeWithinGuarantees(g *cache.Gang) (plan, bool) {
	if p, ok := e.placeInUsedInstance(g); ok {
		return p, true
	}
	for _, inst := range e.vacantInstances(g) {
		if p, ok := e.placeInVacantInstance(g, inst); ok {
			return p, true
		}
		if p, ok := e.placeBySwap(g, inst); ok {
			return p, true
		}
	}
	return plan{}, false
}

// vacantInstances lists one vacant instance of each shape that covers the gang, the
// smallest first. Met instances are preferred.
func (e *ZoneEngine) vacantInstances(g *cache.Gang) []*cache.GuaranteeInstance {
	var list []*cache.GuaranteeInstance
	for _, inst := range e.guarantees.ForOrganisation(g.Spec.Organisation) {
		if !inst.Vacant() || !inst.Covers(g.Spec.Shape) {
			continue
		}
		same := func(other *cache.GuaranteeInstance) bool { return other.Shape == inst.Shape }
		i := slices.IndexFunc(list, same)
		switch {
		case i < 0:
			list = append(list, inst)
		case !list[i].Met() && inst.Met():
			list[i] = inst
		}
	}
	return list
}

// placeInUsedInstance finds free resources within instances that other gangs of the
// organisation use.
func (e *ZoneEngine) placeInUsedInstance(g *cache.Gang) (plan, bool) {
	for _, inst := range e.guarantees.ForOrganisation(g.Spec.Organisation) {
		if inst.Vacant() || !inst.Covers(g.Spec.Shape) {
			continue
		}
		parts := e.fitInParts(inst.Parts, g.Spec.Shape, func(part cache.Part) model.Resources {
			return cache.Min(inst.RemainingOn(part.Worker), e.freeOn(part.Worker))
		})
		if parts != nil {
			return plan{parts: parts, guarantee: inst}, true
		}
	}
	return plan{}, false
}

// fitInParts places a shape in the resources available on the parts, or returns nil.
func (e *ZoneEngine) fitInParts(parts []cache.Part, shape model.Shape, available func(cache.Part) model.Resources) []cache.Part {
	space := &e.partsSpace
	space.Available, space.Racks = space.Available[:0], space.Racks[:0]
	for i, part := range parts {
		if i == 0 || part.Worker.Rack != parts[i-1].Worker.Rack {
			space.Racks = append(space.Racks, feasible.Range{From: i, To: i})
		}
		space.Available = append(space.Available, cache.AtLeastZero(available(part)))
		space.Racks[len(space.Racks)-1].To = i + 1
	}
	var found []cache.Part
	e.nestedSearch.Each(space, shape, nil, func(c feasible.Candidate) bool {
		for _, part := range c {
			found = append(found, cache.Part{Worker: parts[part.Site].Worker, Tasks: part.Tasks})
		}
		return false
	})
	return found
}

// placeInVacantInstance finds a placement for a vacant instance in which the gang fits
// without an eviction.
func (e *ZoneEngine) placeInVacantInstance(g *cache.Gang, inst *cache.GuaranteeInstance) (plan, bool) {
	if inst.Shape == g.Spec.Shape {
		return e.placeWholeInstance(g, inst)
	}
	if p, ok := e.placeAtCurrentLocation(g, inst); ok {
		return p, true
	}
	onWorker := inst.Shape.Adjacency == model.AdjacencyWorker
	e.pool.FillSpace(&e.candidateSpace, func(w *cache.Worker) model.Resources {
		if onWorker && !g.Spec.Shape.Total().Fits(e.freeOn(w)) {
			return model.Resources{}
		}
		return guaranteeplacement.AvailableFor(inst, w)
	})
	e.ranker.Prepare(e.pool, inst.Shape.PerTask)
	var best plan
	lowestScore := 0.0
	e.search.Each(&e.candidateSpace, inst.Shape, e.ranker, func(c feasible.Candidate) bool {
		score := e.ranker.Score(c)
		if best.parts != nil && score >= lowestScore {
			return true
		}
		location := e.pool.Parts(c)
		if parts := e.fitInLocation(g, inst, location); parts != nil {
			best, lowestScore = plan{parts: parts, guarantee: inst, guaranteeParts: location}, score
		}
		return true
	})
	return best, best.parts != nil
}

// fitInLocation places the gang in what is free of the instance if held at location, or
// returns nil.
func (e *ZoneEngine) fitInLocation(g *cache.Gang, inst *cache.GuaranteeInstance, location []cache.Part) []cache.Part {
	return e.fitInParts(location, g.Spec.Shape, func(part cache.Part) model.Resources {
		return cache.Min(inst.Shape.PerTask.Times(part.Tasks), e.freeOn(part.Worker))
	})
}

// placeAtCurrentLocation places the gang in a vacant instance without moving it.
func (e *ZoneEngine) placeAtCurrentLocation(g *cache.Gang, inst *cache.GuaranteeInstance) (plan, bool) {
	if !inst.Met() {
		return plan{}, false
	}
	parts := e.fitInLocation(g, inst, inst.Parts)
	return plan{parts: parts, guarantee: inst}, parts != nil
}

// placeWholeInstance is placeInVacantInstance for a gang of exactly the instance's shape.
func (e *ZoneEngine) placeWholeInstance(g *cache.Gang, inst *cache.GuaranteeInstance) (plan, bool) {
	e.pool.FillSpace(&e.candidateSpace, func(w *cache.Worker) model.Resources {
		return cache.Min(guaranteeplacement.AvailableFor(inst, w), e.freeOn(w))
	})
	c := e.bestCandidate(g.Spec.Shape)
	if c == nil {
		return plan{}, false
	}
	parts := e.pool.Parts(c)
	return plan{parts: parts, guarantee: inst, guaranteeParts: slices.Clone(parts)}, true
}

// placeBySwap finds another vacant instance of the same shape whose resources are free,
// so that the two can swap locations and no gang is evicted.
func (e *ZoneEngine) placeBySwap(g *cache.Gang, inst *cache.GuaranteeInstance) (plan, bool) {
	if !inst.Met() {
		return plan{}, false
	}
	for _, other := range e.guarantees.Instances() {
		if other == inst || other.Shape != inst.Shape || !other.Vacant() || !other.Met() {
			continue
		}
		if parts := e.fitInLocation(g, inst, other.Parts); parts != nil {
			return plan{parts: parts, guarantee: inst, guaranteeParts: other.Parts, swapWith: other}, true
		}
	}
	return plan{}, false
}

// coverAdopted attaches a gang that was found running to a guarantee of its organisation,
// moving a vacant instance to where it runs if possible.
func (e *ZoneEngine) coverAdopted(g *cache.Gang) {
	for _, inst := range e.guarantees.ForOrganisation(g.Spec.Organisation) {
		if inst.Parts != nil && e.fitsRemaining(g, inst) {
			inst.Attach(g)
			return
		}
	}
	for _, inst := range e.guarantees.ForOrganisation(g.Spec.Organisation) {
		if inst.Vacant() && inst.Shape == g.Spec.Shape && e.moveInstanceTo(g, inst) {
			inst.Attach(g)
			return
		}
	}
}

// fitsRemaining reports whether the gang's placement fits what the instance has left.
func (e *ZoneEngine) fitsRemaining(g *cache.Gang, inst *cache.GuaranteeInstance) bool {
	for _, part := range g.Parts {
		if !g.Shape.PerTask.Times(part.Tasks).Fits(inst.RemainingOn(part.Worker)) {
			return false
		}
	}
	return true
}

// moveInstanceTo moves a vacant instance to where a gang runs. It releases other vacant
// instances there, which are placed anew afterwards.
func (e *ZoneEngine) moveInstanceTo(g *cache.Gang, inst *cache.GuaranteeInstance) bool {
	inst.Release()
	fits := true
	for _, part := range g.Parts {
		amount := g.Shape.PerTask.Times(part.Tasks)
		e.displaceVacant(part.Worker, amount)
		unguaranteed := part.Worker.Capacity.Sub(part.Worker.Guaranteed).Sub(part.Worker.Pinned)
		fits = fits && amount.Fits(unguaranteed)
	}
	if fits {
		inst.Hold(slices.Clone(g.Parts))
	}
	return fits
}

// displaceVacant releases vacant instances on a worker until the amount can be held there.
func (e *ZoneEngine) displaceVacant(w *cache.Worker, amount model.Resources) {
	for _, inst := range e.guarantees.Instances() {
		if amount.Fits(w.Capacity.Sub(w.Guaranteed).Sub(w.Pinned)) {
			return
		}
		if inst.Vacant() && !inst.AmountOn(w).IsZero() {
			inst.Release()
		}
	}
}
