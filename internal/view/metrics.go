package view

import (
	"github.com/prometheus/client_golang/prometheus"
)

// syncerMetrics are the metrics of a Syncer.
type syncerMetrics struct {
	watchBreaks      prometheus.Counter
	hostListFailures prometheus.Counter
	peerCalls        prometheus.Counter
	peerFailures     prometheus.Counter
}

func newSyncerMetrics(s *Syncer, registry prometheus.Registerer) *syncerMetrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	m := &syncerMetrics{
		watchBreaks:      counter("chervil_view_watch_breaks_total", "Breaks of the store watch."),
		hostListFailures: counter("chervil_view_hosts_failed_total", "Failed readings of the platform's list of hosts."),
		peerCalls:        counter("chervil_view_peer_calls_total", "Calls to peers."),
		peerFailures:     counter("chervil_view_peer_failed_total", "Failed calls to peers."),
	}
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "chervil_view_confirmation_age_seconds",
		Help: "Age of the last confirmation of the view.",
	}, func() float64 { return s.Clock.Since(s.Confirmation().ConfirmedAt).Seconds() })
	version := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "chervil_config_version", Help: "Version of the configuration in force here.",
	}, func() float64 { return float64(s.Current().Config.Version) })
	registry.MustRegister(m.watchBreaks, m.hostListFailures, m.peerCalls, m.peerFailures, age, version)
	return m
}
