package scheduler

import (
	"math"
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
	"github.com/chervilrun/chervilrun/internal/scheduler/guaranteeplacement"
	"github.com/chervilrun/chervilrun/internal/scheduler/preemption"
)

// restartSeconds is the time that a gang loses by a restart, in addition to the work
// that it repeats.
const restartSeconds = 30.0

// reclaim finds the placement within the organisation's guarantees with the lowest
// eviction cost, over the locations of the instances that gangs use already and all
// locations to which a vacant instance, which no gang uses, could be moved.
func (e *ZoneEngine) reclaim(g *cache.Gang) (plan, bool) {
	e.victimSelector.Allowed = func(v *cache.Gang) bool { return v.Evictable() || v.StoppingUnclaimed() }
	e.victimSelector.Cost = func(v *cache.Gang) float64 { return e.evictionCost(v, g) }
	best, lowestCost := plan{}, math.Inf(1)
	for _, inst := range e.guarantees.ForOrganisation(g.Spec.Organisation) {
		if !inst.Vacant() && inst.Covers(g.Spec.Shape) {
			e.considerReclaim(g, inst, inst.Parts, &best, &lowestCost)
		}
	}
	for _, inst := range e.vacantInstances(g) {
		e.reclaimByMoving(g, inst, &best, &lowestCost)
	}
	return best, best.parts != nil
}

// reclaimByMoving considers every location to which a vacant instance could be moved.
func (e *ZoneEngine) reclaimByMoving(g *cache.Gang, inst *cache.GuaranteeInstance, best *plan, lowestCost *float64) {
	e.pool.FillSpace(&e.candidateSpace, func(w *cache.Worker) model.Resources {
		if e.avoidWorkers[w.ID] {
			return model.Resources{}
		}
		return guaranteeplacement.AvailableFor(inst, w)
	})
	order := evictionOrder{e, inst.Shape.PerTask}
	e.search.Each(&e.candidateSpace, inst.Shape, order, func(c feasible.Candidate) bool {
		// The estimate is for the whole instance; a smaller gang may cost less.
		if inst.Shape != g.Spec.Shape || e.estimateEvictionCost(c, inst.Shape.PerTask) < *lowestCost {
			e.considerReclaim(g, inst, e.pool.Parts(c), best, lowestCost)
		}
		// The baseline policies take the first plan found.
		return e.features.cheapestVictim || best.parts == nil
	})
}

// estimateEvictionCost estimates the cost of freeing a candidate: each accelerator that
// is lent out there counts as a restart, unless its gang is already being stopped, which
// costs nothing. The cost is at least that. For the baseline policies the estimate is 0.
func (e *ZoneEngine) estimateEvictionCost(c feasible.Candidate, perTask model.Resources) float64 {
	lent := 0
	for _, part := range c {
		need := perTask.Accelerators * part.Tasks
		w := e.pool.Workers[part.Site]
		lent += max(0, need-w.Free().Accelerators-stoppingAccelerators(w))
	}
	if !e.features.cheapestVictim {
		return 0
	}
	return restartSeconds * float64(lent)
}

// stoppingAccelerators returns the accelerators of a worker that become free without cost.
func stoppingAccelerators(w *cache.Worker) int {
	total := 0
	for _, g := range w.Gangs {
		if !g.StoppingUnclaimed() {
			continue
		}
		for _, part := range g.Parts {
			if part.Worker == w {
				total += g.Shape.PerTask.Accelerators * part.Tasks
			}
		}
	}
	return total
}

// considerReclaim computes the cost of freeing resources for the gang within the instance
// at location, and updates best and lowestCost if it is the cheapest plan so far.
func (e *ZoneEngine) considerReclaim(g *cache.Gang, inst *cache.GuaranteeInstance, location []cache.Part, best *plan, lowestCost *float64) {
	parts := e.fitInParts(location, g.Spec.Shape, func(part cache.Part) model.Resources {
		if !part.Worker.Schedulable() {
			return model.Resources{}
		}
		if inst.Vacant() {
			return inst.Shape.PerTask.Times(part.Tasks)
		}
		return inst.RemainingOn(part.Worker)
	})
	if parts == nil {
		return
	}
	victims, cost, ok := e.victimSelector.Select(e.needs(parts, g.Spec.Shape.PerTask), *lowestCost)
	if !ok {
		return
	}
	*lowestCost = cost
	*best = plan{parts: parts, guarantee: inst, victims: slices.Clone(victims)}
	if inst.Vacant() {
		best.guaranteeParts = location
	}
}

func (e *ZoneEngine) needs(parts []cache.Part, perTask model.Resources) []preemption.Need {
	e.needsBuffer = e.needsBuffer[:0]
	for _, part := range parts {
		amount := perTask.Times(part.Tasks)
		e.needsBuffer = append(e.needsBuffer, preemption.Need{Worker: part.Worker, Amount: amount})
	}
	return e.needsBuffer
}

// evictionOrder fills first the workers on which the least has to be reclaimed.
type evictionOrder struct {
	engine  *ZoneEngine
	perTask model.Resources
}

// Cost is what borrowers would have to free, in accelerators; 16 cores or 64 GB count as
// much as one.
func (o evictionOrder) Cost(site, tasks int) float64 {
	w := o.engine.pool.Workers[site]
	need := o.perTask.Times(tasks)
	lent := cache.AtLeastZero(need.Sub(w.Free()))
	return float64(lent.Accelerators) + float64(lent.MilliCPU)/16000 + float64(lent.MemoryMB)/65536
}

// PreferredTasks is every task: sites are filled completely.
func (evictionOrder) PreferredTasks(_, tasks int) int { return tasks }

// evictionCost is the cost of stopping a gang for another, in accelerator seconds: the
// work that it will have to repeat and the time to restart it. A gang counts with one
// accelerator more than it has, so that gangs without any have a cost too. The baseline
// policies use the age of the gang instead, so that the newest is stopped first.
func (e *ZoneEngine) evictionCost(v, beneficiary *cache.Gang) float64 {
	if v.StoppingUnclaimed() {
		return 0
	}
	if !e.features.cheapestVictim {
		return e.now.Sub(v.Placed).Seconds()
	}
	seconds := restartSeconds
	if !e.takesCheckpoint(v, beneficiary) && !v.Started.IsZero() {
		seconds += e.now.Sub(v.Started).Seconds()
	}
	return seconds * float64(1+v.Total().Accelerators)
}

// takesCheckpoint reports whether a victim is checkpointed before it is stopped. Only a
// victim that supports checkpoints is. If it is repeatable and the beneficiary is urgent,
// a checkpoint must also take no longer than urgentCheckpointLimit.
func (e *ZoneEngine) takesCheckpoint(v, beneficiary *cache.Gang) bool {
	if !v.Spec.Checkpoint {
		return false
	}
	urgent := beneficiary != nil && beneficiary.Spec.Priority == model.PriorityUrgent
	return !v.Spec.Repeatable || !urgent || e.options.CheckpointTime <= urgentCheckpointLimit
}

// evict asks for a victim to be stopped for the beneficiary.
func (e *ZoneEngine) evict(v, beneficiary *cache.Gang) {
	v.Beneficiary = beneficiary
	if v.State == cache.Stopping {
		return
	}
	v.State = cache.Stopping
	e.actions = append(e.actions, StopGang{
		Job:         v.Spec.ID,
		Reason:      e.evictionReason(beneficiary),
		Checkpoint:  e.takesCheckpoint(v, beneficiary),
		Beneficiary: beneficiary.Spec.ID,
	})
}

// evictionReason distinguishes a reclaim for a guarantee from a move for a large gang.
func (e *ZoneEngine) evictionReason(beneficiary *cache.Gang) outcome.Reason {
	if beneficiary.Guarantee != nil {
		return outcome.ReasonReclaimed
	}
	return outcome.ReasonMoved
}
