package zone

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/chervilrun/chervilrun/internal/chart"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/scheduler"
	"github.com/chervilrun/chervilrun/internal/worker"
)

var (
	gangChart = chart.Load("gang")
	taskChart = chart.Load("task")
)

// The states of the charts "gang" and "task".
const (
	gangStarting = "starting"
	gangRunning  = "running"
	gangStopping = "stopping"

	taskPending  = "pending"
	taskSent     = "sent"
	taskRunning  = "running"
	taskFinished = "finished"
	taskFailed   = "failed"
	taskStopped  = "stopped"
)

// gang is one attempt at running a job.
type gang struct {
	job     *jobState // nil for orphaned tasks, which belong to no job of the zone
	jobID   model.JobID
	attempt model.AttemptID
	machine *chart.Machine
	tasks   []*task
	// inEngine is true while the scheduling engine accounts for the gang's resources.
	inEngine        bool
	placedAt        time.Time
	isSent          bool // a start has been sent
	wasFullyStarted bool // every task has started
	crashCounted    bool // the crash of one of its workers has been counted
	// confirmBy is the deadline for sending the first start and, once that is sent, for
	// the confirmation of every task.
	confirmBy time.Time
	// intentVersion is the version of the job record that must be durable before a start
	// may be sent; 0 if the gang may start without it.
	intentVersion int64
	stop          stop
	faultyWorkers []model.WorkerID
	// round is the number of the current checkpoint round; the next begins at nextRoundAt.
	round       int
	nextRoundAt time.Time
	isRoundOpen bool
}

// stopCause is why a gang is stopped.
type stopCause int

const (
	stopNotStarted stopCause = iota
	stopWorkerLost
	stopTaskFailed
	stopPreempted
	stopCancelled
	stopPermanent // the job must not run again
)

type stop struct {
	cause      stopCause
	reason     outcome.Reason
	detail     string
	checkpoint bool
}

// task is one task of a gang.
type task struct {
	gang    *gang
	index   int
	id      model.TaskID
	worker  *workerState // nil if the worker that may run the task is unknown
	machine *chart.Machine
	// isDelivered is true once the exchange with the start got a response.
	// mayHaveStarted is true once the start may have taken effect.
	isDelivered, mayHaveStarted bool
	stopSentAt                  time.Time
	// endpoint is where the start was sent, or where the task was discovered.
	endpoint string
	// isDetached is true once another process answers for the worker at another endpoint. The task
	// can't be stopped any more, and only the end of its lease shows that it does not run.
	isDetached bool
	// leaseExpiresBy is the latest time at which the task's lease can expire.
	leaseExpiresBy time.Time
	checkpoint     string
	hasRun         bool // ran on its worker, or may have run there
	usage          model.Resources
	hasNewUsage    bool // usage has not been passed to the scheduling engine
}

func (g *gang) state() string    { return g.machine.State() }
func (g *gang) isStarting() bool { return g.state() == gangStarting }

func (t *task) state() string { return t.machine.State() }
func (t *task) ended() bool   { return t.machine.Final() }

// TaskIDOf returns the ID of the task with the given index.
func TaskIDOf(id model.JobID, index int) model.TaskID {
	return model.TaskID(string(id) + "/" + strconv.Itoa(index))
}

// indexOf returns the index in a task's ID.
func indexOf(id model.TaskID) (int, bool) {
	text := string(id)
	index, err := strconv.Atoi(text[strings.LastIndex(text, "/")+1:])
	return index, err == nil && index >= 0 && index < model.MaxGangTasks
}

// startGang begins an attempt to run a job on the workers that the scheduling engine chose.
func (r *Runner) startGang(j *jobState, placement model.Placement, now time.Time) {
	needsIntent := !j.record.Spec.Repeatable || r.IntentBeforeStart
	if needsIntent && !r.recorder.isStoreUp {
		r.park(j, now)
		return
	}
	r.attempts++
	g := &gang{
		job:       j,
		jobID:     j.id(),
		attempt:   model.AttemptID(fmt.Sprintf("%s.%s.%d.%d", j.id(), r.Zone, r.Epoch, r.attempts)),
		machine:   gangChart.New(),
		inEngine:  true,
		placedAt:  now,
		confirmBy: now.Add(r.Timing.IntentTimeout),
	}
	for index, id := range placement {
		t := &task{gang: g, index: index, id: TaskIDOf(j.id(), index), machine: taskChart.New(), worker: r.workers[id]}
		if index < len(j.record.Checkpoints) {
			t.checkpoint = j.record.Checkpoints[index]
		}
		g.tasks = append(g.tasks, t)
		t.worker.addTask(t, now)
	}
	j.gang = g
	r.gangs = append(r.gangs, g)
	j.record.Attempt = g.attempt
	j.record.Attempts++
	j.record.Placement, j.record.Incarnations = placement, r.incarnationsOf(placement)
	r.fire(j, "place", needsIntent, now)
	if needsIntent {
		g.intentVersion = j.version
	}
	r.recordEvent(event.JobStarting, j, fmt.Sprintf("attempt %s on %d tasks", g.attempt, len(g.tasks)))
}

// incarnationsOf returns the incarnations of the workers of a placement, by task.
func (r *Runner) incarnationsOf(placement model.Placement) []int64 {
	incarnations := make([]int64, len(placement))
	for i, id := range placement {
		incarnations[i] = r.workers[id].incarnation
	}
	return incarnations
}

// canSendStart reports whether the starts of g may be sent now. The attempt of a job that
// may not be repeated is recorded first, so that a later owner knows that it may have run.
func (g *gang) canSendStart() bool {
	return g.isStarting() && (g.intentVersion == 0 || g.job.storedVersion >= g.intentVersion)
}

// advanceGangs updates the state of every gang from the states of its tasks.
func (r *Runner) advanceGangs(now time.Time) {
	for _, g := range append([]*gang(nil), r.gangs...) {
		r.advanceGang(g, now)
	}
}

func (r *Runner) advanceGang(g *gang, now time.Time) {
	if g.state() == gangStopping {
		r.advanceStopping(g, now)
		return
	}
	count := g.count()
	switch {
	case count.failed > 0:
		r.stopGang(g, stop{cause: stopTaskFailed, reason: outcome.ReasonTaskFailed}, now)
	case count.stopped > 0:
		r.stopGang(g, stop{cause: stopWorkerLost, reason: outcome.ReasonWorkerLost}, now)
	case count.finished == len(g.tasks):
		r.gangFinished(g, now)
	case g.isStarting() && count.running+count.finished == len(g.tasks):
		r.gangConfirmed(g, now)
	case g.isStarting() && !now.Before(g.confirmBy):
		r.stopGang(g, stop{cause: stopNotStarted, detail: "not all tasks confirmed their start in time"}, now)
	case !g.isStarting():
		r.advanceCheckpointRound(g, now)
	}
}

// taskCount counts the tasks of a gang by state.
type taskCount struct{ running, finished, failed, stopped int }

func (g *gang) count() taskCount {
	var count taskCount
	for _, t := range g.tasks {
		switch t.state() {
		case taskRunning:
			count.running++
		case taskFinished:
			count.finished++
		case taskFailed:
			count.failed++
		case taskStopped:
			count.stopped++
		}
	}
	return count
}

// gangConfirmed is called once all tasks of a gang have started. It extends their leases at once.
func (r *Runner) gangConfirmed(g *gang, now time.Time) {
	g.machine.Fire("confirm")
	g.wasFullyStarted = true
	g.nextRoundAt = now.Add(r.Timing.CheckpointInterval)
	g.job.record.Started = now
	r.Engine.Started(g.job.id(), now)
	r.fire(g.job, "all_started", false, now)
	r.Metrics.StartDelay.Observe(now.Sub(g.placedAt).Seconds())
	r.recordEvent(event.JobRunning, g.job, fmt.Sprintf("attempt %s", g.attempt))
	for _, t := range g.tasks {
		t.worker.handoverLeaseGiven = false
		t.worker.exchangeNow(now)
	}
}

func (r *Runner) gangFinished(g *gang, now time.Time) {
	j := g.job
	g.machine.Fire("finish")
	r.discardGang(g, now)
	if g.inEngine {
		r.Engine.Finished(j.id(), now)
	}
	j.inEngine = false
	r.finishJob(j, "done", outcome.Ok(), now)
}

// discardGang removes an ended gang from the runner, its job and its workers.
func (r *Runner) discardGang(g *gang, now time.Time) {
	r.removeGang(g, now)
	if g.job != nil {
		g.job.gang = nil
	}
	for _, t := range g.tasks {
		if t.worker != nil {
			t.worker.removeTask(t)
		}
	}
}

// preempt stops a gang at the request of the scheduling engine.
func (r *Runner) preempt(a scheduler.StopGang, now time.Time) {
	j := r.jobs[a.Job]
	if j == nil || j.gang == nil {
		return
	}
	s := stop{cause: stopPreempted, reason: a.Reason, checkpoint: a.Checkpoint}
	if a.Beneficiary != "" {
		s.detail = "for job " + string(a.Beneficiary)
		r.recordEvent(event.GuaranteeReclaimed, j, s.detail)
	}
	if a.Reason == outcome.ReasonDeadline {
		s.cause = stopPermanent
	}
	r.recordEvent(event.JobPreempted, j, string(a.Reason)+" "+s.detail)
	r.stopGang(j.gang, s, now)
}

// stopGang begins to stop all tasks of a gang; advanceStopping completes it.
func (r *Runner) stopGang(g *gang, s stop, now time.Time) {
	if g.state() == gangStopping {
		if s.cause == stopCancelled || s.cause == stopPermanent {
			g.stop = s
		}
		return
	}
	g.stop = s
	g.faultyWorkers = g.findFaultyWorkers(s.cause)
	g.machine.Fire("stop")
	if s.checkpoint {
		g.beginCheckpointRound(now)
	}
	for _, t := range g.tasks {
		if t.worker != nil && !t.ended() {
			t.worker.exchangeNow(now)
		}
	}
	if s.cause == stopNotStarted || s.cause == stopWorkerLost || s.cause == stopTaskFailed {
		r.stats.Aborted++
		r.Metrics.GangsAborted.Inc()
	}
	if g.job == nil {
		return
	}
	r.fire(g.job, "stop", false, now)
	r.recordEvent(event.GangAborted, g.job, fmt.Sprintf("attempt %s: %s %s", g.attempt, s.reason, s.detail))
	r.advanceStopping(g, now)
}

// findFaultyWorkers returns the workers that caused a stop.
func (g *gang) findFaultyWorkers(cause stopCause) []model.WorkerID {
	var faulty []model.WorkerID
	for _, t := range g.tasks {
		isFaulty := t.state() == taskFailed && cause == stopTaskFailed ||
			t.state() == taskStopped && cause == stopWorkerLost ||
			t.state() == taskSent && t.mayHaveStarted && cause == stopNotStarted
		if isFaulty && t.worker != nil {
			faulty = append(faulty, t.worker.info.ID)
		}
	}
	return faulty
}

// advanceStopping ends a gang once all its tasks are confirmed to have ended.
func (r *Runner) advanceStopping(g *gang, now time.Time) {
	remaining, finished := 0, 0
	for _, t := range g.tasks {
		if !t.ended() && r.isConfirmedStopped(t, now) {
			t.hasRun = t.hasRun || t.mayHaveStarted
			t.machine.Fire("stop")
		}
		switch {
		case !t.ended():
			remaining++
		case t.state() == taskFinished:
			finished++
		}
	}
	if remaining > 0 {
		return
	}
	if finished == len(g.tasks) && g.job != nil {
		r.gangFinished(g, now)
		return
	}
	g.machine.Fire("prove_stopped")
	r.discardGang(g, now)
	if g.job != nil {
		r.gangStopped(g, now)
	}
}

// isConfirmedStopped reports whether a task that has not been reported as ended can no
// longer run: its start was never sent, or its lease has expired. A task on an unknown
// worker counts as stopped once the pool is reconciled.
func (r *Runner) isConfirmedStopped(t *task, now time.Time) bool {
	switch {
	case t.worker == nil:
		return r.isPoolReconciled(now)
	case t.isDetached:
		return !now.Before(t.leaseExpiresBy.Add(r.Timing.LeaseMargin))
	case !t.mayHaveStarted:
		return !t.worker.isStartInFlight(t)
	}
	return t.worker.isUnresponsive && !now.Before(t.leaseExpiresBy.Add(r.Timing.LeaseMargin))
}

// applyReport updates the task from a worker's report.
func (t *task) applyReport(report worker.Report) {
	t.mayHaveStarted = true
	t.isDelivered = true
	t.usage = report.Usage
	if report.Checkpoint != "" {
		t.checkpoint = report.Checkpoint
	}
	if t.ended() {
		return
	}
	switch report.State {
	case worker.TaskRunning:
		t.hasRun = true
		t.machine.Fire("run")
	case worker.TaskFinished:
		t.hasRun = true
		t.machine.Fire("finish")
	case worker.TaskFailed:
		t.hasRun = true
		t.machine.Fire("fail")
	case worker.TaskStopped:
		t.hasRun = t.hasRun || !report.NeverStarted
		t.machine.Fire("stop")
	}
}
