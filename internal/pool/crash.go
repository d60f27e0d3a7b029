package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool/evidence"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// crashEvidence is what shows that a worker has crashed, and was not only silent.
type crashEvidence string

const (
	// crashRestarted: the worker answers as a later incarnation.
	crashRestarted crashEvidence = "restarted"
	// crashReplaced: another worker answers, or is listed, at the worker's address.
	crashReplaced crashEvidence = "replaced"
	// crashUnlisted: the worker was silent beyond its lease and is no longer listed, although
	// it was not draining. If it comes back as the same incarnation, the crash is taken back.
	crashUnlisted crashEvidence = "unlisted"
)

// lostRun is a run that was lost with its worker. If the run was given up when the worker's lease
// had expired, it is known only later, if ever, whether the worker has crashed.
type lostRun struct {
	group *taskGroup
	run   int
	// member is the index of the task within the gang.
	member int
	// ranFor is how long the run was on the worker, at most.
	ranFor time.Duration
	// alone is true if nothing else ran on the worker.
	alone bool
}

// unlistedWorker is a worker that counts as crashed because it was silent and is unlisted.
type unlistedWorker struct {
	incarnation int64
	runs        []lostRun
	at          time.Time
}

// unlistedWorkerRetention is how long a worker that counts as crashed may come back as the
// same incarnation and take the crash back.
const unlistedWorkerRetention = 5 * time.Minute

// A crash concerns all runs on the worker, most of them innocent. So that these are not given up
// with the one at fault, suspected task groups are kept apart, and then run alone.
const (
	// isolatedFromCrashes is the number of crashes from which on a task group runs on workers
	// that run nothing else.
	isolatedFromCrashes = 2
	// isolationWait is how long such a task group waits for workers that run nothing else. A
	// long-running one has to be back sooner.
	isolationWait            = 20 * time.Second
	longRunningIsolationWait = 6 * time.Second
	// isolationPeriod is how long its workers get no other tasks after it has started.
	isolationPeriod = 5 * time.Second
)

// maxLoggedRuns limits the runs named in one event.
const maxLoggedRuns = 16

// endsByOrder reports whether the worker ends because it was told to: by its operators or by
// an upkeep.
func (w *worker) endsByOrder() bool { return w.Draining || w.upkeepOrdered }

// workerCrashed handles the crash of a worker: it concerns the runs that are or may be on it
// and those that were given up when its lease expired.
func (o *Owner) workerCrashed(w *worker, evidence crashEvidence) {
	if w.endsByOrder() {
		w.lostRuns = nil
		return
	}
	var runs []lostRun
	for _, m := range w.members.all() {
		if m.startTries > 0 || m.phase == memberRunning {
			runs = append(runs, o.lostRunOf(w, m))
		}
	}
	for _, g := range o.stillRecovering() {
		for _, m := range g.members {
			if m.phase == memberUnverified && m.workerID == w.info.ID {
				runs = append(runs, o.lostUnverified(m))
			}
		}
	}
	runs = append(runs, w.lostRuns...)
	w.lostRuns = nil
	if !w.crashed {
		w.crashed = true
		o.recordCrash(runs)
	}
	if len(runs) == 0 {
		return
	}
	markAlone(runs)
	if evidence == crashUnlisted {
		o.unlistedWorkers[w.info.ID] = unlistedWorker{incarnation: w.Incarnation, runs: runs, at: o.now}
	}
	o.reportCrash(w.info.ID, evidence, runs)
}

// recordCrash records the crash of a worker with the runs that were on it.
func (o *Owner) recordCrash(runs []lostRun) {
	o.crashReport.Workers++
	o.crashRate.Add(o.now, idsOf(runs)...)
	o.crashRecord.version++
}

// markAlone marks the runs that were alone on their worker; members of a gang are one run.
func markAlone(runs []lostRun) {
	for i := range runs {
		runs[i].alone = !slices.ContainsFunc(runs, func(other lostRun) bool { return other.group != runs[i].group })
	}
}

// lostRunOf describes the run of a member that is lost with its worker.
func (o *Owner) lostRunOf(w *worker, m *member) lostRun {
	lastAlive := o.now
	if !w.SilentSince.IsZero() {
		lastAlive = w.SilentSince
	}
	since := m.confirmedAt
	switch {
	case m.startTries == 0:
		since = m.group.placedAt // an earlier owner has started the run
	case since.IsZero() || m.startSentAt.Before(since):
		since = m.startSentAt
	}
	return lostRun{group: m.group, run: m.run, member: m.index, ranFor: max(0, lastAlive.Sub(since))}
}

// lostUnverified describes the recorded run of an earlier owner that is lost with its worker.
func (o *Owner) lostUnverified(m *member) lostRun {
	lost := lostRun{group: m.group, run: m.run, member: m.index}
	if placedAt := m.group.placedAt; !placedAt.IsZero() {
		lost.ranFor = max(0, o.now.Sub(placedAt))
	}
	return lost
}

// reportCrash logs the crash of a worker and counts it for the runs that it concerns.
func (o *Owner) reportCrash(id model.WorkerID, evidence crashEvidence, runs []lostRun) {
	names := idsOf(runs[:min(len(runs), maxLoggedRuns)])
	o.emit(event.WorkerCrashed, event.Subject{Worker: string(id)}, event.Fields{"evidence": string(evidence), "runs": len(runs), "tasks": names})
	for _, lost := range runs {
		o.countCrash(lost, id)
	}
}

// idsOf returns the IDs of the task groups of runs.
func idsOf(runs []lostRun) []string {
	ids := make([]string, 0, len(runs))
	for _, lost := range runs {
		ids = append(ids, string(lost.group.id))
	}
	return ids
}

// workersToAvoid returns the workers that the task group uses only if nothing else fits: those on
// which it has failed, and those at an address where a worker has crashed under it.
func (o *Owner) workersToAvoid(g *taskGroup) map[model.WorkerID]bool {
	if !g.isSuspect() {
		return g.avoidedWorkers
	}
	avoided := map[model.WorkerID]bool{}
	maps.Copy(avoided, g.avoidedWorkers)
	for id, w := range o.workers.all() {
		if slices.ContainsFunc(g.crashes, func(crash workflow.CrashedRun) bool { return crash.Worker == w.info.Address }) {
			avoided[id] = true
		}
	}
	return avoided
}

// addressOf returns the address of a worker, which it keeps when it comes back under another
// ID; its ID if the address is not known.
func (o *Owner) addressOf(id model.WorkerID) string {
	if w, ok := o.workers.get(id); ok {
		return w.info.Address
	}
	return string(id)
}

// isolation returns how far a task group has to be kept apart from others.
func (o *Owner) isolation(g *taskGroup) plan.Isolation {
	switch {
	case !g.isSuspect():
		return plan.Shared
	case !g.mustRunAlone() || o.now.Sub(g.readySince) >= g.isolationWait():
		return plan.PreferEmptyWorkers
	}
	return plan.EmptyWorkersOnly
}

// isolationWait is how long the task group waits for workers that run nothing else.
func (g *taskGroup) isolationWait() time.Duration {
	if g.step.spec.LongRunning {
		return longRunningIsolationWait
	}
	return isolationWait
}

// isSuspect reports whether a worker has crashed under the task group.
func (g *taskGroup) isSuspect() bool { return len(g.crashes) > 0 }

// mustRunAlone reports whether so many workers have crashed under the task group that it runs
// on workers that run nothing else.
func (g *taskGroup) mustRunAlone() bool { return len(g.crashes) >= isolatedFromCrashes }

// forgetSuspects removes the task groups that are no longer suspected or have ended.
func (o *Owner) forgetSuspects() {
	for id, g := range o.suspects.all() {
		if !g.isSuspect() || g.finished() || o.taskGroups[id] != g {
			o.suspects.remove(id)
		}
	}
}

// isolatedWorkers returns the workers that get no other tasks, since a task group that has to
// run alone is there and has not run for isolationPeriod yet.
func (o *Owner) isolatedWorkers() map[model.WorkerID]bool {
	isolated := map[model.WorkerID]bool{}
	for _, g := range o.suspects.all() {
		if !g.mustRunAlone() || g.state() == taskGroupRunning && o.now.Sub(g.runningSince) >= isolationPeriod {
			continue
		}
		for _, m := range g.members {
			if m.phase != memberGone {
				isolated[m.workerID] = true
			}
		}
	}
	return isolated
}

// incarnationOf returns the incarnation of a worker as far as it is known; 0 if it is not.
func (o *Owner) incarnationOf(id model.WorkerID) int64 {
	if w, ok := o.workers.get(id); ok {
		return w.Incarnation
	}
	return 0
}

// unverifiedUnreachable handles the recorded run of an earlier owner on a worker that has not
// answered until every lease has expired. If the worker is not listed either, it counts as
// crashed until it comes back.
func (o *Owner) unverifiedUnreachable(m *member, proof evidence.Proof) {
	lost := o.lostUnverified(m)
	if w, ok := o.workers.get(m.workerID); ok && w.Listed {
		w.lostRuns = append(w.lostRuns, lost)
	} else if !o.isUpkeepOrdered(m.workerID) {
		u := o.unlistedWorkers[m.workerID]
		o.unlistedWorkers[m.workerID] = unlistedWorker{incarnation: m.incarnation, runs: append(u.runs, lost), at: o.now}
		o.reportCrash(m.workerID, crashUnlisted, []lostRun{lost})
	}
	o.recordedRunEnded(m, proof)
}

// handleNewWorker looks for what a worker that was not known says of earlier ones: it may
// have replaced one of the lost workers, or be one that was taken for crashed.
func (o *Owner) handleNewWorker(info WorkerInfo, lost map[string]*worker) {
	if u, ok := o.unlistedWorkers[info.ID]; ok && (info.Incarnation == 0 || info.Incarnation == u.incarnation) {
		delete(o.unlistedWorkers, info.ID)
		for _, run := range u.runs {
			o.retractCrash(run)
		}
		o.emit(event.CrashRetracted, event.Subject{Worker: string(info.ID)}, event.Fields{"runs": len(u.runs), "unlisted_ms": o.now.Sub(u.at).Milliseconds()})
	}
	for id, u := range o.unlistedWorkers {
		if o.now.Sub(u.at) > unlistedWorkerRetention {
			delete(o.unlistedWorkers, id)
		}
	}
	if w := lost[info.Address]; w != nil {
		o.workerCrashed(w, crashReplaced)
	}
}

// lostWorkers returns the workers with runs that were given up when their lease had expired, by
// address.
func (o *Owner) lostWorkers() map[string]*worker {
	lost := map[string]*worker{}
	for _, w := range o.workers.all() {
		if len(w.lostRuns) > 0 {
			lost[w.info.Address] = w
		}
	}
	return lost
}

// removeWorker forgets a worker that is not listed and on which nothing runs.
func (o *Owner) removeWorker(w *worker) {
	o.workerCrashed(w, crashUnlisted)
	o.workers.remove(w.info.ID)
}
