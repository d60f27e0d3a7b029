package zone

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/worker"
)

// discoveredGang collects the reported tasks of an attempt that this runner did not
// start itself.
type discoveredGang struct {
	attempt         model.AttemptID
	job             model.JobID
	gangTasks       int
	tasks           map[int]*discoveredTask
	firstReportedAt time.Time
}

type discoveredTask struct {
	worker   *workerState
	endpoint string
	report   worker.Report
	// isDetached is as in task.
	isDetached bool
}

// checkpointRoundBits is the width of the checkpoint round within one epoch; the epoch
// takes the bits above it.
const checkpointRoundBits = 20

// addDiscoveredTask processes the report of a task that belongs to no gang of this runner.
func (r *Runner) addDiscoveredTask(w *workerState, report worker.Report, now time.Time) {
	index, valid := indexOf(report.Task)
	d := r.discovered[report.Attempt]
	if !valid || (d == nil && report.State == worker.TaskStopped) {
		return // nothing is left to stop
	}
	if d == nil {
		d = &discoveredGang{attempt: report.Attempt, job: report.Job, firstReportedAt: now, tasks: map[int]*discoveredTask{}}
		r.discovered[report.Attempt] = d
	}
	d.gangTasks = max(d.gangTasks, report.GangTasks)
	d.tasks[index] = &discoveredTask{worker: w, endpoint: w.claimedAt, report: report}
	if j := r.jobs[d.job]; r.recorder.loaded && d.running() == 0 && (j == nil || !j.needsReconciliation) {
		delete(r.discovered, d.attempt) // all reported tasks have ended, and the job needs none of them
	}
}

// markDiscoveredStopped marks as stopped the discovered tasks that a worker no longer
// reports.
func (r *Runner) markDiscoveredStopped(w *workerState, reported map[model.AttemptID]bool) {
	for _, d := range r.discovered {
		for _, dt := range d.tasks {
			if dt.worker == w && !dt.isDetached && !reported[d.attempt] {
				dt.report.State = worker.TaskStopped
			}
		}
	}
}

func (d *discoveredGang) count(state worker.TaskState) int {
	n := 0
	for _, dt := range d.tasks {
		if dt.report.State == state {
			n++
		}
	}
	return n
}

func (d *discoveredGang) running() int { return d.count(worker.TaskRunning) }

func (d *discoveredGang) isComplete() bool {
	return len(d.tasks) == d.gangTasks && !d.hasDetached() && d.running()+d.count(worker.TaskFinished) == d.gangTasks
}

func (d *discoveredGang) isBroken() bool {
	return d.hasDetached() || d.count(worker.TaskFailed)+d.count(worker.TaskStopped) > 0
}

func (d *discoveredGang) hasDetached() bool {
	for _, dt := range d.tasks {
		if dt.isDetached {
			return true
		}
	}
	return false
}

func (d *discoveredGang) indexes() []int {
	indexes := make([]int, 0, len(d.tasks))
	for index := range d.tasks {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	return indexes
}

// hasDiscoveredOn reports whether a task of a discovered gang runs on w.
func (r *Runner) hasDiscoveredOn(w *workerState) bool {
	return r.anyDiscoveredOn(w, func(dt *discoveredTask) bool { return dt.report.State == worker.TaskRunning })
}

// isDiscoveredOn reports whether a task of a discovered gang runs on w or has run there.
func (r *Runner) isDiscoveredOn(w *workerState) bool {
	return r.anyDiscoveredOn(w, func(*discoveredTask) bool { return true })
}

func (r *Runner) anyDiscoveredOn(w *workerState, matches func(*discoveredTask) bool) bool {
	for _, d := range r.discovered {
		for _, dt := range d.tasks {
			if dt.worker == w && matches(dt) {
				return true
			}
		}
	}
	return false
}

// hasDiscoveredTasks reports whether tasks of a job were discovered that are not yet
// confirmed to have stopped.
func (r *Runner) hasDiscoveredTasks(id model.JobID) bool {
	for _, g := range r.gangs {
		if g.job == nil && g.jobID == id {
			return true
		}
	}
	for _, d := range r.discovered {
		if d.job == id {
			return true
		}
	}
	return false
}

// reconcileDiscovered adopts the discovered gangs that are complete and stops the others.
func (r *Runner) reconcileDiscovered(now time.Time) {
	if len(r.discovered) == 0 {
		return
	}
	attempts := make([]model.AttemptID, 0, len(r.discovered))
	for attempt := range r.discovered {
		attempts = append(attempts, attempt)
	}
	slices.Sort(attempts)
	for _, attempt := range attempts {
		d := r.discovered[attempt]
		if resolve := r.resolutionFor(d, now); resolve != nil {
			delete(r.discovered, attempt)
			resolve(d, now)
		}
	}
}

// resolutionFor returns the function that adopts or stops d, or nil while neither can
// be decided. Until the records are loaded, it is not known which jobs still need their
// gangs, so only gangs that can't be complete are stopped.
func (r *Runner) resolutionFor(d *discoveredGang, now time.Time) func(*discoveredGang, time.Time) {
	discoveryEnded := r.isPoolReconciled(now) || now.Sub(d.firstReportedAt) >= r.Timing.DiscoveryTimeout
	if !r.recorder.loaded {
		if d.isBroken() || (discoveryEnded && !d.isComplete()) {
			return r.stopOrphan
		}
		return nil
	}
	j := r.jobs[d.job]
	switch {
	case j == nil || j.record.State.Final() || j.gang != nil:
		return r.stopOrphan
	case d.isComplete() && j.needsReconciliation:
		return r.adopt
	case j.needsReconciliation && (d.isBroken() || discoveryEnded):
		return r.stopPartial
	case !j.needsReconciliation:
		return r.stopOrphan
	}
	return nil
}

// registerGang creates a gang of the discovered tasks and registers it with the runner,
// the workers and j, which is nil for an orphan.
func (r *Runner) registerGang(j *jobState, d *discoveredGang, inEngine bool, now time.Time) *gang {
	g := &gang{job: j, jobID: d.job, attempt: d.attempt, machine: gangChart.Restore(gangRunning), inEngine: inEngine, placedAt: now}
	for _, index := range d.indexes() {
		dt := d.tasks[index]
		t := &task{gang: g, index: index, id: dt.report.Task, worker: dt.worker, machine: taskChart.New(), endpoint: dt.endpoint, isDetached: dt.isDetached}
		t.leaseExpiresBy = now.Add(r.longestLease())
		t.applyReport(dt.report)
		g.tasks = append(g.tasks, t)
		if !t.ended() {
			t.worker.addTask(t, now)
		}
	}
	r.gangs = append(r.gangs, g)
	if j != nil {
		j.gang = g
	}
	return g
}

// adopt continues a gang that an earlier owner started.
func (r *Runner) adopt(d *discoveredGang, now time.Time) {
	j := r.jobs[d.job]
	j.needsReconciliation = false
	g := r.registerGang(j, d, true, now)
	g.wasFullyStarted = true
	g.nextRoundAt = now.Add(r.Timing.CheckpointInterval)
	g.round = int(r.Epoch) << checkpointRoundBits // above the rounds of earlier owners
	placement := make(model.Placement, len(g.tasks))
	for i, t := range g.tasks {
		placement[i] = t.worker.info.ID
	}
	j.record.Attempt = d.attempt
	j.record.Attempts = max(j.record.Attempts, 1)
	j.record.Placement, j.record.Incarnations = placement, r.incarnationsOf(placement)
	if j.record.Started.IsZero() {
		j.record.Started = now
	}
	j.inEngine = true
	r.Engine.Adopt(j.record.Spec, placement, j.record.Accepted, now)
	if j.record.State == job.Stopping {
		r.fire(j, "requeue", false, now)
	}
	r.fire(j, "adopt", false, now)
	r.recordEvent(event.JobAdopted, j, "attempt "+string(d.attempt))
	if j.record.Cancel {
		r.stopGang(g, stop{cause: stopCancelled}, now)
	}
}

// stopPartial stops the discovered tasks of a job whose gang is incomplete; the job is
// then placed again. Tasks that were not discovered count as stopped once the pool is
// reconciled.
func (r *Runner) stopPartial(d *discoveredGang, now time.Time) {
	j := r.jobs[d.job]
	j.needsReconciliation = false
	r.countRecordedCrashes(j, now)
	g := r.registerGang(j, d, false, now)
	g.crashCounted = true
	if len(d.tasks) < d.gangTasks {
		// This task without a worker stands for all that were not discovered.
		g.tasks = append(g.tasks, &task{gang: g, index: -1, machine: taskChart.New()})
	}
	j.record.Attempt = d.attempt
	j.record.Attempts = max(j.record.Attempts, 1)
	if j.record.State == job.Queued || j.record.State == job.Stopping {
		r.markStarting(j)
	}
	s := stop{cause: stopWorkerLost, reason: outcome.ReasonWorkerLost, detail: "only some of its tasks were running after a change of owner"}
	r.stopGang(g, s, now)
}

// markStarting moves a job to the state starting, since its workers report tasks.
func (r *Runner) markStarting(j *jobState) {
	if j.record.State == job.Stopping {
		j.machine.Fire("requeue")
	}
	j.machine.Fire("place")
	j.record.State = job.Starting
}

// stopOrphan stops discovered tasks that no job of the zone needs any more.
func (r *Runner) stopOrphan(d *discoveredGang, now time.Time) {
	g := r.registerGang(nil, d, false, now)
	// With this cause, no worker counts as faulty and the gang is not counted as aborted.
	r.stopGang(g, stop{cause: stopPreempted, reason: outcome.ReasonNone}, now)
}
