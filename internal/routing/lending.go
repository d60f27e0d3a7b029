package routing

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// exchangeTimeout is how long another entry host may take to respond to a loan request.
const exchangeTimeout = 300 * time.Millisecond

// dispatchInterval is the interval at which waiting requests are dispatched again, since
// executors that were paused or ejected may be usable again.
const dispatchInterval = 20 * time.Millisecond

// Run exchanges loans of executor slots with other entry hosts until ctx ends: while
// requests wait, and every ExchangeInterval.
func (r *Router) Run(ctx context.Context) {
	timer := r.options.Clock.NewTimer(dispatchInterval)
	defer timer.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.Chan():
		case <-r.wakeup:
		}
		interval := ExchangeInterval
		for id, s := range r.currentServices() {
			loanRequests, next := r.dueLoanRequests(id, s)
			interval = min(interval, next)
			for home, request := range loanRequests {
				running.Go(func() { r.exchange(ctx, s, home, request) })
			}
		}
		timer.Reset(interval)
	}
}

// currentServices returns a copy of the map of services.
func (r *Router) currentServices() map[model.ServiceID]*service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.services)
}

// dueLoanRequests dispatches waiting requests and returns the loan requests to send now, by
// home host (the host that lends the slots), and the time until the next check. Each home
// host has at most one exchange in flight.
func (r *Router) dueLoanRequests(id model.ServiceID, s *service) (loanRequests map[model.HostID]LoanRequest, next time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.dispatch(s)
	if r.options.LoanClient == nil {
		return nil, s.untilNextCheck(r.options.Clock.Now())
	}
	loanRequests = s.pool.DueLoanRequests(id, s.queue.Len(), s.pendingExchanges, r.options.Clock.Now())
	for home := range loanRequests {
		s.pendingExchanges[home] = true
	}
	return loanRequests, s.untilNextCheck(r.options.Clock.Now())
}

// untilNextCheck returns the time until the service must be checked again:
// dispatchInterval while requests wait, else the time until the next exchange, but at
// least dispatchInterval. The caller holds s.mu.
func (s *service) untilNextCheck(now time.Time) time.Duration {
	if s.queue.Len() > 0 {
		return dispatchInterval
	}
	return max(s.pool.nextExchange.Sub(now), dispatchInterval)
}

// exchange sends a loan request to its home host and applies the response.
func (r *Router) exchange(ctx context.Context, s *service, home model.HostID, request LoanRequest) {
	r.mu.RLock()
	address := r.hostAddresses[home]
	r.mu.RUnlock()
	sent := r.options.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := r.options.LoanClient.Exchange(ctx, address, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingExchanges, home)
	if err != nil {
		s.pool.ApplyResponse(home, nil, sent)
	} else {
		s.pool.ApplyResponse(home, &response, sent)
	}
	r.dispatch(s)
	if s.queue.Len() > 0 {
		r.wakeRun()
	}
}

// wakeRun makes Run start due exchanges without waiting for its timer.
func (r *Router) wakeRun() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// Lend serves a loan request of another entry host.
func (r *Router) Lend(request LoanRequest) LoanResponse {
	s := r.service(request.Service)
	if s == nil {
		return LoanResponse{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Lend(request, s.queue.Len(), r.options.Clock.Now())
}
