package eventqueue_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/eventqueue"
)

func TestEventsRunInOrder(t *testing.T) {
	clock := clockwork.NewFakeClock()
	start := clock.Now()
	s := eventqueue.NewSimulation(clock)
	var ran []string
	record := func(name string) func() { return func() { ran = append(ran, name) } }
	s.After(2*time.Second, record("late"))
	s.After(time.Second, record("first"))
	s.After(time.Second, func() {
		record("second")()
		s.After(0, record("added"))
	})
	require.False(t, s.RunUntil(500*time.Millisecond, func() bool { return len(ran) > 0 }))
	require.Equal(t, 500*time.Millisecond, clock.Now().Sub(start))
	require.True(t, s.RunUntil(time.Minute, func() bool { return len(ran) == 3 }))
	require.Equal(t, time.Second, clock.Now().Sub(start))
	s.Run(time.Minute)
	require.Equal(t, []string{"first", "second", "added", "late"}, ran)
}
