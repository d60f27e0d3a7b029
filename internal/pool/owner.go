package pool

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
	"github.com/chervilrun/chervilrun/internal/scheduler/quarantine"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// quarantineFailures is the number of failures in a row, of two jobs or more, after
// which a worker gets nothing for a while.
const quarantineFailures = 2

// Owner drives the jobs of a pool. It is not safe for use by several goroutines, does
// no I/O and reads no clock.
type Owner struct {
	fence  uint64
	timing Timing
	events *event.Recorder
	policy Policy
	began  time.Time
	now    time.Time

	jobs    table[model.JobID, *job]
	active  table[model.JobID, *job]
	workers table[model.WorkerID, *worker]
	pieces  map[plan.PieceID]*piece
	index   index
	claimed []*piece
	// suspects are pieces of which a new owner has not yet heard everything.
	suspects []*piece

	peaks      map[peakKey]peak
	reclaims   map[reclaimKey]ReclaimReport
	upkeep     upkeep
	quarantine *quarantine.List
	deposed    bool
	// dirty is true when something changed that a plan depends on.
	dirty     bool
	planned   time.Time
	recording bool
	// recordSent is when the latest transaction left.
	recordSent time.Time
	retryAt    time.Time
	// unanswered counts the transactions without an answer since the last one with one.
	unanswered int
	// changed lists the jobs that may have changes to record.
	changed []*job
	// removalsChecked is when jobs to remove were last looked for.
	removalsChecked time.Time
	// calls are orders that leave with the next step.
	calls []Call
	// claiming counts the claims under way.
	claiming     int
	claimsChosen time.Time
	// advising counts the questions to the adviser under way.
	advising int
	// due is the earliest time at which Step has something to do.
	due time.Time
}

// NewOwner returns the owner with a fence, which is the revision of the owner's key.
func NewOwner(fence uint64, timing Timing, events *event.Recorder, now time.Time) *Owner {
	return &Owner{
		fence:    fence,
		timing:   timing,
		events:   events,
		began:    now,
		now:      now,
		jobs:     newTable[model.JobID, *job](),
		active:   newTable[model.JobID, *job](),
		workers:  newTable[model.WorkerID, *worker](),
		pieces:   map[plan.PieceID]*piece{},
		index:    newIndex(),
		peaks:    map[peakKey]peak{},
		reclaims: map[reclaimKey]ReclaimReport{},
		quarantine: quarantine.NewList(quarantine.Rule{
			Failures: quarantineFailures,
			Base:     timing.QuarantineBase,
			Max:      timing.QuarantineMax,
		}),
	}
}

// Deposed reports whether a worker or the store has shown a later owner.
func (o *Owner) Deposed() bool { return o.deposed }

// SetPolicy replaces what the configuration says.
func (o *Owner) SetPolicy(policy Policy, now time.Time) {
	o.now = now
	o.policy = policy
	o.dirty = true
}

// SetWorkers replaces the list of workers.
func (o *Owner) SetWorkers(list []WorkerInfo, now time.Time) {
	o.now = now
	o.dirty = true
	present := make(map[model.WorkerID]bool, len(list))
	for _, info := range list {
		present[info.ID] = true
		o.setWorker(info)
	}
	for id, w := range o.workers.all() {
		if !present[id] {
			o.unlist(w)
		}
	}
}

func (o *Owner) setWorker(info WorkerInfo) {
	w, known := o.workers.get(info.ID)
	if !known {
		o.workers.set(info.ID, newWorker(info, o.now))
		return
	}
	// The list may be behind what the worker itself has said.
	if w.born != 0 && info.Born > w.born {
		o.reborn(w, info.Born)
	}
	if info.Draining && !w.info.Draining {
		o.record(event.WorkerDraining, event.Subject{Worker: string(info.ID)}, event.Fields{"leaves_ms": info.Leaves.Milliseconds(), "runs": w.members.len()})
	}
	w.info, w.listed = info, true
	if info.Draining && w.leavesAt.IsZero() {
		w.leavesAt = o.now.Add(info.Leaves)
		o.moveFromLeaving(w)
	}
	if !info.Draining {
		w.leavesAt = time.Time{}
	}
}

// unlist handles a worker whose entry is gone. One that was draining has left, and
// nothing runs there any more; another may only have been silent.
func (o *Owner) unlist(w *worker) {
	if w.listed {
		o.record(event.WorkerUnlisted, event.Subject{Worker: string(w.info.ID)}, event.Fields{"runs": w.members.len(), "draining": w.info.Draining})
	}
	w.listed = false
	if w.info.Draining {
		o.dropRuns(w, "worker_left")
	}
	if w.members.len() == 0 && !w.holding {
		o.workers.remove(w.info.ID)
	}
}

// reborn handles a worker that lost its memory. Orders that were under way may have
// reached the new life, so that nothing is given up until it has listed what it runs.
func (o *Owner) reborn(w *worker, born int64) {
	o.record(event.WorkerReborn, event.Subject{Worker: string(w.info.ID)}, event.Fields{"born": born, "before": w.born, "runs": w.members.len()})
	w.born = born
	w.claimed = false
	w.seen, w.taken, w.ends = 0, 0, nil
	w.clockMS, w.clockAt = 0, time.Time{}
	w.leaseUntil = o.now.Add(o.timing.TakeoverWait)
	w.nextHold = o.now
	w.orphans.clear()
	w.ordersDue = true
	for _, m := range w.members.all() {
		m.stopConfirmed = time.Time{}
		if m.tries > 1 {
			// An earlier try may still be under way, also to a run that was confirmed.
			m.phase = memberSent
		}
		m.expiresMS = neverExpires
	}
}

// dropRuns notes that nothing runs on a worker any more.
func (o *Owner) dropRuns(w *worker, why string) {
	w.orphans.clear()
	for _, m := range w.members.all() {
		o.memberEnded(m, EndLapsed, "", why)
	}
	for _, p := range o.recovering() {
		for _, m := range p.members {
			if m.phase == memberSuspected && m.on == w.info.ID {
				o.vanish(m)
			}
		}
		o.settleRecovery(p)
	}
}

// AddJob adds an accepted job with what was recorded of it, if anything.
func (o *Owner) AddJob(record *workflow.Record, progress *workflow.Progress, revision store.Revision, now time.Time) {
	o.now = now
	if o.jobs.has(record.ID) {
		return
	}
	j := newJob(record)
	j.revision = revision
	o.jobs.set(record.ID, j)
	if progress != nil {
		o.restore(j, progress)
	}
	if j.state.Final() {
		return
	}
	o.active.set(record.ID, j)
	for number := range j.rounds() {
		if o.hasOpenPieces(j, number, progress) {
			o.openRound(j, number)
		}
	}
	o.openDue(j)
	o.dirty = true
}

// restore takes over the recorded progress of a job.
func (o *Owner) restore(j *job, progress *workflow.Progress) {
	j.state, j.ended = progress.State, progress.Ended
	for _, number := range progress.Closed {
		j.closed[number] = true
	}
	for key, stored := range progress.Pieces {
		j.stored[key] = stored
	}
}

// hasOpenPieces reports whether an occurrence had pieces when it was recorded.
func (o *Owner) hasOpenPieces(j *job, number int, progress *workflow.Progress) bool {
	if progress == nil || len(progress.Pieces) == 0 || j.closed[number] {
		return false
	}
	for key := range progress.Pieces {
		if pieceRound(key) == number {
			return true
		}
	}
	return false
}

// openDue opens the occurrences whose time has come.
func (o *Owner) openDue(j *job) {
	for j.next < j.rounds() {
		due := j.record.Spec.Due(j.next)
		if !due.IsZero() && o.now.Before(due) {
			o.wakeAt(o.now.Add(due.Sub(o.now)))
			return
		}
		if !j.occurrences.has(j.next) && !j.closed[j.next] {
			o.openRound(j, j.next)
		}
		j.next++
	}
}

func (o *Owner) openRound(j *job, number int) {
	round := j.open(number)
	for _, s := range round.steps {
		for _, p := range s.pieces {
			o.enter(p)
			if p.state() == pieceRecovering {
				o.suspects = append(o.suspects, p)
			}
		}
	}
	round.openSteps(o.now)
	o.closeIfDone(j, round)
	o.dirty = true
}

// CancelJob notes that a cancellation of the job is durable.
func (o *Owner) CancelJob(id model.JobID, now time.Time) {
	o.now = now
	j, known := o.jobs.get(id)
	if !known || j.over() {
		return
	}
	j.cancelled = true
	o.record(event.JobCancelled, event.Subject{Job: string(id)}, event.Fields{"began": j.began})
	o.stopJob(j)
	o.finishJob(j, workflow.Cancelled)
}

// stopJob stops every run of a job.
func (o *Owner) stopJob(j *job) {
	j.each(func(p *piece) { o.stopPiece(p, "job_over") })
	o.dirty = true
}

// finishJob notes the end of a job; its runs may still have to end.
func (o *Owner) finishJob(j *job, state workflow.State) {
	j.state, j.ended = state, o.now
	o.touch(j)
}

// retire drops what a finished job does not need any more.
func (o *Owner) retire(j *job) {
	busy := false
	j.each(func(p *piece) { busy = busy || p.placing() })
	if busy || !j.durable() {
		return
	}
	j.each(o.leave)
	j.occurrences.clear()
	j.stored = nil
	o.active.remove(j.id())
}

func (o *Owner) wakeAt(t time.Time) {
	if o.due.IsZero() || t.Before(o.due) {
		o.due = t
	}
}

func (o *Owner) record(number event.Number, subject event.Subject, fields event.Fields) {
	if o.events == nil {
		return
	}
	fields["fence"] = o.fence
	o.events.Note(number, subject, fields)
}
