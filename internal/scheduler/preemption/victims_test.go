package preemption

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chervilrun/chervilrun/internal/model"
	_ "github.com/chervilrun/chervilrun/internal/rapidseed" // fixes the seed
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
)

// fullWorker returns a worker without free accelerators and the costs of its gangs.
func fullWorker(draw func(n int) int) (*cache.Worker, map[*cache.Gang]float64) {
	w := &cache.Worker{Capacity: model.Resources{Accelerators: 8, MilliCPU: 64000}}
	costs := make(map[*cache.Gang]float64)
	for free := 8; free > 0; {
		n := 1 + draw(min(free, 4))
		g := &cache.Gang{
			Spec:  model.JobSpec{ID: model.JobID(fmt.Sprint(free)), Repeatable: true},
			Shape: model.Shape{Tasks: n, PerTask: model.Resources{Accelerators: 1, MilliCPU: int64(1000 * (1 + draw(8)))}},
			State: cache.Running,
		}
		g.Parts = []cache.Part{{Worker: w, Tasks: n}}
		w.Place(g, n)
		costs[g] = float64(1 + draw(100)*n)
		free -= n
	}
	return w, costs
}

func selector(costs map[*cache.Gang]float64) *Selector {
	return &Selector{
		Cost:    func(g *cache.Gang) float64 { return costs[g] },
		Allowed: (*cache.Gang).Evictable,
	}
}

// cheapest returns the cost of the cheapest of all subsets of the gangs that frees the need.
func cheapest(need Need, costs map[*cache.Gang]float64) float64 {
	gangs := need.Worker.Gangs
	best := math.Inf(1)
	for set := range 1 << len(gangs) {
		free := need.Worker.Capacity.Sub(need.Worker.Used)
		cost := 0.0
		for i, g := range gangs {
			if set&(1<<i) != 0 {
				free = free.Add(g.Total())
				cost += costs[g]
			}
		}
		if need.Amount.Fits(free) {
			best = min(best, cost)
		}
	}
	return best
}

func TestVictimsFreeTheAmountAndNoneIsRedundant(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w, costs := fullWorker(func(n int) int { return rapid.IntRange(0, n-1).Draw(r, "n") })
		need := Need{w, model.Resources{Accelerators: rapid.IntRange(1, 8).Draw(r, "need"), MilliCPU: 4000}}
		victims, cost, ok := selector(costs).Select([]Need{need}, math.Inf(1))
		require.True(r, ok)
		require.True(r, covered([]Need{need}, victims, nil), "the victims don't free the need")
		for _, v := range victims {
			require.False(r, covered([]Need{need}, victims, v), "a victim is redundant")
		}
		require.GreaterOrEqual(r, cost, cheapest(need, costs))
	})
}

// TestVictimsCostLittleMoreThanTheCheapest compares the mean cost with that of an
// exhaustive search.
func TestVictimsCostLittleMoreThanTheCheapest(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	chosen, best := 0.0, 0.0
	for range 2000 {
		w, costs := fullWorker(rng.IntN)
		need := Need{w, model.Resources{Accelerators: 1 + rng.IntN(8)}}
		_, cost, _ := selector(costs).Select([]Need{need}, math.Inf(1))
		chosen += cost
		best += cheapest(need, costs)
	}
	t.Logf("mean cost is %.4f times the optimum", chosen/best)
	require.Less(t, chosen/best, 1.1)
}

func TestNonPreemptibleGangsAreNoVictims(t *testing.T) {
	w, costs := fullWorker(func(int) int { return 0 })
	for _, g := range w.Gangs {
		g.Spec.Repeatable = false
	}
	_, _, ok := selector(costs).Select([]Need{{w, model.Resources{Accelerators: 1}}}, math.Inf(1))
	require.False(t, ok)
}
