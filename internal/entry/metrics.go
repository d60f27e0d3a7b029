package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilrun/chervilrun/internal/outcome"
)

// metrics are the metrics of the caller API. slotSeconds, the cost of a request, includes
// all its attempts.
type metrics struct {
	requests    *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	slotSeconds *prometheus.CounterVec
	duration    *prometheus.HistogramVec
	replayed    *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	labels := []string{"service", "organisation"}
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervil_requests_total",
			Help: "Requests by outcome and reason.",
		}, append(labels, "outcome", "reason")),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervil_request_attempts_total",
			Help: "Attempts at executors.",
		}, labels),
		slotSeconds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervil_request_slot_seconds_total",
			Help: "Time that attempts held slots of executors, in seconds.",
		}, labels),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "chervil_request_duration_seconds",
			Help:    "Time from the arrival of a request to its outcome, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}, labels),
		replayed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervil_requests_replayed_total",
			Help: "Requests answered from an earlier request's record.",
		}, labels),
	}
	registry.MustRegister(m.requests, m.attempts, m.slotSeconds, m.duration, m.replayed)
	return m
}

func (m *metrics) observe(c *call, result outcome.Outcome, elapsed time.Duration) {
	service, organisation := string(c.service.ID), string(c.organisation)
	m.requests.WithLabelValues(service, organisation, string(result.Kind), string(result.Reason)).Inc()
	m.attempts.WithLabelValues(service, organisation).Add(float64(c.attempts))
	m.slotSeconds.WithLabelValues(service, organisation).Add(c.slotTime.Seconds())
	m.duration.WithLabelValues(service, organisation).Observe(elapsed.Seconds())
	if c.replayed {
		m.replayed.WithLabelValues(service, organisation).Inc()
	}
}
