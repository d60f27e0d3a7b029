// Package mirror keeps a local copy of the keys under a prefix of the store: it reads them
// once, then applies their changes from a watch.
package mirror

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/store"
)

// State is a snapshot of the copy. Receivers must neither modify nor retain Keys.
type State struct {
	// Keys holds the current keys and values.
	Keys map[string]store.KeyValue
	// Changed lists the keys that differ from the previous state; those missing in Keys
	// were deleted.
	Changed []string
	// Confirmed is when the read behind this state was sent; the store held no later
	// change of these keys at that time.
	Confirmed time.Time
	Revision  store.Revision
}

// Options configure a mirror.
type Options struct {
	Store  store.Store
	Prefix string
	Clock  clockwork.Clock
	// OnState receives each state in order, including states without changes, which
	// confirm the previous one. It must not block.
	OnState func(State)
	// OnError is called with the error when a read or the watch fails, and with nil after
	// each success.
	OnError func(error)
	// Timeout limits the time of one read of all keys.
	Timeout time.Duration
}

// Limits of the exponential backoff while the store can't be read.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// pageSize is the largest number of keys requested in one call.
const pageSize = 500

// Follow keeps the copy until ctx ends.
func Follow(ctx context.Context, o Options) {
	m := &mirror{Options: o, keys: map[string]store.KeyValue{}}
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		err := m.loadAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		o.OnError(err)
		if m.progressed {
			retryDelay = minRetryDelay
		}
		m.progressed = false
		select {
		case <-ctx.Done():
		case <-o.Clock.After(retryDelay):
		}
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

type mirror struct {
	Options
	keys     map[string]store.KeyValue
	revision store.Revision
	// loaded is true once all keys have been read; a compaction resets it.
	loaded bool
	// progressed is true if a state has been published since the last failure.
	progressed bool
}

func (m *mirror) loadAndWatch(ctx context.Context) error {
	if !m.loaded {
		if err := m.readAll(ctx); err != nil {
			return err
		}
	}
	watch, err := m.Store.Watch(ctx, m.Prefix, m.revision+1)
	if err == nil {
		for batch := range watch.Batches() {
			m.apply(batch)
		}
		err = watch.Err()
	}
	if errors.Is(err, store.ErrCompacted) {
		m.loaded = false
	}
	return err
}

// readAll reads all pages. The pages may have different revisions, so the watch continues
// from the revision of the first one and delivers again what changed meanwhile.
func (m *mirror) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.Timeout)
	defer cancel()
	sentAt := m.Clock.Now()
	current := map[string]store.KeyValue{}
	var revision store.Revision
	from, to := m.Prefix, store.PrefixEnd(m.Prefix)
	for {
		page, err := m.Store.Range(ctx, from, to, pageSize)
		if err != nil {
			return err
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, kv := range page.KeyValues {
			current[kv.Key] = kv
		}
		if !page.More || len(page.KeyValues) == 0 {
			break
		}
		from = page.KeyValues[len(page.KeyValues)-1].Key + "\x00"
	}
	changed := changedKeys(m.keys, current)
	m.keys, m.revision, m.loaded = current, revision, true
	m.publish(changed, sentAt)
	return nil
}

func changedKeys(before, after map[string]store.KeyValue) []string {
	var changed []string
	for key, kv := range after {
		if old, ok := before[key]; !ok || old.ModRevision != kv.ModRevision {
			changed = append(changed, key)
		}
	}
	for key := range before {
		if _, ok := after[key]; !ok {
			changed = append(changed, key)
		}
	}
	return changed
}

func (m *mirror) apply(batch store.WatchBatch) {
	var changed []string
	for _, change := range batch.Changes {
		old, known := m.keys[change.Key]
		if known && change.ModRevision <= old.ModRevision || !known && change.Deleted {
			continue
		}
		changed = append(changed, change.Key)
		if change.Deleted {
			delete(m.keys, change.Key)
		} else {
			m.keys[change.Key] = change.KeyValue
		}
	}
	m.revision = max(m.revision, batch.Revision)
	m.publish(changed, batch.AsOf)
}

func (m *mirror) publish(changed []string, confirmed time.Time) {
	m.progressed = true
	m.OnError(nil)
	m.OnState(State{Keys: m.keys, Changed: changed, Confirmed: confirmed, Revision: m.revision})
}
