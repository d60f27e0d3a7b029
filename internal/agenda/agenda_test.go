package agenda_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/agenda"
)

func TestEventsRunInOrder(t *testing.T) {
	clock := clockwork.NewFakeClock()
	start := clock.Now()
	a := agenda.New(clock)
	var ran []string
	record := func(name string) func() { return func() { ran = append(ran, name) } }
	a.After(2*time.Second, record("late"))
	a.After(time.Second, record("first"))
	a.After(time.Second, func() {
		record("second")()
		a.After(0, record("added"))
	})
	require.False(t, a.RunUntil(500*time.Millisecond, func() bool { return len(ran) > 0 }))
	require.Equal(t, 500*time.Millisecond, clock.Now().Sub(start))
	require.True(t, a.RunUntil(time.Minute, func() bool { return len(ran) == 3 }))
	require.Equal(t, time.Second, clock.Now().Sub(start))
	a.Run(time.Minute)
	require.Equal(t, []string{"first", "second", "added", "late"}, ran)
}
