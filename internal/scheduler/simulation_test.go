package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
)

// testZone is the zone of every engine under test.
const testZone = model.AvailabilityZoneID("fukuoka")

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// drawFunc returns a random number from 0 to n-1; label names the choice in rapid's output.
type drawFunc func(label string, n int) int

// simulation is the caller of an engine: it generates random events and checks the
// engine's actions.
type simulation struct {
	t             require.TestingT
	draw          drawFunc
	engine        *ZoneEngine
	now           time.Time
	workers       []model.Worker
	orgs          []model.Organisation
	usable        map[model.WorkerID]bool
	faultyWorkers map[model.WorkerID]bool
	outOfService  bool
	jobs          map[model.JobID]*simulatedJob
	// jobCount is the number of jobs created, for unique IDs.
	jobCount int
	// entitledSince is when an urgent job that a guarantee covers began to wait.
	entitledSince map[model.JobID]time.Time
}

// simulatedJob is what the caller knows of a job.
type simulatedJob struct {
	spec      model.JobSpec
	accepted  time.Time
	placement model.Placement // nil while queued
	started   bool
	stopping  bool
}

var testShapes = []model.Shape{
	shape(1, 1, model.AdjacencyZone),
	shape(2, 1, model.AdjacencyWorker),
	shape(4, 1, model.AdjacencyWorker),
	shape(8, 1, model.AdjacencyWorker),
	shape(2, 8, model.AdjacencyRack),
	shape(16, 1, model.AdjacencyRack),
	shape(24, 1, model.AdjacencyZone),
	{Tasks: 2, PerTask: model.Resources{MilliCPU: 20000, MemoryMB: 50000}, Adjacency: model.AdjacencyRack},
}

// shape returns a shape with CPU and memory in proportion to the accelerators.
func shape(tasks, accelerators int, adjacency model.Adjacency) model.Shape {
	perTask := model.Resources{
		Accelerators: accelerators,
		MilliCPU:     int64(accelerators) * 7000,
		MemoryMB:     int64(accelerators) * 14000,
	}
	return model.Shape{Tasks: tasks, PerTask: perTask, Adjacency: adjacency}
}

func testWorkers(racks, perRack int) []model.Worker {
	var workers []model.Worker
	for r := range racks {
		for i := range perRack {
			workers = append(workers, model.Worker{
				ID:       model.WorkerID(fmt.Sprintf("w%02d-%02d", r, i)),
				Zone:     testZone,
				Rack:     model.RackID(fmt.Sprintf("r%02d", r)),
				Capacity: model.Resources{Accelerators: 8, MilliCPU: 64000, MemoryMB: 128 << 10},
				State:    model.HostLive,
			})
		}
	}
	return workers
}

func testOrganisations(count int) []model.Organisation {
	orgs := []model.Organisation{
		{ID: "a", Weight: 1, Guarantees: []model.Guarantee{{Name: "night", Shape: shape(16, 1, model.AdjacencyRack), Count: count}}},
		{ID: "b", Weight: 2, Guarantees: []model.Guarantee{{Name: "path", Shape: shape(8, 1, model.AdjacencyWorker), Count: count}}},
		{ID: "c", Weight: 1, MaxAccelerators: 24},
	}
	return orgs
}

func newSimulation(t require.TestingT, d drawFunc, policy Policy) *simulation {
	s := &simulation{
		t: t, draw: d, now: epoch,
		workers:       testWorkers(2, 4),
		orgs:          testOrganisations(2),
		usable:        make(map[model.WorkerID]bool),
		faultyWorkers: make(map[model.WorkerID]bool),
		jobs:          make(map[model.JobID]*simulatedJob),
		entitledSince: make(map[model.JobID]time.Time),
	}
	for _, worker := range s.workers {
		s.usable[worker.ID] = true
	}
	s.engine = s.newEngine(policy)
	return s
}

func (s *simulation) newEngine(policy Policy) *ZoneEngine {
	e := New(testZone, Options{Policy: policy, CheckAll: true})
	s.engine = e
	e.SetWorkers(s.workers, s.now)
	for _, worker := range s.workers {
		e.SetUsable(worker.ID, s.usable[worker.ID], s.now)
	}
	s.setOrganisations()
	e.SetOutOfService(s.outOfService, s.now)
	return e
}

func (s *simulation) setOrganisations() {
	zones := []model.AvailabilityZone{{ID: testZone}}
	assignment, _ := guarantee.Pack(s.workers, zones, s.orgs)
	s.engine.SetOrganisations(s.orgs, assignment[testZone])
}

// step generates one random event and carries out the engine's decisions.
func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.draw("delay", 20)) * 100 * time.Millisecond)
	events := []func(){
		s.enqueueJob, s.enqueueJob, s.enqueueJob, s.enqueueBurst,
		s.confirmStart, s.confirmStart, s.confirmStart, s.confirmStart,
		s.finishJob, s.finishJob, s.stopPreempted, s.stopPreempted,
		s.failStart, s.cancelJob, s.toggleWorker, s.toggleFault, s.toggleZone,
		s.reportUsage, s.reconfigure, s.takeOver, s.advanceClock,
	}
	events[s.draw("event", len(events))]()
	s.applyActions(s.engine.Decide(s.now))
	s.checkCapacity()
}

func (s *simulation) applyActions(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case StartGang:
			s.start(a)
		case StopGang:
			j := s.jobs[a.Job]
			require.NotNil(s.t, j.placement, "stop of a job that is not placed")
			require.True(s.t, j.spec.Preemptible() || a.Reason == outcome.ReasonMemoryOverDeclared, "stop of a job that is not preemptible")
			j.stopping = true
		case Refuse:
			require.Nil(s.t, s.jobs[a.Job].placement, "refusal of a placed job")
			delete(s.jobs, a.Job)
		case ThrottleTask:
			require.NotNil(s.t, s.jobs[a.Job].placement, "throttling of a job that is not placed")
		}
	}
}

func (s *simulation) start(a StartGang) {
	j := s.jobs[a.Job]
	require.NotNil(s.t, j, "start of an unknown job")
	require.Nil(s.t, j.placement, "start of a job that is already placed")
	require.False(s.t, s.outOfService, "start while the zone is out of service")
	require.Len(s.t, a.Placement, j.spec.Shape.Tasks)
	racks := make(map[model.RackID]bool)
	workers := make(map[model.WorkerID]bool)
	for _, id := range a.Placement {
		require.True(s.t, s.usable[id], "start on a worker that is not usable")
		workers[id] = true
		racks[s.rackOf(id)] = true
	}
	if j.spec.Shape.Adjacency == model.AdjacencyWorker {
		require.Len(s.t, workers, 1)
	}
	if j.spec.Shape.Adjacency == model.AdjacencyRack {
		require.Len(s.t, racks, 1)
	}
	j.placement, j.started, j.stopping = a.Placement, false, false
}

func (s *simulation) rackOf(id model.WorkerID) model.RackID {
	i := slices.IndexFunc(s.workers, func(worker model.Worker) bool { return worker.ID == id })
	return s.workers[i].Rack
}

// checkCapacity checks that the declared resources of the placed tasks fit each worker.
func (s *simulation) checkCapacity() {
	used := make(map[model.WorkerID]model.Resources)
	for _, j := range s.jobs {
		for _, id := range j.placement {
			used[id] = used[id].Add(j.spec.Shape.PerTask)
		}
	}
	for _, worker := range s.workers {
		require.True(s.t, used[worker.ID].Fits(worker.Capacity), "worker %s is overcommitted", worker.ID)
	}
}

func (s *simulation) enqueueJob() {
	s.jobCount++
	orgs := []model.OrganisationID{"a", "b", "c", "nobody"}
	classes := []model.PriorityClass{model.PriorityNormal, model.PriorityUrgent}
	kind := s.draw("kind", 4)
	spec := model.JobSpec{
		ID:           model.JobID(fmt.Sprintf("j%d", s.jobCount)),
		Organisation: orgs[s.draw("org", len(orgs))],
		Service:      "s",
		Shape:        testShapes[s.draw("shape", len(testShapes))],
		Priority:     classes[s.draw("class", 2)],
		Repeatable:   kind&1 != 0,
		Checkpoint:   kind&2 != 0,
	}
	if s.draw("deadline", 4) == 0 {
		spec.Deadline = s.now.Add(time.Duration(1+s.draw("until", 60)) * time.Second)
	}
	o := s.engine.Enqueue(spec, s.now, s.now)
	if o.Kind == outcome.Accepted {
		s.jobs[spec.ID] = &simulatedJob{spec: spec, accepted: s.now}
	}
}

func (s *simulation) enqueueBurst() {
	for range 5 {
		s.enqueueJob()
	}
}

// pickJob returns one of the jobs that match, or nil.
func (s *simulation) pickJob(match func(*simulatedJob) bool) *simulatedJob {
	var ids []model.JobID
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if match(s.jobs[id]) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return s.jobs[ids[s.draw("job", len(ids))]]
}

func (s *simulation) confirmStart() {
	if j := s.pickJob(func(j *simulatedJob) bool { return j.placement != nil && !j.started }); j != nil {
		j.started = true
		s.engine.Started(j.spec.ID, s.now)
	}
}

func (s *simulation) finishJob() {
	if j := s.pickJob(func(j *simulatedJob) bool { return j.started }); j != nil {
		s.engine.Finished(j.spec.ID, s.now)
		delete(s.jobs, j.spec.ID)
	}
}

func (s *simulation) stopPreempted() {
	if j := s.pickJob(func(j *simulatedJob) bool { return j.stopping }); j != nil {
		s.stopJob(j, StoppedPreempted, j.spec.Preemptible(), nil)
	}
}

func (s *simulation) stopJob(j *simulatedJob, cause StopCause, requeue bool, blamed []model.WorkerID) {
	j.placement, j.started, j.stopping = nil, false, false
	s.engine.Stopped(j.spec.ID, cause, requeue, blamed, s.now)
	if !requeue {
		delete(s.jobs, j.spec.ID)
	}
}

// failStart makes the start of a job fail and blames the faulty workers of its placement.
func (s *simulation) failStart() {
	j := s.pickJob(func(j *simulatedJob) bool { return j.placement != nil && !j.started })
	if j == nil {
		return
	}
	var blamed []model.WorkerID
	for _, id := range j.placement {
		if s.faultyWorkers[id] {
			blamed = append(blamed, id)
		}
	}
	s.stopJob(j, StoppedNotStarted, true, blamed)
}

func (s *simulation) cancelJob() {
	j := s.pickJob(func(*simulatedJob) bool { return true })
	if j == nil {
		return
	}
	if s.engine.Cancel(j.spec.ID) {
		require.Nil(s.t, j.placement, "Cancel removed a placed job")
		delete(s.jobs, j.spec.ID)
		return
	}
	require.NotNil(s.t, j.placement, "Cancel did not remove a queued job")
	s.stopJob(j, StoppedCancelled, false, nil)
}

// toggleWorker makes a worker usable, or unusable, which stops the jobs on it.
func (s *simulation) toggleWorker() {
	id := s.workers[s.draw("worker", len(s.workers))].ID
	s.usable[id] = !s.usable[id]
	s.engine.SetUsable(id, s.usable[id], s.now)
	if s.usable[id] {
		return
	}
	for _, job := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[job]
		if slices.Contains(j.placement, id) {
			s.stopJob(j, StoppedWorkerLost, j.spec.Preemptible(), []model.WorkerID{id})
		}
	}
}

func (s *simulation) toggleFault() {
	id := s.workers[s.draw("worker", len(s.workers))].ID
	s.faultyWorkers[id] = !s.faultyWorkers[id]
}

func (s *simulation) toggleZone() {
	s.outOfService = !s.outOfService
	s.engine.SetOutOfService(s.outOfService, s.now)
}

func (s *simulation) reportUsage() {
	j := s.pickJob(func(j *simulatedJob) bool { return j.started })
	if j == nil {
		return
	}
	task := s.draw("task", len(j.placement))
	used := j.spec.Shape.PerTask
	used.MemoryMB = used.MemoryMB * int64(50+s.draw("memory", 150)) / 100
	s.engine.Observe([]Usage{{Job: j.spec.ID, Task: task, Worker: j.placement[task], Used: used}}, s.now)
}

func (s *simulation) reconfigure() {
	s.orgs = testOrganisations(s.draw("guarantees", 3))
	s.setOrganisations()
}

// takeOver replaces the engine with a new one, which adopts the placed jobs.
func (s *simulation) takeOver() {
	policy := s.engine.options.Policy
	s.newEngine(policy)
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.placement == nil {
			o := s.engine.Enqueue(j.spec, j.accepted, s.now)
			if o.Kind != outcome.Accepted {
				delete(s.jobs, id)
			}
			continue
		}
		j.started, j.stopping = true, false
		s.engine.Adopt(j.spec, j.placement, j.accepted, s.now)
	}
}

func (s *simulation) advanceClock() { s.now = s.now.Add(45 * time.Second) }

func policies() []Policy {
	return []Policy{PolicyChervilrun, PolicyFirstFit, PolicyBestFit, PolicyRandom}
}

func runSimulation(t *testing.T, steps int, d drawFunc, policy Policy) {
	s := newSimulation(t, d, policy)
	for range steps {
		s.step()
	}
}
