package ownership_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/ownership"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
)

var threeZones = []model.AvailabilityZoneID{"fukuoka", "kagoshima", "kumamoto"}

// startDelay is the time between the starts of two hosts; it keeps their periodic work
// from coinciding.
const startDelay = 137 * time.Millisecond

// runInCluster runs a test on a cluster of count hosts once every zone is with its
// preferred owner.
func runInCluster(t *testing.T, count int, run func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		require.NoError(t, c.configure(nil, threeZones))
		for i := range count {
			c.start(hostID(i))
			c.clock.Sleep(startDelay)
		}
		c.eventually(time.Minute, "every zone has an owner", c.allOwned)
		// Wait until the zones that the first host took have moved to their preferred owners.
		c.clock.Sleep(45 * time.Second)
		c.eventually(time.Minute, "every zone has an owner", c.allOwned)
		c.invariants.resetGap()
		run(c)
		require.Empty(t, c.invariants.violation())
	})
}

func (c *cluster) allOwned() bool { return len(c.owners()) == len(threeZones) }

func (c *cluster) ownerOf(zone model.AvailabilityZoneID) *host { return c.hosts[c.owners()[zone]] }

func TestZonesSpreadAndMoveBackAfterAHostJoins(t *testing.T) {
	runInCluster(t, 3, func(c *cluster) {
		for zone, owner := range c.owners() {
			require.Equal(c.t, c.preferred(zone), owner, "zone %s", zone)
		}
	})
}

func TestAKilledOwnerIsReplacedAfterItsLease(t *testing.T) {
	runInCluster(t, 3, func(c *cluster) {
		c.ownerOf("fukuoka").kill()
		waited := c.eventually(20*time.Second, "the zone has a new owner", c.allOwned)
		require.LessOrEqual(c.t, waited, leaseTTL+time.Second)
	})
}

func TestAPlannedStopHandsOverAtOnce(t *testing.T) {
	runInCluster(t, 3, func(c *cluster) {
		h := c.ownerOf("fukuoka")
		ctx, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
		defer cancel()
		require.NoError(c.t, h.elector.Drain(ctx))
		waited := c.eventually(time.Minute, "the zone has a new owner", c.allOwned)
		require.Less(c.t, waited, 500*time.Millisecond)
		h.kill()
	})
}

func TestAPausedOwnerFindsItsLeaseLapsed(t *testing.T) {
	runInCluster(t, 3, func(c *cluster) {
		h := c.ownerOf("fukuoka")
		epoch := h.ownedZones()["fukuoka"]
		h.pauser.pause()
		c.eventually(20*time.Second, "the zone has a new owner", func() bool {
			owner := c.ownerOf("fukuoka")
			return owner != nil && owner != h
		})
		require.False(c.t, h.elector.MayAct("fukuoka", epoch))
		h.pauser.resume()
		require.False(c.t, h.elector.MayAct("fukuoka", epoch))
		c.eventually(10*time.Second, "the paused owner has given up the zone", func() bool { return h.ownedZones()["fukuoka"] == 0 })
	})
}

func TestOwnersKeepTheirZonesThroughAnOutage(t *testing.T) {
	runInCluster(t, 3, func(c *cluster) {
		before := c.owners()
		epochs := c.epochs()
		c.store.SetFaults(memory.Faults{Down: true})
		c.clock.Sleep(10 * time.Second)
		c.invariants.resetGap()
		c.clock.Sleep(10 * time.Minute)
		require.Equal(c.t, before, c.owners())
		require.Less(c.t, c.invariants.longestGap(), time.Second, "owners keep acting")
		c.store.SetFaults(memory.Faults{})
		c.clock.Sleep(20 * time.Second)
		require.Equal(c.t, before, c.owners())
		require.Equal(c.t, epochs, c.epochs(), "no epoch was raised")
	})
}

func TestAHostPartitionedFromTheStoreAloneLosesItsZones(t *testing.T) {
	runInCluster(t, 3, func(c *cluster) {
		h := c.ownerOf("fukuoka")
		h.store.SetFaults(memory.Faults{Down: true})
		c.eventually(20*time.Second, "another host owns the zone", func() bool { return c.ownerOf("fukuoka") != h })
		c.eventually(3*time.Second, "the host has learned of it from its peers", func() bool { return len(h.ownedZones()) == 0 })
	})
}

func TestLostResponsesAreReadBack(t *testing.T) {
	runInCluster(t, 3, func(c *cluster) {
		h := c.ownerOf("fukuoka")
		before := c.epochs()["fukuoka"]
		h.kill()
		c.clock.Sleep(leaseTTL - time.Second)
		for _, other := range c.hosts {
			other.store.SetFaults(memory.Faults{LoseResponses: memory.AllResponses})
		}
		c.eventually(3*time.Second, "the zone has a new owner", c.allOwned)
		require.Equal(c.t, before+1, c.epochs()["fukuoka"], "the epoch was raised once")
	})
}

// fixedViews is a view.Source that does not signal changes.
type fixedViews struct {
	view         atomic.Pointer[view.View]
	confirmation view.Confirmation
}

func (f *fixedViews) Current() *view.View             { return f.view.Load() }
func (f *fixedViews) Confirmation() view.Confirmation { return f.confirmation }
func (f *fixedViews) Changed() <-chan struct{}        { return nil }

func TestAHigherEpochInTheViewStopsTheOwnerAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		h := &host{cluster: c, member: view.Member{Host: "h"}, zones: map[model.AvailabilityZoneID]model.Epoch{}}
		views := &fixedViews{}
		zone := model.AvailabilityZone{ID: "fukuoka"}
		v := &view.View{Config: &config.Cluster{Zones: []model.AvailabilityZone{zone}}, Members: []view.Member{h.member}}
		views.view.Store(v)
		elector := ownership.NewElector(ownership.Options{
			Store: c.store, Views: views, Member: h.member, Handler: h, Clock: c.clock, LeaseTTL: leaseTTL,
			Events: event.NewRecorder("h", c.clock, c.log, 16), Metrics: prometheus.NewRegistry(),
		})
		ctx, stop := context.WithCancel(t.Context())
		go elector.Run(ctx)
		c.eventually(time.Second, "the zone is taken", func() bool { return elector.MayAct("fukuoka", 1) })
		raised := *v
		raised.Epochs = map[model.AvailabilityZoneID]model.Epoch{"fukuoka": 2}
		views.view.Store(&raised)
		require.False(t, elector.MayAct("fukuoka", 1))
		stop()
	})
}

func TestARestartedHostTakesItsZonesBackAtOnce(t *testing.T) {
	runInCluster(t, 3, func(c *cluster) {
		h := c.ownerOf("fukuoka")
		h.kill()
		c.start(h.id)
		waited := c.eventually(20*time.Second, "the zone has an owner", c.allOwned)
		require.Less(c.t, waited, time.Second)
	})
}

func TestAllHostsReplacedOneAfterAnother(t *testing.T) {
	runInCluster(t, 3, func(c *cluster) {
		for i := range 3 {
			c.start(hostID(10+i), hostID(10+i-1))
			c.clock.Sleep(5 * time.Second)
			old := c.hosts[hostID(i)]
			ctx, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
			require.NoError(c.t, old.elector.Drain(ctx))
			cancel()
			old.kill()
			c.eventually(time.Second, "every zone has an owner", c.allOwned)
		}
		require.Less(c.t, c.invariants.longestGap(), time.Second)
	})
}

func TestAllHostsKilledAtOnce(t *testing.T) {
	runInCluster(t, 3, func(c *cluster) {
		for _, h := range c.hosts {
			h.kill()
		}
		for i := range 3 {
			c.start(hostID(20 + i))
		}
		c.eventually(20*time.Second, "every zone has an owner", c.allOwned)
	})
}
