// Package schedulerd implements the service of chervil-scheduler. It runs the zones
// that this host owns and serves the RPCs for their jobs.
package schedulerd

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/view"
	"github.com/chervilrun/chervilrun/internal/worker"
	"github.com/chervilrun/chervilrun/internal/zone"
)

// OwnershipCheck reports whether this host certainly owns a zone in the given epoch
// right now, by its own clock.
type OwnershipCheck func(zone model.AvailabilityZoneID, epoch model.Epoch) bool

// Config holds the dependencies and settings of a Service.
type Config struct {
	Clock   clockwork.Clock
	Events  *event.Recorder
	Metrics *zone.Metrics
	Workers worker.Port
	Store   store.Store
	Views   view.Source
	Owned   OwnershipCheck
	// Client is used for RPCs to the other schedulers.
	Client *http.Client
	Timing zone.Timing
	// Seed seeds the scheduling engine and the jitter of exchanges.
	Seed uint64
}

// Service implements ownership.Handler and rpc.Scheduler. It is safe for concurrent use.
type Service struct {
	config Config

	mu       sync.Mutex
	zones    map[model.AvailabilityZoneID]*ownedZone
	draining bool
}

type ownedZone struct {
	epoch model.Epoch
	loop  *zone.Loop
}

// New returns a Service that owns no zone yet.
func New(config Config) *Service {
	return &Service{config: config, zones: map[model.AvailabilityZoneID]*ownedZone{}}
}

// SetOwnershipCheck sets the ownership check. It must be called before the first Take.
func (s *Service) SetOwnershipCheck(check OwnershipCheck) { s.config.Owned = check }

// Take implements ownership.Handler.
func (s *Service) Take(id model.AvailabilityZoneID, epoch model.Epoch) {
	s.stopZone(id)
	options := zone.Options{
		Zone:    id,
		Epoch:   epoch,
		Engine:  scheduler.New(id, scheduler.Options{Seed: s.config.Seed}),
		Assign:  assign,
		Events:  s.config.Events,
		Rand:    rand.New(rand.NewPCG(s.config.Seed, uint64(epoch))),
		Timing:  s.config.Timing,
		Metrics: s.config.Metrics,
	}
	loop := zone.NewLoop(options, zone.Ports{
		Clock:   s.config.Clock,
		Workers: s.config.Workers,
		Store:   s.config.Store,
		Views:   s.config.Views,
		Owned:   func() bool { return s.config.Owned(id, epoch) },
		Notify:  s.notify,
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zones[id] = &ownedZone{epoch, loop}
}

// assign returns the guaranteed shapes of one zone. It depends only on the view, so
// every owner computes the same assignment.
func assign(v *view.View, id model.AvailabilityZoneID) map[model.OrganisationID][]model.Guarantee {
	assignment, _ := guarantee.Pack(v.Workers, v.Config.Zones, v.Config.Organisations)
	return assignment[id]
}

// Release implements ownership.Handler.
func (s *Service) Release(ctx context.Context, id model.AvailabilityZoneID) error {
	z := s.findZone(id)
	if z == nil {
		return nil
	}
	err := z.loop.Release(ctx)
	s.stopZone(id)
	return err
}

// Lose implements ownership.Handler.
func (s *Service) Lose(id model.AvailabilityZoneID, epoch model.Epoch) {
	if z := s.findZone(id); z != nil && z.epoch <= epoch {
		s.stopZone(id)
	}
}

func (s *Service) stopZone(id model.AvailabilityZoneID) {
	s.mu.Lock()
	z := s.zones[id]
	delete(s.zones, id)
	s.mu.Unlock()
	if z != nil {
		z.loop.Stop()
	}
}

func (s *Service) findZone(id model.AvailabilityZoneID) *ownedZone {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.zones[id]
}

// Zones returns the zones that this host owns, sorted.
func (s *Service) Zones() []model.AvailabilityZoneID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]model.AvailabilityZoneID, 0, len(s.zones))
	for id := range s.zones {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Drain makes the service report in its digests that its zones accept no new jobs.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *Service) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Ready returns an error while the process can't own zones yet.
func (s *Service) Ready() error {
	if s.config.Views.Current().Config.Version == 0 {
		return errors.New("no configuration received yet")
	}
	return nil
}
