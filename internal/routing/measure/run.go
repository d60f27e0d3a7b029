package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chervilrun/chervilrun/internal/agenda"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/routing"
)

const serviceName = model.ServiceID("service")

// start is the time at which every run begins.
var start = time.Unix(0, 0)

// host is one entry host.
type host struct {
	id     model.HostID
	pool   *routing.Pool
	queue  *routing.Queue
	budget routing.RetryBudget
	waits  map[*routing.Waiter]*request
	asking map[model.HostID]bool
}

// backend is one executor.
type backend struct {
	inFlight int
	gone     bool
	factor   float64
}

// request is one request on its way.
type request struct {
	host     *host
	arrived  time.Time
	attempts int
	avoid    []model.ExecutorID
}

// run is one run of a scenario under a policy.
type run struct {
	scenario scenario
	random   *rand.Rand
	agenda   agenda.Queue
	now      time.Time
	hosts    []*host
	ids      []model.HostID
	backends map[model.ExecutorID]*backend
	listed   []model.Executor

	times     *hdrhistogram.Histogram
	requests  int
	refused   int
	attempts  int
	exchanges int
	maxSlots  int
	// slotTime is the time that attempts held slots, as the hosts see it.
	slotTime time.Duration
	// idleTime is the integral of slots that are idle while requests wait, in slot seconds.
	idleTime float64
	last     time.Time
}

func newRun(s scenario, policy routing.Policy, seed uint64) *run {
	const highest = int64(time.Minute / time.Microsecond)
	r := &run{
		scenario: s,
		random:   rand.New(rand.NewPCG(seed, 0)),
		now:      start,
		last:     start,
		backends: map[model.ExecutorID]*backend{},
		times:    hdrhistogram.New(1, highest, 3),
	}
	for i := range s.executors {
		id := model.ExecutorID(fmt.Sprint("executor-", i))
		b := &backend{factor: 1}
		if i < s.slow {
			b.factor = slowTimes
		}
		r.backends[id] = b
		r.listed = append(r.listed, model.Executor{ID: id, Service: serviceName, State: model.HostLive, Slots: s.slots})
	}
	for i := range s.hosts {
		r.ids = append(r.ids, model.HostID(fmt.Sprint("host-", i)))
	}
	for i, id := range r.ids {
		random := rand.New(rand.NewPCG(seed, uint64(i+1)))
		h := &host{id: id, pool: routing.NewPool(id, policy, s.slots, random), queue: routing.NewQueue(queueLimit)}
		h.budget = routing.NewRetryBudget()
		h.asking = map[model.HostID]bool{}
		h.waits = map[*routing.Waiter]*request{}
		h.pool.Update(r.listed, r.ids)
		r.hosts = append(r.hosts, h)
	}
	return r
}

func (r *run) after(delay time.Duration, do func()) { r.agenda.Add(r.now.Add(delay), do) }

func (r *run) run() []line {
	r.after(0, r.arrive)
	for _, h := range r.hosts {
		r.after(0, func() { r.tick(h) })
	}
	if r.scenario.leaving > 0 {
		r.after(length/2, r.leave)
	}
	for at, ok := r.agenda.Next(); ok; at, ok = r.agenda.Next() {
		r.countIdle(at)
		r.now = at
		r.agenda.Take()()
	}
	return r.figures()
}

// arrive lets one request come and plans the next one.
func (r *run) arrive() {
	if r.now.Sub(start) > length {
		return
	}
	h := r.hosts[0]
	if r.random.Float64() >= r.scenario.hot {
		h = r.hosts[1+r.random.IntN(len(r.hosts)-1)]
	}
	r.requests++
	h.budget.Earn()
	r.place(&request{host: h, arrived: r.now})
	rate := r.scenario.load * float64(r.scenario.executors*r.scenario.slots) / meanService.Seconds()
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.arrive)
}

// place sends a request to an executor or lets it wait.
func (r *run) place(q *request) {
	h := q.host
	if h.queue.Len() == 0 {
		if executor, ok := h.pool.Pick(r.now, q.avoid); ok {
			r.send(q, executor)
			return
		}
	}
	waiter := &routing.Waiter{Organisation: "o", Weight: 1, Deadline: q.arrived.Add(deadline), Avoid: q.avoid}
	h.waits[waiter] = q
	if dropped := h.queue.Push(waiter); dropped != nil {
		delete(h.waits, dropped)
		r.refused++
	}
	r.exchange(h)
}

func (r *run) send(q *request, executor model.Executor) {
	q.attempts++
	r.attempts++
	sent := r.now
	r.after(oneWay, func() {
		b := r.backends[executor.ID]
		switch {
		case b.gone:
			r.after(oneWay, func() { r.retry(q, executor, routing.Failed, sent) })
			return
		case b.inFlight >= r.scenario.slots:
			r.after(oneWay, func() { r.retry(q, executor, routing.Refused, sent) })
			return
		}
		b.inFlight++
		r.maxSlots = max(r.maxSlots, b.inFlight)
		service := time.Duration(r.random.ExpFloat64() * b.factor * float64(meanService))
		r.after(service, func() {
			b.inFlight--
			r.after(oneWay, func() { r.answer(q, executor, sent) })
		})
	})
}

func (r *run) answer(q *request, executor model.Executor, sent time.Time) {
	took := r.now.Sub(q.arrived)
	if took > deadline {
		r.refused++
	} else {
		_ = r.times.RecordValue(took.Microseconds())
	}
	r.slotTime += r.now.Sub(sent)
	q.host.pool.Release(executor.ID, routing.Succeeded, r.now.Sub(sent), r.now)
	r.dispatch(q.host)
}

func (r *run) retry(q *request, executor model.Executor, result routing.Result, sent time.Time) {
	r.slotTime += r.now.Sub(sent)
	q.host.pool.Release(executor.ID, result, r.now.Sub(sent), r.now)
	q.avoid = append(q.avoid, executor.ID)
	if q.attempts >= maxAttempts || !q.host.budget.Spend() {
		r.refused++
	} else {
		r.place(q)
	}
	r.dispatch(q.host)
}

// dispatch gives free slots to waiters, as Router does.
func (r *run) dispatch(h *host) {
	for h.queue.Len() > 0 {
		waiter := h.queue.Pop()
		q := h.waits[waiter]
		if r.now.Add(h.pool.Latency()).After(waiter.Deadline) {
			delete(h.waits, waiter)
			r.refused++
			continue
		}
		executor, ok := h.pool.Pick(r.now, waiter.Avoid)
		if !ok {
			h.queue.Unpop(waiter)
			return
		}
		delete(h.waits, waiter)
		r.send(q, executor)
	}
}

func (r *run) tick(h *host) {
	r.dispatch(h)
	r.exchange(h)
	if r.now.Sub(start) < length+deadline {
		r.after(dispatchTick, func() { r.tick(h) })
	}
}

// exchange asks the home hosts for slots, as Router does.
func (r *run) exchange(h *host) {
	sent := r.now
	requests := h.pool.Requests(serviceName, h.queue.Len(), h.asking, r.now)
	for _, home := range r.hosts {
		request, due := requests[home.id]
		if !due {
			continue
		}
		h.asking[home.id] = true
		r.exchanges++
		r.after(oneWay, func() {
			answer := home.pool.Lend(request, home.queue.Len(), r.now)
			r.after(oneWay, func() {
				delete(h.asking, home.id)
				h.pool.Settle(home.id, &answer, sent)
				r.dispatch(h)
				if h.queue.Len() > 0 {
					r.exchange(h)
				}
			})
		})
	}
}

// leave stops a part of the executors; the list shows it later.
func (r *run) leave() {
	gone := int(r.scenario.leaving * float64(len(r.listed)))
	for _, executor := range r.listed[:gone] {
		r.backends[executor.ID].gone = true
	}
	r.listed = r.listed[gone:]
	r.after(listLag, func() {
		for _, h := range r.hosts {
			h.pool.Update(r.listed, r.ids)
		}
	})
}

// countIdle adds up idle slots while requests wait anywhere.
func (r *run) countIdle(until time.Time) {
	passed := until.Sub(r.last).Seconds()
	r.last = until
	waiting := 0
	for _, h := range r.hosts {
		waiting += h.queue.Len()
	}
	if waiting == 0 || passed == 0 {
		return
	}
	idle := 0
	for _, executor := range r.listed {
		idle += r.scenario.slots - r.backends[executor.ID].inFlight
	}
	r.idleTime += float64(min(idle, waiting)) * passed
}

func (r *run) figures() []line {
	ms := func(quantile float64) float64 { return float64(r.times.ValueAtQuantile(quantile)) / 1000 }
	requests := float64(r.requests)
	return []line{
		{Metric: "completion_p50", Value: ms(50), Unit: "ms"},
		{Metric: "completion_p99", Value: ms(99), Unit: "ms"},
		{Metric: "refused", Value: float64(r.refused) / requests, Unit: "1"},
		{Metric: "attempts_per_request", Value: float64(r.attempts) / requests, Unit: "1"},
		{Metric: "cost_per_request", Value: r.slotTime.Seconds() * 1000 / requests, Unit: "slot ms"},
		{Metric: "idle_slots_while_waiting", Value: r.idleTime / length.Seconds(), Unit: "slots"},
		{Metric: "exchanges_per_second", Value: float64(r.exchanges) / length.Seconds(), Unit: "1/s"},
	}
}
