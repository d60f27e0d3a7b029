package scheduler

import (
	"fmt"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/usage"
)

// overuse records the memory use of a job's tasks and which of them are throttled.
type overuse struct {
	// peakMB is the highest memory use observed of any of its tasks, in megabytes.
	peakMB int64
	// throttledSince is when each throttled task was first observed to use more memory than its
	// shape has.
	throttledSince map[int]time.Time
}

// taskKey identifies a task on the worker where it uses too much memory.
type taskKey struct {
	job    model.JobID
	task   int
	worker model.WorkerID
}

// Observe processes usage reports, which may be delayed. A task that uses more memory
// than its shape has is throttled at the first report, and its gang is stopped if it still
// does after MemoryGrace. Until then the excess memory counts as used on the worker, so
// that no further task is placed in it.
func (e *ZoneEngine) Observe(usages []Usage, now time.Time) {
	e.now = now
	for _, u := range usages {
		g, ok := e.gangs[u.Job]
		if ok && runsOn(g, u.Worker) {
			e.observe(g, u)
		}
	}
	e.checkInvariants()
}

func runsOn(g *cache.Gang, worker model.WorkerID) bool {
	for _, part := range g.Parts {
		if part.Worker.ID == worker {
			return g.State != cache.Claiming
		}
	}
	return false
}

func (e *ZoneEngine) observe(g *cache.Gang, u Usage) {
	o := e.overuseOf(g)
	o.peakMB = max(o.peakMB, u.Used.MemoryMB)
	overMB := max(0, u.Used.MemoryMB-g.Shape.PerTask.MemoryMB)
	e.setOveruse(taskKey{u.Job, u.Task, u.Worker}, overMB)
	if overMB == 0 {
		delete(o.throttledSince, u.Task)
		return
	}
	first, throttled := o.throttledSince[u.Task]
	switch {
	case !throttled:
		o.throttledSince[u.Task] = e.now
		e.actions = append(e.actions, ThrottleTask{Task: taskID(u.Job, u.Task), Job: u.Job, Worker: u.Worker})
	case e.now.Sub(first) >= e.options.MemoryGrace && g.State == cache.Running:
		e.stopForMemory(g)
	}
}

// taskID returns the ID of a gang's task: "job/index".
func taskID(job model.JobID, task int) model.TaskID {
	return model.TaskID(fmt.Sprintf("%s/%d", job, task))
}

func (e *ZoneEngine) overuseOf(g *cache.Gang) *overuse {
	o, ok := e.overuseByJob[g.Spec.ID]
	if !ok {
		o = &overuse{throttledSince: make(map[int]time.Time)}
		e.overuseByJob[g.Spec.ID] = o
	}
	return o
}

// setOveruse accounts for the memory that a task uses beyond its shape.
func (e *ZoneEngine) setOveruse(key taskKey, overMB int64) {
	w, ok := e.pool.Worker(key.worker)
	if !ok {
		return
	}
	w.OveruseMB += overMB - e.overuseByTask[key]
	if overMB == 0 {
		delete(e.overuseByTask, key)
		return
	}
	e.overuseByTask[key] = overMB
}

func (e *ZoneEngine) stopForMemory(g *cache.Gang) {
	g.State = cache.Stopping
	e.actions = append(e.actions, StopGang{
		Job:        g.Spec.ID,
		Reason:     outcome.ReasonMemoryOverDeclared,
		Checkpoint: g.Spec.Checkpoint,
	})
}

// clearOveruse ends the accounting for a gang that is no longer placed.
func (e *ZoneEngine) clearOveruse(g *cache.Gang) {
	o, ok := e.overuseByJob[g.Spec.ID]
	if !ok {
		return
	}
	for task := range o.throttledSince {
		for _, part := range g.Parts {
			e.setOveruse(taskKey{g.Spec.ID, task, part.Worker.ID}, 0)
		}
	}
	clear(o.throttledSince)
	e.recordPeakMemory(g)
}

// recordPeakMemory adds the gang's peak memory to the samples of its service.
func (e *ZoneEngine) recordPeakMemory(g *cache.Gang) {
	if o, ok := e.overuseByJob[g.Spec.ID]; ok && o.peakMB > 0 {
		e.estimator.AddPeakMemory(usage.KeyOf(g.Spec), o.peakMB)
	}
}

// placementMemoryMB is the memory, in megabytes, with which a task is placed outside
// guarantees: the maximum of what is declared, observed of the job's own tasks and
// estimated for its service, but no more than the largest worker has for each task,
// unless more is declared.
func (e *ZoneEngine) placementMemoryMB(spec model.JobSpec) int64 {
	declared := spec.Shape.PerTask.MemoryMB
	expected := e.estimator.ExpectedMemoryMB(usage.KeyOf(spec), declared)
	if o, ok := e.overuseByJob[spec.ID]; ok {
		expected = max(expected, o.peakMB)
	}
	return max(declared, min(expected, e.maxTaskMemoryMB(spec.Shape)))
}

// maxTaskMemoryMB is the most memory, in megabytes, that a task of the shape can get.
func (e *ZoneEngine) maxTaskMemoryMB(shape model.Shape) int64 {
	tasks := int64(1)
	if shape.Adjacency == model.AdjacencyWorker {
		tasks = int64(shape.Tasks)
	}
	most := int64(0)
	for _, w := range e.pool.Workers {
		most = max(most, w.Capacity.MemoryMB/tasks)
	}
	return most
}
