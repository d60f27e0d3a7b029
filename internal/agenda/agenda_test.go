package agenda_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/agenda"
)

func TestThingsHappenInOrder(t *testing.T) {
	clock := clockwork.NewFakeClock()
	start := clock.Now()
	a := agenda.New(clock)
	var seen []string
	note := func(name string) func() { return func() { seen = append(seen, name) } }
	a.After(2*time.Second, note("late"))
	a.After(time.Second, note("first"))
	a.After(time.Second, func() {
		note("second")()
		a.After(0, note("added"))
	})
	require.False(t, a.RunUntil(500*time.Millisecond, func() bool { return len(seen) > 0 }))
	require.Equal(t, 500*time.Millisecond, clock.Now().Sub(start))
	require.True(t, a.RunUntil(time.Minute, func() bool { return len(seen) == 3 }))
	require.Equal(t, time.Second, clock.Now().Sub(start))
	a.Run(time.Minute)
	require.Equal(t, []string{"first", "second", "added", "late"}, seen)
}
