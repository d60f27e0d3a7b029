package guarantee

import (
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
)

// maxBacktrackSteps limits the number of placements that the backtracking search tries.
const maxBacktrackSteps = 10_000

// backtracker searches for a complete packing, depth first.
type backtracker struct {
	*packer
	instances []instance
	order     []int
	free      map[model.AvailabilityZoneID]*feasible.Space
	found     result
	steps     int
}

// backtrack returns a result that places every instance, if it finds one.
func (p *packer) backtrack(instances []instance) (result, bool) {
	b := &backtracker{
		packer:    p,
		instances: instances,
		order:     byAccelerators(instances),
		free:      p.copyCapacity(),
		found: result{
			zones:      make([]model.AvailabilityZoneID, len(instances)),
			placements: make([]feasible.Candidate, len(instances)),
		},
	}
	if !b.place(0) {
		return result{}, false
	}
	return b.found, true
}

// place places the instances from position depth of the order on and reports whether all fit.
func (b *backtracker) place(depth int) bool {
	if depth == len(b.order) {
		return true
	}
	i := b.order[depth]
	inst := b.instances[i]
	for _, zone := range b.rendezvousOrder(inst) {
		if inst.allows(zone) && b.placeIn(depth, zone, inst.guarantee.Shape) {
			b.found.zones[i] = zone
			return true
		}
	}
	return false
}

func (b *backtracker) placeIn(depth int, zone model.AvailabilityZoneID, shape model.Shape) bool {
	s := b.free[zone]
	for _, c := range distinctCandidates(s, shape) {
		if b.steps++; b.steps > maxBacktrackSteps {
			return false
		}
		s.Allocate(c, shape.PerTask)
		b.found.placements[b.order[depth]] = c
		if b.place(depth + 1) {
			return true
		}
		s.Release(c, shape.PerTask)
	}
	return false
}

// distinctCandidates lists the candidates. For a shape within a worker it leaves out
// workers with the same available resources as an earlier one.
func distinctCandidates(s *feasible.Space, shape model.Shape) []feasible.Candidate {
	var list []feasible.Candidate
	seen := make(map[model.Resources]bool)
	var search feasible.Search
	search.Each(s, shape, leastAvailableFirst{s}, func(c feasible.Candidate) bool {
		available := s.Available[c[0].Site]
		if len(c) == 1 && seen[available] && shape.Adjacency == model.AdjacencyWorker {
			return true
		}
		seen[available] = true
		list = append(list, slices.Clone(c))
		return true
	})
	return list
}

// overcommitted reports whether instances restricted to some zones need more in total
// than these zones have, so that no packing can hold them all.
func (p *packer) overcommitted(instances []instance) bool {
	for i, inst := range instances {
		if i > 0 && slices.Equal(inst.guarantee.Zones, instances[i-1].guarantee.Zones) {
			continue
		}
		if !p.demand(instances, inst).Fits(p.allowedCapacity(inst)) {
			return true
		}
	}
	return false
}

// demand sums up the instances whose allowed zones are all allowed for inst.
func (p *packer) demand(instances []instance, inst instance) model.Resources {
	var sum model.Resources
	for _, other := range instances {
		within := func(zone model.AvailabilityZoneID) bool { return !other.allows(zone) || inst.allows(zone) }
		if !slices.ContainsFunc(p.zones, func(zone model.AvailabilityZoneID) bool { return !within(zone) }) {
			sum = sum.Add(other.guarantee.Shape.Total())
		}
	}
	return sum
}

// allowedCapacity sums up the capacity of the zones that inst may use.
func (p *packer) allowedCapacity(inst instance) model.Resources {
	var sum model.Resources
	for _, zone := range p.zones {
		if inst.allows(zone) {
			for _, capacity := range p.capacity[zone].Available {
				sum = sum.Add(capacity)
			}
		}
	}
	return sum
}
