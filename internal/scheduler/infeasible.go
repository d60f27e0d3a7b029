package scheduler

import (
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
)

// infeasible reports whether a job can never run in this zone, and why. While no worker
// is known, only the shape, the zones and the quota are checked.
func (e *ZoneEngine) infeasible(spec model.JobSpec) (outcome.Outcome, bool) {
	if err := spec.Shape.Validate(); err != nil {
		return refuse("invalid shape: %s", err), true
	}
	if len(spec.Zones) > 0 && !slices.Contains(spec.Zones, e.zone) {
		return refuse("the job may not run in zone %s", e.zone), true
	}
	need := spec.Shape.Total().Accelerators
	if quota := e.ledger.AccountOf(spec.Organisation).Quota; quota > 0 && need > quota {
		return refuse("the job needs %d accelerators, but its organisation's quota is %d", need, quota), true
	}
	if len(e.pool.Workers) == 0 {
		return outcome.Outcome{}, false
	}
	if !e.fitsEmptyPool(spec.Shape) {
		return refuse("no workers of zone %s can hold %s, even when empty", e.zone, spec.Shape), true
	}
	if !spec.Preemptible() && !e.mayFitOutsideGuarantees(spec) {
		return refuse("the job is not preemptible, and guarantees leave too little capacity for it in zone %s", e.zone), true
	}
	return outcome.Outcome{}, false
}

func refuse(format string, args ...any) outcome.Outcome {
	return outcome.NotRunBecause(outcome.ReasonInfeasible, format, args...)
}

// fitsEmptyPool reports whether the shape fits the listed workers when they are empty.
func (e *ZoneEngine) fitsEmptyPool(shape model.Shape) bool {
	e.pool.FillSpace(&e.candidateSpace, func(w *cache.Worker) model.Resources { return w.Capacity })
	return e.search.Fits(&e.candidateSpace, shape)
}

// mayFitOutsideGuarantees reports whether a job that is not preemptible may ever fit:
// within a guarantee of its organisation or, in total, outside all guarantees.
func (e *ZoneEngine) mayFitOutsideGuarantees(spec model.JobSpec) bool {
	var unguaranteed model.Resources
	for _, w := range e.pool.Workers {
		unguaranteed = unguaranteed.Add(w.Capacity)
	}
	for _, inst := range e.guarantees.Instances() {
		if inst.Organisation == spec.Organisation && inst.Covers(spec.Shape) {
			return true
		}
		unguaranteed = unguaranteed.Sub(inst.Shape.Total())
	}
	return spec.Shape.Total().Fits(unguaranteed)
}
