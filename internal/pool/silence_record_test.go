package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/store"
)

// silenceFollowDelay is the time from a write to when the hosts that follow the store see it.
const silenceFollowDelay = 20 * time.Millisecond

// followSilence lets the host that will be the next owner see the record of silent workers.
func (sim *simulation) followSilence() {
	if sim.followsNothing {
		return
	}
	if sim.storeDown {
		sim.after(silenceFollowDelay, sim.followSilence)
		return
	}
	sim.seenSilence.Observe(sim.silenceRecord(), sim.now())
}

// silenceRecord returns the record of silent workers; nil if there is none.
func (sim *simulation) silenceRecord() *pool.SilenceRecord {
	kvs := sim.rangeAll(store.PoolSilenceKey)
	if len(kvs) == 0 {
		return nil
	}
	record, err := pool.DecodeSilence(kvs[0].Value)
	require.NoError(sim.t, err)
	return record
}

func (o *fakeOwner) trustSilence() {
	if o.stopped || o.sim.unawareOwner {
		return
	}
	o.owner.TrustSilence(o.sim.seenSilence.Clone(), o.sim.now())
	o.advanceIn(0)
}

// replaceOwner stops the owner and lets another one take over after d.
func (sim *simulation) replaceOwner(d time.Duration) {
	sim.owner.stopped = true
	sim.run(d)
	sim.takeOver()
}

// lostRunBound is the goal for the time from the last lease that a worker may have been granted to
// the next start of its tasks.
const lostRunBound = workerLease*102/100 + time.Second

// Guards against a wait that begins anew with each owner: a task whose worker had left was started
// again 10.6 s after the latest takeover, however long the worker had been gone.
func TestWaitForALostWorkerOutlivesItsOwner(t *testing.T) {
	for name, takeovers := range map[string][]time.Duration{
		"none":                  nil,
		"at 3 s":                {3 * time.Second},
		"at 5 s":                {5 * time.Second},
		"at 2 s, then at 4 s":   {2 * time.Second, 4 * time.Second},
		"each second":           {2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 6 * time.Second},
		"while it is too late":  {6900 * time.Millisecond},
		"at 1 s and soon again": {time.Second, 1200 * time.Millisecond, 1400 * time.Millisecond},
	} {
		for _, cut := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, cut %v", name, cut), func(t *testing.T) {
				sim := startSimulation(t, 1, 4)
				_, f := sim.submitToOneWorker(serving())
				gone := sim.now()
				if cut {
					// It takes until the end of a waiting call to notice.
					sim.unreachable[f.info.ID] = true
					sim.run(pool.DefaultTiming(workerLease, retention).RenewalWait + 1500*time.Millisecond)
				} else {
					f.leave()
					f.unlist()
				}
				for _, at := range takeovers {
					if wait := gone.Add(at).Sub(sim.now()); wait > 0 {
						sim.run(wait)
						sim.replaceOwner(0)
					}
				}
				require.True(t, sim.runUntil(gone.Add(lostRunBound).Sub(sim.now()), func() bool { return sim.audit.starts == 2 }),
					"the task is not started again within %s", lostRunBound)
				sim.run(20 * time.Second)
				require.Equal(t, 2, sim.audit.starts)
			})
		}
	}
}

// Guards against a wait that begins anew with each owner since it judges the record of silent workers before
// it has read its jobs: without runs the workers were removed from the record.
func TestWaitForALostWorkerOutlivesOwnersThatReadTheirJobsLater(t *testing.T) {
	for _, loadDelay := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond} {
		for _, unlisted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, unlisted %v", loadDelay, unlisted), func(t *testing.T) {
				sim := startSimulation(t, 1, 4)
				sim.loadDelay = loadDelay
				_, f := sim.submitToOneWorker(serving())
				gone := sim.now()
				sim.unreachable[f.info.ID] = true
				sim.run(pool.DefaultTiming(workerLease, retention).RenewalWait + 1500*time.Millisecond)
				if unlisted {
					f.unlist()
				}
				for _, at := range []time.Duration{4 * time.Second, 5 * time.Second, 6 * time.Second} {
					sim.run(gone.Add(at).Sub(sim.now()))
					sim.replaceOwner(0)
				}
				require.True(t, sim.runUntil(gone.Add(lostRunBound).Sub(sim.now()), func() bool { return sim.audit.starts == 2 }),
					"the task is not started again within %s", lostRunBound)
				sim.run(20 * time.Second)
				require.Equal(t, 2, sim.audit.starts)
			})
		}
	}
}

// Two outages of the store 10 s apart, each with a takeover, add no wait of their own: the task is
// started again with the second owner at the latest.
func TestWaitForALostWorkerOutlivesStoreOutages(t *testing.T) {
	for _, leavesAt := range []time.Duration{0, 2 * time.Second, 4 * time.Second} {
		t.Run(fmt.Sprintf("leaves at %s", leavesAt), func(t *testing.T) {
			sim := startSimulation(t, 1, 4)
			_, f := sim.submitToOneWorker(serving())
			var startOfOwner time.Time
			outage := func() {
				sim.storeDown, sim.owner.renewing = true, false
				sim.run(ownerLease)
				sim.owner.stopped = true
				sim.run(time.Second)
				sim.storeDown = false
				sim.takeOver()
				startOfOwner = sim.now()
			}
			sim.after(leavesAt, func() {
				f.leave()
				f.unlist()
			})
			// The worker leaves during the first outage or after it; the first owner can't record it.
			outage()
			lastRenewal := startOfOwner.Add(pool.LeaseRenewalGrace)
			sim.run(6 * time.Second)
			outage()
			require.True(t, sim.runUntil(lastRenewal.Add(lostRunBound).Sub(sim.now()), func() bool { return sim.audit.starts == 2 }))
			sim.run(20 * time.Second)
			require.Equal(t, 2, sim.audit.starts)
		})
	}
}
