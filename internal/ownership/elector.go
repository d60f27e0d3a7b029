package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilrun/chervilrun/internal/chart"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/membership"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/view"
)

const (
	// reconcileInterval is the longest time between two calls of reconcile; changes of
	// the view or of the lease trigger one earlier.
	reconcileInterval = 500 * time.Millisecond
	// txnTimeout limits the time of one store transaction.
	txnTimeout = 3 * time.Second
	// rebalanceDelay is how long another host must have been preferred before a zone
	// is handed over to it.
	rebalanceDelay = 30 * time.Second
	// releaseTimeout limits the time of a handover by rebalancing.
	releaseTimeout = 10 * time.Second
	// registerTimeout limits the wait until the member key is marked as draining.
	registerTimeout = time.Second
)

// Options configure an Elector.
type Options struct {
	Store   store.Store
	Views   view.Source
	Member  view.Member
	Handler Handler
	Clock   clockwork.Clock
	Events  *event.Recorder
	Metrics prometheus.Registerer
	// LeaseTTL is the time to live of the host's lease, in whole seconds.
	LeaseTTL time.Duration
	// Announce notifies the host's admin process of an epoch before it is written, and,
	// with withdrawn set, that the write had no effect. It may be nil. The epoch is written
	// even if Announce fails: while the admin process does not respond, no peer can confirm
	// a store outage either.
	Announce func(ctx context.Context, zone model.AvailabilityZoneID, epoch model.Epoch, withdrawn bool) error
}

// ownedZone is the state of a zone that this host owns.
type ownedZone struct {
	epoch model.Epoch
	// lease and revision are those of the owner key.
	lease        store.LeaseID
	revision     store.Revision
	stateMachine *chart.Machine
}

// vacancy is the state of a zone without an owner.
type vacancy struct {
	// since is when this host first saw the zone without an owner.
	since time.Time
}

// preference is the host that rendezvous hashing prefers for a zone.
type preference struct {
	host  model.HostID
	since time.Time
}

// Elector takes, keeps and hands over the ownership of zones for this host and notifies
// its Handler.
type Elector struct {
	Options
	session       *membership.Session
	metrics       *electorMetrics
	drainRequests chan drainRequest
	// vacancies, preferences and draining are used by Run's goroutine only.
	vacancies   map[model.AvailabilityZoneID]vacancy
	preferences map[model.AvailabilityZoneID]preference
	draining    bool

	mu         sync.Mutex
	ownedZones map[model.AvailabilityZoneID]*ownedZone
	// highestEpochs holds the last epoch at which this process took each zone.
	highestEpochs map[model.AvailabilityZoneID]model.Epoch
}

// drainRequest asks Run to hand over all zones.
type drainRequest struct {
	ctx  context.Context
	done chan error
}

// NewElector returns an elector that is not running yet. It registers its metrics.
func NewElector(options Options) *Elector {
	e := &Elector{
		Options:       options,
		session:       membership.NewSession(options.Store, options.Member, options.Clock, options.Events, options.LeaseTTL),
		drainRequests: make(chan drainRequest),
		vacancies:     map[model.AvailabilityZoneID]vacancy{},
		preferences:   map[model.AvailabilityZoneID]preference{},
		ownedZones:    map[model.AvailabilityZoneID]*ownedZone{},
		highestEpochs: map[model.AvailabilityZoneID]model.Epoch{},
	}
	e.metrics = newElectorMetrics(e, options.Metrics)
	return e
}

// MayAct reports whether a command for the zone may be sent under epoch now; callers
// check it immediately before each command. The owner may act while its lease is usable.
// Once the lease has expired it may act only while the view is confirmed, since a
// confirmation proves that no host has raised the epoch.
func (e *Elector) MayAct(zone model.AvailabilityZoneID, epoch model.Epoch) bool {
	now := e.Clock.Now()
	confirmation := e.Views.Confirmation()
	if e.Views.Current().Epochs[zone] > epoch {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	owned, found := e.ownedZones[zone]
	if !found || owned.epoch != epoch {
		return false
	}
	lease, usable := e.session.Lease()
	return usable && lease == owned.lease || confirmation.MayStart(now)
}

// OwnedZones returns the zones that this host owns, with their epochs.
func (e *Elector) OwnedZones() map[model.AvailabilityZoneID]model.Epoch {
	e.mu.Lock()
	defer e.mu.Unlock()
	epochs := make(map[model.AvailabilityZoneID]model.Epoch, len(e.ownedZones))
	for zone, owned := range e.ownedZones {
		epochs[zone] = owned.epoch
	}
	return epochs
}

// Run maintains the host's membership and takes, keeps and hands over zones until ctx
// ends. It then leaves the owner keys in the store; call Drain first for a planned stop.
func (e *Elector) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.session.Run(ctx) })
	defer wg.Wait()
	ticker := e.Clock.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		viewChanged, leaseChanged := e.Views.Changed(), e.session.LeaseChanged()
		e.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-viewChanged:
		case <-leaseChanged:
		case <-ticker.Chan():
		case d := <-e.drainRequests:
			d.done <- e.drainNow(d.ctx)
		}
	}
}

// Drain hands over every zone and ends the membership. Run must be running; it takes no
// zones from then on.
func (e *Elector) Drain(ctx context.Context) error {
	d := drainRequest{ctx: ctx, done: make(chan error, 1)}
	select {
	case e.drainRequests <- d:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-d.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Elector) drainNow(ctx context.Context) error {
	e.draining = true
	e.session.SetDraining()
	e.waitRegistered(ctx)
	var firstErr error
	for zone := range e.OwnedZones() {
		if err := e.handOver(ctx, zone); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	if err := e.session.Leave(ctx); err != nil && firstErr == nil {
		firstErr = err
	}
	return firstErr
}

// waitRegistered waits until the other hosts can see that this host is draining, so that
// the preferred one among them takes each zone at once.
func (e *Elector) waitRegistered(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, e.Clock, registerTimeout)
	defer cancel()
	const pollInterval = 10 * time.Millisecond
	for !e.session.Registered() {
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(pollInterval):
		}
	}
}

// reconcile brings the ownership of every zone in line with the current view.
func (e *Elector) reconcile(ctx context.Context) {
	current := e.Views.Current()
	for zone := range e.OwnedZones() {
		e.reconcileOwned(ctx, zone, current)
	}
	if e.draining {
		return
	}
	e.checkMembership(current)
	for _, zone := range current.Config.Zones {
		e.takeOrRebalance(ctx, zone.ID, current)
	}
}

// checkMembership rewrites the member key when a confirmed view lacks it.
func (e *Elector) checkMembership(current *view.View) {
	if !e.session.Registered() || !e.Views.Confirmation().StoreReachable {
		return
	}
	isOwn := func(m view.Member) bool { return m.Host == e.Member.Host }
	if !slices.ContainsFunc(current.Members, isOwn) {
		e.session.RewriteMember()
	}
}

// reconcileOwned gives up an owned zone whose epoch has been raised, and rewrites its
// owner key after the lease has changed.
func (e *Elector) reconcileOwned(ctx context.Context, zone model.AvailabilityZoneID, current *view.View) {
	owned := e.ownedZone(zone)
	if current.Epochs[zone] > owned.epoch {
		e.lose(zone)
		return
	}
	lease, usable := e.session.Lease()
	switch {
	case usable && lease == owned.lease:
		e.fire(owned, "renew")
	case usable:
		e.fire(owned, "lapse")
		e.renewOwner(ctx, zone, owned, lease)
	default:
		e.fire(owned, "lapse")
	}
}

// fire makes a transition if the state machine allows it in the current state.
func (e *Elector) fire(owned *ownedZone, transition string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if owned.stateMachine.Can(transition) {
		owned.stateMachine.Fire(transition)
	}
}

func (e *Elector) ownedZone(zone model.AvailabilityZoneID) *ownedZone {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownedZones[zone]
}

// takeOrRebalance takes the zone or hands it over to the preferred host, where due. An
// owner key of an earlier incarnation of this host, or of a write whose response was
// lost, is taken over at once.
func (e *Elector) takeOrRebalance(ctx context.Context, zone model.AvailabilityZoneID, current *view.View) {
	ranked := Rank(zone, current.Members)
	if e.ownedZone(zone) != nil {
		delete(e.vacancies, zone)
		e.rebalance(ctx, zone, ranked)
		return
	}
	delete(e.preferences, zone)
	owner, owned := current.Owners[zone]
	if owned && owner.Host != e.Member.Host {
		delete(e.vacancies, zone)
		return
	}
	reclaim := owned && (owner.Incarnation != e.Member.Incarnation || e.isUnacknowledgedWrite(owner))
	if _, usable := e.session.Lease(); usable && (reclaim || e.mayTake(zone, ranked)) {
		e.take(ctx, zone)
	}
}

// mayTake reports whether this host may take a zone without an owner: at once if it is
// the preferred host, otherwise after one lease TTL for each host ranked before it, in
// case those hosts can't take it.
func (e *Elector) mayTake(zone model.AvailabilityZoneID, ranked []model.HostID) bool {
	rank := slices.Index(ranked, e.Member.Host)
	if rank == 0 {
		return true
	}
	now := e.Clock.Now()
	if _, known := e.vacancies[zone]; !known {
		e.vacancies[zone] = vacancy{since: now}
	}
	return rank > 0 && now.Sub(e.vacancies[zone].since) >= time.Duration(rank)*e.LeaseTTL
}

// rebalance hands the zone over once another host has been preferred for rebalanceDelay.
func (e *Elector) rebalance(ctx context.Context, zone model.AvailabilityZoneID, ranked []model.HostID) {
	if len(ranked) == 0 || ranked[0] == e.Member.Host {
		delete(e.preferences, zone)
		return
	}
	now := e.Clock.Now()
	if e.preferences[zone].host != ranked[0] {
		e.preferences[zone] = preference{ranked[0], now}
	}
	owned := e.ownedZone(zone)
	lease, usable := e.session.Lease()
	if now.Sub(e.preferences[zone].since) < rebalanceDelay || !usable || lease != owned.lease {
		return
	}
	delete(e.preferences, zone)
	releaseCtx, cancel := clockwork.WithTimeout(ctx, e.Clock, releaseTimeout)
	defer cancel()
	if err := e.handOver(releaseCtx, zone); err != nil {
		e.Events.Record(event.StoreUnavailable, e.subject(zone), "handover: "+err.Error())
	}
}

func (e *Elector) subject(zone model.AvailabilityZoneID) event.Subject {
	return event.Subject{Host: string(e.Member.Host), Zone: string(zone)}
}

// lose gives up a zone whose epoch another host has raised.
func (e *Elector) lose(zone model.AvailabilityZoneID) {
	owned := e.ownedZone(zone)
	e.fire(owned, "lose")
	e.removeOwned(zone)
	e.Handler.Lose(zone, owned.epoch)
	e.metrics.lost.Inc()
	e.Events.Record(event.OwnershipLost, e.subject(zone), epochDetail(owned.epoch))
}

func (e *Elector) removeOwned(zone model.AvailabilityZoneID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.ownedZones, zone)
}

// handOver releases the zone and deletes the owner key; the preferred host sees the
// deletion in its view and takes the zone at once.
func (e *Elector) handOver(ctx context.Context, zone model.AvailabilityZoneID) error {
	owned := e.ownedZone(zone)
	e.fire(owned, "release")
	releaseErr := e.Handler.Release(ctx, zone)
	deleteErr := e.deleteOwner(ctx, zone, owned)
	e.fire(owned, "hand_over")
	e.removeOwned(zone)
	e.metrics.handedOver.Inc()
	e.Events.Record(event.OwnershipHandedOver, e.subject(zone), epochDetail(owned.epoch))
	if releaseErr != nil {
		return errors.Wrapf(releaseErr, "release of zone %s", zone)
	}
	return deleteErr
}
