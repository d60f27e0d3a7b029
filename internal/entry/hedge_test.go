package entry

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
	standin "github.com/chervilrun/chervilrun/internal/standin/executor"
)

// TestFrozenExecutorDoesNotDelayRequests freezes one executor permanently. Hedges must
// complete repeatable requests on other executors without a retry, which would come only
// after half of the deadline. The frozen executor may get only as many requests as the
// consecutive failures that eject it, plus one for each of its slots.
func TestFrozenExecutorDoesNotDelayRequests(t *testing.T) {
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
				response, err := send(b, 0, "", body)
				if err != nil || string(response.Body) != string(standin.Transform([]byte(body))) {
					t.Errorf("%s: %q, %v", body, response.Body, err)
				}
			}
		})
	}
	group.Wait()
	require.LessOrEqual(t, b.executors[0].Stats().Requests-before, int64(ejectAfter+slots))
	require.Zero(t, b.count(event.RequestRetried))
}

// count returns the number of events of one kind in the first host's event timeline.
func (b *testbed) count(number event.Number) int {
	count := 0
	for _, e := range b.servers[0].options.Events.Read(event.Filter{}) {
		if e.Number == number {
			count++
		}
	}
	return count
}

// TestWorkThatMayNotBeRepeatedIsNotHedged slows down every executor. A request that may
// not be repeated must still be sent only once.
func TestWorkThatMayNotBeRepeatedIsNotHedged(t *testing.T) {
	b := newTestbed(t, testbedOptions{hosts: 1, executors: 4, slots: 8})
	for i := range 100 {
		_, err := send(b, 0, fmt.Sprint("warm-", i), "x")
		require.NoError(t, err)
	}
	b.setFaults(standin.Faults{ServiceMS: 300})
	response, err := send(b, 0, "slow", "x")
	require.NoError(t, err)
	require.Equal(t, 1, response.Attempts)
	require.Equal(t, 1, b.runs()["slow"])
}
