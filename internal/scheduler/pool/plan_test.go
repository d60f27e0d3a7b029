package pool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/pool"
)

var begin = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func resources(accelerators int) model.Resources {
	return model.Resources{Accelerators: accelerators, MilliCPU: int64(accelerators) * 1000, MemoryMB: int64(accelerators) * 1000}
}

// workers returns racks of four workers with eight accelerators each.
func workers(racks int) []pool.Worker {
	var list []pool.Worker
	for rack := range racks {
		for i := range 4 {
			list = append(list, pool.Worker{
				ID:       model.WorkerID(fmt.Sprintf("w%d-%d", rack, i)),
				Rack:     fmt.Sprintf("r%d", rack),
				Labels:   []string{"a", fmt.Sprintf("r%d", rack)},
				Capacity: resources(8),
				Free:     resources(8),
			})
		}
	}
	return list
}

func taskGroup(id string, tasks, accelerators int) *pool.TaskGroup {
	return &pool.TaskGroup{
		ID: pool.TaskGroupID(id), Organisation: "aso", Priority: 1, Tasks: tasks, Demand: resources(accelerators),
		ReadySince: begin, Objective: begin.Add(time.Minute), Remaining: 5 * time.Second, Estimate: 5 * time.Second,
		Step: id,
	}
}

// addRun adds a run to a snapshot, with the given resources on each of the workers.
func addRun(s *pool.Snapshot, run *pool.Run, resourcesPerWorker model.Resources, workerIDs ...model.WorkerID) {
	run.Preemptible = true
	for _, id := range workerIDs {
		run.Allocate(id, resourcesPerWorker)
		run.Accelerators += resourcesPerWorker.Accelerators
		for i := range s.Workers {
			w := &s.Workers[i]
			if w.ID != id {
				continue
			}
			w.Free = w.Free.Sub(resourcesPerWorker)
			if !slices.Contains(w.Runs, run) {
				w.Runs = append(w.Runs, run)
			}
		}
	}
	if s.Usage == nil {
		s.Usage = map[int]int{}
	}
	s.Usage[run.Priority] += run.Accelerators
	if run.Priority == 0 {
		s.Urgent = append(s.Urgent, run)
	}
}

// setUnsavedWork sets the work, in core-seconds, that is lost if the run is stopped.
func setUnsavedWork(run *pool.Run, work float64) {
	run.Started, run.WorkRate = begin.Add(-time.Second), work
}

func racksOf(s *pool.Snapshot, placement pool.Placement) map[string]bool {
	racks := map[string]bool{}
	for _, id := range placement.Workers {
		for _, w := range s.Workers {
			if w.ID == id {
				racks[w.Rack] = true
			}
		}
	}
	return racks
}

// Tasks of one step that are placed by the same plan count towards the limit of tasks per
// worker, as do those that already run there.
func TestTasksOfOneStepShareTheLimitPerWorker(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1)}
	for i := range 8 {
		g := taskGroup(fmt.Sprintf("job.0.0.%d", i), 1, 1)
		g.Step = "job.0.0"
		g.MaxPerWorker = 2
		g.TasksOnWorker = map[model.WorkerID]int{"w0-0": 1}
		s.Waiting = append(s.Waiting, g)
	}
	count := map[model.WorkerID]int{"w0-0": 1}
	for _, placement := range pool.Plan(s) {
		for _, id := range placement.Workers {
			count[id]++
		}
	}
	require.Equal(t, map[model.WorkerID]int{"w0-0": 2, "w0-1": 2, "w0-2": 2, "w0-3": 2}, count)
}

func TestGangBoundPerWorker(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1)}
	g := taskGroup("gang", 6, 1)
	g.MaxPerWorker = 2
	g.TasksOnWorker = map[model.WorkerID]int{}
	s.Waiting = []*pool.TaskGroup{g}
	placements := pool.Plan(s)
	require.Len(t, placements, 1)
	count := map[model.WorkerID]int{}
	for _, id := range placements[0].Workers {
		count[id]++
		require.LessOrEqual(t, count[id], 2)
	}
}

func TestGangOnOneRack(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(3)}
	g := taskGroup("gang", 4, 8)
	g.SameRack = true
	addRun(s, &pool.Run{TaskGroup: "other", Priority: 1}, resources(4), "w0-0")
	s.Waiting = []*pool.TaskGroup{g}
	placements := pool.Plan(s)
	require.Len(t, placements, 1)
	require.Len(t, racksOf(s, placements[0]), 1)
}

// A gang with SameRack waits for a rack rather than run several times slower across two,
// until it has waited as long as its estimated run time.
func TestGangWaitsForARackFirst(t *testing.T) {
	s := &pool.Snapshot{Now: begin.Add(time.Second), Workers: workers(2)}
	g := taskGroup("gang", 4, 8)
	g.SameRack = true
	addRun(s, &pool.Run{TaskGroup: "one", Priority: 1}, resources(1), "w0-0")
	addRun(s, &pool.Run{TaskGroup: "two", Priority: 1}, resources(1), "w1-0")
	s.Waiting = []*pool.TaskGroup{g}
	require.Empty(t, pool.Plan(s))
	s.Now = begin.Add(g.Estimate)
	placements := pool.Plan(s)
	require.Len(t, placements, 1)
	require.Len(t, racksOf(s, placements[0]), 2)
}

// A gang larger than any rack does not wait for one.
func TestGangLargerThanARackRunsOverSeveral(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(2)}
	g := taskGroup("gang", 6, 8)
	g.SameRack = true
	s.Waiting = []*pool.TaskGroup{g}
	require.Len(t, pool.Plan(s), 1)
}

func TestRequiredLabel(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1)}
	s.Workers[2].Labels = []string{"b", "r0"}
	g := taskGroup("task", 1, 1)
	g.RequiredLabel = "b"
	s.Waiting = []*pool.TaskGroup{g}
	placements := pool.Plan(s)
	require.Equal(t, []model.WorkerID{"w0-2"}, placements[0].Workers)
}

// Small tasks go to workers that are already in use, so that whole workers stay free.
func TestSmallTasksLeaveWholeWorkersFree(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(2)}
	addRun(s, &pool.Run{TaskGroup: "other", Priority: 1}, resources(3), "w1-2")
	for i := range 5 {
		s.Waiting = append(s.Waiting, taskGroup(fmt.Sprintf("small%d", i), 1, 1))
	}
	for _, placement := range pool.Plan(s) {
		require.Equal(t, []model.WorkerID{"w1-2"}, placement.Workers)
	}
}

// fullPool returns a pool whose workers all run tasks of other organisations, and the runs.
func fullPool(priority int) (*pool.Snapshot, []*pool.Run) {
	return fullPoolOf(priority, []model.OrganisationID{"genkai"})
}

// fullPoolOf is like fullPool, but takes the organisations of the runs in order; the last
// one has all the remaining runs.
func fullPoolOf(priority int, organisations []model.OrganisationID) (*pool.Snapshot, []*pool.Run) {
	s := &pool.Snapshot{Now: begin, Workers: workers(2), Guarantees: map[model.OrganisationID]int{"aso": 16}}
	var runs []*pool.Run
	for i, w := range s.Workers {
		run := &pool.Run{
			TaskGroup: pool.TaskGroupID(fmt.Sprintf("borrower%d", i)), Priority: priority,
			Organisation: organisations[min(i, len(organisations)-1)],
		}
		setUnsavedWork(run, float64(100-10*i))
		addRun(s, run, resources(8), w.ID)
		runs = append(runs, run)
	}
	return s, runs
}

// Urgent work within a guarantee evicts the runs with the least unsaved work.
func TestGuaranteeEvictsTheCheapestRuns(t *testing.T) {
	s, _ := fullPool(2)
	g := taskGroup("urgent", 2, 8)
	g.Priority = 0
	s.Waiting = []*pool.TaskGroup{g}
	placements := pool.Plan(s)
	require.Len(t, placements, 1)
	require.ElementsMatch(t, []pool.TaskGroupID{"borrower7", "borrower6"}, placements[0].Evict)
	require.ElementsMatch(t, []model.WorkerID{"w1-3", "w1-2"}, placements[0].Workers)
}

// Stopping the largest run alone frees enough, so that the cheaper runs on the same worker
// are not stopped as well.
func TestNoRunIsStoppedUnnecessarily(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1)[:1], Guarantees: map[model.OrganisationID]int{"aso": 16}}
	for i, accelerators := range []int{1, 1, 6} {
		run := &pool.Run{TaskGroup: pool.TaskGroupID(fmt.Sprintf("borrower%d", i)), Organisation: "genkai", Priority: 2}
		setUnsavedWork(run, float64(10*i))
		addRun(s, run, resources(accelerators), "w0-0")
	}
	g := taskGroup("urgent", 1, 4)
	g.Priority = 0
	s.Waiting = []*pool.TaskGroup{g}
	placements := pool.Plan(s)
	require.Len(t, placements, 1)
	require.Equal(t, []pool.TaskGroupID{"borrower2"}, placements[0].Evict)
}

// While a gang waits for a rack, small tasks don't take the workers that become free on the
// rack with the most free slots; they use another rack.
func TestSmallTasksLeaveReservationsToAWaitingGang(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(8)}
	addRun(s, &pool.Run{TaskGroup: "one", Priority: 1}, resources(8), "w0-0")
	addRun(s, &pool.Run{TaskGroup: "two", Priority: 1}, resources(8), "w1-0", "w1-1")
	for _, w := range s.Workers[8:] {
		addRun(s, &pool.Run{TaskGroup: pool.TaskGroupID(w.ID), Priority: 1}, resources(8), w.ID)
	}
	waiting := taskGroup("gang", 4, 8)
	waiting.SameRack = true
	s.Waiting = []*pool.TaskGroup{waiting}
	for i := range 32 {
		g := taskGroup(fmt.Sprintf("batch%02d", i), 1, 1)
		g.Priority, g.Step = 2, ""
		s.Waiting = append(s.Waiting, g)
	}
	placements := pool.Plan(s)
	require.Len(t, placements, 16)
	for _, placement := range placements {
		require.Contains(t, []model.WorkerID{"w1-2", "w1-3"}, placement.Workers[0])
	}
}

// While a task that needs a whole worker waits, the worker with the most free resources is
// drained for it.
func TestSmallTasksLeaveAReservedWorkerToALargeTask(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(4)}
	for i, w := range s.Workers {
		addRun(s, &pool.Run{TaskGroup: pool.TaskGroupID(fmt.Sprintf("run%02d", i)), Priority: 1}, resources(6+min(i, 1)), w.ID)
	}
	s.Waiting = []*pool.TaskGroup{taskGroup("large", 1, 8)}
	for i := range 32 {
		g := taskGroup(fmt.Sprintf("batch%02d", i), 1, 1)
		g.Priority, g.Step = 2, ""
		s.Waiting = append(s.Waiting, g)
	}
	placements := pool.Plan(s)
	require.Len(t, placements, 15)
	for _, placement := range placements {
		require.NotEqual(t, model.WorkerID("w0-0"), placement.Workers[0])
	}
}

// Late work reserves nothing, and neither does a task group that needs more than the share of
// the pool that may be reserved.
func TestReservationsAreBounded(t *testing.T) {
	batch := func(s *pool.Snapshot) int {
		for i := range 64 {
			g := taskGroup(fmt.Sprintf("batch%02d", i), 1, 1)
			g.Priority, g.Step = 2, ""
			s.Waiting = append(s.Waiting, g)
		}
		return len(pool.Plan(s))
	}
	s := &pool.Snapshot{Now: begin, Workers: workers(4)}
	for i, w := range s.Workers {
		addRun(s, &pool.Run{TaskGroup: pool.TaskGroupID(fmt.Sprintf("run%02d", i)), Priority: 1}, resources(7), w.ID)
	}
	late := taskGroup("late", 1, 8)
	late.Objective = begin.Add(time.Second)
	s.Waiting = []*pool.TaskGroup{late, taskGroup("larger than the share", 3, 8)}
	require.Equal(t, 16, batch(s))
}

// Urgent work beyond its guarantee does not evict runs that another guarantee covers.
func TestGuaranteedRunsAreNotStopped(t *testing.T) {
	s, _ := fullPool(0)
	s.Guarantees["genkai"] = 64
	g := taskGroup("urgent", 1, 8)
	g.Priority = 0
	s.Waiting = []*pool.TaskGroup{g}
	require.Empty(t, pool.Plan(s))
}

// Running urgent work of the organisation counts towards its guarantee, and work beyond
// the guarantee waits.
func TestBeyondTheGuaranteeNothingIsStopped(t *testing.T) {
	s, _ := fullPoolOf(0, []model.OrganisationID{"aso", "aso", "genkai"})
	g := taskGroup("urgent", 1, 8)
	g.Priority = 0
	s.Waiting = []*pool.TaskGroup{g}
	require.Empty(t, pool.Plan(s))
}

// Under overload, work that can still meet its objective goes before late work.
func TestLateWorkGoesAfterWorkInTime(t *testing.T) {
	s := &pool.Snapshot{Now: begin.Add(20 * time.Second), Workers: workers(1)[:1]}
	late, inTime := taskGroup("late", 1, 8), taskGroup("in-time", 1, 8)
	late.Objective = begin.Add(10 * time.Second)
	inTime.ReadySince = begin.Add(19 * time.Second)
	s.Waiting = []*pool.TaskGroup{late, inTime}
	placements := pool.Plan(s)
	require.Len(t, placements, 1)
	require.Equal(t, pool.TaskGroupID("in-time"), placements[0].TaskGroup)
}

// Urgent work beyond a guarantee evicts work of lower priority that loses little by it.
func TestUrgentBurstEvictsBatchWork(t *testing.T) {
	s, runs := fullPool(2)
	for _, run := range runs {
		setUnsavedWork(run, 10)
	}
	g := taskGroup("urgent", 2, 8)
	g.Priority, g.Organisation = 0, "sakurajima"
	s.Waiting = []*pool.TaskGroup{g}
	placements := pool.Plan(s)
	require.Len(t, placements, 1)
	require.Len(t, placements[0].Evict, 2)
}

// The work lost by evictions is limited by the work of the task group. A late task group
// evicts nothing, unless it is urgent: then the same limit holds.
func TestWorkLostByEvictionIsLimited(t *testing.T) {
	s, runs := fullPool(2)
	g := taskGroup("urgent", 1, 8)
	g.Priority, g.Organisation = 0, "sakurajima"
	s.Waiting = []*pool.TaskGroup{g}
	for _, run := range runs {
		setUnsavedWork(run, 1000)
	}
	require.Empty(t, pool.Plan(s))
	for _, run := range runs {
		setUnsavedWork(run, 10)
	}
	g.Objective = begin.Add(time.Second)
	g.Priority = 1
	require.Empty(t, pool.Plan(s))
	g.Priority = 0
	require.Len(t, pool.Plan(s), 1)
	for _, run := range runs {
		setUnsavedWork(run, 1000)
	}
	require.Empty(t, pool.Plan(s))
}

// Overload by urgent gangs beyond the guarantee, some of them late already, beside small batch
// tasks that take every accelerator that becomes free: three workers stay reserved for the
// late gang, so that it starts before the batch work is done.
func TestLateUrgentGangIsNotStarvedByBatchTasks(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(8)}
	for _, w := range s.Workers {
		run := &pool.Run{TaskGroup: pool.TaskGroupID(w.ID), Priority: 1}
		setUnsavedWork(run, 1000)
		addRun(s, run, resources(7), w.ID)
	}
	gang := taskGroup("urgent", 3, 8)
	gang.Priority, gang.SameRack, gang.Objective = 0, true, begin.Add(time.Second)
	s.Waiting = []*pool.TaskGroup{gang}
	for i := range 64 {
		g := taskGroup(fmt.Sprintf("batch%02d", i), 1, 1)
		g.Priority, g.Step = 2, ""
		s.Waiting = append(s.Waiting, g)
	}
	require.Len(t, pool.Plan(s), len(s.Workers)-gang.Tasks)
}

// Batch work with slack leaves whole workers free for bursts of urgent work; without slack
// it uses them.
func TestBatchWorkLeavesHeadroomForUrgentBursts(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(2), PeakUsage: map[int]int{2: 16}}
	for i := range 64 {
		g := taskGroup(fmt.Sprintf("batch%02d", i), 1, 1)
		g.Priority, g.Step = 2, ""
		s.Waiting = append(s.Waiting, g)
	}
	require.Len(t, pool.Plan(s), 48)
	for _, g := range s.Waiting {
		g.Objective = begin.Add(6 * time.Second)
	}
	require.Len(t, pool.Plan(s), 64)
}

// The headroom is available to urgent work.
func TestUrgentWorkUsesTheHeadroom(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1), PeakUsage: map[int]int{0: 0, 2: 32}}
	g := taskGroup("urgent", 4, 8)
	g.Priority, g.SameRack = 0, true
	s.Waiting = []*pool.TaskGroup{g}
	require.Len(t, pool.Plan(s), 1)
}

// Small tasks go to a rack that is already in use, so that a whole rack stays free.
func TestSmallTasksLeaveWholeRacksFree(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(2)}
	addRun(s, &pool.Run{TaskGroup: "other", Priority: 1}, resources(8), "w1-2")
	s.Waiting = []*pool.TaskGroup{taskGroup("small", 1, 1)}
	placements := pool.Plan(s)
	require.Equal(t, map[string]bool{"r1": true}, racksOf(s, placements[0]))
}

// batchBeside adds 128 batch tasks of lower priority to the snapshot and returns how many are placed.
func batchBeside(s *pool.Snapshot) int {
	for i := range 128 {
		g := taskGroup(fmt.Sprintf("batch%03d", i), 1, 1)
		g.Priority, g.Step = 2, ""
		s.Waiting = append(s.Waiting, g)
	}
	return len(pool.Plan(s))
}

// Guards against a gang that can never be placed, beside runs that only end when they are cancelled, and
// keeps all free resources from work of lower priority (review/7).
func TestGangThatCanNeverFitReservesNothing(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(4)}
	for i, w := range s.Workers {
		run := &pool.Run{TaskGroup: pool.TaskGroupID(fmt.Sprintf("lasting%02d", i)), LongRunning: true}
		addRun(s, run, resources(1), w.ID)
		run.Preemptible = false
	}
	for _, tasks := range []int{2, 16} {
		gang := taskGroup("gang", tasks, 0)
		gang.Priority, gang.Demand = 0, model.Resources{MilliCPU: 8000, MemoryMB: 8000}
		s.Waiting = []*pool.TaskGroup{gang}
		require.Equal(t, 16*7, batchBeside(s))
	}
}

// Guards against reservations beyond their share of the pool: a task group that asks for few accelerators,
// and much of something else, withholds whole workers.
func TestReservationsAreBoundedByWhatTheyWithhold(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(4)}
	for i, w := range s.Workers {
		addRun(s, &pool.Run{TaskGroup: pool.TaskGroupID(fmt.Sprintf("run%02d", i)), Priority: 1}, resources(1), w.ID)
	}
	gang := taskGroup("gang", 16, 0)
	gang.Demand = model.Resources{MilliCPU: 8000, MemoryMB: 8000}
	s.Waiting = []*pool.TaskGroup{gang}
	// 2 of 16 workers are within the share.
	require.Equal(t, 14*7, batchBeside(s))
}
