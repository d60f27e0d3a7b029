// Package usage estimates run time and memory use of a service's jobs from its latest
// ones. Run-time estimates are only hints.
package usage

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Key identifies the jobs that share their samples.
type Key struct {
	Organisation model.OrganisationID
	Service      model.ServiceID
}

// KeyOf returns the key of a job.
func KeyOf(spec model.JobSpec) Key { return Key{spec.Organisation, spec.Service} }

const (
	// maxSamples is the number of latest samples kept for each key.
	maxSamples = 64
	// minSamples is the number of samples needed for an estimate.
	minSamples = 5
	// memoryQuantile is the quantile of observed peak memory that is used as the estimate.
	memoryQuantile = 0.95
)

// Estimator keeps the latest samples by organisation and service.
type Estimator struct {
	runTimes map[Key]*samples
	memory   map[Key]*samples
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{runTimes: make(map[Key]*samples), memory: make(map[Key]*samples)}
}

// AddRunTime adds the run time of a finished job.
func (e *Estimator) AddRunTime(key Key, runTime time.Duration) {
	add(e.runTimes, key, float64(runTime))
}

// AddPeakMemory adds the highest memory use, in megabytes, of any task of a job.
func (e *Estimator) AddPeakMemory(key Key, memoryMB int64) {
	add(e.memory, key, float64(memoryMB))
}

// Remaining estimates the remaining run time of a job that has run for age, from the
// median of the samples longer than age. With fewer than minSamples samples, or none
// longer than age, it returns age, but at least 1 s: without a typical run time, a job is
// expected to run for as long again as it has run.
func (e *Estimator) Remaining(key Key, age time.Duration) time.Duration {
	s, ok := e.runTimes[key]
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

// MedianRunTime is the median run time of a service's jobs; 24 h if there are too few samples.
func (e *Estimator) MedianRunTime(key Key) time.Duration {
	s, ok := e.runTimes[key]
	if !ok || len(s.values) < minSamples {
		return 24 * time.Hour
	}
	sorted := s.sorted()
	return time.Duration(sorted[len(sorted)/2])
}

// ExpectedMemoryMB estimates the memory use of a task; it is never less than declaredMB.
func (e *Estimator) ExpectedMemoryMB(key Key, declaredMB int64) int64 {
	s, ok := e.memory[key]
	if !ok || len(s.values) < minSamples {
		return declaredMB
	}
	sorted := s.sorted()
	at := int(memoryQuantile * float64(len(sorted)-1))
	return max(declaredMB, int64(sorted[at]))
}

// samples is a ring buffer of values with a sorted copy that is made on demand.
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
