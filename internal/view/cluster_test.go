package view_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/hostlist"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
)

// cluster holds the syncers of a test, within a testing/synctest bubble.
type cluster struct {
	t            *testing.T
	clock        clockwork.Clock
	store        *memory.Store
	syncers      map[string]*view.Syncer
	cancels      map[string]context.CancelFunc
	storeClients map[string]*memory.Client
	events       *event.Recorder
	// callDelay is the duration of a call between hosts.
	callDelay time.Duration

	mu          sync.Mutex
	partitioned map[string]bool
	hosts       hostlist.Hosts
}

func runCluster(t *testing.T, run func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		clock := clockwork.NewRealClock() // simulated within the bubble
		c := &cluster{
			t: t, clock: clock, store: memory.New(clock),
			syncers: map[string]*view.Syncer{}, cancels: map[string]context.CancelFunc{},
			storeClients: map[string]*memory.Client{}, partitioned: map[string]bool{},
			events: event.NewRecorder("test", clock, log, 64),
		}
		defer func() {
			for _, cancel := range c.cancels {
				cancel()
			}
			clock.Sleep(time.Minute)
		}()
		run(c)
	})
}

// List implements hostlist.Lister.
func (c *cluster) List(context.Context) (hostlist.Hosts, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts, nil
}

func (c *cluster) setHosts(hosts hostlist.Hosts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = hosts
}

// setPartitioned breaks or restores the link from each of the named hosts to one.
func (c *cluster) setPartitioned(partitioned bool, to string, from ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range from {
		c.partitioned[name+">"+to] = partitioned
	}
}

var errUnreachable = errors.New("cut")

// simulatedRelay calls the syncer at an address unless the link or the process is down.
type simulatedRelay struct {
	*cluster
	from, to string
}

func (r simulatedRelay) syncer() (*view.Syncer, error) {
	r.clock.Sleep(r.callDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	syncer, up := r.syncers[r.to]
	if !up || r.partitioned[r.from+">"+r.to] {
		return nil, errUnreachable
	}
	return syncer, nil
}

// WatchView implements rpc.Relay.
func (r simulatedRelay) WatchView(ctx context.Context, request *rpc.WatchViewRequest) (*rpc.WatchViewResponse, error) {
	syncer, err := r.syncer()
	if err != nil {
		return nil, err
	}
	return syncer.WatchView(ctx, request)
}

// PeerStatus implements rpc.Relay.
func (r simulatedRelay) PeerStatus(ctx context.Context, request *rpc.PeerStatusRequest) (*rpc.PeerStatusResponse, error) {
	syncer, err := r.syncer()
	if err != nil {
		return nil, err
	}
	return syncer.PeerStatus(ctx, request)
}

// Announce implements rpc.Relay.
func (r simulatedRelay) Announce(ctx context.Context, request *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	syncer, err := r.syncer()
	if err != nil {
		return nil, err
	}
	return syncer.Announce(ctx, request)
}

// startSyncer starts a syncer with s, or with a store client of its own when s is nil.
func (c *cluster) startSyncer(name string, s store.Store, seeds ...string) *view.Syncer {
	if s == nil {
		if c.storeClients[name] == nil {
			c.storeClients[name] = c.store.Client()
		}
		s = c.storeClients[name]
	}
	syncer := view.NewSyncer(view.SyncerOptions{
		Self:  view.Member{Host: model.HostID(name), AdminAddress: name, Incarnation: name + c.clock.Now().String()},
		Store: s, Hosts: c, Clock: c.clock, Events: c.events, Metrics: prometheus.NewRegistry(), Seeds: seeds,
		Dial: func(to string) rpc.Relay { return simulatedRelay{c, name, to} },
	})
	ctx, cancel := context.WithCancel(c.t.Context())
	c.mu.Lock()
	c.syncers[name] = syncer
	c.mu.Unlock()
	c.cancels[name] = cancel
	go syncer.Run(ctx)
	return syncer
}

func (c *cluster) stopHost(name string) {
	c.cancels[name]()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.syncers, name)
}

// registerMembers registers hosts as a scheduler would, but without a lease.
func (c *cluster) registerMembers(names ...string) {
	for _, name := range names {
		value := fmt.Sprintf(`{"host":%q,"admin_address":%q,"incarnation":%q}`, name, name, name)
		c.put(c.store, store.MemberKey(model.HostID(name)), []byte(value))
	}
}

func (c *cluster) put(s store.Store, key string, value []byte) {
	_, err := s.Txn(c.t.Context(), store.Txn{Then: []store.Op{{Put: &store.Put{Key: key, Value: value}}}})
	require.NoError(c.t, err)
}

// configure writes a configuration with the zone "a", taken out of service or not.
func (c *cluster) configure(s store.Store, version model.ConfigVersion, out bool) {
	cluster := &config.Cluster{
		Zones:     []model.AvailabilityZone{{ID: "a", Region: "r", OutOfService: out}},
		Operators: []config.Operator{{Name: "dora", TokenSHA256: fmt.Sprintf("%064x", 1)}},
	}
	stored := config.Stored{Version: version, Text: string(config.Canonical(cluster))}
	c.put(s, store.ConfigKey, stored.Encode())
}

func (c *cluster) disconnectStore(names ...string) {
	for _, name := range names {
		c.storeClients[name].SetFaults(memory.Faults{Down: true})
	}
}

func (c *cluster) sleep(d time.Duration) {
	c.clock.Sleep(d)
	synctest.Wait()
}

func (c *cluster) mayStart(syncer view.Source) bool {
	zone, known := syncer.Current().Config.Zone("a")
	return known && !zone.OutOfService && syncer.Confirmation().MayStart(c.clock.Now())
}

func (c *cluster) version(name string) model.ConfigVersion {
	return c.syncers[name].Current().Config.Version
}

// startThreeHosts starts the hosts a, b and c under version 1.
func (c *cluster) startThreeHosts() {
	c.configure(c.store, 1, false)
	c.registerMembers("a", "b", "c")
	for _, name := range []string{"a", "b", "c"} {
		c.startSyncer(name, nil)
	}
	c.sleep(5 * time.Second)
}
