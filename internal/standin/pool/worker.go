// Package pool simulates the platform's workers for tests: many workers in one process,
// with task leases, delayed reports and fault injection. It keeps the history of all runs,
// which tests audit.
package pool

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/worker"
)

// Payload is the task payload that simulated workers understand.
type Payload struct {
	// RunMS is how long the task runs, in milliseconds.
	RunMS int64 `json:"run_ms"`
	// UseMemoryMB is the memory that the task uses; 0 means the declared amount.
	UseMemoryMB int64 `json:"use_memory_mb"`
	// IgnoreThrottle makes a throttled task continue to use UseMemoryMB.
	IgnoreThrottle bool `json:"ignore_throttle"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail"`
	// CrashMS makes the task crash its worker this long after its start, in milliseconds; 0
	// means that it does not.
	CrashMS int64 `json:"crash_ms"`
	// Once marks a job that must run only once, for the audit.
	Once bool `json:"once"`
}

// DefaultRunTime is the run time of a task whose payload does not specify one.
const DefaultRunTime = 200 * time.Millisecond

type taskKey struct {
	task    model.TaskID
	attempt model.AttemptID
}

type task struct {
	start          worker.Start
	payload        Payload
	state          worker.TaskState
	startedAt      time.Time
	resumedRunTime time.Duration // run time contained in the checkpoint it resumed from
	leaseUntil     time.Time
	throttled      bool
	checkpoint     string
	detail         string
	sequence       int64
	reportableAt   time.Time // when the latest change may be reported
	run            *Run
}

// node is one simulated worker. Callers of its methods hold the pool's lock.
type node struct {
	pool     *Pool
	info     model.Worker
	epoch    model.Epoch
	sequence int64
	// incarnation starts at 1 and increases with each restart.
	incarnation      int64
	tasks            map[taskKey]*task
	faults           Faults
	pendingExchanges []worker.Exchange // received while the worker was frozen
}

func newNode(p *Pool, info model.Worker) *node {
	return &node{pool: p, info: info, incarnation: 1, tasks: map[taskKey]*task{}}
}

// restart discards all state, like a power loss.
func (n *node) restart(now time.Time) {
	n.advance(now)
	n.loseState(now)
}

func (n *node) loseState(now time.Time) {
	for _, t := range n.sortedTasks() {
		if t.state == worker.TaskRunning {
			n.endTask(t, worker.TaskStopped, "worker restarted", now)
		}
	}
	n.tasks = map[taskKey]*task{}
	n.epoch = 0
	n.sequence = 0
	n.incarnation++
}

// unfreeze executes the exchanges received while the worker was frozen. Their callers no
// longer wait for the responses.
func (n *node) unfreeze(now time.Time) {
	exchanges := n.pendingExchanges
	n.pendingExchanges = nil
	for _, e := range exchanges {
		_, _ = n.exchange(e, now) // the response is dropped
	}
}

// advance ends the tasks that have finished or whose lease has expired by now.
func (n *node) advance(now time.Time) {
	for _, t := range n.sortedTasks() {
		if t.state != worker.TaskRunning {
			continue
		}
		if t.payload.CrashMS > 0 && !t.startedAt.Add(milliseconds(t.payload.CrashMS)).After(now) {
			n.pool.crashes[t.start.Job]++
			n.loseState(now)
			return
		}
		finishAt := t.startedAt.Add(t.runTime() - t.resumedRunTime)
		switch {
		case !finishAt.After(now) && !finishAt.After(t.leaseUntil):
			n.finishTask(t, finishAt)
		case !t.leaseUntil.After(now):
			n.endTask(t, worker.TaskStopped, "lease expired", t.leaseUntil)
		}
	}
}

func (n *node) finishTask(t *task, at time.Time) {
	if t.payload.Fail {
		n.endTask(t, worker.TaskFailed, "payload requests a failure", at)
		return
	}
	n.endTask(t, worker.TaskFinished, "", at)
}

func (t *task) runTime() time.Duration {
	if t.payload.RunMS == 0 {
		return DefaultRunTime
	}
	return time.Duration(t.payload.RunMS) * time.Millisecond
}

// sortedTasks returns the tasks in a fixed order, so that tests with a seed are reproducible.
func (n *node) sortedTasks() []*task {
	tasks := make([]*task, 0, len(n.tasks))
	for _, t := range n.tasks {
		tasks = append(tasks, t)
	}
	sort.Slice(tasks, func(i, j int) bool {
		a, b := tasks[i].start, tasks[j].start
		if a.Task != b.Task {
			return a.Task < b.Task
		}
		return a.Attempt < b.Attempt
	})
	return tasks
}

func (n *node) endTask(t *task, state worker.TaskState, detail string, at time.Time) {
	t.state = state
	t.detail = detail
	if t.run != nil {
		t.run.End = at
		t.run.State = state
	}
	n.markChanged(t, at)
}

func (n *node) markChanged(t *task, at time.Time) {
	n.sequence++
	t.sequence = n.sequence
	t.reportableAt = at.Add(n.pool.ReportLag)
}

func (n *node) startTask(s worker.Start, now time.Time) {
	key := taskKey{s.Task, s.Attempt}
	if n.tasks[key] != nil {
		return
	}
	t := &task{start: s, state: worker.TaskRunning, startedAt: now, leaseUntil: now.Add(milliseconds(s.LeaseMS))}
	_ = json.Unmarshal(s.Payload, &t.payload) // a task with any other payload runs for DefaultRunTime
	t.resumedRunTime = n.pool.checkpointRunTime(s.Checkpoint)
	t.checkpoint = s.Checkpoint
	n.tasks[key] = t
	n.pool.recordStart(n, t, now)
	if n.faults.FailStarts {
		n.endTask(t, worker.TaskFailed, "fault injection: every start fails", now)
		return
	}
	n.markChanged(t, now)
}

func (n *node) stopTask(s worker.Stop, now time.Time) {
	key := taskKey{s.Task, s.Attempt}
	t := n.tasks[key]
	if t == nil {
		// Recorded as stopped, so that a start command that arrives later has no effect.
		t = &task{start: worker.Start{Task: s.Task, Attempt: s.Attempt}}
		n.tasks[key] = t
		n.endTask(t, worker.TaskStopped, "never started on this worker", now)
		return
	}
	if t.state != worker.TaskRunning {
		n.markChanged(t, now)
		return
	}
	if s.Checkpoint != "" {
		n.pool.saveCheckpoint(t, s.Checkpoint, now)
	}
	n.endTask(t, worker.TaskStopped, "stopped", now)
}

func (n *node) saveCheckpoint(c worker.Checkpoint, now time.Time) {
	t := n.tasks[taskKey{c.Task, c.Attempt}]
	if t == nil || t.state != worker.TaskRunning || t.checkpoint == c.Name {
		return
	}
	n.pool.saveCheckpoint(t, c.Name, now)
	n.markChanged(t, now)
}

func (n *node) throttleTask(s worker.Throttle, now time.Time) {
	t := n.tasks[taskKey{s.Task, s.Attempt}]
	if t == nil || t.throttled {
		return
	}
	t.throttled = true
	n.markChanged(t, now)
}

func (n *node) extendLeases(e worker.Exchange, now time.Time) {
	keepShort := map[model.AttemptID]bool{}
	for _, attempt := range e.ShortLease {
		keepShort[attempt] = true
	}
	for _, t := range n.tasks {
		if t.state == worker.TaskRunning && !keepShort[t.start.Attempt] {
			t.run.lease = max(t.run.lease, milliseconds(e.LeaseMS))
			t.leaseUntil = later(t.leaseUntil, now.Add(milliseconds(e.LeaseMS)))
		}
	}
}

func (n *node) forgetAttempts(attempts []model.AttemptID) {
	forgotten := map[model.AttemptID]bool{}
	for _, attempt := range attempts {
		forgotten[attempt] = true
	}
	for key, t := range n.tasks {
		if forgotten[key.attempt] && t.state.Ended() {
			delete(n.tasks, key)
		}
	}
}

// collectReports returns the reports of the tasks that changed after e.Since, or of all
// tasks for a claim, and the last sequence number that they cover.
func (n *node) collectReports(e worker.Exchange, now time.Time) ([]worker.Report, int64) {
	var found []worker.Report
	covered := n.sequence
	for _, t := range n.sortedTasks() {
		if !e.Claim && t.sequence <= e.Since {
			continue
		}
		if !e.Claim && t.reportableAt.After(now) {
			covered = min(covered, t.sequence-1)
			continue
		}
		found = append(found, n.reportTask(t))
	}
	reports := found[:0]
	for _, r := range found {
		if e.Claim || r.Sequence <= covered {
			reports = append(reports, r)
		}
	}
	return reports, covered
}

func (n *node) reportTask(t *task) worker.Report {
	usage := t.start.Resources
	if t.payload.UseMemoryMB > 0 && (!t.throttled || t.payload.IgnoreThrottle) {
		usage.MemoryMB = t.payload.UseMemoryMB
	}
	return worker.Report{
		Sequence: t.sequence, Task: t.start.Task, Job: t.start.Job, Attempt: t.start.Attempt,
		State: t.state, Resources: t.start.Resources, GangTasks: t.start.GangTasks,
		NeverStarted: t.run == nil, Usage: usage,
		Checkpoint: t.checkpoint, Detail: t.detail,
	}
}

// exchange executes the commands of an owner in the order stops, starts, throttles,
// checkpoints, lease extension.
func (n *node) exchange(e worker.Exchange, now time.Time) (worker.Response, error) {
	n.advance(now)
	if e.Epoch < n.epoch {
		return worker.Response{}, fmt.Errorf("%w: %d", worker.ErrEpoch, n.epoch)
	}
	if e.NotAfterMS != 0 && now.UnixMilli() > e.NotAfterMS {
		return worker.Response{}, worker.ErrTooLate
	}
	if !e.Claim && e.Incarnation != n.incarnation {
		return n.response(nil, 0, now), nil
	}
	n.epoch = e.Epoch
	n.forgetAttempts(e.Forget)
	for _, s := range e.Stops {
		n.stopTask(s, now)
	}
	for _, s := range e.Starts {
		n.startTask(s, now)
	}
	for _, s := range e.Throttles {
		n.throttleTask(s, now)
	}
	for _, c := range e.Checkpoints {
		n.saveCheckpoint(c, now)
	}
	if e.ExtendAll {
		n.extendLeases(e, now)
	}
	reports, covered := n.collectReports(e, now)
	return n.response(reports, covered, now), nil
}

func (n *node) response(reports []worker.Report, covered int64, now time.Time) worker.Response {
	return worker.Response{
		Epoch: n.epoch, Sequence: covered, Reports: reports,
		ClockMS: now.UnixMilli(), Incarnation: n.incarnation,
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
