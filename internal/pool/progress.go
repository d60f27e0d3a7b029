package pool

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
)

// Thresholds for the progress of tasks.
const (
	// stallTimeout is how long a task may make no progress before it is started on another
	// worker. It is longer than RenewalWait, so that at least one report arrives meanwhile.
	stallTimeout = 3500 * time.Millisecond
	// slowSpeedShare is the share of the estimated speed below which a worker counts as
	// slow. Estimates are off by up to a factor of two.
	slowSpeedShare = 0.35
	// minSampleInterval is the minimum time over which a speed is measured.
	minSampleInterval = 800 * time.Millisecond
	// slowPeriod is how long a worker counts as slow after its last slow sample.
	slowPeriod = 5 * time.Second
	// drainTimeShare is the share of a task's remaining time that must fit into the time
	// before a draining worker leaves; otherwise the task is moved at once.
	drainTimeShare = 0.8
)

// progressTracker tracks the reported progress of a task.
type progressTracker struct {
	// percent is the highest progress reported, advancedAt when it last rose.
	percent    int
	advancedAt time.Time
	// firstPercent is the progress in the first report, received at firstAt.
	firstPercent int
	firstAt      time.Time
	// samplePercent is the progress when the speed was last measured, at sampledAt.
	samplePercent int
	sampledAt     time.Time
}

// update processes a progress report and returns the speed since the last sample, in
// percent per second; false if too little time has passed for a sample.
func (p *progressTracker) update(percent int, now time.Time) (float64, bool) {
	if p.firstAt.IsZero() {
		*p = progressTracker{percent: percent, advancedAt: now, firstPercent: percent, firstAt: now, samplePercent: percent, sampledAt: now}
		return 0, false
	}
	if percent > p.percent {
		p.percent, p.advancedAt = percent, now
	}
	since := now.Sub(p.sampledAt)
	if since < minSampleInterval {
		return 0, false
	}
	speed := float64(percent-p.samplePercent) / since.Seconds()
	p.samplePercent, p.sampledAt = percent, now
	return speed, true
}

// remaining estimates the remaining run time.
func (p *progressTracker) remaining(estimate time.Duration, now time.Time) time.Duration {
	gained, took := p.percent-p.firstPercent, p.advancedAt.Sub(p.firstAt)
	if gained <= 0 || took <= 0 {
		return time.Duration(float64(estimate) * float64(100-p.percent) / 100)
	}
	remaining := time.Duration(float64(took) * float64(100-p.percent) / float64(gained))
	return max(0, remaining-now.Sub(p.advancedAt))
}

// handleProgress processes the progress of a task; a slow task marks its worker as slow.
func (o *Owner) handleProgress(w *worker, m *member, percent int) {
	speed, sampled := m.progress.update(percent, o.now)
	g := m.group
	if !sampled || g.step.spec.LongRunning || g.step.spec.Gang || g.step.spec.Estimate <= 0 || g.isRemote(w) {
		return
	}
	expected := 100 / g.step.spec.Estimate.Seconds()
	if speed >= slowSpeedShare*expected {
		return
	}
	if w.slowUntil.Before(o.now) {
		o.emit(event.WorkerSlow, event.Subject{Worker: string(w.info.ID)}, event.Fields{"task": string(m.key().Task), "percent_s": speed, "expected_percent_s": expected})
	}
	w.slowUntil = o.now.Add(slowPeriod)
	o.planNeeded = true
}

// isRemote reports whether the worker is on another rack than the data of the task group.
func (g *taskGroup) isRemote(w *worker) bool {
	return g.step.spec.DataRack != "" && g.step.spec.DataRack != w.info.Rack
}

// restartStalled stops task groups that make no progress, so that they restart on other
// workers.
func (o *Owner) restartStalled(w *worker) {
	for _, m := range w.members.all() {
		g := m.group
		if m.stopping || g.state() != taskGroupRunning || g.step.spec.LongRunning || m.progress.percent >= 100 {
			continue
		}
		// Only the time since all members were running counts. The check is made when the
		// worker responds, so that a silent worker does not count as stalled.
		since := m.progress.advancedAt
		if g.runningSince.After(since) {
			since = g.runningSince
		}
		if m.progress.firstAt.IsZero() || o.now.Sub(since) < stallTimeout {
			continue
		}
		o.emit(event.TaskStalled, event.Subject{Job: string(g.job.id()), Worker: string(w.info.ID)}, event.Fields{
			"task": string(m.key().Task), "run": m.run, "percent": m.progress.percent, "still_ms": o.now.Sub(since).Milliseconds(),
		})
		o.recordWorkerFailure(g, w.info.ID)
		o.stopTaskGroup(g, "stalled")
	}
}

// longRunningMoveMargin is how long before a draining worker may leave its long-running tasks are
// stopped. Their worker is asked at least once within it (RenewalWait).
const longRunningMoveMargin = 2500 * time.Millisecond

// moveOffDraining stops task groups that can't finish before their worker leaves, so that they
// restart on other workers. Tasks with checkpoints keep their progress. Long-running ones would
// else be away until the lease of the worker has run out.
func (o *Owner) moveOffDraining(w *worker) {
	if !w.Draining || w.LeavesAt.IsZero() {
		return
	}
	stay := w.LeavesAt.Sub(o.now)
	for _, m := range w.members.all() {
		g := m.group
		if m.stopping || g.state() != taskGroupRunning {
			continue
		}
		if g.step.spec.LongRunning {
			if stay <= longRunningMoveMargin {
				o.stopTaskGroup(g, "worker_leaves")
			}
			continue
		}
		remaining := m.progress.remaining(g.step.spec.Estimate, o.now)
		if time.Duration(drainTimeShare*float64(remaining)) > max(0, stay) {
			o.stopTaskGroup(g, "worker_leaves")
		}
	}
}
