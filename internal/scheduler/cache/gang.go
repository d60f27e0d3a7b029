package cache

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// State is the scheduling state of a gang.
type State int

// The states of a gang.
const (
	// Queued gangs wait in the queue.
	Queued State = iota
	// Claiming gangs have a placement that other gangs have yet to free.
	Claiming
	// Starting gangs have been asked to start.
	Starting
	// Running gangs have confirmed the start of every task.
	Running
	// Stopping gangs have been asked to stop; their resources are still in use.
	Stopping
)

// Part is the part of a placement on one worker: a number of tasks.
type Part struct {
	Worker *Worker
	Tasks  int
}

// Gang is the scheduler's record of a job, whose tasks are placed all together.
type Gang struct {
	Spec model.JobSpec
	// Shape is the shape used for placement: the declared one, or one with more memory
	// per task after higher memory use was observed.
	Shape    model.Shape
	Accepted time.Time
	// Sequence orders gangs that were accepted at the same time.
	Sequence uint64
	State    State
	// Parts is the placement of a gang that is not queued, one entry for each worker.
	Parts []Part
	// Placed is when the gang got its current placement.
	Placed time.Time
	// Started is when every task had confirmed its start; zero until then.
	Started time.Time
	// Guarantee is the guarantee instance within which the gang runs, or nil.
	Guarantee *GuaranteeInstance
	// AvoidWorkers holds the workers blamed for a failed start or task of this gang.
	AvoidWorkers map[model.WorkerID]bool
	// Victims are the gangs whose stop a claiming gang still waits for.
	Victims []*Gang
	// Beneficiary is the gang for which this one is being stopped, if there is one.
	Beneficiary *Gang
	// Backfill is true for a gang that runs on workers reserved for another.
	Backfill bool
	// NextMoveSearch is the earliest time of the next search for gangs to move for this one.
	NextMoveSearch time.Time
	// LastSelection is the last selection of victims that considered the gang.
	LastSelection uint64
}

// Pinned reports whether the gang is not preemptible and runs outside all guarantees.
// Guarantees can't be held on the resources of a pinned gang.
func (g *Gang) Pinned() bool { return g.Guarantee == nil && !g.Spec.Preemptible() }

// Borrower reports whether the gang runs outside all guarantees and may be preempted
// when a guarantee reclaims its resources.
func (g *Gang) Borrower() bool { return g.Guarantee == nil && g.Spec.Preemptible() }

// Total returns the resources of all tasks, in the shape used for placement.
func (g *Gang) Total() model.Resources { return g.Shape.Total() }

// Evictable reports whether the gang can be chosen as a victim for another.
func (g *Gang) Evictable() bool {
	return g.Borrower() && (g.State == Running || g.State == Starting)
}

// StoppingUnclaimed reports whether the gang is being stopped without a beneficiary, so
// that its resources come free without another eviction.
func (g *Gang) StoppingUnclaimed() bool { return g.State == Stopping && g.Beneficiary == nil }

// Placement lists the worker of each task.
func (g *Gang) Placement() model.Placement {
	placement := make(model.Placement, 0, g.Shape.Tasks)
	for _, part := range g.Parts {
		for range part.Tasks {
			placement = append(placement, part.Worker.ID)
		}
	}
	return placement
}
