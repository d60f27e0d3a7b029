package once

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
)

const waitTimeout = 30 * time.Second

// unreliableStore loses responses to writes. Some of these writes take effect
// immediately, some only during a later call, some never.
type unreliableStore struct {
	store.Store
	mu      sync.Mutex
	random  *rand.Rand
	delayed []store.Txn
	calls   int
}

func (s *unreliableStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for len(s.delayed) > 0 && s.random.IntN(2) == 0 {
		if _, err := s.Store.Txn(ctx, s.delayed[0]); err != nil {
			return store.TxnResult{}, err
		}
		s.delayed = s.delayed[1:]
	}
	if len(txn.If) == 0 {
		return s.Store.Txn(ctx, txn)
	}
	switch s.random.IntN(6) {
	case 0:
		s.delayed = append(s.delayed, txn)
		return store.TxnResult{}, store.ErrResponseLost
	case 1:
		_, _ = s.Store.Txn(ctx, txn)
		return store.TxnResult{}, store.ErrResponseLost
	case 2:
		return store.TxnResult{}, store.ErrUnavailable
	}
	return s.Store.Txn(ctx, txn)
}

func startRecorder(t *testing.T, s store.Store) *Recorder {
	r := NewRecorder(Options{Store: s, Clock: clockwork.NewRealClock(), Interval: 100 * time.Microsecond, Retention: time.Hour})
	runRecorder(t, r)
	return r
}

func runRecorder(t *testing.T, r *Recorder) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { r.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
}

// TestKeysAreClaimedOnce claims the same keys on several hosts while the store loses
// responses and applies writes late. At most one claim per key may succeed, since each
// successful claim stands for a sent request.
func TestKeysAreClaimedOnce(t *testing.T) {
	const (
		keys     = 150
		claimers = 6
	)
	unreliable := &unreliableStore{Store: memory.New(clockwork.NewRealClock()), random: rand.New(rand.NewPCG(1, 1))}
	recorders := []*Recorder{startRecorder(t, unreliable), startRecorder(t, unreliable), startRecorder(t, unreliable)}
	var mu sync.Mutex
	sent := map[string]int{}
	replayed := 0
	var claims sync.WaitGroup
	for c := range claimers {
		claims.Go(func() {
			for i := range keys {
				key := store.OnceKey("o", fmt.Sprint(i))
				record := Record{Attempt: model.AttemptID(fmt.Sprint(c, "-", i)), Fingerprint: "same"}
				timeout := waitTimeout
				if i%3 == 0 {
					timeout = time.Millisecond // some claims are abandoned
				}
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				claim, existing, err := recorders[c%len(recorders)].Claim(ctx, key, record)
				cancel()
				mu.Lock()
				if claim != nil {
					sent[key]++
				}
				if existing != nil && existing.State == Ended {
					replayed++
				}
				mu.Unlock()
				require.True(t, (claim != nil) != (existing != nil || err != nil))
				if claim != nil {
					claim.End(outcome.Ok(), nil)
				}
			}
		})
	}
	claims.Wait()
	for key, count := range sent {
		require.Equal(t, 1, count, key)
	}
	require.Greater(t, len(sent), keys/2)
	require.Positive(t, replayed)
	require.Eventually(t, func() bool {
		return recorders[0].Unrecorded()+recorders[1].Unrecorded()+recorders[2].Unrecorded() == 0
	}, waitTimeout, time.Millisecond)
}

// TestStoreCallsDependOnlyOnGroups checks that the number of store calls for simultaneous
// claims is the number of groups plus one lease grant.
func TestStoreCallsDependOnlyOnGroups(t *testing.T) {
	for claims, calls := range map[int]int64{1: 2, 100: 2, 10 * maxGroupWrites: 11} {
		r := NewRecorder(Options{Store: memory.New(clockwork.NewRealClock()), Clock: clockwork.NewRealClock(), Retention: time.Hour})
		var running sync.WaitGroup
		for i := range claims {
			running.Go(func() {
				claim, _, err := r.Claim(context.Background(), store.OnceKey("o", fmt.Sprint(i)), Record{Attempt: "a"})
				if err != nil || claim == nil {
					t.Error("not claimed", err)
				}
			})
		}
		require.Eventually(t, func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return len(r.queue) == claims
		}, waitTimeout, time.Millisecond)
		runRecorder(t, r)
		running.Wait()
		require.Eventually(t, func() bool { return r.StoreCalls() == calls }, waitTimeout, time.Millisecond, "one grant and one call per group")
	}
}

// TestAbandonedClaimReleasesTheKey cancels a claim while the store is slow. The claim
// must be withdrawn, so that a later request can claim the key.
func TestAbandonedClaimReleasesTheKey(t *testing.T) {
	s := memory.New(clockwork.NewRealClock())
	r := startRecorder(t, s)
	s.SetFaults(memory.Faults{ResponseDelay: 200 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
	defer cancel()
	claim, existing, err := r.Claim(ctx, "k", Record{Attempt: "first", Fingerprint: "f"})
	require.Error(t, err)
	require.Nil(t, claim)
	require.Nil(t, existing)
	s.SetFaults(memory.Faults{})
	require.Eventually(t, func() bool { return r.Unrecorded() == 0 }, waitTimeout, time.Millisecond)
	claim, _, err = r.Claim(context.Background(), "k", Record{Attempt: "second", Fingerprint: "f"})
	require.NoError(t, err)
	require.NotNil(t, claim)
}

// TestOutcomeIsRecordedAfterAnOutage ends a claim while the store is down. The outcome must
// be recorded once the store is back.
func TestOutcomeIsRecordedAfterAnOutage(t *testing.T) {
	s := memory.New(clockwork.NewRealClock())
	r := startRecorder(t, s)
	claim, _, err := r.Claim(context.Background(), "k", Record{Attempt: "a", Fingerprint: "f"})
	require.NoError(t, err)
	s.SetFaults(memory.Faults{Down: true})
	recorded := claim.End(outcome.Ok(), nil)
	_, _, err = r.Claim(context.Background(), "other", Record{Attempt: "b"})
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.Equal(t, 1, r.Unrecorded())
	s.SetFaults(memory.Faults{})
	select {
	case <-recorded:
	case <-time.After(waitTimeout):
		t.Fatal("the outcome was not recorded")
	}
	_, existing, err := r.Claim(context.Background(), "k", Record{Attempt: "c", Fingerprint: "f"})
	require.NoError(t, err)
	require.Equal(t, outcome.Done, existing.Outcome.Kind)
}

func TestKeys(t *testing.T) {
	require.True(t, ValidKey("payout/2026-12-04#7"))
	for _, key := range []string{"", " ", "a b", "a\x00", "é", string(make([]byte, MaxKeyBytes+1))} {
		require.False(t, ValidKey(key), key)
	}
}

// TestLostResponseIsResolvedByReadingBack loses the store's responses to a claim and to the
// record of its outcome.
func TestLostResponseIsResolvedByReadingBack(t *testing.T) {
	s := memory.New(clockwork.NewRealClock())
	r := startRecorder(t, s)
	for i := range 3 {
		// No response is lost before the first claim, whose first write is the lease grant.
		s.SetFaults(memory.Faults{LoseResponses: min(i, 1)})
		claim, existing, err := r.Claim(context.Background(), fmt.Sprint(i), Record{Attempt: "a", Fingerprint: "f"})
		require.NoError(t, err)
		require.Nil(t, existing)
		s.SetFaults(memory.Faults{LoseResponses: 1})
		select {
		case <-claim.End(outcome.Ok(), nil):
		case <-time.After(waitTimeout):
			t.Fatal("the outcome was not recorded")
		}
	}
}
