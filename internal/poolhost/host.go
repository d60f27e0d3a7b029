// Package poolhost is what a host runs for the pool: it accepts, cancels and shows
// jobs for callers, competes for the ownership of the pool, and runs the pool while it
// owns it. It keeps nothing; what must last lies in the store.
package poolhost

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/mirror"
)

// Directories says where the platform keeps the operators' configuration and the list
// of workers, and how to read them.
type Directories struct {
	ConfigPrefix string
	// DecodeConfig reads the keys under ConfigPrefix; nil without an error means that
	// there is no configuration yet.
	DecodeConfig  func(keys map[string]store.KeyValue) (*Configuration, error)
	WorkersPrefix string
	DecodeWorker  func(kv store.KeyValue) (pool.WorkerInfo, error)
	// WaveStatus encodes the state of a wave of upkeep.
	WaveStatus pool.WaveStatus
}

// Options configure a host.
type Options struct {
	Name        string
	Incarnation string
	// Address is where other hosts reach this one.
	Address string
	// Weight is the processor share of the host, in cores. Strong hosts own the pool.
	Weight float64
	// Store serves all but the directories. The watches of ConfigStore answer often
	// enough to confirm the configuration in time, those of WorkersStore bundle the
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
	// RevokedWithin is the time within which a key that was taken away must not work.
	RevokedWithin time.Duration
}

// Host is a running host. It is safe for use by several goroutines.
type Host struct {
	Options
	directory *directory
	elector   *elector
	peers     *http.Client
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup

	mu    sync.Mutex
	owner ownerValue
	// ownerMoved is closed when another host owns the pool.
	ownerMoved chan struct{}
	// term is set while this host owns the pool.
	term   *term
	finals map[model.JobID]finalState
	// counts holds the latest counts of queues, by name.
	counts map[string]countOf
	// waveDue holds when each wave is due, counted from when this host first saw it.
	waveDue map[int]time.Time
	// ownerSilent is true while the owner does not answer this host.
	ownerSilent bool
	// outage tells whether the store can be reached.
	outage *outage
}

// New starts a host.
func New(o Options) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		Options:    o,
		directory:  &directory{clock: o.Clock, events: o.Events, revokedWithin: o.RevokedWithin},
		peers:      newPeerClient(),
		ctx:        ctx,
		cancel:     cancel,
		waveDue:    map[int]time.Time{},
		finals:     map[model.JobID]finalState{},
		counts:     map[string]countOf{},
		ownerMoved: make(chan struct{}),
		outage:     newOutage(),
	}
	self := ownerValue{Host: o.Name, Address: o.Address, Incarnation: o.Incarnation, Weight: o.Weight}
	h.elector = newElector(o.Store, o.Clock, self, o.Events)
	h.elector.won = h.beginTerm
	h.elector.lost = h.endTerm
	h.background(func() {
		h.follow(ctx, o.ConfigStore, o.Directories.ConfigPrefix, "configuration", h.takeConfig)
	})
	h.background(func() { h.follow(ctx, o.Store, store.PoolOwnerKey, "owner", h.takeOwner) })
	h.background(func() { h.elector.run(ctx) })
	h.background(func() { h.relieveWeakOwner(ctx) })
	h.background(func() { h.watchOwner(ctx) })
	return h
}

func (h *Host) background(f func()) {
	h.running.Add(1)
	go func() {
		defer h.running.Done()
		f()
	}()
}

// followTimeout bounds one read of a directory.
const followTimeout = 2 * time.Second

// follow keeps a copy of a prefix and notes when the store is lost and regained.
func (h *Host) follow(ctx context.Context, s store.Store, prefix, what string, take func(mirror.State)) {
	mirror.Follow(ctx, mirror.Options{
		Store: s, Prefix: prefix, Clock: h.Clock, OnState: take, Timeout: followTimeout,
		OnError: func(err error) { h.noteStore(what, err) },
	})
}

// noteStore records when a directory is lost and when it can be read again.
func (h *Host) noteStore(what string, err error) {
	changed := h.outage.note(what, err, h.Clock.Now())
	switch {
	case changed && err != nil:
		h.Events.Note(event.StoreUnavailable, event.Subject{}, event.Fields{"call": "follow", "what": what, "why": err.Error()})
	case changed:
		h.Events.Note(event.StoreRecovered, event.Subject{}, event.Fields{"call": "follow", "what": what})
	}
}

func (h *Host) takeConfig(state mirror.State) {
	current, _, _ := h.directory.get()
	if len(state.Changed) == 0 && current != nil {
		h.directory.confirmedAt(state.Confirmed)
		return
	}
	config, err := h.Directories.DecodeConfig(state.Keys)
	if err != nil {
		h.Events.Note(event.ConfigRefused, event.Subject{}, event.Fields{"why": err.Error(), "revision": state.Revision})
		return
	}
	if config == nil {
		return
	}
	config.Index()
	h.dateWaves(config)
	if !h.directory.set(config, state.Confirmed) {
		return
	}
	h.Events.Note(event.ConfigApplied, event.Subject{}, event.Fields{
		"version": config.Version, "revision": state.Revision, "routes": len(config.Routes), "keys": len(config.Keys), "zones_out": len(config.Out),
	})
	if t := h.current(); t != nil {
		t.loop.Change(func(o *pool.Owner, now time.Time) { t.apply(o, config, now) })
	}
}

// dateWaves replaces the due time of each wave, which the decoder counts from now, by
// that of the first sight of the wave.
func (h *Host) dateWaves(config *Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, wave := range config.Waves {
		if due, known := h.waveDue[wave.Number]; known {
			config.Waves[i].Due = due
		}
		h.waveDue[wave.Number] = config.Waves[i].Due
	}
}

func (h *Host) takeOwner(state mirror.State) {
	kv, ok := state.Keys[store.PoolOwnerKey]
	if !ok {
		h.setOwner(ownerValue{})
		h.elector.keyChanged(nil)
		return
	}
	value, err := decodeOwner(kv.Value)
	if err != nil {
		h.Events.Note(event.OwnershipLost, event.Subject{}, event.Fields{"why": err.Error()})
	}
	h.setOwner(value)
	h.elector.keyChanged(&kv)
}

func (h *Host) setOwner(value ownerValue) {
	h.mu.Lock()
	before := h.owner
	h.owner = value
	if before != value {
		close(h.ownerMoved)
		h.ownerMoved = make(chan struct{})
	}
	h.mu.Unlock()
	if before != value {
		h.Events.Note(event.OwnerChanged, event.Subject{Host: value.Host}, event.Fields{"before": before.Host, "incarnation": value.Incarnation})
	}
}

func (h *Host) current() *term {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term
}

// Configuration returns the configuration in force, and whether it is confirmed
// recently enough to work by it.
func (h *Host) Configuration() (*Configuration, bool) {
	config, _, fresh := h.directory.get()
	return config, fresh
}

// Ready reports whether the host can serve callers.
func (h *Host) Ready() bool {
	config, fresh := h.Configuration()
	return config != nil && fresh
}

// HandOver hands the ownership over, if this host has it, and competes no more. The
// host goes on to serve callers.
func (h *Host) HandOver(ctx context.Context) {
	h.elector.withdraw()
	if t := h.current(); t != nil {
		t.release(ctx)
	}
}

// Stop ends the host.
func (h *Host) Stop() {
	h.cancel()
	h.running.Wait()
}

// Handler serves the other hosts, and operators who look at this one.
func (h *Host) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(rpc.PoolPathPrefix, rpc.NewPoolServer(&poolServer{h}))
	h.inspect(mux)
	return mux
}
