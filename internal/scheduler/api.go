// Package scheduler is the scheduling engine of one availability zone: it decides which
// gang starts where, which borrowers are preempted and which jobs can never run. It
// does no I/O and reads neither a clock nor a global random source: the time is an
// argument of each call, and the seed of random choices is an option.
package scheduler

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
)

// Action is one decision. The caller carries it out and reports the result.
type Action interface{ action() }

// StartGang asks for all tasks of a job to be started. The resources count as used until
// Stopped or Finished is called.
type StartGang struct {
	Job       model.JobID
	Placement model.Placement
}

// StopGang asks for all tasks of a job to be stopped. The resources count as used until
// Stopped is called.
type StopGang struct {
	Job    model.JobID
	Reason outcome.Reason
	// Checkpoint asks for the tasks' state to be saved first.
	Checkpoint bool
	// Beneficiary is the job for which the resources are freed, if there is one.
	Beneficiary model.JobID
}

// Refuse ends a queued job whose deadline has passed.
type Refuse struct {
	Job     model.JobID
	Outcome outcome.Outcome
}

// ThrottleTask asks for one task to be limited to its declared resources.
type ThrottleTask struct {
	Task   model.TaskID
	Job    model.JobID
	Worker model.WorkerID
}

func (StartGang) action()    {}
func (StopGang) action()     {}
func (Refuse) action()       {}
func (ThrottleTask) action() {}

// StopCause is the reason why a gang is no longer placed.
type StopCause string

// The stop causes.
const (
	StoppedPreempted  StopCause = "preempted"   // a StopGang was carried out
	StoppedWorkerLost StopCause = "worker_lost" // a worker was lost
	StoppedFailed     StopCause = "failed"      // a task failed at its worker
	StoppedCancelled  StopCause = "cancelled"   // the caller cancelled the job
	StoppedNotStarted StopCause = "not_started" // the start was refused or timed out
)

// Usage is a report, possibly delayed, of what one task uses.
type Usage struct {
	Job    model.JobID
	Task   int
	Worker model.WorkerID
	Used   model.Resources
}

// Digest is a summary of a zone by which entry hosts choose a zone for a job.
type Digest struct {
	FreeAccelerators  int
	TotalAccelerators int
	// FreeShapes has, for the most probable shapes, how many more gangs could be placed now.
	FreeShapes []ShapeCount
	Queued     int
	// Running counts all jobs that are not queued, including those that claim a placement,
	// start or stop.
	Running int
	// OldestQueued is how long the oldest queued job has waited.
	OldestQueued time.Duration
	// GuaranteeDebt is the number of accelerators that guarantees would have to reclaim
	// from borrowers if all were used at once.
	GuaranteeDebt int
}

// ShapeCount is how many more gangs of a shape could be placed now.
type ShapeCount struct {
	Shape model.Shape
	Count int
}

// Engine schedules the jobs of one availability zone. It is not safe for concurrent use.
// No method blocks or does I/O.
type Engine interface {
	// SetOrganisations replaces the organisations; guarantees holds the guaranteed
	// shapes assigned to this zone, by organisation.
	SetOrganisations(organisations []model.Organisation, guarantees map[model.OrganisationID][]model.Guarantee)
	// SetWorkers replaces the list of workers in this zone.
	SetWorkers(workers []model.Worker, now time.Time)
	// SetUsable records whether the caller has claimed the worker and it responds.
	SetUsable(worker model.WorkerID, usable bool, now time.Time)
	// SetOutOfService takes the zone out of service, which stops all starts, or returns it to
	// service, which ramps up from now on over ReturnRamp.
	SetOutOfService(out bool, now time.Time)

	// Enqueue adds an accepted job. NotRun with ReasonInfeasible means that it can
	// never run here and was not queued.
	Enqueue(job model.JobSpec, accepted, now time.Time) outcome.Outcome
	// Adopt adds a job all of whose tasks were found running with this placement.
	Adopt(job model.JobSpec, placement model.Placement, accepted, now time.Time)
	// Cancel removes a queued job. It returns false when the job is placed: the
	// caller then stops the gang and reports Stopped.
	Cancel(job model.JobID) bool

	// Started says that every task of the gang has confirmed its start.
	Started(job model.JobID, now time.Time)
	// Stopped says that no task of the gang runs any more. With requeue the job returns
	// to its earlier position in the queue. Blamed names the workers at fault, if any.
	Stopped(job model.JobID, cause StopCause, requeue bool, blamed []model.WorkerID, now time.Time)
	// Finished says that every task of the gang has finished.
	Finished(job model.JobID, now time.Time)
	// Observe processes usage reports.
	Observe(usages []Usage, now time.Time)

	// Decide returns what to do now, in order.
	Decide(now time.Time) []Action
	// Digest summarises the zone.
	Digest(now time.Time) Digest
	// Explain says in one sentence why a queued job waits.
	Explain(job model.JobID, now time.Time) string
}
