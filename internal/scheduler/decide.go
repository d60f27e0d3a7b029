package scheduler

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/queue"
)

// Decide returns what to do now, in order.
func (e *ZoneEngine) Decide(now time.Time) []Action {
	e.now = now
	e.refuseExpired()
	e.endQuarantines()
	e.placeGuarantees()
	if !e.outOfService {
		e.openMoreRacks()
		e.startFreedClaims()
		e.placeQueued()
		e.processReservations()
	}
	e.checkInvariants()
	actions := e.actions
	e.actions = nil
	return actions
}

// refuseExpired ends queued jobs whose deadline has passed.
func (e *ZoneEngine) refuseExpired() {
	for {
		g := e.deadlines.popExpired(e.now)
		if g == nil {
			return
		}
		if g.State != cache.Queued || e.gangs[g.Spec.ID] != g {
			continue
		}
		e.queue.Remove(g)
		e.removeGang(g)
		e.actions = append(e.actions, Refuse{
			Job:     g.Spec.ID,
			Outcome: outcome.NotRunBecause(outcome.ReasonDeadline, "the deadline passed while the job waited"),
		})
	}
}

// endQuarantines clears the quarantine of workers for which it has ended.
func (e *ZoneEngine) endQuarantines() {
	if e.nextQuarantineEnd.IsZero() || e.now.Before(e.nextQuarantineEnd) {
		return
	}
	for _, w := range e.pool.Workers {
		w.Quarantined = e.quarantine.Quarantined(w.ID, e.now)
	}
	e.nextQuarantineEnd = e.quarantine.NextEnd(e.now)
	e.placementStale = true
}

// startFreedClaims starts the claiming gangs whose victims have all stopped.
func (e *ZoneEngine) startFreedClaims() {
	waiting := e.claims[:0:0]
	for _, g := range e.claims {
		if len(g.Victims) > 0 {
			waiting = append(waiting, g)
			continue
		}
		e.startClaimed(g)
	}
	e.claims = waiting
}

// abandonClaims releases the claims that match and requeues their gangs.
func (e *ZoneEngine) abandonClaims(match func(*cache.Gang) bool) {
	var abandoned []*cache.Gang
	for _, g := range e.claims {
		if match(g) {
			abandoned = append(abandoned, g)
		}
	}
	for _, g := range abandoned {
		e.releaseClaim(g)
		e.requeue(g)
	}
}

// abandonUnschedulableClaims releases claims on workers that are no longer schedulable.
func (e *ZoneEngine) abandonUnschedulableClaims() {
	e.abandonClaims(func(g *cache.Gang) bool {
		for _, part := range g.Parts {
			if !part.Worker.Schedulable() {
				return true
			}
		}
		return false
	})
}

// placeQueued places the heads of the equivalence classes in order of precedence until
// none can be placed.
func (e *ZoneEngine) placeQueued() {
	for {
		class := e.nextClass()
		if class == nil {
			return
		}
		if !e.tryPlace(class) {
			class.BlockedVersion = e.stateVersion
		}
	}
}

// precedence holds what decides which equivalence class is served next.
type precedence struct {
	entitled bool
	urgent   bool
	share    float64
	head     *cache.Gang
}

// nextClass returns the equivalence class to serve next, or nil if all are blocked. Jobs
// that a guarantee covers come first, then urgent jobs of organisations below
// maxUrgentShare, then jobs of the organisation with the lowest weighted share. Within
// an organisation urgent jobs come first; the last criterion is the age.
func (e *ZoneEngine) nextClass() *queue.EquivalenceClass {
	var best *queue.EquivalenceClass
	var highest precedence
	for _, class := range e.queue.Classes() {
		if class.BlockedVersion == e.stateVersion {
			continue
		}
		p := e.precedenceOf(class)
		if best == nil || p.before(highest) {
			best, highest = class, p
		}
	}
	return best
}

func (e *ZoneEngine) precedenceOf(class *queue.EquivalenceClass) precedence {
	return precedence{
		entitled: e.entitled(class.Head()),
		urgent:   class.Key.Urgent,
		share:    e.ledger.Share(class.Key.Organisation),
		head:     class.Head(),
	}
}

// maxUrgentShare is the weighted share below which an organisation's urgent jobs precede
// the jobs of other organisations.
const maxUrgentShare = 0.1

// before reports whether p is served before other.
func (p precedence) before(other precedence) bool {
	if p.entitled != other.entitled {
		return p.entitled
	}
	if p.urgentWithinShare() != other.urgentWithinShare() {
		return p.urgentWithinShare()
	}
	same := p.head.Spec.Organisation == other.head.Spec.Organisation
	if same && p.urgent != other.urgent {
		return p.urgent
	}
	if p.share != other.share {
		return p.share < other.share
	}
	return queue.Before(p.head, other.head)
}

func (p precedence) urgentWithinShare() bool { return p.urgent && p.share < maxUrgentShare }

// entitled reports whether the gang's organisation has a vacant guarantee instance that is
// placed and covers the gang.
func (e *ZoneEngine) entitled(g *cache.Gang) bool {
	for _, inst := range e.guarantees.ForOrganisation(g.Spec.Organisation) {
		if inst.Vacant() && inst.Parts != nil && inst.Covers(g.Spec.Shape) {
			return true
		}
	}
	return false
}
