package zone

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of all runners of a process.
type Metrics struct {
	Exchanges    *prometheus.CounterVec
	StoreCalls   *prometheus.CounterVec
	Jobs         *prometheus.CounterVec
	GangsAborted prometheus.Counter
	// AcceleratorSeconds is the accelerator time of gangs, by organisation. A gang that
	// this owner adopted counts from its adoption.
	AcceleratorSeconds *prometheus.CounterVec
	StartDelay         prometheus.Histogram
	BatchSize          prometheus.Histogram
}

// NewMetrics returns the metrics, registered with registry unless it is nil.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		Exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervil_worker_exchanges_total", Help: "Exchanges with workers by result.",
		}, []string{"zone", "result"}),
		StoreCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervil_zone_store_calls_total", Help: "Calls to the store for job records by kind and result.",
		}, []string{"zone", "kind", "result"}),
		Jobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervil_jobs_total", Help: "Jobs by what happened to them.",
		}, []string{"zone", "event"}),
		GangsAborted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervil_gangs_aborted_total", Help: "Gangs whose other parts were stopped because one failed, was late or was lost.",
		}),
		AcceleratorSeconds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervil_job_accelerator_seconds_total", Help: "Time that gangs held accelerators, times their number.",
		}, []string{"organisation"}),
		StartDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "chervil_gang_start_seconds", Help: "Time from the decision to the confirmation of every part.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 11),
		}),
		BatchSize: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "chervil_record_batch_size", Help: "Job records written in one call to the store.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 8),
		}),
	}
	if registry != nil {
		registry.MustRegister(m.Exchanges, m.StoreCalls, m.Jobs, m.GangsAborted, m.AcceleratorSeconds, m.StartDelay, m.BatchSize)
	}
	return m
}
