package pool

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
)

// crashEvidence is what shows that a worker has crashed, and was not only silent.
type crashEvidence string

const (
	// crashRestarted: the worker answers as a later incarnation.
	crashRestarted crashEvidence = "restarted"
	// crashReplaced: another worker answers, or is listed, at the worker's address.
	crashReplaced crashEvidence = "replaced"
	// crashUnlisted: the worker was silent beyond its lease and is no longer listed, although
	// it was not draining. It may still have been cut off only: see crashRetracted.
	crashUnlisted crashEvidence = "unlisted"
)

// lostRun is a run that was given up because the lease of its worker had expired. Whether
// the worker has crashed is known only later, if ever.
type lostRun struct {
	group *taskGroup
	run   int
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

// maxLoggedRuns limits the runs named in one event.
const maxLoggedRuns = 16

// endsByOrder reports whether the worker ends because it was told to: by its operators or by
// an upkeep.
func (w *worker) endsByOrder() bool { return w.info.Draining || w.upkeepOrdered }

// workerCrashed handles the crash of a worker: it concerns the runs that are or may be on it
// and those that were given up when its lease expired.
func (o *Owner) workerCrashed(w *worker, evidence crashEvidence) {
	var runs []lostRun
	for _, m := range w.members.all() {
		if m.startTries > 0 || m.phase == memberRunning {
			runs = append(runs, lostRun{m.group, m.run})
		}
	}
	for _, g := range o.stillRecovering() {
		for _, m := range g.members {
			if m.phase == memberUnverified && m.workerID == w.info.ID {
				runs = append(runs, lostRun{g, m.run})
			}
		}
	}
	runs = append(runs, w.lostRuns...)
	w.lostRuns = nil
	if w.endsByOrder() || len(runs) == 0 {
		return
	}
	if evidence == crashUnlisted {
		o.unlistedWorkers[w.info.ID] = unlistedWorker{incarnation: w.incarnation, runs: runs, at: o.now}
	}
	o.reportCrash(w.info.ID, evidence, runs)
}

// reportCrash logs the crash of a worker with the runs that it concerns.
func (o *Owner) reportCrash(id model.WorkerID, evidence crashEvidence, runs []lostRun) {
	names := make([]string, 0, min(len(runs), maxLoggedRuns))
	for _, lost := range runs[:min(len(runs), maxLoggedRuns)] {
		names = append(names, string(lost.group.id))
	}
	o.emit(event.WorkerCrashed, event.Subject{Worker: string(id)}, event.Fields{"evidence": string(evidence), "runs": len(runs), "tasks": names})
}

// handleNewWorker looks for what a worker that was not known says of earlier ones: it may
// have replaced one that was lost, or be one that was taken for crashed.
func (o *Owner) handleNewWorker(info WorkerInfo) {
	if u, ok := o.unlistedWorkers[info.ID]; ok && (info.Incarnation == 0 || info.Incarnation == u.incarnation) {
		delete(o.unlistedWorkers, info.ID)
		o.emit(event.CrashRetracted, event.Subject{Worker: string(info.ID)}, event.Fields{"runs": len(u.runs), "unlisted_ms": o.now.Sub(u.at).Milliseconds()})
	}
	for id, u := range o.unlistedWorkers {
		if o.now.Sub(u.at) > unlistedWorkerRetention {
			delete(o.unlistedWorkers, id)
		}
	}
	for _, w := range o.workers.all() {
		if w.info.Address == info.Address && len(w.lostRuns) > 0 {
			o.workerCrashed(w, crashReplaced)
		}
	}
}

// removeWorker forgets a worker that is not listed and on which nothing runs.
func (o *Owner) removeWorker(w *worker) {
	o.workerCrashed(w, crashUnlisted)
	o.workers.remove(w.info.ID)
}
