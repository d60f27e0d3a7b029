package guarantee

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
)

func testPool(zones, racks, perRack int) ([]model.Worker, []model.AvailabilityZone) {
	var workers []model.Worker
	var list []model.AvailabilityZone
	for z := range zones {
		zone := model.AvailabilityZoneID(fmt.Sprintf("z%d", z))
		list = append(list, model.AvailabilityZone{ID: zone})
		for i := range racks * perRack {
			workers = append(workers, model.Worker{
				ID:       model.WorkerID(fmt.Sprintf("%s-w%d", zone, i)),
				Zone:     zone,
				Rack:     model.RackID(fmt.Sprintf("r%d", i/perRack)),
				Capacity: model.Resources{Accelerators: 8, MilliCPU: 64000, MemoryMB: 128 << 10},
			})
		}
	}
	return workers, list
}

// testGuarantee returns a guarantee named after its shape.
func testGuarantee(tasks, accelerators, count int, adjacency model.Adjacency) model.Guarantee {
	return model.Guarantee{
		Name:  fmt.Sprintf("%dx%d-%s", tasks, accelerators, adjacency),
		Shape: model.Shape{Tasks: tasks, PerTask: model.Resources{Accelerators: accelerators, MilliCPU: 1000}, Adjacency: adjacency},
		Count: count,
	}
}

// countAssigned returns the number of shapes assigned over all zones.
func countAssigned(a Assignment) int {
	sum := 0
	for _, orgs := range a {
		for _, list := range orgs {
			for _, g := range list {
				sum += g.Count
			}
		}
	}
	return sum
}

func TestPack(t *testing.T) {
	inZone := testGuarantee(8, 1, 1, model.AdjacencyWorker)
	inZone.Zones = []model.AvailabilityZoneID{"z1"}
	memory := testGuarantee(4, 1, 1, model.AdjacencyWorker)
	memory.Shape.PerTask.MemoryMB = 40 << 10
	cases := []struct {
		name       string
		guarantees []model.Guarantee
		placed     int
		missing    int
	}{
		{"the whole pool", []model.Guarantee{testGuarantee(16, 1, 4, model.AdjacencyRack)}, 4, 0},
		{"one too many", []model.Guarantee{testGuarantee(16, 1, 5, model.AdjacencyRack)}, 4, 1},
		{"count fits, adjacency does not", []model.Guarantee{testGuarantee(5, 1, 9, model.AdjacencyWorker)}, 8, 1},
		{"five and three share workers", []model.Guarantee{testGuarantee(5, 1, 8, model.AdjacencyWorker), testGuarantee(3, 1, 8, model.AdjacencyWorker)}, 16, 0},
		{"only in one zone", []model.Guarantee{inZone}, 1, 0},
		{"memory is short", []model.Guarantee{memory}, 0, 1},
		{"zone wide", []model.Guarantee{testGuarantee(4, 8, 2, model.AdjacencyZone)}, 2, 0},
		{"three, three, two fill a worker", []model.Guarantee{testGuarantee(3, 1, 16, model.AdjacencyWorker), testGuarantee(2, 1, 8, model.AdjacencyWorker)}, 24, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			workers, zones := testPool(2, 2, 2)
			orgs := []model.Organisation{{ID: "o", Guarantees: c.guarantees}}
			assignment, unmet := Pack(workers, zones, orgs)
			require.Equal(t, c.placed, countAssigned(assignment))
			missing := 0
			for _, u := range unmet {
				missing += u.Missing
			}
			require.Equal(t, c.missing, missing)
		})
	}
}

func TestPackNamesTheShapesThatClash(t *testing.T) {
	workers, zones := testPool(1, 1, 1)
	orgs := []model.Organisation{
		{ID: "a", Guarantees: []model.Guarantee{testGuarantee(8, 1, 1, model.AdjacencyWorker)}},
		{ID: "b", Guarantees: []model.Guarantee{testGuarantee(4, 1, 1, model.AdjacencyWorker)}},
	}
	_, unmet := Pack(workers, zones, orgs)
	require.Equal(t, []Unmet{{Organisation: "b", Guarantee: "4x1-worker", Missing: 1, Clashes: []string{"a/8x1-worker"}}}, unmet)
}

func TestPackMovesOnlyWhatLayInTheZoneThatLeaves(t *testing.T) {
	workers, zones := testPool(3, 4, 4)
	orgs := []model.Organisation{{ID: "a", Guarantees: []model.Guarantee{testGuarantee(8, 1, 20, model.AdjacencyWorker)}}}
	before, _ := Pack(workers, zones, orgs)
	zones[0].OutOfService = true
	after, unmet := Pack(workers, zones, orgs)
	require.Empty(t, unmet)
	require.Empty(t, after["z0"])
	require.Equal(t, 20, countAssigned(after))
	for _, zone := range []model.AvailabilityZoneID{"z1", "z2"} {
		require.GreaterOrEqual(t, after[zone]["a"][0].Count, before[zone]["a"][0].Count)
	}
}
