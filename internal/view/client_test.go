package view_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/hostlist"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/view"
)

// startClient starts a client of the host "a".
func (c *cluster) startClient(dial func(string) rpc.Relay, seeds ...string) *view.Client {
	client := view.NewClient(view.ClientOptions{
		Host: "a", AdminAddress: "a", Seeds: seeds, Clock: c.clock, Events: c.events, Dial: dial,
	})
	ctx, cancel := context.WithCancel(c.t.Context())
	c.cancels["client"] = cancel
	go client.Run(ctx)
	return client
}

func TestClientFailsOverToAnotherHost(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.setHosts(hostlist.Hosts{Workers: []model.Worker{{ID: "w1", Zone: "a"}}})
		c.startThreeHosts()
		client := c.startClient(func(to string) rpc.Relay { return simulatedRelay{c, "client", to} })
		c.sleep(time.Second)
		require.True(c.t, c.mayStart(client))
		require.Len(c.t, client.Current().Workers, 1)
		c.stopHost("a")
		c.configure(c.store, 2, false)
		c.put(c.store, "/chervil/view/epochs/a", []byte("7"))
		c.sleep(2 * time.Second)
		require.EqualValues(c.t, 2, client.Current().Config.Version)
		require.EqualValues(c.t, 7, client.Current().Epochs["a"])
		for range 30 {
			c.sleep(time.Second)
			require.True(c.t, c.mayStart(client))
			require.Len(c.t, client.Current().Workers, 1)
		}
	})
}

// delayedRelay responds at once, but the response arrives after a delay.
type delayedRelay struct {
	*cluster
	delay time.Duration
}

// WatchView implements rpc.Relay.
func (r delayedRelay) WatchView(context.Context, *rpc.WatchViewRequest) (*rpc.WatchViewResponse, error) {
	r.clock.Sleep(r.delay)
	return &rpc.WatchViewResponse{StoreReachable: true, OutageConfirmed: true}, nil
}

// PeerStatus implements rpc.Relay.
func (r delayedRelay) PeerStatus(context.Context, *rpc.PeerStatusRequest) (*rpc.PeerStatusResponse, error) {
	return nil, errUnreachable
}

// Announce implements rpc.Relay.
func (r delayedRelay) Announce(context.Context, *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	return nil, errUnreachable
}

// TestLateResponseDoesNotConfirm: a confirmation is dated from the time the request was sent,
// however long the response took. Dated from its arrival, it would seem fresh for too long.
func TestLateResponseDoesNotConfirm(t *testing.T) {
	runCluster(t, func(c *cluster) {
		client := c.startClient(func(string) rpc.Relay { return delayedRelay{c, view.MaxConfirmationAge + time.Second} })
		for range 40 {
			c.sleep(500 * time.Millisecond)
			require.False(c.t, client.Confirmation().MayStart(c.clock.Now()))
		}
	})
}
