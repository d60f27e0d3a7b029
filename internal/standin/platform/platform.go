// Package platform combines the stand-ins of the platform in one process: the worker
// pool, the executors of its services and the list of hosts.
//
// Workers are served under /w/ID at the address of the process; every executor has its
// own port. The list of hosts is served under /hosts, the fault injection of an executor
// under /executors/ID.
package platform

import (
	"fmt"
	"net"
	"net/http"
	"slices"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/hostlist"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/standin/executor"
	hosts "github.com/chervilrun/chervilrun/internal/standin/hostlist"
	"github.com/chervilrun/chervilrun/internal/standin/pool"
)

// Executors describes the executors of a deployment.
type Executors struct {
	Services []model.ServiceID
	// PerService is the number of executors of each service.
	PerService  int
	Slots       int
	Connections int
}

// HostsPrefix is the path prefix of the list of hosts.
const HostsPrefix = "/hosts"

// Platform is the set of stand-ins.
type Platform struct {
	clock clockwork.Clock
	pool  *pool.Pool
	hosts *hosts.Server
	mux   *http.ServeMux
}

// New starts a platform whose workers are served at address. It starts the executors,
// which listen on loopback.
func New(clock clockwork.Clock, address string, topology pool.Topology, executors Executors) (*Platform, error) {
	p := &Platform{clock: clock, pool: pool.New(clock), mux: http.NewServeMux()}
	workers := topology.Generate()
	for i, worker := range workers {
		workers[i].Endpoint = pool.EndpointAt(address, worker.ID)
		p.pool.Add(workers[i])
	}
	started, err := p.startExecutors(topology.Zones, executors)
	if err != nil {
		return nil, err
	}
	p.hosts = hosts.NewServer(clock, hostlist.Hosts{Workers: workers, Executors: started})
	p.mux.Handle(HostsPrefix+"/", http.StripPrefix(HostsPrefix, p.hosts))
	p.mux.Handle("/", p.pool.Handler())
	return p, nil
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) startExecutors(zones []model.AvailabilityZoneID, executors Executors) ([]model.Executor, error) {
	var started []model.Executor
	for _, service := range executors.Services {
		for i := range executors.PerService {
			info := model.Executor{
				ID:          model.ExecutorID(fmt.Sprintf("%s-%02d", service, i)),
				Service:     service,
				Zone:        zones[i%len(zones)],
				State:       model.HostLive,
				Slots:       executors.Slots,
				Connections: executors.Connections,
			}
			endpoint, err := p.startExecutor(info)
			if err != nil {
				return nil, err
			}
			info.Endpoint = endpoint
			started = append(started, info)
		}
	}
	return started, nil
}

func (p *Platform) startExecutor(info model.Executor) (endpoint string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "platform: listen for an executor")
	}
	server := executor.NewServer(executor.Options{Slots: info.Slots, Clock: p.clock, CountRuns: true})
	prefix := "/executors/" + string(info.ID)
	p.mux.Handle(prefix+"/", http.StripPrefix(prefix, server))
	go func() {
		// The listener stays open until the process ends.
		_ = http.Serve(listener, server)
	}()
	return listener.Addr().String(), nil
}

// Services returns the services for requests that the example configurations of a
// deployment declare.
func Services(deployment string) []model.ServiceID {
	return slices.Clone(map[string][]model.ServiceID{
		"chikushi": {"deposit-ledger", "payout"},
		"vesofeny": {"gravir", "engrave"},
	}[deployment])
}
