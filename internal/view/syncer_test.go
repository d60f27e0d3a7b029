package view_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/hostlist"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
)

func TestHostWithoutStoreFollowsAPeer(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startThreeHosts()
		c.disconnectStore("a", "b")
		c.sleep(10 * time.Second)
		require.True(c.t, c.mayStart(c.syncers["a"]), "confirmed by c")
		c.configure(c.storeClients["c"], 2, true)
		c.sleep(2 * time.Second)
		require.EqualValues(c.t, 2, c.version("a"))
		require.EqualValues(c.t, 2, c.version("b"))
	})
}

func TestHostWithoutStoreStopsWhenAMemberIsUnreachable(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startThreeHosts()
		c.disconnectStore("a", "b")
		c.setPartitioned(true, "c", "a", "b")
		c.sleep(view.MaxConfirmationAge + time.Second)
		require.False(c.t, c.mayStart(c.syncers["a"]))
		c.sleep(time.Hour)
		require.False(c.t, c.mayStart(c.syncers["a"]))
		require.True(c.t, c.mayStart(c.syncers["c"]))
	})
}

func TestTasksMayStartWhenNoMemberReachesTheStore(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startThreeHosts()
		c.store.SetFaults(memory.Faults{Down: true})
		c.sleep(6 * time.Second)
		for range 3600 {
			c.sleep(time.Second)
			require.True(c.t, c.mayStart(c.syncers["a"]))
		}
	})
}

func TestHostStartedDuringOutageGetsViewFromPeers(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startThreeHosts()
		c.store.SetFaults(memory.Faults{Down: true})
		c.sleep(10 * time.Second)
		c.startSyncer("d", nil, "a")
		c.sleep(5 * time.Second)
		require.EqualValues(c.t, 1, c.version("d"))
		require.Len(c.t, c.syncers["d"].Current().Members, 3)
		require.True(c.t, c.mayStart(c.syncers["d"]))
		require.True(c.t, c.mayStart(c.syncers["a"]))
	})
}

// TestUnknownHostIsRecordedAsPeer: a host starts while the others can't reach the store,
// reaches it itself, and takes a zone out of service. The others must learn of the host and
// of the change.
func TestUnknownHostIsRecordedAsPeer(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startThreeHosts()
		c.disconnectStore("a", "b", "c")
		c.sleep(10 * time.Second)
		require.True(c.t, c.mayStart(c.syncers["a"]))
		c.startSyncer("d", nil, "a", "b", "c")
		c.sleep(time.Second)
		c.configure(c.storeClients["d"], 2, true)
		c.sleep(view.MaxConfirmationAge)
		for _, name := range []string{"a", "b", "c"} {
			require.False(c.t, c.mayStart(c.syncers[name]), name)
			require.EqualValues(c.t, 2, c.version(name), name)
		}
	})
}

// TestChangeWithLostResponseKeepsOutageUnconfirmed: a change may have taken effect just before
// the store became unreachable for all hosts, and its response was lost. The outage must not
// be confirmed until the outcome is known.
func TestChangeWithLostResponseKeepsOutageUnconfirmed(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startThreeHosts()
		c.disconnectStore("a", "b")
		c.setPartitioned(true, "c", "a", "b")
		done := c.syncers["c"].BeginChange()
		c.disconnectStore("c")
		c.setPartitioned(false, "c", "a", "b")
		for range 60 {
			c.sleep(time.Second)
			require.False(c.t, c.syncers["a"].Confirmation().OutageConfirmed)
		}
		done()
		c.sleep(5 * time.Second)
		require.True(c.t, c.syncers["a"].Confirmation().OutageConfirmed)
	})
}

// TestAcceptedChangeMissingFromViewKeepsOutageUnconfirmed: the store becomes unreachable
// for all hosts right after it has accepted a change, before any watch reports it.
func TestAcceptedChangeMissingFromViewKeepsOutageUnconfirmed(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.configure(c.store, 1, false)
		c.registerMembers("a", "b", "c")
		for _, name := range []string{"a", "b", "c"} {
			c.startSyncer(name, silentStore{c.store})
		}
		c.sleep(5500 * time.Millisecond)
		c.configure(c.syncers["c"].TrackWrites(c.store), 2, true)
		c.store.SetFaults(memory.Faults{Down: true})
		c.sleep(view.MaxConfirmationAge)
		for range 60 {
			c.sleep(time.Second)
			require.False(c.t, c.mayStart(c.syncers["a"]))
		}
	})
}

// TestChangeInViewAllowsConfirmedOutage: the store becomes unreachable for all hosts right
// after the watch has reported an accepted change, before the next confirmation.
func TestChangeInViewAllowsConfirmedOutage(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startThreeHosts()
		c.sleep(500 * time.Millisecond)
		c.configure(c.syncers["c"].TrackWrites(c.store), 2, false)
		c.sleep(10 * time.Millisecond)
		c.store.SetFaults(memory.Faults{Down: true})
		c.sleep(6 * time.Second)
		require.True(c.t, c.mayStart(c.syncers["a"]))
	})
}

// TestAnnouncedEpochKeepsOutageUnconfirmed: the store becomes unreachable for all hosts while
// a scheduler writes an epoch. Its host must not confirm the outage until the write is known
// to have had no effect.
func TestAnnouncedEpochKeepsOutageUnconfirmed(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startThreeHosts()
		c.sleep(5 * time.Second)
		announce := func(withdrawn bool) {
			_, err := c.syncers["c"].Announce(t.Context(), &rpc.AnnounceRequest{Zone: "a", Epoch: 8, Withdrawn: withdrawn})
			require.NoError(c.t, err)
		}
		announce(false)
		c.store.SetFaults(memory.Faults{Down: true})
		c.sleep(view.MaxConfirmationAge + time.Second)
		for range 30 {
			c.sleep(time.Second)
			require.False(c.t, c.mayStart(c.syncers["a"]))
		}
		announce(true)
		c.sleep(5 * time.Second)
		require.True(c.t, c.mayStart(c.syncers["a"]))
	})
}

// slowStore is a store with slow transactions.
type slowStore struct {
	store.Store
	clock clockwork.Clock
}

// Txn implements store.Store.
func (s slowStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	s.clock.Sleep(500 * time.Millisecond)
	return s.Store.Txn(ctx, txn)
}

// TestOlderMembersOfPeerAreIgnored: a host starts and reads the store before the
// watches of its peers have reported its own key. Its peers' older list of members must not
// replace its own.
func TestOlderMembersOfPeerAreIgnored(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.configure(c.store, 1, false)
		c.registerMembers("a", "b")
		for _, name := range []string{"a", "b"} {
			c.startSyncer(name, silentStore{c.store})
		}
		c.sleep(100 * time.Millisecond)
		c.registerMembers("c")
		c.callDelay = 100 * time.Millisecond
		c.startSyncer("c", slowStore{c.store, c.clock}, "a", "b")
		c.sleep(3 * time.Second)
		require.Len(c.t, c.syncers["c"].Current().Members, 3)
	})
}

// TestRestartedHostDoesNotConfirmOutageForPreviousProcess: a host accepts a change and
// crashes as the store becomes unreachable, before any peer learns of the change. The
// restarted host must not confirm the outage.
func TestRestartedHostDoesNotConfirmOutageForPreviousProcess(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startThreeHosts()
		c.disconnectStore("a", "b")
		c.sleep(2 * time.Second)
		c.setPartitioned(true, "c", "a", "b")
		c.configure(c.storeClients["c"], 2, true)
		c.stopHost("c")
		c.disconnectStore("c")
		c.startSyncer("c", nil, "a", "b")
		c.setPartitioned(false, "c", "a", "b")
		c.sleep(view.MaxConfirmationAge)
		for range 60 {
			c.sleep(time.Second)
			require.False(c.t, c.mayStart(c.syncers["a"]))
		}
		c.storeClients["b"].SetFaults(memory.Faults{})
		c.sleep(5 * time.Second)
		require.EqualValues(c.t, 2, c.version("a"))
	})
}

func TestDelistedHostIsNotRequiredForOutage(t *testing.T) {
	runCluster(t, func(c *cluster) {
		listed := []hostlist.EntryHost{{Host: "a"}, {Host: "b"}, {Host: "c"}}
		c.setHosts(hostlist.Hosts{EntryHosts: listed})
		c.startThreeHosts()
		c.store.SetFaults(memory.Faults{Down: true})
		c.sleep(10 * time.Second)
		c.stopHost("c")
		c.sleep(10 * time.Second)
		require.False(c.t, c.mayStart(c.syncers["a"]))
		c.setHosts(hostlist.Hosts{EntryHosts: listed[:2]})
		c.sleep(5 * time.Second)
		require.True(c.t, c.mayStart(c.syncers["a"]))
	})
}

// silentStore is a store whose watches never report a change.
type silentStore struct{ store.Store }

type silentWatch struct{ batches chan store.WatchBatch }

func (w silentWatch) Batches() <-chan store.WatchBatch { return w.batches }
func (w silentWatch) Err() error                       { return nil }

// Watch implements store.Store.
func (s silentStore) Watch(ctx context.Context, _ string, _ store.Revision) (store.Watch, error) {
	w := silentWatch{make(chan store.WatchBatch)}
	context.AfterFunc(ctx, func() { close(w.batches) })
	return w, nil
}

// TestViewFollowsStoreDespiteSilentWatch: with a watch that has silently stopped,
// confirmations still bring the configuration and the epochs, and the next resync the members.
func TestViewFollowsStoreDespiteSilentWatch(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.configure(c.store, 1, false)
		c.put(c.store, store.EpochKey("a"), []byte("1"))
		syncer := c.startSyncer("a", silentStore{c.store})
		c.sleep(5 * time.Second)
		c.configure(c.store, 2, true)
		c.put(c.store, store.EpochKey("a"), []byte("2"))
		c.registerMembers("b")
		c.sleep(2 * time.Second)
		require.EqualValues(c.t, 2, syncer.Current().Config.Version)
		require.EqualValues(c.t, 2, syncer.Current().Epochs["a"])
		c.sleep(20 * time.Second)
		require.Len(c.t, syncer.Current().Members, 1)
	})
}

func TestBrokenAndCompactedWatchesAreRestartedWithoutVersionRollback(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.configure(c.store, 1, false)
		c.startSyncer("a", nil)
		c.sleep(time.Second)
		c.store.Compact()
		c.configure(c.store, 2, false)
		c.registerMembers("b")
		c.sleep(2 * time.Second)
		require.EqualValues(c.t, 2, c.version("a"))
		require.Len(c.t, c.syncers["a"].Current().Members, 1)
		c.store.BreakWatches()
		c.configure(c.store, 1, false)
		c.sleep(5 * time.Second)
		require.EqualValues(c.t, 2, c.version("a"), "a lower version is not applied")
		require.False(c.t, c.mayStart(c.syncers["a"]), "the view with a higher version is not confirmed")
	})
}

func TestASlowStoreStillConfirms(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startThreeHosts()
		c.store.SetFaults(memory.Faults{Delay: time.Second, ResponseDelay: 900 * time.Millisecond})
		c.sleep(5 * time.Second)
		for range 60 {
			c.sleep(100 * time.Millisecond)
			require.True(c.t, c.mayStart(c.syncers["a"]))
		}
	})
}
