package collect

import (
	"context"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/view"
)

// Peers queries the state of every member from its admin process.
func (c *Collector) Peers(ctx context.Context, members []view.Member) []adminapi.PeerState {
	targets := make([]target, len(members))
	for i, m := range members {
		targets[i] = target{name: string(m.Host), address: m.AdminAddress}
	}
	known := uint64(c.View.Current().Config.Version)
	results := queryAll(ctx, targets, func(ctx context.Context, t target) (*rpc.PeerStatusResponse, error) {
		relay := rpc.NewRelayProtobufClient("http://"+t.address, c.Client)
		return relay.PeerStatus(ctx, &rpc.PeerStatusRequest{ConfigVersion: known})
	})
	states := make([]adminapi.PeerState, len(results))
	for i, r := range results {
		states[i] = adminapi.PeerState{Host: model.HostID(r.target.name), Reachable: r.err == nil}
		if r.err == nil {
			states[i].ConfigVersion = model.ConfigVersion(r.response.GetConfigVersion())
			states[i].StoreReachable = r.response.GetStoreReachable()
			states[i].ConfirmedAgeMS = r.response.GetConfirmedAgeMs()
		}
	}
	return states
}
