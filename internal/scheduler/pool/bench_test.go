package pool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/pool"
)

// The planned size: workers of eight accelerators, twenty to a rack.
const (
	plannedWorkers = 1500
	plannedTasks   = 26_000
)

// planned returns a pool at the planned size. Tasks of a quarter of an accelerator's
// share of the other resources fill all but some of the workers.
func planned(freeWorkers int) *pool.Snapshot {
	s := &pool.Snapshot{Now: begin.Add(time.Hour), Guarantees: map[model.OrganisationID]int{}, Use: map[int]int{}, Peaks: map[int]int{0: 0, 1: 200, 2: 400}}
	for i := range 80 {
		s.Guarantees[model.OrganisationID(fmt.Sprintf("org%02d", i))] = 100
	}
	for i := range plannedWorkers {
		rack := fmt.Sprintf("r%d", i/20)
		s.Workers = append(s.Workers, pool.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%04d", i)), Rack: rack, Labels: []string{"a", rack},
			Capacity: model.Resources{Accelerators: 8, MilliCPU: 64000, MemoryMB: 128000},
			Free:     model.Resources{Accelerators: 8, MilliCPU: 64000, MemoryMB: 128000},
		})
	}
	each := model.Resources{MilliCPU: 3000, MemoryMB: 6000}
	for i := range plannedTasks {
		w := &s.Workers[i%(plannedWorkers-freeWorkers)]
		demand := each
		if w.Free.Accelerators > 0 {
			demand.Accelerators = 1
		}
		w.Free = w.Free.Sub(demand)
		run := &pool.Run{
			Piece: pool.PieceID(fmt.Sprintf("run%05d", i)), Organisation: model.OrganisationID(fmt.Sprintf("org%02d", i%80)),
			Priority: 1 + i%2, Accelerators: demand.Accelerators, On: []pool.Share{{Worker: w.ID, Room: demand}},
			Started: s.Now.Add(-time.Second), Stoppable: true, WorkRate: float64(i % 97),
		}
		w.Runs = append(w.Runs, run)
		s.Use[run.Priority] += run.Accelerators
	}
	return s
}

// report measures plans one by one and reports the 99th percentile.
func report(b *testing.B, plan func()) {
	var took []time.Duration
	for b.Loop() {
		begun := time.Now()
		plan()
		took = append(took, time.Since(begun))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
}

// BenchmarkPlacement places one gang of 16 whole workers within a rack at the planned size.
func BenchmarkPlacement(b *testing.B) {
	s := planned(100)
	p := piece("gang", 16, 8)
	p.SameRack, p.Priority = true, 1
	s.Waiting = []*pool.Piece{p}
	if len(pool.Plan(s)) != 1 {
		b.Fatal("the gang finds no place")
	}
	report(b, func() { pool.Plan(s) })
}

// BenchmarkReclaim frees a rack for a guaranteed gang at the planned size.
func BenchmarkReclaim(b *testing.B) {
	s := planned(0)
	p := piece("gang", 8, 8)
	p.SameRack, p.Priority, p.Organisation = true, 0, "org01"
	s.Waiting = []*pool.Piece{p}
	if placements := pool.Plan(s); len(placements) != 1 || len(placements[0].Evict) == 0 {
		b.Fatal("the gang gets no room")
	}
	report(b, func() { pool.Plan(s) })
}
