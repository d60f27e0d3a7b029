package pool

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
)

// Fillers use the processor time that serving tasks, those with a latency target, leave idle,
// but increase the latency of these. The share at which the fillers of a worker run is halved
// while a serving task there is near its target, and raised in steps while its latency is low.
const (
	// throttleAbove and relaxBelow are latencies as a share of the latency target.
	throttleAbove = 0.85
	relaxBelow    = 0.6
	// relaxStep is the increase of the share, in percent of full speed.
	relaxStep = 10
	// throttleInterval is the minimum time between two changes on one worker. It is longer
	// than the half second that the load figures cover, so that they show the last change.
	throttleInterval = 700 * time.Millisecond
	// fullShare is the share at the start of a task, in percent.
	fullShare = 100
)

// PaceOrder sets the share of full speed at which a task runs, in percent.
type PaceOrder struct {
	RunKey
	Percent int
	Fence   uint64
}

// throttle adjusts the fillers of a worker to the latency of the serving tasks there.
func (o *Owner) throttle(w *worker) {
	ratio, serving := w.latencyRatio()
	if !serving || o.now.Sub(w.throttledAt) < throttleInterval {
		return
	}
	for _, m := range w.members.all() {
		if !m.group.step.spec.Filler || m.phase != memberRunning || m.stopping || m.paceInFlight {
			continue
		}
		share := m.share
		switch {
		case ratio >= throttleAbove:
			share /= 2
		case ratio < relaxBelow:
			share = min(fullShare, share+relaxStep)
		}
		if share != m.share {
			w.throttledAt = o.now
			o.sendPace(w, m, share, ratio)
		}
	}
}

// latencyRatio is the highest ratio of latency to target of the serving tasks, and whether
// there are any.
func (w *worker) latencyRatio() (float64, bool) {
	highest, serving := 0.0, false
	for _, m := range w.members.all() {
		target := m.group.step.spec.LatencyTarget
		if target <= 0 || m.phase != memberRunning {
			continue
		}
		serving = true
		highest = max(highest, float64(m.load)/float64(target.Milliseconds()))
	}
	return highest, serving
}

func (o *Owner) sendPace(w *worker, m *member, share int, ratio float64) {
	order := PaceOrder{RunKey: m.key(), Percent: share, Fence: o.fence}
	m.paceInFlight, m.requestedShare = true, share
	o.pendingCalls = append(o.pendingCalls, Call{Target: w.target(), Pace: &order, Sent: o.now, Timeout: o.timing.CallTimeout, member: m, worker: w, incarnation: w.Incarnation})
	o.emit(event.FillerThrottled, event.Subject{Job: string(m.group.job.id()), Worker: string(w.info.ID)}, event.Fields{
		"task": string(order.Task), "percent": share, "before": m.share, "strain": ratio,
	})
}

// PaceDone handles the result of a pace order.
func (o *Owner) PaceDone(call Call, clockMS int64, err error, now time.Time) {
	o.now = now
	call.member.paceInFlight = false
	call.worker.readClockFrom(call, clockMS, now)
	if err == nil {
		call.member.share = call.member.requestedShare
	}
}

// watchesLatency reports whether the worker runs both fillers and serving tasks, so that
// it has to be polled more often.
func (w *worker) watchesLatency() bool {
	hasFiller, hasServing := false, false
	for _, m := range w.members.all() {
		hasFiller = hasFiller || m.group.step.spec.Filler
		hasServing = hasServing || m.group.step.spec.LatencyTarget > 0
	}
	return hasFiller && hasServing
}
