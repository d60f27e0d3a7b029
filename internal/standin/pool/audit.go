package pool

import (
	"sort"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/worker"
)

// Run is one execution of a task on a worker.
type Run struct {
	Job       model.JobID              `json:"job"`
	Task      model.TaskID             `json:"task"`
	Attempt   model.AttemptID          `json:"attempt"`
	Worker    model.WorkerID           `json:"worker"`
	Zone      model.AvailabilityZoneID `json:"zone"`
	GangTasks int                      `json:"gang_tasks"`
	Once      bool                     `json:"once"`
	Start     time.Time                `json:"start"`
	// End is zero while the task runs.
	End   time.Time        `json:"end,omitzero"`
	State worker.TaskState `json:"state"`

	resources model.Resources
	// lease is the longest lease that the task was granted.
	lease time.Duration
}

func (p *Pool) recordStart(n *node, t *task, now time.Time) {
	t.run = &Run{
		Job: t.start.Job, Task: t.start.Task, Attempt: t.start.Attempt,
		Worker: n.info.ID, Zone: n.info.Zone, GangTasks: t.start.GangTasks,
		Once: t.payload.Once, Start: now, State: worker.TaskRunning,
		resources: t.start.Resources,
		lease:     milliseconds(t.start.LeaseMS),
	}
	p.history = append(p.history, t.run)
}

// History returns a copy of all runs so far, in the order of their starts.
func (p *Pool) History() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, id := range p.order {
		p.nodes[id].advance(now)
	}
	runs := make([]Run, len(p.history))
	for i, run := range p.history {
		runs[i] = *run
	}
	return runs
}

// Exchanges returns the number of exchanges sent to the workers.
func (p *Pool) Exchanges() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exchanges
}

// Audit is the result of checking the history of runs for violated invariants.
type Audit struct {
	// Starts counts task starts, Finished the tasks that finished.
	Starts   int `json:"starts"`
	Finished int `json:"finished"`
	// PartialGangs counts gangs of which only some tasks ran for longer than their longest
	// lease plus StopMargin. A gang that never ran completely only has the short lease.
	PartialGangs int `json:"partial_gangs"`
	// LongestPartialMS is the longest time that only some tasks of a gang ran, and
	// LongestPartialStartMS the same for gangs that only ever had the short lease.
	LongestPartialMS      int64 `json:"longest_partial_ms"`
	LongestPartialStartMS int64 `json:"longest_partial_start_ms"`
	// DoubleRuns counts pairs of attempts of one job that ran at the same time, and pairs
	// of attempts of jobs that must run only once.
	DoubleRuns int `json:"double_runs"`
	// RepeatedStarts counts starts of a task after the first in the same attempt.
	RepeatedStarts int `json:"repeated_starts"`
	// Oversubscribed counts starts that exceeded the capacity of their worker.
	Oversubscribed int `json:"oversubscribed"`
	// Offenders lists the attempts counted in PartialGangs, DoubleRuns and RepeatedStarts.
	Offenders []model.AttemptID `json:"offenders,omitempty"`
	// RunMS is the total run time of finished tasks, in milliseconds.
	RunMS int64 `json:"run_ms"`
}

// StopMargin is how long after its lease a part of a gang may still run, until the stop
// command arrives.
const StopMargin = 2 * time.Second

// Audit checks the history of runs so far.
func (p *Pool) Audit() Audit {
	runs := p.History()
	now := p.clock.Now()
	var a Audit
	attempts := map[model.AttemptID][]Run{}
	jobs := map[model.JobID][]model.AttemptID{}
	for _, run := range runs {
		a.Starts++
		if run.State == worker.TaskFinished {
			a.Finished++
			a.RunMS += run.End.Sub(run.Start).Milliseconds()
		}
		if len(attempts[run.Attempt]) == 0 {
			jobs[run.Job] = append(jobs[run.Job], run.Attempt)
		}
		attempts[run.Attempt] = append(attempts[run.Attempt], run)
	}
	for _, gang := range attempts {
		a.countGang(gang, now)
	}
	for _, ids := range jobs {
		a.countDoubleRuns(ids, attempts, now)
	}
	a.Oversubscribed = p.oversubscribed(runs, now)
	return a
}

func (a *Audit) countGang(gang []Run, now time.Time) {
	seen := map[model.TaskID]bool{}
	for _, run := range gang {
		if seen[run.Task] {
			a.RepeatedStarts++
			a.Offenders = append(a.Offenders, run.Attempt)
		}
		seen[run.Task] = true
	}
	longest := longestPartial(gang, now)
	a.LongestPartialMS = max(a.LongestPartialMS, longest.Milliseconds())
	lease := longestLease(gang)
	if lease <= worker.ShortLease {
		a.LongestPartialStartMS = max(a.LongestPartialStartMS, longest.Milliseconds())
	}
	if longest > lease+StopMargin {
		a.PartialGangs++
		a.Offenders = append(a.Offenders, gang[0].Attempt)
	}
}

func longestLease(gang []Run) time.Duration {
	var longest time.Duration
	for _, run := range gang {
		longest = max(longest, run.lease)
	}
	return longest
}

// longestPartial returns the longest time during which a task of the gang ran while another
// neither ran nor had finished.
func longestPartial(gang []Run, now time.Time) time.Duration {
	times := make([]time.Time, 0, 2*len(gang))
	for _, run := range gang {
		times = append(times, run.Start, run.endOrNow(now))
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	var longest, current time.Duration
	for i := 1; i < len(times); i++ {
		if isPartial(gang, times[i-1], now) {
			current += times[i].Sub(times[i-1])
			longest = max(longest, current)
			continue
		}
		if times[i].After(times[i-1]) {
			current = 0
		}
	}
	return longest
}

func isPartial(gang []Run, at, now time.Time) bool {
	running, finished := 0, 0
	for _, run := range gang {
		switch {
		case run.Start.After(at):
		case run.endOrNow(now).After(at):
			running++
		case run.State == worker.TaskFinished:
			finished++
		}
	}
	return running > 0 && running+finished < gang[0].GangTasks
}

func (r Run) endOrNow(now time.Time) time.Time {
	if r.End.IsZero() {
		return now
	}
	return r.End
}

func (a *Audit) countDoubleRuns(ids []model.AttemptID, attempts map[model.AttemptID][]Run, now time.Time) {
	for i, first := range ids {
		for _, second := range ids[i+1:] {
			if attempts[first][0].Once || overlap(attempts[first], attempts[second], now) {
				a.DoubleRuns++
				a.Offenders = append(a.Offenders, first, second)
			}
		}
	}
}

func overlap(first, second []Run, now time.Time) bool {
	for _, x := range first {
		for _, y := range second {
			if x.Start.Before(y.endOrNow(now)) && y.Start.Before(x.endOrNow(now)) {
				return true
			}
		}
	}
	return false
}

func (p *Pool) oversubscribed(runs []Run, now time.Time) int {
	byWorker := map[model.WorkerID][]Run{}
	for _, run := range runs {
		byWorker[run.Worker] = append(byWorker[run.Worker], run)
	}
	count := 0
	for _, info := range p.Workers() {
		count += overCapacity(byWorker[info.ID], info.Capacity, now)
	}
	return count
}

func overCapacity(runs []Run, capacity model.Resources, now time.Time) int {
	count := 0
	for i, run := range runs {
		used := run.resources
		for _, other := range runs[:i] {
			if other.endOrNow(now).After(run.Start) {
				used = used.Add(other.resources)
			}
		}
		if !used.Fits(capacity) {
			count++
		}
	}
	return count
}

// StartsAfter returns the number of task starts in a zone after a time.
func (p *Pool) StartsAfter(zone model.AvailabilityZoneID, after time.Time) int {
	count := 0
	for _, run := range p.History() {
		if run.Zone == zone && run.Start.After(after) {
			count++
		}
	}
	return count
}
