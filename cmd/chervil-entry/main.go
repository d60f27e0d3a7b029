// Command chervil-entry serves the API for callers: requests to services, and jobs.
package main

import (
	"context"
	"log"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilrun/chervilrun/internal/entry"
	"github.com/chervilrun/chervilrun/internal/executor"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/process"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/settings"
	"github.com/chervilrun/chervilrun/internal/store/open"
	"github.com/chervilrun/chervilrun/internal/view"
)

const (
	name    = "chervil-entry"
	purpose = "serves the API for callers: requests to services, and jobs"
)

// Upper limits of the settings.
const (
	maxQueue        = 100_000
	maxConnections  = 1000
	maxOnceInterval = time.Second
)

// options are the settings that only this program has.
type options struct {
	store                   open.Settings
	adminAddress            string
	seeds                   []string
	onceInterval            time.Duration
	queueLimit              int
	executorConnections     int
	executorIdleConnections int
}

func (o *options) declare(set *settings.Set) {
	o.store.Declare(set)
	set.Address(&o.adminAddress, "admin", "127.0.0.1:7102", "`address` of this host's chervil-admin")
	set.Addresses(&o.seeds, "seeds", "`addresses` of other hosts' chervil-admin, used while this host's chervil-admin does not respond")
	set.Duration(&o.onceInterval, "once-interval", 50*time.Millisecond, time.Millisecond, maxOnceInterval, "minimum time between two writes of single-execution records")
	set.Int(&o.queueLimit, "queue-limit", 2000, 0, maxQueue, "maximum number of requests queued for one service")
	set.Int(&o.executorConnections, "executor-connections", 8, 1, maxConnections, "maximum number of connections from this host to one executor")
	set.Int(&o.executorIdleConnections, "executor-idle-connections", 5, 0, maxConnections, "maximum number of idle connections from this host to one executor; keep the sum over all hosts below what an executor accepts")
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var shared process.Settings
	var opts options
	set := settings.New(name, purpose, os.Stderr)
	opts.declare(set)
	p, code := process.Start(name, purpose, args, &shared, set)
	if p == nil {
		return code
	}
	// net/http logs unsolicited responses on idle connections to executors; log them at
	// debug level.
	log.SetOutput(p.Log.WriterLevel(logrus.DebugLevel))
	internalClient := p.InternalClient()
	source := view.NewClient(view.ClientOptions{
		Host:         p.HostID(),
		AdminAddress: opts.adminAddress,
		Seeds:        opts.seeds,
		Clock:        p.Clock,
		Events:       p.Events,
		Dial:         view.Dialer(internalClient),
	})
	server := entry.New(entry.Options{
		Host:           model.HostID(shared.Host),
		Incarnation:    p.Incarnation,
		Clock:          p.Clock,
		Seed:           p.Seed,
		Source:         source,
		Executors:      executor.NewHTTPClient(opts.executorConnections, opts.executorIdleConnections),
		Store:          opts.store.Open(p),
		Events:         p.Events,
		Metrics:        p.Metrics,
		InternalClient: internalClient,
		MaxConnections: opts.executorConnections,
		Draining:       p.Draining,
		QueueLimit:     opts.queueLimit,
		OnceInterval:   opts.onceInterval,
	})
	server.Register(p.Mux)
	p.HandleInternal(rpc.NewSlotsServer(server.Slots()))
	p.OnReady(server.Ready)
	p.OnDrain(server.Drain)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go source.Run(ctx)
	go server.Run(ctx)
	return p.Serve(ctx)
}
