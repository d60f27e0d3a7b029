package measure

import (
	"slices"
	"time"
)

// statistics accumulates the measurements of a run.
type statistics struct {
	// window is the start and end of the period in which a zone is out of service.
	window [2]time.Duration
	// running is the current number of accelerators of running gangs.
	running int
	// runningTasks is the current number of tasks of running gangs.
	runningTasks int
	// occupied is the current number of accelerators of placed gangs, including those
	// that are starting or stopping.
	occupied int

	windowWork    float64 // accelerator seconds of useful work in the window
	maxWindowWork float64 // upper bound of windowWork
	usefulWork    float64 // accelerator seconds of running gangs after the warm-up, without lost work
	occupiedWork  float64 // accelerator seconds of placed gangs after the warm-up

	completions        map[string][]float64 // seconds, by class
	gangWaits          map[string][]float64 // seconds, by class or allGangs
	urgentWaits        []float64            // seconds, of urgent jobs within a guarantee
	reclaims           []float64            // seconds from the first eviction to the start
	fragmentationSum   float64              // sum of the samples
	fragmentedShareSum float64              // sum of the samples, each a share of all accelerators
	runningTasksSum    float64              // sum of the samples
	samples            int
	evictions          int     // gangs stopped for other jobs after the warm-up
	lostWork           float64 // accelerator seconds of work that has to be repeated
}

// allGangs is the key for the gangs of all classes together.
const allGangs = ""

// integrate adds the work done between two times.
func (t *statistics) integrate(from, to, warmUp time.Duration) {
	t.windowWork += float64(t.running) * overlap(from, to, t.window[0], t.window[1])
	measured := overlap(from, to, warmUp, to)
	t.usefulWork += float64(t.running) * measured
	t.occupiedWork += float64(t.occupied) * measured
}

// overlap returns the length, in seconds, of the intersection of two intervals.
func overlap(from, to, start, end time.Duration) float64 {
	return max(0, (min(to, end) - max(from, start)).Seconds())
}

func (t *statistics) addRunning(j *job) {
	t.running += accelerators(j)
	t.runningTasks += j.spec.Shape.Tasks
}

func (t *statistics) removeRunning(j *job) {
	t.running -= accelerators(j)
	t.runningTasks -= j.spec.Shape.Tasks
}

func (t *statistics) addOccupied(j *job)    { t.occupied += accelerators(j) }
func (t *statistics) removeOccupied(j *job) { t.occupied -= accelerators(j) }

func accelerators(j *job) int { return j.spec.Shape.Total().Accelerators }

// discardWork subtracts the work of a gang that was stopped without a checkpoint.
func (t *statistics) discardWork(now time.Duration, j *job, ran time.Duration) {
	t.usefulWork -= float64(accelerators(j)) * ran.Seconds()
	t.lostWork += float64(accelerators(j)) * ran.Seconds()
	t.windowWork -= float64(accelerators(j)) * overlap(now-ran, now, t.window[0], t.window[1])
}

// isMeasured reports whether a job arrived after the warm-up and wasn't cancelled.
func (s *simulation) isMeasured(j *job) bool {
	return j.arrival >= s.deployment.WarmUp && !j.cancelled
}

func (t *statistics) recordCompletion(s *simulation, j *job) {
	if s.isMeasured(j) {
		t.addCompletion(j, s.clock-j.arrival)
	}
}

func (t *statistics) addCompletion(j *job, took time.Duration) {
	if t.completions == nil {
		t.completions = make(map[string][]float64)
	}
	name := j.class.Name
	t.completions[name] = append(t.completions[name], took.Seconds())
}

// recordFirstStart records how long a job waited for its first start.
func (t *statistics) recordFirstStart(s *simulation, j *job) {
	if !s.isMeasured(j) {
		return
	}
	t.addWait(j, s.clock-j.arrival)
	if j.firstEviction >= 0 && j.withinGuarantee {
		t.reclaims = append(t.reclaims, (s.clock - j.firstEviction).Seconds())
	}
}

func (t *statistics) addWait(j *job, waited time.Duration) {
	if j.class.Gang {
		if t.gangWaits == nil {
			t.gangWaits = make(map[string][]float64)
		}
		for _, class := range []string{allGangs, j.class.Name} {
			t.gangWaits[class] = append(t.gangWaits[class], waited.Seconds())
		}
	}
	if j.withinGuarantee && j.class.Priority == "urgent" {
		t.urgentWaits = append(t.urgentWaits, waited.Seconds())
	}
}

// recordUnfinished records the jobs that are unfinished at the horizon with a lower
// bound of their completion time and, if never started, of their wait.
func (s *simulation) recordUnfinished() {
	for _, j := range s.jobs {
		if j.ended || !s.isMeasured(j) {
			continue
		}
		age := s.deployment.Horizon - j.arrival
		left := j.runTime - j.savedRunTime
		if j.running {
			left -= s.clock - j.startedAt
		}
		s.stats.addCompletion(j, age+left)
		if j.firstStart < 0 {
			s.stats.addWait(j, age)
		}
	}
}

// sample records the fragmentation over the zones in service, weighted by their free
// accelerators.
func (s *simulation) sample() {
	shares := s.deployment.shapeShares()
	free, fragmented := 0, 0.0
	for _, z := range s.zones {
		if z.outOfService {
			continue
		}
		n := z.engine.Digest(s.now()).FreeAccelerators
		free += n
		fragmented += float64(n) * z.engine.Fragmentation(shares)
	}
	s.stats.fragmentationSum += ratio(fragmented, float64(free))
	s.stats.fragmentedShareSum += fragmented / float64(s.deployment.accelerators())
	s.stats.runningTasksSum += float64(s.stats.runningTasks)
	s.stats.samples++
	s.scheduleAt(s.clock+sampleInterval, s.sample)
}

// computeMaxWindowWork computes, at the start of the window, an upper bound of the work
// that the remaining zones can do in it: the smaller of their accelerator capacity and
// the demand of the current and future jobs.
func (s *simulation) computeMaxWindowWork() {
	length := s.stats.window[1] - s.stats.window[0]
	capacity := 0
	for _, w := range s.deployment.Workers {
		if w.Zone != s.zones[0].id {
			capacity += w.Capacity.Accelerators
		}
	}
	demand := 0.0
	for _, j := range s.jobs {
		if j.ended || j.arrival >= s.stats.window[1] {
			continue
		}
		left := j.runTime - j.savedRunTime
		if j.running {
			left -= s.clock - j.startedAt
		}
		left = min(left, s.stats.window[1]-max(j.arrival, s.clock), length)
		demand += float64(accelerators(j)) * left.Seconds()
	}
	s.stats.maxWindowWork = min(float64(capacity)*length.Seconds(), demand)
}

// quantile returns the q-quantile of values, or 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
