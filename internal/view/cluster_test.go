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

// world holds the keepers of a test, within a bubble of testing/synctest.
type world struct {
	t       *testing.T
	clock   clockwork.Clock
	store   *memory.Store
	keepers map[string]*view.Keeper
	stops   map[string]context.CancelFunc
	clients map[string]*memory.Client
	events  *event.Recorder
	// way is the time that a call between hosts takes.
	way time.Duration

	mu    sync.Mutex
	cut   map[string]bool
	hosts hostlist.Hosts
}

func inWorld(t *testing.T, run func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		clock := clockwork.NewRealClock() // simulated within the bubble
		w := &world{
			t: t, clock: clock, store: memory.New(clock),
			keepers: map[string]*view.Keeper{}, stops: map[string]context.CancelFunc{},
			clients: map[string]*memory.Client{}, cut: map[string]bool{},
			events: event.NewRecorder("test", clock, log, 64),
		}
		defer func() {
			for _, stop := range w.stops {
				stop()
			}
			clock.Sleep(time.Minute)
		}()
		run(w)
	})
}

// List implements hostlist.Port.
func (w *world) List(context.Context) (hostlist.Hosts, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts, nil
}

func (w *world) setHosts(hosts hostlist.Hosts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts = hosts
}

// setCut cuts or mends the way from each of the named hosts to one.
func (w *world) setCut(cut bool, to string, from ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range from {
		w.cut[name+">"+to] = cut
	}
}

var errCut = errors.New("cut")

// relay reaches the keeper at an address unless the link or the process is down.
type relay struct {
	*world
	from, to string
}

func (r relay) reach() (*view.Keeper, error) {
	r.clock.Sleep(r.way)
	r.mu.Lock()
	defer r.mu.Unlock()
	keeper, up := r.keepers[r.to]
	if !up || r.cut[r.from+">"+r.to] {
		return nil, errCut
	}
	return keeper, nil
}

// WatchView implements rpc.Relay.
func (r relay) WatchView(ctx context.Context, request *rpc.WatchViewRequest) (*rpc.WatchViewResponse, error) {
	keeper, err := r.reach()
	if err != nil {
		return nil, err
	}
	return keeper.WatchView(ctx, request)
}

// PeerStatus implements rpc.Relay.
func (r relay) PeerStatus(ctx context.Context, request *rpc.PeerStatusRequest) (*rpc.PeerStatusResponse, error) {
	keeper, err := r.reach()
	if err != nil {
		return nil, err
	}
	return keeper.PeerStatus(ctx, request)
}

// Announce implements rpc.Relay.
func (r relay) Announce(ctx context.Context, request *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	keeper, err := r.reach()
	if err != nil {
		return nil, err
	}
	return keeper.Announce(ctx, request)
}

// start starts a keeper over s, or over a client of its own when s is nil.
func (w *world) start(name string, s store.Store, seeds ...string) *view.Keeper {
	if s == nil {
		if w.clients[name] == nil {
			w.clients[name] = w.store.Client()
		}
		s = w.clients[name]
	}
	keeper := view.NewKeeper(view.KeeperOptions{
		Self:  view.Member{Host: model.HostID(name), AdminAddress: name, Incarnation: name + w.clock.Now().String()},
		Store: s, Hosts: w, Clock: w.clock, Events: w.events, Metrics: prometheus.NewRegistry(), Seeds: seeds,
		Dial: func(to string) rpc.Relay { return relay{w, name, to} },
	})
	ctx, stop := context.WithCancel(w.t.Context())
	w.mu.Lock()
	w.keepers[name] = keeper
	w.mu.Unlock()
	w.stops[name] = stop
	go keeper.Run(ctx)
	return keeper
}

func (w *world) kill(name string) {
	w.stops[name]()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.keepers, name)
}

// members registers hosts as a scheduler would, without a lease.
func (w *world) members(names ...string) {
	for _, name := range names {
		value := fmt.Sprintf(`{"host":%q,"admin_address":%q,"incarnation":%q}`, name, name, name)
		w.put(w.store, store.MemberKey(model.HostID(name)), []byte(value))
	}
}

func (w *world) put(s store.Store, key string, value []byte) {
	_, err := s.Txn(w.t.Context(), store.Txn{Then: []store.Op{{Put: &store.Put{Key: key, Value: value}}}})
	require.NoError(w.t, err)
}

// configure writes version with the zone "a", out or not.
func (w *world) configure(s store.Store, version model.ConfigVersion, out bool) {
	cluster := &config.Cluster{
		Zones:     []model.AvailabilityZone{{ID: "a", Region: "r", Out: out}},
		Operators: []config.Operator{{Name: "dora", TokenSHA256: fmt.Sprintf("%064x", 1)}},
	}
	stored := config.Stored{Version: version, Text: string(config.Canonical(cluster))}
	w.put(s, store.ConfigKey, stored.Encode())
}

func (w *world) down(names ...string) {
	for _, name := range names {
		w.clients[name].SetFaults(memory.Faults{Down: true})
	}
}

func (w *world) sleep(d time.Duration) {
	w.clock.Sleep(d)
	synctest.Wait()
}

func (w *world) mayStart(keeper view.Source) bool {
	zone, known := keeper.Current().Config.Zone("a")
	return known && !zone.Out && keeper.Confirmation().MayStart(w.clock.Now())
}

func (w *world) version(name string) model.ConfigVersion {
	return w.keepers[name].Current().Config.Version
}

// threeHosts starts a, b and c under version 1.
func (w *world) threeHosts() {
	w.configure(w.store, 1, false)
	w.members("a", "b", "c")
	for _, name := range []string{"a", "b", "c"} {
		w.start(name, nil)
	}
	w.sleep(5 * time.Second)
}
