package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chervilrun/chervilrun/internal/model"
	_ "github.com/chervilrun/chervilrun/internal/rapidseed"
)

const testSlots = 8

var testStart = time.Unix(1000, 0)

func testExecutors(n int) []model.Executor {
	executors := make([]model.Executor, n)
	for i := range executors {
		executors[i] = model.Executor{ID: model.ExecutorID(fmt.Sprint("e", i)), Slots: testSlots}
	}
	return executors
}

func testPools(hosts, executors int) (map[model.HostID]*Pool, []model.HostID) {
	pools := map[model.HostID]*Pool{}
	var ids []model.HostID
	for i := range hosts {
		ids = append(ids, model.HostID(fmt.Sprint("h", i)))
	}
	for i, id := range ids {
		pools[id] = NewPool(id, PolicyLoans, testSlots, rand.New(rand.NewPCG(1, uint64(i))))
		pools[id].Update(testExecutors(executors), ids)
	}
	return pools, ids
}

// TestHostsTogetherNeverExceedTheSlots checks under random picks, releases, exchanges, lost
// responses and delays that the attempts of all hosts at an executor never exceed its slots.
func TestHostsTogetherNeverExceedTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools, ids := testPools(3, 4)
		now := testStart
		held := map[model.HostID][]model.ExecutorID{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "host")
			pool := pools[id]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				if executor, ok := pool.Pick(now, nil); ok {
					held[id] = append(held[id], executor.ID)
				}
			case 2:
				if n := len(held[id]); n > 0 {
					pool.Release(held[id][n-1], Succeeded, time.Millisecond, now)
					held[id] = held[id][:n-1]
				}
			case 3:
				for home, request := range pool.DueLoanRequests("s", rapid.IntRange(0, 20).Draw(t, "wanted"), nil, now) {
					response := pools[home].Lend(request, rapid.IntRange(0, 1).Draw(t, "waiting"), now)
					if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
						pool.ApplyResponse(home, &LoanResponse{Holdings: request.Holdings}, now)
						continue
					}
					pool.ApplyResponse(home, &response, now)
				}
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
				// Every host renews its loans before they expire.
				for _, borrower := range ids {
					for home, request := range pools[borrower].DueLoanRequests("s", 0, nil, now) {
						response := pools[home].Lend(request, 0, now)
						pools[borrower].ApplyResponse(home, &response, now)
					}
				}
			}
			for _, executor := range testExecutors(4) {
				inFlight := 0
				for _, p := range pools {
					inFlight += p.InFlight(executor.ID)
				}
				if inFlight > testSlots {
					t.Fatalf("%d attempts at %s", inFlight, executor.ID)
				}
			}
		}
	})
}

// TestHotHostBorrowsAndReturnsSlots: one host borrows all slots and returns those it
// doesn't use.
func TestHotHostBorrowsAndReturnsSlots(t *testing.T) {
	pools, ids := testPools(3, 12)
	hot := pools[ids[0]]
	ownSlots := hot.AvailableSlots(testStart)
	exchange := func(wanted int, now time.Time) {
		for home, request := range hot.DueLoanRequests("s", wanted, nil, now) {
			response := pools[home].Lend(request, 0, now)
			hot.ApplyResponse(home, &response, now)
		}
	}
	exchange(200, testStart)
	require.Equal(t, 12*testSlots, hot.AvailableSlots(testStart))
	require.Zero(t, pools[ids[1]].AvailableSlots(testStart))
	later := testStart.Add(ExchangeInterval)
	exchange(0, later)
	require.Equal(t, ownSlots, hot.AvailableSlots(later), "unused slots are returned")
	require.Positive(t, pools[ids[1]].AvailableSlots(later))
}

// TestUnreachableHomeHost: while home hosts don't respond, a host uses its equal share of
// their executors' slots.
func TestUnreachableHomeHost(t *testing.T) {
	pools, ids := testPools(3, 12)
	pool := pools[ids[0]]
	ownSlots := pool.AvailableSlots(testStart)
	for home := range pool.DueLoanRequests("s", 10, nil, testStart) {
		pool.ApplyResponse(home, nil, testStart)
	}
	remoteExecutors := 12 - ownSlots/testSlots
	require.Equal(t, ownSlots+remoteExecutors*(testSlots/3), pool.AvailableSlots(testStart), "an equal share of each executor")
}

func TestFailingExecutorsAreEjectedUpToACap(t *testing.T) {
	const executors = 10
	pool := NewPool("h", PolicyLocal, testSlots, rand.New(rand.NewPCG(1, 1)))
	pool.Update(testExecutors(executors), []model.HostID{"h"})
	now := testStart
	ejected := 0
	for i := range executors {
		id := model.ExecutorID(fmt.Sprint("e", i))
		for range consecutiveFailureLimit {
			if pool.Release(id, Failed, time.Millisecond, now) == TransitionEjected {
				ejected++
			}
		}
	}
	require.Equal(t, 3, ejected)
	for range 200 {
		executor, ok := pool.Pick(now, nil)
		require.True(t, ok)
		require.NotContains(t, []model.ExecutorID{"e0", "e1", "e2"}, executor.ID)
		pool.Release(executor.ID, Succeeded, time.Millisecond, now)
	}
	now = now.Add(baseEjectionTime)
	restored := 0
	for range 200 {
		executor, _ := pool.Pick(now, nil)
		if pool.Release(executor.ID, Succeeded, time.Millisecond, now) == TransitionRestored {
			restored++
		}
	}
	require.Equal(t, 3, restored)
}

func TestSlowExecutorIsEjected(t *testing.T) {
	pool := NewPool("h", PolicyLocal, testSlots, rand.New(rand.NewPCG(1, 1)))
	pool.Update(testExecutors(4), []model.HostID{"h"})
	transition := TransitionNone
	for range slowWindow {
		for i := range 4 {
			elapsed := 10 * time.Millisecond
			if i == 3 {
				elapsed = time.Second
			}
			id := model.ExecutorID(fmt.Sprint("e", i))
			if got := pool.Release(id, Succeeded, elapsed, testStart); got != TransitionNone {
				require.Equal(t, model.ExecutorID("e3"), id)
				transition = got
			}
		}
	}
	require.Equal(t, TransitionEjected, transition)
}

// TestOneLateAnswerDoesNotEject makes each executor in turn very slow for a single
// response, as a short pause of the host itself does.
func TestOneLateAnswerDoesNotEject(t *testing.T) {
	const executors = 10
	pool := NewPool("h", PolicyLocal, testSlots, rand.New(rand.NewPCG(1, 1)))
	pool.Update(testExecutors(executors), []model.HostID{"h"})
	for round := range 10 * slowWindow {
		for i := range executors {
			elapsed := time.Millisecond
			if round%slowWindow == slowWindow-1 && i == round/slowWindow%executors {
				elapsed = time.Second
			}
			id := model.ExecutorID(fmt.Sprint("e", i))
			require.Equal(t, TransitionNone, pool.Release(id, Succeeded, elapsed, testStart))
		}
	}
}

// TestRefusingExecutorIsPaused: an executor that refuses attempts at once, as one in
// graceful shutdown does, must not attract the requests because it looks idle.
func TestRefusingExecutorIsPaused(t *testing.T) {
	pool := NewPool("h", PolicyLocal, testSlots, rand.New(rand.NewPCG(1, 1)))
	pool.Update(testExecutors(2), []model.HostID{"h"})
	now := testStart
	refused := 0
	for range 1000 {
		executor, ok := pool.Pick(now, nil)
		require.True(t, ok)
		result := Succeeded
		if executor.ID == "e0" {
			result = Refused
			refused++
		}
		pool.Release(executor.ID, result, 0, now)
		now = now.Add(time.Millisecond)
	}
	require.Less(t, refused, 15)
}

func TestRetryBudget(t *testing.T) {
	budget := NewRetryBudget()
	spent := 0
	for range 1000 {
		budget.Deposit()
		if budget.Withdraw() {
			spent++
		}
	}
	require.InDelta(t, 1000*retriesPerRequest+initialRetryTokens, spent, 1)
}
