package zone

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/scheduler"
	"github.com/chervilrun/chervilrun/internal/worker"
)

func (r *Runner) applyReports(w *workerState, reports []worker.Report, now time.Time) {
	for _, report := range reports {
		t := w.findTask(report)
		if report.State.Ended() {
			w.addEndedAttempt(report)
		}
		if t == nil {
			r.addDiscoveredTask(w, report, now)
			continue
		}
		t.applyReport(report)
		t.hasNewUsage = report.State == worker.TaskRunning
	}
	r.reportUsage(w, now)
}

// reportUsage passes new usage reports to the scheduling engine. Tasks that stay above
// their declared memory are passed each time, since workers report only changes.
func (r *Runner) reportUsage(w *workerState, now time.Time) {
	var usages []scheduler.Usage
	for _, t := range w.tasks {
		if t.gang.job == nil || t.ended() {
			continue
		}
		declared := t.gang.job.record.Spec.Shape.PerTask
		if t.hasNewUsage || t.usage.MemoryMB > declared.MemoryMB {
			usages = append(usages, scheduler.Usage{Job: t.gang.jobID, Task: t.index, Worker: w.info.ID, Used: t.usage})
		}
		t.hasNewUsage = false
	}
	if len(usages) > 0 {
		r.Engine.Observe(usages, now)
	}
}

func (w *workerState) findTask(report worker.Report) *task {
	for _, t := range w.tasks {
		if t.id == report.Task && t.gang.attempt == report.Attempt && !t.isDetached {
			return t
		}
	}
	return nil
}

func (w *workerState) addEndedAttempt(report worker.Report) {
	e := endedAttempt{report.Attempt, report.Job}
	if !slices.Contains(w.endedAttempts, e) {
		w.endedAttempts = append(w.endedAttempts, e)
	}
}
