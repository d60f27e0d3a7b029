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

func piece(id string, tasks, accelerators int) *pool.Piece {
	return &pool.Piece{
		ID: pool.PieceID(id), Organisation: "aso", Priority: 1, Tasks: tasks, Demand: resources(accelerators),
		Ready: begin, Objective: begin.Add(time.Minute), Remaining: 5 * time.Second, Estimate: 5 * time.Second,
		Class: id,
	}
}

// use books a run on workers of a snapshot.
func use(s *pool.Snapshot, run *pool.Run, each model.Resources, on ...model.WorkerID) {
	run.Stoppable = true
	for _, id := range on {
		run.Hold(id, each)
		run.Accelerators += each.Accelerators
		for i := range s.Workers {
			w := &s.Workers[i]
			if w.ID != id {
				continue
			}
			w.Free = w.Free.Sub(each)
			if !slices.Contains(w.Runs, run) {
				w.Runs = append(w.Runs, run)
			}
		}
	}
	if s.Use == nil {
		s.Use = map[int]int{}
	}
	s.Use[run.Priority] += run.Accelerators
	if run.Priority == 0 {
		s.Urgent = append(s.Urgent, run)
	}
}

// unsaved sets the work, in core-seconds, that a stop of the run throws away.
func unsaved(run *pool.Run, work float64) {
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

// Tasks of one step that are placed by the same plan count against the bound of tasks
// on one worker, like those that run there already.
func TestTasksOfOneStepShareTheBoundPerWorker(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1)}
	for i := range 8 {
		p := piece(fmt.Sprintf("job.0.0.%d", i), 1, 1)
		p.Class = "job.0.0"
		p.MaxPerWorker = 2
		p.OnWorker = map[model.WorkerID]int{"w0-0": 1}
		s.Waiting = append(s.Waiting, p)
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
	p := piece("gang", 6, 1)
	p.MaxPerWorker = 2
	p.OnWorker = map[model.WorkerID]int{}
	s.Waiting = []*pool.Piece{p}
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
	p := piece("gang", 4, 8)
	p.SameRack = true
	use(s, &pool.Run{Piece: "other", Priority: 1}, resources(4), "w0-0")
	s.Waiting = []*pool.Piece{p}
	placements := pool.Plan(s)
	require.Len(t, placements, 1)
	require.Len(t, racksOf(s, placements[0]), 1)
}

// A gang for one rack waits for a rack rather than run several times slower over
// two, until it has waited as long as it would run.
func TestGangWaitsForARackFirst(t *testing.T) {
	s := &pool.Snapshot{Now: begin.Add(time.Second), Workers: workers(2)}
	p := piece("gang", 4, 8)
	p.SameRack = true
	use(s, &pool.Run{Piece: "one", Priority: 1}, resources(1), "w0-0")
	use(s, &pool.Run{Piece: "two", Priority: 1}, resources(1), "w1-0")
	s.Waiting = []*pool.Piece{p}
	require.Empty(t, pool.Plan(s))
	s.Now = begin.Add(p.Estimate)
	placements := pool.Plan(s)
	require.Len(t, placements, 1)
	require.Len(t, racksOf(s, placements[0]), 2)
}

// A gang too large for any rack does not wait for one.
func TestGangLargerThanARackRunsOverSeveral(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(2)}
	p := piece("gang", 6, 8)
	p.SameRack = true
	s.Waiting = []*pool.Piece{p}
	require.Len(t, pool.Plan(s), 1)
}

func TestRequiredLabel(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1)}
	s.Workers[2].Labels = []string{"b", "r0"}
	p := piece("task", 1, 1)
	p.RequiredLabel = "b"
	s.Waiting = []*pool.Piece{p}
	placements := pool.Plan(s)
	require.Equal(t, []model.WorkerID{"w0-2"}, placements[0].Workers)
}

// Small tasks fill workers that are in use, so that whole workers stay free.
func TestSmallTasksLeaveWholeWorkersFree(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(2)}
	use(s, &pool.Run{Piece: "other", Priority: 1}, resources(3), "w1-2")
	for i := range 5 {
		s.Waiting = append(s.Waiting, piece(fmt.Sprintf("small%d", i), 1, 1))
	}
	for _, placement := range pool.Plan(s) {
		require.Equal(t, []model.WorkerID{"w1-2"}, placement.Workers)
	}
}

// full returns a pool whose workers all run tasks of other organisations, and the runs.
func full(priority int) (*pool.Snapshot, []*pool.Run) {
	return fullOf(priority, []model.OrganisationID{"genkai"})
}

// fullOf is like full; the first runs are of the organisations in their order.
func fullOf(priority int, organisations []model.OrganisationID) (*pool.Snapshot, []*pool.Run) {
	s := &pool.Snapshot{Now: begin, Workers: workers(2), Guarantees: map[model.OrganisationID]int{"aso": 16}}
	var runs []*pool.Run
	for i, w := range s.Workers {
		run := &pool.Run{
			Piece: pool.PieceID(fmt.Sprintf("borrower%d", i)), Priority: priority,
			Organisation: organisations[min(i, len(organisations)-1)],
		}
		unsaved(run, float64(100-10*i))
		use(s, run, resources(8), w.ID)
		runs = append(runs, run)
	}
	return s, runs
}

// A burst of urgent work within a guarantee takes its room back from the runs with the
// least unsaved work.
func TestGuaranteeTakesRoomBackWhereItCostsLeast(t *testing.T) {
	s, _ := full(2)
	p := piece("urgent", 2, 8)
	p.Priority = 0
	s.Waiting = []*pool.Piece{p}
	placements := pool.Plan(s)
	require.Len(t, placements, 1)
	require.ElementsMatch(t, []pool.PieceID{"borrower7", "borrower6"}, placements[0].Evict)
	require.ElementsMatch(t, []model.WorkerID{"w1-3", "w1-2"}, placements[0].Workers)
}

// Runs whose room is not needed go on: the largest run alone makes enough room, and the
// cheaper ones beside it are left.
func TestNoRunIsStoppedInVain(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1)[:1], Guarantees: map[model.OrganisationID]int{"aso": 16}}
	for i, accelerators := range []int{1, 1, 6} {
		run := &pool.Run{Piece: pool.PieceID(fmt.Sprintf("borrower%d", i)), Organisation: "genkai", Priority: 2}
		unsaved(run, float64(10*i))
		use(s, run, resources(accelerators), "w0-0")
	}
	p := piece("urgent", 1, 4)
	p.Priority = 0
	s.Waiting = []*pool.Piece{p}
	placements := pool.Plan(s)
	require.Len(t, placements, 1)
	require.Equal(t, []pool.PieceID{"borrower2"}, placements[0].Evict)
}

// A gang waits for a rack while a stream of small tasks could fill each worker as it comes
// free: they leave the rack that is nearest to free, and use the other.
func TestSmallTasksLeaveRoomToAGangThatWaits(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(8)}
	use(s, &pool.Run{Piece: "one", Priority: 1}, resources(8), "w0-0")
	use(s, &pool.Run{Piece: "two", Priority: 1}, resources(8), "w1-0", "w1-1")
	for _, w := range s.Workers[8:] {
		use(s, &pool.Run{Piece: pool.PieceID(w.ID), Priority: 1}, resources(8), w.ID)
	}
	waiting := piece("gang", 4, 8)
	waiting.SameRack = true
	s.Waiting = []*pool.Piece{waiting}
	for i := range 32 {
		p := piece(fmt.Sprintf("batch%02d", i), 1, 1)
		p.Priority, p.Class = 2, ""
		s.Waiting = append(s.Waiting, p)
	}
	placements := pool.Plan(s)
	require.Len(t, placements, 16)
	for _, placement := range placements {
		require.Contains(t, []model.WorkerID{"w1-2", "w1-3"}, placement.Workers[0])
	}
}

// A task for a whole worker waits: the worker nearest to free is drained for it.
func TestSmallTasksLeaveAWorkerToALargeTaskThatWaits(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(4)}
	for i, w := range s.Workers {
		use(s, &pool.Run{Piece: pool.PieceID(fmt.Sprintf("run%02d", i)), Priority: 1}, resources(6+min(i, 1)), w.ID)
	}
	s.Waiting = []*pool.Piece{piece("large", 1, 8)}
	for i := range 32 {
		p := piece(fmt.Sprintf("batch%02d", i), 1, 1)
		p.Priority, p.Class = 2, ""
		s.Waiting = append(s.Waiting, p)
	}
	placements := pool.Plan(s)
	require.Len(t, placements, 15)
	for _, placement := range placements {
		require.NotEqual(t, model.WorkerID("w0-0"), placement.Workers[0])
	}
}

// Work that is late already reserves nothing, and neither does more than a share of the pool.
func TestReservationsAreBounded(t *testing.T) {
	batch := func(s *pool.Snapshot) int {
		for i := range 64 {
			p := piece(fmt.Sprintf("batch%02d", i), 1, 1)
			p.Priority, p.Class = 2, ""
			s.Waiting = append(s.Waiting, p)
		}
		return len(pool.Plan(s))
	}
	s := &pool.Snapshot{Now: begin, Workers: workers(4)}
	for i, w := range s.Workers {
		use(s, &pool.Run{Piece: pool.PieceID(fmt.Sprintf("run%02d", i)), Priority: 1}, resources(7), w.ID)
	}
	late := piece("late", 1, 8)
	late.Objective = begin.Add(time.Second)
	s.Waiting = []*pool.Piece{late, piece("larger than the share", 3, 8)}
	require.Equal(t, 16, batch(s))
}

// Urgent work beyond the guarantee stops nothing that a guarantee of its own covers.
func TestCoveredRunsAreNotStopped(t *testing.T) {
	s, _ := full(0)
	s.Guarantees["genkai"] = 64
	p := piece("urgent", 1, 8)
	p.Priority = 0
	s.Waiting = []*pool.Piece{p}
	require.Empty(t, pool.Plan(s))
}

// Work beyond the guarantee waits; what the organisation runs already counts.
func TestBeyondTheGuaranteeNothingIsStopped(t *testing.T) {
	s, _ := fullOf(0, []model.OrganisationID{"aso", "aso", "genkai"})
	p := piece("urgent", 1, 8)
	p.Priority = 0
	s.Waiting = []*pool.Piece{p}
	require.Empty(t, pool.Plan(s))
}

// Under overload what can still be in time goes before what is late already.
func TestLateWorkGoesAfterWorkInTime(t *testing.T) {
	s := &pool.Snapshot{Now: begin.Add(20 * time.Second), Workers: workers(1)[:1]}
	late, inTime := piece("late", 1, 8), piece("in-time", 1, 8)
	late.Objective = begin.Add(10 * time.Second)
	inTime.Ready = begin.Add(19 * time.Second)
	s.Waiting = []*pool.Piece{late, inTime}
	placements := pool.Plan(s)
	require.Len(t, placements, 1)
	require.Equal(t, pool.PieceID("in-time"), placements[0].Piece)
}

// A burst of urgent work beyond the guarantee takes room from work of lower priority
// that loses little by it.
func TestUrgentBurstTakesRoomFromBatchWork(t *testing.T) {
	s, runs := full(2)
	for _, run := range runs {
		unsaved(run, 10)
	}
	p := piece("urgent", 2, 8)
	p.Priority, p.Organisation = 0, "sakurajima"
	s.Waiting = []*pool.Piece{p}
	placements := pool.Plan(s)
	require.Len(t, placements, 1)
	require.Len(t, placements[0].Evict, 2)
}

// No more work is thrown away than the piece is worth, and none for a late piece.
func TestBatchWorkIsNotThrownAwayInVain(t *testing.T) {
	s, runs := full(2)
	p := piece("urgent", 1, 8)
	p.Priority, p.Organisation = 0, "sakurajima"
	s.Waiting = []*pool.Piece{p}
	for _, run := range runs {
		unsaved(run, 1000)
	}
	require.Empty(t, pool.Plan(s))
	for _, run := range runs {
		unsaved(run, 10)
	}
	p.Objective = begin.Add(time.Second)
	require.Empty(t, pool.Plan(s))
}

// Batch work with time to spare leaves whole workers to urgent work that comes in
// bursts; when its time runs short it takes them.
func TestBatchWorkLeavesHeadroomForUrgentBursts(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(2), Peaks: map[int]int{2: 16}}
	for i := range 64 {
		p := piece(fmt.Sprintf("batch%02d", i), 1, 1)
		p.Priority, p.Class = 2, ""
		s.Waiting = append(s.Waiting, p)
	}
	require.Len(t, pool.Plan(s), 48)
	for _, p := range s.Waiting {
		p.Objective = begin.Add(6 * time.Second)
	}
	require.Len(t, pool.Plan(s), 64)
}

// What the headroom is for gets it.
func TestUrgentWorkUsesTheHeadroom(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1), Peaks: map[int]int{0: 0, 2: 32}}
	p := piece("urgent", 4, 8)
	p.Priority, p.SameRack = 0, true
	s.Waiting = []*pool.Piece{p}
	require.Len(t, pool.Plan(s), 1)
}

// Small tasks break up a rack that is in use already, so that a whole rack stays free.
func TestSmallTasksLeaveWholeRacksFree(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(2)}
	use(s, &pool.Run{Piece: "other", Priority: 1}, resources(8), "w1-2")
	s.Waiting = []*pool.Piece{piece("small", 1, 1)}
	placements := pool.Plan(s)
	require.Equal(t, map[string]bool{"r1": true}, racksOf(s, placements[0]))
}
