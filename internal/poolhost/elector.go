package poolhost

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/store"
)

// ownerValue is the value of the owner key.
type ownerValue struct {
	Host        string `json:"host"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	// Weight is the CPU share of the host, in cores.
	Weight float64 `json:"weight"`
	// KeepsSilence is true for an owner that grants no lease to a worker that the record of silent
	// workers names. Earlier versions of this program do not say so.
	KeepsSilence bool `json:"keeps_silence,omitempty"`
}

// Timing of elections, of the owner's lease and of handovers.
const (
	// ownerLeaseTTL is how long the owner key outlives its last renewal. It is the
	// takeover time after a power loss of the owner, and spans at least four renewals.
	ownerLeaseTTL = 1800 * time.Millisecond
	// renewInterval is the time between renewals. While a renewal has no response, another
	// is sent every renewRetryInterval, in parallel. renewTimeout limits one renewal: a
	// later response would no longer extend the confirmed lease.
	renewInterval      = 400 * time.Millisecond
	renewRetryInterval = 150 * time.Millisecond
	renewTimeout       = 1200 * time.Millisecond
	// maxRenewalsInFlight limits the concurrent renewals, to leave connections for other
	// calls while the store does not respond.
	maxRenewalsInFlight = 4
	// leaseSafetyMargin is the last part of the lease, in which an owner neither starts
	// tasks nor records progress.
	leaseSafetyMargin = 300 * time.Millisecond
	// electionTimeout limits one call of tryElection or one handover.
	electionTimeout = 700 * time.Millisecond
	// electionJitter limits the random delay of a candidate, so that few write at once.
	electionJitter = 60 * time.Millisecond
	// weightDelay, divided by the weight of the host, delays its part in an election in
	// favour of hosts with more weight; maxWeightDelay limits the delay.
	weightDelay    = 40 * time.Millisecond
	maxWeightDelay = 400 * time.Millisecond
	// A host asks the owner to hand over if its weight is at least minWeightRatio times the
	// owner's. The owner does so only after it has held the ownership for minTerm.
	minWeightRatio = 1.5
	minTerm        = 3 * time.Second
	// weightCheckInterval is the time between comparisons with the owner's weight.
	weightCheckInterval = 2 * time.Second
	// suspicionPeriod is how long after a suspicion a lease that has ended may have been ended
	// because of it. It spans several calls of tryElection.
	suspicionPeriod = 5 * time.Second
	// electionRetryInterval is the time between failed calls of tryElection.
	electionRetryInterval = 300 * time.Millisecond
)

// elector runs the leader election: it acquires the ownership of the pool and renews it.
type elector struct {
	store  store.Store
	clock  clockwork.Clock
	self   ownerValue
	events *event.Recorder
	// onElected is called when this host becomes the owner, with the fencing token and with how
	// much of the earlier owner's lease may have been left; onLost when it no longer is.
	onElected func(fence store.Revision, leaseLeft time.Duration)
	onLost    func(why string)

	mu sync.Mutex
	// lastRenewal is when the last confirmed renewal was sent.
	lastRenewal time.Time
	// fence is the fencing token, the revision of the owner key; 0 while not the owner.
	fence store.Revision
	lease store.LeaseID
	// electionDue is signalled when the owner key is absent or its holder is gone.
	electionDue chan struct{}
	// keyIncarnation and keyRevision are those of the owner key as last seen.
	keyIncarnation string
	keyRevision    store.Revision
	// suspects holds the incarnations of owners that have refused connections, with the revision
	// of the owner key at that time.
	suspects map[string]store.Revision
	// suspectedAt is when this host last suspected an owner, or ended the lease of one that may
	// live on. Other hosts that suspect it may have ended its lease since.
	suspectedAt time.Time
	// ownershipEnded is signalled when this host's ownership was handed over or has been lost.
	ownershipEnded chan struct{}
	withdrawn      bool
	// failures counts the terms of this host that a panic ended; it takes part in no election
	// before pausedUntil.
	failures    int
	pausedUntil time.Time
}

func newElector(s store.Store, clock clockwork.Clock, self ownerValue, events *event.Recorder) *elector {
	return &elector{store: s, clock: clock, self: self, events: events, electionDue: make(chan struct{}, 1), ownershipEnded: make(chan struct{}, 1), suspects: map[string]store.Revision{}}
}

// ownerKeyChanged handles a new value of the owner key; nil means that it is absent.
func (e *elector) ownerKeyChanged(kv *store.KeyValue) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keyIncarnation, e.keyRevision = "", 0
	if kv != nil {
		if value, err := decodeOwner(kv.Value); err == nil {
			e.keyIncarnation, e.keyRevision = value.Incarnation, kv.ModRevision
		}
	}
	if e.withdrawn {
		return
	}
	if kv == nil || e.mayReplace(kv) != keepHolder {
		signal(e.electionDue)
	}
	if e.fence != 0 && kv != nil && kv.ModRevision > e.fence {
		e.signalOwnershipEnded()
	}
}

// withdraw stops taking part in elections; a current ownership stays until it is handed over.
func (e *elector) withdraw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.withdrawn = true
}

func (e *elector) isWithdrawn() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.withdrawn
}

func (e *elector) signalOwnershipEnded() {
	select {
	case e.ownershipEnded <- struct{}{}:
	default:
	}
}

// sinceRenewal returns the time since the last confirmed renewal was sent; false when
// this host is not the owner.
func (e *elector) sinceRenewal() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fence == 0 {
		return 0, false
	}
	return pool.Elapsed(e.clock.Now(), e.lastRenewal), true
}

// run takes part in elections until ctx ends.
func (e *elector) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-e.electionDue:
		}
		e.sleep(ctx, e.remainingPause()+rand.N(electionJitter)+e.electionDelay())
		if !e.isWithdrawn() && e.runElection(ctx) {
			e.holdOwnership(ctx)
		}
	}
}

// electionDelay is how long this host waits for hosts with more weight to be elected.
func (e *elector) electionDelay() time.Duration {
	if e.self.Weight <= 0 {
		return maxWeightDelay
	}
	return min(maxWeightDelay, time.Duration(float64(weightDelay)/e.self.Weight))
}

func (e *elector) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-e.clock.After(d):
	}
}

// runElection tries to write the owner key until some host holds it. It reports whether this
// host was elected.
func (e *elector) runElection(ctx context.Context) bool {
	for ctx.Err() == nil && !e.isWithdrawn() {
		fence, decided := e.tryElection(ctx)
		if decided {
			return fence != 0
		}
		e.sleep(ctx, electionRetryInterval)
	}
	return false
}

// tryElection tries once to write the owner key. decided is false when it has to be repeated.
func (e *elector) tryElection(ctx context.Context) (fence store.Revision, decided bool) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	current, err := e.readOwnerKey(ctx)
	if err != nil {
		return 0, false
	}
	condition := store.Absent(store.PoolOwnerKey)
	if current != nil {
		if value, err := decodeOwner(current.Value); err == nil && value.Incarnation == e.self.Incarnation {
			return e.adoptKey(current)
		}
		if !e.beginReplacement(current) {
			return 0, true
		}
		if current.Lease == 0 {
			condition = store.Unchanged(store.PoolOwnerKey, current.ModRevision)
		} else if err := e.store.Revoke(ctx, current.Lease); err != nil && !errors.Is(err, store.ErrLeaseGone) {
			return 0, false
		}
	}
	sent := e.clock.Now()
	lease, err := e.store.Grant(ctx, ownerLeaseTTL)
	if err != nil {
		return 0, false
	}
	result, err := e.store.Txn(ctx, store.Txn{
		If:   []store.Compare{condition},
		Then: []store.Op{{Put: &store.Put{Key: store.PoolOwnerKey, Value: encodeOwner(e.self), Lease: lease}}},
	})
	if err != nil {
		// The write may still take effect. The next try reads the key and adopts it, or
		// finds another owner.
		e.setLease(lease, sent, 0)
		return 0, false
	}
	if !result.Succeeded {
		e.revokeLease(ctx, lease)
		return 0, true
	}
	e.setLease(lease, sent, result.Revision)
	return result.Revision, true
}

// adoptKey takes over a key that this process wrote without receiving a response.
func (e *elector) adoptKey(current *store.KeyValue) (store.Revision, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if current.Lease != e.lease {
		return 0, false
	}
	e.fence = current.ModRevision
	return e.fence, true
}

func (e *elector) setLease(lease store.LeaseID, sent time.Time, fence store.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease, e.lastRenewal, e.fence = lease, sent, fence
}

func (e *elector) readOwnerKey(ctx context.Context) (*store.KeyValue, error) {
	page, err := e.store.Range(ctx, store.PoolOwnerKey, store.PrefixEnd(store.PoolOwnerKey), 1)
	if err != nil || len(page.KeyValues) == 0 {
		return nil, err
	}
	return &page.KeyValues[0], nil
}

func (e *elector) revokeLease(ctx context.Context, lease store.LeaseID) {
	if err := e.store.Revoke(ctx, lease); err != nil {
		e.events.RecordFields(event.StoreUnavailable, event.Subject{}, event.Fields{"call": "revoke", "why": err.Error(), "outcome": "the lease will expire"})
	}
}

// holdOwnership calls onElected, renews the lease until the ownership is lost or ctx ends,
// and calls onLost.
func (e *elector) holdOwnership(ctx context.Context) {
	e.mu.Lock()
	fence, leaseLeft := e.fence, e.leaseLeft()
	e.mu.Unlock()
	// Discard a signal that an earlier ownership has left.
	select {
	case <-e.ownershipEnded:
	default:
	}
	e.onElected(fence, leaseLeft)
	why := e.renewUntilLost(ctx)
	e.mu.Lock()
	e.fence = 0
	e.mu.Unlock()
	e.onLost(why)
}

// renewUntilLost renews the lease until the ownership ends, and returns why. A renewal without
// a response is repeated in parallel: its connection may be broken, or the store slow.
func (e *elector) renewUntilLost(ctx context.Context) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leaseGone, renewed := make(chan struct{}, 1), make(chan struct{}, 1)
	inFlight := make(chan struct{}, maxRenewalsInFlight)
	for wait := renewInterval; ; {
		select {
		case <-ctx.Done():
			return "the process is stopping"
		case <-e.ownershipEnded:
			return "the ownership was handed over or taken by another host"
		case <-leaseGone:
			return "the lease has expired"
		case <-renewed:
			wait = renewInterval
			continue
		case <-e.clock.After(wait):
		}
		wait = renewRetryInterval
		select {
		case inFlight <- struct{}{}:
			go func() {
				e.renew(ctx, renewed, leaseGone)
				<-inFlight
			}()
		default:
		}
	}
}

// renew makes one renewal and signals renewed when it succeeded, or leaseGone when the
// lease no longer exists.
func (e *elector) renew(ctx context.Context, renewed, leaseGone chan<- struct{}) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := e.clock.Now()
	e.mu.Lock()
	lease, fence := e.lease, e.fence
	e.mu.Unlock()
	err := e.store.KeepAlive(ctx, lease)
	switch {
	case err == nil:
		e.mu.Lock()
		if e.fence == fence && sent.After(e.lastRenewal) {
			e.lastRenewal = sent
		}
		e.mu.Unlock()
		signal(renewed)
	case errors.Is(err, store.ErrLeaseGone):
		signal(leaseGone)
	}
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// deleteOwnerKey removes the owner key, so that another host need not wait for the lease
// to expire.
func (e *elector) deleteOwnerKey(ctx context.Context, fence store.Revision) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	_, err := e.store.Txn(ctx, store.Txn{
		If:   []store.Compare{store.Unchanged(store.PoolOwnerKey, fence)},
		Then: []store.Op{{Delete: store.PoolOwnerKey}},
	})
	if err != nil {
		e.events.RecordFields(event.StoreUnavailable, event.Subject{}, event.Fields{"call": "resign", "why": err.Error(), "outcome": "the lease will expire"})
	}
	e.signalOwnershipEnded()
}

func encodeOwner(value ownerValue) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "poolhost: encode the owner key"))
	}
	return text
}

func decodeOwner(text []byte) (ownerValue, error) {
	var value ownerValue
	if err := json.Unmarshal(text, &value); err != nil {
		return ownerValue{}, errors.Wrap(err, "decode the owner key")
	}
	return value, nil
}
