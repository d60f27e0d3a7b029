// Package pool plans the placement of pieces (gangs and independent tasks) on the
// workers of a pool that spans availability zones. Plan is a pure function of a
// Snapshot: it does no I/O, reads no clock and draws no random numbers. The owner
// of the pool takes the snapshot, records the decisions and carries them out.
//
// The engine of the parent package decides for one availability zone with reserved
// shapes; here guarantees are counts of accelerators over the whole pool.
package pool

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// PieceID names a piece of a job.
type PieceID string

// Worker is a worker that may be given tasks.
type Worker struct {
	ID     model.WorkerID
	Zone   model.AvailabilityZoneID
	Rack   string
	Labels []string
	// Capacity is the worker's whole room.
	Capacity model.Resources
	// Free is what is neither in use nor promised to a piece that waits for it.
	Free model.Resources
	// Penalty orders workers that are otherwise equal; higher is worse.
	Penalty int
	// Runs are the runs that hold room here.
	Runs []*Run
}

// Piece is what is placed at once: all tasks of a gang, or one independent task.
type Piece struct {
	ID           PieceID
	Organisation model.OrganisationID
	// Priority 0 comes first.
	Priority int
	Tasks    int
	Demand   model.Resources
	// SameRack, DataRack and RequiredLabel are as in the step.
	SameRack      bool
	DataRack      string
	RequiredLabel string
	// MaxPerWorker bounds the tasks on one worker; 0 means no bound. OnWorker counts
	// the tasks of the same step and occurrence that are already there.
	MaxPerWorker int
	OnWorker     map[model.WorkerID]int
	// Allowed lists the workers that the queue's policy allows; nil means all.
	Allowed map[model.WorkerID]bool
	// Avoid lists workers that are used only if nothing else fits.
	Avoid map[model.WorkerID]bool
	// Ready is since when the piece may run.
	Ready time.Time
	// Objective is when the job has to be completed; zero means never.
	Objective time.Time
	// Remaining is the estimated time from the start of the piece to the end of its job.
	Remaining time.Duration
	// Estimate is the estimated run time of the piece itself.
	Estimate time.Duration
	// Began is true when a task of the same job has run already.
	Began bool
	// Class names the step that the piece belongs to. Its pieces have equal demands: when
	// one finds no place, neither do the others.
	Class string
}

func (p *Piece) accelerators() int { return p.Tasks * p.Demand.Accelerators }

// Run is a piece that holds room on workers. Plan does not change it.
type Run struct {
	Piece        PieceID
	Organisation model.OrganisationID
	Priority     int
	// Accelerators is what the whole run holds.
	Accelerators int
	// On is the room held, one entry a worker.
	On []Share
	// Started orders the runs of an organisation for its guarantee.
	Started time.Time
	// WorkRate is the work that the run does, in core-seconds a second.
	WorkRate float64
	// LosesAtMost bounds the run time that a stop throws away; 0 means no bound.
	LosesAtMost time.Duration
	// Stoppable is false while the run ends, and for runs with a disruption budget.
	Stoppable bool
}

// Share is the room that a run holds on a worker.
type Share struct {
	Worker model.WorkerID
	Room   model.Resources
}

// Hold adds room on a worker to what the run holds.
func (r *Run) Hold(id model.WorkerID, room model.Resources) {
	for i := range r.On {
		if r.On[i].Worker == id {
			r.On[i].Room = r.On[i].Room.Add(room)
			return
		}
	}
	r.On = append(r.On, Share{id, room})
}

func (r *Run) roomOn(id model.WorkerID) model.Resources {
	for i := range r.On {
		if r.On[i].Worker == id {
			return r.On[i].Room
		}
	}
	return model.Resources{}
}

// UnsavedWork is the work in core-seconds that a stop throws away.
func (r *Run) UnsavedWork(now time.Time) float64 {
	lost := now.Sub(r.Started)
	if r.LosesAtMost > 0 {
		lost = min(lost, r.LosesAtMost)
	}
	return lost.Seconds() * r.WorkRate
}

// Snapshot is the state of a pool at one moment.
type Snapshot struct {
	Now     time.Time
	Workers []Worker
	Waiting []*Piece
	// Urgent are the runs of priority 0, also those on workers that may not be used.
	Urgent []*Run
	// Use counts the accelerators that runs hold, by priority.
	Use map[int]int
	// Guarantees holds the accelerators guaranteed to each organisation's pieces of
	// priority 0.
	Guarantees map[model.OrganisationID]int
	// Peaks holds, by priority, the accelerators that runs of more urgent priorities
	// have lately used at most.
	Peaks map[int]int
}

// UseAbove counts the accelerators that runs more urgent than a priority hold.
func (s *Snapshot) UseAbove(priority int) int {
	use := 0
	for other, held := range s.Use {
		if other < priority {
			use += held
		}
	}
	return use
}

// Placement says where a piece goes. With Evict set, the room comes free only when
// the named runs have ended.
type Placement struct {
	Piece   PieceID
	Workers []model.WorkerID
	Evict   []PieceID
}

// acceleratorCores is what an accelerator counts for in cores when work is weighed, as
// the users' pages weigh it.
const acceleratorCores = 8

// Cores returns resources as a number of cores, by which work is weighed.
func Cores(r model.Resources) float64 {
	return float64(r.MilliCPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// The thresholds of the planner.
const (
	// entitledPatience is how long a piece within its organisation's guarantee waits
	// for a near place before it goes anywhere; it leaves most of the time within
	// which guaranteed work has to start for stopping others.
	entitledPatience = 400 * time.Millisecond
	// slackShare is the slack, as a share of the remaining run time, with which a piece
	// leaves room to more urgent work that may come.
	slackShare = 0.75
	// maxHeadroom bounds the room that is left, as a share of the pool.
	maxHeadroom = 0.25
)
