package holding

import "github.com/chervilrun/chervilrun/internal/scheduler/cache"

// Compact moves a vacant unit to where it leaves the least room beside it, so that
// the places of small vacant shapes don't lie scattered over the zone.
func (a *Allocator) Compact(inst *cache.GuaranteeInstance) {
	if !inst.Vacant() {
		return
	}
	if parts := a.findPlace(inst); parts != nil {
		inst.Release()
		inst.Hold(parts)
	}
}

// MoveVacantOff moves vacant instances off workers that are not sound, because a gang that
// can't be stopped has just been counted there. It reports whether all of them found
// another place; if not, everything is as before.
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
		parts := a.findPlace(inst)
		if parts == nil {
			restore(moved, before, i)
			return false
		}
		inst.Hold(parts)
	}
	return true
}

// restore puts all instances back; those before placed have a new place.
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
