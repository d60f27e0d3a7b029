package scheduler

import (
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
	"github.com/chervilrun/chervilrun/internal/scheduler/holding"
)

// placeWithinGuarantees finds a place that is free and within the organisation's guarantees,
// moving a vacant guaranteed shape to it if need be.
func (e *Core) placeWithinGuarantees(g *cache.Gang) (plan, bool) {
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

// vacantInstances lists one vacant unit of each shape that can hold the gang, the
// smallest first.
func (e *Core) vacantInstances(g *cache.Gang) []*cache.GuaranteeInstance {
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

// placeInUsedInstance finds free room within instances that other gangs of the organisation use.
func (e *Core) placeInUsedInstance(g *cache.Gang) (plan, bool) {
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

// fitInParts places a shape in the room that the parts offer, or returns nil.
func (e *Core) fitInParts(parts []cache.Part, shape model.Shape, room func(cache.Part) model.Resources) []cache.Part {
	space := &e.partsSpace
	space.Available, space.Racks = space.Available[:0], space.Racks[:0]
	for i, part := range parts {
		if i == 0 || part.Worker.Rack != parts[i-1].Worker.Rack {
			space.Racks = append(space.Racks, feasible.Range{From: i, To: i})
		}
		space.Available = append(space.Available, cache.AtLeastZero(room(part)))
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

// placeInVacantInstance finds a place for a vacant unit in which the gang fits without an eviction.
func (e *Core) placeInVacantInstance(g *cache.Gang, inst *cache.GuaranteeInstance) (plan, bool) {
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
		return holding.AvailableFor(inst, w)
	})
	e.ranker.Prepare(e.pool, inst.Shape.PerTask)
	var best plan
	lowest := 0.0
	e.search.Each(&e.candidateSpace, inst.Shape, e.ranker, func(c feasible.Candidate) bool {
		score := e.ranker.Score(c)
		if best.parts != nil && score >= lowest {
			return true
		}
		hold := e.pool.Parts(c)
		if parts := e.fitInLocation(g, inst, hold); parts != nil {
			best, lowest = plan{parts: parts, guarantee: inst, guaranteeParts: hold}, score
		}
		return true
	})
	return best, best.parts != nil
}

// fitInLocation places the gang within a place of the unit where it is free, or returns nil.
func (e *Core) fitInLocation(g *cache.Gang, inst *cache.GuaranteeInstance, hold []cache.Part) []cache.Part {
	return e.fitInParts(hold, g.Spec.Shape, func(part cache.Part) model.Resources {
		return cache.Min(inst.Shape.PerTask.Times(part.Tasks), e.freeOn(part.Worker))
	})
}

// placeAtCurrentLocation places the gang within the present place of a vacant unit.
func (e *Core) placeAtCurrentLocation(g *cache.Gang, inst *cache.GuaranteeInstance) (plan, bool) {
	if !inst.Met() {
		return plan{}, false
	}
	parts := e.fitInLocation(g, inst, inst.Parts)
	return plan{parts: parts, guarantee: inst}, parts != nil
}

// placeWholeInstance is moveUnit for a gang of exactly the unit's shape.
func (e *Core) placeWholeInstance(g *cache.Gang, inst *cache.GuaranteeInstance) (plan, bool) {
	e.pool.FillSpace(&e.candidateSpace, func(w *cache.Worker) model.Resources {
		return cache.Min(holding.AvailableFor(inst, w), e.freeOn(w))
	})
	c := e.bestCandidate(g.Spec.Shape)
	if c == nil {
		return plan{}, false
	}
	parts := e.pool.Parts(c)
	return plan{parts: parts, guarantee: inst, guaranteeParts: slices.Clone(parts)}, true
}

// placeBySwap finds a vacant unit of the same shape whose place is free, so that the
// two instances can swap places and nobody has to leave.
func (e *Core) placeBySwap(g *cache.Gang, inst *cache.GuaranteeInstance) (plan, bool) {
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

// coverAdopted lets a guarantee of the organisation cover a gang that was found
// running, moving a vacant unit to where it runs if that is possible.
func (e *Core) coverAdopted(g *cache.Gang) {
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

// fitsRemaining reports whether the gang's parts lie within what the unit has left.
func (e *Core) fitsRemaining(g *cache.Gang, inst *cache.GuaranteeInstance) bool {
	for _, part := range g.Parts {
		if !g.Shape.PerTask.Times(part.Tasks).Fits(inst.RemainingOn(part.Worker)) {
			return false
		}
	}
	return true
}

// moveInstanceTo moves a vacant unit to the place of a running gang, past vacant instances of
// others, which find another place afterwards.
func (e *Core) moveInstanceTo(g *cache.Gang, inst *cache.GuaranteeInstance) bool {
	inst.Release()
	fits := true
	for _, part := range g.Parts {
		amount := g.Shape.PerTask.Times(part.Tasks)
		e.displaceVacant(part.Worker, amount)
		room := part.Worker.Capacity.Sub(part.Worker.Guaranteed).Sub(part.Worker.Pinned)
		fits = fits && amount.Fits(room)
	}
	if fits {
		inst.Hold(slices.Clone(g.Parts))
	}
	return fits
}

// displaceVacant takes vacant instances off a worker until the amount can be held there.
func (e *Core) displaceVacant(w *cache.Worker, amount model.Resources) {
	for _, inst := range e.guarantees.Instances() {
		if amount.Fits(w.Capacity.Sub(w.Guaranteed).Sub(w.Pinned)) {
			return
		}
		if inst.Vacant() && !inst.AmountOn(w).IsZero() {
			inst.Release()
		}
	}
}
