package scheduler

import (
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
)

// plan is a placement decision that has not been carried out yet.
type plan struct {
	parts []cache.Part
	// guarantee is the instance that covers the gang; nil if it runs outside guarantees.
	guarantee *cache.GuaranteeInstance
	// guaranteeParts is where the instance moves to; nil if it stays.
	guaranteeParts []cache.Part
	// swapWith is a vacant instance that moves to the old placement of guarantee.
	swapWith *cache.GuaranteeInstance
	// victims have to be stopped before the gang can start.
	victims []*cache.Gang
	// backfill is true for a placement on workers reserved for another gang.
	backfill bool
}

// claim removes a gang from the queue and claims the plan's resources for it. The gang
// starts at once unless the plan has victims.
func (e *ZoneEngine) claim(g *cache.Gang, p plan) {
	if !e.queue.Remove(g) {
		panic("scheduler: claimed gang " + string(g.Spec.ID) + " is not queued")
	}
	e.moveInstances(p)
	g.State = cache.Claiming
	g.Parts = p.parts
	g.Placed = e.now
	g.Backfill = p.backfill
	if p.guarantee != nil {
		g.Shape = g.Spec.Shape
		p.guarantee.Attach(g)
	}
	e.addToAccounts(g, 1)
	for _, part := range g.Parts {
		amount := g.Shape.PerTask.Times(part.Tasks)
		part.Worker.Claimed = part.Worker.Claimed.Add(amount)
	}
	g.Victims = slices.Clone(p.victims)
	for _, victim := range g.Victims {
		e.evict(victim, g)
	}
	if len(g.Victims) > 0 {
		e.claims = append(e.claims, g)
		return
	}
	e.startClaimed(g)
}

// moveInstances moves the plan's instance and the instance that it swaps with, if any.
func (e *ZoneEngine) moveInstances(p plan) {
	if p.guaranteeParts == nil {
		return
	}
	old := p.guarantee.Parts
	p.guarantee.Release()
	if p.swapWith != nil {
		p.swapWith.Release()
		p.swapWith.Hold(old)
	}
	p.guarantee.Hold(p.guaranteeParts)
	e.markChanged(old)
	e.markChanged(p.guaranteeParts)
}

// startClaimed converts a claim into a placement and starts the gang.
func (e *ZoneEngine) startClaimed(g *cache.Gang) {
	for _, part := range g.Parts {
		amount := g.Shape.PerTask.Times(part.Tasks)
		part.Worker.Claimed = part.Worker.Claimed.Sub(amount)
		part.Worker.Place(g, part.Tasks)
	}
	g.State = cache.Starting
	g.Placed = e.now
	e.actions = append(e.actions, StartGang{Job: g.Spec.ID, Placement: g.Placement()})
}

// releaseClaim releases a gang's claim. The caller requeues or removes the gang.
func (e *ZoneEngine) releaseClaim(g *cache.Gang) {
	for _, part := range g.Parts {
		amount := g.Shape.PerTask.Times(part.Tasks)
		part.Worker.Claimed = part.Worker.Claimed.Sub(amount)
	}
	e.addToAccounts(g, -1)
	e.clearPlacement(g)
	e.claims = slices.DeleteFunc(e.claims, func(other *cache.Gang) bool { return other == g })
	for _, victim := range g.Victims {
		victim.Beneficiary = nil
	}
	g.Victims = nil
	e.stateVersion++
}

// removeFromWorkers frees the resources of a placed gang.
func (e *ZoneEngine) removeFromWorkers(g *cache.Gang) {
	for _, part := range g.Parts {
		part.Worker.Remove(g, part.Tasks)
	}
	e.clearOveruse(g)
	e.addToAccounts(g, -1)
	e.clearPlacement(g)
	if b := g.Beneficiary; b != nil {
		b.Victims = slices.DeleteFunc(b.Victims, func(other *cache.Gang) bool { return other == g })
		g.Beneficiary = nil
	}
	e.stateVersion++
}

// clearPlacement detaches the gang from its guarantee and resets its placement.
func (e *ZoneEngine) clearPlacement(g *cache.Gang) {
	if inst := g.Guarantee; inst != nil {
		inst.Detach(g)
		e.compact(inst)
	}
	g.Parts = nil
	g.Backfill = false
}

// compact moves a small instance that has become vacant to where it causes the least
// fragmentation.
func (e *ZoneEngine) compact(inst *cache.GuaranteeInstance) {
	if inst.Shape.Total().Accelerators >= e.maxWorkerAccelerators {
		return
	}
	e.markChanged(inst.Parts)
	e.guarantees.Compact(inst)
	e.markChanged(inst.Parts)
}

// addToAccounts adds the gang to the accounts of its organisation and of its workers, or
// subtracts it with sign -1.
func (e *ZoneEngine) addToAccounts(g *cache.Gang, sign int) {
	a := e.ledger.AccountOf(g.Spec.Organisation)
	a.Accelerators += sign * g.Total().Accelerators
	if g.Guarantee == nil {
		a.Borrowed = a.Borrowed.Add(g.Total().Times(sign))
	}
	if g.Pinned() {
		e.addPinned(g, sign)
	}
	e.markChanged(g.Parts)
}

// addPinned adds the gang to what is pinned on its workers, or subtracts it with sign -1.
func (e *ZoneEngine) addPinned(g *cache.Gang, sign int) {
	for _, part := range g.Parts {
		amount := g.Shape.PerTask.Times(sign * part.Tasks)
		part.Worker.Pinned = part.Worker.Pinned.Add(amount)
	}
}

// detachFromGuarantee turns a gang within a guarantee into a borrower or a pinned gang.
func (e *ZoneEngine) detachFromGuarantee(g *cache.Gang) {
	e.addToAccounts(g, -1)
	g.Guarantee.Detach(g)
	e.addToAccounts(g, 1)
}

func (e *ZoneEngine) markChanged(parts []cache.Part) {
	for _, part := range parts {
		e.changedWorkers[part.Worker] = true
	}
}

// placementShape is the shape with which a job is placed outside guarantees: its declared
// shape, with more memory per task if higher use was observed.
func (e *ZoneEngine) placementShape(spec model.JobSpec) model.Shape {
	shape := spec.Shape
	shape.PerTask.MemoryMB = e.placementMemoryMB(spec)
	return shape
}
