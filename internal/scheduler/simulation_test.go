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

// testZone is the zone of all engines under test.
const testZone = model.AvailabilityZoneID("fukuoka")

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// draw returns a number from 0 to n-1.
type draw func(label string, n int) int

// world plays the caller of an engine with random events and checks what it is told.
type world struct {
	t       require.TestingT
	draw    draw
	engine  *Core
	now     time.Time
	workers []model.Worker
	orgs    []model.Organisation
	usable  map[model.WorkerID]bool
	broken  map[model.WorkerID]bool
	out     bool
	jobs    map[model.JobID]*worldJob
	made    int
	// entitledSince is when an urgent job within its guarantee began to wait.
	entitledSince map[model.JobID]time.Time
}

type worldJob struct {
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

func shape(tasks, accelerators int, adjacency model.Adjacency) model.Shape {
	per := model.Resources{
		Accelerators: accelerators,
		MilliCPU:     int64(accelerators) * 7000,
		MemoryMB:     int64(accelerators) * 14000,
	}
	return model.Shape{Tasks: tasks, PerTask: per, Adjacency: adjacency}
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

func newWorld(t require.TestingT, d draw, policy Policy) *world {
	w := &world{
		t: t, draw: d, now: epoch,
		workers:       testWorkers(2, 4),
		orgs:          testOrganisations(2),
		usable:        make(map[model.WorkerID]bool),
		broken:        make(map[model.WorkerID]bool),
		jobs:          make(map[model.JobID]*worldJob),
		entitledSince: make(map[model.JobID]time.Time),
	}
	for _, worker := range w.workers {
		w.usable[worker.ID] = true
	}
	w.engine = w.newEngine(policy)
	return w
}

func (w *world) newEngine(policy Policy) *Core {
	e := New(testZone, Options{Policy: policy, CheckAll: true})
	w.engine = e
	e.SetWorkers(w.workers, w.now)
	for _, worker := range w.workers {
		e.SetUsable(worker.ID, w.usable[worker.ID], w.now)
	}
	w.setOrganisations()
	e.SetOut(w.out, w.now)
	return e
}

func (w *world) setOrganisations() {
	zones := []model.AvailabilityZone{{ID: testZone}}
	assignment, _ := guarantee.Pack(w.workers, zones, w.orgs)
	w.engine.SetOrganisations(w.orgs, assignment[testZone])
}

// step makes one random event happen and lets the engine decide.
func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.draw("delay", 20)) * 100 * time.Millisecond)
	events := []func(){
		w.enqueue, w.enqueue, w.enqueue, w.burst,
		w.confirm, w.confirm, w.confirm, w.confirm,
		w.finish, w.finish, w.stopped, w.stopped,
		w.fail, w.cancel, w.flipWorker, w.breakWorker, w.flipZone,
		w.observe, w.reconfigure, w.failover, w.sleep,
	}
	events[w.draw("event", len(events))]()
	w.apply(w.engine.Decide(w.now))
	w.checkCapacity()
}

func (w *world) apply(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case StartGang:
			w.start(a)
		case StopGang:
			j := w.jobs[a.Job]
			require.NotNil(w.t, j.placement, "stop of a job that is not placed")
			require.True(w.t, j.spec.Preemptible() || a.Reason == outcome.ReasonMemoryOverDeclared)
			j.stopping = true
		case Refuse:
			require.Nil(w.t, w.jobs[a.Job].placement)
			delete(w.jobs, a.Job)
		case ThrottleTask:
			require.NotNil(w.t, w.jobs[a.Job].placement)
		}
	}
}

func (w *world) start(a StartGang) {
	j := w.jobs[a.Job]
	require.NotNil(w.t, j, "start of an unknown job")
	require.Nil(w.t, j.placement, "job runs already")
	require.False(w.t, w.out, "start while the zone is out")
	require.Len(w.t, a.Placement, j.spec.Shape.Tasks)
	racks := make(map[model.RackID]bool)
	hosts := make(map[model.WorkerID]bool)
	for _, id := range a.Placement {
		require.True(w.t, w.usable[id], "start on a worker that is not usable")
		hosts[id] = true
		racks[w.rackOf(id)] = true
	}
	if j.spec.Shape.Adjacency == model.AdjacencyWorker {
		require.Len(w.t, hosts, 1)
	}
	if j.spec.Shape.Adjacency == model.AdjacencyRack {
		require.Len(w.t, racks, 1)
	}
	j.placement, j.started, j.stopping = a.Placement, false, false
}

func (w *world) rackOf(id model.WorkerID) model.RackID {
	i := slices.IndexFunc(w.workers, func(worker model.Worker) bool { return worker.ID == id })
	return w.workers[i].Rack
}

// checkCapacity sums the declared sizes of what runs: no worker may be overfull.
func (w *world) checkCapacity() {
	used := make(map[model.WorkerID]model.Resources)
	for _, j := range w.jobs {
		for _, id := range j.placement {
			used[id] = used[id].Add(j.spec.Shape.PerTask)
		}
	}
	for _, worker := range w.workers {
		require.True(w.t, used[worker.ID].Fits(worker.Capacity), "worker %s is overfull", worker.ID)
	}
}

func (w *world) enqueue() {
	w.made++
	orgs := []model.OrganisationID{"a", "b", "c", "nobody"}
	classes := []model.PriorityClass{model.PriorityNormal, model.PriorityUrgent}
	kind := w.draw("kind", 4)
	spec := model.JobSpec{
		ID:           model.JobID(fmt.Sprintf("j%d", w.made)),
		Organisation: orgs[w.draw("org", len(orgs))],
		Service:      "s",
		Shape:        testShapes[w.draw("shape", len(testShapes))],
		Priority:     classes[w.draw("class", 2)],
		Repeatable:   kind&1 != 0,
		Checkpoint:   kind&2 != 0,
	}
	if w.draw("deadline", 4) == 0 {
		spec.Deadline = w.now.Add(time.Duration(1+w.draw("until", 60)) * time.Second)
	}
	o := w.engine.Enqueue(spec, w.now, w.now)
	if o.Kind == outcome.Accepted {
		w.jobs[spec.ID] = &worldJob{spec: spec, accepted: w.now}
	}
}

func (w *world) burst() {
	for range 5 {
		w.enqueue()
	}
}

// pick returns one of the jobs that match, or nil.
func (w *world) pick(match func(*worldJob) bool) *worldJob {
	var ids []model.JobID
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		if match(w.jobs[id]) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return w.jobs[ids[w.draw("job", len(ids))]]
}

func (w *world) confirm() {
	if j := w.pick(func(j *worldJob) bool { return j.placement != nil && !j.started }); j != nil {
		j.started = true
		w.engine.Started(j.spec.ID, w.now)
	}
}

func (w *world) finish() {
	if j := w.pick(func(j *worldJob) bool { return j.started }); j != nil {
		w.engine.Finished(j.spec.ID, w.now)
		delete(w.jobs, j.spec.ID)
	}
}

func (w *world) stopped() {
	if j := w.pick(func(j *worldJob) bool { return j.stopping }); j != nil {
		w.leave(j, StoppedPreempted, j.spec.Preemptible(), nil)
	}
}

func (w *world) leave(j *worldJob, cause StopCause, requeue bool, blamed []model.WorkerID) {
	j.placement, j.started, j.stopping = nil, false, false
	w.engine.Stopped(j.spec.ID, cause, requeue, blamed, w.now)
	if !requeue {
		delete(w.jobs, j.spec.ID)
	}
}

func (w *world) fail() {
	j := w.pick(func(j *worldJob) bool { return j.placement != nil && !j.started })
	if j == nil {
		return
	}
	var blamed []model.WorkerID
	for _, id := range j.placement {
		if w.broken[id] {
			blamed = append(blamed, id)
		}
	}
	w.leave(j, StoppedNotStarted, true, blamed)
}

func (w *world) cancel() {
	j := w.pick(func(*worldJob) bool { return true })
	if j == nil {
		return
	}
	if w.engine.Cancel(j.spec.ID) {
		require.Nil(w.t, j.placement)
		delete(w.jobs, j.spec.ID)
		return
	}
	require.NotNil(w.t, j.placement)
	w.leave(j, StoppedCancelled, false, nil)
}

func (w *world) flipWorker() {
	id := w.workers[w.draw("worker", len(w.workers))].ID
	w.usable[id] = !w.usable[id]
	w.engine.SetUsable(id, w.usable[id], w.now)
	if w.usable[id] {
		return
	}
	for _, job := range slices.Sorted(maps.Keys(w.jobs)) {
		j := w.jobs[job]
		if slices.Contains(j.placement, id) {
			w.leave(j, StoppedWorkerLost, j.spec.Preemptible(), []model.WorkerID{id})
		}
	}
}

func (w *world) breakWorker() {
	id := w.workers[w.draw("worker", len(w.workers))].ID
	w.broken[id] = !w.broken[id]
}

func (w *world) flipZone() {
	w.out = !w.out
	w.engine.SetOut(w.out, w.now)
}

func (w *world) observe() {
	j := w.pick(func(j *worldJob) bool { return j.started })
	if j == nil {
		return
	}
	task := w.draw("task", len(j.placement))
	used := j.spec.Shape.PerTask
	used.MemoryMB = used.MemoryMB * int64(50+w.draw("memory", 150)) / 100
	w.engine.Observe([]Usage{{Job: j.spec.ID, Task: task, Worker: j.placement[task], Used: used}}, w.now)
}

func (w *world) reconfigure() {
	w.orgs = testOrganisations(w.draw("guarantees", 3))
	w.setOrganisations()
}

// failover replaces the engine by a new one that adopts what runs.
func (w *world) failover() {
	policy := w.engine.options.Policy
	w.newEngine(policy)
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		j := w.jobs[id]
		if j.placement == nil {
			o := w.engine.Enqueue(j.spec, j.accepted, w.now)
			if o.Kind != outcome.Accepted {
				delete(w.jobs, id)
			}
			continue
		}
		j.started, j.stopping = true, false
		w.engine.Adopt(j.spec, j.placement, j.accepted, w.now)
	}
}

func (w *world) sleep() { w.now = w.now.Add(45 * time.Second) }

func policies() []Policy {
	return []Policy{PolicyChervilrun, PolicyFirstFit, PolicyBestFit, PolicyRandom}
}

func run(t *testing.T, steps int, d draw, policy Policy) {
	w := newWorld(t, d, policy)
	for range steps {
		w.step()
	}
}
