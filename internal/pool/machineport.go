package pool

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/model"
)

// MachineID identifies the machine that a worker runs on. It stays the same when the worker
// restarts or gets a new ID.
type MachineID string

// Machine is an entry of the platform's list of machines.
type Machine struct {
	ID MachineID
	// Worker is the worker that runs on it now; empty while there is none.
	Worker model.WorkerID
	// Up is true while the machine runs and is neither being moved nor in upkeep.
	Up bool
	// Emptied is true while the machine is being moved or in upkeep: the begin of either ends
	// the worker and everything that runs on it.
	Emptied bool
}

// MachinePort calls the platform's machine API.
type MachinePort interface {
	Machines(ctx context.Context) ([]Machine, error)
	// Upkeep starts the upkeep of a machine for a wave; everything that runs there ends
	// at once. It is idempotent. Errors wrap ErrBusy, ErrFenced, ErrInvalid, ErrOverloaded
	// or ErrResponseLost.
	Upkeep(ctx context.Context, machine MachineID, wave int, fence uint64) error
}

// ErrBusy means that an upkeep has not begun: the machine is not up or is about to leave, or
// the order could not be sent.
var ErrBusy = errors.New("machine is busy")
