package view

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// callerRetention is how long a host that has called counts as a peer without being in the
// list of members.
const callerRetention = 10 * time.Minute

// peer is this host's state for another entry host.
type peer struct {
	address string
	host    model.HostID
	// isMember is true while the peer is in the list of members, isSeed if it is a configured seed.
	isMember bool
	isSeed   bool
	// calledAt is when the peer last called this host.
	calledAt time.Time
	// statedAt is when the request for its last statement was sent.
	statedAt  time.Time
	statement peerStatement
	// unaccountedRestartAt is when the peer was found restarted although its previous process
	// had not reported the store unreachable: that process may have accepted a change and crashed.
	unaccountedRestartAt time.Time
}

// peerStatement is what a peer reports about itself.
type peerStatement struct {
	host          model.HostID
	incarnation   string
	mayReachStore bool
	version       model.ConfigVersion
}

// peers holds the other entry hosts, by the address of their admin process. It is safe for
// concurrent use.
type peers struct {
	self string

	mu        sync.Mutex
	byAddress map[string]*peer
	nextIndex int
}

func newPeers(self string, seeds []string) *peers {
	p := &peers{self: self, byAddress: map[string]*peer{}}
	for _, address := range seeds {
		if other := p.getOrAdd(address); other != nil {
			other.isSeed = true
		}
	}
	return p
}

// getOrAdd returns the peer at address, adding it if necessary, or nil for this host itself.
func (p *peers) getOrAdd(address string) *peer {
	if address == p.self || address == "" {
		return nil
	}
	other, ok := p.byAddress[address]
	if !ok {
		other = &peer{address: address}
		p.byAddress[address] = other
	}
	return other
}

func (p *peers) setMembers(members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.byAddress {
		other.isMember = false
	}
	for _, member := range members {
		if other := p.getOrAdd(member.AdminAddress); other != nil {
			other.isMember = true
			other.host = member.Host
		}
	}
}

// recordCall records that the host at address has called.
func (p *peers) recordCall(host model.HostID, address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.getOrAdd(address); other != nil {
		other.host = host
		other.calledAt = now
	}
}

// recordStatement records a peer's statement, requested at the given time.
func (p *peers) recordStatement(address string, sent time.Time, statement peerStatement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	other := p.getOrAdd(address)
	if other == nil || sent.Before(other.statedAt) {
		return
	}
	restarted := other.statement.incarnation != "" && other.statement.incarnation != statement.incarnation
	if restarted && other.statement.mayReachStore {
		other.unaccountedRestartAt = sent
	}
	other.statedAt = sent
	other.statement = statement
	other.host = statement.host
}

// activeAddresses returns the sorted addresses of all peers, without those whose retention
// has ended, which it removes.
func (p *peers) activeAddresses(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.byAddress, func(_ string, other *peer) bool {
		return !other.isMember && !other.isSeed && now.Sub(other.calledAt) > callerRetention
	})
	return slices.Sorted(maps.Keys(p.byAddress))
}

// nextAddress returns the address of one peer, by round robin.
func (p *peers) nextAddress(now time.Time) []string {
	addresses := p.activeAddresses(now)
	if len(addresses) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextIndex++
	i := p.nextIndex % len(addresses)
	return addresses[i : i+1]
}

// outageQuery holds this host's state for peers.outage.
type outageQuery struct {
	now     time.Time
	version model.ConfigVersion
	// confirmedAt is when this host's view was last confirmed.
	confirmedAt time.Time
	// membersKnown is true when the members are known; until then the statements of seeds are
	// required.
	membersKnown bool
	// delisted reports whether the platform no longer lists a host.
	delisted func(model.HostID) bool
}

// outage confirms an outage when every required peer has reported, within MaxConfirmationAge,
// that it can't reach the store and has no later version of the configuration than this
// host, and none has an unaccounted restart since this host's view was confirmed. The last
// statement of a delisted host does not expire. It returns the time of the oldest of the
// statements, leaving out those of delisted hosts, or now if there are none.
func (p *peers) outage(q outageQuery) (oldest time.Time, confirmed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest = q.now
	for _, other := range p.byAddress {
		if !other.isRequired(q) {
			continue
		}
		if other.unaccountedRestartAt.After(q.confirmedAt) || !other.reportsStoreUnreachable(q) {
			return time.Time{}, false
		}
		if other.statedAt.Before(oldest) && !q.delisted(other.host) {
			oldest = other.statedAt
		}
	}
	return oldest, true
}

// hasUnaccountedRestart reports whether a process of a peer may have accepted a change after
// confirmedAt and crashed.
func (p *peers) hasUnaccountedRestart(confirmedAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.byAddress {
		if other.unaccountedRestartAt.After(confirmedAt) {
			return true
		}
	}
	return false
}

// isRequired reports whether the peer's statement is required to confirm an outage: that of
// members and recent callers, and of seeds as long as no members are known.
func (p *peer) isRequired(q outageQuery) bool {
	calledRecently := !p.calledAt.IsZero() && q.now.Sub(p.calledAt) <= callerRetention
	return p.isMember || calledRecently || p.isSeed && !q.membersKnown
}

// reportsStoreUnreachable reports whether the peer has said within MaxConfirmationAge that it
// can't reach the store. The last statement of a delisted host does not expire.
func (p *peer) reportsStoreUnreachable(q outageQuery) bool {
	if p.statedAt.IsZero() || p.statement.mayReachStore || p.statement.version > q.version {
		return false
	}
	return q.now.Sub(p.statedAt) <= MaxConfirmationAge || q.delisted(p.host)
}
