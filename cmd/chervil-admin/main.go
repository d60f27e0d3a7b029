// Command chervil-admin maintains its host's view of the cluster with the only store watch
// of the host, relays the view to the host's other processes and to peers, and serves the
// operators' API.
package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/adminserver"
	"github.com/chervilrun/chervilrun/internal/hostlist"
	"github.com/chervilrun/chervilrun/internal/process"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/settings"
	"github.com/chervilrun/chervilrun/internal/store/open"
	"github.com/chervilrun/chervilrun/internal/view"
)

const (
	purpose = "maintains this host's view of the cluster and serves the operators' API"
	// hostListTimeout limits the time of a request for the platform's list of hosts.
	hostListTimeout = 2 * time.Second
)

// adminSettings are the settings that only this program has.
type adminSettings struct {
	store        open.Settings
	api          adminserver.Settings
	hostListURLs []string
	seeds        []string
}

func (s *adminSettings) declare(set *settings.Set) {
	s.store.Declare(set)
	s.api.Declare(set)
	set.URLs(&s.hostListURLs, "host-list-url", "`URL` of the platform's list of hosts")
	set.Addresses(&s.seeds, "seeds", "`addresses` of other hosts' chervil-admin, used while no members are known")
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var opts adminSettings
	set := settings.New("chervil-admin", purpose, os.Stderr)
	opts.declare(set)
	p, code := process.Start("chervil-admin", purpose, args, &process.Settings{}, set)
	if p == nil {
		return code
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	kvStore := opts.store.Open(p)
	syncer := newSyncer(p, opts, view.SyncerOptions{Store: kvStore})
	p.HandleInternal(rpc.NewRelayServer(syncer))
	opts.api.Mount(ctx, p, syncer, syncer.TrackWrites(kvStore), syncer.Self)
	p.OnReady(func() error { return ready(syncer) })
	go syncer.Run(ctx)
	return p.Serve(ctx)
}

func newSyncer(p *process.Process, opts adminSettings, options view.SyncerOptions) *view.Syncer {
	options.Self = view.Member{Host: p.HostID(), AdminAddress: p.Address(), Incarnation: p.Incarnation}
	options.Hosts = hostlist.NewHTTPClient(opts.hostListURLs[0], hostListTimeout)
	options.Clock = p.Clock
	options.Events = p.Events
	options.Metrics = p.Metrics
	options.Dial = view.Dialer(p.InternalClient())
	options.Seeds = opts.seeds
	options.Seed = p.Seed
	return view.NewSyncer(options)
}

// ready returns an error until the view is loaded, which starting tasks requires.
func ready(syncer *view.Syncer) error {
	if !syncer.Loaded() {
		return errors.New("the members and owners of the cluster are not loaded yet")
	}
	return nil
}
