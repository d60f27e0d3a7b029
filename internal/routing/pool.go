// Package routing decides which executor serves a request, and when. Pool and Queue are
// deterministic: they depend only on the view, the time passed to each call and a seeded
// random source. Router adds locking and lets callers wait for a slot.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Result says how an attempt at an executor ended.
type Result int

// The results of an attempt.
const (
	// Succeeded means that a complete response arrived.
	Succeeded Result = iota
	// Refused means that the executor had no free slot and did not run the attempt.
	Refused
	// Failed means that no complete response arrived.
	Failed
	// Abandoned means that the caller cancelled; it says nothing about the executor.
	Abandoned
)

// executorState is this host's state for one executor.
type executorState struct {
	executor model.Executor
	inFlight int
	limit    adaptiveLimit
	health   health
	loans    executorLoans
}

// Pool is the state of the executors of one service at one entry host. It is not safe
// for concurrent use.
type Pool struct {
	self      model.HostID
	policy    Policy
	random    *rand.Rand
	executors map[model.ExecutorID]*executorState
	sortedIDs []model.ExecutorID
	hostCount int
	// maxConnections limits the attempts in flight at one executor; each attempt uses
	// one connection.
	maxConnections int
	latency        average
	// typicalLatency is the most recently computed median latency of the executors.
	typicalLatency time.Duration
	// nextExchange is when the next periodic exchange with other hosts is due; until
	// backoffUntil no host is asked for slots.
	nextExchange time.Time
	backoffUntil time.Time
	// nextHome is the round-robin index of the next home host to ask; untriedHomes counts
	// the home hosts not yet asked in this round.
	nextHome     int
	untriedHomes int
}

// Policy selects how entry hosts share the slots of executors.
type Policy string

// The policies. The product uses PolicyLoans; the others are baselines for comparison.
const (
	// PolicyLocal uses every executor, without coordination between hosts.
	PolicyLocal Policy = "local_two_choices"
	// PolicyDivided uses each executor only from its home host.
	PolicyDivided Policy = "divided"
	// PolicyLoans divides the executors between home hosts, which lend slots to others.
	PolicyLoans Policy = "permits"
)

// NewPool returns a pool without executors. It uses at most maxConnections connections
// to each executor.
func NewPool(self model.HostID, policy Policy, maxConnections int, random *rand.Rand) *Pool {
	return &Pool{
		self:           self,
		policy:         policy,
		maxConnections: maxConnections,
		random:         random,
		executors:      map[model.ExecutorID]*executorState{},
	}
}

// Update replaces the usable executors and the entry hosts that share them. The state
// of executors that remain is kept.
func (p *Pool) Update(executors []model.Executor, hosts []model.HostID) {
	seen := make(map[model.ExecutorID]bool, len(executors))
	for _, executor := range executors {
		seen[executor.ID] = true
		e, known := p.executors[executor.ID]
		if !known {
			e = &executorState{limit: newAdaptiveLimit(executor.Slots), health: newHealth(), loans: newExecutorLoans()}
			p.executors[executor.ID] = e
		}
		e.executor = executor
		e.loans.homeHost = Home(executor.ID, hosts)
	}
	for id := range p.executors {
		if !seen[id] {
			delete(p.executors, id)
		}
	}
	p.sortedIDs = p.sortedIDs[:0]
	for id := range p.executors {
		p.sortedIDs = append(p.sortedIDs, id)
	}
	slices.Sort(p.sortedIDs)
	p.hostCount = max(len(hosts), 1)
}

// Size returns the number of usable executors.
func (p *Pool) Size() int { return len(p.sortedIDs) }

// availableSlots returns how many more attempts this host may start at an executor now.
func (p *Pool) availableSlots(e *executorState, now time.Time) int {
	available := min(p.usableSlots(e, now), e.limit.value(), p.maxConnections) - e.inFlight
	return min(available, e.health.maxInFlight(now)-e.inFlight)
}

// usableSlots returns how many of the executor's slots this host may use now, including
// those in use.
func (p *Pool) usableSlots(e *executorState, now time.Time) int {
	switch {
	case p.policy == PolicyLocal:
		return e.executor.Slots
	case e.loans.homeHost == p.self:
		return e.executor.Slots - e.loans.lentSlots(now) - e.loans.reservedSlots(e.executor.Slots, now)
	case p.policy == PolicyDivided:
		return 0
	}
	return e.loans.usableSlots(now, e.executor.Slots, p.hostCount)
}

// Pick starts an attempt at the less loaded of two random executors with available
// slots. It picks an executor in avoid only when no other is available.
func (p *Pool) Pick(now time.Time, avoid []model.ExecutorID) (model.Executor, bool) {
	best, second := p.twoCandidates(now, avoid)
	if best == nil && len(avoid) > 0 {
		best, second = p.twoCandidates(now, nil)
	}
	if best == nil {
		return model.Executor{}, false
	}
	if second != nil && second.expectedWait() < best.expectedWait() {
		best = second
	}
	return p.startAttempt(best, now), true
}

// PickExcluding starts an attempt at a random executor that is available and not in avoid.
func (p *Pool) PickExcluding(now time.Time, avoid []model.ExecutorID) (model.Executor, bool) {
	e := p.findAvailable(now, avoid, nil)
	if e == nil {
		return model.Executor{}, false
	}
	return p.startAttempt(e, now), true
}

// startAttempt counts a new attempt at an executor.
func (p *Pool) startAttempt(e *executorState, now time.Time) model.Executor {
	e.inFlight++
	e.loans.peakInFlight = max(e.loans.peakInFlight, e.inFlight)
	e.health.attemptStarted(now)
	return e.executor
}

// expectedWait estimates the waiting time, in seconds, at an executor with one more attempt.
func (e *executorState) expectedWait() float64 {
	return float64(e.inFlight+1) * max(e.health.latency.value, minLatency.Seconds())
}

// minLatency is the minimum latency assumed by expectedWait, also for an executor without
// responses.
const minLatency = time.Millisecond

// twoCandidates returns up to two different available executors, each the first one
// found from a random start.
func (p *Pool) twoCandidates(now time.Time, avoid []model.ExecutorID) (first, second *executorState) {
	first = p.findAvailable(now, avoid, nil)
	if first == nil {
		return nil, nil
	}
	return first, p.findAvailable(now, avoid, first)
}

// findAvailable returns the first available executor from a random start, or nil.
func (p *Pool) findAvailable(now time.Time, avoid []model.ExecutorID, excluded *executorState) *executorState {
	n := len(p.sortedIDs)
	if n == 0 {
		return nil
	}
	start := p.random.IntN(n)
	for i := range n {
		e := p.executors[p.sortedIDs[(start+i)%n]]
		if e != excluded && !slices.Contains(avoid, e.executor.ID) && p.availableSlots(e, now) > 0 {
			return e
		}
	}
	return nil
}

// Release ends an attempt and updates the limit and the health of its executor.
func (p *Pool) Release(id model.ExecutorID, result Result, elapsed time.Duration, now time.Time) Transition {
	e, known := p.executors[id]
	if !known {
		return TransitionNone
	}
	e.inFlight = max(e.inFlight-1, 0)
	if result == Abandoned {
		return TransitionNone
	}
	if result == Succeeded {
		p.latency.add(elapsed.Seconds())
	}
	e.limit.update(result, e.executor.Slots)
	return p.updateHealth(e, result, elapsed, now)
}

// Latency returns the moving average of the duration of successful attempts.
func (p *Pool) Latency() time.Duration { return time.Duration(p.latency.value * float64(time.Second)) }

// InFlight returns the number of attempts of this host in flight at an executor.
func (p *Pool) InFlight(id model.ExecutorID) int {
	if e, known := p.executors[id]; known {
		return e.inFlight
	}
	return 0
}

// AvailableSlots returns how many more attempts this host may start at all executors together.
func (p *Pool) AvailableSlots(now time.Time) int {
	total := 0
	for _, id := range p.sortedIDs {
		total += max(p.availableSlots(p.executors[id], now), 0)
	}
	return total
}

// TotalInFlight returns the number of attempts of this host in flight at all executors.
func (p *Pool) TotalInFlight() int {
	total := 0
	for _, e := range p.executors {
		total += e.inFlight
	}
	return total
}
