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
func (s *Syncer) peersLoop(ctx context.Context) {
	first := true
	s.runEvery(ctx, peerInterval, func() {
		now := s.Clock.Now()
		addresses := s.peers.activeAddresses(now)
		if !first && !s.isStoreStale(now) {
			addresses = s.peers.nextAddress(now)
		}
		first = false
		s.askPeers(ctx, addresses)
	})
}

func (s *Syncer) isStoreStale(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(later(s.storeConfirmedAt, s.storeReadAt)) > storeStaleAfter
}

// askPeers asks the peers concurrently and applies their responses.
func (s *Syncer) askPeers(ctx context.Context, addresses []string) {
	var wg sync.WaitGroup
	responses := make([]*peerResponse, len(addresses))
	for i, address := range addresses {
		wg.Go(func() { responses[i] = s.askPeer(ctx, address) })
	}
	wg.Wait()
	responses = slices.DeleteFunc(responses, func(r *peerResponse) bool { return r == nil })
	if s.isStoreStale(s.Clock.Now()) {
		s.adoptMembers(responses)
	}
	for _, r := range responses {
		s.applyPeerConfirmation(r)
	}
	s.mu.Lock()
	s.notifyConfirmed()
	s.mu.Unlock()
	s.freshness.observe(s.Confirmation(), s.Clock.Now())
}

// askPeer returns nil when the peer does not respond.
func (s *Syncer) askPeer(ctx context.Context, address string) *peerResponse {
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, peerTimeout)
	defer cancel()
	s.metrics.peerCalls.Inc()
	sent := s.Clock.Now()
	view := s.Current()
	response, err := s.Dial(address).PeerStatus(ctx, &rpc.PeerStatusRequest{
		FromHost:         string(s.Self.Host),
		ConfigVersion:    uint64(view.Config.Version),
		From:             &rpc.Member{Host: string(s.Self.Host), AdminAddress: s.Self.AdminAddress},
		KnownListsDigest: listsDigest(view),
	})
	if err != nil {
		s.metrics.peerFailures.Inc()
		return nil
	}
	version := model.ConfigVersion(response.GetConfigVersion())
	if len(response.GetConfigToml()) > 0 {
		s.applyConfig(config.Stored{Version: version, Text: string(response.GetConfigToml())})
	}
	s.applyEpochs(response)
	s.peers.recordStatement(address, sent, peerStatement{
		host:          model.HostID(response.GetHost()),
		incarnation:   response.GetIncarnation(),
		mayReachStore: response.GetStoreReachable(),
		version:       version,
	})
	age := time.Duration(response.GetConfirmedAgeMs()) * time.Millisecond
	return &peerResponse{message: response, confirmedAt: sent.Add(-age)}
}

// applyEpochs raises the epochs that are higher at the peer, and adopts their owners.
func (s *Syncer) applyEpochs(response *rpc.PeerStatusResponse) {
	owners := ownersOf(response.GetOwners())
	s.update(func(next *View) bool {
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

// adoptMembers adopts the members of the peer with the latest confirmation, if the store
// confirmed it later than it last responded to this host. Without such a peer it adds the
// members that were not known, so that a host that starts during an outage learns of them.
func (s *Syncer) adoptMembers(responses []*peerResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var freshest *peerResponse
	latestConfirmation := later(s.storeConfirmedAt, s.storeReadAt)
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
		for host, member := range s.members {
			members[host] = member
		}
	}
	for _, r := range responses {
		for _, member := range membersOf(r.message.GetMembers()) {
			if _, known := members[member.Host]; !known {
				members[member.Host] = member
			}
			s.loaded = true
		}
	}
	if len(members) == 0 {
		return
	}
	current := s.Current()
	s.publish(storeState{members: members, owners: current.Owners, epochs: current.Epochs})
}

// applyPeerConfirmation applies a peer's confirmation. It is valid for this host if this
// host's view lacks nothing that the peer's contains.
func (s *Syncer) applyPeerConfirmation(r *peerResponse) {
	current := s.Current()
	if uint64(current.Config.Version) < r.message.GetConfigVersion() {
		return
	}
	for zone, epoch := range r.message.GetEpochs() {
		if uint64(current.Epochs[model.AvailabilityZoneID(zone)]) < epoch {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerConfirmedAt = later(s.peerConfirmedAt, r.confirmedAt)
}

// outage returns the time of the oldest statement by which all other hosts confirm an outage
// of the store, if they do; see peers.outage.
func (s *Syncer) outage(now time.Time) (time.Time, bool) {
	version := s.Current().Config.Version
	s.mu.Lock()
	mayReachStore := s.storeReachable(now) || s.mayLackLocalChange()
	q := outageQuery{
		now:          now,
		version:      version,
		confirmedAt:  later(s.storeConfirmedAt, s.peerConfirmedAt),
		membersKnown: s.loaded,
		delisted:     s.delistedHosts(now),
	}
	s.mu.Unlock()
	if mayReachStore {
		return time.Time{}, false
	}
	return s.peers.outage(q)
}

// delistedHosts returns a predicate for hosts that the platform listed earlier and no longer
// lists. While the list is older than maxHostListAge or has no entry hosts, no host counts as
// delisted. The caller holds s.mu.
func (s *Syncer) delistedHosts(now time.Time) func(model.HostID) bool {
	if len(s.hostList.EntryHosts) == 0 || now.Sub(s.hostListReadAt) > maxHostListAge {
		return func(model.HostID) bool { return false }
	}
	delisted := map[model.HostID]bool{}
	for host := range s.everListed {
		delisted[host] = true
	}
	for _, host := range s.hostList.EntryHosts {
		delete(delisted, host.Host)
	}
	return func(host model.HostID) bool { return delisted[host] }
}
