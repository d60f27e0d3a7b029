package guaranteeplacement

import "github.com/chervilrun/chervilrun/internal/scheduler/cache"

// Compact moves a vacant instance to where it leaves the fewest resources unguaranteed, so
// that small vacant instances don't fragment the zone.
func (a *Allocator) Compact(inst *cache.GuaranteeInstance) {
	if !inst.Vacant() {
		return
	}
	if parts := a.findPlacement(inst); parts != nil {
		inst.Release()
		inst.Hold(parts)
	}
}

// MoveVacantOff moves vacant instances off workers whose guarantees don't fit because a
// pinned gang has just been added there. It reports whether all of them could be placed
// elsewhere; if not, nothing is changed.
func (a *Allocator) MoveVacantOff(workers []*cache.Worker) bool {
	var moved []*cache.GuaranteeInstance
	var before [][]cache.Part
	for _, w := range workers {
		for _, inst := range a.vacantOn(w) {
			if w.GuaranteesFit() {
				break
			}
			moved, before = append(moved, inst), append(before, inst.Parts)
			inst.Release()
		}
	}
	for i, inst := range moved {
		parts := a.findPlacement(inst)
		if parts == nil {
			restore(moved, before, i)
			return false
		}
		inst.Hold(parts)
	}
	return true
}

// restore returns all instances to their earlier placements. As many as placed says, from
// the first on, have new placements, which are released.
func restore(instances []*cache.GuaranteeInstance, before [][]cache.Part, placed int) {
	for _, inst := range instances[:placed] {
		inst.Release()
	}
	for i, inst := range instances {
		inst.Hold(before[i])
	}
}

func (a *Allocator) vacantOn(w *cache.Worker) []*cache.GuaranteeInstance {
	var list []*cache.GuaranteeInstance
	for _, inst := range a.instances {
		if inst.Vacant() && !inst.AmountOn(w).IsZero() {
			list = append(list, inst)
		}
	}
	return list
}
