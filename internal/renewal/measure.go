package renewal

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Load holds the parameters of a simulation by Measure.
type Load struct {
	// Workers is the number of workers, all of which schedule their first renewal at
	// the start of the run.
	Workers int
	// MaxDelay is the maximum delay between two renewals of a worker.
	MaxDelay time.Duration
	// Run is the simulated time. The first part of it, WarmUp, is a warm-up that is
	// not counted.
	Run    time.Duration
	WarmUp time.Duration
	// Seed seeds the round-trip times.
	Seed uint64
}

// Result holds the figures of one simulation, after the warm-up.
type Result struct {
	// PeakToMean is PeakPerWindow divided by the mean number of renewals per window.
	PeakToMean float64
	// PeakPerWindow is the largest number of renewals within one window.
	PeakPerWindow int
	// ExtraFraction is the number of renewals beyond the minimum, which is one per worker
	// in each MaxDelay, divided by that minimum.
	ExtraFraction float64
}

// Window is the interval over which renewals are counted to find the peak.
const Window = 100 * time.Millisecond

// maxRoundTrip is the maximum simulated duration of one renewal.
const maxRoundTrip = 5 * time.Millisecond

// Measure simulates the renewals of all workers under the policy, on a simulated clock.
func Measure(policy Policy, load Load) Result {
	random := rand.New(rand.NewPCG(load.Seed, load.Seed))
	start := time.Unix(0, 0).Add(time.Hour)
	due := make(timeHeap, 0, load.Workers)
	for range load.Workers {
		due = append(due, start.Add(policy.Next(start, load.MaxDelay)))
	}
	heap.Init(&due)
	windows := make([]int, load.Run/Window)
	for {
		at := due[0]
		window := int(at.Sub(start) / Window)
		if window >= len(windows) {
			break
		}
		windows[window]++
		at = at.Add(time.Duration(random.Int64N(int64(maxRoundTrip))))
		due[0] = at.Add(policy.Next(at, load.MaxDelay))
		heap.Fix(&due, 0)
	}
	return summarize(windows[load.WarmUp/Window:], load)
}

func summarize(windows []int, load Load) Result {
	total, peak := 0, 0
	for _, count := range windows {
		total += count
		peak = max(peak, count)
	}
	mean := float64(total) / float64(len(windows))
	needed := float64(load.Workers) * float64(load.Run-load.WarmUp) / float64(load.MaxDelay)
	return Result{
		PeakToMean:    float64(peak) / mean,
		PeakPerWindow: peak,
		ExtraFraction: float64(total)/needed - 1,
	}
}

// timeHeap is a min-heap of points in time.
type timeHeap []time.Time

func (t timeHeap) Len() int           { return len(t) }
func (t timeHeap) Less(i, j int) bool { return t[i].Before(t[j]) }
func (t timeHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timeHeap) Push(x any)        { *t = append(*t, x.(time.Time)) }
func (t *timeHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
