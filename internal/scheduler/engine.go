package scheduler

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/fairshare"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
	"github.com/chervilrun/chervilrun/internal/scheduler/guaranteeplacement"
	"github.com/chervilrun/chervilrun/internal/scheduler/preemption"
	"github.com/chervilrun/chervilrun/internal/scheduler/quarantine"
	"github.com/chervilrun/chervilrun/internal/scheduler/queue"
	"github.com/chervilrun/chervilrun/internal/scheduler/rank"
	"github.com/chervilrun/chervilrun/internal/scheduler/usage"
)

// ZoneEngine implements Engine.
type ZoneEngine struct {
	zone    model.AvailabilityZoneID
	options Options
	// features says which optional features the policy uses.
	features features

	pool           *cache.Pool
	gangs          map[model.JobID]*cache.Gang
	queue          *queue.Queue
	guarantees     *guaranteeplacement.Allocator
	ledger         *fairshare.Ledger
	quarantine     *quarantine.List
	estimator      *usage.Estimator
	mix            *rank.Mix
	ranker         rank.Ranker
	victimSelector preemption.Selector

	now          time.Time
	outOfService bool
	returnedAt   time.Time
	// openRacks is the number of racks open to small jobs while the zone ramps up.
	openRacks int
	sequence  uint64
	// stateVersion increases whenever resources may have come free; a class whose head
	// could not be placed isn't tried again until then.
	stateVersion uint64
	actions      []Action
	// changedWorkers are the workers whose accounts changed since the last check.
	changedWorkers    map[*cache.Worker]bool
	deadlines         deadlines
	claims            []*cache.Gang
	reservations      []*reservation
	overuseByJob      map[model.JobID]*overuse
	overuseByTask     map[taskKey]int64
	nextQuarantineEnd time.Time
	// maxWorkerAccelerators is the largest number of accelerators of any worker.
	maxWorkerAccelerators int

	// avoidWorkers holds the workers that the current search excludes.
	avoidWorkers map[model.WorkerID]bool
	// placementStale is true when guarantee instances may have to be placed anew.
	placementStale bool
	// hasUnmet is true when a guarantee instance could not be placed.
	hasUnmet bool

	// The remaining fields are buffers that are reused between calls.
	search         feasible.Search
	nestedSearch   feasible.Search
	candidateSpace feasible.Space
	partsSpace     feasible.Space
	trialSpace     feasible.Space
	needsBuffer    []preemption.Need
}

var _ Engine = (*ZoneEngine)(nil)

// features are the optional features, which the baselines don't use.
type features struct {
	reservations   bool
	moves          bool
	cheapestVictim bool
}

// New returns the engine of a zone without workers, organisations or jobs.
func New(zone model.AvailabilityZoneID, options Options) *ZoneEngine {
	options = options.withDefaults()
	e := &ZoneEngine{
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
	e.guarantees = guaranteeplacement.NewAllocator(e.pool)
	e.applyPolicy()
	return e
}

func (e *ZoneEngine) applyPolicy() {
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

// SetOrganisations replaces the organisations and the guarantees assigned to this zone.
func (e *ZoneEngine) SetOrganisations(organisations []model.Organisation, guarantees map[model.OrganisationID][]model.Guarantee) {
	e.ledger.SetOrganisations(organisations)
	e.guarantees.SetGuarantees(guarantees, e.detachFromGuarantee)
	e.mix.SetGuaranteed(e.guarantees.CountShapes())
	e.placementStale = true
	e.stateVersion++
	e.checkInvariants()
}

// SetWorkers replaces the list of workers in this zone.
func (e *ZoneEngine) SetWorkers(workers []model.Worker, now time.Time) {
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

// updatePoolTotals updates the zone's total resources and maxWorkerAccelerators.
func (e *ZoneEngine) updatePoolTotals() {
	var total model.Resources
	e.maxWorkerAccelerators = 0
	for _, w := range e.pool.Workers {
		total = total.Add(w.Capacity)
		e.maxWorkerAccelerators = max(e.maxWorkerAccelerators, w.Capacity.Accelerators)
	}
	e.ledger.SetTotal(total)
}

// SetUsable records whether the caller has claimed the worker and it responds.
func (e *ZoneEngine) SetUsable(worker model.WorkerID, usable bool, now time.Time) {
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

// SetOutOfService takes the zone out of service or returns it to service, which ramps up.
func (e *ZoneEngine) SetOutOfService(out bool, now time.Time) {
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

// placeGuarantees places unmet guarantee instances, as far as possible.
func (e *ZoneEngine) placeGuarantees() {
	if !e.placementStale {
		return
	}
	e.hasUnmet = !e.guarantees.PlaceUnmet(e.detachFromGuarantee)
	e.placementStale = false
	e.stateVersion++
}

// releaseOvercommitted makes the guarantees on a worker fit again after a change that the
// engine did not decide on.
func (e *ZoneEngine) releaseOvercommitted(w *cache.Worker) {
	if !w.GuaranteesFit() {
		e.guarantees.ReleaseOvercommitted(w, e.detachFromGuarantee)
	}
	e.changedWorkers[w] = true
}

// Unmet lists the guarantee instances that can't be held on the current workers.
func (e *ZoneEngine) Unmet() []cache.GuaranteeInstance {
	e.placeGuarantees()
	var list []cache.GuaranteeInstance
	for _, inst := range e.guarantees.Unmet() {
		list = append(list, cache.GuaranteeInstance{Organisation: inst.Organisation, Name: inst.Name, Shape: inst.Shape})
	}
	return list
}

// Fragmentation is the expected fraction, 0 to 1, of the free accelerators that a job
// drawn from the mix can't use.
func (e *ZoneEngine) Fragmentation(mix []rank.Share) float64 {
	return rank.Fragmentation(e.pool, mix)
}
