package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// victim is a run that may be stopped to free resources on a worker.
type victim struct {
	*Run
	cost float64
}

// taskCost is the cost of placing one more task on a worker.
type taskCost struct {
	cost     float64
	feasible bool
	// searchID names the search that computed the cost.
	searchID int
}

// eviction is the state of one search for runs to stop. Workers are named by index.
type eviction struct {
	planner *planner
	group   *TaskGroup
	// withinGuarantee task groups may evict any run that no guarantee covers; others only
	// runs of lower priority, and at a limited cost.
	withinGuarantee bool
	// free holds the free resources of workers that the search has changed.
	free   map[int]model.Resources
	chosen map[*Run]bool
	// searchID distinguishes the cached costs of this search from earlier ones.
	searchID      int
	chosenInOrder []*Run
	cost          float64
}

// findByEviction places the task group by stopping the runs with the least unsaved work that
// no guarantee covers. Their resources count as free from now on.
func (p *planner) findByEviction(group *TaskGroup, anyRack, withinGuarantee bool) ([]model.WorkerID, []TaskGroupID, bool) {
	if p.costs == nil {
		p.costs = make([]taskCost, len(p.workers))
		p.victims = make([][]victim, len(p.workers))
	}
	var best *eviction
	var bestWorkers []model.WorkerID
	maxCost := math.Inf(1)
	for _, candidates := range p.candidateSets(group, anyRack) {
		p.searchCount++
		e := &eviction{
			planner: p, group: group, withinGuarantee: withinGuarantee, searchID: p.searchCount,
			free: map[int]model.Resources{}, chosen: map[*Run]bool{},
		}
		workers, ok := e.placeTasks(candidates, maxCost)
		if ok && e.costAcceptable() {
			best, bestWorkers, maxCost = e, workers, e.cost
		}
	}
	if best == nil {
		return nil, nil, false
	}
	var evicted []TaskGroupID
	for _, run := range best.chosenInOrder {
		p.markEvicted(run)
		evicted = append(evicted, run.TaskGroup)
	}
	return bestWorkers, evicted, true
}

// candidateSets lists the sets of workers to search: each candidate rack, and all workers
// if any rack may be used or no candidate rack could hold the task group.
func (p *planner) candidateSets(group *TaskGroup, anyRack bool) [][]int {
	rackBound := group.SameRack || group.DataRack != ""
	var sets [][]int
	if rackBound && p.fitsOnCandidateRack(group) {
		for _, name := range p.candidateRacks(group) {
			sets = append(sets, p.racks[name])
		}
	}
	if anyRack || len(sets) == 0 {
		sets = append(sets, p.allWorkers())
	}
	return sets
}

// victimsOn lists the runs on a worker that may be stopped, the cheapest first.
func (p *planner) victimsOn(i int) []victim {
	if p.victims[i] != nil {
		return p.victims[i]
	}
	w := &p.workers[i]
	victims := p.newVictims(len(w.Runs))
	for _, run := range w.Runs {
		if run.Preemptible && (run.Priority > 0 || !p.guaranteed[run]) {
			victims = append(victims, victim{run, evictionCost(run, p.snapshot.Now)})
		}
	}
	slices.SortFunc(victims, func(a, b victim) int {
		if a.cost != b.cost {
			return cmp.Compare(a.cost, b.cost)
		}
		return cmp.Compare(a.TaskGroup, b.TaskGroup)
	})
	p.victims[i] = victims
	return victims
}

// slabSize is the number of victims allocated at a time.
const slabSize = 4096

// newVictims returns an empty list with the capacity, cut from the slab.
func (p *planner) newVictims(capacity int) []victim {
	if len(p.victimSlab) < capacity {
		p.victimSlab = make([]victim, max(slabSize, capacity))
	}
	list := p.victimSlab[:0:capacity]
	p.victimSlab = p.victimSlab[capacity:]
	return list
}

// markEvicted counts the resources of a run as free.
func (p *planner) markEvicted(run *Run) {
	p.evicted[run] = true
	for _, allocation := range run.Allocations {
		if i, ok := p.byID[allocation.Worker]; ok {
			p.workers[i].Free = p.workers[i].Free.Add(allocation.Resources)
		}
	}
}

// placeTasks places the tasks one by one, each where it costs least. It gives up once the
// cost reaches maxCost, the cost of the best solution so far.
func (e *eviction) placeTasks(candidates []int, maxCost float64) ([]model.WorkerID, bool) {
	used := map[int]int{}
	var workers []model.WorkerID
	for range e.group.Tasks {
		i, ok := e.evictCheapest(candidates, used)
		if !ok || e.cost >= maxCost {
			return nil, false
		}
		workers = append(workers, e.planner.workers[i].ID)
		used[i]++
		e.setFree(i, e.freeOn(i).Sub(e.group.Demand))
	}
	return workers, true
}

func (e *eviction) freeOn(i int) model.Resources {
	if free, ok := e.free[i]; ok {
		return free
	}
	return e.planner.workers[i].Free
}

// setFree sets the free resources of a worker and invalidates its cached cost.
func (e *eviction) setFree(i int, free model.Resources) {
	e.free[i] = free
	e.planner.costs[i] = taskCost{}
}

// evictCheapest picks the worker on which one more task costs least, and selects the
// victims there.
func (e *eviction) evictCheapest(candidates []int, used map[int]int) (int, bool) {
	var best taskCost
	bestIndex := 0
	for _, i := range candidates {
		w := &e.planner.workers[i]
		if !e.planner.allowed(e.group, w, true) || used[i] >= e.planner.maxTasksOn(e.group, w) {
			continue
		}
		c := &e.planner.costs[i]
		if c.searchID != e.searchID {
			_, cost, ok := e.victimsFor(i)
			*c = taskCost{cost: cost, feasible: ok, searchID: e.searchID}
		}
		if c.feasible && (!best.feasible || c.cost < best.cost) {
			best, bestIndex = *c, i
		}
	}
	if best.feasible {
		victims, _, _ := e.victimsFor(bestIndex)
		for _, v := range victims {
			e.selectVictim(v)
		}
	}
	return bestIndex, best.feasible
}

func (e *eviction) selectVictim(v victim) {
	e.chosen[v.Run] = true
	e.chosenInOrder = append(e.chosenInOrder, v.Run)
	e.cost += v.cost
	for _, allocation := range v.Allocations {
		if i, ok := e.planner.byID[allocation.Worker]; ok {
			e.setFree(i, e.freeOn(i).Add(allocation.Resources))
		}
	}
}

// victimsFor returns runs to stop so that one task fits on a worker, and their total cost.
// The list is valid until the next call.
func (e *eviction) victimsFor(i int) ([]victim, float64, bool) {
	chosen := e.planner.victimScratch[:0]
	id, free := e.planner.workers[i].ID, e.freeOn(i)
	if e.group.Demand.Fits(free) {
		return chosen, 0, true
	}
	for _, v := range e.planner.victimsOn(i) {
		if !e.mayEvict(v.Run) {
			continue
		}
		chosen = append(chosen, v)
		free = free.Add(v.allocatedOn(id))
		if e.group.Demand.Fits(free) {
			break
		}
	}
	e.planner.victimScratch = chosen
	if !e.group.Demand.Fits(free) {
		return nil, 0, false
	}
	chosen = dropUnneeded(chosen, id, free, e.group.Demand)
	cost := 0.0
	for _, v := range chosen {
		cost += v.cost
	}
	return chosen, cost, true
}

// dropUnneeded removes victims, the most expensive first, that need not be stopped because
// the others free enough on the worker. The victims are sorted by cost, and free includes
// the resources of all of them.
func dropUnneeded(victims []victim, id model.WorkerID, free, demand model.Resources) []victim {
	for i := len(victims) - 1; i >= 0; i-- {
		if remaining := free.Sub(victims[i].allocatedOn(id)); demand.Fits(remaining) {
			free = remaining
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// maxLostWorkShare limits the cost of the runs that are stopped for a task group outside a
// guarantee, as a share of the work of that task group.
const maxLostWorkShare = 0.15

func (e *eviction) costAcceptable() bool {
	return e.withinGuarantee || e.cost <= maxLostWorkShare*e.group.estimatedWork()
}

// estimatedWork is the estimated work of a task group in core-seconds.
func (g *TaskGroup) estimatedWork() float64 {
	return Cores(g.Demand) * float64(g.Tasks) * g.Estimate.Seconds()
}

func (e *eviction) mayEvict(run *Run) bool {
	if !e.withinGuarantee && run.Priority <= e.group.Priority {
		return false
	}
	// The length checks avoid map lookups: in most searches nothing is chosen yet.
	return !(len(e.planner.evicted) > 0 && e.planner.evicted[run]) && !(len(e.chosen) > 0 && e.chosen[run])
}

// urgentEvictionCost is added to the cost of stopping a run of priority 0, in
// core-seconds, so that runs of lower priority are stopped first.
const urgentEvictionCost = 1000

// baseEvictionCost is the cost of stopping and restarting any run, in core-seconds.
const baseEvictionCost = 5

func evictionCost(run *Run, now time.Time) float64 {
	cost := baseEvictionCost + run.UnsavedWork(now)
	if run.Priority == 0 {
		cost += urgentEvictionCost
	}
	return cost
}
