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
	// Repeated counts those of Crashes that met a worker that had crashed under the work before:
	// that worker may crash by itself.
	Repeated int `json:"repeated,omitempty"`
	// Expected is how many crashes were to be expected by chance during these runs.
	Expected float64 `json:"expected,omitempty"`
}

// repeatedPerCrash is how many repeated crashes of a worker weigh as much as the crash of another
// one.
const repeatedPerCrash = 3

// GivesUp reports whether the crashes show that the work causes them. Work that crashes its
// workers does so soon after its start, while for any other the crashes to be expected
// grow with its run time.
func (c Count) GivesUp() bool {
	excess := c.Crashes - c.Repeated + c.Repeated/repeatedPerCrash - Limit + 1
	return (excess > 1 || excess == 1 && c.Lone > 0) && c.Expected <= float64(excess)*maxExpected
}

// The period over which the rate of crashes is measured, and its minimum for an observer that
// has just begun.
const (
	ratePeriod    = time.Minute
	minRatePeriod = 10 * time.Second
)

// Crash is the crash of a worker and the IDs of the work that was on it.
type Crash struct {
	At   time.Time `json:"at"`
	Work []string  `json:"work,omitempty"`
}

// Rate measures how often workers crash. Its fields are what the next observer has to know.
type Rate struct {
	// Since is when the measurement began.
	Since   time.Time `json:"since"`
	Crashes []Crash   `json:"crashes,omitempty"`
}

// maxCrashes and maxWork limit the size of a Rate: the latest crashes, and the work on the
// worker of each.
const (
	maxCrashes = 128
	maxWork    = 64
)

// NewRate returns a rate that is measured from since on.
func NewRate(since time.Time) *Rate { return &Rate{Since: since} }

// Continue goes on with the measurement of an earlier observer.
func (r *Rate) Continue(earlier Rate) {
	if earlier.Since.Before(r.Since) {
		r.Since = earlier.Since
	}
	r.Crashes = append(slices.Clone(earlier.Crashes), r.Crashes...)
}

// Add adds the crash of a worker with the IDs of the work that was on it.
func (r *Rate) Add(now time.Time, work ...string) {
	r.Crashes = append(r.Crashes, Crash{At: now, Work: work[:min(len(work), maxWork)]})
	r.Crashes = r.Crashes[max(0, len(r.Crashes)-maxCrashes):]
}

// LastCrash returns when the latest crash was added; zero if there is none.
func (r *Rate) LastCrash() time.Time {
	if len(r.Crashes) == 0 {
		return time.Time{}
	}
	return r.Crashes[len(r.Crashes)-1].At
}

// WithoutWork is the rate per second at which each of the workers crashes without the given
// work on it.
func (r *Rate) WithoutWork(id string, workers int, now time.Time) float64 {
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return now.Sub(c.At) > ratePeriod })
	others := 0
	for _, c := range r.Crashes {
		if !slices.Contains(c.Work, id) {
			others++
		}
	}
	period := min(ratePeriod, max(minRatePeriod, now.Sub(r.Since)))
	return float64(others) / (period.Seconds() * float64(max(1, workers)))
}
