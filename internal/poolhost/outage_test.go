package poolhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/store"
)

// The retry-after time returned to callers grows with the duration of the outage.
func TestRetryAfterGrowsWithTheOutage(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	o := newOutageTracker()
	require.Equal(t, minRetryAfter, o.retryAfter(now))
	o.recordRead("owner", store.ErrUnavailable, now)
	o.recordRead("configuration", store.ErrUnavailable, now.Add(time.Second))
	for _, c := range []struct{ duration, expected time.Duration }{
		{100 * time.Millisecond, minRetryAfter},
		{2500 * time.Millisecond, 2500 * time.Millisecond},
		{time.Minute, maxRetryAfter},
	} {
		require.Equal(t, c.expected, o.retryAfter(now.Add(c.duration)))
	}
	o.recordRead("owner", nil, now.Add(time.Minute))
	_, ended, unreachable := o.state()
	require.True(t, unreachable)
	o.recordRead("configuration", nil, now.Add(time.Minute))
	<-ended
	require.Equal(t, minRetryAfter, o.retryAfter(now.Add(time.Minute)))
}

// A read that fails because the history of the store was compacted does not mean that the
// store is unreachable.
func TestCompactionIsNoOutage(t *testing.T) {
	o := newOutageTracker()
	o.recordRead("owner", store.ErrCompacted, time.Now())
	_, _, unreachable := o.state()
	require.False(t, unreachable)
}
