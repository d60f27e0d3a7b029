package zone_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/store"
)

// TestRescanReadsEveryPage stores more records than fit in a page. In steady state a
// rescan must read each page once.
func TestRescanReadsEveryPage(t *testing.T) {
	const (
		jobs          = 450
		pages         = 3
		zones         = 2
		rescansPerRun = 3 // at most, within two minutes
	)
	c := newTestCluster(t, 21, 4)
	c.run(time.Second)
	for i := range jobs {
		c.submitTo(c.zones[0], spec(fmt.Sprintf("job-%03d", i), 8, time.Hour))
	}
	c.run(30 * time.Second)
	before := c.storeCalls
	c.run(2 * time.Minute)
	require.LessOrEqual(t, c.storeCalls-before, pages*zones*rescansPerRun)
}

// TestUndecodableRecordOfASubmittedJob submits a job under whose key the store holds a value
// that can't be decoded. Its callers must be told that the outcome is unknown, and not be
// left waiting.
func TestUndecodableRecordOfASubmittedJob(t *testing.T) {
	c := newTestCluster(t, 22, 4)
	c.run(time.Second)
	_, err := c.store.Txn(t.Context(), store.Txn{Then: []store.Op{{Put: &store.Put{Key: store.JobKey(c.zones[0].id, "a"), Value: []byte("{")}}}})
	require.NoError(t, err)
	c.submitTo(c.zones[0], spec("a", 1, time.Second))
	answered := func() bool { return c.outcomes["a"].Kind != "" }
	require.True(t, c.runUntil(20*time.Second, answered))
	require.Equal(t, outcome.Unknown, c.outcomes["a"].Kind)
	c.submitTo(c.zones[0], spec("b", 1, time.Second))
	require.True(t, c.runUntil(20*time.Second, c.haveEnded("b")))
}
