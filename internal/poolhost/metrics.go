package poolhost

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilrun/chervilrun/internal/pool"
)

// Metrics are the counters and histograms of a host.
type Metrics struct {
	Calls    *prometheus.CounterVec
	Duration *prometheus.HistogramVec
}

// callBuckets, in seconds, cover the range up to the longest time that callers wait.
var callBuckets = []float64{.002, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5}

// NewMetrics creates and registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		Calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervil_pool_calls_total",
			Help: "Calls of callers by verb and status code.",
		}, []string{"verb", "code"}),
		Duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "chervil_pool_call_duration_seconds",
			Help:    "Time from the call to its answer, by verb.",
			Buckets: callBuckets,
		}, []string{"verb"}),
	}
	registry.MustRegister(m.Calls, m.Duration)
	return m
}

// collector exports the state of a host and of the pool that it owns as gauges.
type collector struct {
	host *Host

	owner, version, age                                        *prometheus.Desc
	workers, accelerators, jobs, oldestWaiting, unmetGuarantee *prometheus.Desc
	reclaimed, crashes, suspects, givenUp                      *prometheus.Desc
}

// NewCollector returns a collector of the gauges of a host. Those of the pool are exported
// only while the host owns it.
func NewCollector(h *Host) prometheus.Collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, labels, nil)
	}
	return &collector{
		host:           h,
		owner:          describe("chervil_pool_owner", "1 while the host owns the pool."),
		version:        describe("chervil_pool_config_version", "Version of the configuration in force."),
		age:            describe("chervil_pool_config_age_seconds", "Time since the version in force was known to be the newest."),
		workers:        describe("chervil_pool_workers", "Workers by state.", "state"),
		accelerators:   describe("chervil_pool_accelerators", "Accelerators of the usable workers: all, and free.", "state"),
		jobs:           describe("chervil_pool_jobs", "Jobs that have not ended, by priority and state.", "priority", "state"),
		oldestWaiting:  describe("chervil_pool_oldest_waiting_seconds", "Age of the oldest job of which no task has started, by priority.", "priority"),
		unmetGuarantee: describe("chervil_pool_guarantee_unmet_accelerators", "Accelerators within guarantees that waiting urgent work does not have."),
		crashes:        describe("chervil_pool_worker_crashes", "Workers that have crashed since the take-over."),
		suspects:       describe("chervil_pool_suspected_task_groups", "Task groups under which workers have crashed and that have not ended."),
		givenUp:        describe("chervil_pool_jobs_crashing_workers", "Jobs given up since the take-over because they crash their workers."),
		reclaimed:      describe("chervil_pool_reclaimed_core_seconds", "Work thrown away since the take-over to make room for more important work."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, out) }

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	s := c.host.Status()
	gauge(c.version, float64(s.ConfigVersion))
	gauge(c.age, float64(s.ConfigAgeMS)/1000)
	if s.Term == nil {
		gauge(c.owner, 0)
		return
	}
	gauge(c.owner, 1)
	w := s.Term.Pool.Workers
	for state, count := range map[string]int{
		"listed": w.Listed, "usable": w.Usable, "silent": w.Silent, "draining": w.Draining, "quarantined": w.Quarantined, "slow": w.Slow,
	} {
		gauge(c.workers, float64(count), state)
	}
	gauge(c.accelerators, float64(w.Capacity), "all")
	gauge(c.accelerators, float64(w.Free), "free")
	for _, q := range sumByPriority(s.Term.Pool.Queues) {
		priority := strconv.Itoa(q.Priority)
		gauge(c.jobs, float64(q.Waiting), priority, "waiting")
		gauge(c.jobs, float64(q.Running), priority, "running")
		gauge(c.oldestWaiting, float64(q.OldestMS)/1000, priority)
	}
	unmet := 0
	for _, o := range s.Term.Pool.Organisations {
		unmet += max(0, min(o.UrgentWaiting, o.Guaranteed-o.Urgent))
	}
	gauge(c.unmetGuarantee, float64(unmet))
	coreSeconds := 0.0
	for _, r := range s.Term.Pool.Reclaims {
		coreSeconds += r.CoreSeconds
	}
	gauge(c.reclaimed, coreSeconds)
	gauge(c.crashes, float64(s.Term.Pool.Crashes.Workers))
	gauge(c.suspects, float64(s.Term.Pool.Crashes.Suspects))
	gauge(c.givenUp, float64(s.Term.Pool.Crashes.JobsGivenUp))
}

// sumByPriority adds up the queues of each priority. Labels by queue name would have too
// many values.
func sumByPriority(queues []pool.QueueReport) map[int]pool.QueueReport {
	sums := map[int]pool.QueueReport{}
	for _, q := range queues {
		sum := sums[q.Priority]
		sum.Priority = q.Priority
		sum.Waiting += q.Waiting
		sum.Running += q.Running
		sum.OldestMS = max(sum.OldestMS, q.OldestMS)
		sums[q.Priority] = sum
	}
	return sums
}
