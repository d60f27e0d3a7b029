// Package membership registers an entry host as a member of the cluster. The host's scheduler
// holds one lease, to which the host's member key and the keys of the zones that it owns
// are attached; when the scheduler dies, they expire together.
package membership

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/view"
)

// Timing of the lease.
const (
	// renewalsPerTTL is the number of renewals within one TTL.
	renewalsPerTTL = 3
	// marginDivisor gives the safety margin before the lease expires as a fraction of its
	// TTL. It covers clock drift and operations in flight when the lease is checked.
	marginDivisor = 10
	// retryInterval is the wait after a failed call to the store.
	retryInterval = 200 * time.Millisecond
)

// DefaultTTL is the default TTL of a host's lease. The store service supports whole seconds
// only.
const DefaultTTL = 5 * time.Second

// Session maintains the lease and the member key. It is safe for concurrent use.
type Session struct {
	store  store.Store
	clock  clockwork.Clock
	events *event.Recorder
	ttl    time.Duration

	mu     sync.Mutex
	member view.Member
	lease  store.LeaseID
	// usableUntil is when the last successful grant or renewal was sent, plus the TTL, minus
	// the margin.
	usableUntil time.Time
	// writtenMember is the value that the member key is known to hold.
	writtenMember  view.Member
	leaseChanged   chan struct{}
	renewRequested chan struct{}
	failing        bool
}

// NewSession returns a session without a lease. ttl must be a whole number of seconds.
func NewSession(s store.Store, member view.Member, clock clockwork.Clock, events *event.Recorder, ttl time.Duration) *Session {
	return &Session{
		store:          s,
		clock:          clock,
		events:         events,
		ttl:            ttl,
		member:         member,
		leaseChanged:   make(chan struct{}),
		renewRequested: make(chan struct{}, 1),
	}
}

// Lease returns the current lease and whether it is usable now. It checks the clock, so that
// a process that was paused finds the lease expired.
func (s *Session) Lease() (lease store.LeaseID, usable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease, s.lease != 0 && s.clock.Now().Before(s.usableUntil)
}

// Member returns the member to register.
func (s *Session) Member() view.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member
}

// LeaseChanged returns a channel that is closed when the session gets a new lease.
func (s *Session) LeaseChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseChanged
}

// SetDraining marks the member as draining and requests a renewal, which writes it.
func (s *Session) SetDraining() {
	s.mu.Lock()
	s.member.Draining = true
	s.mu.Unlock()
	s.requestRenewal()
}

// Registered reports whether the member key holds the current member.
func (s *Session) Registered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writtenMember == s.member
}

// Run maintains the lease and the member key until ctx ends. It does not revoke the lease.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := s.renewOnce(ctx)
		select {
		case <-ctx.Done():
		case <-s.renewRequested:
		case <-s.clock.After(wait):
		}
	}
}

// renewOnce renews the lease and returns the wait until the next renewal. The wait is measured
// from the time of sending, so that a slow store does not make renewals less frequent.
func (s *Session) renewOnce(ctx context.Context) time.Duration {
	sent := s.clock.Now()
	if err := s.renew(ctx); err != nil {
		s.noteFailure(ctx, err)
		return retryInterval
	}
	s.noteSuccess()
	return max(s.ttl/renewalsPerTTL-s.clock.Since(sent), 0)
}

// RewriteMember makes the session write the member key again after another process has deleted it.
func (s *Session) RewriteMember() {
	s.mu.Lock()
	s.writtenMember = view.Member{}
	s.mu.Unlock()
	s.requestRenewal()
}

func (s *Session) requestRenewal() {
	select {
	case s.renewRequested <- struct{}{}:
	default:
	}
}

// Leave revokes the lease, which deletes the member key and all other keys attached to it.
func (s *Session) Leave(ctx context.Context) error {
	s.mu.Lock()
	lease := s.lease
	s.lease = 0
	s.mu.Unlock()
	if lease == 0 {
		return nil
	}
	err := s.store.Revoke(ctx, lease)
	if errors.Is(err, store.ErrLeaseGone) {
		return nil
	}
	return err
}

// renew obtains or renews the lease, and writes the member key when it is missing or outdated.
func (s *Session) renew(ctx context.Context) error {
	timeoutCtx, cancel := clockwork.WithTimeout(ctx, s.clock, s.ttl-s.ttl/marginDivisor)
	defer cancel()
	lease, err := s.renewOrGrant(timeoutCtx)
	if errors.Is(err, store.ErrLeaseGone) {
		s.forgetLease()
		lease, err = s.renewOrGrant(timeoutCtx)
	}
	if err != nil {
		return err
	}
	return s.register(timeoutCtx, lease)
}

// renewOrGrant renews the lease, or grants one when there is none.
func (s *Session) renewOrGrant(ctx context.Context) (store.LeaseID, error) {
	s.mu.Lock()
	lease := s.lease
	s.mu.Unlock()
	sent := s.clock.Now()
	var err error
	if lease == 0 {
		// If the response is lost, the granted lease has no keys and expires by itself.
		lease, err = s.store.Grant(ctx, s.ttl)
	} else {
		err = s.store.KeepAlive(ctx, lease)
	}
	if err != nil {
		return 0, err
	}
	s.recordLease(lease, sent)
	return lease, nil
}

func (s *Session) recordLease(lease store.LeaseID, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usableUntil = sent.Add(s.ttl - s.ttl/marginDivisor)
	if lease == s.lease {
		return
	}
	s.lease = lease
	close(s.leaseChanged)
	s.leaseChanged = make(chan struct{})
}

func (s *Session) forgetLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = 0
	s.writtenMember = view.Member{}
}

// register writes the member key under the lease if necessary. It reads the key first, so that
// it does not write again after a lost response.
func (s *Session) register(ctx context.Context, lease store.LeaseID) error {
	if s.Registered() {
		return nil
	}
	member := s.Member()
	value, err := json.Marshal(member)
	if err != nil {
		panic(errors.Wrap(err, "membership: encode member"))
	}
	key := store.MemberKey(member.Host)
	current, err := s.store.Txn(ctx, store.Txn{Then: []store.Op{{Get: key}}})
	if err != nil {
		return err
	}
	condition := store.Absent(key)
	if kv := current.Gets[0]; kv != nil {
		if kv.Lease == lease && string(kv.Value) == string(value) {
			s.recordRegistered(member)
			return nil
		}
		condition = store.Unchanged(key, kv.ModRevision)
	}
	result, err := s.store.Txn(ctx, store.Txn{
		If:   []store.Compare{condition},
		Then: []store.Op{{Put: &store.Put{Key: key, Value: value, Lease: lease}}},
	})
	if err == nil && !result.Succeeded {
		err = errors.Errorf("another process registers the host %s at the same time", member.Host)
	}
	if err != nil {
		return err
	}
	s.recordRegistered(member)
	return nil
}

func (s *Session) recordRegistered(member view.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writtenMember = member
}

func (s *Session) noteFailure(ctx context.Context, err error) {
	s.mu.Lock()
	first := !s.failing
	s.failing = true
	s.mu.Unlock()
	if first && ctx.Err() == nil {
		number := event.StoreUnavailable
		if errors.Is(err, store.ErrResponseLost) {
			number = event.StoreResponseLost
		}
		s.events.Record(number, event.Subject{Host: string(s.member.Host)}, err.Error())
	}
}

func (s *Session) noteSuccess() {
	s.mu.Lock()
	recovered := s.failing
	s.failing = false
	s.mu.Unlock()
	if recovered {
		s.events.Record(event.StoreRecovered, event.Subject{Host: string(s.member.Host)}, "")
	}
}
