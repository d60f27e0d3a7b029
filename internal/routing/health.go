package routing

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/chart"
)

// average is an exponentially weighted moving average.
type average struct {
	value   float64
	samples int
}

// averageWeight is the weight of a new sample.
const averageWeight = 0.1

func (a *average) add(sample float64) {
	if a.samples == 0 {
		a.value = sample
	} else {
		a.value += averageWeight * (sample - a.value)
	}
	a.samples++
}

// adaptiveLimit is the limit of the attempts in flight at one executor. It is adapted by
// additive increase and multiplicative decrease: it rises by one per limit's worth of
// successes and is multiplied by limitDecreaseFactor when the executor refuses or fails.
type adaptiveLimit struct{ current float64 }

const limitDecreaseFactor = 0.75

func newAdaptiveLimit(slots int) adaptiveLimit { return adaptiveLimit{current: float64(slots)} }

func (l *adaptiveLimit) value() int { return max(int(l.current), 1) }

func (l *adaptiveLimit) update(result Result, slots int) {
	if result == Succeeded {
		l.current = min(l.current+1/max(l.current, 1), float64(slots))
		return
	}
	l.current = max(l.current*limitDecreaseFactor, 1)
}

// Transition is the change of an executor's state that a result caused.
type Transition int

// The transitions that are reported as events.
const (
	TransitionNone Transition = iota
	TransitionEjected
	TransitionRestored
)

// States of the state machine "executor".
const (
	stateLive      = "live"
	stateEjected   = "ejected"
	stateProbation = "probation"
)

var executorChart = chart.Load("executor")

// Limits of ejection.
const (
	// consecutiveFailureLimit is the number of consecutive failures that ejects an executor.
	consecutiveFailureLimit = 5
	// slowFactor is the multiple of the typical latency above which a response is slow.
	slowFactor = 5
	// minSlowLatency is the latency below which no response is slow.
	minSlowLatency = 20 * time.Millisecond
	// slowWindow is the number of responses in a window; an executor with at least half
	// of them slow is ejected.
	slowWindow = 20
	// minComparedExecutors is the least number of executors for which latencies are compared.
	minComparedExecutors = 3
	// baseEjectionTime is the duration of an executor's first ejection; each further one
	// is twice as long.
	baseEjectionTime = 2 * time.Second
	maxEjectionTime  = 2 * time.Minute
	// maxEjectedFraction is the largest fraction of a service's executors that may be ejected
	// at the same time; see mayEject for the exception.
	maxEjectedFraction = 0.3
	unlimited          = 1 << 30
)

// health is the state of an executor as derived from the results of its attempts.
type health struct {
	machine             *chart.Machine
	latency             average
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	// windowResponses counts the responses of the current window, slowResponses the slow ones.
	windowResponses int
	slowResponses   int
	// consecutiveRefusals counts the refusals since the last success. From
	// refusalsBeforePause on, the executor gets no attempts until pausedUntil.
	consecutiveRefusals int
	pausedUntil         time.Time
}

// Limits of the pause after consecutive refusals, which doubles with each refusal.
const (
	refusalsBeforePause = 2
	basePause           = 5 * time.Millisecond
	maxPause            = time.Second
)

// recordRefusal pauses an executor that refuses repeatedly. An executor in shutdown
// refuses at once, so it would look idle and attract requests.
func (h *health) recordRefusal(now time.Time) {
	h.consecutiveRefusals++
	if h.consecutiveRefusals < refusalsBeforePause {
		return
	}
	pause := min(basePause<<min(h.consecutiveRefusals-refusalsBeforePause, 10), maxPause)
	h.pausedUntil = now.Add(pause)
}

func newHealth() health { return health{machine: executorChart.New()} }

// maxInFlight returns how many attempts may be in flight: none while the executor is
// paused or ejected, one once its ejection has ended and on probation.
func (h *health) maxInFlight(now time.Time) int {
	if now.Before(h.pausedUntil) {
		return 0
	}
	switch h.machine.State() {
	case stateEjected:
		if now.Before(h.ejectedUntil) {
			return 0
		}
		return 1
	case stateProbation:
		return 1
	}
	return unlimited
}

// attemptStarted puts an executor whose ejection has ended on probation.
func (h *health) attemptStarted(now time.Time) {
	if h.machine.State() == stateEjected && !now.Before(h.ejectedUntil) {
		h.machine.Fire("probe")
	}
}

// updateHealth records a result and advances the executor's state machine.
func (p *Pool) updateHealth(e *executorState, result Result, elapsed time.Duration, now time.Time) Transition {
	h := &e.health
	if result == Refused {
		h.recordRefusal(now)
		return TransitionNone
	}
	slow := false
	if result == Succeeded {
		h.consecutiveFailures, h.consecutiveRefusals = 0, 0
		h.latency.add(elapsed.Seconds())
		slow = p.isSlow(e, elapsed)
	} else {
		h.consecutiveFailures++
	}
	switch h.machine.State() {
	case stateProbation:
		return p.endProbation(e, result, now)
	case stateLive:
		if h.consecutiveFailures >= consecutiveFailureLimit || slow {
			return p.eject(e, now)
		}
	}
	return TransitionNone
}

func (p *Pool) endProbation(e *executorState, result Result, now time.Time) Transition {
	if result == Succeeded {
		e.health.machine.Fire("restore")
		e.health.latency = average{}
		return TransitionRestored
	}
	e.health.machine.Fire("eject")
	e.health.startEjection(now)
	return TransitionNone
}

func (p *Pool) eject(e *executorState, now time.Time) Transition {
	if !p.mayEject() {
		return TransitionNone
	}
	e.health.machine.Fire("eject")
	e.health.startEjection(now)
	return TransitionEjected
}

// startEjection sets the end of an ejection, which is twice as long as the one before.
func (h *health) startEjection(now time.Time) {
	ejectionTime := min(baseEjectionTime<<min(h.ejections, 10), maxEjectionTime)
	h.ejections++
	h.ejectedUntil = now.Add(ejectionTime)
}

// mayEject reports whether another executor may be ejected under maxEjectedFraction. Of
// two or more executors one may always be ejected.
func (p *Pool) mayEject() bool {
	ejected := 0
	for _, e := range p.executors {
		if e.health.machine.State() != stateLive {
			ejected++
		}
	}
	n := len(p.executors)
	return n > 1 && ejected < max(int(maxEjectedFraction*float64(n)), 1)
}

// isSlow counts responses that are much slower than is typical of the service's
// executors. The executor is slow if at least half of a completed window of responses was
// slow, so that a single late response, or a pause of this host, does not eject it.
func (p *Pool) isSlow(e *executorState, elapsed time.Duration) bool {
	h := &e.health
	if p.typicalLatency == 0 {
		p.typicalLatency = p.medianLatency()
	}
	if elapsed > max(slowFactor*p.typicalLatency, minSlowLatency) {
		h.slowResponses++
	}
	h.windowResponses++
	if h.windowResponses < slowWindow {
		return false
	}
	slow := h.slowResponses*2 >= slowWindow && len(p.executors) >= minComparedExecutors
	h.windowResponses, h.slowResponses = 0, 0
	p.typicalLatency = p.medianLatency()
	return slow
}

// medianLatency returns the median of the executors' average latencies.
func (p *Pool) medianLatency() time.Duration {
	var averages []float64
	for _, e := range p.executors {
		if e.health.latency.samples > 0 {
			averages = append(averages, e.health.latency.value)
		}
	}
	if len(averages) == 0 {
		return 0
	}
	slices.Sort(averages)
	return time.Duration(averages[(len(averages)-1)/2] * float64(time.Second))
}
