package acceptance_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
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
)

// randomStore loses the responses of a random share of writes: some of these writes are
// applied before the response is lost, the others after a delay. It records every
// configuration that was written.
type randomStore struct {
	*memory.Store
	t             *testing.T
	delayedWrites sync.WaitGroup
	mu            sync.Mutex
	random        *rand.Rand
	calls         int
	// written holds the value of each version, in order.
	written []config.Stored
}

// The percentages of writes whose response is lost: those applied after a delay of up to
// maxWriteDelay, and those applied immediately.
const (
	percentDelayed      = 20
	percentResponseLost = 20
	maxWriteDelay       = 4 * time.Millisecond
)

func (r *randomStore) Range(ctx context.Context, from, to string, limit int) (store.Page, error) {
	r.mu.Lock()
	r.calls++
	r.mu.Unlock()
	return r.Store.Range(ctx, from, to, limit)
}

func (r *randomStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	r.mu.Lock()
	r.calls++
	draw := r.random.IntN(100)
	delay := time.Duration(r.random.Int64N(int64(maxWriteDelay)))
	r.mu.Unlock()
	lost := errors.Wrap(store.ErrResponseLost, "test")
	if draw < percentDelayed {
		r.delayedWrites.Go(func() {
			time.Sleep(delay)
			_, _ = r.write(context.Background(), txn)
		})
		return store.TxnResult{}, lost
	}
	result, err := r.write(ctx, txn)
	if draw < percentDelayed+percentResponseLost {
		return store.TxnResult{}, lost
	}
	return result, err
}

func (r *randomStore) write(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result, err := r.Store.Txn(ctx, txn)
	if result.Succeeded {
		stored, err := config.Decode(txn.Then[0].Put.Value)
		require.NoError(r.t, err)
		r.written = append(r.written, stored)
	}
	return result, err
}

// timesPutInForce counts the written versions that have the service while the version
// before them does not.
func (r *randomStore) timesPutInForce(service string) int {
	count, hadService := 0, false
	for _, stored := range r.written {
		cluster, err := stored.Cluster()
		require.NoError(r.t, err)
		_, hasService := cluster.Service(model.ServiceID(service))
		if hasService && !hadService {
			count++
		}
		hadService = hasService
	}
	return count
}

// TestOutcomesAreCorrectUnderRandomFaults submits changes concurrently while responses are
// lost and writes are delayed. A change with outcome Done must have been written exactly
// once, one with NotRun never, and the versions must increase by one.
func TestOutcomesAreCorrectUnderRandomFaults(t *testing.T) {
	const writers, rounds, seed = 4, 25, 1
	shared := &randomStore{
		Store: memory.New(clockwork.NewRealClock()), t: t, random: rand.New(rand.NewPCG(seed, 0)),
	}
	first := newAcceptor(shared, twoWorkerView())
	for !first.Submit(t.Context(), "dora", 0, text(1)).Accepted() {
	}
	type change struct {
		service string
		result  acceptance.Result
	}
	changes := make(chan change, writers*rounds)
	var group sync.WaitGroup
	for writer := range writers {
		a := newAcceptor(shared, twoWorkerView())
		group.Go(func() {
			for round := range rounds {
				stored, err := a.Read(t.Context())
				require.NoError(t, err)
				service := fmt.Sprintf("s-%d-%d", writer, round)
				result := a.Submit(t.Context(), fmt.Sprint("writer-", writer), stored.Version, text(1, service))
				changes <- change{service, result}
			}
		})
	}
	group.Wait()
	shared.delayedWrites.Wait()
	close(changes)
	accepted, wrongOutcomes := 0, 0
	for c := range changes {
		count := shared.timesPutInForce(c.service)
		switch c.result.Outcome.Kind {
		case outcome.Done:
			accepted++
			if count != 1 {
				wrongOutcomes++
			}
		case outcome.NotRun:
			if count != 0 {
				wrongOutcomes++
			}
		}
	}
	t.Logf("accepted %d of %d, wrong outcomes %d, store calls %d", accepted, writers*rounds, wrongOutcomes, shared.calls)
	require.Zero(t, wrongOutcomes)
	require.GreaterOrEqual(t, accepted, rounds/2)
	last := model.ConfigVersion(0)
	for _, stored := range shared.written {
		require.Contains(t, []model.ConfigVersion{last, last + 1}, stored.Version)
		last = stored.Version
	}
}
