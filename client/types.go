package client

import (
	"fmt"
	"time"
)

// Kind says what happened to the work. The package comment says what each kind
// permits the caller to do.
type Kind string

// The kinds of outcome.
const (
	Done     Kind = "done"
	NotRun   Kind = "not_run"
	Unknown  Kind = "unknown"
	Accepted Kind = "accepted"
)

// Outcome is the result of a call.
type Outcome struct {
	Kind Kind `json:"outcome"`
	// Reason is a stable, machine-readable cause, for example "deadline".
	Reason string `json:"reason,omitempty"`
	// Detail is a human-readable explanation in one sentence.
	Detail string `json:"detail,omitempty"`
}

// Error is the error of a call. Its Kind is NotRun or Unknown, or Done in the case that
// Client.Do describes.
type Error struct {
	Outcome
	// Status is the HTTP status; 0 if no response was received.
	Status int
	// Request is the request's ID in the event timeline, if it has one.
	Request string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("chervilrun: %s (%s): %s", e.Kind, e.Reason, e.Detail)
}

// Headers of the caller API.
const (
	// HeaderDeadline is the time until the request's deadline, in milliseconds.
	HeaderDeadline = "Chervil-Deadline-Ms"
	// HeaderKey is the idempotency key: 1 to 128 visible ASCII characters. Work with the
	// same key runs at most once.
	HeaderKey = "Idempotency-Key"
	// HeaderOutcome is the outcome's kind; every response has it.
	HeaderOutcome = "Chervil-Outcome"
	// HeaderRequest is the request's ID in the event timeline.
	HeaderRequest = "Chervil-Request"
	// HeaderAttempts is the number of attempts that the request took.
	HeaderAttempts = "Chervil-Attempts"
	// HeaderReplayed is "true" if the response was recorded by an earlier request.
	HeaderReplayed = "Chervil-Replayed"
)

// Resources are the resources that one task of a job requests.
type Resources struct {
	Accelerators int   `json:"accelerators"`
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMB     int64 `json:"memory_mb"`
}

// Shape is the shape of a gang: identical tasks that run at the same time, near one
// another.
type Shape struct {
	Tasks   int       `json:"tasks"`
	PerTask Resources `json:"per_task"`
	// Adjacency is "worker", "rack" or "zone".
	Adjacency string `json:"adjacency"`
}

// JobRequest describes a job to submit.
type JobRequest struct {
	Service string `json:"service"`
	Shape   Shape  `json:"shape"`
	// Priority is "urgent" or "normal"; empty means normal.
	Priority string `json:"priority,omitempty"`
	// Repeatable is true if the job may be started again after a part of it was lost.
	Repeatable bool `json:"repeatable,omitempty"`
	// Checkpoint is true if the job's tasks can be checkpointed and resumed.
	Checkpoint bool `json:"checkpoint,omitempty"`
	// DeclaredRunTimeMS is the estimated run time, in milliseconds.
	DeclaredRunTimeMS int64 `json:"declared_run_time_ms,omitempty"`
	// Deadline is the time after which the job's result is not needed; zero means none.
	Deadline time.Time `json:"deadline,omitzero"`
	// Zones lists the availability zones where the job may run; empty means any.
	Zones []string `json:"zones,omitempty"`
	// Payload is passed to every task, at most 64 KB.
	Payload []byte `json:"payload,omitempty"`
}

// Job is the state of a job.
type Job struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Zone         string `json:"zone"`
	// State is queued, starting, running, stopping, done, failed or cancelled.
	State string `json:"state"`
	Shape Shape  `json:"shape"`
	// Workers lists the worker of each task while the gang starts or runs.
	Workers []string `json:"workers,omitempty"`
	// Attempts is the number of gang starts so far.
	Attempts int       `json:"attempts"`
	Outcome  Outcome   `json:"outcome"`
	Accepted time.Time `json:"accepted"`
	Started  time.Time `json:"started,omitzero"`
	Ended    time.Time `json:"ended,omitzero"`
	// Revision increases with each change; pass it to WaitJob.
	Revision int64 `json:"revision"`
}

// Final reports whether the job has ended.
func (j Job) Final() bool {
	return j.State == "done" || j.State == "failed" || j.State == "cancelled"
}
