package etcd

import (
	"context"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/etcd/wire"
)

// watch reads the stream of one watch.
type watch struct {
	batches chan store.WatchBatch

	mu  sync.Mutex
	err error
}

// Watch implements store.Store. It returns once the service has created the watch.
func (s *Store) Watch(ctx context.Context, prefix string, from store.Revision) (store.Watch, error) {
	request := wire.WatchRequest{Create: wire.WatchCreate{
		Key:           []byte(prefix),
		RangeEnd:      []byte(store.PrefixEnd(prefix)),
		StartRevision: int64(from),
	}}
	ctx, cancel := context.WithCancel(ctx)
	decoder, body, first, err := s.openWatch(ctx, cancel, request)
	if err != nil {
		cancel()
		return nil, err
	}
	w := &watch{batches: make(chan store.WatchBatch)}
	go func() {
		defer cancel()
		defer body.Close()
		w.run(ctx, decoder, first)
	}()
	return w, nil
}

// openWatch starts the watch and waits for its first message, at most for the call timeout.
func (s *Store) openWatch(ctx context.Context, cancel context.CancelFunc, request wire.WatchRequest) (*json.Decoder, io.Closer, store.WatchBatch, error) {
	deadlineCtx, cancelDeadline := context.WithTimeout(ctx, s.timeout)
	defer cancelDeadline()
	stopTimeout := context.AfterFunc(deadlineCtx, cancel)
	body, err := s.post(ctx, wire.PathWatch, request, false)
	if err != nil {
		return nil, nil, store.WatchBatch{}, err
	}
	decoder := json.NewDecoder(body)
	first, err := nextBatch(decoder)
	if err == nil && !stopTimeout() {
		err = errors.Wrap(store.ErrUnavailable, "the watch was not created within the call timeout")
	}
	if err != nil {
		body.Close()
		return nil, nil, store.WatchBatch{}, err
	}
	return decoder, body, first, nil
}

func (w *watch) run(ctx context.Context, decoder *json.Decoder, batch store.WatchBatch) {
	defer close(w.batches)
	for {
		select {
		case w.batches <- batch:
		case <-ctx.Done():
			w.setErr(ctx.Err())
			return
		}
		var err error
		if batch, err = nextBatch(decoder); err != nil {
			w.setErr(err)
			return
		}
	}
}

// nextBatch reads one message of the stream.
func nextBatch(decoder *json.Decoder) (store.WatchBatch, error) {
	var message wire.StreamedWatch
	err := decoder.Decode(&message)
	switch {
	case err != nil:
		return store.WatchBatch{}, errors.Wrap(store.ErrUnavailable, err.Error())
	case message.Error != nil:
		return store.WatchBatch{}, errors.Wrap(store.ErrUnavailable, message.Error.Message)
	case message.Result == nil:
		return store.WatchBatch{}, errors.Wrap(store.ErrUnavailable, "empty message in the watch's stream")
	case message.Result.CompactRevision != 0:
		return store.WatchBatch{}, errors.Wrapf(store.ErrCompacted, "oldest available revision %d", message.Result.CompactRevision)
	case message.Result.Canceled:
		return store.WatchBatch{}, errors.Wrap(store.ErrUnavailable, "the service cancelled the watch")
	}
	batch := store.WatchBatch{Revision: store.Revision(message.Result.Header.Revision)}
	for _, e := range message.Result.Events {
		change := store.Change{KeyValue: keyValue(e.Kv), Deleted: e.Type == wire.EventDelete}
		batch.Changes = append(batch.Changes, change)
	}
	return batch, nil
}

func (w *watch) setErr(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = err
}

// Batches implements store.Watch.
func (w *watch) Batches() <-chan store.WatchBatch { return w.batches }

// Err implements store.Watch.
func (w *watch) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}
