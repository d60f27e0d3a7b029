package measure

import (
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/scheduler"
)

// Line is one measured value, printed as one JSON object per line.
type Line struct {
	Deployment string           `json:"deployment"`
	Scenario   Scenario         `json:"scenario"`
	Policy     scheduler.Policy `json:"policy"`
	Seed       uint64           `json:"seed"`
	Metric     string           `json:"metric"`
	Class      string           `json:"class,omitempty"`
	Value      float64          `json:"value"`
	Unit       string           `json:"unit"`
}

// Policies lists the policies that are measured, the product's first.
func Policies() []scheduler.Policy {
	return []scheduler.Policy{
		scheduler.PolicyChervilrun, scheduler.PolicyFirstFit,
		scheduler.PolicyBestFit, scheduler.PolicyRandom,
	}
}

// Run measures one scenario of a deployment under a policy. The same arguments
// always give the same lines.
func Run(name string, scenario Scenario, policy scheduler.Policy, seed uint64) ([]Line, error) {
	return RunAt(1, name, scenario, policy, seed)
}

// RunAt is like Run, with the arrival rates of all classes multiplied by load.
func RunAt(load float64, name string, scenario Scenario, policy scheduler.Policy, seed uint64) ([]Line, error) {
	d, ok := deployment(name)
	if !ok {
		return nil, errors.Errorf("unknown deployment %q", name)
	}
	for i := range d.Classes {
		d.Classes[i].MeanInterval = time.Duration(float64(d.Classes[i].MeanInterval) / load)
	}
	s := newSimulation(&d, scenario, policy, seed)
	s.run()
	s.recordUnfinished()
	r := &report{line: Line{Deployment: name, Scenario: scenario, Policy: policy, Seed: seed}}
	r.addMetrics(s)
	if scenario == ZoneLeavesAndReturns {
		undisturbed := newSimulation(&d, SteadyMix, policy, seed)
		undisturbed.run()
		r.add("work_done_ratio", "", ratio(s.stats.windowWork, undisturbed.stats.windowWork), "1")
		r.add("work_done_ratio_of_best", "", ratio(s.stats.windowWork, s.stats.maxWindowWork), "1")
	}
	return r.lines, nil
}

type report struct {
	line  Line
	lines []Line
}

func (r *report) add(metric, class string, value float64, unit string) {
	line := r.line
	line.Metric, line.Class, line.Value, line.Unit = metric, class, value, unit
	r.lines = append(r.lines, line)
}

func (r *report) addMetrics(s *simulation) {
	t := &s.stats
	for _, class := range slices.Sorted(maps.Keys(t.completions)) {
		r.add("completion_time_p50", class, quantile(t.completions[class], 0.5), "s")
		r.add("completion_time_p99", class, quantile(t.completions[class], 0.99), "s")
	}
	r.add("fragmentation", "", ratio(t.fragmentationSum, float64(t.samples)), "1")
	for _, class := range slices.Sorted(maps.Keys(t.gangWaits)) {
		r.add("gang_wait_p99", class, quantile(t.gangWaits[class], 0.99), "s")
	}
	r.add("reclaim_time_p99", "", quantile(t.reclaims, 0.99), "s")
	r.add("urgent_guarantee_wait_max", "", quantile(t.urgentWaits, 1), "s")
	r.add("cost_per_request", "", s.costPerRequest(), "accelerator_s")
	r.add("fragmented_accelerators", "", ratio(t.fragmentedShareSum, float64(t.samples)), "1")
	r.add("tasks_running", "", ratio(t.runningTasksSum, float64(t.samples)), "1")
	r.add("evictions", "", float64(t.evictions), "1")
	r.add("lost_work", "", t.lostWork, "accelerator_s")
	r.add("accelerators_busy", "", s.busyShare(), "1")
}

// costPerRequest returns the accelerator seconds of a mean job, multiplied by the ratio
// of occupied to useful time.
func (s *simulation) costPerRequest() float64 {
	work, count := 0.0, 0
	for _, j := range s.jobs {
		if s.isMeasured(j) {
			work += float64(accelerators(j)) * j.runTime.Seconds()
			count++
		}
	}
	return ratio(work, float64(count)) * ratio(s.stats.occupiedWork, s.stats.usefulWork)
}

// busyShare returns the share of the total accelerator time spent on useful work.
func (s *simulation) busyShare() float64 {
	total := s.deployment.accelerators()
	span := (s.deployment.Horizon - s.deployment.WarmUp).Seconds()
	return ratio(s.stats.usefulWork, float64(total)*span)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Print writes the lines as JSON, one object per line.
func Print(w io.Writer, lines []Line) error {
	encoder := json.NewEncoder(w)
	for _, line := range lines {
		if err := encoder.Encode(line); err != nil {
			return errors.Wrap(err, "write line")
		}
	}
	return nil
}
