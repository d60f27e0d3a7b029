package scheduler

import (
	"fmt"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
)

// checkInvariants asserts the invariants on the workers whose account changed since the last
// checkInvariants: evicting all borrowers makes every guarantee held there placeable. With
// the option CheckAll it works everything out from scratch as well.
func (e *Core) checkInvariants() {
	for w := range e.changedWorkers {
		if !w.GuaranteesFit() {
			e.invariantViolated("worker %s holds guarantees %s beside pinned %s in %s", w.ID, w.Guaranteed, w.Pinned, w.Capacity)
		}
	}
	clear(e.changedWorkers)
	if e.options.CheckAll {
		e.checkAll()
	}
}

func (e *Core) invariantViolated(format string, args ...any) {
	panic(fmt.Sprintf("scheduler: zone %s: broken invariant: ", e.zone) + fmt.Sprintf(format, args...))
}

// accounts are the accounts of one worker, worked out from the gangs and instances.
type accounts struct{ used, claimed, held, pinned model.Resources }

// checkAll compares every account with one made from the gangs and instances, and
// checks that gangs are whole and that covered gangs lie within their instances.
func (e *Core) checkAll() {
	made := make(map[*cache.Worker]*accounts)
	of := func(w *cache.Worker) *accounts {
		if made[w] == nil {
			made[w] = &accounts{}
		}
		return made[w]
	}
	for _, g := range e.gangs {
		e.checkGang(g)
		for _, part := range g.Parts {
			of(part.Worker).add(g, part)
		}
	}
	for _, inst := range e.guarantees.Instances() {
		e.checkUnit(inst)
		if inst.Parts == nil && !e.hasUnmet && !e.placementStale {
			e.invariantViolated("unit %s/%s has lost its place", inst.Organisation, inst.Name)
		}
		for _, part := range inst.Parts {
			a := of(part.Worker)
			a.held = a.held.Add(inst.Shape.PerTask.Times(part.Tasks))
		}
	}
	for _, w := range e.pool.Workers {
		e.checkWorker(w, of(w))
	}
	e.checkEvictAll()
}

func (a *accounts) add(g *cache.Gang, part cache.Part) {
	amount := g.Shape.PerTask.Times(part.Tasks)
	if g.State == cache.Claiming {
		a.claimed = a.claimed.Add(amount)
	} else {
		a.used = a.used.Add(amount)
	}
	if g.Pinned() {
		a.pinned = a.pinned.Add(amount)
	}
}

func (e *Core) checkGang(g *cache.Gang) {
	tasks := 0
	for _, part := range g.Parts {
		tasks += part.Tasks
	}
	placed := g.State != cache.Queued
	if placed && tasks != g.Shape.Tasks || !placed && tasks != 0 {
		e.invariantViolated("gang %s in state %d has %d of %d tasks placed", g.Spec.ID, g.State, tasks, g.Shape.Tasks)
	}
	if !placed && (g.Guarantee != nil || e.queue.ClassOf(g) == nil) {
		e.invariantViolated("gang %s waits but is in no lane or in a unit", g.Spec.ID)
	}
}

func (e *Core) checkUnit(inst *cache.GuaranteeInstance) {
	for _, part := range inst.Parts {
		if inst.RemainingOn(part.Worker).IsNegative() {
			e.invariantViolated("unit %s/%s holds less than its gangs use on %s", inst.Organisation, inst.Name, part.Worker.ID)
		}
	}
	for _, g := range inst.Gangs {
		if g.Guarantee != inst || g.Spec.Organisation != inst.Organisation || !e.fitsRemaining(g, withoutGangs(inst)) {
			e.invariantViolated("gang %s is not within unit %s/%s", g.Spec.ID, inst.Organisation, inst.Name)
		}
	}
}

// withoutGangs is the unit without its gangs.
func withoutGangs(inst *cache.GuaranteeInstance) *cache.GuaranteeInstance {
	return &cache.GuaranteeInstance{Shape: inst.Shape, Parts: inst.Parts}
}

func (e *Core) checkWorker(w *cache.Worker, a *accounts) {
	if w.Used != a.used || w.Claimed != a.claimed || w.Guaranteed != a.held || w.Pinned != a.pinned {
		e.invariantViolated("accounts of worker %s are %v, %v, %v, %v, expected %v", w.ID, w.Used, w.Claimed, w.Guaranteed, w.Pinned, *a)
	}
	if !w.GuaranteesFit() {
		e.invariantViolated("worker %s is not sound", w.ID)
	}
}

// checkEvictAll evicts all borrowers in thought and places every vacant guarantee at
// its place.
func (e *Core) checkEvictAll() {
	for _, w := range e.pool.Workers {
		left := w.Capacity
		for _, g := range w.Gangs {
			if !g.Borrower() {
				left = left.Sub(amountOn(g, w))
			}
		}
		for _, inst := range e.guarantees.Instances() {
			left = left.Sub(inst.RemainingOn(w))
		}
		if left.IsNegative() && !w.Guaranteed.IsZero() {
			e.invariantViolated("guarantees on worker %s lack %s when all borrowers are evicted", w.ID, left)
		}
	}
}

func amountOn(g *cache.Gang, w *cache.Worker) model.Resources {
	for _, part := range g.Parts {
		if part.Worker == w {
			return g.Shape.PerTask.Times(part.Tasks)
		}
	}
	return model.Resources{}
}
