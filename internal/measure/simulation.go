package measure

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/agenda"
	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/scheduler"
)

// Times that starts and stops take.
const (
	startTime      = 200 * time.Millisecond
	stopTime       = 200 * time.Millisecond
	checkpointTime = 500 * time.Millisecond
	failTime       = 2 * time.Second
	sampleEvery    = time.Minute
)

// origin is the time at which every run begins.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type zone struct {
	id      model.AvailabilityZoneID
	engine  *scheduler.Core
	workers []model.Worker
	out     bool
	held    map[model.OrganisationID][]model.Guarantee
	// active counts the unfinished jobs of each class that were routed here.
	active map[*Class]int
}

type simulation struct {
	deployment *Deployment
	scenario   Scenario
	clock      time.Duration
	events     agenda.Queue
	zones      []*zone
	jobs       []*job
	byID       map[model.JobID]*job
	broken     map[model.WorkerID]bool
	// active counts the unfinished jobs of each class, to tell which a guarantee covers.
	active map[*Class]int
	tally  tally
}

// newSimulation builds the engines and schedules the jobs and events of a run.
func newSimulation(d *Deployment, scenario Scenario, policy scheduler.Policy, seed uint64) *simulation {
	s := &simulation{
		deployment: d,
		scenario:   scenario,
		jobs:       stream(d, scenario, seed),
		byID:       make(map[model.JobID]*job),
		broken:     make(map[model.WorkerID]bool),
		active:     make(map[*Class]int),
	}
	s.tally.window = [2]time.Duration{d.eventAt(), d.eventAt() + absence}
	for _, declared := range d.Zones {
		s.addZone(declared.ID, policy, seed)
	}
	s.assignGuarantees()
	for _, j := range s.jobs {
		s.byID[j.spec.ID] = j
		s.at(j.arrives, func() { s.arrive(j) })
		if j.cancelAt > 0 {
			s.at(j.cancelAt, func() { s.cancel(j) })
		}
	}
	s.schedule()
	s.at(d.Tick, s.tick)
	s.at(d.WarmUp, s.sample)
	return s
}

func (s *simulation) addZone(id model.AvailabilityZoneID, policy scheduler.Policy, seed uint64) {
	z := &zone{id: id, active: make(map[*Class]int), engine: scheduler.New(id, scheduler.Options{Policy: policy, Seed: seed})}
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
	assignment, _ := guarantee.Pack(s.deployment.Workers, s.zonesNow(), s.deployment.Organisations)
	for _, z := range s.zones {
		z.held = assignment[z.id]
		z.engine.SetOrganisations(s.deployment.Organisations, z.held)
	}
}

func (s *simulation) now() time.Time { return origin.Add(s.clock) }

// run plays all events until the horizon.
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
	s.tally.integrate(s.clock, to, s.deployment.WarmUp)
	s.clock = to
}

func (s *simulation) tick() { s.at(s.clock+s.deployment.Tick, s.tick) }

// arrive routes a new job. A job is entitled when its class has not yet as many
// unfinished jobs as the organisation's guarantee holds.
func (s *simulation) arrive(j *job) {
	s.active[j.class]++
	j.entitled = j.class.Guaranteed && s.active[j.class] <= s.heldOf(j.class)
	s.route(j)
}

func (s *simulation) heldOf(c *Class) int {
	sum := 0
	for _, z := range s.zones {
		sum += heldIn(z, c)
	}
	return sum
}

func heldIn(z *zone, c *Class) int {
	for _, g := range z.held[c.Organisation] {
		if g.Shape == c.Shape {
			return g.Count
		}
	}
	return 0
}

// route offers a job to the zones in order of preference.
func (s *simulation) route(j *job) {
	for _, z := range s.preferred(j) {
		if z.engine.Enqueue(j.spec, origin.Add(j.arrives), s.now()).Kind == outcome.Accepted {
			s.leaveZone(j)
			j.zone = z
			z.active[j.class]++
			return
		}
	}
	s.end(j)
}

func (s *simulation) leaveZone(j *job) {
	if j.zone != nil {
		j.zone.active[j.class]--
		j.zone = nil
	}
}

func (s *simulation) end(j *job) {
	j.ended = true
	s.active[j.class]--
	s.leaveZone(j)
}

func (s *simulation) cancel(j *job) {
	if j.ended || j.zone == nil {
		return
	}
	if j.placed {
		s.leave(j, false, scheduler.StoppedCancelled, false)
	} else {
		j.zone.engine.Cancel(j.spec.ID)
	}
	j.cancelled = true
	s.end(j)
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
	s.tally.occupy(j)
	for _, id := range placement {
		if s.broken[id] {
			s.at(s.clock+failTime, func() { s.failStart(j, attempt, id) })
			return
		}
	}
	s.at(s.clock+startTime, func() { s.started(j, attempt) })
}

func (s *simulation) failStart(j *job, attempt int, blamed model.WorkerID) {
	if j.attempt != attempt || !j.placed {
		return
	}
	j.placed = false
	s.tally.release(j)
	j.zone.engine.Stopped(j.spec.ID, scheduler.StoppedNotStarted, true, []model.WorkerID{blamed}, s.now())
}

func (s *simulation) started(j *job, attempt int) {
	if j.attempt != attempt || !j.placed || j.stopping {
		return
	}
	j.running, j.begun = true, s.clock
	if j.first < 0 {
		j.first = s.clock
		s.tally.waited(s, j)
	}
	s.tally.run(j)
	j.zone.engine.Started(j.spec.ID, s.now())
	s.at(s.clock+j.runTime-j.done, func() { s.finished(j, attempt) })
}

func (s *simulation) finished(j *job, attempt int) {
	if j.attempt != attempt || !j.running {
		return
	}
	j.placed, j.running, j.stopping = false, false, false
	s.tally.release(j)
	s.tally.halt(j)
	s.tally.completed(s, j)
	j.zone.engine.Finished(j.spec.ID, s.now())
	s.end(j)
}

// stop carries out a stop that the engine asked for.
func (s *simulation) stop(j *job, a scheduler.StopGang) {
	j.stopping = true
	if s.clock >= s.deployment.WarmUp && a.Beneficiary != "" {
		s.tally.evictions++
	}
	takes := stopTime
	if a.Checkpoint {
		takes = checkpointTime
	}
	if b := s.byID[a.Beneficiary]; b != nil && b.evictedAt < 0 {
		b.evictedAt = s.clock
	}
	attempt := j.attempt
	s.at(s.clock+takes, func() {
		if j.attempt == attempt && j.placed {
			s.leave(j, a.Checkpoint, scheduler.StoppedPreempted, true)
		}
	})
}

// leave takes a gang off its workers; saved says whether its state was saved.
func (s *simulation) leave(j *job, saved bool, cause scheduler.StopCause, requeue bool) {
	if j.running {
		ran := s.clock - j.begun
		if saved {
			j.done += ran
		} else {
			s.tally.lose(s.clock, j, ran)
		}
		s.tally.halt(j)
	}
	j.placed, j.running, j.stopping = false, false, false
	j.attempt++
	s.tally.release(j)
	j.zone.engine.Stopped(j.spec.ID, cause, requeue, nil, s.now())
}
