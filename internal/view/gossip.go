package view

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/rpc"
)

// Intervals of the exchange between admin processes.
const (
	// peerInterval is the interval of the rounds. While the store confirms the view, a round
	// asks one peer, in turn; otherwise it asks all.
	peerInterval = time.Second
	// storeStaleAfter is the age of the last store response after which all peers are asked.
	storeStaleAfter = 1500 * time.Millisecond
	// peerTimeout is the longest wait for a peer's response.
	peerTimeout = time.Second
	// maxHostListAge is the age up to which the platform's list may exclude a host.
	maxHostListAge = 10 * time.Second
)

// peerResponse is a peer's response; confirmedAt is a time of the local clock.
type peerResponse struct {
	message     *rpc.PeerStatusResponse
	confirmedAt time.Time
}

// peersLoop asks all peers in the first round, so that they know of this host before it
// accepts a change.
func (k *Syncer) peersLoop(ctx context.Context) {
	first := true
	k.runEvery(ctx, peerInterval, func() {
		now := k.Clock.Now()
		addresses := k.peers.activeAddresses(now)
		if !first && !k.isStoreStale(now) {
			addresses = k.peers.nextAddress(now)
		}
		first = false
		k.askPeers(ctx, addresses)
	})
}

func (k *Syncer) isStoreStale(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(later(k.storeConfirmedAt, k.storeReadAt)) > storeStaleAfter
}

// askPeers asks the peers concurrently and applies their responses.
func (k *Syncer) askPeers(ctx context.Context, addresses []string) {
	var wg sync.WaitGroup
	responses := make([]*peerResponse, len(addresses))
	for i, address := range addresses {
		wg.Go(func() { responses[i] = k.askPeer(ctx, address) })
	}
	wg.Wait()
	responses = slices.DeleteFunc(responses, func(r *peerResponse) bool { return r == nil })
	if k.isStoreStale(k.Clock.Now()) {
		k.adoptMembers(responses)
	}
	for _, r := range responses {
		k.applyPeerConfirmation(r)
	}
	k.mu.Lock()
	k.notifyConfirmed()
	k.mu.Unlock()
	k.freshness.observe(k.Confirmation(), k.Clock.Now())
}

// askPeer returns nil when the peer does not respond.
func (k *Syncer) askPeer(ctx context.Context, address string) *peerResponse {
	ctx, cancel := clockwork.WithTimeout(ctx, k.Clock, peerTimeout)
	defer cancel()
	k.metrics.peerCalls.Inc()
	sent := k.Clock.Now()
	view := k.Current()
	response, err := k.Dial(address).PeerStatus(ctx, &rpc.PeerStatusRequest{
		FromHost:         string(k.Self.Host),
		ConfigVersion:    uint64(view.Config.Version),
		From:             &rpc.Member{Host: string(k.Self.Host), AdminAddress: k.Self.AdminAddress},
		KnownListsDigest: listsDigest(view),
	})
	if err != nil {
		k.metrics.peerFailures.Inc()
		return nil
	}
	version := model.ConfigVersion(response.GetConfigVersion())
	if len(response.GetConfigToml()) > 0 {
		k.applyConfig(config.Stored{Version: version, Text: string(response.GetConfigToml())})
	}
	k.applyEpochs(response)
	k.peers.recordStatement(address, sent, peerStatement{
		host:          model.HostID(response.GetHost()),
		incarnation:   response.GetIncarnation(),
		mayReachStore: response.GetStoreReachable(),
		version:       version,
	})
	age := time.Duration(response.GetConfirmedAgeMs()) * time.Millisecond
	return &peerResponse{message: response, confirmedAt: sent.Add(-age)}
}

// applyEpochs raises the epochs that are higher at the peer, and takes over their owners.
func (k *Syncer) applyEpochs(response *rpc.PeerStatusResponse) {
	owners := ownersOf(response.GetOwners())
	k.update(func(next *View) bool {
		changed := false
		for zone, epoch := range response.GetEpochs() {
			id := model.AvailabilityZoneID(zone)
			var raised bool
			next.Epochs, raised = raiseEpoch(next.Epochs, id, model.Epoch(epoch))
			if owner, owned := owners[id]; raised && owned {
				next.Owners = withOwner(next.Owners, owner)
			}
			changed = changed || raised
		}
		return changed
	})
}

func withOwner(owners map[model.AvailabilityZoneID]Owner, owner Owner) map[model.AvailabilityZoneID]Owner {
	updated := make(map[model.AvailabilityZoneID]Owner, len(owners)+1)
	for zone, other := range owners {
		updated[zone] = other
	}
	updated[owner.Zone] = owner
	return updated
}

// adoptMembers takes over the members of the peer with the latest confirmation, if the store
// confirmed it later than it last responded to this host. Without such a peer it adds the
// members that were not known, so that a host that starts during an outage learns of them.
func (k *Syncer) adoptMembers(responses []*peerResponse) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var freshest *peerResponse
	latestConfirmation := later(k.storeConfirmedAt, k.storeReadAt)
	for _, r := range responses {
		if r.message.GetStoreReachable() && r.confirmedAt.After(latestConfirmation) {
			freshest = r
			latestConfirmation = r.confirmedAt
		}
	}
	members := map[model.HostID]Member{}
	if freshest != nil {
		responses = []*peerResponse{freshest}
	} else {
		for host, member := range k.members {
			members[host] = member
		}
	}
	for _, r := range responses {
		for _, member := range membersOf(r.message.GetMembers()) {
			if _, known := members[member.Host]; !known {
				members[member.Host] = member
			}
			k.loaded = true
		}
	}
	if len(members) == 0 {
		return
	}
	current := k.Current()
	k.publish(storeState{members: members, owners: current.Owners, epochs: current.Epochs})
}

// applyPeerConfirmation applies a peer's confirmation. It is valid for this host if this
// host's view lacks nothing that the peer's contains.
func (k *Syncer) applyPeerConfirmation(r *peerResponse) {
	current := k.Current()
	if uint64(current.Config.Version) < r.message.GetConfigVersion() {
		return
	}
	for zone, epoch := range r.message.GetEpochs() {
		if uint64(current.Epochs[model.AvailabilityZoneID(zone)]) < epoch {
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.peerConfirmedAt = later(k.peerConfirmedAt, r.confirmedAt)
}

// outage returns the time of the oldest statement by which all other hosts confirm an outage
// of the store, if they do; see peers.outage.
func (k *Syncer) outage(now time.Time) (time.Time, bool) {
	version := k.Current().Config.Version
	k.mu.Lock()
	mayReachStore := k.storeReachable(now) || k.mayLackLocalChange()
	q := outageQuery{
		now:          now,
		version:      version,
		confirmedAt:  later(k.storeConfirmedAt, k.peerConfirmedAt),
		membersKnown: k.loaded,
		delisted:     k.delistedHosts(now),
	}
	k.mu.Unlock()
	if mayReachStore {
		return time.Time{}, false
	}
	return k.peers.outage(q)
}

// delistedHosts returns a predicate for hosts that the platform listed earlier and no longer
// lists. The caller holds k.mu.
func (k *Syncer) delistedHosts(now time.Time) func(model.HostID) bool {
	if len(k.hostList.EntryHosts) == 0 || now.Sub(k.hostListReadAt) > maxHostListAge {
		return func(model.HostID) bool { return false }
	}
	delisted := map[model.HostID]bool{}
	for host := range k.everListed {
		delisted[host] = true
	}
	for _, host := range k.hostList.EntryHosts {
		delete(delisted, host.Host)
	}
	return func(host model.HostID) bool { return delisted[host] }
}
