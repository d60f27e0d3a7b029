// Package pool plans the placement of task groups (gangs and independent tasks) on the
// workers of a pool that spans availability zones. Plan is a pure function of a
// Snapshot: it does no I/O, reads no clock and draws no random numbers. The owner
// of the pool takes the snapshot, records the decisions and executes them.
//
// The scheduling engine of the parent package schedules one availability zone, and its
// guarantees are for gangs of given shapes; here a guarantee is a number of accelerators
// anywhere in the pool.
package pool

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// TaskGroupID names a task group of a job.
type TaskGroupID string

// Worker is a worker that may be given tasks.
type Worker struct {
	ID     model.WorkerID
	Zone   model.AvailabilityZoneID
	Rack   string
	Labels []string
	// Capacity is the total of the worker's resources.
	Capacity model.Resources
	// Free is the part that is neither in use nor assigned to a task group that is about to
	// start.
	Free model.Resources
	// Penalty orders candidate workers: those with a lower penalty are used first.
	Penalty int
	// Runs are the runs that hold resources on the worker.
	Runs []*Run
}

// TaskGroup is the unit of placement: all tasks of a gang, or one independent task.
type TaskGroup struct {
	ID           TaskGroupID
	Organisation model.OrganisationID
	// Priority 0 is the most urgent.
	Priority int
	Tasks    int
	// Demand is the resources that one task needs.
	Demand model.Resources
	// SameRack, DataRack and RequiredLabel are the constraints of workflow.Step.
	SameRack      bool
	DataRack      string
	RequiredLabel string
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	// TasksOnWorker counts the tasks of the same step and occurrence that are already there.
	MaxPerWorker  int
	TasksOnWorker map[model.WorkerID]int
	// AllowedWorkers lists the workers that the queue's policy allows; nil means all.
	AllowedWorkers map[model.WorkerID]bool
	// AvoidedWorkers lists workers that are used only if nothing else fits.
	AvoidedWorkers map[model.WorkerID]bool
	// ReadySince is when the task group became ready to run.
	ReadySince time.Time
	// Objective is when the occurrence of the job should be completed; zero means no objective.
	Objective time.Time
	// Remaining is the estimated time from the start of the task group to the end of the
	// occurrence.
	Remaining time.Duration
	// Estimate is the estimated run time of the task group itself.
	Estimate time.Duration
	// JobStarted is true once a task of the same job has been started.
	JobStarted bool
	// Isolation keeps the task group apart from others.
	Isolation Isolation
	// Step names the step and occurrence of the task group. Its task groups have equal
	// demands: if one can't be placed, neither can the others. Empty means a step of its own.
	Step string
}

// Isolation is how far a task group is kept apart from the runs of others.
type Isolation int

const (
	// Shared task groups run beside any others.
	Shared Isolation = iota
	// PreferEmptyWorkers makes a task group use empty workers if it can.
	PreferEmptyWorkers
	// EmptyWorkersOnly makes a task group wait for empty workers. They get no other task
	// group in the same plan.
	EmptyWorkersOnly
)

func (g *TaskGroup) accelerators() int { return g.Tasks * g.Demand.Accelerators }

// Run is a task group that holds resources on workers. Plan does not change it.
type Run struct {
	TaskGroup    TaskGroupID
	Organisation model.OrganisationID
	Priority     int
	// Accelerators is the number that the whole run holds.
	Accelerators int
	// Allocations are the resources held, one entry per worker.
	Allocations []Allocation
	// Started is when the run was placed; a guarantee covers the oldest runs first.
	Started time.Time
	// WorkRate is the work that the run does, in core-seconds per second.
	WorkRate float64
	// MaxLoss limits the run time that a stop wastes; 0 means all of it is lost.
	MaxLoss time.Duration
	// Preemptible is true for runs that are starting or running, except long-running ones.
	Preemptible bool
	// LongRunning is true for runs that hold their resources until their job is cancelled.
	LongRunning bool
}

// Allocation is the resources that a run holds on a worker.
type Allocation struct {
	Worker    model.WorkerID
	Resources model.Resources
}

// Allocate adds resources on a worker to those that the run holds.
func (r *Run) Allocate(id model.WorkerID, resources model.Resources) {
	for i := range r.Allocations {
		if r.Allocations[i].Worker == id {
			r.Allocations[i].Resources = r.Allocations[i].Resources.Add(resources)
			return
		}
	}
	r.Allocations = append(r.Allocations, Allocation{id, resources})
}

func (r *Run) allocatedOn(id model.WorkerID) model.Resources {
	for i := range r.Allocations {
		if r.Allocations[i].Worker == id {
			return r.Allocations[i].Resources
		}
	}
	return model.Resources{}
}

// UnsavedWork is the work in core-seconds that is lost if the run is stopped.
func (r *Run) UnsavedWork(now time.Time) float64 {
	lost := now.Sub(r.Started)
	if r.MaxLoss > 0 {
		lost = min(lost, r.MaxLoss)
	}
	return lost.Seconds() * r.WorkRate
}

// Snapshot is the state of a pool at one moment.
type Snapshot struct {
	Now     time.Time
	Workers []Worker
	Waiting []*TaskGroup
	// Urgent are the runs of priority 0, including those on workers that are not in Workers.
	Urgent []*Run
	// Usage counts the accelerators that runs hold, by priority.
	Usage map[int]int
	// Guarantees holds the accelerators guaranteed to each organisation's task groups of
	// priority 0.
	Guarantees map[model.OrganisationID]int
	// PeakUsage holds, by priority, the recent peak of the accelerators that more urgent
	// runs used.
	PeakUsage map[int]int
}

// UsageAbove counts the accelerators held by runs more urgent than the priority.
func (s *Snapshot) UsageAbove(priority int) int {
	usage := 0
	for other, held := range s.Usage {
		if other < priority {
			usage += held
		}
	}
	return usage
}

// Placement assigns a task group to workers, one entry per task. If Evict is set, the
// resources become free only when those runs have ended.
type Placement struct {
	TaskGroup TaskGroupID
	Workers   []model.WorkerID
	Evict     []TaskGroupID
}

// acceleratorCores is the number of cores that an accelerator counts as when work is
// measured; the user documentation uses the same weight.
const acceleratorCores = 8

// Cores converts resources to equivalent cores, the unit in which work is measured.
func Cores(r model.Resources) float64 {
	return float64(r.MilliCPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// The thresholds of the planner.
const (
	// guaranteedRackWait is how long a task group within its organisation's guarantee waits
	// for a candidate rack before it may use any worker. It is short so that most of the
	// time within which guaranteed work has to start is left for stopping other runs.
	guaranteedRackWait = 400 * time.Millisecond
	// headroomMinSlack is the slack, as a share of the remaining run time, above which a
	// task group leaves the headroom to more urgent work.
	headroomMinSlack = 0.75
	// maxHeadroomShare limits the headroom, as a share of the accelerators of the pool.
	maxHeadroomShare = 0.25
)
