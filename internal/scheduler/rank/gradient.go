package rank

import (
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
)

// Gradient scores a candidate by how many free accelerators it makes useless to a
// job drawn from the mix. It carries the fragmentation gradient of Weng et al.,
// "Beware of Fragmentation: Scheduling GPU-Sharing Workloads with Fragmentation
// Gradient Descent" (USENIX ATC 2023), from single workers to gangs: a shape within
// a worker is counted by worker, a shape within a rack by rack, a shape within a
// zone by the tasks that fit.
type Gradient struct {
	mix     *Mix
	pool    *cache.Pool
	perTask model.Resources
	// profiles holds the profile of each vector of free resources seen under the mix.
	profiles map[model.Resources]*profile
	version  uint64
	// counts holds, for each rack, how many tasks of each shape fit; filled on demand.
	counts [][]int
}

// profile says what a worker with certain free resources is good for.
type profile struct {
	// unusableLocal is the expected number of its accelerators that no shape can use which
	// is judged by the worker alone (within a worker or a zone).
	unusableLocal float64
	// unusableSmooth is the same over all shapes, with shapes within a rack counted by the
	// tasks that fit on the worker.
	unusableSmooth float64
	// tasks is how many tasks of each shape of the mix fit.
	tasks []int
}

// NewGradient returns a ranker for the mix.
func NewGradient(mix *Mix) *Gradient { return &Gradient{mix: mix} }

// maxProfiles limits the cache of profiles.
const maxProfiles = 1 << 14

// Prepare notes the pool and drops what was worked out under an older mix.
func (f *Gradient) Prepare(pool *cache.Pool, perTask model.Resources) {
	f.pool, f.perTask = pool, perTask
	if f.profiles == nil || f.version != f.mix.Version() || len(f.profiles) > maxProfiles {
		f.profiles = make(map[model.Resources]*profile)
		f.version = f.mix.Version()
	}
	f.counts = f.counts[:0]
	for range pool.Racks {
		f.counts = append(f.counts, nil)
	}
}

// guaranteedWeight is the cost of an accelerator on which a guarantee lies, so that gangs
// borrow only where nothing else fits as well.
const guaranteedWeight = 0.25

// Cost is the cost of putting tasks at one site, as judged by that worker alone.
func (f *Gradient) Cost(site, tasks int) float64 {
	before, after := f.profileChange(site, tasks)
	cost := after.unusableSmooth - before.unusableSmooth + f.tiebreak(site, tasks)
	if f.perTask.Accelerators == 0 {
		cost += f.cpuOnlyLoss(site, tasks)
	}
	return cost
}

// cpuOnlyLoss is the rise in useless accelerators by tasks without accelerators, as if
// the worker had only such tasks.
func (f *Gradient) cpuOnlyLoss(site, tasks int) float64 {
	w := f.pool.Workers[site]
	before := cache.AtLeastZero(w.Capacity.Sub(w.UsedCPUOnly))
	after := cache.AtLeastZero(before.Sub(f.perTask.Times(tasks)))
	return f.profile(after).unusableSmooth - f.profile(before).unusableSmooth
}

// negligibleLoss is a rise in useless accelerators that counts as none.
const negligibleLoss = 1e-9

// PreferredTasks is the most tasks without accelerators for which every accelerator of the
// worker stays useful, once the gangs that use it now have left. Tasks with
// accelerators are filled to the brim.
func (f *Gradient) PreferredTasks(site, tasks int) int {
	if f.perTask.Accelerators > 0 {
		return tasks
	}
	low, high := 0, tasks
	for low < high {
		middle := (low + high + 1) / 2
		if f.cpuOnlyLoss(site, middle) <= negligibleLoss {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// Score is the rise in useless accelerators over the workers and racks touched.
func (f *Gradient) Score(c feasible.Candidate) float64 {
	sum := 0.0
	for from := 0; from < len(c); {
		to := f.endOfRack(c, from)
		sum += f.rackChange(c[from:to])
		from = to
	}
	for _, part := range c {
		before, after := f.profileChange(part.Site, part.Tasks)
		sum += after.unusableLocal - before.unusableLocal + f.tiebreak(part.Site, part.Tasks)
	}
	return sum
}

// endOfRack returns the end of the run of parts in the rack of the part at from.
func (f *Gradient) endOfRack(c feasible.Candidate, from int) int {
	rack := f.pool.Workers[c[from].Site].RackIndex
	to := from + 1
	for to < len(c) && f.pool.Workers[c[to].Site].RackIndex == rack {
		to++
	}
	return to
}

func (f *Gradient) profileChange(site, tasks int) (before, after *profile) {
	free := f.pool.Workers[site].Free()
	left := cache.AtLeastZero(free.Sub(f.perTask.Times(tasks)))
	return f.profile(free), f.profile(left)
}

// tiebreak prefers fuller workers, then workers that no guarantee lies on.
func (f *Gradient) tiebreak(site, tasks int) float64 {
	w := f.pool.Workers[site]
	left := w.Free().Accelerators - f.perTask.Accelerators*tasks
	lent := max(0, w.Guaranteed.Accelerators-max(left, 0))
	return 1e-3*float64(left) + guaranteedWeight*1e-2*float64(lent)
}

// rackChange is the rise in useless accelerators for shapes within a rack.
func (f *Gradient) rackChange(parts []feasible.Part) float64 {
	rack := f.pool.Workers[parts[0].Site].RackIndex
	counts := f.rackCounts(rack)
	sum := 0.0
	for i, share := range f.mix.Shares() {
		if share.Shape.Adjacency != model.AdjacencyRack {
			continue
		}
		lost, taken := 0, 0
		for _, part := range parts {
			before, after := f.profileChange(part.Site, part.Tasks)
			lost += before.tasks[i] - after.tasks[i]
			taken += f.perTask.Accelerators * part.Tasks
		}
		usable := usableAccelerators(counts[i], share.Shape) - usableAccelerators(counts[i]-lost, share.Shape)
		sum += share.Probability * float64(usable-taken)
	}
	return sum
}

// usableAccelerators is the number of accelerators that whole usableAccelerators of the shape can use when
// count of its tasks fit.
func usableAccelerators(count int, shape model.Shape) int {
	return count / shape.Tasks * shape.Tasks * shape.PerTask.Accelerators
}

// rackCounts returns how many tasks of each shape fit into a rack.
func (f *Gradient) rackCounts(rack int) []int {
	if f.counts[rack] != nil {
		return f.counts[rack]
	}
	counts := make([]int, len(f.mix.Shares()))
	sites := f.pool.Racks[rack]
	for site := sites.From; site < sites.To; site++ {
		for i, tasks := range f.profile(f.pool.Workers[site].Free()).tasks {
			counts[i] += tasks
		}
	}
	f.counts[rack] = counts
	return counts
}

func (f *Gradient) profile(free model.Resources) *profile {
	if known, ok := f.profiles[free]; ok {
		return known
	}
	p := f.computeProfile(free)
	f.profiles[free] = p
	return p
}

func (f *Gradient) computeProfile(free model.Resources) *profile {
	shares := f.mix.Shares()
	p := &profile{tasks: make([]int, len(shares))}
	for i, share := range shares {
		p.tasks[i] = share.Shape.PerTask.CountIn(free, maxTasksPerWorker)
		byTasks := free.Accelerators - p.tasks[i]*share.Shape.PerTask.Accelerators
		switch share.Shape.Adjacency {
		case model.AdjacencyWorker:
			useless := share.Probability * float64(free.Accelerators-usableAccelerators(p.tasks[i], share.Shape))
			p.unusableLocal += useless
			p.unusableSmooth += useless
		case model.AdjacencyZone:
			p.unusableLocal += share.Probability * float64(byTasks)
			p.unusableSmooth += share.Probability * float64(byTasks)
		case model.AdjacencyRack:
			p.unusableSmooth += share.Probability * float64(byTasks)
		}
	}
	return p
}

// maxTasksPerWorker is more tasks than fit on any worker.
const maxTasksPerWorker = 1 << 16

// Fragmentation returns the expected share of the pool's free accelerators that a
// job drawn from the mix can't use, 0 to 1.
func Fragmentation(pool *cache.Pool, shares []Share) float64 {
	free := 0
	for _, w := range pool.Workers {
		free += w.Free().Accelerators
	}
	if free == 0 {
		return 0
	}
	useless := 0.0
	for _, share := range shares {
		useless += share.Probability * float64(free-usableInPool(pool, share.Shape))
	}
	return useless / float64(free)
}

// usableInPool is the number of free accelerators that whole gangs of the shape can use.
func usableInPool(pool *cache.Pool, shape model.Shape) int {
	zone, sum := 0, 0
	for _, rack := range pool.Racks {
		count := 0
		for site := rack.From; site < rack.To; site++ {
			tasks := shape.PerTask.CountIn(pool.Workers[site].Free(), maxTasksPerWorker)
			if shape.Adjacency == model.AdjacencyWorker {
				sum += usableAccelerators(tasks, shape)
			}
			count += tasks
		}
		zone += count
		if shape.Adjacency == model.AdjacencyRack {
			sum += usableAccelerators(count, shape)
		}
	}
	if shape.Adjacency == model.AdjacencyZone {
		return usableAccelerators(zone, shape)
	}
	return sum
}
