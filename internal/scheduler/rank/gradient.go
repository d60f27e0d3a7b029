package rank

import (
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
)

// Gradient scores a candidate by how many free accelerators it makes unusable for a job
// drawn from the mix. It extends the fragmentation gradient of Weng et al., "Beware of
// Fragmentation: Scheduling GPU-Sharing Workloads with Fragmentation Gradient Descent"
// (USENIX ATC 2023), from single workers to gangs: usable accelerators are counted by
// worker for a shape within a worker, by rack for one within a rack, and by the tasks
// that fit for one within a zone.
type Gradient struct {
	mix     *Mix
	pool    *cache.Pool
	perTask model.Resources
	// profiles caches the profile of each vector of free resources under the current mix.
	profiles map[model.Resources]*profile
	version  uint64
	// counts caches, for each rack, how many tasks of each shape fit.
	counts [][]int
}

// profile describes how jobs drawn from the mix can use a worker with given free resources.
type profile struct {
	// unusableLocal is the expected number of its accelerators that the next job can't
	// use, over shapes that are counted on the worker alone (within a worker or a zone).
	unusableLocal float64
	// unusableAllShapes is the same over all shapes, where shapes within a rack are counted
	// by the tasks that fit on the worker.
	unusableAllShapes float64
	// tasks is how many tasks of each shape of the mix fit.
	tasks []int
}

// NewGradient returns a ranker for the mix.
func NewGradient(mix *Mix) *Gradient { return &Gradient{mix: mix} }

// maxProfiles limits the cache of profiles.
const maxProfiles = 1 << 14

// Prepare stores the pool and discards what was computed under an older mix.
func (g *Gradient) Prepare(pool *cache.Pool, perTask model.Resources) {
	g.pool, g.perTask = pool, perTask
	if g.profiles == nil || g.version != g.mix.Version() || len(g.profiles) > maxProfiles {
		g.profiles = make(map[model.Resources]*profile)
		g.version = g.mix.Version()
	}
	g.counts = g.counts[:0]
	for range pool.Racks {
		g.counts = append(g.counts, nil)
	}
}

// lentWeight is the weight, in the tie-break, of an accelerator lent out from a
// guarantee, so that gangs borrow only where nothing else fits as well.
const lentWeight = 0.25

// Cost is the cost of placing tasks at one site, computed from that worker alone.
func (g *Gradient) Cost(site, tasks int) float64 {
	before, after := g.profileChange(site, tasks)
	cost := after.unusableAllShapes - before.unusableAllShapes + g.tiebreak(site, tasks)
	if g.perTask.Accelerators == 0 {
		cost += g.cpuOnlyLoss(site, tasks)
	}
	return cost
}

// cpuOnlyLoss is the increase in unusable accelerators caused by tasks without
// accelerators, as if the worker ran only such tasks.
func (g *Gradient) cpuOnlyLoss(site, tasks int) float64 {
	w := g.pool.Workers[site]
	before := cache.AtLeastZero(w.Capacity.Sub(w.UsedCPUOnly))
	after := cache.AtLeastZero(before.Sub(g.perTask.Times(tasks)))
	return g.profile(after).unusableAllShapes - g.profile(before).unusableAllShapes
}

// negligibleLoss is an increase in unusable accelerators that counts as zero.
const negligibleLoss = 1e-9

// PreferredTasks is how many tasks without accelerators fit so that every accelerator of
// the worker stays usable once the gangs that use it now have finished. For tasks with
// accelerators it is every task: sites are filled completely.
func (g *Gradient) PreferredTasks(site, tasks int) int {
	if g.perTask.Accelerators > 0 {
		return tasks
	}
	low, high := 0, tasks
	for low < high {
		middle := (low + high + 1) / 2
		if g.cpuOnlyLoss(site, middle) <= negligibleLoss {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// Score is the increase in unusable accelerators over the workers and racks of the candidate.
func (g *Gradient) Score(c feasible.Candidate) float64 {
	sum := 0.0
	for from := 0; from < len(c); {
		to := g.endOfRack(c, from)
		sum += g.rackChange(c[from:to])
		from = to
	}
	for _, part := range c {
		before, after := g.profileChange(part.Site, part.Tasks)
		sum += after.unusableLocal - before.unusableLocal + g.tiebreak(part.Site, part.Tasks)
	}
	return sum
}

// endOfRack returns the index after the last consecutive part in the same rack as from.
func (g *Gradient) endOfRack(c feasible.Candidate, from int) int {
	rack := g.pool.Workers[c[from].Site].RackIndex
	to := from + 1
	for to < len(c) && g.pool.Workers[c[to].Site].RackIndex == rack {
		to++
	}
	return to
}

// profileChange returns the profiles of a worker before and after placing the tasks.
func (g *Gradient) profileChange(site, tasks int) (before, after *profile) {
	free := g.pool.Workers[site].Free()
	left := cache.AtLeastZero(free.Sub(g.perTask.Times(tasks)))
	return g.profile(free), g.profile(left)
}

// tiebreak is a small cost for accelerators that stay free on the worker and for those
// that are lent out from guarantees.
func (g *Gradient) tiebreak(site, tasks int) float64 {
	w := g.pool.Workers[site]
	left := w.Free().Accelerators - g.perTask.Accelerators*tasks
	lent := max(0, w.Guaranteed.Accelerators-max(left, 0))
	return 1e-3*float64(left) + lentWeight*1e-2*float64(lent)
}

// rackChange is the increase in unusable accelerators for shapes within a rack.
func (g *Gradient) rackChange(parts []feasible.Part) float64 {
	rack := g.pool.Workers[parts[0].Site].RackIndex
	counts := g.rackCounts(rack)
	sum := 0.0
	for i, share := range g.mix.Shares() {
		if share.Shape.Adjacency != model.AdjacencyRack {
			continue
		}
		lostTasks, taken := 0, 0
		for _, part := range parts {
			before, after := g.profileChange(part.Site, part.Tasks)
			lostTasks += before.tasks[i] - after.tasks[i]
			taken += g.perTask.Accelerators * part.Tasks
		}
		lost := usableAccelerators(counts[i], share.Shape) - usableAccelerators(counts[i]-lostTasks, share.Shape)
		sum += share.Probability * float64(lost-taken)
	}
	return sum
}

// usableAccelerators is the number of accelerators that whole gangs of the shape can use
// when count of its tasks fit.
func usableAccelerators(count int, shape model.Shape) int {
	return count / shape.Tasks * shape.Tasks * shape.PerTask.Accelerators
}

// rackCounts returns how many tasks of each shape fit into a rack.
func (g *Gradient) rackCounts(rack int) []int {
	if g.counts[rack] != nil {
		return g.counts[rack]
	}
	counts := make([]int, len(g.mix.Shares()))
	sites := g.pool.Racks[rack]
	for site := sites.From; site < sites.To; site++ {
		for i, tasks := range g.profile(g.pool.Workers[site].Free()).tasks {
			counts[i] += tasks
		}
	}
	g.counts[rack] = counts
	return counts
}

func (g *Gradient) profile(free model.Resources) *profile {
	if known, ok := g.profiles[free]; ok {
		return known
	}
	p := g.computeProfile(free)
	g.profiles[free] = p
	return p
}

func (g *Gradient) computeProfile(free model.Resources) *profile {
	shares := g.mix.Shares()
	p := &profile{tasks: make([]int, len(shares))}
	for i, share := range shares {
		p.tasks[i] = share.Shape.PerTask.CountIn(free, maxTasksPerWorker)
		unusableByTasks := free.Accelerators - p.tasks[i]*share.Shape.PerTask.Accelerators
		switch share.Shape.Adjacency {
		case model.AdjacencyWorker:
			unusable := share.Probability * float64(free.Accelerators-usableAccelerators(p.tasks[i], share.Shape))
			p.unusableLocal += unusable
			p.unusableAllShapes += unusable
		case model.AdjacencyZone:
			p.unusableLocal += share.Probability * float64(unusableByTasks)
			p.unusableAllShapes += share.Probability * float64(unusableByTasks)
		case model.AdjacencyRack:
			p.unusableAllShapes += share.Probability * float64(unusableByTasks)
		}
	}
	return p
}

// maxTasksPerWorker is an upper bound for the tasks that fit on any worker.
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
	unusable := 0.0
	for _, share := range shares {
		unusable += share.Probability * float64(free-usableInPool(pool, share.Shape))
	}
	return unusable / float64(free)
}

// usableInPool is the number of free accelerators that whole gangs of the shape can use.
func usableInPool(pool *cache.Pool, shape model.Shape) int {
	inZone, sum := 0, 0
	for _, rack := range pool.Racks {
		inRack := 0
		for site := rack.From; site < rack.To; site++ {
			tasks := shape.PerTask.CountIn(pool.Workers[site].Free(), maxTasksPerWorker)
			if shape.Adjacency == model.AdjacencyWorker {
				sum += usableAccelerators(tasks, shape)
			}
			inRack += tasks
		}
		inZone += inRack
		if shape.Adjacency == model.AdjacencyRack {
			sum += usableAccelerators(inRack, shape)
		}
	}
	if shape.Adjacency == model.AdjacencyZone {
		return usableAccelerators(inZone, shape)
	}
	return sum
}
