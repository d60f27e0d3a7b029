package poolhost

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/store"
)

// Timing of outages of the store.
const (
	// maxOutageWait is how long after the start of an outage calls wait for its end;
	// afterwards they fail at once.
	maxOutageWait = 500 * time.Millisecond
	// probeTimeout limits a read that distinguishes an unreachable store from a lost
	// response, and probeInterval is the time between two such reads.
	probeTimeout  = 400 * time.Millisecond
	probeInterval = 200 * time.Millisecond
	// minRetryAfter and maxRetryAfter limit the retry-after time returned to callers.
	// Between them it is the duration of the outage so far, since an outage is expected to
	// last about as long again.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// outageTracker tracks whether this host can reach the store. It uses the results of reads
// only, since a write without a response may have taken effect.
type outageTracker struct {
	mu sync.Mutex
	// failingReads holds the reads that currently fail, with their errors. While the store
	// is unreachable, startedAt is when the outage began, and ended is closed at its end.
	failingReads map[string]error
	unreachable  bool
	startedAt    time.Time
	ended        chan struct{}
	probing      bool
}

func newOutageTracker() *outageTracker { return &outageTracker{failingReads: map[string]error{}} }

// recordRead records the result of a read and reports whether the read has started to fail
// or has recovered.
func (o *outageTracker) recordRead(read string, err error, now time.Time) (changed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, wasFailing := o.failingReads[read]
	if err != nil {
		o.failingReads[read] = err
	} else {
		delete(o.failingReads, read)
	}
	o.updateLocked(now)
	return wasFailing != (err != nil)
}

// forget removes reads that are no longer made.
func (o *outageTracker) forget(now time.Time, reads ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, read := range reads {
		delete(o.failingReads, read)
	}
	o.updateLocked(now)
}

// updateLocked determines whether the store is unreachable. A failure due to a compacted
// history doesn't count. The caller holds the lock.
func (o *outageTracker) updateLocked(now time.Time) {
	unreachable := false
	for _, err := range o.failingReads {
		unreachable = unreachable || !errors.Is(err, store.ErrCompacted)
	}
	switch {
	case unreachable && !o.unreachable:
		o.startedAt, o.ended = now, make(chan struct{})
	case !unreachable && o.unreachable:
		close(o.ended)
	}
	o.unreachable = unreachable
}

// state returns since when the store is unreachable, and a channel that is closed when it
// is reachable again; false when it is reachable.
func (o *outageTracker) state() (startedAt time.Time, ended <-chan struct{}, unreachable bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.startedAt, o.ended, o.unreachable
}

// listFailingReads returns the names of the reads that currently fail, sorted.
func (o *outageTracker) listFailingReads() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Sorted(maps.Keys(o.failingReads))
}

// awaitStore waits for a short time if the store is unreachable. An error means that the
// store still is, or that ctx has ended, and that nothing was sent.
func (h *Host) awaitStore(ctx context.Context) error {
	startedAt, ended, unreachable := h.outage.state()
	if !unreachable {
		return nil
	}
	left := maxOutageWait - h.Clock.Now().Sub(startedAt)
	if left > 0 {
		select {
		case <-ended:
			return nil
		case <-ctx.Done():
		case <-h.Clock.After(left):
		}
	}
	return errors.Wrapf(store.ErrUnavailable, "unreachable for %d ms", h.Clock.Now().Sub(startedAt).Milliseconds())
}

// retryAfter returns how long a caller whose request needs the store should wait before a
// retry.
func (o *outageTracker) retryAfter(now time.Time) time.Duration {
	startedAt, _, unreachable := o.state()
	if !unreachable {
		return minRetryAfter
	}
	return min(max(minRetryAfter, now.Sub(startedAt)), maxRetryAfter)
}

// RetryAfter returns how long a caller whose request needs the store should wait before a
// retry.
func (h *Host) RetryAfter() time.Duration { return h.outage.retryAfter(h.Clock.Now()) }

// startProbe determines in the background whether the store is unreachable, after a write
// without a response.
func (h *Host) startProbe() {
	h.outage.mu.Lock()
	defer h.outage.mu.Unlock()
	if h.outage.probing {
		return
	}
	h.outage.probing = true
	h.background(h.probe)
}

// probe reads until the store responds.
func (h *Host) probe() {
	defer func() {
		h.outage.mu.Lock()
		h.outage.probing = false
		h.outage.mu.Unlock()
	}()
	for h.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(h.ctx, probeTimeout)
		_, err := h.Store.Range(ctx, store.PoolOwnerKey, store.PrefixEnd(store.PoolOwnerKey), 1)
		cancel()
		if h.ctx.Err() != nil {
			return
		}
		h.recordStoreRead("probe", err)
		if err == nil {
			return
		}
		select {
		case <-h.ctx.Done():
		case <-h.Clock.After(probeInterval):
		}
	}
}
