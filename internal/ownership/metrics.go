package ownership

import "github.com/prometheus/client_golang/prometheus"

type electorMetrics struct {
	taken      prometheus.Counter
	lost       prometheus.Counter
	handedOver prometheus.Counter
}

func newElectorMetrics(e *Elector, registry prometheus.Registerer) *electorMetrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	m := &electorMetrics{
		taken:      counter("chervil_ownership_taken_total", "Availability zones taken."),
		lost:       counter("chervil_ownership_lost_total", "Availability zones lost to another host."),
		handedOver: counter("chervil_ownership_handed_over_total", "Availability zones handed over on purpose."),
	}
	owned := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "chervil_ownership_zones", Help: "Availability zones that this host owns.",
	}, func() float64 { return float64(len(e.OwnedZones())) })
	registry.MustRegister(m.taken, m.lost, m.handedOver, owned)
	return m
}
