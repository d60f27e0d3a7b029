package pool

import (
	"math"
	"time"

	"github.com/chervilrun/chervilrun/internal/chart"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool/evidence"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

var taskGroupChart = chart.Load("piece")

// The states of a task group, as in charts/piece.toml. An assigned task group has workers but
// no start orders yet.
const (
	taskGroupWaiting    = "waiting"
	taskGroupAssigned   = "claimed"
	taskGroupStarting   = "starting"
	taskGroupRunning    = "running"
	taskGroupStopping   = "stopping"
	taskGroupRecovering = "recovering"
	taskGroupDone       = "done"
)

// taskGroup is the unit of placement: a gang, or one independent task.
type taskGroup struct {
	id         plan.TaskGroupID
	job        *job
	occurrence *occurrence
	step       *step
	key        string
	index      int
	chart      *chart.Machine

	// run is the number of the latest run; failures counts the runs that failed.
	run        int
	failures   int
	checkpoint string
	// members are the tasks of the latest run, by index within it.
	members []*member
	// assignmentVersion is the job version that has to be recorded before start orders are sent.
	assignmentVersion uint64
	// readySince is when the task group became ready to run, placedAt when it was assigned to
	// workers.
	readySince time.Time
	placedAt   time.Time
	// runningSince is when the last member was confirmed as running.
	runningSince   time.Time
	avoidedWorkers map[model.WorkerID]bool
	// earlyEnds counts the runs in a row that have ended by themselves soon after their start;
	// startAfter is the earliest time of the next start. Both are for long-running task groups.
	earlyEnds  int
	startAfter time.Time
	// failedRun is the run whose failure has been counted.
	failedRun int
	// crashes are the runs under which a worker has crashed.
	crashes []workflow.CrashedRun
	// cachedPlanRun is the planner's view of the run; nil if it has to be computed.
	cachedPlanRun *plan.Run
	// record is the record that holds the task group's progress.
	record *jobRecord
}

func newTaskGroup(j *job, o *occurrence, s *step, index int) *taskGroup {
	key := taskGroupKey(o.number, s.index, index, s.spec.Gang)
	return &taskGroup{
		id:  plan.TaskGroupID(string(j.id()) + "." + key),
		job: j, occurrence: o, step: s, index: index,
		key:   key,
		chart: taskGroupChart.New(),
	}
}

func (g *taskGroup) state() string  { return g.chart.State() }
func (g *taskGroup) finished() bool { return g.state() == taskGroupDone }

// tasks is the number of tasks in the group.
func (g *taskGroup) tasks() int {
	if g.step.spec.Gang {
		return g.step.spec.Tasks
	}
	return 1
}

func (g *taskGroup) accelerators() int { return g.tasks() * g.step.spec.PerTask.Accelerators }

// task returns the name of a task by its index within the task group.
func (g *taskGroup) task(index int) workflow.Task {
	if !g.step.spec.Gang {
		index = g.index
	}
	return workflow.Task{Job: g.job.id(), Occurrence: g.occurrence.number, Step: g.step.index, Index: index}
}

// holdsResources reports whether the task group holds or may hold resources.
func (g *taskGroup) holdsResources() bool {
	switch g.state() {
	case taskGroupAssigned, taskGroupStarting, taskGroupRunning, taskGroupStopping, taskGroupRecovering:
		return true
	}
	return false
}

// restore sets the state from recorded progress. A run whose workers are recorded may exist.
func (g *taskGroup) restore(stored workflow.TaskGroupProgress) {
	g.run, g.failures, g.failedRun, g.checkpoint = stored.Run, stored.Failures, stored.FailedRun, stored.Checkpoint
	g.crashes = stored.Crashes
	if stored.PlacedMS > 0 {
		g.placedAt = time.UnixMilli(stored.PlacedMS)
	}
	g.job.placed = g.job.placed || stored.Run > 0
	switch {
	case stored.Done:
		g.job.started = true
		g.chart.Fire("finish")
	case len(stored.Workers) > 0:
		g.chart.Fire("recover")
		for index, worker := range stored.Workers {
			m := &member{group: g, index: index, run: stored.Run, workerID: worker, phase: memberUnverified, share: fullShare}
			if index < len(stored.Incarnations) {
				m.incarnation = stored.Incarnations[index]
			}
			g.members = append(g.members, m)
		}
	}
}

// progress returns the progress of the task group to record, and whether there is any.
func (g *taskGroup) progress() (workflow.TaskGroupProgress, bool) {
	if g.finished() {
		return workflow.TaskGroupProgress{Done: true, Run: g.run}, true
	}
	stored := workflow.TaskGroupProgress{
		Run: g.run, Failures: g.failures, FailedRun: g.failedRun, Checkpoint: g.checkpoint,
		Crashes: g.crashes,
	}
	if g.holdsResources() {
		stored.PlacedMS = g.placedAt.UnixMilli()
		for _, m := range g.members {
			stored.Workers = append(stored.Workers, m.workerID)
			stored.Incarnations = append(stored.Incarnations, m.incarnation)
		}
	}
	return stored, stored.Run > 0
}

// memberPhase is what the owner knows about one task of a run.
type memberPhase int

const (
	// memberAssigned has resources assigned; no start order has been sent.
	memberAssigned memberPhase = iota
	// memberStarting has a start order that is queued, in flight or without a response.
	memberStarting
	// memberRunning was confirmed by the worker.
	memberRunning
	// memberUnverified was recorded by an earlier owner; its worker has not responded yet.
	memberUnverified
	// memberGone does not exist and never will.
	memberGone
)

// neverExpires is the expiry of a start order that was sent to an earlier incarnation of
// the worker. The clock of the present incarnation can't show whether it has expired, so
// that only a confirmed stop proves that the run will not start.
const neverExpires = math.MaxInt64

// member is one task of a run on its worker.
type member struct {
	group    *taskGroup
	index    int
	run      int
	workerID model.WorkerID
	// incarnation is that of the worker when it was assigned; 0 if it is not known.
	incarnation int64
	phase       memberPhase
	// startTries counts the start orders sent; startInFlight is true while one is in
	// flight, and startDue while one is to be sent.
	startTries    int
	startInFlight bool
	startDue      bool
	// expiresMS is the latest expiry of a start order, on the worker's clock; it is
	// neverExpires once the worker has restarted.
	expiresMS int64
	// startSentAt is when the latest start order was sent.
	startSentAt time.Time
	// confirmedAt is when the worker was first known to run the task.
	confirmedAt time.Time
	// stopping is true once the run has to be stopped; stopSentAt is when the latest stop
	// order was sent, stopConfirmedAt when the worker first confirmed one.
	stopping        bool
	stopInFlight    bool
	stopSentAt      time.Time
	stopConfirmedAt time.Time
	progress        progressTracker
	// load is the latest RunningTask.Load. share is the percentage of full speed at which a
	// filler runs, requestedShare the one in the pace order in flight.
	load           int
	share          int
	requestedShare int
	paceInFlight   bool
	// steady is true once a long-running task has run for steadyRunTime.
	steady bool
	// cause is how the run ended.
	cause EndCause
}

// evidence is what is known of the run. After a restart of its worker, a confirmation before it
// no longer counts: see handleRestart.
func (m *member) evidence() evidence.Run {
	run := evidence.Run{
		Recorded: m.phase == memberUnverified, StartsSent: m.startTries, StartPending: m.startInFlight || m.startDue,
		StartSentAt: m.startSentAt, StartExpiresMS: m.expiresMS, StopConfirmedAt: m.stopConfirmedAt,
	}
	if m.phase == memberRunning {
		run.ConfirmedAt = m.confirmedAt
	}
	return run
}

func (m *member) key() RunKey { return RunKey{Task: m.group.task(m.index).ID(), Run: m.run} }

// exists reports whether the run exists or may come to exist.
func (m *member) exists() bool { return m.phase == memberStarting || m.phase == memberRunning }

func (m *member) demand() model.Resources { return m.group.step.spec.Demand() }
