package cache

import (
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
)

// GuaranteeInstance is one guaranteed shape of an organisation. It holds room on workers whether
// or not gangs of the organisation use it.
type GuaranteeInstance struct {
	Organisation model.OrganisationID
	Name         string
	Shape        model.Shape
	// Parts is where the shape is held; nil while there is no place for it.
	Parts []Part
	// Gangs are the organisation's gangs within the shape.
	Gangs []*Gang
}

// Vacant reports whether no gang uses the shape.
func (inst *GuaranteeInstance) Vacant() bool { return len(inst.Gangs) == 0 }

// Met reports whether the shape is held on workers that can start tasks.
func (inst *GuaranteeInstance) Met() bool {
	for _, part := range inst.Parts {
		if !part.Worker.Schedulable() {
			return false
		}
	}
	return inst.Parts != nil
}

// AmountOn returns what the unit holds on a worker.
func (inst *GuaranteeInstance) AmountOn(w *Worker) model.Resources {
	for _, part := range inst.Parts {
		if part.Worker == w {
			return inst.Shape.PerTask.Times(part.Tasks)
		}
	}
	return model.Resources{}
}

// RemainingOn returns what the unit holds on a worker and no gang of it uses or claims.
func (inst *GuaranteeInstance) RemainingOn(w *Worker) model.Resources {
	left := inst.AmountOn(w)
	for _, g := range inst.Gangs {
		for _, part := range g.Parts {
			if part.Worker == w {
				left = left.Sub(g.Shape.PerTask.Times(part.Tasks))
			}
		}
	}
	return left
}

// Hold holds the shape at parts.
func (inst *GuaranteeInstance) Hold(parts []Part) {
	inst.Parts = parts
	for _, part := range parts {
		part.Worker.Guaranteed = part.Worker.Guaranteed.Add(inst.Shape.PerTask.Times(part.Tasks))
	}
}

// Release gives up the place of the shape. Its gangs must have been detached.
func (inst *GuaranteeInstance) Release() {
	for _, part := range inst.Parts {
		part.Worker.Guaranteed = part.Worker.Guaranteed.Sub(inst.Shape.PerTask.Times(part.Tasks))
	}
	inst.Parts = nil
}

// Attach records that a gang runs within the unit.
func (inst *GuaranteeInstance) Attach(g *Gang) {
	g.Guarantee = inst
	inst.Gangs = append(inst.Gangs, g)
}

// Detach undoes Attach.
func (inst *GuaranteeInstance) Detach(g *Gang) {
	i := slices.Index(inst.Gangs, g)
	if i < 0 {
		panic("cache: gang is not within its unit")
	}
	inst.Gangs = slices.Delete(inst.Gangs, i, i+1)
	g.Guarantee = nil
}

// Covers reports whether an empty unit can hold a gang of this shape at all.
func (inst *GuaranteeInstance) Covers(shape model.Shape) bool {
	return shape.Total().Fits(inst.Shape.Total()) && shape.PerTask.Accelerators <= inst.largestPart().Accelerators
}

// largestPart is the most that the unit may hold on one worker.
func (inst *GuaranteeInstance) largestPart() model.Resources {
	if inst.Parts == nil {
		return inst.Shape.Total()
	}
	var largest model.Resources
	for _, part := range inst.Parts {
		r := inst.Shape.PerTask.Times(part.Tasks)
		largest = model.Resources{
			Accelerators: max(largest.Accelerators, r.Accelerators),
			MilliCPU:     max(largest.MilliCPU, r.MilliCPU),
			MemoryMB:     max(largest.MemoryMB, r.MemoryMB),
		}
	}
	return largest
}
