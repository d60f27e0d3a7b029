// Package preemption chooses which gangs to preempt: a set of low cost that frees given
// amounts on given workers.
package preemption

import (
	"cmp"
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
)

// Need is an amount that has to become free on a worker.
type Need struct {
	Worker *cache.Worker
	Amount model.Resources
}

// Selector chooses victims. It reuses its buffers between calls and is not safe for
// concurrent use.
type Selector struct {
	// Cost is the cost of stopping a gang, in accelerator seconds.
	Cost func(*cache.Gang) float64
	// Allowed reports whether a gang may be a victim.
	Allowed func(*cache.Gang) bool

	deficits   []deficit
	candidates []candidate
	chosen     []*cache.Gang
	// selection numbers the calls of Select; it marks the gangs considered in this one.
	selection uint64
}

// deficit is what still has to be freed on a worker.
type deficit struct {
	worker  *cache.Worker
	missing model.Resources
}

// candidate is a gang that may be a victim.
type candidate struct {
	gang        *cache.Gang
	cost        float64
	costPerGain float64
}

// Select returns victims whose eviction covers all needs, and their total cost. It
// returns false if it finds none that cost less than limit. The slice is valid until
// the next call.
//
// The selection is greedy: it takes gangs in the order of their cost per gain until the
// needs are covered, then drops those that are redundant, the most expensive first.
func (s *Selector) Select(needs []Need, limit float64) ([]*cache.Gang, float64, bool) {
	s.computeDeficits(needs)
	s.rankCandidates()
	total := 0.0
	for _, c := range s.candidates {
		if len(s.deficits) == 0 || total >= limit {
			break
		}
		if s.gain(c.gang) > 0 {
			total += c.cost
			s.choose(c.gang)
		}
	}
	if len(s.deficits) > 0 {
		return nil, 0, false
	}
	total -= s.dropRedundant(needs)
	return s.chosen, total, total < limit
}

func (s *Selector) computeDeficits(needs []Need) {
	s.chosen = s.chosen[:0]
	s.deficits = s.deficits[:0]
	for _, need := range needs {
		missing := cache.AtLeastZero(need.Amount.Sub(signedFree(need.Worker)))
		if !missing.IsZero() {
			s.deficits = append(s.deficits, deficit{need.Worker, missing})
		}
	}
}

// signedFree is what is free on a worker, negative where it is overcommitted.
func signedFree(w *cache.Worker) model.Resources {
	free := w.Capacity.Sub(w.Used).Sub(w.Claimed)
	free.MemoryMB -= w.OveruseMB
	return free
}

// rankCandidates lists the gangs that may be victims in the order of their cost per gain
// for the initial deficits.
func (s *Selector) rankCandidates() {
	s.candidates = s.candidates[:0]
	s.selection++
	for _, d := range s.deficits {
		for _, g := range d.worker.Gangs {
			if g.LastSelection == s.selection {
				continue
			}
			g.LastSelection = s.selection
			s.addCandidate(g)
		}
	}
	slices.SortStableFunc(s.candidates, func(a, b candidate) int { return cmp.Compare(a.costPerGain, b.costPerGain) })
}

func (s *Selector) addCandidate(g *cache.Gang) {
	if !s.Allowed(g) {
		return
	}
	if gain := s.gain(g); gain > 0 {
		cost := s.Cost(g)
		s.candidates = append(s.candidates, candidate{gang: g, cost: cost, costPerGain: cost / gain})
	}
}

// gain is how much of the deficits the gang would free, summed over the dimensions as
// fractions of the worker's capacity.
func (s *Selector) gain(g *cache.Gang) float64 {
	sum := 0.0
	for _, part := range g.Parts {
		for _, d := range s.deficits {
			if d.worker == part.Worker {
				freed := cache.Min(g.Shape.PerTask.Times(part.Tasks), d.missing)
				sum += shareOfCapacity(freed, d.worker.Capacity)
			}
		}
	}
	return sum
}

func shareOfCapacity(amount, capacity model.Resources) float64 {
	ratio := func(a, c float64) float64 {
		if c == 0 {
			return 0
		}
		return a / c
	}
	return ratio(float64(amount.Accelerators), float64(capacity.Accelerators)) +
		ratio(float64(amount.MilliCPU), float64(capacity.MilliCPU)) +
		ratio(float64(amount.MemoryMB), float64(capacity.MemoryMB))
}

func (s *Selector) choose(g *cache.Gang) {
	s.chosen = append(s.chosen, g)
	for _, part := range g.Parts {
		for i := range s.deficits {
			if s.deficits[i].worker == part.Worker {
				freed := g.Shape.PerTask.Times(part.Tasks)
				s.deficits[i].missing = cache.AtLeastZero(s.deficits[i].missing.Sub(freed))
			}
		}
	}
	s.deficits = slices.DeleteFunc(s.deficits, func(d deficit) bool { return d.missing.IsZero() })
}

// dropRedundant drops chosen gangs without which the needs are still covered, and returns
// the cost saved.
func (s *Selector) dropRedundant(needs []Need) float64 {
	if len(s.chosen) < 2 {
		return 0
	}
	slices.SortStableFunc(s.chosen, func(a, b *cache.Gang) int {
		return cmp.Compare(s.Cost(b), s.Cost(a))
	})
	saved := 0.0
	for i := 0; i < len(s.chosen); {
		g := s.chosen[i]
		if covered(needs, s.chosen, g) {
			saved += s.Cost(g)
			s.chosen = slices.Delete(s.chosen, i, i+1)
			continue
		}
		i++
	}
	return saved
}

// covered reports whether the needs are met when all victims except one are stopped.
func covered(needs []Need, victims []*cache.Gang, except *cache.Gang) bool {
	for _, need := range needs {
		free := signedFree(need.Worker)
		for _, g := range victims {
			if g == except {
				continue
			}
			for _, part := range g.Parts {
				if part.Worker == need.Worker {
					free = free.Add(g.Shape.PerTask.Times(part.Tasks))
				}
			}
		}
		if !need.Amount.Fits(free) {
			return false
		}
	}
	return true
}
