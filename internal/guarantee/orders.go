package guarantee

import (
	"cmp"
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
)

// An order returns the indexes of the instances in the order in which to pack them.
type order func(instances []instance) []int

// orders are the packing orders that are tried, one after another.
var orders = []order{byAccelerators, byAdjacency, byMemory}

// tryOrders returns the first complete packing, or else the one with the least missing.
func (p *packer) tryOrders(instances []instance) result {
	best := result{missing: -1}
	for _, by := range orders {
		for _, fullestFirst := range []bool{false, true} {
			r := p.packInOrder(instances, by(instances), fullestFirst)
			if r.missing == 0 {
				return r
			}
			if best.missing < 0 || r.missing < best.missing {
				best = r
			}
		}
	}
	return best
}

// packInOrder places the instances one after another. With fullestFirst, an instance
// goes to the zone with the fewest free accelerators that can hold it, otherwise to
// the first such zone in rendezvous order.
func (p *packer) packInOrder(instances []instance, indexes []int, fullestFirst bool) result {
	free := p.copyCapacity()
	r := result{
		zones:      make([]model.AvailabilityZoneID, len(instances)),
		placements: make([]feasible.Candidate, len(instances)),
	}
	for _, i := range indexes {
		inst := instances[i]
		zones := p.rendezvousOrder(inst)
		if fullestFirst {
			sortByFreeAccelerators(zones, free)
		}
		r.zones[i], r.placements[i] = p.placeInstance(inst, zones, free)
		if r.zones[i] == "" {
			r.missing += 1 + inst.guarantee.Shape.Total().Accelerators
		}
	}
	return r
}

func sortByFreeAccelerators(zones []model.AvailabilityZoneID, free map[model.AvailabilityZoneID]*feasible.Space) {
	slices.SortStableFunc(zones, func(a, b model.AvailabilityZoneID) int {
		return cmp.Compare(availableAccelerators(free[a]), availableAccelerators(free[b]))
	})
}

func availableAccelerators(s *feasible.Space) int {
	sum := 0
	for _, available := range s.Available {
		sum += available.Accelerators
	}
	return sum
}

// placeInstance allocates inst in the first zone that can hold it.
func (p *packer) placeInstance(inst instance, zones []model.AvailabilityZoneID, free map[model.AvailabilityZoneID]*feasible.Space) (model.AvailabilityZoneID, feasible.Candidate) {
	shape := inst.guarantee.Shape
	for _, zone := range zones {
		if !inst.allows(zone) {
			continue
		}
		if c := bestFit(&p.search, free[zone], shape); c != nil {
			free[zone].Allocate(c, shape.PerTask)
			return zone, c
		}
	}
	return "", nil
}

// bestFit returns the candidate that leaves the fewest resources available on its
// workers, or nil.
func bestFit(search *feasible.Search, s *feasible.Space, shape model.Shape) feasible.Candidate {
	var best feasible.Candidate
	leastLeft := 0.0
	search.Each(s, shape, leastAvailableFirst{s}, func(c feasible.Candidate) bool {
		left := 0.0
		for _, part := range c {
			left += weightedSize(s.Available[part.Site].Sub(shape.PerTask.Times(part.Tasks)))
		}
		if best == nil || left < leastLeft {
			best, leastLeft = append(best[:0], c...), left
		}
		return true
	})
	return best
}

// leastAvailableFirst fills the sites with the least available resources first.
type leastAvailableFirst struct{ space *feasible.Space }

// Cost is what the site has available before the tasks are placed, times their number.
func (l leastAvailableFirst) Cost(site, tasks int) float64 {
	return weightedSize(l.space.Available[site]) * float64(tasks)
}

// PreferredTasks is every task: sites are filled completely.
func (leastAvailableFirst) PreferredTasks(_, tasks int) int { return tasks }

// weightedSize sums up resources: an accelerator counts as much as 16 cores or 64 GB.
func weightedSize(free model.Resources) float64 {
	return float64(free.Accelerators) + float64(free.MilliCPU)/16000 + float64(free.MemoryMB)/65536
}

func byAccelerators(instances []instance) []int {
	return sortedIndexes(instances, func(a, b instance) int {
		return cmp.Or(
			cmp.Compare(b.guarantee.Shape.Total().Accelerators, a.guarantee.Shape.Total().Accelerators),
			cmp.Compare(adjacencyRank(b), adjacencyRank(a)))
	})
}

func byAdjacency(instances []instance) []int {
	return sortedIndexes(instances, func(a, b instance) int {
		return cmp.Or(
			cmp.Compare(adjacencyRank(b), adjacencyRank(a)),
			cmp.Compare(weightedSize(b.guarantee.Shape.Total()), weightedSize(a.guarantee.Shape.Total())))
	})
}

func byMemory(instances []instance) []int {
	return sortedIndexes(instances, func(a, b instance) int {
		return cmp.Compare(b.guarantee.Shape.PerTask.MemoryMB, a.guarantee.Shape.PerTask.MemoryMB)
	})
}

// adjacencyRank is higher for tighter adjacencies.
func adjacencyRank(inst instance) int {
	switch inst.guarantee.Shape.Adjacency {
	case model.AdjacencyWorker:
		return 2
	case model.AdjacencyRack:
		return 1
	}
	return 0
}

func sortedIndexes(instances []instance, compare func(a, b instance) int) []int {
	indexes := make([]int, len(instances))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortStableFunc(indexes, func(a, b int) int { return compare(instances[a], instances[b]) })
	return indexes
}
