package pool

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Target is the worker that an order is sent to.
type Target struct {
	Worker  model.WorkerID
	Address string
	// Incarnation is the incarnation that the order is meant for; 0 if none is known. The ID, the
	// address and the entry of a worker may be the same after a restart.
	Incarnation int64
}

// StartOrder orders a worker to run a task. It is idempotent.
type StartOrder struct {
	Task    model.TaskID
	Run     int
	Payload string
	// ExpiresMS is when the order and the lease that it grants expire, on the worker's clock.
	ExpiresMS  int64
	Fence      uint64
	Checkpoint string
	Ticket     string
}

// StopOrder orders a worker to stop a run; if the run has not started there, it never will.
type StopOrder struct {
	Task  model.TaskID
	Run   int
	Fence uint64
}

// RenewalOrder renews the lease of all tasks on a worker and requests its inventory.
type RenewalOrder struct {
	Fence uint64
	// Acknowledged acknowledges the ended runs up to this number; the worker need not list them
	// any more. Each incarnation numbers its ends anew, so that it is sent only to the incarnation
	// that the target names.
	Acknowledged int64
	// ExpiresMS is the new expiry of the lease on the worker's clock; 0 does not extend it.
	ExpiresMS int64
	// Wait is how long the worker may wait for a run to end before it responds.
	Wait time.Duration
}

// RunKey identifies one run of a task.
type RunKey struct {
	Task model.TaskID
	Run  int
}

// RunningTask is a task that a worker runs.
type RunningTask struct {
	RunKey
	Checkpoint string
	// Percent is the progress of the task, or its readiness if it is long-running.
	Percent int
	// Load is an approximate value for the last half second: the tail latency in
	// milliseconds of a task with a latency target, else the processor time used.
	Load int
}

// EndCause is how a run ended.
type EndCause string

// The causes of the end of a run.
const (
	EndDone           EndCause = "done"
	EndFailed         EndCause = "failed"
	EndStopped        EndCause = "stopped"
	EndLeaseExpired   EndCause = "lapsed"
	EndGangBroken     EndCause = "broken" // another member of the gang ended
	EndGangIncomplete EndCause = "alone"  // not all members of the gang started in time
)

// EndedTask is a run that ended on a worker.
type EndedTask struct {
	// Number counts the ended runs of one incarnation of the worker, from 1.
	Number int64
	RunKey
	Cause      EndCause
	Checkpoint string
}

// Inventory is a worker's report on itself and its tasks.
type Inventory struct {
	// ClockMS is the worker's monotonic clock; it may run up to 2% slow.
	ClockMS int64
	// Incarnation identifies the incarnation of the worker; it is higher after each restart.
	Incarnation int64
	Running     []RunningTask
	Ended       []EndedTask
	// Unacknowledged is true if the renewal was sent without RenewalOrder.Acknowledged and Wait,
	// since it wasn't certain which incarnation would receive it.
	Unacknowledged bool
}

// WorkerPort sends orders to workers. Only the incarnation that the target names carries out an
// order to start, stop or pace a run, and only it receives an acknowledgement; any other gets at
// most a request for its inventory. Errors wrap one of the typed errors below; callers
// use errors.Is. ClockMS of the response is also returned with ErrStaleRun,
// ErrInsufficientResources, ErrExpired and ErrTicketRefused; 0 means that the response
// had none.
type WorkerPort interface {
	Start(ctx context.Context, target Target, order StartOrder) (clockMS int64, err error)
	Stop(ctx context.Context, target Target, order StopOrder) (clockMS int64, err error)
	RenewLeases(ctx context.Context, target Target, order RenewalOrder) (Inventory, error)
	// Pace sets the share of full speed at which a task runs.
	Pace(ctx context.Context, target Target, order PaceOrder) (clockMS int64, err error)
}

// The typed errors of a WorkerPort. All but ErrResponseLost mean that the order had no effect.
var (
	ErrFenced                = errors.New("order refused: a later owner has taken over")
	ErrStaleRun              = errors.New("worker has stopped or ended this run or a later one")
	ErrExpired               = errors.New("order expired before the worker processed it")
	ErrInsufficientResources = errors.New("worker lacks free resources")
	ErrTicketRefused         = errors.New("worker refused the ticket")
	ErrOverloaded            = errors.New("order refused: overloaded or unhealthy")
	ErrIncarnation           = errors.New("another incarnation of the worker responded")
	// ErrRestarted means that the order was not sent, since a later incarnation of the worker
	// responds at its address, under its ID.
	ErrRestarted   = errors.New("order not sent: the worker has restarted")
	ErrInvalid     = errors.New("worker refused the order as malformed")
	ErrUnreachable = errors.New("worker unreachable")
	// ErrPermissionExpired is not returned by a WorkerPort: the loop did not send the order,
	// since the ownership or the configuration is no longer certain.
	ErrPermissionExpired = errors.New("order not sent: the ownership or the configuration is no longer certain")
	// ErrResponseLost means that the order may or may not be executed, now or later.
	ErrResponseLost = errors.New("response lost")
)

// WorkerInfo is an entry of the list of workers.
type WorkerInfo struct {
	ID       model.WorkerID
	Address  string
	Service  model.ServiceID
	Zone     model.AvailabilityZoneID
	Rack     string
	Labels   []string
	Capacity model.Resources
	// Draining is true while the worker is about to leave; TimeUntilRemoval is the minimum
	// time that it still stays, counted from when the entry was read.
	Draining         bool
	TimeUntilRemoval time.Duration
	// Incarnation identifies the incarnation of the worker; it is higher after each restart. 0
	// means that it is not known.
	Incarnation int64
}

// Policy is the part of the configuration that the owner of a pool depends on.
type Policy struct {
	// Guarantees holds the accelerators guaranteed to urgent jobs, by organisation.
	Guarantees map[model.OrganisationID]int
	// ZonesOutOfService holds the availability zones that are out of service.
	ZonesOutOfService map[model.AvailabilityZoneID]bool
}
