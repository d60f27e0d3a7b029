package memory

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/store"
)

func (s *Store) grant(ttl time.Duration) store.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireDueLeases()
	s.lastLease++
	l := &lease{id: s.lastLease, ttl: ttl, expiresAt: s.clock.Now().Add(ttl)}
	l.timer = s.clock.AfterFunc(ttl, s.onLeaseTimer)
	s.leases[l.id] = l
	return l.id
}

func (s *Store) keepAlive(id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireDueLeases()
	l, exists := s.leases[id]
	if !exists {
		return errors.Wrapf(store.ErrLeaseGone, "lease %d", id)
	}
	l.expiresAt = s.clock.Now().Add(l.ttl)
	l.timer.Stop()
	l.timer = s.clock.AfterFunc(l.ttl, s.onLeaseTimer)
	return nil
}

func (s *Store) revoke(id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireDueLeases()
	l, exists := s.leases[id]
	if !exists {
		return errors.Wrapf(store.ErrLeaseGone, "lease %d", id)
	}
	s.endLease(l)
	return nil
}

// onLeaseTimer removes the expired leases when a lease's timer fires.
func (s *Store) onLeaseTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireDueLeases()
}

// expireDueLeases removes the expired leases, in order of expiry, with their keys. Every
// call to the store does this first, so that it sees no key of an expired lease even if
// the lease's timer has not fired yet.
func (s *Store) expireDueLeases() {
	now := s.clock.Now()
	var due []*lease
	for _, l := range s.leases {
		if !now.Before(l.expiresAt) {
			due = append(due, l)
		}
	}
	slices.SortFunc(due, func(a, b *lease) int {
		if c := a.expiresAt.Compare(b.expiresAt); c != 0 {
			return c
		}
		return int(a.id - b.id)
	})
	for _, l := range due {
		s.endLease(l)
	}
}

func (s *Store) endLease(l *lease) {
	l.timer.Stop()
	delete(s.leases, l.id)
	var keys []string
	for _, key := range s.sortedKeys {
		if s.values[key].Lease == l.id {
			keys = append(keys, key)
		}
	}
	next := s.revision + 1
	changes := make([]store.Change, 0, len(keys))
	for _, key := range keys {
		change, _ := s.remove(key, next)
		changes = append(changes, change)
	}
	s.publish(next, changes)
}
