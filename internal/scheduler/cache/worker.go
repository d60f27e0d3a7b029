package cache

import (
	"fmt"
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Unlisted is the site of a worker that is not in the zone's list.
const Unlisted = -1

// Worker is a worker of the zone with the accounts of its resources.
type Worker struct {
	ID        model.WorkerID
	Rack      model.RackID
	RackIndex int
	// Site is the worker's index in the pool, or Unlisted.
	Site     int
	Capacity model.Resources
	Leaving  bool
	// Usable is true while this zone's owner has claimed the worker and it responds.
	Usable bool
	// Quarantined is true while nothing is started on the worker because of earlier failures.
	Quarantined bool

	// Used is what the gangs placed here use.
	Used model.Resources
	// UsedCPUOnly is the part of Used by gangs without accelerators.
	UsedCPUOnly model.Resources
	// Claimed is what claiming gangs will use here.
	Claimed model.Resources
	// Guaranteed is what guarantee instances hold here, including what is lent out.
	Guaranteed model.Resources
	// Pinned is what pinned gangs use or claim here.
	Pinned model.Resources
	// OveruseMB is the memory that tasks here use beyond their shapes, in megabytes.
	OveruseMB int64

	// Gangs are the gangs placed here, in order of placement.
	Gangs []*Gang
	// Reserved is the gang that the worker is reserved for, if there is one.
	Reserved *Gang
}

// Schedulable reports whether tasks may be started on the worker.
func (w *Worker) Schedulable() bool {
	return w.Site != Unlisted && w.Usable && !w.Leaving && !w.Quarantined
}

// Free returns what is neither used nor claimed; zero if the worker isn't schedulable.
func (w *Worker) Free() model.Resources {
	if !w.Schedulable() {
		return model.Resources{}
	}
	free := w.Capacity.Sub(w.Used).Sub(w.Claimed)
	free.MemoryMB -= w.OveruseMB
	return AtLeastZero(free)
}

// Unguaranteed returns the capacity, free or not, that is outside all guarantees and not
// taken by pinned gangs; zero if the worker isn't schedulable.
func (w *Worker) Unguaranteed() model.Resources {
	if !w.Schedulable() {
		return model.Resources{}
	}
	return AtLeastZero(w.Capacity.Sub(w.Guaranteed).Sub(w.Pinned))
}

// GuaranteesFit reports whether all guarantees held here fit once all borrowers are evicted.
func (w *Worker) GuaranteesFit() bool {
	return w.Guaranteed.IsZero() || w.Guaranteed.Add(w.Pinned).Fits(w.Capacity)
}

// Place puts a gang's tasks on the worker.
func (w *Worker) Place(g *Gang, tasks int) {
	amount := g.Shape.PerTask.Times(tasks)
	w.Used = w.Used.Add(amount)
	w.Gangs = append(w.Gangs, g)
	if amount.Accelerators == 0 {
		w.UsedCPUOnly = w.UsedCPUOnly.Add(amount)
	}
}

// Remove removes a gang's tasks from the worker. It panics if the gang isn't there.
func (w *Worker) Remove(g *Gang, tasks int) {
	i := slices.Index(w.Gangs, g)
	if i < 0 {
		panic(fmt.Sprintf("cache: gang %s is not on worker %s", g.Spec.ID, w.ID))
	}
	w.Gangs = slices.Delete(w.Gangs, i, i+1)
	amount := g.Shape.PerTask.Times(tasks)
	w.Used = w.Used.Sub(amount)
	if amount.Accelerators == 0 {
		w.UsedCPUOnly = w.UsedCPUOnly.Sub(amount)
	}
	if w.Used.IsNegative() {
		panic(fmt.Sprintf("cache: worker %s has a negative account: %s", w.ID, w.Used))
	}
}

// AtLeastZero returns r with negative dimensions raised to zero.
func AtLeastZero(r model.Resources) model.Resources {
	return model.Resources{
		Accelerators: max(r.Accelerators, 0),
		MilliCPU:     max(r.MilliCPU, 0),
		MemoryMB:     max(r.MemoryMB, 0),
	}
}

// Min returns the minimum in each dimension.
func Min(a, b model.Resources) model.Resources {
	return model.Resources{
		Accelerators: min(a.Accelerators, b.Accelerators),
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
	}
}
