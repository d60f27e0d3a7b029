package memory

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/store"
)

// AllResponses is the value of Faults.LoseResponses that loses the response of every write.
const AllResponses = -1

// Faults are the faults injected into a store or into one client.
type Faults struct {
	// Down makes every call fail with store.ErrUnavailable and ends all watches.
	Down bool
	// Delay delays every call before its effect.
	Delay time.Duration
	// ResponseDelay delays every response after the effect.
	ResponseDelay time.Duration
	// LoseResponses is the number of subsequent writes that take effect but fail with
	// store.ErrResponseLost, or AllResponses.
	LoseResponses int
}

// SetFaults replaces the faults that affect every client of the store. Down ends all
// watches.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if faults.Down {
		s.endWatches(store.ErrUnavailable)
	}
}

// Faults returns the faults that affect every client.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// consumeFaults returns the current faults; for a write it uses up one lost response.
func (s *Store) consumeFaults(write bool) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if write && s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
	}
	return faults
}

// BreakWatches ends every watch with store.ErrUnavailable.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endWatches(store.ErrUnavailable)
}

// Compact discards the history of changes and ends every watch; a watch from an earlier
// revision then fails with store.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision = s.revision
	s.history = nil
	s.endWatches(store.ErrCompacted)
}

// Client is one client's connection to the store, with faults of its own.
type Client struct {
	store *Store

	mu     sync.Mutex
	faults Faults
}

// Client returns a new client without faults of its own.
func (s *Store) Client() *Client {
	return &Client{store: s}
}

// SetFaults replaces the client's own faults. Down ends its watches.
func (c *Client) SetFaults(faults Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
	if !faults.Down {
		return
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for w := range c.store.watches {
		if w.client == c {
			w.end(store.ErrUnavailable)
		}
	}
}

func (c *Client) consumeFaults(write bool) Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	faults := c.faults
	if write && c.faults.LoseResponses > 0 {
		c.faults.LoseResponses--
	}
	return faults
}

// effectiveFaults combines the client's and the store's faults; for a write it uses up one
// lost response of each.
func (c *Client) effectiveFaults(write bool) Faults {
	own, shared := c.consumeFaults(write), c.store.consumeFaults(write)
	own.Down = own.Down || shared.Down
	own.Delay += shared.Delay
	own.ResponseDelay += shared.ResponseDelay
	if own.LoseResponses == 0 {
		own.LoseResponses = shared.LoseResponses
	}
	return own
}

// call runs apply under the effective faults.
func (c *Client) call(ctx context.Context, write bool, apply func() error) error {
	faults := c.effectiveFaults(write)
	if err := c.sleep(ctx, faults.Delay); err != nil || faults.Down {
		return errors.Wrap(store.ErrUnavailable, "memory")
	}
	if err := apply(); err != nil {
		return err
	}
	responseLost := c.sleep(ctx, faults.ResponseDelay) != nil || write && faults.LoseResponses != 0
	switch {
	case responseLost && write:
		return errors.Wrap(store.ErrResponseLost, "memory")
	case responseLost:
		return errors.Wrap(store.ErrUnavailable, "memory")
	}
	return nil
}

func (c *Client) sleep(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.store.clock.After(delay):
		return nil
	}
}

// Range implements store.Store.
func (c *Client) Range(ctx context.Context, from, to string, limit int) (page store.Page, err error) {
	err = c.call(ctx, false, func() error {
		page = c.store.rangeKeys(from, to, limit)
		return nil
	})
	return page, err
}

// Txn implements store.Store.
func (c *Client) Txn(ctx context.Context, txn store.Txn) (result store.TxnResult, err error) {
	err = c.call(ctx, txn.Writes(), func() (err error) {
		result, err = c.store.transact(txn)
		return err
	})
	if err != nil {
		return store.TxnResult{}, err
	}
	return result, nil
}

// Grant implements store.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (id store.LeaseID, err error) {
	err = c.call(ctx, true, func() error {
		id = c.store.grant(ttl)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return c.call(ctx, true, func() error { return c.store.keepAlive(id) })
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	return c.call(ctx, true, func() error { return c.store.revoke(id) })
}

// Watch implements store.Store. The first batch reports the revision at the start.
func (c *Client) Watch(ctx context.Context, prefix string, from store.Revision) (store.Watch, error) {
	var w *watch
	err := c.call(ctx, false, func() (err error) {
		w, err = c.store.watch(c, prefix, from)
		return err
	})
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { w.cancel(ctx.Err()) })
	w.setOnEnd(func() { stop() })
	return w, nil
}
