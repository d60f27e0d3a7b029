// Package entry serves the caller API of an entry host: requests to services and
// jobs. Every response carries an exact outcome. The decisions are made by the packages
// routing, once and guarantee; this package connects them with HTTP, the executors and
// the store.
package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilrun/chervilrun/internal/auth"
	"github.com/chervilrun/chervilrun/internal/chart"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/executor"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/once"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/problem"
	"github.com/chervilrun/chervilrun/internal/routing"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/view"

	"github.com/chervilrun/chervilrun/client"
)

// Options of a Server.
type Options struct {
	Host model.HostID
	// Incarnation is unique to each start of the process; IDs are derived from it.
	Incarnation string
	Clock       clockwork.Clock
	Seed        uint64
	Source      view.Source
	Executors   executor.Client
	Store       store.Store
	Events      *event.Recorder
	Metrics     prometheus.Registerer
	// InternalClient is the HTTP client for calls to other processes of the system.
	InternalClient *http.Client
	// MaxConnections limits the connections from this host to one executor.
	MaxConnections int
	// Draining reports whether the process's shutdown has begun; nil means never.
	Draining func() bool
	// QueueLimit limits the requests that are queued for one service.
	QueueLimit int
	// OnceInterval is the minimum average time between store calls for single-execution
	// records.
	OnceInterval time.Duration
}

// recordRetention is the minimum time for which a single-execution record is kept.
const recordRetention = 24 * time.Hour

// Server is the caller API of one entry host.
type Server struct {
	options Options
	router  *routing.Router
	once    *once.Recorder
	zones   *zoneSelector
	ids     *idSource
	metrics *metrics
	events  *eventLimiter
	chart   *chart.Chart

	mu       sync.Mutex
	draining bool
	inFlight int
	idle     chan struct{}
}

// New returns a server. Run must be running while it serves calls.
func New(options Options) *Server {
	s := &Server{
		options: options,
		ids:     newIDSource(options.Incarnation),
		metrics: newMetrics(options.Metrics),
		chart:   chart.Load("request"),
		events:  newEventLimiter(options.Events, options.Clock, options.Metrics),
	}
	s.router = routing.NewRouter(routing.Options{
		Self:           options.Host,
		Clock:          options.Clock,
		Seed:           options.Seed,
		Policy:         routing.PolicyLoans,
		MaxConnections: options.MaxConnections,
		QueueLimit:     options.QueueLimit,
		LoanClient:     slotsClient{options.InternalClient},
		OnTransition:   s.recordExecutorTransition,
	})
	s.once = once.NewRecorder(once.Options{
		Store:     options.Store,
		Clock:     options.Clock,
		Interval:  options.OnceInterval,
		Retention: recordRetention,
	})
	s.zones = newZoneSelector(options.Clock, options.Source, options.InternalClient)
	s.router.Update(options.Source.Current())
	options.Metrics.MustRegister(loadCollector{s})
	return s
}

// Register adds the caller API to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/services/{service}/requests", s.track(s.serveRequest))
	mux.HandleFunc("POST /v1/jobs", s.track(s.submitJob))
	mux.HandleFunc("GET /v1/jobs/{job}", s.track(s.getJob))
	mux.HandleFunc("DELETE /v1/jobs/{job}", s.track(s.cancelJob))
	mux.HandleFunc("/v1/", func(w http.ResponseWriter, _ *http.Request) {
		writeOutcome(w, outcome.NotRunBecause(outcome.ReasonNotFound, "no such resource or method"), "")
	})
}

// Run applies changes of the view, lends and borrows slots, polls the digests of zones
// and commits records until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { s.router.Run(ctx) })
	running.Go(func() { s.once.Run(ctx) })
	running.Go(func() { s.zones.run(ctx) })
	for {
		changed := s.options.Source.Changed()
		s.router.Update(s.options.Source.Current())
		select {
		case <-ctx.Done():
			running.Wait()
			return
		case <-changed:
		}
	}
}

// Ready returns an error until the host has a configuration and knows the executors.
func (s *Server) Ready() error {
	current := s.options.Source.Current()
	switch {
	case current.Config.Version == 0:
		return errors.New("no configuration yet")
	case !current.HostsKnown():
		return errors.New("no list of hosts yet")
	}
	return nil
}

// drainPollInterval is the time between checks for unrecorded outcomes.
const drainPollInterval = 20 * time.Millisecond

// Drain refuses new calls, then waits until the calls in flight have ended and their
// outcomes are recorded.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	idle := make(chan struct{})
	s.idle = idle
	if s.inFlight == 0 {
		close(idle)
	}
	s.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests still in flight")
	}
	for s.once.Unrecorded() > 0 {
		select {
		case <-s.options.Clock.After(drainPollInterval):
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d outcomes not recorded", s.once.Unrecorded())
		}
	}
	return nil
}

// track counts a call as in flight, or refuses it while the host drains.
func (s *Server) track(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.beginCall() {
			w.Header().Set("Connection", "close")
			writeOutcome(w, outcome.NotRunBecause(outcome.ReasonDraining, "this entry host is shutting down"), "")
			return
		}
		defer s.endCall()
		if s.options.Draining != nil && s.options.Draining() {
			// Close the connection, so that the caller's next request goes to
			// another host.
			w.Header().Set("Connection", "close")
		}
		next(w, r)
	}
}

func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inFlight++
	return true
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.draining && s.inFlight == 0 {
		close(s.idle)
	}
}

// authenticate returns the organisation of the caller, or sends an error response.
func (s *Server) authenticate(w http.ResponseWriter, r *http.Request, v *view.View) (model.OrganisationID, bool) {
	organisation, ok := auth.Caller(v.Config, r)
	if !ok {
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeOutcome(w, outcome.NotRunBecause(outcome.ReasonUnauthenticated, "the token is missing or belongs to no organisation"), "")
	}
	return organisation, ok
}

// writeOutcome sends a problem document.
func writeOutcome(w http.ResponseWriter, o outcome.Outcome, request string) {
	w.Header().Set(client.HeaderOutcome, string(o.Kind))
	document := problem.New(o)
	document.Request = request
	problem.WriteDocument(w, document.Status, document)
}

func (s *Server) recordExecutorTransition(e model.Executor, transition routing.Transition) {
	number := event.ExecutorEjected
	if transition == routing.TransitionRestored {
		number = event.ExecutorRestored
	}
	subject := event.Subject{Executor: string(e.ID), Zone: string(e.Zone), Host: string(s.options.Host)}
	s.options.Events.Record(number, subject, "service "+string(e.Service))
}
