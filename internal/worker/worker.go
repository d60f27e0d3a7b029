// Package worker defines the interface to the workers of the pool. A worker runs
// tasks under leases, reports state changes with a delay, and can checkpoint, throttle
// or stop a task. All commands for a worker are sent in one exchange.
package worker

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/model"
)

// TaskState is the state of a task as reported by its worker.
type TaskState string

// The states of a task on its worker.
const (
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	// TaskStopped means that the task was stopped, or that its lease expired.
	TaskStopped TaskState = "stopped"
)

// Ended reports whether the task no longer runs.
func (s TaskState) Ended() bool { return s != TaskRunning }

// Start asks a worker to run a task. It is idempotent for the same task and attempt.
type Start struct {
	Task      model.TaskID    `json:"task"`
	Job       model.JobID     `json:"job"`
	Attempt   model.AttemptID `json:"attempt"`
	Resources model.Resources `json:"resources"`
	// GangTasks is the number of tasks in the gang.
	GangTasks int `json:"gang_tasks"`
	// LeaseMS is how long the task may run unless its lease is extended.
	LeaseMS int64 `json:"lease_ms"`
	// Checkpoint names the checkpoint to resume from; empty means from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	Payload    []byte `json:"payload,omitempty"`
}

// Stop asks a worker to stop a task. With Checkpoint set, the task first saves its
// state under that name.
type Stop struct {
	Task       model.TaskID    `json:"task"`
	Attempt    model.AttemptID `json:"attempt"`
	Checkpoint string          `json:"checkpoint,omitempty"`
}

// Checkpoint asks a worker to save the state of a task, which keeps running. It is
// idempotent for the same name.
type Checkpoint struct {
	Task    model.TaskID    `json:"task"`
	Attempt model.AttemptID `json:"attempt"`
	Name    string          `json:"name"`
}

// Throttle asks a worker to limit a task to its declared resources.
type Throttle struct {
	Task    model.TaskID    `json:"task"`
	Attempt model.AttemptID `json:"attempt"`
}

// Report is a worker's report on one task. Reports are delayed.
type Report struct {
	// Sequence increases with every report of the worker.
	Sequence int64           `json:"sequence"`
	Task     model.TaskID    `json:"task"`
	Job      model.JobID     `json:"job"`
	Attempt  model.AttemptID `json:"attempt"`
	State    TaskState       `json:"state"`
	// Resources is what is allocated to the task.
	Resources model.Resources `json:"resources"`
	// GangTasks is the number of tasks in the gang, as given in the start.
	GangTasks int `json:"gang_tasks"`
	// NeverStarted is true for a stopped attempt that the worker never started.
	NeverStarted bool `json:"never_started,omitempty"`
	// Usage is the resource usage of the task when it was last measured.
	Usage model.Resources `json:"usage"`
	// Checkpoint names the latest checkpoint, if there is one.
	Checkpoint string `json:"checkpoint,omitempty"`
	Detail     string `json:"detail,omitempty"`
}

// Exchange is a request from a zone's owner to one worker with all of its commands. It
// extends leases as specified by ExtendAll and asks for the reports after Since.
type Exchange struct {
	Zone  model.AvailabilityZoneID `json:"zone"`
	Epoch model.Epoch              `json:"epoch"`
	// Claim asks the worker to accept commands only of this epoch or a higher one from
	// now on and to report every task.
	Claim     bool       `json:"claim,omitempty"`
	Since     int64      `json:"since"`
	Starts    []Start    `json:"starts,omitempty"`
	Stops     []Stop     `json:"stops,omitempty"`
	Throttles []Throttle `json:"throttles,omitempty"`
	// Checkpoints asks to save the state of running tasks.
	Checkpoints []Checkpoint `json:"checkpoints,omitempty"`
	// ExtendAll extends the lease of every running task of the worker by LeaseMS,
	// except for the attempts listed in ShortLease, whose gangs are not known to be
	// fully started and which keep their short lease.
	ExtendAll  bool              `json:"extend_all,omitempty"`
	ShortLease []model.AttemptID `json:"short_lease,omitempty"`
	LeaseMS    int64             `json:"lease_ms,omitempty"`
	// Forget lists ended attempts whose end is durably recorded. Until an attempt is
	// listed, the worker reports it in response to every claim.
	Forget []model.AttemptID `json:"forget,omitempty"`
	// NotAfterMS is a time on the worker's own clock, in milliseconds, as in
	// Response.ClockMS. An exchange that the worker processes later has no effect and
	// fails with ErrTooLate. 0 means no limit. It limits how late a command can take
	// effect that was delayed by the network or by a frozen worker.
	NotAfterMS int64 `json:"not_after_ms,omitempty"`
	// Incarnation is the worker's incarnation when it was claimed. A worker with
	// another incarnation executes nothing but a claim and returns its own incarnation.
	// So a start that is sent again is not executed by a worker that has lost its record
	// of the first one.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// Response is a worker's response to an exchange.
type Response struct {
	// Epoch is the highest epoch that the worker has seen.
	Epoch model.Epoch `json:"epoch"`
	// Sequence is the last sequence number that Reports covers.
	Sequence int64    `json:"sequence"`
	Reports  []Report `json:"reports,omitempty"`
	// ClockMS is the worker's monotonic clock in milliseconds. It need not agree with
	// any other host's clock.
	ClockMS int64 `json:"clock_ms"`
	// Incarnation is not 0. It changes when the worker has lost its state and its tasks.
	Incarnation int64 `json:"incarnation"`
}

// Port sends exchanges to workers.
type Port interface {
	// Exchange sends one exchange to the worker at endpoint. It fails with ErrEpoch when
	// the worker has seen a higher epoch, with ErrUnreachable when the worker was
	// unreachable or refused the exchange, and with ErrTooLate when NotAfterMS had passed; in all
	// three cases no command was executed. ErrResponseLost means that the commands may or
	// may not have taken effect.
	Exchange(ctx context.Context, endpoint string, exchange Exchange) (Response, error)
}

// The errors of a Port. Implementations wrap them; callers use errors.Is.
var (
	ErrEpoch        = errors.New("worker: has seen a higher epoch")
	ErrUnreachable  = errors.New("worker: unreachable")
	ErrResponseLost = errors.New("worker: response lost")
	ErrTooLate      = errors.New("worker: exchange arrived too late")
)

// ShortLease is the lease of a task until its gang is known to be fully started.
const ShortLease = 5 * time.Second
