package rank

import (
	"cmp"
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Share is one shape of a mix and the probability that the next job with accelerators
// requests it.
type Share struct {
	Shape       model.Shape
	Probability float64
}

// Parameters of a mix.
const (
	// maxShapes is the maximum number of shapes in a mix, the most probable ones.
	maxShapes = 16
	// refreshInterval is the number of jobs after which the mix is recomputed.
	refreshInterval = 64
	// decay is the factor applied to the counts of earlier jobs at each refresh.
	decay = 0.9
	// guaranteeWeight is how many jobs a guaranteed shape counts for.
	guaranteeWeight = 4.0
)

// Mix estimates the distribution of the shape of the next job with accelerators, from the
// guaranteed shapes and from recent jobs, the latest weighted most.
type Mix struct {
	recent     map[model.Shape]float64
	guaranteed map[model.Shape]float64
	observed   int
	shares     []Share
	version    uint64
}

// NewMix returns an empty mix.
func NewMix() *Mix { return &Mix{recent: make(map[model.Shape]float64)} }

// Observe counts a job.
func (m *Mix) Observe(shape model.Shape) {
	m.recent[shape]++
	m.observed++
	if m.observed%refreshInterval == 0 || len(m.shares) == 0 {
		m.decayCounts()
		m.refresh()
	}
}

// SetGuaranteed replaces the guaranteed shapes; the value is the number of each.
func (m *Mix) SetGuaranteed(shapes map[model.Shape]int) {
	m.guaranteed = make(map[model.Shape]float64, len(shapes))
	for shape, count := range shapes {
		m.guaranteed[shape] = guaranteeWeight * float64(count)
	}
	m.refresh()
}

// Shares returns the mix, the most probable shape first. The probabilities add up to 1.
func (m *Mix) Shares() []Share { return m.shares }

// Version increases with every change of the shares.
func (m *Mix) Version() uint64 { return m.version }

func (m *Mix) decayCounts() {
	for shape, count := range m.recent {
		count *= decay
		if count < 0.01 {
			delete(m.recent, shape)
			continue
		}
		m.recent[shape] = count
	}
}

func (m *Mix) refresh() {
	sum := make(map[model.Shape]float64, len(m.recent)+len(m.guaranteed))
	for shape, count := range m.recent {
		sum[shape] += count
	}
	for shape, count := range m.guaranteed {
		sum[shape] += count
	}
	m.shares = m.shares[:0:0]
	for shape, count := range sum {
		if shape.PerTask.Accelerators > 0 {
			m.shares = append(m.shares, Share{Shape: shape, Probability: count})
		}
	}
	slices.SortFunc(m.shares, compareShares)
	m.shares = m.shares[:min(len(m.shares), maxShapes)]
	normalise(m.shares)
	m.version++
}

func normalise(shares []Share) {
	total := 0.0
	for _, share := range shares {
		total += share.Probability
	}
	for i := range shares {
		shares[i].Probability /= total
	}
}

func compareShares(a, b Share) int {
	return cmp.Or(
		cmp.Compare(b.Probability, a.Probability),
		cmp.Compare(a.Shape.Adjacency, b.Shape.Adjacency),
		cmp.Compare(a.Shape.Tasks, b.Shape.Tasks),
		cmp.Compare(a.Shape.PerTask.Accelerators, b.Shape.PerTask.Accelerators),
		cmp.Compare(a.Shape.PerTask.MilliCPU, b.Shape.PerTask.MilliCPU),
		cmp.Compare(a.Shape.PerTask.MemoryMB, b.Shape.PerTask.MemoryMB))
}
