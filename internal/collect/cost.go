package collect

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	metrics "github.com/prometheus/common/model"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/model"
)

// The metrics from which the cost is computed; each has the label "organisation".
const (
	MetricRequests           = "chervil_requests_total"
	MetricAttempts           = "chervil_request_attempts_total"
	MetricSlotSeconds        = "chervil_request_slot_seconds_total"
	MetricAcceleratorSeconds = "chervil_job_accelerator_seconds_total"
)

const organisationLabel = "organisation"

// maxMetricsBytes limits the size of the metrics of one process.
const maxMetricsBytes = 16 << 20

type metricFamilies map[string]*dto.MetricFamily

// Cost sums the metrics of all processes by organisation. Each process counts from its
// own start.
func (c *Collector) Cost(ctx context.Context) adminapi.CostResponse {
	results := queryAll(ctx, c.targets(), c.scrape)
	costs := map[model.OrganisationID]*adminapi.Cost{}
	for _, organisation := range c.View.Current().Config.Organisations {
		costs[organisation.ID] = &adminapi.Cost{Organisation: organisation.ID}
	}
	for _, r := range results {
		r.response.forEachValue(costs, MetricRequests, func(c *adminapi.Cost, value float64) { c.Requests += int64(value) })
		r.response.forEachValue(costs, MetricAttempts, func(c *adminapi.Cost, value float64) { c.Attempts += int64(value) })
		r.response.forEachValue(costs, MetricSlotSeconds, func(c *adminapi.Cost, value float64) { c.SlotSeconds += value })
		r.response.forEachValue(costs, MetricAcceleratorSeconds, func(c *adminapi.Cost, value float64) { c.AcceleratorSeconds += value })
	}
	response := adminapi.CostResponse{Costs: []adminapi.Cost{}, Missing: failedTargets(results)}
	for _, cost := range costs {
		response.Costs = append(response.Costs, *cost)
	}
	slices.SortFunc(response.Costs, func(a, b adminapi.Cost) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return response
}

func (c *Collector) scrape(ctx context.Context, t target) (metricFamilies, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.address+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := c.Client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: status %s", t.name, response.Status)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxMetricsBytes))
	if err != nil {
		return nil, err
	}
	parser := expfmt.NewTextParser(metrics.UTF8Validation)
	return parser.TextToMetricFamilies(strings.NewReader(string(text)))
}

// forEachValue calls addTo for each value of the counter, with the cost of the value's
// organisation.
func (f metricFamilies) forEachValue(costs map[model.OrganisationID]*adminapi.Cost, name string, addTo func(*adminapi.Cost, float64)) {
	family, known := f[name]
	if !known {
		return
	}
	for _, metric := range family.GetMetric() {
		id := model.OrganisationID(labelValue(metric, organisationLabel))
		if costs[id] == nil {
			costs[id] = &adminapi.Cost{Organisation: id}
		}
		addTo(costs[id], metric.GetCounter().GetValue())
	}
}

func labelValue(metric *dto.Metric, name string) string {
	for _, pair := range metric.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}
