// Package budget wraps a store to count its calls by kind and to refuse calls beyond a
// rate limit, the call budget. The platform's service counts each call; an open watch
// counts as one.
package budget

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/chervilrun/chervilrun/internal/store"
)

// Kind is a kind of call, the value of the metrics' label "kind".
type Kind string

// The kinds of call.
const (
	KindRange     Kind = "range"
	KindRead      Kind = "read" // a transaction that only compares and reads
	KindWrite     Kind = "write"
	KindGrant     Kind = "grant"
	KindKeepAlive Kind = "keepalive"
	KindRevoke    Kind = "revoke"
	KindWatch     Kind = "watch"
)

// Limits are the calls that a process may make per second; they are also the sizes of the
// allowed bursts. Lease calls have a budget of their own, so that a burst of writes can't
// make a lease expire.
type Limits struct {
	ReadsPerSecond  int
	WritesPerSecond int
	LeasesPerSecond int
}

// DefaultLimits allow for 18 hosts with 3 processes each within the service's capacity of
// several hundred writes and two thousand reads per second.
var DefaultLimits = Limits{ReadsPerSecond: 30, WritesPerSecond: 25, LeasesPerSecond: 5}

// ExceededError is the error of a call that the budget refuses. It unwraps to
// store.ErrUnavailable, since the call had no effect.
type ExceededError struct{ Kind Kind }

// Error implements error.
func (e ExceededError) Error() string {
	return fmt.Sprintf("store: call budget for kind %s exceeded", e.Kind)
}

// Unwrap returns store.ErrUnavailable.
func (e ExceededError) Unwrap() error { return store.ErrUnavailable }

// Store counts and limits the calls of the store that it wraps.
type Store struct {
	inner        store.Store
	clock        clockwork.Clock
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	leaseLimiter *rate.Limiter
	calls        *prometheus.CounterVec
	refusedCalls *prometheus.CounterVec
	failedCalls  *prometheus.CounterVec
	callSeconds  *prometheus.HistogramVec
}

// New wraps inner. It registers the metrics chervil_store_calls_total,
// chervil_store_refused_total, chervil_store_failed_total and
// chervil_store_call_seconds, all by kind.
func New(inner store.Store, clock clockwork.Clock, limits Limits, metrics prometheus.Registerer) *Store {
	label := []string{"kind"}
	s := &Store{
		inner:        inner,
		clock:        clock,
		readLimiter:  rate.NewLimiter(rate.Limit(limits.ReadsPerSecond), limits.ReadsPerSecond),
		writeLimiter: rate.NewLimiter(rate.Limit(limits.WritesPerSecond), limits.WritesPerSecond),
		leaseLimiter: rate.NewLimiter(rate.Limit(limits.LeasesPerSecond), limits.LeasesPerSecond),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervil_store_calls_total", Help: "Calls to the key-value service."}, label),
		refusedCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervil_store_refused_total", Help: "Calls refused by the budget of this process."}, label),
		failedCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervil_store_failed_total", Help: "Calls that failed, but for leases that have ended."}, label),
		callSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "chervil_store_call_seconds", Help: "Time of a call.", Buckets: prometheus.ExponentialBuckets(0.0005, 4, 8)}, label),
	}
	metrics.MustRegister(s.calls, s.refusedCalls, s.failedCalls, s.callSeconds)
	return s
}

// call counts and executes one call, or refuses it if the budget is exceeded.
func (s *Store) call(kind Kind, limiter *rate.Limiter, do func() error) error {
	start := s.clock.Now()
	if !limiter.AllowN(start, 1) {
		s.refusedCalls.WithLabelValues(string(kind)).Inc()
		return ExceededError{kind}
	}
	s.calls.WithLabelValues(string(kind)).Inc()
	err := do()
	s.callSeconds.WithLabelValues(string(kind)).Observe(s.clock.Since(start).Seconds())
	if err != nil && !errors.Is(err, store.ErrLeaseGone) {
		s.failedCalls.WithLabelValues(string(kind)).Inc()
	}
	return err
}

// Range implements store.Store.
func (s *Store) Range(ctx context.Context, from, to string, limit int) (page store.Page, err error) {
	err = s.call(KindRange, s.readLimiter, func() error {
		page, err = s.inner.Range(ctx, from, to, limit)
		return err
	})
	return page, err
}

// Txn implements store.Store.
func (s *Store) Txn(ctx context.Context, txn store.Txn) (result store.TxnResult, err error) {
	kind, limiter := KindRead, s.readLimiter
	if txn.Writes() {
		kind, limiter = KindWrite, s.writeLimiter
	}
	err = s.call(kind, limiter, func() error {
		result, err = s.inner.Txn(ctx, txn)
		return err
	})
	return result, err
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (lease store.LeaseID, err error) {
	err = s.call(KindGrant, s.leaseLimiter, func() error {
		lease, err = s.inner.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	return s.call(KindKeepAlive, s.leaseLimiter, func() error { return s.inner.KeepAlive(ctx, lease) })
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, lease store.LeaseID) error {
	return s.call(KindRevoke, s.leaseLimiter, func() error { return s.inner.Revoke(ctx, lease) })
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from store.Revision) (watch store.Watch, err error) {
	err = s.call(KindWatch, s.readLimiter, func() error {
		watch, err = s.inner.Watch(ctx, prefix, from)
		return err
	})
	return watch, err
}
