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
func (k *Syncer) confirmLoop(ctx context.Context) {
	nextResync := k.Clock.Now().Add(resyncInterval)
	k.runEvery(ctx, confirmInterval, func() {
		if !k.Clock.Now().Before(nextResync) {
			nextResync = k.Clock.Now().Add(resyncInterval)
			k.startStoreCall(func() { k.resync(ctx) })
		}
		k.startStoreCall(func() { k.confirm(ctx) })
		k.freshness.observe(k.Confirmation(), k.Clock.Now())
	})
}

// startStoreCall calls do in a goroutine, unless maxStoreCalls are in progress already.
func (k *Syncer) startStoreCall(do func()) {
	select {
	case k.storeCalls <- struct{}{}:
		go func() {
			defer func() { <-k.storeCalls }()
			do()
		}()
	default:
	}
}

func (k *Syncer) confirm(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, k.Clock, confirmTimeout)
	defer cancel()
	sent := k.Clock.Now()
	result, err := k.Store.Txn(ctx, k.revisionCheck())
	if err != nil {
		k.noteStoreFailure(err)
		return
	}
	k.noteStoreSuccess()
	if result.Succeeded || k.applyGets(result.Gets) {
		k.recordConfirmation(sent)
	}
}

// revisionCheck returns a read-only transaction that succeeds when the configuration and all
// epochs have the known revisions, and reads them otherwise.
func (k *Syncer) revisionCheck() store.Txn {
	view := k.Current()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, zone := range view.Config.Zones {
		key := store.EpochKey(zone.ID)
		k.revisions[key] = max(k.revisions[key], 0)
	}
	var txn store.Txn
	for key, revision := range k.revisions {
		txn.If = append(txn.If, store.Unchanged(key, revision))
		txn.Else = append(txn.Else, store.Op{Get: key})
	}
	return txn
}

// applyGets applies the values read by a failed check. It returns false when a value could
// not be applied.
func (k *Syncer) applyGets(gets []*store.KeyValue) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	current := k.Current()
	s := storeState{members: k.members, owners: current.Owners, epochs: current.Epochs}
	complete := true
	for _, kv := range gets {
		if kv == nil {
			continue
		}
		k.applyKey(&s, store.Change{KeyValue: *kv})
		complete = complete && k.revisions[kv.Key] >= kv.ModRevision
	}
	k.publish(s)
	return complete
}

// recordConfirmation records a confirmation by the store that was requested at the given time.
func (k *Syncer) recordConfirmation(sent time.Time) {
	k.mu.Lock()
	k.storeConfirmedAt = later(k.storeConfirmedAt, sent)
	k.localChanges.applyConfirmation(sent)
	k.notifyConfirmed()
	k.mu.Unlock()
	k.freshness.observe(k.Confirmation(), k.Clock.Now())
}

// notifyConfirmed wakes the waiting calls of WatchView. The caller holds k.mu.
func (k *Syncer) notifyConfirmed() {
	close(k.nextConfirmation)
	k.nextConfirmation = make(chan struct{})
}

func (k *Syncer) noteStoreFailure(err error) {
	k.mu.Lock()
	first := !k.storeDown
	k.storeDown = true
	k.mu.Unlock()
	if first && err != nil {
		k.Events.Record(event.StoreUnavailable, k.subject(), err.Error())
	}
}

func (k *Syncer) noteStoreSuccess() {
	k.mu.Lock()
	recovered := k.storeDown
	k.storeDown = false
	k.mu.Unlock()
	if recovered {
		k.Events.Record(event.StoreRecovered, k.subject(), "")
	}
}
