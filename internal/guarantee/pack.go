package guarantee

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
)

// Pack assigns each guaranteed shape to a zone where it can be held together with
// all others assigned there. Zones that are out of service and workers that are
// leaving get none. It is a pure function and deterministic.
//
// Packing is a heuristic: it tries several orders of the shapes and of the zones
// (first rendezvous hashing, which moves few shapes when a zone goes out of service)
// and keeps the first result that places all shapes, or else the one with the fewest
// missing accelerators. If no order places all shapes and there are at most
// maxBacktrackInstances, a backtracking search over workers and racks follows; for
// shapes within a worker it is exhaustive up to its step limit.
func Pack(workers []model.Worker, zones []model.AvailabilityZone, organisations []model.Organisation) (Assignment, []Unmet) {
	p := newPacker(workers, zones)
	instances := listInstances(organisations)
	best := p.pack(instances)
	return assignment(instances, best), p.unmet(instances, best)
}

// PlaceInZone packs instances into the available resources of one zone, as Pack does.
// It returns a placement for each instance, in order; nil for one that doesn't fit.
func PlaceInZone(space *feasible.Space, instances []Instance) []feasible.Candidate {
	const zone = model.AvailabilityZoneID("zone")
	p := &packer{
		zones:    []model.AvailabilityZoneID{zone},
		capacity: map[model.AvailabilityZoneID]*feasible.Space{zone: space},
	}
	list := make([]instance, len(instances))
	for i, inst := range instances {
		g := model.Guarantee{Name: inst.Name, Shape: inst.Shape, Count: 1}
		list[i] = instance{organisation: inst.Organisation, guarantee: g, index: i}
	}
	return p.pack(list).placements
}

// Instance is one of a guarantee's shapes, to be placed within a zone.
type Instance struct {
	Organisation model.OrganisationID
	Name         string
	Shape        model.Shape
}

func (p *packer) pack(instances []instance) result {
	best := p.tryOrders(instances)
	if best.missing > 0 && len(instances) <= maxBacktrackInstances && !p.overcommitted(instances) {
		if exact, ok := p.backtrack(instances); ok {
			return exact
		}
	}
	return best
}

// maxBacktrackInstances is the largest number of instances for which the backtracking
// search is tried.
const maxBacktrackInstances = 24

// instance is one of a guarantee's shapes, to be placed in any allowed zone.
type instance struct {
	organisation model.OrganisationID
	guarantee    model.Guarantee
	index        int
}

func (inst instance) name() string { return string(inst.organisation) + "/" + inst.guarantee.Name }

func (inst instance) allows(zone model.AvailabilityZoneID) bool {
	return len(inst.guarantee.Zones) == 0 || slices.Contains(inst.guarantee.Zones, zone)
}

func listInstances(organisations []model.Organisation) []instance {
	var instances []instance
	for _, organisation := range organisations {
		for _, g := range organisation.Guarantees {
			for i := range g.Count {
				instances = append(instances, instance{organisation: organisation.ID, guarantee: g, index: i})
			}
		}
	}
	slices.SortStableFunc(instances, func(a, b instance) int {
		return cmp.Or(
			cmp.Compare(a.organisation, b.organisation),
			cmp.Compare(a.guarantee.Name, b.guarantee.Name),
			cmp.Compare(a.index, b.index))
	})
	return instances
}

// result holds the zone and placement of each instance, by index; the zone is empty
// for an instance that was not placed.
type result struct {
	zones      []model.AvailabilityZoneID
	placements []feasible.Candidate
	missing    int // accelerators of the instances not placed, plus one for each instance
}

type packer struct {
	zones    []model.AvailabilityZoneID
	capacity map[model.AvailabilityZoneID]*feasible.Space
	search   feasible.Search
}

func newPacker(workers []model.Worker, zones []model.AvailabilityZone) *packer {
	p := &packer{capacity: make(map[model.AvailabilityZoneID]*feasible.Space)}
	for _, zone := range zones {
		if zone.OutOfService {
			continue
		}
		p.zones = append(p.zones, zone.ID)
		p.capacity[zone.ID] = zoneSpace(workers, zone.ID)
	}
	slices.Sort(p.zones)
	return p
}

// zoneSpace lists the capacity of the workers of a zone that are not leaving, by rack and
// worker ID.
func zoneSpace(workers []model.Worker, zone model.AvailabilityZoneID) *feasible.Space {
	var list []model.Worker
	for _, worker := range workers {
		if worker.Zone == zone && worker.State != model.HostLeaving {
			list = append(list, worker)
		}
	}
	slices.SortFunc(list, func(a, b model.Worker) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	s := &feasible.Space{}
	for i, worker := range list {
		if i == 0 || worker.Rack != list[i-1].Rack {
			s.Racks = append(s.Racks, feasible.Range{From: i, To: i})
		}
		s.Available = append(s.Available, worker.Capacity)
		s.Racks[len(s.Racks)-1].To = i + 1
	}
	return s
}

// copyCapacity returns a copy of the zones' capacity for one packing attempt.
func (p *packer) copyCapacity() map[model.AvailabilityZoneID]*feasible.Space {
	copies := make(map[model.AvailabilityZoneID]*feasible.Space, len(p.capacity))
	for zone, s := range p.capacity {
		copies[zone] = &feasible.Space{Available: slices.Clone(s.Available), Racks: s.Racks}
	}
	return copies
}

// rendezvousOrder orders the zones for an instance by rendezvous hashing, which spreads
// instances over the zones and keeps them in place when another zone goes out of service.
func (p *packer) rendezvousOrder(inst instance) []model.AvailabilityZoneID {
	zones := slices.Clone(p.zones)
	hash := func(zone model.AvailabilityZoneID) uint64 {
		return xxhash.Sum64String(inst.name() + "\x00" + string(rune(inst.index)) + "\x00" + string(zone))
	}
	slices.SortFunc(zones, func(a, b model.AvailabilityZoneID) int {
		return cmp.Or(cmp.Compare(hash(b), hash(a)), cmp.Compare(a, b))
	})
	return zones
}

func assignment(instances []instance, best result) Assignment {
	a := make(Assignment)
	for i, inst := range instances {
		zone := best.zones[i]
		if zone != "" {
			a.add(zone, inst)
		}
	}
	return a
}

// add counts one more instance of its guarantee in the zone.
func (a Assignment) add(zone model.AvailabilityZoneID, inst instance) {
	if a[zone] == nil {
		a[zone] = make(map[model.OrganisationID][]model.Guarantee)
	}
	list := a[zone][inst.organisation]
	for i := range list {
		if list[i].Name == inst.guarantee.Name {
			list[i].Count++
			return
		}
	}
	first := inst.guarantee
	first.Count = 1
	a[zone][inst.organisation] = append(list, first)
}

// unmet lists the instances that were not placed, one entry for each guarantee.
func (p *packer) unmet(instances []instance, best result) []Unmet {
	var list []Unmet
	for i, inst := range instances {
		if best.zones[i] != "" {
			continue
		}
		last := len(list) - 1
		if last >= 0 && list[last].Organisation == inst.organisation && list[last].Guarantee == inst.guarantee.Name {
			list[last].Missing++
			continue
		}
		list = append(list, Unmet{
			Organisation: inst.organisation,
			Guarantee:    inst.guarantee.Name,
			Missing:      1,
			Clashes:      clashes(instances, best, inst),
		})
	}
	return list
}

// clashes names the other guarantees that are placed in zones that inst may use.
func clashes(instances []instance, best result, inst instance) []string {
	names := make(map[string]bool)
	for i, other := range instances {
		zone := best.zones[i]
		if zone != "" && inst.allows(zone) && other.name() != inst.name() {
			names[other.name()] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}
