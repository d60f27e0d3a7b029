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
	"github.com/chervilrun/chervilrun/internal/store"
)

// ownerValue is what the owner's key holds.
type ownerValue struct {
	Host        string `json:"host"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	// Weight is the processor share of the host, in cores.
	Weight float64 `json:"weight"`
}

// Timing of an election.
const (
	// ownerLease is how long the owner's key outlives its last renewal: the time that a
	// host without power costs, and at least four renewals.
	ownerLease = 1800 * time.Millisecond
	// renewInterval is the time between renewals, and renewAgain the time after which one
	// without an answer is sent again beside it. renewTimeout bounds one: a later answer
	// would confirm no more of the lease.
	renewInterval = 400 * time.Millisecond
	renewAgain    = 150 * time.Millisecond
	renewTimeout  = 1200 * time.Millisecond
	// renewalsInFlight bounds the renewals under way, so that they leave connections to
	// other calls while the store is silent.
	renewalsInFlight = 4
	// ownerMargin is the part of the lease in which an owner starts nothing any more.
	ownerMargin = 300 * time.Millisecond
	// electionTimeout bounds one call of an election.
	electionTimeout = 700 * time.Millisecond
	// electionSpread spreads the candidates, so that few of them try at once.
	electionSpread = 60 * time.Millisecond
	// weaknessDelay, divided by the host's processor share, is how long a host holds
	// back for stronger ones; weaknessMax bounds it.
	weaknessDelay = 40 * time.Millisecond
	weaknessMax   = 400 * time.Millisecond
	// strongerBy is the factor by which a host has to be stronger to ask the owner to
	// hand over; termMin is how long an owner stays at least.
	strongerBy = 1.5
	termMin    = 3 * time.Second
	// yieldInterval is the time between looks at whether the owner is weaker.
	yieldInterval = 2 * time.Second
	// electionRetry is the time between failed tries.
	electionRetry = 300 * time.Millisecond
)

// elector wins and keeps the ownership of the pool.
type elector struct {
	store  store.Store
	clock  clockwork.Clock
	self   ownerValue
	events *event.Recorder
	// won is called with the fence once this host owns the pool, and lost afterwards.
	won  func(fence store.Revision)
	lost func(why string)

	mu sync.Mutex
	// renewed is when the last renewal was sent that was confirmed.
	renewed time.Time
	fence   store.Revision
	lease   store.LeaseID
	// vacancy is signalled when the owner's key is absent.
	vacancy chan struct{}
	// dead is the incarnation of an owner whose process is known to be gone.
	dead      string
	resign    chan struct{}
	withdrawn bool
}

func newElector(s store.Store, clock clockwork.Clock, self ownerValue, events *event.Recorder) *elector {
	return &elector{store: s, clock: clock, self: self, events: events, vacancy: make(chan struct{}, 1), resign: make(chan struct{}, 1)}
}

// keyChanged tells the elector what the owner's key holds; nil means that it is absent.
func (e *elector) keyChanged(kv *store.KeyValue) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.withdrawn {
		return
	}
	if kv == nil || e.isGone(kv) {
		select {
		case e.vacancy <- struct{}{}:
		default:
		}
	}
	if e.fence != 0 && kv != nil && kv.ModRevision > e.fence {
		e.signalResign()
	}
}

// isGone reports whether the key is that of an earlier life of this host's process, or
// of a process that is known to be dead. The caller holds the lock.
func (e *elector) isGone(kv *store.KeyValue) bool {
	value, err := decodeOwner(kv.Value)
	if err != nil {
		return false
	}
	predecessor := value.Host == e.self.Host && value.Incarnation != e.self.Incarnation
	return predecessor || value.Incarnation == e.dead
}

// ownerDied tells the elector that the process of an owner is gone, so that its lease
// need not be waited out. A wrong report costs a take-over, since owners are fenced.
func (e *elector) ownerDied(incarnation string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = incarnation
	if e.withdrawn {
		return
	}
	select {
	case e.vacancy <- struct{}{}:
	default:
	}
}

// withdraw ends the competition; an ownership that is held stays until it is given up.
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

func (e *elector) signalResign() {
	select {
	case e.resign <- struct{}{}:
	default:
	}
}

// sinceRenewal is the time since the last confirmed renewal was sent. Time of day is
// compared as well, since the steady clock does not count the time of a suspension.
func (e *elector) sinceRenewal() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fence == 0 {
		return 0, false
	}
	return age(e.clock.Now(), e.renewed), true
}

// age is the larger of the differences by the steady clock and by time of day.
func age(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// run competes for the ownership until ctx ends.
func (e *elector) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-e.vacancy:
		}
		e.pause(ctx, rand.N(electionSpread)+e.holdBack())
		if !e.isWithdrawn() && e.compete(ctx) {
			e.keep(ctx)
		}
	}
}

// holdBack is how long this host leaves the ownership to stronger ones.
func (e *elector) holdBack() time.Duration {
	if e.self.Weight <= 0 {
		return weaknessMax
	}
	return min(weaknessMax, time.Duration(float64(weaknessDelay)/e.self.Weight))
}

func (e *elector) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-e.clock.After(d):
	}
}

// compete tries to write the owner's key; it retries until the key is someone's.
func (e *elector) compete(ctx context.Context) bool {
	for ctx.Err() == nil && !e.isWithdrawn() {
		fence, settled := e.try(ctx)
		if settled {
			return fence != 0
		}
		e.pause(ctx, electionRetry)
	}
	return false
}

// try makes one attempt. settled is false when it has to be repeated.
func (e *elector) try(ctx context.Context) (fence store.Revision, settled bool) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	current, err := e.read(ctx)
	if err != nil {
		return 0, false
	}
	condition := store.Absent(store.PoolOwnerKey)
	if current != nil {
		if value, err := decodeOwner(current.Value); err == nil && value.Incarnation == e.self.Incarnation {
			return e.adopt(current)
		}
		e.mu.Lock()
		gone := e.isGone(current)
		e.mu.Unlock()
		if !gone {
			return 0, true
		}
		condition = store.Unchanged(store.PoolOwnerKey, current.ModRevision)
	}
	sent := e.clock.Now()
	lease, err := e.store.Grant(ctx, ownerLease)
	if err != nil {
		return 0, false
	}
	result, err := e.store.Txn(ctx, store.Txn{
		If:   []store.Compare{condition},
		Then: []store.Op{{Put: &store.Put{Key: store.PoolOwnerKey, Value: encodeOwner(e.self), Lease: lease}}},
	})
	if err != nil {
		// The write may still happen. The next try reads the key and adopts it, or
		// finds another owner.
		e.remember(lease, sent, 0)
		return 0, false
	}
	if !result.Succeeded {
		e.endLease(ctx, lease)
		return 0, true
	}
	e.remember(lease, sent, result.Revision)
	return result.Revision, true
}

// adopt takes up a key of this process whose write had no answer.
func (e *elector) adopt(current *store.KeyValue) (store.Revision, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if current.Lease != e.lease {
		return 0, false
	}
	e.fence = current.ModRevision
	return e.fence, true
}

func (e *elector) remember(lease store.LeaseID, sent time.Time, fence store.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease, e.renewed, e.fence = lease, sent, fence
}

func (e *elector) read(ctx context.Context) (*store.KeyValue, error) {
	page, err := e.store.Range(ctx, store.PoolOwnerKey, store.PrefixEnd(store.PoolOwnerKey), 1)
	if err != nil || len(page.KeyValues) == 0 {
		return nil, err
	}
	return &page.KeyValues[0], nil
}

func (e *elector) endLease(ctx context.Context, lease store.LeaseID) {
	if err := e.store.Revoke(ctx, lease); err != nil {
		e.events.Note(event.StoreUnavailable, event.Subject{}, event.Fields{"call": "revoke", "why": err.Error(), "outcome": "the lease runs out by itself"})
	}
}

// keep renews the lease until the ownership is lost or ctx ends.
func (e *elector) keep(ctx context.Context) {
	e.mu.Lock()
	fence := e.fence
	e.mu.Unlock()
	select {
	case <-e.resign:
	default:
	}
	e.won(fence)
	why := e.renewUntilLost(ctx)
	e.mu.Lock()
	e.fence = 0
	e.mu.Unlock()
	e.lost(why)
}

// renewUntilLost renews the lease and returns why the ownership has ended. A renewal
// without an answer is repeated beside it, since its connection may be silent, or the
// store slow.
func (e *elector) renewUntilLost(ctx context.Context) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	gone, answered := make(chan struct{}, 1), make(chan struct{}, 1)
	inFlight := make(chan struct{}, renewalsInFlight)
	for wait := renewInterval; ; {
		select {
		case <-ctx.Done():
			return "the process stops"
		case <-e.resign:
			return "a later owner was seen"
		case <-gone:
			return "the lease has ended"
		case <-answered:
			wait = renewInterval
			continue
		case <-e.clock.After(wait):
		}
		wait = renewAgain
		select {
		case inFlight <- struct{}{}:
			go func() {
				e.renew(ctx, answered, gone)
				<-inFlight
			}()
		default:
		}
	}
}

// renew makes one renewal and tells when it was answered, or that the lease is gone.
func (e *elector) renew(ctx context.Context, answered, gone chan<- struct{}) {
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
		if e.fence == fence && sent.After(e.renewed) {
			e.renewed = sent
		}
		e.mu.Unlock()
		signal(answered)
	case errors.Is(err, store.ErrLeaseGone):
		signal(gone)
	}
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// giveUp removes the owner's key at once, so that another host need not wait for the
// lease to run out.
func (e *elector) giveUp(ctx context.Context, fence store.Revision) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	_, err := e.store.Txn(ctx, store.Txn{
		If:   []store.Compare{store.Unchanged(store.PoolOwnerKey, fence)},
		Then: []store.Op{{Delete: store.PoolOwnerKey}},
	})
	if err != nil {
		e.events.Note(event.StoreUnavailable, event.Subject{}, event.Fields{"call": "resign", "why": err.Error(), "outcome": "the lease runs out by itself"})
	}
	e.signalResign()
}

func encodeOwner(value ownerValue) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "poolhost: an owner can always be encoded"))
	}
	return text
}

func decodeOwner(text []byte) (ownerValue, error) {
	var value ownerValue
	if err := json.Unmarshal(text, &value); err != nil {
		return ownerValue{}, errors.Wrap(err, "owner's key")
	}
	return value, nil
}
