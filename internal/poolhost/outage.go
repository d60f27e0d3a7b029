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
	// outagePatience is how long after the begin of an outage a call waits for its end;
	// later calls are refused at once.
	outagePatience = 500 * time.Millisecond
	// probeTimeout bounds a read that tells a store which is away from one that has lost
	// an answer, and probeInterval is the time between two.
	probeTimeout  = 400 * time.Millisecond
	probeInterval = 200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what callers are told to wait: an outage is
	// expected to last about as long again as it has lasted.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// outage follows whether this host reaches the store. Only reads are evidence: they fail
// for certain, while a write may also have lost just its answer.
type outage struct {
	mu sync.Mutex
	// failing holds the reads that fail now and why. While one fails that proves an outage,
	// since is when the outage began, and over is closed at its end.
	failing map[string]error
	away    bool
	since   time.Time
	over    chan struct{}
	probing bool
}

func newOutage() *outage { return &outage{failing: map[string]error{}} }

// note takes in the result of a read and reports whether it fails now and did not before,
// or the other way round.
func (o *outage) note(read string, err error, now time.Time) (changed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, before := o.failing[read]
	if err != nil {
		o.failing[read] = err
	} else {
		delete(o.failing, read)
	}
	o.judge(now)
	return before != (err != nil)
}

// forget drops reads that are not made any more.
func (o *outage) forget(now time.Time, reads ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, read := range reads {
		delete(o.failing, read)
	}
	o.judge(now)
}

// judge works out whether the store is out of reach. One that has dropped its history is
// not. The caller holds the lock.
func (o *outage) judge(now time.Time) {
	away := false
	for _, err := range o.failing {
		away = away || !errors.Is(err, store.ErrCompacted)
	}
	switch {
	case away && !o.away:
		o.since, o.over = now, make(chan struct{})
	case !away && o.away:
		close(o.over)
	}
	o.away = away
}

// state returns since when the store is out of reach, and a channel that is closed when
// it is back; false when it is in reach.
func (o *outage) state() (since time.Time, over <-chan struct{}, away bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.since, o.over, o.away
}

// reads lists the reads that fail now, in order.
func (o *outage) reads() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Sorted(maps.Keys(o.failing))
}

// awaitStore waits a little for a store that is out of reach. An error means that it still
// is, and that nothing was sent.
func (h *Host) awaitStore(ctx context.Context) error {
	since, over, away := h.outage.state()
	if !away {
		return nil
	}
	left := outagePatience - h.Clock.Now().Sub(since)
	if left > 0 {
		select {
		case <-over:
			return nil
		case <-ctx.Done():
		case <-h.Clock.After(left):
		}
	}
	return errors.Wrapf(store.ErrUnavailable, "not reached for %d ms", h.Clock.Now().Sub(since).Milliseconds())
}

// retryAfter is what a caller is told to wait whose call needs the store.
func (o *outage) retryAfter(now time.Time) time.Duration {
	since, _, away := o.state()
	if !away {
		return minRetryAfter
	}
	return min(max(minRetryAfter, now.Sub(since)), maxRetryAfter)
}

// RetryAfter is what a caller is told to wait whose call needs the store.
func (h *Host) RetryAfter() time.Duration { return h.outage.retryAfter(h.Clock.Now()) }

// suspectStore finds out whether the store is out of reach, after a write without an
// answer.
func (h *Host) suspectStore() {
	h.outage.mu.Lock()
	defer h.outage.mu.Unlock()
	if h.outage.probing {
		return
	}
	h.outage.probing = true
	h.background(h.probe)
}

// probe reads until the store answers.
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
		h.noteStore("probe", err)
		if err == nil {
			return
		}
		select {
		case <-h.ctx.Done():
		case <-h.Clock.After(probeInterval):
		}
	}
}
