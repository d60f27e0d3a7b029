// Package guaranteeplacement places every guarantee instance of a zone on concrete workers,
// so that all guarantees can be met together at any time by evicting borrowers. The
// resources of a vacant instance may be lent out, and the instance may be moved.
package guaranteeplacement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
)

// Allocator places the guarantee instances of all organisations.
type Allocator struct {
	pool      *cache.Pool
	instances []*cache.GuaranteeInstance
	byOrg     map[model.OrganisationID][]*cache.GuaranteeInstance
	space     feasible.Space
	search    feasible.Search
}

// NewAllocator returns an allocator without instances.
func NewAllocator(pool *cache.Pool) *Allocator {
	return &Allocator{pool: pool, byOrg: make(map[model.OrganisationID][]*cache.GuaranteeInstance)}
}

// Instances returns all instances, in a fixed order.
func (a *Allocator) Instances() []*cache.GuaranteeInstance { return a.instances }

// ForOrganisation returns the instances of an organisation, the smallest first.
func (a *Allocator) ForOrganisation(organisation model.OrganisationID) []*cache.GuaranteeInstance {
	return a.byOrg[organisation]
}

// CountShapes counts the instances of each shape.
func (a *Allocator) CountShapes() map[model.Shape]int {
	shapes := make(map[model.Shape]int)
	for _, inst := range a.instances {
		shapes[inst.Shape]++
	}
	return shapes
}

// Unmet lists the instances that are not held on schedulable workers.
func (a *Allocator) Unmet() []*cache.GuaranteeInstance {
	var unmet []*cache.GuaranteeInstance
	for _, inst := range a.instances {
		if !inst.Met() {
			unmet = append(unmet, inst)
		}
	}
	return unmet
}

// instanceKey identifies interchangeable instances.
type instanceKey struct {
	organisation model.OrganisationID
	name         string
	shape        model.Shape
}

// SetGuarantees replaces the guarantees. Instances that remain keep their placement and
// gangs. Gangs of removed instances are passed to detach, which must detach them.
func (a *Allocator) SetGuarantees(guarantees map[model.OrganisationID][]model.Guarantee, detach func(*cache.Gang)) {
	kept := a.instancesByKey()
	a.instances = a.instances[:0:0]
	for _, organisation := range slices.Sorted(maps.Keys(guarantees)) {
		for _, g := range guarantees[organisation] {
			for range g.Count {
				a.instances = append(a.instances, takeOrNew(kept, instanceKey{organisation, g.Name, g.Shape}))
			}
		}
	}
	for _, removed := range kept {
		for _, inst := range removed {
			DetachAndRelease(inst, detach)
		}
	}
	a.sortInstances()
}

// instancesByKey lists the current instances, those with the most gangs first.
func (a *Allocator) instancesByKey() map[instanceKey][]*cache.GuaranteeInstance {
	kept := make(map[instanceKey][]*cache.GuaranteeInstance)
	for _, inst := range a.instances {
		key := instanceKey{inst.Organisation, inst.Name, inst.Shape}
		kept[key] = append(kept[key], inst)
	}
	for _, list := range kept {
		slices.SortStableFunc(list, func(x, y *cache.GuaranteeInstance) int {
			return cmp.Compare(len(y.Gangs), len(x.Gangs))
		})
	}
	return kept
}

// takeOrNew removes an instance with the key from kept, or else returns a new one.
func takeOrNew(kept map[instanceKey][]*cache.GuaranteeInstance, key instanceKey) *cache.GuaranteeInstance {
	if list := kept[key]; len(list) > 0 {
		kept[key] = list[1:]
		return list[0]
	}
	return &cache.GuaranteeInstance{Organisation: key.organisation, Name: key.name, Shape: key.shape}
}

// DetachAndRelease passes the instance's gangs to detach, which must detach them, and
// then frees the held capacity.
func DetachAndRelease(inst *cache.GuaranteeInstance, detach func(*cache.Gang)) {
	for len(inst.Gangs) > 0 {
		detach(inst.Gangs[len(inst.Gangs)-1])
	}
	inst.Release()
}

func (a *Allocator) sortInstances() {
	slices.SortStableFunc(a.instances, func(x, y *cache.GuaranteeInstance) int {
		return cmp.Compare(weightedSize(x.Shape), weightedSize(y.Shape))
	})
	a.byOrg = make(map[model.OrganisationID][]*cache.GuaranteeInstance)
	for _, inst := range a.instances {
		a.byOrg[inst.Organisation] = append(a.byOrg[inst.Organisation], inst)
	}
}

// weightedSize sums up a shape's resources: an accelerator counts as much as 16 cores
// or 64 GB.
func weightedSize(shape model.Shape) float64 {
	t := shape.Total()
	return float64(t.Accelerators) + float64(t.MilliCPU)/16000 + float64(t.MemoryMB)/65536
}
