package entry

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
	standin "github.com/chervilrun/chervilrun/internal/standin/executor"
)

// TestFrozenExecutorDoesNotHoldUpRequests freezes one executor for ever. Requests
// that may be repeated are answered by others without a retry, which would come only
// after half of their time, and the frozen one gets hardly any: at most the failures in
// a row that eject it and, beside these, one for each of its slots.
func TestFrozenExecutorDoesNotHoldUpRequests(t *testing.T) {
	const (
		slots             = 8
		ejectAfter        = 5
		callers           = 4
		requestsPerCaller = 100
	)
	b := newTestbed(t, testbedOptions{hosts: 1, executors: 4, slots: slots})
	for i := range 200 {
		_, err := send(b, 0, "", fmt.Sprint("warm up ", i))
		require.NoError(t, err)
	}
	b.executors[0].SetFaults(standin.Faults{Frozen: true})
	defer b.setFaults(standin.Faults{})
	before := b.executors[0].Stats().Requests
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() {
			for i := range requestsPerCaller {
				body := fmt.Sprint(c, "/", i)
				answer, err := send(b, 0, "", body)
				if err != nil || string(answer.Body) != string(standin.Transform([]byte(body))) {
					t.Errorf("%s: %q, %v", body, answer.Body, err)
				}
			}
		})
	}
	group.Wait()
	require.LessOrEqual(t, b.executors[0].Stats().Requests-before, int64(ejectAfter+slots))
	require.Zero(t, b.count(event.RequestRetried))
}

// count returns how many events of a kind the first host keeps.
func (b *testbed) count(number event.Number) int {
	count := 0
	for _, e := range b.servers[0].options.Events.Read(event.Filter{}) {
		if e.Number == number {
			count++
		}
	}
	return count
}

// TestWorkThatMayNotBeRepeatedIsNotHedged freezes every executor for a while.
func TestWorkThatMayNotBeRepeatedIsNotHedged(t *testing.T) {
	b := newTestbed(t, testbedOptions{hosts: 1, executors: 4, slots: 8})
	for i := range 100 {
		_, err := send(b, 0, fmt.Sprint("warm-", i), "x")
		require.NoError(t, err)
	}
	b.setFaults(standin.Faults{ServiceMS: 300})
	answer, err := send(b, 0, "slow", "x")
	require.NoError(t, err)
	require.Equal(t, 1, answer.Attempts)
	require.Equal(t, 1, b.runs()["slow"])
}
