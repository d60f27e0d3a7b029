package ownership_test

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/rpc"
)

// dial returns a relay that simulates the network link to the host at address.
func (h *host) dial(address string) rpc.Relay { return &link{from: h, address: address} }

type link struct {
	from    *host
	address string
}

var errNoListener = errors.New("no host listens at the address")

// reach returns the host at the other end. A partitioned link blocks until ctx ends.
func (l *link) reach(ctx context.Context) (*host, error) {
	l.from.clock.Sleep(linkDelay)
	to, listening := l.from.cluster.hostAt(l.from.id, l.address)
	if !listening {
		return nil, errNoListener
	}
	if to == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	to.pauser.waitFor(ctx)
	return to, ctx.Err()
}

// hostAt returns the host at address, or nil if the link to it is partitioned; it returns
// false if no process listens there.
func (c *cluster) hostAt(from model.HostID, address string) (*host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, to := range c.hosts {
		if adminAddress(id) != address {
			continue
		}
		if c.partitioned[[2]model.HostID{from, id}] {
			return nil, true
		}
		return to, true
	}
	return nil, false
}

func respond[Response any](ctx context.Context, l *link, response Response, err error) (Response, error) {
	var zero Response
	l.from.clock.Sleep(linkDelay)
	l.from.pauser.wait()
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return zero, err
	}
	return response, nil
}

// WatchView implements rpc.Relay.
func (l *link) WatchView(ctx context.Context, request *rpc.WatchViewRequest) (*rpc.WatchViewResponse, error) {
	to, err := l.reach(ctx)
	if err != nil {
		return nil, err
	}
	response, err := to.syncer.WatchView(ctx, request)
	return respond(ctx, l, response, err)
}

// PeerStatus implements rpc.Relay.
func (l *link) PeerStatus(ctx context.Context, request *rpc.PeerStatusRequest) (*rpc.PeerStatusResponse, error) {
	to, err := l.reach(ctx)
	if err != nil {
		return nil, err
	}
	response, err := to.syncer.PeerStatus(ctx, request)
	return respond(ctx, l, response, err)
}

// Announce implements rpc.Relay.
func (l *link) Announce(ctx context.Context, request *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	to, err := l.reach(ctx)
	if err != nil {
		return nil, err
	}
	response, err := to.syncer.Announce(ctx, request)
	return respond(ctx, l, response, err)
}

// setPartitioned breaks or restores the connection in the direction from one host to
// another.
func (c *cluster) setPartitioned(from, to model.HostID, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[[2]model.HostID{from, to}] = partitioned
}
