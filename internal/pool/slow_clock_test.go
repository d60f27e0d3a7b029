package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A worker whose clock is 2% slow and that is cut off keeps its runs for longer than its lease says;
// no task is started elsewhere before. The owner's last reading of the clock may be old.
func TestLeaseOfAWorkerWithASlowClockIsWaitedOut(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		for phase := range 12 {
			t.Run(fmt.Sprintf("takeover %v, phase %d", takeOver, phase), func(t *testing.T) {
				sim := newSimulation(t, 1, 1, 4)
				for _, f := range sim.workers {
					f.slowness = 0.02
				}
				sim.after(0, sim.tick)
				sim.takeOver()
				sim.run(29 * time.Second)
				_, f := sim.submitToOneWorker(step(1, 8, time.Minute))
				sim.run(time.Duration(phase) * 200 * time.Millisecond)
				sim.unreachable[f.info.ID] = true
				if takeOver {
					sim.owner.stopped = true
					sim.takeOver()
				}
				sim.run(20 * time.Second)
				require.Equal(t, 2, sim.audit.starts)
			})
		}
	}
}
