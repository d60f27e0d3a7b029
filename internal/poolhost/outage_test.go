package poolhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/store"
)

// The longer an outage lasts, the later callers are told to come again.
func TestRetryAfterGrowsWithTheOutage(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	o := newOutage()
	require.Equal(t, minRetryAfter, o.retryAfter(now))
	o.note("owner", store.ErrUnavailable, now)
	o.note("configuration", store.ErrUnavailable, now.Add(time.Second))
	for _, c := range []struct{ age, expected time.Duration }{
		{100 * time.Millisecond, minRetryAfter},
		{2500 * time.Millisecond, 2500 * time.Millisecond},
		{time.Minute, maxRetryAfter},
	} {
		require.Equal(t, c.expected, o.retryAfter(now.Add(c.age)))
	}
	o.note("owner", nil, now.Add(time.Minute))
	_, over, away := o.state()
	require.True(t, away)
	o.note("configuration", nil, now.Add(time.Minute))
	<-over
	require.Equal(t, minRetryAfter, o.retryAfter(now.Add(time.Minute)))
}

// A store that has dropped its history can be reached.
func TestCompactionIsNoOutage(t *testing.T) {
	o := newOutage()
	o.note("owner", store.ErrCompacted, time.Now())
	_, _, away := o.state()
	require.False(t, away)
}
