package acceptance

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilrun/chervilrun/internal/outcome"
)

// metrics counts and times configuration changes.
type metrics struct {
	changes *prometheus.CounterVec
	seconds prometheus.Histogram
}

// newMetrics registers the metrics, unless registry is nil.
func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervil_config_changes_total",
			Help: "Changes of the configuration by outcome and reason.",
		}, []string{"outcome", "reason"}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "chervil_config_change_seconds",
			Help:    "Time from the arrival of a change to its outcome, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}),
	}
	if registry != nil {
		registry.MustRegister(m.changes, m.seconds)
	}
	return m
}

func (m *metrics) observe(o outcome.Outcome, duration time.Duration) {
	m.changes.WithLabelValues(string(o.Kind), string(o.Reason)).Inc()
	m.seconds.Observe(duration.Seconds())
}
