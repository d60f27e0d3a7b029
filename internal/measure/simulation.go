package measure

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/eventqueue"
	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/scheduler"
)

// Durations of starts and stops, and the interval between two samples.
const (
	startDuration      = 200 * time.Millisecond
	stopDuration       = 200 * time.Millisecond
	checkpointDuration = 500 * time.Millisecond
	startFailureDelay  = 2 * time.Second
	sampleInterval     = time.Minute
)

// origin is the simulated time at which every run begins.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type zone struct {
	id           model.AvailabilityZoneID
	engine       *scheduler.ZoneEngine
	workers      []model.Worker
	outOfService bool
	guarantees   map[model.OrganisationID][]model.Guarantee
	// unfinishedJobs counts the unfinished jobs routed to this zone, by class.
	unfinishedJobs map[*Class]int
}

type simulation struct {
	deployment     *Deployment
	scenario       Scenario
	clock          time.Duration
	events         eventqueue.Queue
	zones          []*zone
	jobs           []*job
	byID           map[model.JobID]*job
	failingWorkers map[model.WorkerID]bool
	// unfinishedJobs counts by class, to determine which jobs a guarantee covers.
	unfinishedJobs map[*Class]int
	stats          statistics
}

// newSimulation builds the engines and schedules the jobs and events of a run.
func newSimulation(d *Deployment, scenario Scenario, policy scheduler.Policy, seed uint64) *simulation {
	s := &simulation{
		deployment:     d,
		scenario:       scenario,
		jobs:           generateJobs(d, scenario, seed),
		byID:           make(map[model.JobID]*job),
		failingWorkers: make(map[model.WorkerID]bool),
		unfinishedJobs: make(map[*Class]int),
	}
	s.stats.window = [2]time.Duration{d.eventTime(), d.eventTime() + zoneOutDuration}
	for _, declared := range d.Zones {
		s.addZone(declared.ID, policy, seed)
	}
	s.assignGuarantees()
	for _, j := range s.jobs {
		s.byID[j.spec.ID] = j
		s.scheduleAt(j.arrival, func() { s.arrive(j) })
		if j.cancelAt > 0 {
			s.scheduleAt(j.cancelAt, func() { s.cancel(j) })
		}
	}
	s.scheduleScenario()
	s.scheduleAt(d.Tick, s.tick)
	s.scheduleAt(d.WarmUp, s.sample)
	return s
}

func (s *simulation) addZone(id model.AvailabilityZoneID, policy scheduler.Policy, seed uint64) {
	z := &zone{id: id, unfinishedJobs: make(map[*Class]int), engine: scheduler.New(id, scheduler.Options{Policy: policy, Seed: seed})}
	for _, w := range s.deployment.Workers {
		if w.Zone == id {
			z.workers = append(z.workers, w)
		}
	}
	z.engine.SetWorkers(z.workers, s.now())
	for _, w := range z.workers {
		z.engine.SetUsable(w.ID, true, s.now())
	}
	s.zones = append(s.zones, z)
}

func (s *simulation) assignGuarantees() {
	assignment, _ := guarantee.Pack(s.deployment.Workers, s.currentZones(), s.deployment.Organisations)
	for _, z := range s.zones {
		z.guarantees = assignment[z.id]
		z.engine.SetOrganisations(s.deployment.Organisations, z.guarantees)
	}
}

func (s *simulation) now() time.Time { return origin.Add(s.clock) }

// run executes all events until the horizon.
func (s *simulation) run() {
	for next, ok := s.events.NextTime(); ok; next, ok = s.events.NextTime() {
		at := next.Sub(origin)
		if at > s.deployment.Horizon {
			break
		}
		s.advance(at)
		s.events.Pop()()
		for _, z := range s.zones {
			s.decide(z)
		}
	}
	s.advance(s.deployment.Horizon)
}

func (s *simulation) advance(to time.Duration) {
	s.stats.integrate(s.clock, to, s.deployment.WarmUp)
	s.clock = to
}

func (s *simulation) tick() { s.scheduleAt(s.clock+s.deployment.Tick, s.tick) }

// arrive routes a new job. A job is within the guarantee while its class has no more
// unfinished jobs than the guarantee covers.
func (s *simulation) arrive(j *job) {
	s.unfinishedJobs[j.class]++
	j.withinGuarantee = j.class.Guaranteed && s.unfinishedJobs[j.class] <= s.guaranteedCount(j.class)
	s.route(j)
}

func (s *simulation) guaranteedCount(c *Class) int {
	sum := 0
	for _, z := range s.zones {
		sum += guaranteedCountIn(z, c)
	}
	return sum
}

func guaranteedCountIn(z *zone, c *Class) int {
	for _, g := range z.guarantees[c.Organisation] {
		if g.Shape == c.Shape {
			return g.Count
		}
	}
	return 0
}

// route enqueues a job in the first zone in order of preference that accepts it. A job
// that no zone accepts ends.
func (s *simulation) route(j *job) {
	for _, z := range s.zonesByPreference(j) {
		if z.engine.Enqueue(j.spec, origin.Add(j.arrival), s.now()).Kind == outcome.Accepted {
			s.removeFromZone(j)
			j.zone = z
			z.unfinishedJobs[j.class]++
			return
		}
	}
	s.endJob(j)
}

func (s *simulation) removeFromZone(j *job) {
	if j.zone != nil {
		j.zone.unfinishedJobs[j.class]--
		j.zone = nil
	}
}

func (s *simulation) endJob(j *job) {
	j.ended = true
	s.unfinishedJobs[j.class]--
	s.removeFromZone(j)
}

func (s *simulation) cancel(j *job) {
	if j.ended || j.zone == nil {
		return
	}
	if j.placed {
		s.removeGang(j, false, scheduler.StoppedCancelled, false)
	} else {
		j.zone.engine.Cancel(j.spec.ID)
	}
	j.cancelled = true
	s.endJob(j)
}

func (s *simulation) decide(z *zone) {
	for _, action := range z.engine.Decide(s.now()) {
		switch a := action.(type) {
		case scheduler.StartGang:
			s.start(s.byID[a.Job], a.Placement)
		case scheduler.StopGang:
			s.stop(s.byID[a.Job], a)
		}
	}
}

func (s *simulation) start(j *job, placement model.Placement) {
	j.placed = true
	j.attempt++
	attempt := j.attempt
	s.stats.addOccupied(j)
	for _, id := range placement {
		if s.failingWorkers[id] {
			s.scheduleAt(s.clock+startFailureDelay, func() { s.failStart(j, attempt, id) })
			return
		}
	}
	s.scheduleAt(s.clock+startDuration, func() { s.completeStart(j, attempt) })
}

func (s *simulation) failStart(j *job, attempt int, blamed model.WorkerID) {
	if j.attempt != attempt || !j.placed {
		return
	}
	j.placed = false
	s.stats.removeOccupied(j)
	j.zone.engine.Stopped(j.spec.ID, scheduler.StoppedNotStarted, true, []model.WorkerID{blamed}, s.now())
}

func (s *simulation) completeStart(j *job, attempt int) {
	if j.attempt != attempt || !j.placed || j.stopping {
		return
	}
	j.running, j.startedAt = true, s.clock
	if j.firstStart < 0 {
		j.firstStart = s.clock
		s.stats.recordFirstStart(s, j)
	}
	s.stats.addRunning(j)
	j.zone.engine.Started(j.spec.ID, s.now())
	s.scheduleAt(s.clock+j.runTime-j.savedRunTime, func() { s.completeRun(j, attempt) })
}

func (s *simulation) completeRun(j *job, attempt int) {
	if j.attempt != attempt || !j.running {
		return
	}
	j.placed, j.running, j.stopping = false, false, false
	s.stats.removeOccupied(j)
	s.stats.removeRunning(j)
	s.stats.recordCompletion(s, j)
	j.zone.engine.Finished(j.spec.ID, s.now())
	s.endJob(j)
}

// stop carries out a stop that the engine decided on.
func (s *simulation) stop(j *job, a scheduler.StopGang) {
	j.stopping = true
	if s.clock >= s.deployment.WarmUp && a.Beneficiary != "" {
		s.stats.evictions++
	}
	duration := stopDuration
	if a.Checkpoint {
		duration = checkpointDuration
	}
	if b := s.byID[a.Beneficiary]; b != nil && b.firstEviction < 0 {
		b.firstEviction = s.clock
	}
	attempt := j.attempt
	s.scheduleAt(s.clock+duration, func() {
		if j.attempt == attempt && j.placed {
			s.removeGang(j, a.Checkpoint, scheduler.StoppedPreempted, true)
		}
	})
}

// removeGang frees the workers of a gang; saved says whether its state was checkpointed.
func (s *simulation) removeGang(j *job, saved bool, cause scheduler.StopCause, requeue bool) {
	if j.running {
		ran := s.clock - j.startedAt
		if saved {
			j.savedRunTime += ran
		} else {
			s.stats.discardWork(s.clock, j, ran)
		}
		s.stats.removeRunning(j)
	}
	j.placed, j.running, j.stopping = false, false, false
	j.attempt++
	s.stats.removeOccupied(j)
	j.zone.engine.Stopped(j.spec.ID, cause, requeue, nil, s.now())
}
