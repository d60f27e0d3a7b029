// Package poolhost implements the pool service of a host: it accepts, cancels and shows
// jobs for callers, takes part in the election of the pool's owner, and runs a
// pool.Owner while it owns the pool. All durable state is in the store.
package poolhost

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/panics"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/mirror"
)

// Directories describes where the platform stores the operators' configuration and the
// list of workers, and how to decode them.
type Directories struct {
	ConfigPrefix string
	// DecodeConfig decodes the keys under ConfigPrefix; nil without an error means that
	// there is no configuration yet.
	DecodeConfig  func(keys map[string]store.KeyValue) (*Configuration, error)
	WorkersPrefix string
	DecodeWorker  func(kv store.KeyValue) (pool.WorkerInfo, error)
	// WaveStatus encodes the status of an upkeep wave.
	WaveStatus pool.WaveStatus
}

// Options configure a host.
type Options struct {
	Name        string
	Incarnation string
	// Address is the network address of this host for other hosts.
	Address string
	// Weight is the CPU share of the host, in cores. Hosts with more weight are preferred
	// as owners of the pool.
	Weight float64
	// Store serves everything except the directories. The watches of ConfigStore respond
	// often enough to confirm the configuration in time, those of WorkersStore batch the
	// many changes of the list of workers.
	Store        store.Store
	ConfigStore  store.Store
	WorkersStore store.Store
	Workers      pool.WorkerPort
	Adviser      pool.Adviser
	Machines     pool.MachinePort
	Directories  Directories
	Clock        clockwork.Clock
	Events       *event.Recorder
	Timing       pool.Timing
	// UpkeepTime is how long a machine is down for its upkeep.
	UpkeepTime time.Duration
	// KeyRevocationLimit is the time after which a revoked API key must no longer work.
	KeyRevocationLimit time.Duration
}

// Host is a running host. It is safe for concurrent use.
type Host struct {
	Options
	config  *configState
	elector *elector
	peers   *http.Client
	// announcements holds an entry for each announcement in flight.
	announcements chan struct{}
	ctx           context.Context
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup

	mu    sync.Mutex
	owner ownerValue
	// ownerChanged is closed and replaced when the owner changes.
	ownerChanged chan struct{}
	// term is set while this host owns the pool.
	term *term
	// finalStates caches the states of jobs that have ended.
	finalStates map[model.JobID]finalState
	// queueCounts caches the number of waiting jobs of each queue, by name.
	queueCounts map[string]queueCount
	// waveDueTimes holds when each wave is due, by its number, as decoded when this host
	// first read the wave.
	waveDueTimes map[int]time.Time
	// ownerUnresponsive is true while calls from this host to the owner fail.
	ownerUnresponsive bool
	// silence is what this host has seen of the record of silent workers.
	silence pool.SilenceTimes
	// outage tracks whether the store can be reached.
	outage *outageTracker
}

// New starts a host.
func New(o Options) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		Options: o,
		config:  &configState{clock: o.Clock, events: o.Events, keyRevocationLimit: o.KeyRevocationLimit},
		peers:   newPeerClient(),

		announcements: make(chan struct{}, maxAnnouncements),

		ctx:          ctx,
		cancel:       cancel,
		waveDueTimes: map[int]time.Time{},
		finalStates:  map[model.JobID]finalState{},
		queueCounts:  map[string]queueCount{},
		ownerChanged: make(chan struct{}),
		outage:       newOutageTracker(),
	}
	self := ownerValue{Host: o.Name, Address: o.Address, Incarnation: o.Incarnation, Weight: o.Weight, KeepsSilence: true}
	h.elector = newElector(o.Store, o.Clock, self, o.Events)
	h.elector.onElected = h.beginTerm
	h.elector.onLost = h.endTerm
	h.background(func() {
		h.follow(ctx, o.ConfigStore, o.Directories.ConfigPrefix, "configuration", h.handleConfig)
	})
	h.background(func() { h.follow(ctx, o.Store, store.PoolOwnerKey, "owner", h.handleOwnerKey) })
	h.background(func() { h.follow(ctx, o.Store, store.PoolSilenceKey, "silence", h.handleSilence) })
	h.background(func() { h.elector.run(ctx) })
	h.background(func() { h.replaceWeakOwner(ctx) })
	h.background(func() { h.watchOwner(ctx) })
	return h
}

func (h *Host) background(f func()) {
	h.goroutines.Add(1)
	go func() {
		defer h.goroutines.Done()
		f()
	}()
}

// storeReadTimeout limits one read from the store.
const storeReadTimeout = 2 * time.Second

// follow watches a prefix, passes each state of its keys to onState, and records when the
// reads start to fail and when they succeed again.
func (h *Host) follow(ctx context.Context, s store.Store, prefix, read string, onState func(mirror.State)) {
	mirror.Follow(ctx, mirror.Options{
		Store: s, Prefix: prefix, Clock: h.Clock, Timeout: storeReadTimeout,
		OnState: func(state mirror.State) { h.contain(read, state, onState) },
		OnError: func(err error) { h.recordStoreRead(read, err) },
	})
}

// contain passes a state to its receiver. If that panics, the host goes on with what it
// knew before.
func (h *Host) contain(read string, state mirror.State, onState func(mirror.State)) {
	defer func() {
		if value := recover(); value != nil {
			err := panics.New(value)
			h.Events.RecordFields(event.StateSkipped, event.Subject{}, event.Fields{"what": read, "revision": state.Revision, "why": err.Error(), "stack": err.Stack})
		}
	}()
	onState(state)
}

// recordStoreRead records the result of a read from the store, with an event when the
// read starts to fail or succeeds again.
func (h *Host) recordStoreRead(read string, err error) {
	changed := h.outage.recordRead(read, err, h.Clock.Now())
	switch {
	case changed && err != nil:
		h.Events.RecordFields(event.StoreUnavailable, event.Subject{}, event.Fields{"call": "follow", "what": read, "why": err.Error()})
	case changed:
		h.Events.RecordFields(event.StoreRecovered, event.Subject{}, event.Fields{"call": "follow", "what": read})
	}
}

func (h *Host) handleConfig(state mirror.State) {
	current, _, _ := h.config.get()
	if len(state.Changed) == 0 && current != nil {
		h.config.confirm(state.Confirmed)
		return
	}
	config, err := h.decodeConfig(state.Keys)
	if err != nil {
		h.Events.RecordFields(event.ConfigRefused, event.Subject{}, event.Fields{"why": err.Error(), "revision": state.Revision})
		return
	}
	if config == nil {
		return
	}
	config.Index()
	h.keepWaveDueTimes(config)
	if !h.config.set(config, state.Confirmed) {
		return
	}
	h.Events.RecordFields(event.ConfigApplied, event.Subject{}, event.Fields{
		"version": config.Version, "revision": state.Revision, "routes": len(config.Routes), "keys": len(config.Keys), "zones_out": len(config.ZonesOutOfService),
	})
	if t := h.currentTerm(); t != nil {
		t.loop.Update(func(o *pool.Owner, now time.Time) { t.applyConfig(o, config, now) })
	}
}

// decodeConfig decodes the configuration. If the decoder panics, the one in force stays.
func (h *Host) decodeConfig(keys map[string]store.KeyValue) (config *Configuration, err error) {
	defer panics.ToError(&err)
	return h.Directories.DecodeConfig(keys)
}

// keepWaveDueTimes keeps the due time that each wave had when this host first read it,
// since the decoder counts due times from the time of decoding.
func (h *Host) keepWaveDueTimes(config *Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, wave := range config.Waves {
		if due, known := h.waveDueTimes[wave.Number]; known {
			config.Waves[i].Due = due
		}
		h.waveDueTimes[wave.Number] = config.Waves[i].Due
	}
}

func (h *Host) handleOwnerKey(state mirror.State) {
	kv, ok := state.Keys[store.PoolOwnerKey]
	if !ok {
		h.elector.ownerKeyChanged(nil)
		h.setOwner(ownerValue{})
		return
	}
	value, err := decodeOwner(kv.Value)
	if err != nil {
		h.Events.RecordFields(event.EntryMalformed, event.Subject{}, event.Fields{"key": kv.Key, "revision": kv.ModRevision, "why": err.Error()})
	}
	h.elector.ownerKeyChanged(&kv)
	h.setOwner(value)
}

func (h *Host) setOwner(value ownerValue) {
	h.mu.Lock()
	previous := h.owner
	h.owner = value
	if previous != value {
		close(h.ownerChanged)
		h.ownerChanged = make(chan struct{})
	}
	h.mu.Unlock()
	if previous != value {
		h.Events.RecordFields(event.OwnerChanged, event.Subject{Host: value.Host}, event.Fields{"before": previous.Host, "incarnation": value.Incarnation})
	}
}

func (h *Host) currentTerm() *term {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term
}

// Configuration returns the configuration in force, and whether it was confirmed
// recently enough to be used.
func (h *Host) Configuration() (*Configuration, bool) {
	config, _, fresh := h.config.get()
	return config, fresh
}

// Ready reports whether the host can serve callers.
func (h *Host) Ready() bool {
	config, fresh := h.Configuration()
	return config != nil && fresh
}

// HandOver gives up the ownership, if this host has it, and stops taking part in
// elections. The host continues to serve callers.
func (h *Host) HandOver(ctx context.Context) {
	h.elector.withdraw()
	if t := h.currentTerm(); t != nil {
		t.handOver(ctx)
	}
}

// Stop stops the host and waits for its goroutines.
func (h *Host) Stop() {
	h.cancel()
	h.goroutines.Wait()
}

// Handler serves the calls of other hosts and of operators.
func (h *Host) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(rpc.PoolPathPrefix, rpc.NewPoolServer(&poolServer{h}))
	h.registerOperatorRoutes(mux)
	return mux
}
