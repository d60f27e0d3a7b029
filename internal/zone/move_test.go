package zone_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/zone"
)

// Guards against a move that isn't in the store yet being taken for one that failed: its write takes
// effect later, and the job ran in both zones.
func TestJobWhoseMoveTakesEffectLateRunsInOneZone(t *testing.T) {
	for name, isRepeatable := range map[string]bool{"repeatable": true, "one run only": false} {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 62, 2)
			z := c.zones[0]
			c.run(time.Second)
			c.submitTo(z, nonRepeatable("a", 4, 4*time.Second)) // fills the zone, and is not moved
			waiting := nonRepeatable("b", 4, 100*time.Second)
			if isRepeatable {
				waiting = spec("b", 4, 100*time.Second)
			}
			c.submitTo(z, waiting)
			c.run(2 * time.Second)
			written := z.owner.calls[zone.CallWrite]
			c.writesToDelay = 1
			c.setOutOfService(z, true)
			for z.owner.calls[zone.CallWrite] < written+2 { // read back, and being written again
				c.run(100 * time.Microsecond)
			}
			c.setOutOfService(z, false)
			c.storeDown = true
			c.run(10 * time.Second)
			c.storeDown = false
			require.True(t, c.runUntil(4*time.Minute, c.haveEnded("a", "b")), "not ended: %v", c.unfinished([]model.JobID{"a", "b"}))
			c.requireInvariants()
			record, _ := c.record("b")
			require.Equal(t, outcome.Done, record.Outcome.Kind, "%s", record.Outcome)
			require.Equal(t, c.zones[1].id, record.Zone)
		})
	}
}
