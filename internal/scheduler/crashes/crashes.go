// Package crashes tells work that crashes its workers from work that was on workers that
// crashed by themselves, or for another's sake.
package crashes

import (
	"slices"
	"time"
)

const (
	// Limit is the number of crashes at which work is given up if workers hardly ever crash by
	// themselves and one of these crashes met nothing else; else one more is needed. Users
	// count those of three workers, and bear less than three starts after that.
	Limit = 4
	// maxExpected is how many crashes may be expected by chance for work to be given up at
	// Limit, and how many more for each further crash.
	maxExpected = 0.25
	// Forgiveness is the run time after which earlier crashes no longer count, so that
	// long-running work isn't blamed for the workers that crash by themselves in its life.
	Forgiveness = time.Minute
)

// Count is the crashes of workers under a piece of work.
type Count struct {
	// Crashes counts the runs under which a worker has crashed, Lone those of them that
	// were alone on the worker.
	Crashes int `json:"n,omitempty"`
	Lone    int `json:"lone,omitempty"`
	// Expected is how many crashes were to be expected by chance during these runs.
	Expected float64 `json:"expected,omitempty"`
}

// GivesUp reports whether the crashes show that the work causes them. Work that crashes its
// workers does so soon after its start, while for any other the crashes to be expected
// grow with its run time.
func (c Count) GivesUp() bool {
	excess := c.Crashes - Limit + 1
	return (excess > 1 || excess == 1 && c.Lone > 0) && c.Expected <= float64(excess)*maxExpected
}

// The period over which the rate of crashes is measured, and its minimum for an observer that
// has just begun.
const (
	ratePeriod    = time.Minute
	minRatePeriod = 10 * time.Second
)

// crash is the crash of a worker and the work that was on it.
type crash struct {
	at   time.Time
	work []string
}

// Rate measures how often workers crash.
type Rate struct {
	since   time.Time
	crashes []crash
}

// NewRate returns a rate that is measured from since on.
func NewRate(since time.Time) *Rate { return &Rate{since: since} }

// Add adds the crash of a worker with the IDs of the work that was on it.
func (r *Rate) Add(now time.Time, work ...string) {
	r.crashes = append(r.crashes, crash{at: now, work: work})
}

// WithoutWork is the rate per second at which each of the workers crashes without the given
// work on it.
func (r *Rate) WithoutWork(id string, workers int, now time.Time) float64 {
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return now.Sub(c.at) > ratePeriod })
	others := 0
	for _, c := range r.crashes {
		if !slices.Contains(c.work, id) {
			others++
		}
	}
	period := min(ratePeriod, max(minRatePeriod, now.Sub(r.since)))
	return float64(others) / (period.Seconds() * float64(max(1, workers)))
}
