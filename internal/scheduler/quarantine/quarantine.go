// Package quarantine excludes workers on which tasks failed repeatedly from further
// starts. A worker is on probation after its quarantine: one more failure quarantines it
// again for twice as long. Failures of a job that fails on most workers that run it speak
// against the job, and not against the workers.
package quarantine

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Rule sets when and for how long workers are quarantined.
type Rule struct {
	// Failures is the number of consecutive failures after which a worker is quarantined.
	Failures int
	// Base is the duration of the first quarantine.
	Base time.Duration
	// Max is the maximum duration of a quarantine.
	Max time.Duration
}

// record holds the failures of one worker since its last success.
type record struct {
	failures    int
	jobs        map[model.JobID]bool
	until       time.Time
	length      time.Duration
	onProbation bool
}

// A job counts as at fault once it has failed on jobFailures workers or more, and on more than it
// has succeeded on.
const jobFailures = 3

// maxJobs limits the jobs whose outcomes are kept.
const maxJobs = 4096

// outcomes are the workers on which a job has failed and succeeded last.
type outcomes struct {
	failed    map[model.WorkerID]bool
	succeeded map[model.WorkerID]bool
}

func (o *outcomes) isAtFault() bool {
	return len(o.failed) >= jobFailures && len(o.failed) > len(o.succeeded)
}

// List records the failures of workers.
type List struct {
	rule    Rule
	records map[model.WorkerID]*record
	jobs    map[model.JobID]*outcomes
}

// NewList returns an empty list.
func NewList(rule Rule) *List {
	return &List{rule: rule, records: make(map[model.WorkerID]*record), jobs: make(map[model.JobID]*outcomes)}
}

func (l *List) outcomesOf(job model.JobID) *outcomes {
	o, ok := l.jobs[job]
	if !ok {
		if len(l.jobs) >= maxJobs {
			clear(l.jobs)
		}
		o = &outcomes{failed: map[model.WorkerID]bool{}, succeeded: map[model.WorkerID]bool{}}
		l.jobs[job] = o
	}
	return o
}

// RecordFailure records a failure of a job's task on a worker and reports whether the
// worker is now quarantined. Failures of a single job don't quarantine a worker that is
// not on probation, since the job itself may be at fault.
func (l *List) RecordFailure(worker model.WorkerID, job model.JobID, now time.Time) bool {
	o := l.outcomesOf(job)
	o.failed[worker] = true
	delete(o.succeeded, worker)
	if o.isAtFault() {
		return l.Quarantined(worker, now)
	}
	r, ok := l.records[worker]
	if !ok {
		r = &record{jobs: make(map[model.JobID]bool)}
		l.records[worker] = r
	}
	if now.Before(r.until) {
		return true
	}
	r.failures++
	r.jobs[job] = true
	if !r.onProbation && (r.failures < l.rule.Failures || len(r.jobs) < 2) {
		return false
	}
	r.length = min(max(2*r.length, l.rule.Base), l.rule.Max)
	r.until = now.Add(r.length)
	r.onProbation = true
	return true
}

// RecordSuccess clears the record of a worker on which a task of a job succeeded.
func (l *List) RecordSuccess(worker model.WorkerID, job model.JobID) {
	delete(l.records, worker)
	o := l.outcomesOf(job)
	o.succeeded[worker] = true
	delete(o.failed, worker)
}

// Quarantined reports whether a worker is quarantined at this time.
func (l *List) Quarantined(worker model.WorkerID, now time.Time) bool {
	r, ok := l.records[worker]
	return ok && now.Before(r.until)
}

// Active returns the workers that are quarantined at this time.
func (l *List) Active(now time.Time) []model.WorkerID {
	var found []model.WorkerID
	for id, r := range l.records {
		if now.Before(r.until) {
			found = append(found, id)
		}
	}
	return found
}

// NextEnd returns the earliest end of a quarantine after now; zero if there is none.
func (l *List) NextEnd(now time.Time) time.Time {
	var next time.Time
	for _, r := range l.records {
		if r.until.After(now) && (next.IsZero() || r.until.Before(next)) {
			next = r.until
		}
	}
	return next
}
