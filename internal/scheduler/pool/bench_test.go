package pool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/pool"
)

// The size that the pool is designed for: workers with eight accelerators, twenty per rack.
const (
	fullSizeWorkers = 1500
	fullSizeTasks   = 26_000
)

// fullSizeSnapshot returns a pool of the full size. Small tasks, with at most one
// accelerator each, fill all but emptyWorkers of the workers.
func fullSizeSnapshot(emptyWorkers int) *pool.Snapshot {
	s := &pool.Snapshot{Now: begin.Add(time.Hour), Guarantees: map[model.OrganisationID]int{}, Usage: map[int]int{}, PeakUsage: map[int]int{0: 0, 1: 200, 2: 400}}
	for i := range 80 {
		s.Guarantees[model.OrganisationID(fmt.Sprintf("org%02d", i))] = 100
	}
	for i := range fullSizeWorkers {
		rack := fmt.Sprintf("r%d", i/20)
		s.Workers = append(s.Workers, pool.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%04d", i)), Rack: rack, Labels: []string{"a", rack},
			Capacity: model.Resources{Accelerators: 8, MilliCPU: 64000, MemoryMB: 128000},
			Free:     model.Resources{Accelerators: 8, MilliCPU: 64000, MemoryMB: 128000},
		})
	}
	base := model.Resources{MilliCPU: 3000, MemoryMB: 6000}
	for i := range fullSizeTasks {
		w := &s.Workers[i%(fullSizeWorkers-emptyWorkers)]
		demand := base
		if w.Free.Accelerators > 0 {
			demand.Accelerators = 1
		}
		w.Free = w.Free.Sub(demand)
		run := &pool.Run{
			TaskGroup: pool.TaskGroupID(fmt.Sprintf("run%05d", i)), Organisation: model.OrganisationID(fmt.Sprintf("org%02d", i%80)),
			Priority: 1 + i%2, Accelerators: demand.Accelerators, Allocations: []pool.Allocation{{Worker: w.ID, Resources: demand}},
			Started: s.Now.Add(-time.Second), Preemptible: true, WorkRate: float64(i % 97),
		}
		w.Runs = append(w.Runs, run)
		s.Usage[run.Priority] += run.Accelerators
	}
	return s
}

// measurePlans reports the 99th percentile of the time that a plan takes.
func measurePlans(b *testing.B, plan func()) {
	var durations []time.Duration
	for b.Loop() {
		started := time.Now()
		plan()
		durations = append(durations, time.Since(started))
	}
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds())/1000, "p99-ms")
}

// BenchmarkPlacement places one gang of 16 whole workers within a rack at full size.
func BenchmarkPlacement(b *testing.B) {
	s := fullSizeSnapshot(100)
	g := taskGroup("gang", 16, 8)
	g.SameRack, g.Priority = true, 1
	s.Waiting = []*pool.TaskGroup{g}
	if len(pool.Plan(s)) != 1 {
		b.Fatal("the gang was not placed")
	}
	measurePlans(b, func() { pool.Plan(s) })
}

// BenchmarkReclaim evicts runs from a rack for a guaranteed gang at full size.
func BenchmarkReclaim(b *testing.B) {
	s := fullSizeSnapshot(0)
	g := taskGroup("gang", 8, 8)
	g.SameRack, g.Priority, g.Organisation = true, 0, "org01"
	s.Waiting = []*pool.TaskGroup{g}
	if placements := pool.Plan(s); len(placements) != 1 || len(placements[0].Evict) == 0 {
		b.Fatal("the gang was not placed by eviction")
	}
	measurePlans(b, func() { pool.Plan(s) })
}
