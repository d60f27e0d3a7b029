package scheduler

import (
	"fmt"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
)

// checkInvariants checks, on the workers whose accounts changed since the last check, that
// all guarantees held there fit once all borrowers are evicted. With the option CheckAll
// it also recomputes all accounts.
func (e *ZoneEngine) checkInvariants() {
	for w := range e.changedWorkers {
		if !w.GuaranteesFit() {
			e.invariantViolated("worker %s: guarantees %s and pinned gangs %s exceed the capacity %s", w.ID, w.Guaranteed, w.Pinned, w.Capacity)
		}
	}
	clear(e.changedWorkers)
	if e.options.CheckAll {
		e.checkAll()
	}
}

func (e *ZoneEngine) invariantViolated(format string, args ...any) {
	panic(fmt.Sprintf("scheduler: zone %s: broken invariant: ", e.zone) + fmt.Sprintf(format, args...))
}

// accounts are the accounts of one worker, recomputed from the gangs and instances.
type accounts struct{ used, claimed, guaranteed, pinned model.Resources }

// checkAll compares every account with one recomputed from the gangs and instances, and
// checks that gangs are placed in full and that covered gangs lie within their instances.
func (e *ZoneEngine) checkAll() {
	recomputed := make(map[*cache.Worker]*accounts)
	accountsOf := func(w *cache.Worker) *accounts {
		if recomputed[w] == nil {
			recomputed[w] = &accounts{}
		}
		return recomputed[w]
	}
	for _, g := range e.gangs {
		e.checkGang(g)
		for _, part := range g.Parts {
			accountsOf(part.Worker).add(g, part)
		}
	}
	for _, inst := range e.guarantees.Instances() {
		e.checkInstance(inst)
		if inst.Parts == nil && !e.hasUnmet && !e.placementStale {
			e.invariantViolated("guarantee instance %s/%s is not placed", inst.Organisation, inst.Name)
		}
		for _, part := range inst.Parts {
			a := accountsOf(part.Worker)
			a.guaranteed = a.guaranteed.Add(inst.Shape.PerTask.Times(part.Tasks))
		}
	}
	for _, w := range e.pool.Workers {
		e.checkWorker(w, accountsOf(w))
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

func (e *ZoneEngine) checkGang(g *cache.Gang) {
	tasks := 0
	for _, part := range g.Parts {
		tasks += part.Tasks
	}
	placed := g.State != cache.Queued
	if placed && tasks != g.Shape.Tasks || !placed && tasks != 0 {
		e.invariantViolated("gang %s in state %d has %d of %d tasks placed", g.Spec.ID, g.State, tasks, g.Shape.Tasks)
	}
	if !placed && (g.Guarantee != nil || e.queue.ClassOf(g) == nil) {
		e.invariantViolated("gang %s is queued but is in no equivalence class or is attached to a guarantee instance", g.Spec.ID)
	}
}

func (e *ZoneEngine) checkInstance(inst *cache.GuaranteeInstance) {
	for _, part := range inst.Parts {
		if inst.RemainingOn(part.Worker).IsNegative() {
			e.invariantViolated("guarantee instance %s/%s holds less than its gangs use on %s", inst.Organisation, inst.Name, part.Worker.ID)
		}
	}
	for _, g := range inst.Gangs {
		if g.Guarantee != inst || g.Spec.Organisation != inst.Organisation || !e.fitsRemaining(g, withoutGangs(inst)) {
			e.invariantViolated("gang %s is not within guarantee instance %s/%s", g.Spec.ID, inst.Organisation, inst.Name)
		}
	}
}

// withoutGangs returns a copy of the instance without its gangs.
func withoutGangs(inst *cache.GuaranteeInstance) *cache.GuaranteeInstance {
	return &cache.GuaranteeInstance{Shape: inst.Shape, Parts: inst.Parts}
}

func (e *ZoneEngine) checkWorker(w *cache.Worker, a *accounts) {
	if w.Used != a.used || w.Claimed != a.claimed || w.Guaranteed != a.guaranteed || w.Pinned != a.pinned {
		e.invariantViolated("accounts of worker %s are %v, %v, %v, %v, expected %v", w.ID, w.Used, w.Claimed, w.Guaranteed, w.Pinned, *a)
	}
	if !w.GuaranteesFit() {
		e.invariantViolated("guarantees and pinned gangs on worker %s exceed its capacity", w.ID)
	}
}

// checkEvictAll checks that evicting all borrowers would free what every guarantee holds.
func (e *ZoneEngine) checkEvictAll() {
	for _, w := range e.pool.Workers {
		remaining := w.Capacity
		for _, g := range w.Gangs {
			if !g.Borrower() {
				remaining = remaining.Sub(amountOn(g, w))
			}
		}
		for _, inst := range e.guarantees.Instances() {
			remaining = remaining.Sub(inst.RemainingOn(w))
		}
		if remaining.IsNegative() && !w.Guaranteed.IsZero() {
			e.invariantViolated("guarantees on worker %s don't fit when all borrowers are evicted: %s remain", w.ID, remaining)
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
