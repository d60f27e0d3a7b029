package acceptance_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/acceptance"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
)

// faultyStore loses the responses of writes, before or after they take effect.
type faultyStore struct {
	store.Store
	mu sync.Mutex
	// loseBeforeEffect is the number of next writes that have no effect and lose their
	// response; loseAfterEffect is the number of those that take effect and lose it.
	loseBeforeEffect, loseAfterEffect int
	// readOnly makes all other writes fail without effect.
	readOnly bool
	// delayed is the last write that was lost without effect; applyDelayed carries it out.
	delayed *store.Txn
	// afterEffect runs after a write of loseAfterEffect has taken effect.
	afterEffect func()
	writes      int
}

func (f *faultyStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	f.mu.Lock()
	f.writes++
	loseBefore, loseAfter, afterEffect := f.loseBeforeEffect > 0, f.loseAfterEffect > 0, f.afterEffect
	switch {
	case loseBefore:
		f.loseBeforeEffect--
		f.delayed = &txn
	case loseAfter:
		f.loseAfterEffect--
	}
	f.mu.Unlock()
	if loseBefore {
		return store.TxnResult{}, errors.Wrap(store.ErrResponseLost, "test")
	}
	if f.readOnly && !loseAfter {
		return store.TxnResult{}, errors.Wrap(store.ErrUnavailable, "test")
	}
	result, err := f.Store.Txn(ctx, txn)
	if err == nil && loseAfter {
		if afterEffect != nil {
			afterEffect()
		}
		return store.TxnResult{}, errors.Wrap(store.ErrResponseLost, "test")
	}
	return result, err
}

// applyDelayed carries out the delayed write and reports whether it took effect.
func (f *faultyStore) applyDelayed(t *testing.T) bool {
	require.NotNil(t, f.delayed)
	result, err := f.Store.Txn(t.Context(), *f.delayed)
	require.NoError(t, err)
	return result.Succeeded
}

func newStoreWithConfig(t *testing.T) (*memory.Store, *acceptance.Acceptor) {
	shared := memory.New(clockwork.NewRealClock())
	a := newAcceptor(shared, twoWorkerView())
	require.True(t, a.Submit(t.Context(), "dora", 0, text(1)).Accepted())
	return shared, a
}

func TestLostResponseOfAWriteThatTookEffect(t *testing.T) {
	shared, _ := newStoreWithConfig(t)
	faulty := &faultyStore{Store: shared, loseAfterEffect: 1}
	result := newAcceptor(faulty, twoWorkerView()).Submit(t.Context(), "bence", 1, text(1, "s"))
	require.True(t, result.Accepted())
	require.EqualValues(t, 2, result.Version)
	require.Equal(t, 1, faulty.writes, "the configuration is read back, not written again")
}

func TestLostResponseOfAWriteInFlight(t *testing.T) {
	shared, a := newStoreWithConfig(t)
	faulty := &faultyStore{Store: shared, loseBeforeEffect: 1}
	result := newAcceptor(faulty, twoWorkerView()).Submit(t.Context(), "bence", 1, text(1, "s"))
	require.True(t, result.Accepted(), "retrying is safe, since the first attempt can't take effect any more")
	require.False(t, faulty.applyDelayed(t))
	stored, err := a.Read(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 2, stored.Version)
}

func TestLostResponseThenAnotherChange(t *testing.T) {
	shared, a := newStoreWithConfig(t)
	faulty := &faultyStore{Store: shared, loseAfterEffect: 1}
	faulty.afterEffect = func() {
		require.True(t, a.SetZone(t.Context(), "dora", "b", true).Accepted())
	}
	result := newAcceptor(faulty, twoWorkerView()).Submit(t.Context(), "bence", 1, text(1, "s"))
	require.True(t, result.Accepted())
	require.EqualValues(t, 2, result.Version, "the history contains the write, though version 3 is in force")
}

func TestLostResponseAndReadBackFails(t *testing.T) {
	shared, a := newStoreWithConfig(t)
	faulty := &faultyStore{Store: shared, loseAfterEffect: 1}
	faulty.afterEffect = func() { shared.SetFaults(memory.Faults{Down: true}) }
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	result := newAcceptor(faulty, twoWorkerView()).Submit(ctx, "bence", 1, text(1, "s"))
	require.Equal(t, outcome.Unknown, result.Outcome.Kind)
	shared.SetFaults(memory.Faults{})
	stored, err := a.Read(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 2, stored.Version)
}

// TestFencingBacksOff uses a store that can be read but not written: fencing a write
// with an unknown outcome must back off between attempts.
func TestFencingBacksOff(t *testing.T) {
	shared, _ := newStoreWithConfig(t)
	faulty := &faultyStore{Store: shared, loseBeforeEffect: 1, readOnly: true}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	lifetime, end := context.WithCancel(t.Context())
	end()
	result := newAcceptorWith(lifetime, faulty, fixedView{twoWorkerView()}, nil).Submit(ctx, "bence", 1, text(1, "s"))
	require.Equal(t, outcome.Unknown, result.Outcome.Kind)
	require.Less(t, faulty.writes, 100)
}

// storeView is a source that shows the version in the store while follow is set.
type storeView struct {
	fixedView
	follow  atomic.Bool
	read    func() model.ConfigVersion
	changed chan struct{}
}

func (s *storeView) Current() *view.View {
	current := *s.current
	if s.follow.Load() {
		current.Config = &config.Cluster{Version: s.read()}
	}
	return &current
}

func (s *storeView) Changed() <-chan struct{} { return s.changed }

// TestChangeIsInProgressUntilInTheView makes a change whose outcome is unknown
// because of an outage: it must count as in progress until the view includes it.
func TestChangeIsInProgressUntilInTheView(t *testing.T) {
	shared, setup := newStoreWithConfig(t)
	var changesInProgress atomic.Int32
	beginChange := func() func() {
		changesInProgress.Add(1)
		return func() { changesInProgress.Add(-1) }
	}
	v := &storeView{fixedView: fixedView{twoWorkerView()}, changed: make(chan struct{}, 1)}
	v.read = func() model.ConfigVersion {
		stored, err := setup.Read(t.Context())
		require.NoError(t, err)
		return stored.Version
	}
	faulty := &faultyStore{Store: shared, loseAfterEffect: 1}
	faulty.afterEffect = func() { shared.SetFaults(memory.Faults{Down: true}) }
	a := newAcceptorWith(t.Context(), faulty, v, beginChange)

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Equal(t, outcome.Unknown, a.Submit(ctx, "bence", 1, text(1, "s")).Outcome.Kind)
	require.EqualValues(t, 1, changesInProgress.Load())

	shared.SetFaults(memory.Faults{})
	v.follow.Store(true)
	v.changed <- struct{}{}
	require.Eventually(t, func() bool { return changesInProgress.Load() == 0 }, 10*time.Second, time.Millisecond)

	refused := a.Submit(t.Context(), "bence", 1, text(1))
	require.Equal(t, outcome.ReasonConflict, refused.Outcome.Reason)
	require.Zero(t, changesInProgress.Load(), "nothing was written")
}

func TestStoreDown(t *testing.T) {
	shared, a := newStoreWithConfig(t)
	shared.SetFaults(memory.Faults{Down: true})
	result := a.SetZone(t.Context(), "dora", "a", true)
	require.Equal(t, outcome.NotRun, result.Outcome.Kind)
	require.Equal(t, outcome.ReasonStoreUnavailable, result.Outcome.Reason)
}

func TestStoreWithAnOlderVersionIsRefused(t *testing.T) {
	shared, _ := newStoreWithConfig(t)
	ahead := twoWorkerView()
	ahead.Config.Version = 7
	result := newAcceptor(shared, ahead).SetZone(t.Context(), "dora", "a", true)
	require.Equal(t, outcome.ReasonInternal, result.Outcome.Reason)
	require.Contains(t, result.Outcome.Detail, "version 7")
}
