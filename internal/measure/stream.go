package measure

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// job is one job of a stream with its state in the simulation.
type job struct {
	class           *Class
	spec            model.JobSpec
	arrival         time.Duration
	runTime         time.Duration
	withinGuarantee bool
	// cancelAt is when the caller cancels the job; zero if never.
	cancelAt time.Duration

	zone         *zone
	savedRunTime time.Duration // run time saved so far
	placed       bool
	running      bool
	stopping     bool
	startedAt    time.Duration
	firstStart   time.Duration // negative before the first start
	ended        bool
	cancelled    bool
	// attempt increases with each start and stop, so that events of earlier attempts are ignored.
	attempt       int
	firstEviction time.Duration // when a gang was first evicted for this job; negative before
}

// generateJobs returns the jobs of a run. They depend only on the deployment, the
// scenario and the seed, so that every policy gets the same jobs.
func generateJobs(d *Deployment, scenario Scenario, seed uint64) []*job {
	var jobs []*job
	for i := range d.Classes {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		jobs = append(jobs, poissonJobs(d, &d.Classes[i], scenario, rng)...)
	}
	if scenario == Burst {
		jobs = append(jobs, burstJobs(d, rand.New(rand.NewPCG(seed, 1<<32)))...)
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.arrival, b.arrival) })
	for i, j := range jobs {
		j.spec.ID = model.JobID(fmt.Sprintf("job%06d", i))
	}
	return jobs
}

func poissonJobs(d *Deployment, c *Class, scenario Scenario, rng *rand.Rand) []*job {
	var jobs []*job
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() * float64(c.MeanInterval))
		if at >= d.Horizon {
			return jobs
		}
		j := newJob(c, at, rng)
		if scenario == Reclaim && c.Guaranteed && at < d.reclaimTime() {
			continue
		}
		jobs = append(jobs, j)
	}
}

// declaredErrorSigma is the sigma of the log-normal error in declared run times.
const declaredErrorSigma = 1.2

func newJob(c *Class, at time.Duration, rng *rand.Rand) *job {
	run := float64(c.MedianRunTime) * math.Exp(c.Sigma*rng.NormFloat64())
	declared := run * math.Exp(declaredErrorSigma*rng.NormFloat64())
	return &job{
		class:         c,
		arrival:       at,
		runTime:       time.Duration(run),
		firstStart:    -1,
		firstEviction: -1,
		spec: model.JobSpec{
			Organisation:    c.Organisation,
			Service:         model.ServiceID(c.Name),
			Shape:           c.Shape,
			Priority:        c.Priority,
			Repeatable:      c.Repeatable,
			Checkpoint:      c.Checkpoint,
			DeclaredRunTime: time.Duration(declared),
		},
	}
}

// burstJobs returns small and large jobs that arrive within 20 s; about a third of them
// are cancelled together, two minutes after the start of the burst.
func burstJobs(d *Deployment, rng *rand.Rand) []*job {
	var jobs []*job
	for i := range d.Classes {
		c := &d.Classes[i]
		count := len(d.Workers) * 4 / len(d.Classes)
		if c.Gang {
			count = max(1, len(d.Workers)/4/len(d.Classes))
		}
		for range count {
			j := newJob(c, d.eventTime()+time.Duration(rng.IntN(20))*time.Second, rng)
			if rng.IntN(3) == 0 {
				j.cancelAt = d.eventTime() + 2*time.Minute
			}
			jobs = append(jobs, j)
		}
	}
	return jobs
}
