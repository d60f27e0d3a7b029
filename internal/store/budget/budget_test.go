package budget_test

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/budget"
	"github.com/chervilrun/chervilrun/internal/store/memory"
)

func TestCallsPastTheBudgetAreRefusedAndLeasesAreNot(t *testing.T) {
	clock := clockwork.NewFakeClock()
	metrics := prometheus.NewRegistry()
	limits := budget.Limits{ReadsPerSecond: 10, WritesPerSecond: 2, LeasesPerSecond: 5}
	s := budget.New(memory.New(clock), clock, limits, metrics)
	write := store.Txn{Then: []store.Op{{Put: &store.Put{Key: "k"}}}}
	lease, err := s.Grant(t.Context(), time.Minute)
	require.NoError(t, err)
	for range limits.WritesPerSecond {
		_, err := s.Txn(t.Context(), write)
		require.NoError(t, err)
	}
	_, err = s.Txn(t.Context(), write)
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.ErrorAs(t, err, new(budget.ExceededError))
	require.NoError(t, s.KeepAlive(t.Context(), lease))
	_, err = s.Txn(t.Context(), store.Txn{If: []store.Compare{store.Absent("k")}, Else: []store.Op{{Get: "k"}}})
	require.NoError(t, err, "a transaction that only reads does not count as a write")
	clock.Advance(time.Second)
	_, err = s.Txn(t.Context(), write)
	require.NoError(t, err)
	require.NoError(t, testutil.GatherAndCompare(metrics, strings.NewReader(`
# HELP chervil_store_calls_total Calls to the key-value service.
# TYPE chervil_store_calls_total counter
chervil_store_calls_total{kind="grant"} 1
chervil_store_calls_total{kind="keepalive"} 1
chervil_store_calls_total{kind="read"} 1
chervil_store_calls_total{kind="write"} 3
`), "chervil_store_calls_total"))
}

// A lease that has ended is an answer of the store, not a failed call.
func TestEndedLeasesAreNotFailedCalls(t *testing.T) {
	clock := clockwork.NewFakeClock()
	metrics := prometheus.NewRegistry()
	inner := memory.New(clock)
	s := budget.New(inner, clock, budget.Limits{ReadsPerSecond: 10, WritesPerSecond: 10, LeasesPerSecond: 10}, metrics)
	require.ErrorIs(t, s.KeepAlive(t.Context(), 99), store.ErrLeaseGone)
	inner.SetFaults(memory.Faults{Down: true})
	require.ErrorIs(t, s.KeepAlive(t.Context(), 99), store.ErrUnavailable)
	require.NoError(t, testutil.GatherAndCompare(metrics, strings.NewReader(`
# HELP chervil_store_failed_total Calls that failed, but for leases that have ended.
# TYPE chervil_store_failed_total counter
chervil_store_failed_total{kind="keepalive"} 1
`), "chervil_store_failed_total"))
}
