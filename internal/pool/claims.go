package pool

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// An owner claims a worker by the first lease renewal that the worker responds to; from then on
// the worker rejects orders of earlier owners. All workers of a small pool are claimed. In a
// large pool only as many as needed are claimed, so that the time and the connections that
// a takeover takes depend on the work and not on the size of the pool. The other workers
// need not be asked, since the workers of each run that may exist are recorded.
const (
	// claimAllLimit is the number of workers up to which all are claimed.
	claimAllLimit = 128
	// maxClaimsInFlight limits the claims in flight.
	maxClaimsInFlight = 64
	// claimInterval is the minimum time between two selections of workers to claim.
	claimInterval = 100 * time.Millisecond
	// claimFactor is the number of free accelerators to claim for each that task groups wait
	// for.
	claimFactor = 1.5
	// idleClaimedWorkers is the number of idle workers to claim in advance of new work.
	idleClaimedWorkers = 64
)

// claimDue reports whether a worker that is not claimed has to be.
func (w *worker) claimDue() bool {
	return w.members.len() > 0 || w.orphans.len() > 0 || w.claimWanted
}

// sendClaims sends the claims that are due. Workers that have waited longest go first, so that those
// that don't respond leave claims to others.
func (o *Owner) sendClaims(due []*worker) {
	slices.SortStableFunc(due, func(a, b *worker) int { return a.claimSentAt.Compare(b.claimSentAt) })
	for _, w := range due {
		if w.members.len() > 0 || w.orphans.len() > 0 || o.claimsInFlight < maxClaimsInFlight {
			o.sendRenewal(w)
		}
	}
}

// chooseClaims marks the workers to claim.
func (o *Owner) chooseClaims(waiting []*taskGroup) {
	if o.now.Sub(o.lastClaimChoice) < claimInterval {
		return
	}
	o.lastClaimChoice = o.now
	if o.workers.len() <= claimAllLimit {
		for _, w := range o.workers.all() {
			w.claimWanted = true
		}
		return
	}
	for _, g := range o.stillRecovering() {
		for _, m := range g.members {
			if w, ok := o.workers.get(m.workerID); ok && m.phase == memberUnverified {
				w.claimWanted = true
			}
		}
	}
	for service, needs := range o.claimNeeds(waiting) {
		o.wantWorkers(service, needs)
	}
}

// claimNeed is what has to be claimed for the task groups of a service.
type claimNeed struct {
	accelerators int
	idleWorkers  int
	// racks and labels are those that waiting task groups require.
	racks  map[string]bool
	labels map[string]bool
	// denied are the most that the adviser has denied to one step. They are claimed in addition, so
	// that the step finds others.
	denied deniedWorkers
}

func (o *Owner) claimNeeds(waiting []*taskGroup) map[model.ServiceID]*claimNeed {
	needs := map[model.ServiceID]*claimNeed{}
	needOf := func(service model.ServiceID) *claimNeed {
		if needs[service] == nil {
			needs[service] = &claimNeed{idleWorkers: idleClaimedWorkers, racks: map[string]bool{}, labels: map[string]bool{}}
		}
		return needs[service]
	}
	for _, w := range o.workers.all() {
		needOf(w.info.Service)
	}
	denied, counted := map[model.ServiceID]deniedWorkers{}, map[*step]bool{}
	for _, g := range waiting {
		need := needOf(g.job.queue.Service)
		spec := g.step.spec
		if g.step.advice != nil && !counted[g.step] {
			counted[g.step] = true
			denied[g.job.queue.Service] = denied[g.job.queue.Service].max(o.deniedTo(g.step))
		}
		need.accelerators += g.tasks() * max(1, spec.PerTask.Accelerators)
		if spec.DataRack != "" {
			need.racks[spec.DataRack] = true
		}
		if spec.RequiredLabel != "" {
			need.labels[spec.RequiredLabel] = true
		}
	}
	for service, found := range denied {
		needs[service].denied = found
	}
	return needs
}

// deniedWorkers is what the workers that the adviser has denied to a step hold.
type deniedWorkers struct {
	freeAccelerators int
	idleWorkers      int
}

func (d deniedWorkers) max(other deniedWorkers) deniedWorkers {
	return deniedWorkers{max(d.freeAccelerators, other.freeAccelerators), max(d.idleWorkers, other.idleWorkers)}
}

func (o *Owner) deniedTo(s *step) deniedWorkers {
	var found deniedWorkers
	for id := range s.advice.denied {
		if w, ok := o.workers.get(id); ok && w.claimWanted && s.advice.isDenied(w) {
			found.freeAccelerators += w.free().Accelerators
			if w.members.len() == 0 {
				found.idleWorkers++
			}
		}
	}
	return found
}

// wantWorkers marks workers to claim, rack by rack, until the claimed ones have enough free
// accelerators and enough of them are idle, and all workers on the racks or with the labels
// that task groups require.
func (o *Owner) wantWorkers(service model.ServiceID, need *claimNeed) {
	accelerators := int(claimFactor*float64(need.accelerators)) + need.denied.freeAccelerators
	idleWorkers := need.idleWorkers + need.denied.idleWorkers
	for _, w := range o.workersByRack() {
		if w.info.Service != service || !w.Listed || w.Draining || o.policy.ZonesOutOfService[w.info.Zone] {
			continue
		}
		if w.claimWanted {
			accelerators -= w.free().Accelerators
			if w.members.len() == 0 {
				idleWorkers--
			}
			continue
		}
		required := need.racks[w.info.Rack] || slices.ContainsFunc(w.info.Labels, func(label string) bool { return need.labels[label] })
		if required || accelerators > 0 || idleWorkers > 0 {
			w.claimWanted = true
			accelerators -= w.info.Capacity.Accelerators
			idleWorkers--
		}
	}
}

// workersByRack lists the workers ordered by rack, those already claimed or to claim first.
func (o *Owner) workersByRack() []*worker {
	var list []*worker
	for _, w := range o.workers.all() {
		list = append(list, w)
	}
	slices.SortStableFunc(list, func(a, b *worker) int {
		switch {
		case a.claimWanted != b.claimWanted && a.claimWanted:
			return -1
		case a.claimWanted != b.claimWanted:
			return 1
		case a.info.Rack < b.info.Rack:
			return -1
		case a.info.Rack > b.info.Rack:
			return 1
		}
		return 0
	})
	return list
}
