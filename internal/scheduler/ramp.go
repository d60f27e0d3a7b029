package scheduler

import (
	"math"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
)

// rampingUp reports whether the zone returned to service less than ReturnRamp ago. During
// the ramp, small jobs outside guarantees start only on some racks, so that large gangs
// find whole racks. Jobs within guarantees and large gangs start anywhere.
func (e *ZoneEngine) rampingUp() bool {
	return !e.returnedAt.IsZero() && e.now.Sub(e.returnedAt) < e.options.ReturnRamp
}

// openMoreRacks opens racks one after another during the ramp.
func (e *ZoneEngine) openMoreRacks() {
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

// excludeClosedRacks makes racks that are not open yet unavailable in candidateSpace.
func (e *ZoneEngine) excludeClosedRacks() {
	for i := e.openRacks; i < len(e.candidateSpace.Racks); i++ {
		for site := e.candidateSpace.Racks[i].From; site < e.candidateSpace.Racks[i].To; site++ {
			e.candidateSpace.Available[site] = model.Resources{}
		}
	}
}

// isLarge reports whether the gang needs at least all accelerators of a worker, so that
// small jobs spread over the workers could starve it.
func (e *ZoneEngine) isLarge(g *cache.Gang) bool {
	return e.maxWorkerAccelerators > 0 && g.Total().Accelerators >= e.maxWorkerAccelerators
}
