package pool

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/pool/evidence"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// reconcileRuns compares the runs that a worker lists with the expected ones.
func (o *Owner) reconcileRuns(w *worker, sentAt time.Time, inventory Inventory) {
	listed := make(map[RunKey]bool, len(inventory.Running))
	for _, running := range inventory.Running {
		listed[running.RunKey] = true
		o.reconcileRun(w, running)
	}
	for key, orphan := range w.orphans.all() {
		if !listed[key] && !orphan.stopInFlight {
			w.orphans.remove(key)
			o.planNeeded = true
		}
	}
	response := evidence.Inventory{RequestedAt: sentAt, ClockMS: inventory.ClockMS, Full: len(inventory.Ended) >= maxEndsPerResponse}
	for key, m := range w.members.all() {
		if listed[key] {
			continue
		}
		proof := m.evidence().Missing(response)
		switch {
		case proof != evidence.None:
			o.memberEnded(m, EndLeaseExpired, "", proof)
			o.requeueIfGone(m.group)
		case response.Full:
		case m.expiresMS == neverExpires && !m.startInFlight && !m.startDue && !m.stopping:
			o.stopTaskGroup(m.group, "start_in_doubt")
		}
	}
	o.dropUnverified(w, response)
}

// reconcileRun handles one run that a worker lists.
func (o *Owner) reconcileRun(w *worker, running RunningTask) {
	g, m := o.findRun(w, running.RunKey)
	if m == nil {
		o.addOrphan(w, running.RunKey, g)
		return
	}
	switch m.phase {
	case memberUnverified:
		m.phase, m.confirmedAt = memberRunning, o.now
		o.markStarted(m.group.job)
		w.admit(m)
	case memberStarting:
		o.confirmStarted(w, m)
	}
	if running.Checkpoint != "" && running.Run == g.run && !g.finished() {
		o.keepCheckpoint(g, running.Checkpoint)
	}
	m.load = running.Load
	o.noteSteadyRun(w, m)
	o.forgiveCrashes(g)
	o.handleProgress(w, m, running.Percent)
}

func (o *Owner) addOrphan(w *worker, key RunKey, g *taskGroup) {
	if w.orphans.has(key) {
		return
	}
	found := &orphan{key: key}
	if g != nil {
		found.demand, found.demandKnown = g.step.spec.Demand(), true
	} else if task, err := workflow.ParseTask(key.Task); err == nil && o.jobs.has(task.Job) {
		if spec, ok := o.jobs.getOrZero(task.Job).taskSpec(task); ok {
			found.demand, found.demandKnown = spec.Demand(), true
		}
	}
	w.orphans.set(key, found)
	w.ordersDue = true
	o.emit(event.RunUnexplained, event.Subject{Worker: string(w.info.ID)}, event.Fields{"task": string(key.Task), "run": key.Run})
}

// dropUnverified gives up the recorded runs that a worker did not list in its response. If it
// has restarted since they were recorded, it has crashed under them.
func (o *Owner) dropUnverified(w *worker, response evidence.Inventory) {
	var lost []lostRun
	recovering := o.stillRecovering()
	for _, g := range recovering {
		for _, m := range g.members {
			if m.phase != memberUnverified || m.workerID != w.info.ID {
				continue
			}
			proof := m.evidence().Missing(response)
			if proof == evidence.None {
				continue
			}
			if m.incarnation != 0 && w.Incarnation > m.incarnation && !w.endsByOrder() {
				lost = append(lost, o.lostUnverified(m))
			}
			o.recordedRunEnded(m, proof)
			o.markChanged(g)
		}
	}
	if len(lost) > 0 {
		markAlone(lost)
		o.recordCrash(lost)
		o.reportCrash(w.info.ID, crashRestarted, lost)
	}
	for _, g := range recovering {
		o.resolveRecovery(g)
	}
}
