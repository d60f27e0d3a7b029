// Package usage learns what the jobs of a service really take: how long they run
// and how much memory their tasks use. What it says of run times is a hint only.
package usage

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Key names jobs that are alike.
type Key struct {
	Organisation model.OrganisationID
	Service      model.ServiceID
}

// KeyOf returns the key of a job.
func KeyOf(spec model.JobSpec) Key { return Key{spec.Organisation, spec.Service} }

const (
	// maxSamples is the number of latest jobs of a service that count.
	maxSamples = 64
	// minSamples is the number of jobs below which nothing is inferred.
	minSamples = 5
	// memoryQuantile is the quantile of memory use that later placements count with.
	memoryQuantile = 0.95
)

// Estimator keeps the latest samples by organisation and service.
type Estimator struct {
	runTimes map[Key]*samples
	memory   map[Key]*samples
}

// NewEstimator returns a learner without samples.
func NewEstimator() *Estimator {
	return &Estimator{runTimes: make(map[Key]*samples), memory: make(map[Key]*samples)}
}

// AddRunTime counts the run time of a job that finished.
func (l *Estimator) AddRunTime(key Key, runTime time.Duration) {
	add(l.runTimes, key, float64(runTime))
}

// AddPeakMemory counts the most memory, in megabytes, that a task of a job was seen to use.
func (l *Estimator) AddPeakMemory(key Key, memoryMB int64) {
	add(l.memory, key, float64(memoryMB))
}

// Remaining estimates how long a job goes on that has run for age: the median of
// the samples longer than age. It falls back to age itself, which is what a run
// time without a typical length leads one to expect.
func (l *Estimator) Remaining(key Key, age time.Duration) time.Duration {
	s, ok := l.runTimes[key]
	if !ok || len(s.values) < minSamples {
		return max(age, time.Second)
	}
	sorted := s.sorted()
	from, _ := slices.BinarySearch(sorted, float64(age))
	longer := sorted[from:]
	if len(longer) == 0 {
		return max(age, time.Second)
	}
	return time.Duration(longer[len(longer)/2]) - age
}

// MedianRunTime is the median run time of a service's jobs; a day if too few have run.
func (l *Estimator) MedianRunTime(key Key) time.Duration {
	s, ok := l.runTimes[key]
	if !ok || len(s.values) < minSamples {
		return 24 * time.Hour
	}
	sorted := s.sorted()
	return time.Duration(sorted[len(sorted)/2])
}

// ExpectedMemoryMB returns the memory to count with for a task that declares so much.
func (l *Estimator) ExpectedMemoryMB(key Key, declared int64) int64 {
	s, ok := l.memory[key]
	if !ok || len(s.values) < minSamples {
		return declared
	}
	sorted := s.sorted()
	at := int(memoryQuantile * float64(len(sorted)-1))
	return max(declared, int64(sorted[at]))
}

// samples is a ring of values with a sorted copy, made when it is asked for.
type samples struct {
	values       []float64
	next         int
	sortedValues []float64
}

func add(all map[Key]*samples, key Key, value float64) {
	s, ok := all[key]
	if !ok {
		s = &samples{}
		all[key] = s
	}
	s.sortedValues = nil
	if len(s.values) < maxSamples {
		s.values = append(s.values, value)
		return
	}
	s.values[s.next] = value
	s.next = (s.next + 1) % maxSamples
}

func (s *samples) sorted() []float64 {
	if s.sortedValues == nil {
		s.sortedValues = slices.Sorted(slices.Values(s.values))
	}
	return s.sortedValues
}
