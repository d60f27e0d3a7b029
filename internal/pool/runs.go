package pool

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// claim promises room to a piece and stops what has to leave for it.
func (o *Owner) claim(placement plan.Placement) {
	p := o.pieces[placement.Piece]
	o.fire(p, "claim")
	p.run++
	p.placed, p.running = o.now, time.Time{}
	p.members = nil
	for index, id := range placement.Workers {
		p.members = append(p.members, &member{piece: p, index: index, run: p.run, on: id, share: fullShare})
		w := o.workers.at(id)
		w.promised = w.promised.Add(p.step.spec.Demand())
	}
	p.recordAt = o.touch(p.job)
	o.claimed = append(o.claimed, p)
	for _, id := range placement.Evict {
		victim := o.pieces[id]
		o.noteReclaim(p, victim)
		o.record(event.JobPreempted, event.Subject{Job: string(victim.job.id())}, event.Fields{
			"piece": victim.key, "run": victim.run, "for": string(p.id),
			"organisation": string(p.job.record.Organisation),
		})
		o.stopPiece(victim, "guarantee")
	}
}

// dropPromise gives the promised room of a piece back.
func (o *Owner) dropPromise(p *piece) {
	for _, m := range p.members {
		if w, ok := o.workers.get(m.on); ok && m.phase == memberPromised {
			w.promised = w.promised.Sub(m.demand())
		}
	}
}

// unclaim gives a promise up before any order was sent. The run's number stays used.
func (o *Owner) unclaim(p *piece) {
	o.dropPromise(p)
	o.fire(p, "unclaim")
	p.members = nil
	o.touch(p.job)
	o.dirty = true
}

// advanceClaims sends the orders of the claimed pieces whose room has come free.
func (o *Owner) advanceClaims(gate Gate) {
	waiting := o.claimed[:0:0]
	for _, p := range o.claimed {
		switch {
		case p.state() != pieceClaimed:
		case p.job.over() || !o.claimHolds(p):
			o.unclaim(p)
		case o.now.Sub(p.placed) > o.timing.ClaimPatience:
			o.unclaim(p)
		case gate.MayStart && p.job.recorded >= p.recordAt && o.hasRoom(p):
			o.sendStarts(p)
		default:
			waiting = append(waiting, p)
		}
	}
	o.claimed = waiting
	if len(waiting) > 0 {
		o.wakeAt(o.now.Add(o.timing.PlanInterval))
	}
}

func (o *Owner) claimHolds(p *piece) bool {
	for _, m := range p.members {
		w, ok := o.workers.get(m.on)
		if !ok || !w.usable(&o.policy) {
			return false
		}
	}
	return true
}

// hasRoom reports whether the room of every member is free.
func (o *Owner) hasRoom(p *piece) bool {
	need := map[model.WorkerID]model.Resources{}
	for _, m := range p.members {
		need[m.on] = need[m.on].Add(m.demand())
	}
	for id, room := range need {
		if !room.Fits(o.workers.at(id).free()) {
			return false
		}
	}
	return true
}

func (o *Owner) sendStarts(p *piece) {
	o.dropPromise(p)
	o.fire(p, "send")
	if !p.job.began {
		p.job.began = true
		if p.job.state == workflow.Queued {
			p.job.state = workflow.Running
		}
	}
	for _, m := range p.members {
		w := o.workers.at(m.on)
		m.phase = memberSent
		m.startDue = true
		w.admit(m)
	}
	o.record(event.JobStarting, event.Subject{Job: string(p.job.id())}, event.Fields{
		"piece": p.key, "run": p.run, "workers": workerNames(p.members), "resumes": p.checkpoint != "",
		"waited_ms": o.now.Sub(p.ready).Milliseconds(),
	})
}

func workerNames(members []*member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, string(m.on))
	}
	return names
}

// allStarted notes that every part of a run works.
func (o *Owner) allStarted(p *piece) {
	for _, m := range p.members {
		if m.phase != memberRunning {
			return
		}
	}
	o.fire(p, "all_started")
	p.running = o.now
}

// stopPiece ends the run of a piece, if it has one.
func (o *Owner) stopPiece(p *piece, why string) {
	switch p.state() {
	case pieceClaimed:
		o.unclaim(p)
		return
	case pieceStarting, pieceRunning:
		o.fire(p, "stop")
		o.record(event.JobStopping, event.Subject{Job: string(p.job.id())}, event.Fields{"piece": p.key, "run": p.run, "why": why})
	case pieceStopping, pieceRecovering:
	default:
		return
	}
	for _, m := range p.members {
		if m.exists() {
			m.stopping = true
			o.orderDue(m)
		}
	}
	o.settle(p)
}

// memberEnded notes that a part of a run does not exist any more.
func (o *Owner) memberEnded(m *member, cause EndCause, checkpoint, why string) {
	if m.phase == memberGone {
		return
	}
	if w, ok := o.workers.get(m.on); ok {
		w.release(m)
	}
	o.vanish(m)
	m.cause = cause
	o.dirty = true
	p := m.piece
	if m.run != p.run || p.finished() {
		return
	}
	if checkpoint != "" {
		p.checkpoint = checkpoint
	}
	o.record(event.TaskEnded, event.Subject{Job: string(p.job.id()), Worker: string(m.on)}, event.Fields{
		"task": string(m.key().Task), "run": m.run, "cause": string(cause), "why": why, "saved": checkpoint != "",
	})
	if cause == EndDone {
		o.finishPiece(p)
		return
	}
	if cause == EndFailed {
		o.countFailure(p, m)
	}
	o.touch(p.job)
	o.stopPiece(p, "part_"+string(cause))
}

// vanish notes that a part of a run does not exist.
func (o *Owner) vanish(m *member) {
	m.phase = memberGone
	o.forgetRun(m.piece)
}

// countFailure counts a failed run once, however many of its parts failed.
func (o *Owner) countFailure(p *piece, m *member) {
	if p.failedRun == p.run {
		return
	}
	p.failedRun = p.run
	p.failures++
	if !p.step.spec.LongRunning && p.failures >= p.job.queue.MaxAttempts && !p.job.over() {
		o.failJob(p.job, p)
	}
	o.blame(p, m.on)
}

// blame counts a failure against a worker and keeps the piece away from it.
func (o *Owner) blame(p *piece, id model.WorkerID) {
	if p.avoid == nil {
		p.avoid = map[model.WorkerID]bool{}
	}
	p.avoid[id] = true
	if o.quarantine.Failed(id, p.job.id(), o.now) {
		o.record(event.WorkerQuarantined, event.Subject{Worker: string(id), Job: string(p.job.id())}, event.Fields{"piece": p.key})
	}
}

func (o *Owner) failJob(j *job, p *piece) {
	o.record(event.JobFailed, event.Subject{Job: string(j.id())}, event.Fields{"piece": p.key, "failures": p.failures, "attempts": j.queue.MaxAttempts})
	o.finishJob(j, workflow.Failed)
	o.stopJob(j)
}

// settle requeues a piece once no part of its run exists.
func (o *Owner) settle(p *piece) {
	if p.state() == pieceRecovering {
		o.settleRecovery(p)
		return
	}
	if p.state() != pieceStopping {
		return
	}
	for _, m := range p.members {
		if m.phase != memberGone {
			return
		}
	}
	o.fire(p, "requeue")
	p.members = nil
	p.ready = o.now
	o.touch(p.job)
	o.dirty = true
	if !p.job.over() {
		o.record(event.JobRequeued, event.Subject{Job: string(p.job.id())}, event.Fields{"piece": p.key, "run": p.run, "failures": p.failures, "resumes": p.checkpoint != ""})
	}
}

// finishPiece notes that a piece is done. A long-running one is started again.
func (o *Owner) finishPiece(p *piece) {
	if p.step.spec.LongRunning {
		o.touch(p.job)
		o.stopPiece(p, "long_running_ended")
		return
	}
	if p.state() == pieceClaimed {
		o.dropPromise(p)
	}
	o.fire(p, "finish")
	o.touch(p.job)
	o.dirty = true
	for _, m := range p.members {
		if m.phase == memberRunning {
			o.workerOf(m).nextHold = o.now
		}
	}
	if p.job.over() {
		return
	}
	p.step.left--
	if p.step.left > 0 {
		return
	}
	p.round.left--
	p.round.openSteps(o.now)
	o.closeIfDone(p.job, p.round)
}

// closeIfDone closes an occurrence all of whose steps are done, and with the last one
// the job.
func (o *Owner) closeIfDone(j *job, round *occurrence) {
	if round.left > 0 {
		return
	}
	for _, s := range round.steps {
		for _, p := range s.pieces {
			o.leave(p)
		}
	}
	j.close(round)
	o.touch(j)
	if len(j.closed) == j.rounds() && !j.over() {
		o.finishJob(j, workflow.Completed)
		fields := event.Fields{"took_ms": o.now.Sub(j.record.Accepted).Milliseconds()}
		if objective := j.objective(round); !objective.IsZero() {
			fields["objective_ms"] = objective.Sub(j.record.Accepted).Milliseconds()
		}
		o.record(event.JobDone, event.Subject{Job: string(j.id())}, fields)
	}
}

func (o *Owner) workerOf(m *member) *worker { return o.workers.at(m.on) }

// orderDue notes that an order for a task may have to leave.
func (o *Owner) orderDue(m *member) {
	if w, ok := o.workers.get(m.on); ok {
		w.ordersDue = true
	}
}

// recovering lists the pieces of which a new owner has not yet heard everything.
func (o *Owner) recovering() []*piece {
	o.suspects = slices.DeleteFunc(o.suspects, func(p *piece) bool { return p.state() != pieceRecovering })
	return slices.Clone(o.suspects)
}

// settleRecovery judges a recorded run once every worker of it has been heard or its
// lease has lapsed: whole runs go on, the remains of others are stopped.
func (o *Owner) settleRecovery(p *piece) {
	running := 0
	for _, m := range p.members {
		switch m.phase {
		case memberSuspected:
			return
		case memberRunning:
			running++
		}
	}
	if p.state() != pieceRecovering {
		return
	}
	if running == len(p.members) && !p.job.over() {
		o.fire(p, "adopt")
		p.running, p.placed = o.now, o.now
		o.record(event.JobAdopted, event.Subject{Job: string(p.job.id())}, event.Fields{"piece": p.key, "run": p.run, "workers": workerNames(p.members)})
		o.dirty = true
		return
	}
	o.fire(p, "stop")
	for _, m := range p.members {
		m.stopping = m.exists()
		o.orderDue(m)
	}
	o.settle(p)
}
