package ownership_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/hostlist"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/ownership"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/budget"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
)

const (
	leaseTTL = 5 * time.Second
	// defaultActInterval is the default of cluster.actInterval.
	defaultActInterval = 50 * time.Millisecond
	// linkDelay is the one-way latency between hosts.
	linkDelay = time.Millisecond
)

// cluster is a set of hosts in one process, each with a syncer, a client and an elector,
// on an in-memory store. It runs in a testing/synctest bubble: time is simulated, and
// every sleep waits until all other goroutines are blocked.
type cluster struct {
	t     *testing.T
	clock clockwork.Clock
	store *memory.Store
	hosts map[model.HostID]*host
	// starts counts the starts of each host; its incarnation contains the number.
	starts     map[model.HostID]int
	log        *logrus.Logger
	invariants *invariantChecker

	// actInterval is the time between two rounds of actOnce over the zones of a host, in
	// nanoseconds.
	actInterval atomic.Int64

	mu sync.Mutex
	// partitioned holds the broken connections, by the hosts they go from and to.
	partitioned map[[2]model.HostID]bool
	hostList    hostlist.Hosts
}

// List implements hostlist.Lister.
func (c *cluster) List(context.Context) (hostlist.Hosts, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hostList, nil
}

func newCluster(t *testing.T) *cluster {
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := clockwork.NewRealClock() // simulated within the bubble
	c := &cluster{
		t:           t,
		clock:       clock,
		store:       memory.New(clock),
		hosts:       map[model.HostID]*host{},
		starts:      map[model.HostID]int{},
		log:         log,
		invariants:  newInvariantChecker(clock),
		partitioned: map[[2]model.HostID]bool{},
	}
	c.actInterval.Store(int64(defaultActInterval))
	c.invariants.observe(c.t.Context(), c.store)
	return c
}

type host struct {
	*cluster
	id      model.HostID
	member  view.Member
	store   *memory.Client
	pauser  *pauser
	syncer  *view.Syncer
	client  *view.Client
	elector *ownership.Elector
	stop    context.CancelFunc
	done    chan struct{}
	// storeCalls holds the metrics of the host's store calls.
	storeCalls *prometheus.Registry

	mu     sync.Mutex
	zones  map[model.AvailabilityZoneID]model.Epoch
	events *event.Recorder
}

// hostLimits are the call budgets of a host's admin process and scheduler together.
var hostLimits = budget.Limits{
	ReadsPerSecond:  2 * budget.DefaultLimits.ReadsPerSecond,
	WritesPerSecond: 2 * budget.DefaultLimits.WritesPerSecond,
	LeasesPerSecond: 2 * budget.DefaultLimits.LeasesPerSecond,
}

func hostID(i int) model.HostID { return model.HostID(fmt.Sprintf("h%d", i)) }

func adminAddress(id model.HostID) string { return string(id) + ":admin" }

// start starts a host; seeds are the hosts listed in its settings.
func (c *cluster) start(id model.HostID, seeds ...model.HostID) *host {
	c.starts[id]++
	ctx, stop := context.WithCancel(c.t.Context())
	h := &host{
		cluster:    c,
		id:         id,
		store:      c.store.Client(),
		pauser:     &pauser{},
		stop:       stop,
		done:       make(chan struct{}),
		storeCalls: prometheus.NewRegistry(),
		zones:      map[model.AvailabilityZoneID]model.Epoch{},
	}
	h.member = view.Member{
		Host:             id,
		AdminAddress:     adminAddress(id),
		SchedulerAddress: string(id) + ":scheduler",
		Incarnation:      fmt.Sprintf("%s-%d", id, c.starts[id]),
	}
	clock := &pausableClock{Clock: c.clock, pauser: h.pauser}
	h.events = event.NewRecorder(string(id), clock, c.log, 256)
	limited := budget.New(h.store, clock, hostLimits, h.storeCalls)
	pausable := &pausableStore{Store: limited, pauser: h.pauser}
	var addresses []string
	for _, seed := range seeds {
		addresses = append(addresses, adminAddress(seed))
	}
	h.syncer = view.NewSyncer(view.SyncerOptions{
		Self:    h.member,
		Store:   pausable,
		Hosts:   c,
		Clock:   clock,
		Events:  h.events,
		Metrics: prometheus.NewRegistry(),
		Dial:    h.dial,
		Seeds:   addresses,
		Seed:    uint64(c.starts[id]),
	})
	h.client = view.NewClient(view.ClientOptions{
		Host: id, AdminAddress: h.member.AdminAddress, Seeds: addresses, Clock: clock, Events: h.events, Dial: h.dial,
	})
	h.elector = ownership.NewElector(ownership.Options{
		Store: pausable, Views: h.client, Member: h.member, Handler: h, Clock: clock,
		Events: h.events, Metrics: prometheus.NewRegistry(), LeaseTTL: leaseTTL,
		Announce: h.client.Announce,
	})
	c.mu.Lock()
	c.hosts[id] = h
	c.mu.Unlock()
	go h.run(ctx)
	return h
}

func (h *host) run(ctx context.Context) {
	defer close(h.done)
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){h.syncer.Run, h.client.Run, h.elector.Run, h.actLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// kill stops the host at once, without a handover.
func (h *host) kill() {
	h.cluster.mu.Lock()
	if h.hosts[h.id] == h {
		delete(h.hosts, h.id)
	}
	h.cluster.mu.Unlock()
	h.pauser.resume()
	h.stop()
	<-h.done
}

// Take implements ownership.Handler.
func (h *host) Take(zone model.AvailabilityZoneID, epoch model.Epoch) {
	h.invariants.recordTake(h.member, zone, epoch)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zones[zone] = epoch
}

// Release implements ownership.Handler.
func (h *host) Release(_ context.Context, zone model.AvailabilityZoneID) error {
	h.removeZone(zone)
	return nil
}

// Lose implements ownership.Handler.
func (h *host) Lose(zone model.AvailabilityZoneID, _ model.Epoch) { h.removeZone(zone) }

func (h *host) removeZone(zone model.AvailabilityZoneID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.zones, zone)
}

func (h *host) ownedZones() map[model.AvailabilityZoneID]model.Epoch {
	h.mu.Lock()
	defer h.mu.Unlock()
	owned := make(map[model.AvailabilityZoneID]model.Epoch, len(h.zones))
	for zone, epoch := range h.zones {
		owned[zone] = epoch
	}
	return owned
}

// actLoop calls actOnce for every owned zone until ctx ends.
func (h *host) actLoop(ctx context.Context) {
	for ctx.Err() == nil {
		h.pauser.wait()
		for zone, epoch := range h.ownedZones() {
			h.actOnce(zone, epoch)
		}
		h.clock.Sleep(time.Duration(h.actInterval.Load()))
	}
}

// actOnce records an action for the zone, and the start of a task, if the host may do
// either now. They are recorded with the time before the checks; delays between a check
// and its effect are limited by the workers.
func (h *host) actOnce(zone model.AvailabilityZoneID, epoch model.Epoch) {
	now := h.clock.Now()
	if h.pauser.paused() || !h.elector.MayAct(zone, epoch) {
		return
	}
	h.invariants.recordAction(h.member, zone, epoch, now)
	confirmation := h.client.Confirmation()
	declared, known := h.client.Current().Config.Zone(zone)
	if known && !declared.OutOfService && confirmation.MayStart(h.clock.Now()) {
		h.invariants.recordTaskStart(h.member, zone, now)
	}
}

// configure writes a configuration with the given zones, of which those in outOfService
// are out of service. It writes through the connection of h or, if h is nil, directly to the
// store, without simulated faults.
func (c *cluster) configure(h *host, zones []model.AvailabilityZoneID, outOfService ...model.AvailabilityZoneID) error {
	var s store.Store = c.store
	if h != nil {
		s = h.syncer.TrackWrites(h.store)
		endChange := h.syncer.BeginChange()
		defer func() { go h.resolveChange(endChange) }()
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
	defer cancel()
	page, err := s.Range(ctx, store.ConfigKey, store.ConfigKey+"\x00", 1)
	if err != nil {
		return err
	}
	var stored config.Stored
	condition := store.Absent(store.ConfigKey)
	if len(page.KeyValues) > 0 {
		condition.ModRevision = page.KeyValues[0].ModRevision
		stored, err = config.Decode(page.KeyValues[0].Value)
		require.NoError(c.t, err)
	}
	stored.Version++
	stored.Text = configText(zones, outOfService)
	_, err = s.Txn(ctx, store.Txn{
		If:   []store.Compare{condition},
		Then: []store.Op{{Put: &store.Put{Key: store.ConfigKey, Value: stored.Encode()}}},
	})
	return err
}

// resolveChange ends a change once the host has read the configuration back.
func (h *host) resolveChange(endChange func()) {
	defer endChange()
	for {
		select {
		case <-h.done:
			return
		case <-h.clock.After(time.Second):
		}
		if _, err := h.store.Range(h.t.Context(), store.ConfigKey, store.ConfigKey+"\x00", 1); err == nil {
			return
		}
	}
}

func configText(zones, outOfService []model.AvailabilityZoneID) string {
	cluster := &config.Cluster{
		Operators: []config.Operator{{Name: "dora", TokenSHA256: fmt.Sprintf("%064x", 1)}},
	}
	for _, zone := range zones {
		cluster.Zones = append(cluster.Zones, model.AvailabilityZone{ID: zone, Region: "r", OutOfService: slices.Contains(outOfService, zone)})
	}
	return string(config.Canonical(cluster))
}

// owners returns the host that may act for each zone.
func (c *cluster) owners() map[model.AvailabilityZoneID]model.HostID {
	c.mu.Lock()
	defer c.mu.Unlock()
	owners := map[model.AvailabilityZoneID]model.HostID{}
	for id, h := range c.hosts {
		for zone, epoch := range h.ownedZones() {
			if h.elector.MayAct(zone, epoch) {
				owners[zone] = id
			}
		}
	}
	return owners
}

// preferred returns the preferred owner of the zone.
func (c *cluster) preferred(zone model.AvailabilityZoneID) model.HostID {
	var members []view.Member
	for _, h := range c.hosts {
		members = append(members, h.member)
	}
	return ownership.Rank(zone, members)[0]
}

// epochs returns the last epoch of each zone.
func (c *cluster) epochs() map[model.AvailabilityZoneID]model.Epoch {
	c.invariants.mu.Lock()
	defer c.invariants.mu.Unlock()
	last := map[model.AvailabilityZoneID]model.Epoch{}
	for zone, records := range c.invariants.epochs {
		last[zone] = records[len(records)-1].epoch
	}
	return last
}

// eventually waits until condition holds, failing the test after limit of simulated time,
// and returns the time waited.
func (c *cluster) eventually(limit time.Duration, description string, condition func() bool) time.Duration {
	c.t.Helper()
	start := c.clock.Now()
	for !condition() {
		if c.clock.Since(start) > limit {
			c.logEvents()
			require.FailNow(c.t, "condition not met in time: "+description)
		}
		c.clock.Sleep(10 * time.Millisecond)
		synctest.Wait()
	}
	return c.clock.Since(start)
}

// logEvents logs the latest events of every host.
func (c *cluster) logEvents() {
	for _, h := range c.hosts {
		for _, e := range h.events.Read(event.Filter{Limit: 12}) {
			c.t.Log(e.Process, time.Unix(0, e.Time.WallNS).UTC().Format("15:04:05.000"), e.Name, e.Subject, e.Detail)
		}
	}
}

// stopAll stops every host, so that the synctest bubble can end.
func (c *cluster) stopAll() {
	for _, h := range c.hosts {
		h.kill()
	}
	// The goroutines of pausableClock timers that nobody waits for any more end within this
	// time.
	c.clock.Sleep(time.Minute)
}
