package view

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/store"
)

// confirmLoop asks the store once per interval whether the configuration and the epochs in
// the view are the latest. Calls overlap while the store is slow.
func (s *Syncer) confirmLoop(ctx context.Context) {
	nextResync := s.Clock.Now().Add(resyncInterval)
	s.runEvery(ctx, confirmInterval, func() {
		if !s.Clock.Now().Before(nextResync) {
			nextResync = s.Clock.Now().Add(resyncInterval)
			s.startStoreCall(func() { s.resync(ctx) })
		}
		s.startStoreCall(func() { s.confirm(ctx) })
		s.freshness.observe(s.Confirmation(), s.Clock.Now())
	})
}

// startStoreCall calls do in a goroutine, unless maxStoreCalls are in flight already.
func (s *Syncer) startStoreCall(do func()) {
	select {
	case s.storeCalls <- struct{}{}:
		go func() {
			defer func() { <-s.storeCalls }()
			do()
		}()
	default:
	}
}

func (s *Syncer) confirm(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, confirmTimeout)
	defer cancel()
	sent := s.Clock.Now()
	result, err := s.Store.Txn(ctx, s.revisionCheck())
	if err != nil {
		s.noteStoreFailure(err)
		return
	}
	s.noteStoreSuccess()
	if result.Succeeded || s.applyGets(result.Gets) {
		s.recordConfirmation(sent)
	}
}

// revisionCheck returns a read-only transaction that succeeds when the configuration and all
// epochs have the known revisions, and reads them otherwise.
func (s *Syncer) revisionCheck() store.Txn {
	view := s.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, zone := range view.Config.Zones {
		key := store.EpochKey(zone.ID)
		s.revisions[key] = max(s.revisions[key], 0)
	}
	var txn store.Txn
	for key, revision := range s.revisions {
		txn.If = append(txn.If, store.Unchanged(key, revision))
		txn.Else = append(txn.Else, store.Op{Get: key})
	}
	return txn
}

// applyGets applies the values read by a failed check. It returns false when a value could
// not be applied.
func (s *Syncer) applyGets(gets []*store.KeyValue) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Current()
	state := storeState{members: s.members, owners: current.Owners, epochs: current.Epochs}
	complete := true
	for _, kv := range gets {
		if kv == nil {
			continue
		}
		s.applyKey(&state, store.Change{KeyValue: *kv})
		complete = complete && s.revisions[kv.Key] >= kv.ModRevision
	}
	s.publish(state)
	return complete
}

// recordConfirmation records a confirmation by the store that was requested at the given time.
func (s *Syncer) recordConfirmation(sent time.Time) {
	s.mu.Lock()
	s.storeConfirmedAt = later(s.storeConfirmedAt, sent)
	s.localChanges.applyConfirmation(sent)
	s.notifyConfirmed()
	s.mu.Unlock()
	s.freshness.observe(s.Confirmation(), s.Clock.Now())
}

// notifyConfirmed wakes the waiting calls of WatchView. The caller holds s.mu.
func (s *Syncer) notifyConfirmed() {
	close(s.nextConfirmation)
	s.nextConfirmation = make(chan struct{})
}

func (s *Syncer) noteStoreFailure(err error) {
	s.mu.Lock()
	first := !s.storeDown
	s.storeDown = true
	s.mu.Unlock()
	if first && err != nil {
		s.Events.Record(event.StoreUnavailable, s.subject(), err.Error())
	}
}

func (s *Syncer) noteStoreSuccess() {
	s.mu.Lock()
	recovered := s.storeDown
	s.storeDown = false
	s.mu.Unlock()
	if recovered {
		s.Events.Record(event.StoreRecovered, s.subject(), "")
	}
}
