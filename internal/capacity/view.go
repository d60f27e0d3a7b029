package capacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chervilrun/chervilrun/internal/auth"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/hostlist"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/standin/pool"
)

// Size of the planned deployment.
const (
	plannedZones         = 9
	plannedWorkers       = 1_500
	plannedOrganisations = 80
	plannedExecutors     = 200
	plannedHosts         = 9
)

// configurationAndView measures the cost of applying a configuration of the planned size
// in each process, and the size of the view and of the lists of hosts on the wire.
func configurationAndView() []Figure {
	cluster := plannedCluster()
	text := config.Canonical(cluster)
	const rounds = 20
	parse := meanTime(rounds, func(int) {
		_, problems := config.Parse(text)
		if len(problems) > 0 {
			panic("capacity: " + problems[0].String())
		}
	})
	workers := plannedPool()
	pack := meanTime(rounds, func(int) {
		if _, unmet := guarantee.Pack(workers, cluster.Zones, cluster.Organisations); len(unmet) > 0 {
			panic("capacity: the planned guarantees can't be met: " + fmt.Sprint(unmet[0]))
		}
	})
	conditions := fmt.Sprintf("%d organisations, %d workers, %d zones", plannedOrganisations, plannedWorkers, plannedZones)
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return []Figure{
		{"admin", "configuration_text", "", float64(len(text)), "B", conditions},
		{"admin", "configuration_text", "organisation", float64(len(text)) / plannedOrganisations, "B", conditions},
		{"admin", "time_to_parse", "configuration", milliseconds(parse), "ms", conditions},
		{"scheduler", "time_to_assign_guarantees", "configuration", milliseconds(pack), "ms", conditions},
		{"admin", "view_with_hosts", "", float64(viewBytes(text, workers, plannedExecutors)), "B", conditions},
		{"admin", "view_without_hosts", "", float64(viewBytes(text, nil, 0)), "B", conditions},
		{"admin", "list_of_hosts", "", float64(len(encode(hostlist.Hosts{Workers: workers}))), "B", conditions},
		{"admin", "view", "worker", float64(viewBytes(nil, workers, 0)) / plannedWorkers, "B", conditions},
	}
}

// plannedCluster returns a configuration of the planned size, with guarantees of several
// shapes that together cover half of the pool.
func plannedCluster() *config.Cluster {
	cluster := &config.Cluster{
		Version:   1,
		Operators: []config.Operator{{Name: "operator", TokenSHA256: auth.Hash("operator")}},
	}
	for i := range plannedZones {
		cluster.Zones = append(cluster.Zones, model.AvailabilityZone{
			ID:     zoneID(i),
			Region: model.RegionID(fmt.Sprintf("region%d", i/3)),
		})
	}
	perTask := model.Resources{Accelerators: 1, MilliCPU: 4_000, MemoryMB: 8 << 10}
	for i := range plannedOrganisations {
		name := fmt.Sprintf("org%02d", i)
		cluster.Organisations = append(cluster.Organisations, model.Organisation{
			ID:          model.OrganisationID(name),
			Weight:      1 + i%4,
			TokenSHA256: []string{auth.Hash(name)},
			Guarantees: []model.Guarantee{
				{Name: "large", Count: 1, Shape: model.Shape{Tasks: 32, PerTask: perTask, Adjacency: model.AdjacencyRack}},
				{Name: "medium", Count: 3, Shape: model.Shape{Tasks: 8, PerTask: perTask, Adjacency: model.AdjacencyWorker}},
				{Name: "small", Count: 8, Shape: model.Shape{Tasks: 2, PerTask: perTask, Adjacency: model.AdjacencyWorker}},
			},
		})
		cluster.Services = append(cluster.Services, model.Service{
			ID:           model.ServiceID(name + "-service"),
			Organisation: model.OrganisationID(name),
			Repeatable:   true,
			TimeoutMS:    10_000,
			MaxBodyBytes: 1 << 20,
		})
	}
	return cluster
}

func zoneID(i int) model.AvailabilityZoneID {
	return model.AvailabilityZoneID(fmt.Sprintf("zone%d", i+1))
}

func plannedPool() []model.Worker {
	topology := pool.Topology{
		Workers:        plannedWorkers,
		WorkersPerRack: 8,
		Capacity:       model.Resources{Accelerators: 8, MilliCPU: 64_000, MemoryMB: 128 << 10},
	}
	for i := range plannedZones {
		topology.Zones = append(topology.Zones, zoneID(i))
	}
	workers := topology.Generate()
	for i := range workers {
		workers[i].Endpoint = fmt.Sprintf("10.0.%d.%d:7200", i/250, i%250)
	}
	return workers
}

// viewBytes returns the size on the wire of a view with the given contents.
func viewBytes(text []byte, workers []model.Worker, executors int) int {
	message := &rpc.View{Serial: 1, ConfigVersion: 1, ConfigToml: text}
	for _, w := range workers {
		message.Workers = append(message.Workers, &rpc.Worker{
			Id:           string(w.ID),
			Zone:         string(w.Zone),
			Rack:         string(w.Rack),
			Accelerators: int32(w.Capacity.Accelerators),
			MilliCpu:     w.Capacity.MilliCPU,
			MemoryMb:     w.Capacity.MemoryMB,
			Endpoint:     w.Endpoint,
			State:        string(w.State),
		})
	}
	for i := range executors {
		message.Executors = append(message.Executors, &rpc.Executor{
			Id:          fmt.Sprintf("service-%03d", i),
			Service:     "service",
			Zone:        string(zoneID(i % plannedZones)),
			Endpoint:    fmt.Sprintf("10.1.0.%d:7300", i),
			State:       string(model.HostLive),
			Slots:       8,
			Connections: 60,
		})
	}
	for i := range plannedHosts {
		message.Members = append(message.Members, &rpc.Member{
			Host:             fmt.Sprintf("entry-host-%d", i),
			Zone:             string(zoneID(i)),
			EntryAddress:     "10.2.0.1:7100",
			SchedulerAddress: "10.2.0.1:7101",
			AdminAddress:     "10.2.0.1:7102",
			Incarnation:      "entry-host-1-18edf3987ded58db",
		})
	}
	return proto.Size(message)
}
