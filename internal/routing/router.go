package routing

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/view"
)

// SlotRequest describes a request that needs an executor slot. Avoid lists the executors that
// earlier attempts went to.
type SlotRequest struct {
	Service      model.ServiceID
	Organisation model.OrganisationID
	Weight       int
	Deadline     time.Time
	Avoid        []model.ExecutorID
}

// Options of a Router.
type Options struct {
	Self   model.HostID
	Clock  clockwork.Clock
	Seed   uint64
	Policy Policy
	// MaxConnections limits the connections to one executor.
	MaxConnections int
	// QueueLimit limits the requests that wait for one service.
	QueueLimit int
	// LoanClient exchanges loans with other entry hosts; nil uses no loans.
	LoanClient LoanClient
	// OnTransition is called when an executor is ejected or restored; it may be nil.
	OnTransition func(model.Executor, Transition)
}

// LoanClient sends loan requests to other entry hosts.
type LoanClient interface {
	Exchange(ctx context.Context, address string, request LoanRequest) (LoanResponse, error)
}

// Router grants slots of executors to the goroutines of one entry host.
// It is safe for concurrent use.
type Router struct {
	options Options
	wakeup  chan struct{}

	mu            sync.RWMutex
	services      map[model.ServiceID]*service
	hostAddresses map[model.HostID]string
}

// service is the routing state of one service.
type service struct {
	mu               sync.Mutex
	pool             *Pool
	queue            *Queue
	budget           RetryBudget
	pendingExchanges map[model.HostID]bool
}

// grant is the result for a waiter; if ok is true, it grants a slot of executor.
type grant struct {
	executor model.Executor
	ok       bool
	outcome  outcome.Outcome
}

// NewRouter returns a router without executors.
func NewRouter(options Options) *Router {
	return &Router{
		options:       options,
		wakeup:        make(chan struct{}, 1),
		services:      map[model.ServiceID]*service{},
		hostAddresses: map[model.HostID]string{},
	}
}

// Update applies a new view.
func (r *Router) Update(v *view.View) {
	hosts, ids := entryHosts(v, r.options.Self)
	byService := usableExecutors(v)
	r.mu.Lock()
	r.hostAddresses = hosts
	for _, s := range v.Config.Services {
		if r.services[s.ID] == nil {
			r.services[s.ID] = r.newService(uint64(len(r.services)))
		}
	}
	services := make(map[model.ServiceID]*service, len(r.services))
	for id, s := range r.services {
		services[id] = s
	}
	r.mu.Unlock()
	for id, s := range services {
		s.mu.Lock()
		s.pool.Update(byService[id], ids)
		r.dispatch(s)
		s.mu.Unlock()
	}
}

func (r *Router) newService(number uint64) *service {
	random := rand.New(rand.NewPCG(r.options.Seed, number))
	return &service{
		pool:             NewPool(r.options.Self, r.options.Policy, r.options.MaxConnections, random),
		queue:            NewQueue(r.options.QueueLimit),
		budget:           NewRetryBudget(),
		pendingExchanges: map[model.HostID]bool{},
	}
}

// entryHosts returns the addresses and the ids of the entry hosts that share the
// executors. Draining hosts are excluded.
func entryHosts(v *view.View, self model.HostID) (map[model.HostID]string, []model.HostID) {
	addresses := map[model.HostID]string{self: ""}
	ids := []model.HostID{self}
	for _, member := range v.Members {
		if member.Draining || member.EntryAddress == "" || member.Host == self {
			continue
		}
		addresses[member.Host] = member.EntryAddress
		ids = append(ids, member.Host)
	}
	return addresses, ids
}

// usableExecutors returns the executors that may serve requests, by service.
func usableExecutors(v *view.View) map[model.ServiceID][]model.Executor {
	byService := map[model.ServiceID][]model.Executor{}
	for _, executor := range v.Executors {
		definition, known := v.Config.Service(executor.Service)
		if !known || !isUsable(v.Config, definition, executor) {
			continue
		}
		executor.Slots = max(executor.Slots, 1)
		byService[executor.Service] = append(byService[executor.Service], executor)
	}
	return byService
}

func isUsable(cluster *config.Cluster, definition model.Service, executor model.Executor) bool {
	zone, known := cluster.Zone(executor.Zone)
	if executor.State != model.HostLive || !known || zone.OutOfService {
		return false
	}
	if len(definition.Zones) == 0 {
		return true
	}
	for _, allowed := range definition.Zones {
		if allowed == executor.Zone {
			return true
		}
	}
	return false
}

func (r *Router) service(id model.ServiceID) *service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[id]
}

// Acquire waits for a slot of an executor, for one attempt. An outcome other than Done says
// why there is none. The caller must call Release for each slot.
func (r *Router) Acquire(ctx context.Context, request SlotRequest) (model.Executor, outcome.Outcome) {
	s := r.service(request.Service)
	if s == nil {
		return model.Executor{}, outcome.NotRunBecause(outcome.ReasonUnknownService, "no service %q", request.Service)
	}
	waiter, executor, result := r.acquireOrEnqueue(s, request)
	if waiter == nil {
		return executor, result
	}
	r.wakeRun()
	select {
	case g := <-waiter.granted:
		return g.executor, g.outcome
	case <-ctx.Done():
		return r.cancelWait(s, waiter, ctx)
	}
}

// TryAcquire returns a slot for a second attempt if one is free now, no request waits for
// one, and the retry budget allows it.
func (r *Router) TryAcquire(request SlotRequest) (model.Executor, bool) {
	s := r.service(request.Service)
	if s == nil {
		return model.Executor{}, false
	}
	now := r.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Len() > 0 {
		return model.Executor{}, false
	}
	executor, free := s.pool.PickExcluding(now, request.Avoid)
	if free && !s.budget.Withdraw() {
		s.pool.Release(executor.ID, Abandoned, 0, now)
		return model.Executor{}, false
	}
	return executor, free
}

// Limits of hedging.
const (
	// hedgeFactor is the multiple of the typical latency after which a second attempt is sent.
	hedgeFactor   = 8
	minHedgeDelay = 20 * time.Millisecond
)

// HedgeDelay returns the time after which a second attempt is sent; 0 means that no
// latency is known yet.
func (r *Router) HedgeDelay(id model.ServiceID) time.Duration {
	s := r.service(id)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.typicalLatency == 0 {
		return 0
	}
	return max(hedgeFactor*s.pool.typicalLatency, minHedgeDelay)
}

func (r *Router) acquireOrEnqueue(s *service, request SlotRequest) (*Waiter, model.Executor, outcome.Outcome) {
	now := r.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(request.Deadline) {
		return nil, model.Executor{}, outcome.NotRunBecause(outcome.ReasonDeadline, "the deadline has passed")
	}
	if s.pool.Size() == 0 {
		return nil, model.Executor{}, outcome.NotRunBecause(outcome.ReasonNoExecutor, "no executor of service %q is usable", request.Service)
	}
	if s.queue.Len() == 0 {
		if executor, ok := s.pool.Pick(now, request.Avoid); ok {
			return nil, executor, outcome.Ok()
		}
	}
	if now.Add(s.expectedResponseTime()).After(request.Deadline) {
		return nil, model.Executor{}, outcome.NotRunBecause(outcome.ReasonDeadline, "the request can't finish before its deadline")
	}
	waiter := &Waiter{
		Organisation: request.Organisation,
		Weight:       request.Weight,
		Deadline:     request.Deadline,
		Avoid:        request.Avoid,
		granted:      make(chan grant, 1),
	}
	dropped := s.queue.Push(waiter)
	if dropped != nil {
		dropped.granted <- grant{outcome: outcome.NotRunBecause(outcome.ReasonOverloaded, "the queue is full")}
	}
	return waiter, model.Executor{}, outcome.Outcome{}
}

// expectedResponseTime estimates the time until a request that joins the queue completes.
func (s *service) expectedResponseTime() time.Duration {
	latency := s.pool.Latency()
	rounds := s.queue.Len() / max(s.pool.TotalInFlight(), 1)
	return latency * time.Duration(rounds+1)
}

// cancelWait ends the wait of a waiter whose context is done, and releases a slot that it
// got in the meantime.
func (r *Router) cancelWait(s *service, waiter *Waiter, ctx context.Context) (model.Executor, outcome.Outcome) {
	s.mu.Lock()
	removed := s.queue.Remove(waiter)
	s.mu.Unlock()
	if !removed {
		g := <-waiter.granted
		if g.ok {
			r.release(s, g.executor, Abandoned, 0)
		}
	}
	reason := outcome.ReasonDeadline
	if ctx.Err() == context.Canceled {
		reason = outcome.ReasonCancelled
	}
	return model.Executor{}, outcome.NotRunBecause(reason, "no slot became free in time")
}

// Load is the load of one service at this entry host.
type Load struct {
	Service model.ServiceID
	// Waiting counts queued requests, InFlight attempts, and Executors usable executors.
	Waiting, InFlight, Executors int
}

// Loads returns the load of every service.
func (r *Router) Loads() []Load {
	r.mu.RLock()
	defer r.mu.RUnlock()
	loads := make([]Load, 0, len(r.services))
	for id, s := range r.services {
		s.mu.Lock()
		loads = append(loads, Load{Service: id, Waiting: s.queue.Len(), InFlight: s.pool.TotalInFlight(), Executors: s.pool.Size()})
		s.mu.Unlock()
	}
	return loads
}

// Release returns the slot of an attempt and reports the attempt's result.
func (r *Router) Release(id model.ServiceID, executor model.Executor, result Result, elapsed time.Duration) {
	if s := r.service(id); s != nil {
		r.release(s, executor, result, elapsed)
	}
}

func (r *Router) release(s *service, executor model.Executor, result Result, elapsed time.Duration) {
	s.mu.Lock()
	transition := s.pool.Release(executor.ID, result, elapsed, r.options.Clock.Now())
	r.dispatch(s)
	s.mu.Unlock()
	if transition != TransitionNone && r.options.OnTransition != nil {
		r.options.OnTransition(executor, transition)
	}
}

// dispatch grants free slots to waiters. The caller holds s.mu.
func (r *Router) dispatch(s *service) {
	now := r.options.Clock.Now()
	for s.queue.Len() > 0 {
		waiter := s.queue.Pop()
		if now.Add(s.pool.Latency()).After(waiter.Deadline) {
			waiter.granted <- grant{outcome: outcome.NotRunBecause(outcome.ReasonDeadline, "the request can't finish before its deadline")}
			continue
		}
		executor, ok := s.pool.Pick(now, waiter.Avoid)
		if !ok {
			s.queue.Unpop(waiter)
			return
		}
		waiter.granted <- grant{executor: executor, ok: true, outcome: outcome.Ok()}
	}
}

// RecordRequest adds a request to the retry budget of its service.
func (r *Router) RecordRequest(id model.ServiceID) {
	if s := r.service(id); s != nil {
		s.mu.Lock()
		s.budget.Deposit()
		s.mu.Unlock()
	}
}

// MayRetry takes a retry from the service's budget and reports whether there was one.
func (r *Router) MayRetry(id model.ServiceID) bool {
	s := r.service(id)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Withdraw()
}
