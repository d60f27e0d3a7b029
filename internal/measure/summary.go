package measure

import (
	"encoding/json"
	"io"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/scheduler"
)

// Summary is the median of a metric over the seeds under one policy. LostSeeds lists
// the seeds for which the product's policy does worse than this one.
type Summary struct {
	Deployment string           `json:"deployment"`
	Scenario   Scenario         `json:"scenario"`
	Policy     scheduler.Policy `json:"policy"`
	Metric     string           `json:"metric"`
	Class      string           `json:"class,omitempty"`
	Seeds      int              `json:"seeds"`
	Median     float64          `json:"median"`
	Unit       string           `json:"unit"`
	LostSeeds  []uint64         `json:"lost_seeds,omitempty"`
}

// series holds the values of one metric under one policy, by seed.
type series struct {
	summary Summary
	values  map[uint64]float64
}

type seriesKey struct {
	deployment string
	scenario   Scenario
	policy     scheduler.Policy
	metric     string
	class      string
}

// PrintSummary writes a summary for each metric and policy as JSON, one object per line.
func PrintSummary(w io.Writer, lines []Line) error {
	all, order := groupBySeries(lines)
	encoder := json.NewEncoder(w)
	for _, key := range order {
		productKey := key
		productKey.policy = scheduler.PolicyChervilrun
		s := all[key].summarise(all[productKey])
		if err := encoder.Encode(s); err != nil {
			return errors.Wrap(err, "write summary")
		}
	}
	return nil
}

func groupBySeries(lines []Line) (map[seriesKey]*series, []seriesKey) {
	all := make(map[seriesKey]*series)
	var order []seriesKey
	for _, l := range lines {
		key := seriesKey{l.Deployment, l.Scenario, l.Policy, l.Metric, l.Class}
		if all[key] == nil {
			all[key] = &series{
				summary: Summary{
					Deployment: l.Deployment, Scenario: l.Scenario, Policy: l.Policy,
					Metric: l.Metric, Class: l.Class, Unit: l.Unit,
				},
				values: make(map[uint64]float64),
			}
			order = append(order, key)
		}
		all[key].values[l.Seed] = l.Value
	}
	return all, order
}

// summarise computes the median and the seeds for which the product's value is worse.
func (s *series) summarise(product *series) Summary {
	summary := s.summary
	summary.Seeds = len(s.values)
	values := make([]float64, 0, len(s.values))
	for _, value := range s.values {
		values = append(values, value)
	}
	summary.Median = quantile(values, 0.5)
	if product == nil {
		return summary
	}
	for _, seed := range sortedSeeds(s.values) {
		if worse(s.summary.Metric, product.values[seed], s.values[seed]) {
			summary.LostSeeds = append(summary.LostSeeds, seed)
		}
	}
	return summary
}

func sortedSeeds(values map[uint64]float64) []uint64 {
	return slices.Sorted(maps.Keys(values))
}

// higherIsBetter lists the metrics for which a higher value is better.
var higherIsBetter = []string{"work_done_ratio", "work_done_ratio_of_best", "accelerators_busy"}

func worse(metric string, product, other float64) bool {
	if slices.Contains(higherIsBetter, metric) {
		return product < other
	}
	return product > other
}
