package poolhost_test

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/store"
)

// silenceRecord returns the record of silent workers; an empty one if there is none.
func (d *deployment) silenceRecord() *pool.SilenceRecord {
	page, err := d.store.Range(context.Background(), store.PoolSilenceKey, store.PrefixEnd(store.PoolSilenceKey), 1)
	require.NoError(d.t, err)
	if len(page.KeyValues) == 0 {
		return &pool.SilenceRecord{}
	}
	record, err := pool.DecodeSilence(page.KeyValues[0].Value)
	require.NoError(d.t, err)
	return record
}

// Guards against a new owner that waits for a silent worker from its own start: the next one carries
// on with what it has seen of the record, which it writes anew as soon as it relies on it. Once the
// worker answers, it is no longer named.
func TestNextOwnerCarriesOnWithASilence(t *testing.T) {
	d := newDeployment(t)
	a := d.host("a", "a1", 1)
	eventually(t, "a is ready", a.Ready)
	eventually(t, "a is the owner", func() bool { return a.log.has("ownership taken") })
	require.Equal(t, outcome.Accepted, a.Submit(ctx(t), record("0000000000000001")).Outcome.Kind)
	eventually(t, "the task runs", func() bool { return d.workers.runningCount() == 1 })
	b := d.host("b", "b1", 1)
	eventually(t, "b is ready", func() bool { return b.Ready() && b.log.has("owner changed") })
	d.workers.setUnreachable(true)
	eventually(t, "the silent worker is recorded", func() bool { return len(d.silenceRecord().Workers) == 1 })
	first := d.silenceRecord()
	a.kill()
	eventually(t, "b relies on the record", func() bool { return d.silenceRecord().Fence > first.Fence })
	second := d.silenceRecord()
	require.Len(t, second.Workers, 1)
	require.LessOrEqual(t, second.Workers[0].LeaseLeftMS, first.Workers[0].LeaseLeftMS)
	d.workers.setUnreachable(false)
	eventually(t, "the worker is no longer named", func() bool { return len(d.silenceRecord().Workers) == 0 })
	require.Equal(t, 1, d.workers.startCount())
}

// heldInputStore holds reads of jobs and cancellations back until it is released.
type heldInputStore struct {
	store.Store
	released chan struct{}
}

func (s *heldInputStore) Range(ctx context.Context, from, to string, limit int) (store.Page, error) {
	if strings.HasPrefix(from, store.PoolInputPrefix) {
		select {
		case <-s.released:
		case <-ctx.Done():
			return store.Page{}, store.ErrUnavailable
		}
	}
	return s.Store.Range(ctx, from, to, limit)
}

// Guards against an owner that acts on the records of its predecessors before it has read the jobs.
func TestOwnerIsLoadingUntilItHasReadTheJobs(t *testing.T) {
	d := newDeployment(t)
	held := &heldInputStore{released: make(chan struct{})}
	d.wrapStore = func(_ string, s store.Store) store.Store {
		held.Store = s
		return held
	}
	a := d.host("a", "a1", 1)
	eventually(t, "a is the owner", func() bool { return a.log.has("ownership taken") })
	require.Equal(t, pool.Gate{Loading: true}, a.Gate())
	close(held.released)
	eventually(t, "the jobs are read", func() bool { return !a.Gate().Loading })
	eventually(t, "starts are allowed", func() bool { return a.Gate().MayStart })
}
