// Command chervil-scheduler owns availability zones: it places gangs on their workers,
// renews the workers' leases and preempts work to restore guarantees.
package main

import (
	"context"
	"os"
	"time"

	"github.com/chervilrun/chervilrun/internal/membership"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/ownership"
	"github.com/chervilrun/chervilrun/internal/process"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/schedulerd"
	"github.com/chervilrun/chervilrun/internal/settings"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/open"
	"github.com/chervilrun/chervilrun/internal/view"
	workerhttp "github.com/chervilrun/chervilrun/internal/worker/http"
	"github.com/chervilrun/chervilrun/internal/zone"
)

const (
	name    = "chervil-scheduler"
	purpose = "owns availability zones and places gangs on their workers"

	minLeaseTTL = time.Second
	maxLeaseTTL = time.Minute
)

// options are the settings that only this program has.
type options struct {
	store        open.Settings
	adminAddress string
	entryAddress string
	seeds        []string
	leaseTTL     time.Duration
}

func (o *options) declare(set *settings.Set) {
	o.store.Declare(set)
	set.Address(&o.adminAddress, "admin", "127.0.0.1:7102", "`address` at which other hosts can reach this host's chervil-admin")
	set.Address(&o.entryAddress, "entry", "127.0.0.1:7100", "`address` at which other hosts can reach this host's chervil-entry")
	set.Addresses(&o.seeds, "seeds", "`addresses` of other hosts' chervil-admin, used while this host's chervil-admin does not respond")
	set.Duration(&o.leaseTTL, "lease-ttl", membership.DefaultTTL, minLeaseTTL, maxLeaseTTL, "time to live of this host's membership lease; a whole number of seconds")
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var opts options
	set := settings.New(name, purpose, os.Stderr)
	opts.declare(set)
	p, code := process.Start(name, purpose, args, &process.Settings{}, set)
	if p == nil {
		return code
	}
	views := opts.views(p)
	kvStore := opts.store.Open(p)
	service := newService(p, views, kvStore)
	elector := opts.elector(p, views, kvStore, service)
	service.SetOwnershipCheck(elector.MayAct)
	p.HandleInternal(rpc.NewSchedulerServer(service))
	p.OnReady(service.Ready)
	p.OnDrain(func(ctx context.Context) error {
		service.Drain()
		return elector.Drain(ctx)
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go views.Run(ctx)
	go elector.Run(ctx)
	return p.Serve(ctx)
}

func (o *options) views(p *process.Process) *view.Client {
	return view.NewClient(view.ClientOptions{
		Host:         p.HostID(),
		AdminAddress: o.adminAddress,
		Seeds:        o.seeds,
		Clock:        p.Clock,
		Events:       p.Events,
		Dial:         view.Dialer(p.InternalClient()),
	})
}

func newService(p *process.Process, views view.Source, kvStore store.Store) *schedulerd.Service {
	return schedulerd.New(schedulerd.Config{
		Clock:   p.Clock,
		Events:  p.Events,
		Metrics: zone.NewMetrics(p.Metrics),
		Workers: workerhttp.NewClient(p.Agent()),
		Store:   kvStore,
		Views:   views,
		Client:  p.InternalClient(),
		Timing:  zone.DefaultTiming(),
		Seed:    p.Seed,
	})
}

func (o *options) elector(p *process.Process, views *view.Client, kvStore store.Store, handler ownership.Handler) *ownership.Elector {
	return ownership.NewElector(ownership.Options{
		Store: kvStore,
		Views: views,
		Member: view.Member{
			Host:             p.HostID(),
			Zone:             model.AvailabilityZoneID(p.Settings.Zone),
			EntryAddress:     o.entryAddress,
			SchedulerAddress: p.Address(),
			AdminAddress:     o.adminAddress,
			Incarnation:      p.Incarnation,
		},
		Handler:  handler,
		Clock:    p.Clock,
		Events:   p.Events,
		Metrics:  p.Metrics,
		LeaseTTL: o.leaseTTL,
		Announce: views.Announce,
	})
}
