// Package rank scores candidate placements: the score step of scheduling.
package rank

import (
	"math/rand/v2"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
)

// Ranker scores candidates for one gang after another.
type Ranker interface {
	feasible.SiteOrder
	// Prepare is called before candidates of a gang with tasks of this size are scored.
	Prepare(pool *cache.Pool, perTask model.Resources)
	// Score is the cost of a candidate; the first one with the lowest score is chosen.
	Score(c feasible.Candidate) float64
}

// FirstFit takes the first candidate by rack and worker ID.
type FirstFit struct{}

// Prepare does nothing.
func (FirstFit) Prepare(*cache.Pool, model.Resources) {}

// Cost is the same for all sites.
func (FirstFit) Cost(int, int) float64 { return 0 }

// PreferredTasks is every task: sites are filled completely.
func (FirstFit) PreferredTasks(_, tasks int) int { return tasks }

// Score is the index of the first site.
func (FirstFit) Score(c feasible.Candidate) float64 { return float64(c[0].Site) }

// BestFit takes the candidate that leaves the fewest accelerators free on its workers.
type BestFit struct {
	pool    *cache.Pool
	perTask model.Resources
}

// Prepare stores the pool and the size of a task.
func (b *BestFit) Prepare(pool *cache.Pool, perTask model.Resources) {
	b.pool, b.perTask = pool, perTask
}

// Cost is the number of accelerators left free at a site, times the number of tasks.
func (b *BestFit) Cost(site, tasks int) float64 { return float64(b.left(site, tasks)) * float64(tasks) }

// PreferredTasks is every task: sites are filled completely.
func (*BestFit) PreferredTasks(_, tasks int) int { return tasks }

// Score is the sum of accelerators left free on the candidate's workers.
func (b *BestFit) Score(c feasible.Candidate) float64 {
	sum := 0
	for _, part := range c {
		sum += b.left(part.Site, part.Tasks)
	}
	return float64(sum)
}

func (b *BestFit) left(site, tasks int) int {
	return b.pool.Workers[site].Free().Accelerators - b.perTask.Accelerators*tasks
}

// Random takes a random candidate.
type Random struct{ rng *rand.Rand }

// NewRandom returns a ranker whose random numbers depend only on the seed.
func NewRandom(seed uint64) *Random {
	return &Random{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Prepare does nothing.
func (r *Random) Prepare(*cache.Pool, model.Resources) {}

// Cost is random.
func (r *Random) Cost(_, tasks int) float64 { return r.rng.Float64() * float64(tasks) }

// PreferredTasks is every task: sites are filled completely.
func (*Random) PreferredTasks(_, tasks int) int { return tasks }

// Score is random.
func (r *Random) Score(feasible.Candidate) float64 { return r.rng.Float64() }
