// Package process is the common runtime of all chervilrun processes: it reads the
// settings, listens, serves health checks, metrics and the timeline in addition to the
// process's own handlers, and shuts down gracefully on a signal.
package process

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/settings"
)

// Exit codes of all processes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// Settings are the settings that all processes share.
type Settings struct {
	// Host names the entry host that the process runs on.
	Host string
	// Zone is the host's own availability zone.
	Zone string
	// Listen is the address that the process listens on.
	Listen string
	// Advertise is the address at which other hosts reach the process; empty means Listen.
	Advertise string
	// Secret is shared by the processes of one deployment.
	Secret string
	// LogLevel is the name of a logrus level.
	LogLevel string
	// DrainDelay is how long readiness fails before new work is refused.
	DrainDelay time.Duration
	// DrainTimeout limits the time for finishing work in progress.
	DrainTimeout time.Duration
	// Seed seeds the process's random number generators; 0 takes a seed from the clock.
	Seed int
}

// Limits of the settings that all processes share.
const (
	maxDrainDelay   = time.Minute
	maxDrainTimeout = time.Hour
	maxSeed         = 1<<31 - 1
)

// Declare adds the settings to a set.
func (s *Settings) Declare(set *settings.Set) {
	set.Text(&s.Host, "host", "", "name of this entry host")
	set.Text(&s.Zone, "zone", "", "availability zone of this host")
	set.Address(&s.Listen, "listen", "127.0.0.1:0", "`address` to listen on")
	set.OptionalAddress(&s.Advertise, "advertise", "`address` at which other hosts reach this process; empty means the one that it listens on")
	set.Secret(&s.Secret, "cluster-secret", "secret that the processes of one deployment share")
	set.Text(&s.LogLevel, "log-level", "info", "minimum level that is logged: debug, info, warning or error")
	set.Duration(&s.DrainDelay, "drain-delay", 500*time.Millisecond, 0, maxDrainDelay, "time between failing readiness and refusing new work")
	set.Duration(&s.DrainTimeout, "drain-timeout", 30*time.Second, time.Millisecond, maxDrainTimeout, "maximum time for finishing work in progress")
	set.Int(&s.Seed, "seed", 0, 0, maxSeed, "seed of the random number generators; 0 takes one from the clock")
}

// Process is a running process.
type Process struct {
	Name     string
	Settings Settings
	// Incarnation identifies this run of the process; each start has a new one.
	Incarnation string
	Clock       clockwork.Clock
	Log         *logrus.Logger
	Events      *event.Recorder
	Metrics     *prometheus.Registry
	// Mux holds the HTTP handlers of the process.
	Mux *http.ServeMux
	// Seed seeds the random number generators of this process; it is logged.
	Seed uint64

	listener net.Listener
	draining atomic.Bool
	onReady  func() error
	onDrain  func(context.Context) error
}

// Version returns the version of the program from its build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}

// Start parses the settings, listens and returns the process. When p is nil, the program
// must exit with code: ExitOK after -help or -version, else a failure whose reason is
// printed.
func Start(name, purpose string, args []string, shared *Settings, set *settings.Set) (p *Process, code int) {
	shared.Declare(set)
	err := set.Parse(args)
	switch {
	case errors.Is(err, settings.ErrHelp):
		return nil, ExitOK
	case errors.Is(err, settings.ErrVersion):
		fmt.Println(name, Version())
		return nil, ExitOK
	case err != nil:
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return nil, ExitSettings
	}
	p, err = newProcess(name, *shared, os.Stderr)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return nil, ExitSettings
	}
	return p, ExitOK
}

func newProcess(name string, s Settings, logOutput io.Writer) (*Process, error) {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, settings.Invalid{Key: "log-level", Value: s.LogLevel, Expected: "debug, info, warning or error"}
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "setting listen is %q, expected an available address", s.Listen)
	}
	log := logrus.New()
	log.SetOutput(logOutput)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	clock := clockwork.NewRealClock()
	seed := uint64(s.Seed)
	if seed == 0 {
		seed = uint64(clock.Now().UnixNano())
	}
	processName := s.Host + "/" + name
	p := &Process{
		Name:        name,
		Settings:    s,
		Incarnation: fmt.Sprintf("%s-%x", s.Host, clock.Now().UnixNano()),
		Clock:       clock,
		Log:         log,
		Events:      event.NewRecorder(processName, clock, log, event.DefaultRingEvents),
		Metrics:     prometheus.NewRegistry(),
		Mux:         http.NewServeMux(),
		Seed:        seed,
		listener:    listener,
		onReady:     func() error { return nil },
		onDrain:     func(context.Context) error { return nil },
	}
	p.Metrics.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	p.handleCommon()
	return p, nil
}

// Address returns the address at which other hosts reach the process.
func (p *Process) Address() string {
	if p.Settings.Advertise != "" {
		return p.Settings.Advertise
	}
	return p.listener.Addr().String()
}

// Agent returns the User-Agent header of this process's calls, in the form "host/program".
func (p *Process) Agent() string { return p.Settings.Host + "/" + p.Name }

// Draining reports whether a graceful shutdown has begun.
func (p *Process) Draining() bool { return p.draining.Load() }

// OnReady sets the readiness check that /readyz calls; it returns nil when ready.
func (p *Process) OnReady(check func() error) { p.onReady = check }

// OnDrain sets the function that finishes work in progress during a graceful shutdown.
// It is called after readiness has failed for DrainDelay, while the server still accepts
// requests.
func (p *Process) OnDrain(drain func(context.Context) error) { p.onDrain = drain }

// Subject returns the event subject that names this process's host.
func (p *Process) Subject() event.Subject { return event.Subject{Host: p.Settings.Host} }

// HostID returns the name of this entry host.
func (p *Process) HostID() model.HostID { return model.HostID(p.Settings.Host) }

func (p *Process) handleCommon() {
	p.Mux.Handle("GET /metrics", promhttp.HandlerFor(p.Metrics, promhttp.HandlerOpts{}))
	p.Mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	p.Mux.HandleFunc("GET /readyz", p.serveReady)
	p.HandleInternal(timelineServer(p.Events))
}

func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if p.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if err := p.onReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// Limits of the HTTP server.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

// Serve serves until SIGTERM, SIGINT or the end of ctx, then shuts down gracefully. It
// returns the exit code of the process.
func (p *Process) Serve(ctx context.Context) int {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{
		Handler:           p.Mux,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(p.listener) }()
	p.Events.Record(event.ProcessStarted, p.Subject(), fmt.Sprintf("listening on %s, seed %d", p.Address(), p.Seed))
	select {
	case err := <-serveErr:
		p.Log.WithError(err).Error("HTTP server failed")
		return ExitFailed
	case <-ctx.Done():
	}
	return p.shutdown(server)
}

func (p *Process) shutdown(server *http.Server) int {
	p.draining.Store(true)
	p.Events.Record(event.ProcessDraining, p.Subject(), "")
	p.Clock.Sleep(p.Settings.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), p.Settings.DrainTimeout)
	defer cancel()
	code := ExitOK
	if err := p.onDrain(ctx); err != nil {
		p.Log.WithError(err).Error("drain did not finish work in progress")
		code = ExitFailed
	}
	if err := server.Shutdown(ctx); err != nil {
		p.Log.WithError(err).Error("open connections not closed gracefully")
		code = ExitFailed
	}
	p.Events.Record(event.ProcessStopped, p.Subject(), "")
	return code
}
