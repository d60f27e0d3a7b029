package pool

import (
	"fmt"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Topology describes a pool of identical workers.
type Topology struct {
	Zones          []model.AvailabilityZoneID
	Workers        int
	WorkersPerRack int
	Capacity       model.Resources
}

// Topologies returns the topology of each known deployment, by name.
func Topologies() map[string]Topology {
	return map[string]Topology{
		"chikushi": {
			Zones:          []model.AvailabilityZoneID{"fukuoka", "kumamoto", "kagoshima"},
			Workers:        50,
			WorkersPerRack: 8,
			Capacity:       model.Resources{Accelerators: 8, MilliCPU: 64_000, MemoryMB: 128 << 10},
		},
		"vesofeny": {
			Zones:          []model.AvailabilityZoneID{"kecskemet", "szeged", "debrecen", "szolnok"},
			Workers:        50,
			WorkersPerRack: 6,
			Capacity:       model.Resources{Accelerators: 8, MilliCPU: 128_000, MemoryMB: 512 << 10},
		},
	}
}

// Generate returns the workers of a topology without endpoints. The workers are divided
// evenly among the zones, and the racks of each zone are filled in turn.
func (t Topology) Generate() []model.Worker {
	workers := make([]model.Worker, t.Workers)
	countInZone := map[model.AvailabilityZoneID]int{}
	for i := range workers {
		zone := t.Zones[i*len(t.Zones)/t.Workers]
		n := countInZone[zone]
		countInZone[zone]++
		workers[i] = model.Worker{
			ID:       model.WorkerID(fmt.Sprintf("%s-w%03d", zone, n)),
			Zone:     zone,
			Rack:     model.RackID(fmt.Sprintf("%s-r%02d", zone, n/t.WorkersPerRack)),
			Capacity: t.Capacity,
			State:    model.HostLive,
		}
	}
	return workers
}
