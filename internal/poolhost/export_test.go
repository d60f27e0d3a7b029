package poolhost

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/pool"
)

// BreakOwner makes the pool.Owner of this host's term panic.
func (h *Host) BreakOwner() {
	h.currentTerm().loop.Update(func(*pool.Owner, time.Time) { panic("broken invariant") })
}
