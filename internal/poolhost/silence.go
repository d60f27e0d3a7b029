package poolhost

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/mirror"
)

// handleSilence notes when this host first sees each silence of a worker that an owner records, so
// that it knows as a later owner how long ago the worker's latest lease was granted.
func (h *Host) handleSilence(state mirror.State) {
	if len(state.Changed) == 0 {
		return
	}
	var record *pool.SilenceRecord
	if kv, ok := state.Keys[store.PoolSilenceKey]; ok {
		var err error
		if record, err = pool.DecodeSilence(kv.Value); err != nil {
			h.Events.RecordFields(event.EntryMalformed, event.Subject{}, event.Fields{"key": kv.Key, "revision": kv.ModRevision, "why": err.Error()})
		}
	}
	h.mu.Lock()
	h.silence.Observe(record, h.Clock.Now())
	h.mu.Unlock()
}

func (h *Host) silenceTimes() pool.SilenceTimes {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.silence.Clone()
}

// trustSilence passes what this host has seen of the record of silent workers to the pool.Owner,
// once it is certain that each owner since the writer of the record keeps to it. Without that the
// silent workers are waited for as others are.
func (t *term) trustSilence(writer store.Revision) {
	for {
		kept, err := silenceKept(t.ctx, t.host.Store, writer, t.fence)
		if t.ctx.Err() != nil || errors.Is(err, store.ErrCompacted) {
			return
		}
		t.host.recordStoreRead("owners", err)
		if err == nil {
			if kept {
				seen := t.host.silenceTimes()
				t.loop.Update(func(o *pool.Owner, now time.Time) { o.TrustSilence(seen, now) })
			}
			return
		}
		select {
		case <-t.ctx.Done():
			return
		case <-t.host.Clock.After(electionRetryInterval):
		}
	}
}

// silenceKept reports whether each owner after the one whose fencing token is writer, and before
// the one whose token is fence, keeps to the record of silent workers. Owners of earlier versions
// of this program don't.
func silenceKept(ctx context.Context, s store.Store, writer, fence store.Revision) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	watch, err := s.Watch(ctx, store.PoolOwnerKey, writer+1)
	if err != nil {
		return false, errors.Wrap(err, "read the owners since the record of silent workers")
	}
	for batch := range watch.Batches() {
		for _, change := range batch.Changes {
			switch {
			case change.Key != store.PoolOwnerKey || change.Deleted:
			case change.ModRevision == fence:
				return true, nil
			default:
				if value, err := decodeOwner(change.Value); err != nil || !value.KeepsSilence {
					return false, nil
				}
			}
		}
	}
	if err := watch.Err(); err != nil {
		return false, errors.Wrap(err, "read the owners since the record of silent workers")
	}
	return false, errors.New("read the owners since the record of silent workers: the watch ended early")
}
