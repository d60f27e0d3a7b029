package cache

import (
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
)

// GuaranteeInstance is one of the shapes of an organisation's guarantee. It holds
// capacity on workers whether or not gangs of the organisation use it.
type GuaranteeInstance struct {
	Organisation model.OrganisationID
	Name         string
	Shape        model.Shape
	// Parts is where the shape is held; nil while it could not be placed.
	Parts []Part
	// Gangs are the organisation's gangs that run within the instance or claim it.
	Gangs []*Gang
}

// Vacant reports whether no gang of the organisation uses or claims the instance.
func (inst *GuaranteeInstance) Vacant() bool { return len(inst.Gangs) == 0 }

// Met reports whether the shape is held on schedulable workers.
func (inst *GuaranteeInstance) Met() bool {
	for _, part := range inst.Parts {
		if !part.Worker.Schedulable() {
			return false
		}
	}
	return inst.Parts != nil
}

// AmountOn returns what the instance holds on a worker.
func (inst *GuaranteeInstance) AmountOn(w *Worker) model.Resources {
	for _, part := range inst.Parts {
		if part.Worker == w {
			return inst.Shape.PerTask.Times(part.Tasks)
		}
	}
	return model.Resources{}
}

// RemainingOn returns what the instance holds on a worker minus what its gangs use or
// claim there.
func (inst *GuaranteeInstance) RemainingOn(w *Worker) model.Resources {
	remaining := inst.AmountOn(w)
	for _, g := range inst.Gangs {
		for _, part := range g.Parts {
			if part.Worker == w {
				remaining = remaining.Sub(g.Shape.PerTask.Times(part.Tasks))
			}
		}
	}
	return remaining
}

// Hold places the instance at parts and counts its resources as guaranteed there.
func (inst *GuaranteeInstance) Hold(parts []Part) {
	inst.Parts = parts
	for _, part := range parts {
		part.Worker.Guaranteed = part.Worker.Guaranteed.Add(inst.Shape.PerTask.Times(part.Tasks))
	}
}

// Release frees the held capacity. The instance's gangs must have been detached.
func (inst *GuaranteeInstance) Release() {
	for _, part := range inst.Parts {
		part.Worker.Guaranteed = part.Worker.Guaranteed.Sub(inst.Shape.PerTask.Times(part.Tasks))
	}
	inst.Parts = nil
}

// Attach records that a gang runs within the instance.
func (inst *GuaranteeInstance) Attach(g *Gang) {
	g.Guarantee = inst
	inst.Gangs = append(inst.Gangs, g)
}

// Detach undoes Attach.
func (inst *GuaranteeInstance) Detach(g *Gang) {
	i := slices.Index(inst.Gangs, g)
	if i < 0 {
		panic("cache: gang is not attached to this guarantee instance")
	}
	inst.Gangs = slices.Delete(inst.Gangs, i, i+1)
	g.Guarantee = nil
}

// Covers reports whether a gang of this shape may fit into the instance when vacant. It
// checks only the total and the accelerators of one task.
func (inst *GuaranteeInstance) Covers(shape model.Shape) bool {
	return shape.Total().Fits(inst.Shape.Total()) && shape.PerTask.Accelerators <= inst.largestPart().Accelerators
}

// largestPart is the most that the instance holds on one worker; its total while unplaced.
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
