package cache

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// State is where a gang stands between the queue and its end.
type State int

// The states of a gang.
const (
	// Queued gangs wait in the queue.
	Queued State = iota
	// Claiming gangs hold a claim on a place that others have yet to leave.
	Claiming
	// Starting gangs have been asked to start.
	Starting
	// Running gangs have confirmed the start of every task.
	Running
	// Stopping gangs have been asked to stop; their place is not free yet.
	Stopping
)

// Part is a number of a gang's tasks on one worker.
type Part struct {
	Worker *Worker
	Tasks  int
}

// Gang is a job as the scheduler keeps it.
type Gang struct {
	Spec model.JobSpec
	// Shape is what the gang is placed with: the declared shape, or a larger one
	// after its tasks were seen to use more memory.
	Shape    model.Shape
	Accepted time.Time
	// Sequence orders gangs that were accepted at the same time.
	Sequence uint64
	State    State
	// Parts holds the place of a gang that is not queued, by worker.
	Parts []Part
	// Placed is when the gang got its present place.
	Placed time.Time
	// Started is when every task had confirmed its start; zero before.
	Started time.Time
	// Guarantee is the guaranteed shape within which the gang runs, or nil.
	Guarantee *GuaranteeInstance
	// AvoidWorkers lists the workers that were blamed for a failed start of this gang.
	AvoidWorkers map[model.WorkerID]bool
	// Victims are the gangs that a claiming gang still waits for.
	Victims []*Gang
	// Beneficiary is the gang that a stopping gang makes room for, if there is one.
	Beneficiary *Gang
	// Backfill is true for a gang that runs in the place reserved for another.
	Backfill bool
	// NextMoveSearch is when it is next worth looking for gangs to move for this one.
	NextMoveSearch time.Time
	// LastSelection is the last selection of victims that looked at the gang.
	LastSelection uint64
}

// Pinned reports whether the gang can't be stopped and sits beside all guarantees.
func (g *Gang) Pinned() bool { return g.Guarantee == nil && !g.Spec.Preemptible() }

// Borrower reports whether the gang gives its place back when a guarantee needs it.
func (g *Gang) Borrower() bool { return g.Guarantee == nil && g.Spec.Preemptible() }

// Total returns the resources of all tasks as they are accounted for.
func (g *Gang) Total() model.Resources { return g.Shape.Total() }

// Evictable reports whether the gang can be chosen to make room for another.
func (g *Gang) Evictable() bool {
	return g.Borrower() && (g.State == Running || g.State == Starting)
}

// StoppingUnclaimed reports whether the gang is being stopped for nobody in particular, so
// that its place will be free without another eviction.
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
