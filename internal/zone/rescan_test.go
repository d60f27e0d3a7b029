package zone_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
