package ownership_test

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chervilrun/chervilrun/internal/store"
)

// pauser simulates stopping and continuing a process (SIGSTOP, SIGCONT): while it is
// paused, no timer fires and no response arrives.
type pauser struct {
	mu sync.Mutex
	// resumed is nil unless the process is paused; resume closes it.
	resumed chan struct{}
}

func (p *pauser) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

func (p *pauser) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

func (p *pauser) paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed != nil
}

func (p *pauser) wait() { p.waitFor(context.Background()) }

// waitFor waits while the process is paused, at most until ctx ends.
func (p *pauser) waitFor(ctx context.Context) {
	for {
		p.mu.Lock()
		resumed := p.resumed
		p.mu.Unlock()
		if resumed == nil || ctx.Err() != nil {
			return
		}
		select {
		case <-resumed:
		case <-ctx.Done():
		}
	}
}

// pausableClock delays timers and tickers while the process is paused; Now is not
// affected.
type pausableClock struct {
	clockwork.Clock
	pauser *pauser
}

// After implements clockwork.Clock.
func (c *pausableClock) After(d time.Duration) <-chan time.Time { return c.NewTimer(d).Chan() }

// Sleep implements clockwork.Clock.
func (c *pausableClock) Sleep(d time.Duration) {
	c.Clock.Sleep(d)
	c.pauser.wait()
}

// NewTimer implements clockwork.Clock. Reset is not supported.
func (c *pausableClock) NewTimer(d time.Duration) clockwork.Timer {
	inner := c.Clock.NewTimer(d)
	t := &pausableTimer{Timer: inner, fired: make(chan time.Time, 1), stopped: make(chan struct{})}
	go func() {
		select {
		case now := <-inner.Chan():
			c.pauser.wait()
			t.fired <- now
		case <-t.stopped:
		}
	}()
	return t
}

type pausableTimer struct {
	clockwork.Timer
	fired   chan time.Time
	stopped chan struct{}
	once    sync.Once
}

// Chan implements clockwork.Timer.
func (t *pausableTimer) Chan() <-chan time.Time { return t.fired }

// Stop implements clockwork.Timer.
func (t *pausableTimer) Stop() bool {
	t.once.Do(func() { close(t.stopped) })
	return t.Timer.Stop()
}

// NewTicker implements clockwork.Clock.
func (c *pausableClock) NewTicker(d time.Duration) clockwork.Ticker {
	inner := c.Clock.NewTicker(d)
	t := &pausableTicker{Ticker: inner, ticks: make(chan time.Time, 1), stopped: make(chan struct{})}
	go func() {
		for {
			select {
			case now := <-inner.Chan():
				c.pauser.wait()
				select {
				case t.ticks <- now:
				default:
				}
			case <-t.stopped:
				return
			}
		}
	}()
	return t
}

type pausableTicker struct {
	clockwork.Ticker
	ticks   chan time.Time
	stopped chan struct{}
	once    sync.Once
}

// Chan implements clockwork.Ticker.
func (t *pausableTicker) Chan() <-chan time.Time { return t.ticks }

// Stop implements clockwork.Ticker.
func (t *pausableTicker) Stop() {
	t.once.Do(func() { close(t.stopped) })
	t.Ticker.Stop()
}

// pausableStore delays calls and responses while the process is paused.
type pausableStore struct {
	store.Store
	pauser *pauser
}

// Range implements store.Store.
func (s *pausableStore) Range(ctx context.Context, from, to string, limit int) (store.Page, error) {
	s.pauser.wait()
	defer s.pauser.wait()
	return s.Store.Range(ctx, from, to, limit)
}

// Txn implements store.Store.
func (s *pausableStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	s.pauser.wait()
	defer s.pauser.wait()
	return s.Store.Txn(ctx, txn)
}

// Grant implements store.Store.
func (s *pausableStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.pauser.wait()
	defer s.pauser.wait()
	return s.Store.Grant(ctx, ttl)
}

// KeepAlive implements store.Store.
func (s *pausableStore) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	s.pauser.wait()
	defer s.pauser.wait()
	return s.Store.KeepAlive(ctx, lease)
}

// Watch implements store.Store.
func (s *pausableStore) Watch(ctx context.Context, prefix string, from store.Revision) (store.Watch, error) {
	s.pauser.wait()
	inner, err := s.Store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	w := &pausableWatch{Watch: inner, batches: make(chan store.WatchBatch)}
	go func() {
		defer close(w.batches)
		for batch := range inner.Batches() {
			s.pauser.wait()
			select {
			case w.batches <- batch:
			case <-ctx.Done():
			}
		}
	}()
	return w, nil
}

type pausableWatch struct {
	store.Watch
	batches chan store.WatchBatch
}

// Batches implements store.Watch.
func (w *pausableWatch) Batches() <-chan store.WatchBatch { return w.batches }
