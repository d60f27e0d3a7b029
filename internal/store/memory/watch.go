package memory

import (
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/store"
)

// watchBuffer is the number of batches that a watch buffers for a slow reader before it
// fails.
const watchBuffer = 4096

// watch is a running watch. Its fields are guarded by the store's mutex.
type watch struct {
	store   *Store
	client  *Client
	prefix  string
	batches chan store.WatchBatch
	err     error
	ended   bool
	onEnd   func()
}

func (s *Store) watch(client *Client, prefix string, from store.Revision) (*watch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireDueLeases()
	if from != 0 && from <= s.compactedRevision {
		return nil, errors.Wrapf(store.ErrCompacted, "revision %d, oldest available %d", from, s.compactedRevision+1)
	}
	w := &watch{store: s, client: client, prefix: prefix, batches: make(chan store.WatchBatch, watchBuffer)}
	s.watches[w] = struct{}{}
	if from != 0 {
		s.replay(w, from)
	}
	w.enqueue(store.WatchBatch{Revision: s.revision})
	return w, nil
}

// replay sends the changes in the history from revision from on, one batch per revision.
func (s *Store) replay(w *watch, from store.Revision) {
	var batch []store.Change
	for i, change := range s.history {
		if change.ModRevision < from {
			continue
		}
		batch = append(batch, change)
		last := i+1 == len(s.history)
		if last || s.history[i+1].ModRevision != change.ModRevision {
			w.enqueue(store.WatchBatch{Revision: change.ModRevision, Changes: changesUnder(w.prefix, batch)})
			batch = nil
		}
	}
}

// enqueue queues a batch. An empty one, as from changes outside the prefix, is queued only
// if the queue is empty, as a progress notification.
func (w *watch) enqueue(batch store.WatchBatch) {
	if w.ended || len(batch.Changes) == 0 && len(w.batches) > 0 {
		return
	}
	batch.AsOf = w.store.clock.Now()
	select {
	case w.batches <- batch:
	default:
		w.end(errors.Wrap(store.ErrUnavailable, "the watch's reader is too slow"))
	}
}

func (w *watch) end(err error) {
	if w.ended {
		return
	}
	w.ended = true
	w.err = err
	delete(w.store.watches, w)
	close(w.batches)
	if w.onEnd != nil {
		w.onEnd()
	}
}

func (w *watch) cancel(err error) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.end(err)
}

// setOnEnd sets a function to call once the watch has ended; if it has, it is called now.
func (w *watch) setOnEnd(onEnd func()) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.onEnd = onEnd
	if w.ended {
		onEnd()
	}
}

func (s *Store) endWatches(err error) {
	for w := range s.watches {
		w.end(err)
	}
}

// Batches implements store.Watch.
func (w *watch) Batches() <-chan store.WatchBatch { return w.batches }

// Err implements store.Watch.
func (w *watch) Err() error {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	return w.err
}
