// Package holding keeps every guaranteed shape of a zone at a concrete place, so
// that the guarantees can be honoured together at any time by evicting borrowers.
// A place without gangs of its organisation may be lent out and may move.
package holding

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
)

// Allocator holds the instances of all organisations.
type Allocator struct {
	pool      *cache.Pool
	instances []*cache.GuaranteeInstance
	byOrg     map[model.OrganisationID][]*cache.GuaranteeInstance
	space     feasible.Space
	search    feasible.Search
}

// NewAllocator returns a book without instances.
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

// Unmet lists the instances that are not held on workers that can start tasks.
func (a *Allocator) Unmet() []*cache.GuaranteeInstance {
	var unmet []*cache.GuaranteeInstance
	for _, inst := range a.instances {
		if !inst.Met() {
			unmet = append(unmet, inst)
		}
	}
	return unmet
}

// Key of a unit: instances with the same key are interchangeable.
type instanceKey struct {
	organisation model.OrganisationID
	name         string
	shape        model.Shape
}

// SetGuarantees replaces the guarantees. Units that stay keep their place and gangs. The gangs
// of instances that go are handed to detach, which must detach them.
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
	for _, rest := range kept {
		for _, inst := range rest {
			DetachAndRelease(inst, detach)
		}
	}
	a.sortInstances()
}

// instancesByKey lists the present instances, those in use first.
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

func takeOrNew(kept map[instanceKey][]*cache.GuaranteeInstance, key instanceKey) *cache.GuaranteeInstance {
	if list := kept[key]; len(list) > 0 {
		kept[key] = list[1:]
		return list[0]
	}
	return &cache.GuaranteeInstance{Organisation: key.organisation, Name: key.name, Shape: key.shape}
}

// DetachAndRelease gives up a unit's place, after its gangs were detached.
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

// weightedSize weighs a shape: an accelerator counts as much as 16 cores or 64 GB.
func weightedSize(shape model.Shape) float64 {
	t := shape.Total()
	return float64(t.Accelerators) + float64(t.MilliCPU)/16000 + float64(t.MemoryMB)/65536
}
