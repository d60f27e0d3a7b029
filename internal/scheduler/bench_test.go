package scheduler

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
)

// benchSize is the size of a pool for a benchmark.
type benchSize struct {
	workers        int
	tasksPerWorker int
}

func benchSizes() []benchSize {
	return []benchSize{{17, 8}, {170, 17}, {500, 17}, {1500, 9}, {1500, 12}, {1500, 17}}
}

func (s benchSize) String() string {
	return fmt.Sprintf("workers=%d/tasks=%d", s.workers, s.workers*s.tasksPerWorker)
}

// benchEngine returns an engine whose pool is nearly filled by borrowers, with tasks of
// one accelerator and small tasks without; one worker in 16 is half free.
func benchEngine(b testing.TB, size benchSize) *ZoneEngine {
	e := New(testZone, Options{})
	workers := testWorkers((size.workers+7)/8, 8)[:size.workers]
	for i := range workers {
		workers[i].Capacity = model.Resources{Accelerators: 8, MilliCPU: 96000, MemoryMB: 256 << 10}
	}
	e.SetWorkers(workers, epoch)
	for _, w := range workers {
		e.SetUsable(w.ID, true, epoch)
	}
	orgs := benchOrganisations(size)
	assignment, unmet := guarantee.Pack(workers, []model.AvailabilityZone{{ID: testZone}}, orgs)
	require.Empty(b, unmet)
	e.SetOrganisations(orgs, assignment[testZone])
	e.Decide(epoch)
	adoptTasks(e, workers, size)
	e.Decide(epoch)
	return e
}

func benchOrganisations(size benchSize) []model.Organisation {
	var orgs []model.Organisation
	for i := range 80 {
		org := model.Organisation{ID: model.OrganisationID(fmt.Sprintf("org%02d", i)), Weight: 1 + i%3}
		if i*16 < size.workers {
			org.Guarantees = []model.Guarantee{
				{Name: "whole", Shape: shape(8, 1, model.AdjacencyWorker), Count: 2},
				{Name: "rack", Shape: shape(4, 8, model.AdjacencyRack), Count: min(1, size.workers/170)},
			}
		}
		orgs = append(orgs, org)
	}
	return orgs
}

// adoptTasks fills the workers with running gangs of one task each.
func adoptTasks(e *ZoneEngine, workers []model.Worker, size benchSize) {
	rng := rand.New(rand.NewPCG(1, 2))
	n := 0
	for i, w := range workers {
		for t := 0; t < size.tasksPerWorker; t++ {
			if i%16 == 0 && t >= 4 {
				break
			}
			perTask := model.Resources{Accelerators: 1, MilliCPU: 5000, MemoryMB: 12 << 10}
			if t >= 8 {
				perTask = model.Resources{MilliCPU: 4000, MemoryMB: 8 << 10}
			}
			n++
			spec := normalJob(fmt.Sprintf("run%06d", n), model.OrganisationID(fmt.Sprintf("org%02d", 40+n%40)), model.Shape{Tasks: 1, PerTask: perTask, Adjacency: model.AdjacencyZone})
			spec.Checkpoint = rng.IntN(2) == 0
			accepted := epoch.Add(-time.Duration(rng.IntN(7200)) * time.Second)
			e.Adopt(spec, model.Placement{w.ID}, accepted, epoch)
		}
	}
}

// reportPercentiles reports the median and the 99th percentile in addition to the mean.
func reportPercentiles(b *testing.B, durations []time.Duration) {
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	b.ReportMetric(float64(durations[len(durations)/2].Nanoseconds()), "p50-ns")
	b.ReportMetric(float64(durations[len(durations)*99/100].Nanoseconds()), "p99-ns")
}

// BenchmarkPlacement places one gang and removes it again.
func BenchmarkPlacement(b *testing.B) {
	shapes := map[string]model.Shape{
		"small": shape(2, 1, model.AdjacencyWorker),
		"rack":  shape(4, 1, model.AdjacencyRack),
		"zone":  shape(16, 1, model.AdjacencyZone),
	}
	for _, name := range []string{"small", "rack", "zone"} {
		for _, size := range benchSizes() {
			b.Run(name+"/"+size.String(), func(b *testing.B) {
				benchmarkPlacement(b, benchEngine(b, size), shapes[name])
			})
		}
	}
}

func benchmarkPlacement(b *testing.B, e *ZoneEngine, s model.Shape) {
	b.ReportAllocs()
	durations := make([]time.Duration, 0, b.N)
	for i := 0; b.Loop(); i++ {
		spec := normalJob(fmt.Sprint("new", i), "guest", s)
		start := time.Now()
		e.Enqueue(spec, epoch, epoch)
		e.Decide(epoch)
		durations = append(durations, time.Since(start))
		e.Stopped(spec.ID, StoppedCancelled, false, nil, epoch)
		e.Cancel(spec.ID)
	}
	reportPercentiles(b, durations)
}

// BenchmarkReclaim finds a placement for a guaranteed shape that needs borrowers evicted,
// including the search for a free placement. The eviction isn't carried out, so that
// every round sees the same pool.
func BenchmarkReclaim(b *testing.B) {
	shapes := map[string]model.Shape{
		"worker": shape(8, 1, model.AdjacencyWorker),
		"rack":   shape(4, 8, model.AdjacencyRack),
	}
	for _, name := range []string{"worker", "rack"} {
		for _, size := range benchSizes() {
			if name == "rack" && size.workers < 170 {
				continue
			}
			b.Run(name+"/"+size.String(), func(b *testing.B) {
				benchmarkReclaim(b, benchEngine(b, size), shapes[name])
			})
		}
	}
}

func benchmarkReclaim(b *testing.B, e *ZoneEngine, s model.Shape) {
	b.ReportAllocs()
	durations := make([]time.Duration, 0, b.N)
	spec := normalJob("owner", "org00", s)
	spec.Priority = model.PriorityUrgent
	e.Enqueue(spec, epoch, epoch)
	for b.Loop() {
		start := time.Now()
		p, ok := e.findPlacement(e.gangs["owner"])
		durations = append(durations, time.Since(start))
		require.True(b, ok)
		require.NotEmpty(b, p.victims)
	}
	reportPercentiles(b, durations)
}
