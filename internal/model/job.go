package model

import (
	"slices"
	"time"
)

// PriorityClass is the priority of a job among those of its organisation. Urgent jobs of
// an organisation with a small weighted share also precede the jobs of others that no
// guarantee covers.
type PriorityClass string

// The priority classes. Urgent work within a guarantee starts within 1.5 s.
const (
	PriorityUrgent PriorityClass = "urgent"
	PriorityNormal PriorityClass = "normal"
)

// Valid reports whether p is one of the defined classes.
func (p PriorityClass) Valid() bool { return p == PriorityUrgent || p == PriorityNormal }

// JobSpec is a job as its caller submits it; it is immutable once accepted.
type JobSpec struct {
	ID           JobID          `json:"id"`
	Organisation OrganisationID `json:"organisation"`
	Service      ServiceID      `json:"service"`
	Shape        Shape          `json:"shape"`
	Priority     PriorityClass  `json:"priority"`
	// Repeatable is true when the job may be started again from the beginning after
	// some of its tasks were lost.
	Repeatable bool `json:"repeatable"`
	// Checkpoint is true when its tasks can be checkpointed and resumed.
	Checkpoint bool `json:"checkpoint"`
	// DeclaredRunTime is the caller's estimate; it is only a hint.
	DeclaredRunTime time.Duration `json:"declared_run_time_ns"`
	// Deadline is the time after which the job is no longer needed; zero means none.
	Deadline time.Time `json:"deadline,omitzero"`
	// Zones lists the availability zones where it may run; empty means any.
	Zones []AvailabilityZoneID `json:"zones,omitempty"`
	// Payload is passed unchanged to every task; it has at most MaxPayloadBytes.
	Payload []byte `json:"payload,omitempty"`
}

// MaxPayloadBytes is the largest payload of a job, in bytes.
const MaxPayloadBytes = 64 << 10

// Preemptible reports whether the job may be stopped to free its resources. A job
// that can be neither restarted nor resumed from a checkpoint must not be stopped.
func (j JobSpec) Preemptible() bool { return j.Repeatable || j.Checkpoint }

// MayRunIn reports whether the job may run in a zone.
func (j JobSpec) MayRunIn(zone AvailabilityZoneID) bool {
	return len(j.Zones) == 0 || slices.Contains(j.Zones, zone)
}

// Placement lists the worker of each task of a gang, by the index of the task.
type Placement []WorkerID
