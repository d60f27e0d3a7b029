package scheduler

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/queue"
)

// Decide returns what to do now, in order.
func (e *Core) Decide(now time.Time) []Action {
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
func (e *Core) refuseExpired() {
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

// endQuarantines lets workers back whose quarantine is over.
func (e *Core) endQuarantines() {
	if e.nextQuarantineEnd.IsZero() || e.now.Before(e.nextQuarantineEnd) {
		return
	}
	for _, w := range e.pool.Workers {
		w.Quarantined = e.quarantine.Quarantined(w.ID, e.now)
	}
	e.nextQuarantineEnd = e.quarantine.Next(e.now)
	e.placementStale = true
}

// startFreedClaims starts the gangs whose place has come free.
func (e *Core) startFreedClaims() {
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

// abandonClaims gives up the claims that match and queues their gangs again.
func (e *Core) abandonClaims(match func(*cache.Gang) bool) {
	var lost []*cache.Gang
	for _, g := range e.claims {
		if match(g) {
			lost = append(lost, g)
		}
	}
	for _, g := range lost {
		e.releaseClaim(g)
		e.requeue(g)
	}
}

// abandonUnschedulableClaims gives up claims on workers that can't start tasks any more.
func (e *Core) abandonUnschedulableClaims() {
	e.abandonClaims(func(g *cache.Gang) bool {
		for _, part := range g.Parts {
			if !part.Worker.Schedulable() {
				return true
			}
		}
		return false
	})
}

// placeQueued places the heads of the lanes, in order of their claim to be next,
// until none finds a place.
func (e *Core) placeQueued() {
	for {
		lane := e.nextClass()
		if lane == nil {
			return
		}
		if !e.tryPlace(lane) {
			lane.BlockedVersion = e.stateVersion
		}
	}
}

// precedence is a lane's claim to be next.
type precedence struct {
	entitled bool
	urgent   bool
	share    float64
	head     *cache.Gang
}

// nextClass returns the lane that is next, or nil when all found no place. Jobs that a
// guarantee covers go first, then urgent jobs, then the organisation that borrows
// least for its weight.
func (e *Core) nextClass() *queue.EquivalenceClass {
	var best *queue.EquivalenceClass
	var top precedence
	for _, lane := range e.queue.Classes() {
		if lane.BlockedVersion == e.stateVersion {
			continue
		}
		s := e.precedenceOf(lane)
		if best == nil || s.before(top) {
			best, top = lane, s
		}
	}
	return best
}

func (e *Core) precedenceOf(lane *queue.EquivalenceClass) precedence {
	return precedence{
		entitled: e.entitled(lane.Head()),
		urgent:   lane.Key.Urgent,
		share:    e.ledger.Share(lane.Key.Organisation),
		head:     lane.Head(),
	}
}

// maxUrgentShare is the share, for each unit of weight, up to which urgent jobs of an
// organisation go ahead of the other organisations' jobs.
const maxUrgentShare = 0.1

func (s precedence) before(other precedence) bool {
	if s.entitled != other.entitled {
		return s.entitled
	}
	if s.urgentWithinShare() != other.urgentWithinShare() {
		return s.urgentWithinShare()
	}
	same := s.head.Spec.Organisation == other.head.Spec.Organisation
	if same && s.urgent != other.urgent {
		return s.urgent
	}
	if s.share != other.share {
		return s.share < other.share
	}
	return queue.Before(s.head, other.head)
}

func (s precedence) urgentWithinShare() bool { return s.urgent && s.share < maxUrgentShare }

// entitled reports whether a guarantee of the organisation has room for the gang.
func (e *Core) entitled(g *cache.Gang) bool {
	for _, inst := range e.guarantees.ForOrganisation(g.Spec.Organisation) {
		if inst.Vacant() && inst.Parts != nil && inst.Covers(g.Spec.Shape) {
			return true
		}
	}
	return false
}
