package memory_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
)

func put(key, value string, lease store.LeaseID) store.Txn {
	return store.Txn{Then: []store.Op{{Put: &store.Put{Key: key, Value: []byte(value), Lease: lease}}}}
}

func get(t *testing.T, s store.Store, key string) []store.KeyValue {
	page, err := s.Range(t.Context(), key, key+"\x00", 1)
	require.NoError(t, err)
	return page.KeyValues
}

// nextChanges returns the next batch that has changes.
func nextChanges(t *testing.T, w store.Watch) store.WatchBatch {
	for batch := range w.Batches() {
		if len(batch.Changes) > 0 {
			return batch
		}
	}
	require.FailNow(t, "the watch has ended", w.Err())
	return store.WatchBatch{}
}

func TestCompareAndSwap(t *testing.T) {
	s := memory.New(clockwork.NewFakeClock())
	create := put("k", "1", 0)
	create.If = []store.Compare{store.Absent("k")}
	create.Else = []store.Op{{Get: "k"}}
	first, err := s.Txn(t.Context(), create)
	require.NoError(t, err)
	require.True(t, first.Succeeded)
	second, err := s.Txn(t.Context(), create)
	require.NoError(t, err)
	require.False(t, second.Succeeded)
	require.Equal(t, first.Revision, second.Gets[0].ModRevision)
	update := put("k", "2", 0)
	update.If = []store.Compare{store.Unchanged("k", first.Revision)}
	third, err := s.Txn(t.Context(), update)
	require.NoError(t, err)
	require.True(t, third.Succeeded)
	require.Greater(t, third.Revision, first.Revision)
	require.Equal(t, "2", string(get(t, s, "k")[0].Value))
}

func TestKeysAreDeletedWithTheirLease(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := memory.New(clock)
	lease, err := s.Grant(t.Context(), 10*time.Second)
	require.NoError(t, err)
	_, err = s.Txn(t.Context(), put("a/k", "1", lease))
	require.NoError(t, err)
	w, err := s.Watch(t.Context(), "a/", 0)
	require.NoError(t, err)
	clock.Advance(9 * time.Second)
	require.NoError(t, s.KeepAlive(t.Context(), lease))
	clock.Advance(9 * time.Second)
	require.Len(t, get(t, s, "a/k"), 1)
	clock.Advance(time.Second)
	batch := nextChanges(t, w)
	require.True(t, batch.Changes[0].Deleted)
	require.Empty(t, get(t, s, "a/k"))
	require.ErrorIs(t, s.KeepAlive(t.Context(), lease), store.ErrLeaseGone)
	_, err = s.Txn(t.Context(), put("a/k", "1", lease))
	require.ErrorIs(t, err, store.ErrLeaseGone)
}

func TestFaults(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := memory.New(clock)
	client := s.Client()
	w, err := client.Watch(t.Context(), "", 0)
	require.NoError(t, err)

	client.SetFaults(memory.Faults{LoseResponses: 1})
	_, err = client.Txn(t.Context(), put("k", "1", 0))
	require.ErrorIs(t, err, store.ErrResponseLost)
	require.Len(t, get(t, client, "k"), 1, "the write took effect")

	client.SetFaults(memory.Faults{Down: true})
	_, err = client.Txn(t.Context(), put("k2", "1", 0))
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.Empty(t, get(t, s, "k2"), "the write had no effect, and other clients are not affected")
	for range w.Batches() {
	}
	require.ErrorIs(t, w.Err(), store.ErrUnavailable)

	client.SetFaults(memory.Faults{Delay: time.Second})
	done := make(chan error, 1)
	go func() {
		_, err := client.Txn(context.Background(), put("k3", "1", 0))
		done <- err
	}()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	require.Empty(t, get(t, s, "k3"))
	clock.Advance(time.Second)
	require.NoError(t, <-done)
}

func TestWatchReplaysUnlessCompacted(t *testing.T) {
	s := memory.New(clockwork.NewFakeClock())
	for _, key := range []string{"a/1", "b/1", "a/2"} {
		_, err := s.Txn(t.Context(), put(key, "x", 0))
		require.NoError(t, err)
	}
	w, err := s.Watch(t.Context(), "a/", 2)
	require.NoError(t, err)
	require.Equal(t, "a/1", nextChanges(t, w).Changes[0].Key)
	require.Equal(t, "a/2", nextChanges(t, w).Changes[0].Key)
	s.Compact()
	for range w.Batches() {
	}
	require.ErrorIs(t, w.Err(), store.ErrCompacted)
	_, err = s.Watch(t.Context(), "a/", 2)
	require.ErrorIs(t, err, store.ErrCompacted)
	_, err = s.Watch(t.Context(), "a/", s.Revision()+1)
	require.NoError(t, err)
}
