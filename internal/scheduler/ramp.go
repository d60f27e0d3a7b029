package scheduler

import (
	"math"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
)

// rampingUp reports whether the zone has come back lately. Until the ramp is over,
// small jobs beside guarantees start only on some of the racks, so that large gangs
// find whole racks. Jobs within guarantees and large gangs start anywhere.
func (e *Core) rampingUp() bool {
	return !e.returnedAt.IsZero() && e.now.Sub(e.returnedAt) < e.options.ReturnRamp
}

// openMoreRacks opens racks one after another while the zone returns.
func (e *Core) openMoreRacks() {
	open := len(e.pool.Racks)
	if e.rampingUp() {
		elapsed := float64(e.now.Sub(e.returnedAt)) / float64(e.options.ReturnRamp)
		open = max(1, int(math.Ceil(elapsed*float64(open))))
	}
	if open != e.openRacks {
		e.openRacks = open
		e.stateVersion++
	}
}

// excludeClosedRacks removes the room on racks that are not open yet.
func (e *Core) excludeClosedRacks() {
	for i := e.openRacks; i < len(e.candidateSpace.Racks); i++ {
		for site := e.candidateSpace.Racks[i].From; site < e.candidateSpace.Racks[i].To; site++ {
			e.candidateSpace.Available[site] = model.Resources{}
		}
	}
}

// isLarge reports whether the gang takes at least all accelerators of a worker, so
// that small jobs could block it by spreading out.
func (e *Core) isLarge(g *cache.Gang) bool {
	return e.maxWorkerAccelerators > 0 && g.Total().Accelerators >= e.maxWorkerAccelerators
}
