package poolhost

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// BreakOwner makes the pool.Owner of this host's term panic.
func (h *Host) BreakOwner() {
	h.currentTerm().loop.Update(func(*pool.Owner, time.Time) { panic("broken invariant") })
}

// RememberFinalState makes the host remember the state of an ended job.
func (h *Host) RememberFinalState(id model.JobID, organisation model.OrganisationID, state workflow.State) {
	h.cacheFinalState(id, organisation, state)
}

// Gate returns what this host may do as the owner of the pool.
func (h *Host) Gate() pool.Gate { return h.currentTerm().gate() }
