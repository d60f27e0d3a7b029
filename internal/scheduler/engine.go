package scheduler

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/fairshare"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
	"github.com/chervilrun/chervilrun/internal/scheduler/holding"
	"github.com/chervilrun/chervilrun/internal/scheduler/preemption"
	"github.com/chervilrun/chervilrun/internal/scheduler/quarantine"
	"github.com/chervilrun/chervilrun/internal/scheduler/queue"
	"github.com/chervilrun/chervilrun/internal/scheduler/rank"
	"github.com/chervilrun/chervilrun/internal/scheduler/usage"
)

// Core is the Engine of one availability zone.
type Core struct {
	zone    model.AvailabilityZoneID
	options Options
	// features says what the policy makes use of.
	features features

	pool           *cache.Pool
	gangs          map[model.JobID]*cache.Gang
	queue          *queue.Queue
	guarantees     *holding.Allocator
	ledger         *fairshare.Ledger
	quarantine     *quarantine.List
	estimator      *usage.Estimator
	mix            *rank.Mix
	ranker         rank.Ranker
	victimSelector preemption.Selector

	now          time.Time
	outOfService bool
	returnedAt   time.Time
	// openRacks is the number of racks open to small jobs while the zone returns.
	openRacks int
	sequence  uint64
	// stateVersion rises whenever something came free; lanes that found no place wait for it.
	stateVersion uint64
	actions      []Action
	// changedWorkers are the workers whose account changed since the last check.
	changedWorkers    map[*cache.Worker]bool
	deadlines         deadlines
	claims            []*cache.Gang
	reservations      []*reservation
	overuseByJob      map[model.JobID]*overuse
	overuseByTask     map[taskKey]int64
	nextQuarantineEnd time.Time
	// maxWorkerAccelerators is the capacity of the maxWorkerAccelerators worker in accelerators.
	maxWorkerAccelerators int

	// avoidWorkers lists the workers that the search at hand passes over.
	avoidWorkers map[model.WorkerID]bool
	// placementStale is true when guaranteed shapes may need another place.
	placementStale bool
	// hasUnmet is true when a guaranteed shape found no place.
	hasUnmet bool

	search         feasible.Search
	nestedSearch   feasible.Search
	candidateSpace feasible.Space
	partsSpace     feasible.Space
	trialSpace     feasible.Space
	needsBuffer    []preemption.Need
}

var _ Engine = (*Core)(nil)

// features are the parts of the product that a baseline does without.
type features struct {
	reservations   bool
	moves          bool
	cheapestVictim bool
}

// New returns the engine of a zone without workers, organisations or jobs.
func New(zone model.AvailabilityZoneID, options Options) *Core {
	options = options.withDefaults()
	e := &Core{
		zone:           zone,
		options:        options,
		pool:           cache.NewPool(),
		gangs:          make(map[model.JobID]*cache.Gang),
		queue:          queue.New(),
		ledger:         fairshare.New(),
		quarantine:     quarantine.NewList(options.Quarantine),
		estimator:      usage.NewEstimator(),
		mix:            rank.NewMix(),
		changedWorkers: make(map[*cache.Worker]bool),
		overuseByJob:   make(map[model.JobID]*overuse),
		overuseByTask:  make(map[taskKey]int64),
		stateVersion:   1,
	}
	e.guarantees = holding.NewAllocator(e.pool)
	e.applyPolicy()
	return e
}

func (e *Core) applyPolicy() {
	switch e.options.Policy {
	case PolicyFirstFit:
		e.ranker = rank.FirstFit{}
	case PolicyBestFit:
		e.ranker = &rank.BestFit{}
	case PolicyRandom:
		e.ranker = rank.NewRandom(e.options.Seed)
	default:
		e.ranker = rank.NewGradient(e.mix)
		e.features = features{reservations: true, moves: true, cheapestVictim: true}
	}
}

// SetOrganisations replaces the organisations and the shapes guaranteed in this zone.
func (e *Core) SetOrganisations(organisations []model.Organisation, guarantees map[model.OrganisationID][]model.Guarantee) {
	e.ledger.SetOrganisations(organisations)
	e.guarantees.SetGuarantees(guarantees, e.detachFromGuarantee)
	e.mix.SetGuaranteed(e.guarantees.CountShapes())
	e.placementStale = true
	e.stateVersion++
	e.checkInvariants()
}

// SetWorkers replaces the list of workers in this zone.
func (e *Core) SetWorkers(workers []model.Worker, now time.Time) {
	e.now = now
	e.pool.SetWorkers(workers)
	e.updatePoolTotals()
	for _, w := range e.pool.Workers {
		w.Quarantined = e.quarantine.Quarantined(w.ID, now)
		e.releaseOvercommitted(w)
	}
	e.abandonUnschedulableClaims()
	e.placementStale = true
	e.checkInvariants()
}

// updatePoolTotals works out what depends on the list of workers.
func (e *Core) updatePoolTotals() {
	var total model.Resources
	e.maxWorkerAccelerators = 0
	for _, w := range e.pool.Workers {
		total = total.Add(w.Capacity)
		e.maxWorkerAccelerators = max(e.maxWorkerAccelerators, w.Capacity.Accelerators)
	}
	e.ledger.SetTotal(total)
}

// SetUsable marks a worker as claimed and answering, or not.
func (e *Core) SetUsable(worker model.WorkerID, usable bool, now time.Time) {
	e.now = now
	w, ok := e.pool.Worker(worker)
	if !ok || w.Usable == usable {
		return
	}
	w.Usable = usable
	e.abandonUnschedulableClaims()
	e.placementStale = true
	e.checkInvariants()
}

// SetOut stops all starts while out; coming back is gradual from now on.
func (e *Core) SetOut(out bool, now time.Time) {
	e.now = now
	if e.outOfService && !out {
		e.returnedAt = now
	}
	if out {
		e.abandonClaims(func(*cache.Gang) bool { return true })
		e.dropReservations()
	}
	e.outOfService = out
	e.stateVersion++
	e.checkInvariants()
}

// placeGuarantees gives every guaranteed shape a place that can be given one.
func (e *Core) placeGuarantees() {
	if !e.placementStale {
		return
	}
	e.hasUnmet = !e.guarantees.PlaceUnmet(e.detachFromGuarantee)
	e.placementStale = false
	e.stateVersion++
}

// releaseOvercommitted makes a worker sound after a change that no decision of the engine made.
func (e *Core) releaseOvercommitted(w *cache.Worker) {
	if !w.GuaranteesFit() {
		e.guarantees.ReleaseOvercommitted(w, e.detachFromGuarantee)
	}
	e.changedWorkers[w] = true
}

// Unmet lists the guaranteed shapes that can't be held with the workers at hand.
func (e *Core) Unmet() []cache.GuaranteeInstance {
	e.placeGuarantees()
	var list []cache.GuaranteeInstance
	for _, inst := range e.guarantees.Unmet() {
		list = append(list, cache.GuaranteeInstance{Organisation: inst.Organisation, Name: inst.Name, Shape: inst.Shape})
	}
	return list
}

// Fragmentation is the expected share of the free accelerators that a job drawn
// from the mix can't use, 0 to 1.
func (e *Core) Fragmentation(mix []rank.Share) float64 {
	return rank.Fragmentation(e.pool, mix)
}
