package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chervilrun/chervilrun/internal/eventqueue"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/routing"
)

const serviceName = model.ServiceID("service")

// start is the time at which every simulation begins.
var start = time.Unix(0, 0)

// host is a simulated entry host.
type host struct {
	id               model.HostID
	pool             *routing.Pool
	queue            *routing.Queue
	budget           routing.RetryBudget
	waiting          map[*routing.Waiter]*request
	pendingExchanges map[model.HostID]bool
}

// simulatedExecutor is an executor whose service times are multiplied by slowdown.
type simulatedExecutor struct {
	inFlight int
	stopped  bool
	slowdown float64
}

// request is one request in flight.
type request struct {
	host     *host
	arrived  time.Time
	attempts int
	avoid    []model.ExecutorID
}

// simulation simulates a scenario under a policy.
type simulation struct {
	scenario        scenario
	random          *rand.Rand
	events          eventqueue.Queue
	now             time.Time
	hosts           []*host
	hostIDs         []model.HostID
	executors       map[model.ExecutorID]*simulatedExecutor
	listedExecutors []model.Executor

	completionTimes *hdrhistogram.Histogram
	requests        int
	// refused also counts requests that failed or completed after their deadline.
	refused   int
	attempts  int
	exchanges int
	maxSlots  int
	// slotTime is the total time that attempts held slots, as seen by the hosts.
	slotTime time.Duration
	// idleTime is the integral over time of the slots that are idle while requests wait,
	// in slot seconds.
	idleTime         float64
	idleCountedUntil time.Time
}

func newSimulation(s scenario, policy routing.Policy, seed uint64) *simulation {
	const maxRecordedMicroseconds = int64(time.Minute / time.Microsecond)
	r := &simulation{
		scenario:         s,
		random:           rand.New(rand.NewPCG(seed, 0)),
		now:              start,
		idleCountedUntil: start,
		executors:        map[model.ExecutorID]*simulatedExecutor{},
		completionTimes:  hdrhistogram.New(1, maxRecordedMicroseconds, 3),
	}
	for i := range s.executors {
		id := model.ExecutorID(fmt.Sprint("executor-", i))
		e := &simulatedExecutor{slowdown: 1}
		if i < s.slowExecutors {
			e.slowdown = slowdownFactor
		}
		r.executors[id] = e
		r.listedExecutors = append(r.listedExecutors, model.Executor{ID: id, Service: serviceName, State: model.HostLive, Slots: s.slots})
	}
	for i := range s.hosts {
		r.hostIDs = append(r.hostIDs, model.HostID(fmt.Sprint("host-", i)))
	}
	for i, id := range r.hostIDs {
		random := rand.New(rand.NewPCG(seed, uint64(i+1)))
		h := &host{id: id, pool: routing.NewPool(id, policy, s.slots, random), queue: routing.NewQueue(queueLimit)}
		h.budget = routing.NewRetryBudget()
		h.pendingExchanges = map[model.HostID]bool{}
		h.waiting = map[*routing.Waiter]*request{}
		h.pool.Update(r.listedExecutors, r.hostIDs)
		r.hosts = append(r.hosts, h)
	}
	return r
}

func (r *simulation) schedule(delay time.Duration, do func()) { r.events.Add(r.now.Add(delay), do) }

func (r *simulation) run() []measurement {
	r.schedule(0, r.arrive)
	for _, h := range r.hosts {
		r.schedule(0, func() { r.tick(h) })
	}
	if r.scenario.leavingShare > 0 {
		r.schedule(duration/2, r.stopExecutors)
	}
	for at, ok := r.events.NextTime(); ok; at, ok = r.events.NextTime() {
		r.countIdle(at)
		r.now = at
		r.events.Pop()()
	}
	return r.measurements()
}

// arrive simulates the arrival of a request and schedules the next one.
func (r *simulation) arrive() {
	if r.now.Sub(start) > duration {
		return
	}
	h := r.hosts[0]
	if r.random.Float64() >= r.scenario.hotShare {
		h = r.hosts[1+r.random.IntN(len(r.hosts)-1)]
	}
	r.requests++
	h.budget.Deposit()
	r.submit(&request{host: h, arrived: r.now})
	rate := r.scenario.load * float64(r.scenario.executors*r.scenario.slots) / meanServiceTime.Seconds()
	r.schedule(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.arrive)
}

// submit sends a request to an executor or queues it.
func (r *simulation) submit(q *request) {
	h := q.host
	if h.queue.Len() == 0 {
		if executor, ok := h.pool.Pick(r.now, q.avoid); ok {
			r.send(q, executor)
			return
		}
	}
	waiter := &routing.Waiter{Organisation: "o", Weight: 1, Deadline: q.arrived.Add(deadline), Avoid: q.avoid}
	h.waiting[waiter] = q
	if dropped := h.queue.Push(waiter); dropped != nil {
		delete(h.waiting, dropped)
		r.refused++
	}
	r.exchange(h)
}

func (r *simulation) send(q *request, executor model.Executor) {
	q.attempts++
	r.attempts++
	sent := r.now
	r.schedule(networkDelay, func() {
		e := r.executors[executor.ID]
		switch {
		case e.stopped:
			r.schedule(networkDelay, func() { r.retry(q, executor, routing.Failed, sent) })
			return
		case e.inFlight >= r.scenario.slots:
			r.schedule(networkDelay, func() { r.retry(q, executor, routing.Refused, sent) })
			return
		}
		e.inFlight++
		r.maxSlots = max(r.maxSlots, e.inFlight)
		service := time.Duration(r.random.ExpFloat64() * e.slowdown * float64(meanServiceTime))
		r.schedule(service, func() {
			e.inFlight--
			r.schedule(networkDelay, func() { r.complete(q, executor, sent) })
		})
	})
}

func (r *simulation) complete(q *request, executor model.Executor, sent time.Time) {
	elapsed := r.now.Sub(q.arrived)
	if elapsed > deadline {
		r.refused++
	} else {
		_ = r.completionTimes.RecordValue(elapsed.Microseconds())
	}
	r.slotTime += r.now.Sub(sent)
	q.host.pool.Release(executor.ID, routing.Succeeded, r.now.Sub(sent), r.now)
	r.dispatch(q.host)
}

func (r *simulation) retry(q *request, executor model.Executor, result routing.Result, sent time.Time) {
	r.slotTime += r.now.Sub(sent)
	q.host.pool.Release(executor.ID, result, r.now.Sub(sent), r.now)
	q.avoid = append(q.avoid, executor.ID)
	if q.attempts >= maxAttempts || !q.host.budget.Withdraw() {
		r.refused++
	} else {
		r.submit(q)
	}
	r.dispatch(q.host)
}

// dispatch grants free slots to waiters, as routing.Router does.
func (r *simulation) dispatch(h *host) {
	for h.queue.Len() > 0 {
		waiter := h.queue.Pop()
		q := h.waiting[waiter]
		if r.now.Add(h.pool.Latency()).After(waiter.Deadline) {
			delete(h.waiting, waiter)
			r.refused++
			continue
		}
		executor, ok := h.pool.Pick(r.now, waiter.Avoid)
		if !ok {
			h.queue.Unpop(waiter)
			return
		}
		delete(h.waiting, waiter)
		r.send(q, executor)
	}
}

func (r *simulation) tick(h *host) {
	r.dispatch(h)
	r.exchange(h)
	if r.now.Sub(start) < duration+deadline {
		r.schedule(dispatchInterval, func() { r.tick(h) })
	}
}

// exchange sends due loan requests to the home hosts, as routing.Router does.
func (r *simulation) exchange(h *host) {
	sent := r.now
	requests := h.pool.DueLoanRequests(serviceName, h.queue.Len(), h.pendingExchanges, r.now)
	for _, home := range r.hosts {
		request, due := requests[home.id]
		if !due {
			continue
		}
		h.pendingExchanges[home.id] = true
		r.exchanges++
		r.schedule(networkDelay, func() {
			response := home.pool.Lend(request, home.queue.Len(), r.now)
			r.schedule(networkDelay, func() {
				delete(h.pendingExchanges, home.id)
				h.pool.ApplyResponse(home.id, &response, sent)
				r.dispatch(h)
				if h.queue.Len() > 0 {
					r.exchange(h)
				}
			})
		})
	}
}

// stopExecutors stops a fraction of the executors; the hosts learn of it listLag later.
func (r *simulation) stopExecutors() {
	stopping := int(r.scenario.leavingShare * float64(len(r.listedExecutors)))
	for _, executor := range r.listedExecutors[:stopping] {
		r.executors[executor.ID].stopped = true
	}
	r.listedExecutors = r.listedExecutors[stopping:]
	r.schedule(listLag, func() {
		for _, h := range r.hosts {
			h.pool.Update(r.listedExecutors, r.hostIDs)
		}
	})
}

// countIdle adds to idleTime the slots that were idle since the last call, at most one for
// each waiting request.
func (r *simulation) countIdle(now time.Time) {
	elapsed := now.Sub(r.idleCountedUntil).Seconds()
	r.idleCountedUntil = now
	waiting := 0
	for _, h := range r.hosts {
		waiting += h.queue.Len()
	}
	if waiting == 0 || elapsed == 0 {
		return
	}
	idle := 0
	for _, executor := range r.listedExecutors {
		idle += r.scenario.slots - r.executors[executor.ID].inFlight
	}
	r.idleTime += float64(min(idle, waiting)) * elapsed
}

func (r *simulation) measurements() []measurement {
	ms := func(quantile float64) float64 { return float64(r.completionTimes.ValueAtQuantile(quantile)) / 1000 }
	requests := float64(r.requests)
	return []measurement{
		{Metric: "completion_p50", Value: ms(50), Unit: "ms"},
		{Metric: "completion_p99", Value: ms(99), Unit: "ms"},
		{Metric: "refused", Value: float64(r.refused) / requests, Unit: "1"},
		{Metric: "attempts_per_request", Value: float64(r.attempts) / requests, Unit: "1"},
		{Metric: "cost_per_request", Value: r.slotTime.Seconds() * 1000 / requests, Unit: "slot ms"},
		{Metric: "idle_slots_while_waiting", Value: r.idleTime / duration.Seconds(), Unit: "slots"},
		{Metric: "exchanges_per_second", Value: float64(r.exchanges) / duration.Seconds(), Unit: "1/s"},
	}
}
