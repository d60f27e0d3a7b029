package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
	"github.com/chervilrun/chervilrun/internal/scheduler/queue"
	"github.com/chervilrun/chervilrun/internal/scheduler/usage"
)

const (
	// maxReservations is the maximum number of reservations in a zone.
	maxReservations = 4
	// maxReservedShare is the maximum fraction of the zone's workers that may be reserved.
	maxReservedShare = 0.5
	// maxReservationAge is the time after which a reservation is dropped, so that a better
	// one can be found.
	maxReservationAge = 2 * time.Minute
)

// reservation reserves workers for a large waiting gang. What runs there may finish;
// meanwhile only gangs that may backfill are started there.
type reservation struct {
	gang       *cache.Gang
	parts      []cache.Part
	reservedAt time.Time
}

// processReservations claims reserved workers that have come free apart from backfilled
// gangs, then moves gangs or reserves workers for large gangs that have waited long.
func (e *ZoneEngine) processReservations() {
	if !e.features.reservations {
		return
	}
	for _, r := range slices.Clone(e.reservations) {
		e.claimReserved(r)
	}
	for _, g := range e.waitingLargeGangs() {
		if e.features.moves && e.now.Sub(g.Accepted) >= e.options.MoveAfter && e.claimByMoving(g) {
			continue
		}
		if e.reservationOf(g) == nil {
			e.reserveFor(g)
		}
	}
}

// claimReserved claims the reserved workers if only backfilled gangs have to be evicted.
func (e *ZoneEngine) claimReserved(r *reservation) {
	if !allSchedulable(r.parts) || e.now.Sub(r.reservedAt) >= maxReservationAge {
		e.dropReservation(r.gang)
		return
	}
	if !e.ledger.Allows(r.gang.Spec.Organisation, r.gang.Total().Accelerators) || !e.staysOffGuarantees(r.gang, r.parts) {
		return
	}
	e.victimSelector.Allowed = func(v *cache.Gang) bool { return v.Backfill && v.Evictable() || v.StoppingUnclaimed() }
	e.victimSelector.Cost = func(v *cache.Gang) float64 { return e.evictionCost(v, r.gang) }
	victims, _, ok := e.victimSelector.Select(e.needs(r.parts, r.gang.Shape.PerTask), math.Inf(1))
	if !ok {
		return
	}
	p := plan{parts: r.parts, victims: slices.Clone(victims)}
	e.dropReservation(r.gang)
	e.claim(r.gang, p)
}

func allSchedulable(parts []cache.Part) bool {
	return !slices.ContainsFunc(parts, func(part cache.Part) bool { return !part.Worker.Schedulable() })
}

// staysOffGuarantees reports whether the gang is preemptible or fits on parts without
// resources that guarantees hold.
func (e *ZoneEngine) staysOffGuarantees(g *cache.Gang, parts []cache.Part) bool {
	if g.Spec.Preemptible() {
		return true
	}
	for _, part := range parts {
		if !g.Shape.PerTask.Times(part.Tasks).Fits(part.Worker.Unguaranteed()) {
			return false
		}
	}
	return true
}

// waitingLargeGangs lists the large gangs at the head of their classes that have waited for
// ReserveAfter, the oldest first, one of each organisation.
func (e *ZoneEngine) waitingLargeGangs() []*cache.Gang {
	oldest := make(map[model.OrganisationID]*cache.Gang)
	for _, class := range e.queue.Classes() {
		g := class.Head()
		if !e.isLarge(g) || e.now.Sub(g.Accepted) < e.options.ReserveAfter || class.Reason == waitsForQuota {
			continue
		}
		if other := oldest[g.Spec.Organisation]; other == nil || queue.Before(g, other) {
			oldest[g.Spec.Organisation] = g
		}
	}
	list := make([]*cache.Gang, 0, len(oldest))
	for _, g := range oldest {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *cache.Gang) int {
		if queue.Before(a, b) {
			return -1
		}
		return 1
	})
	return list
}

// reserveFor reserves the workers that are expected to come free first.
func (e *ZoneEngine) reserveFor(g *cache.Gang) {
	if len(e.reservations) >= maxReservations {
		return
	}
	e.pool.FillSpace(&e.candidateSpace, func(w *cache.Worker) model.Resources {
		if !w.Schedulable() || w.Reserved != nil {
			return model.Resources{}
		}
		if !g.Spec.Preemptible() {
			return w.Unguaranteed()
		}
		return w.Capacity
	})
	order := drainOrder{e, g.Shape.PerTask}
	var best feasible.Candidate
	shortest := 0.0
	e.search.Each(&e.candidateSpace, g.Shape, order, func(c feasible.Candidate) bool {
		seconds := order.maxDrainSeconds(c)
		if best == nil || seconds < shortest {
			best, shortest = append(best[:0], c...), seconds
		}
		return true
	})
	if best == nil || !e.mayReserve(len(best)) {
		return
	}
	r := &reservation{gang: g, parts: e.pool.Parts(best), reservedAt: e.now}
	for _, part := range r.parts {
		part.Worker.Reserved = g
	}
	e.reservations = append(e.reservations, r)
}

// mayReserve reports whether this many more workers may be reserved. The first
// reservation is always allowed, whatever its size.
func (e *ZoneEngine) mayReserve(more int) bool {
	reserved := 0
	for _, r := range e.reservations {
		reserved += len(r.parts)
	}
	return reserved == 0 || float64(reserved+more) <= maxReservedShare*float64(len(e.pool.Workers))
}

// drainOrder fills first the workers that are expected to come free first.
type drainOrder struct {
	engine  *ZoneEngine
	perTask model.Resources
}

// Cost is the expected time in seconds until the tasks fit at a site, times their number.
func (o drainOrder) Cost(site, tasks int) float64 {
	return o.drainSeconds(o.engine.pool.Workers[site], o.perTask.Times(tasks)) * float64(tasks)
}

// PreferredTasks is every task: sites are filled completely.
func (drainOrder) PreferredTasks(_, tasks int) int { return tasks }

func (o drainOrder) maxDrainSeconds(c feasible.Candidate) float64 {
	longest := 0.0
	for _, part := range c {
		longest = max(longest, o.Cost(part.Site, part.Tasks)/float64(part.Tasks))
	}
	return longest
}

// departure is a gang with the expected time until it finishes, in seconds.
type departure struct {
	gang    *cache.Gang
	seconds float64
}

// drainSeconds estimates the time in seconds until an amount is free on a worker if
// nothing new starts there; math.MaxFloat32 if it never is.
func (o drainOrder) drainSeconds(w *cache.Worker, need model.Resources) float64 {
	free := w.Free()
	if need.Fits(free) {
		return 0
	}
	var departures []departure
	for _, g := range w.Gangs {
		departures = append(departures, departure{g, o.engine.remainingSeconds(g)})
	}
	slices.SortStableFunc(departures, func(a, b departure) int { return cmp.Compare(a.seconds, b.seconds) })
	for _, d := range departures {
		free = free.Add(amountOn(d.gang, w))
		if need.Fits(free) {
			return d.seconds
		}
	}
	return math.MaxFloat32
}

// remainingSeconds estimates how much longer a gang will run, in seconds. It is zero for
// a gang that is being stopped or can be at any time because it backfills.
func (e *ZoneEngine) remainingSeconds(g *cache.Gang) float64 {
	if g.Backfill || g.State == cache.Stopping {
		return 0
	}
	age := e.now.Sub(g.Placed)
	return e.estimator.Remaining(usage.KeyOf(g.Spec), age).Seconds()
}

func (e *ZoneEngine) reservationOf(g *cache.Gang) *reservation {
	i := slices.IndexFunc(e.reservations, func(r *reservation) bool { return r.gang == g })
	if i < 0 {
		return nil
	}
	return e.reservations[i]
}

func (e *ZoneEngine) dropReservations() {
	for len(e.reservations) > 0 {
		e.dropReservation(e.reservations[0].gang)
	}
}

// dropReservation ends the reservation for a gang, if there is one.
func (e *ZoneEngine) dropReservation(g *cache.Gang) {
	r := e.reservationOf(g)
	if r == nil {
		return
	}
	for _, part := range r.parts {
		if part.Worker.Reserved == g {
			part.Worker.Reserved = nil
		}
	}
	e.reservations = slices.DeleteFunc(e.reservations, func(other *reservation) bool { return other == r })
	e.stateVersion++
}
