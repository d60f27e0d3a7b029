package entry

import "github.com/prometheus/client_golang/prometheus"

// loadCollector collects the current load of the router when metrics are scraped.
type loadCollector struct{ server *Server }

var (
	waitingDesc    = prometheus.NewDesc("chervil_requests_waiting", "Requests that wait for a slot.", []string{"service"}, nil)
	inFlightDesc   = prometheus.NewDesc("chervil_attempts_in_flight", "Attempts that hold a slot now.", []string{"service"}, nil)
	executorsDesc  = prometheus.NewDesc("chervil_executors_usable", "Executors that may get requests.", []string{"service"}, nil)
	unrecordedDesc = prometheus.NewDesc("chervil_records_owed", "Outcomes that are not recorded yet.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c loadCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- waitingDesc
	descriptions <- inFlightDesc
	descriptions <- executorsDesc
	descriptions <- unrecordedDesc
}

// Collect implements prometheus.Collector.
func (c loadCollector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(description *prometheus.Desc, value int, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(value), labels...)
	}
	for _, load := range c.server.router.Loads() {
		service := string(load.Service)
		gauge(waitingDesc, load.Waiting, service)
		gauge(inFlightDesc, load.InFlight, service)
		gauge(executorsDesc, load.Executors, service)
	}
	gauge(unrecordedDesc, c.server.once.Unrecorded())
}
