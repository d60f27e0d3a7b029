package measure

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/scheduler"
)

func TestSameSeedSameLines(t *testing.T) {
	for _, name := range []string{"chikushi", "vesofeny"} {
		args := []string{"-deployment", name, "-seed", "7", "-scenario", "zone_leaves_and_returns", "-policy", "chervilrun,random"}
		var first, second bytes.Buffer
		require.NoError(t, Main(args, &first))
		require.NoError(t, Main(append(args, "-parallel", "1"), &second))
		require.Equal(t, first.String(), second.String())
		require.NotEmpty(t, first.String())
	}
}

func TestEveryMetricIsPrinted(t *testing.T) {
	lines, err := Run("vesofeny", ZoneLeavesAndReturns, scheduler.PolicyChervilrun, 1)
	require.NoError(t, err)
	found := make(map[string]bool)
	for _, l := range lines {
		found[l.Metric] = true
	}
	for _, metric := range []string{
		"completion_time_p50", "completion_time_p99", "fragmentation", "work_done_ratio",
		"reclaim_time_p99", "gang_wait_p99", "cost_per_request",
	} {
		require.True(t, found[metric], metric)
	}
}

// TestUrgentWorkWithinAGuaranteeStartsInTime checks that no urgent job within a guarantee
// waits longer than UrgentStartLimit, in a steady mix and while guarantees are reclaimed.
func TestUrgentWorkWithinAGuaranteeStartsInTime(t *testing.T) {
	for _, name := range []string{"chikushi", "vesofeny"} {
		for _, scenario := range []Scenario{SteadyMix, Reclaim} {
			lines, err := Run(name, scenario, scheduler.PolicyChervilrun, 3)
			require.NoError(t, err)
			for _, l := range lines {
				if l.Metric == "urgent_guarantee_wait_max" {
					require.LessOrEqual(t, l.Value, scheduler.UrgentStartLimit.Seconds())
				}
			}
		}
	}
}

func TestSummaryNamesTheSeedsThatAreLost(t *testing.T) {
	line := func(policy scheduler.Policy, seed uint64, value float64) Line {
		return Line{Deployment: "d", Scenario: SteadyMix, Policy: policy, Seed: seed, Metric: "fragmentation", Value: value}
	}
	lines := []Line{
		line(scheduler.PolicyChervilrun, 1, 0.1), line(scheduler.PolicyChervilrun, 2, 0.4), line(scheduler.PolicyChervilrun, 3, 0.2),
		line(scheduler.PolicyBestFit, 1, 0.3), line(scheduler.PolicyBestFit, 2, 0.3), line(scheduler.PolicyBestFit, 3, 0.3),
	}
	var out bytes.Buffer
	require.NoError(t, PrintSummary(&out, lines))
	decoder := json.NewDecoder(&out)
	var own, best Summary
	require.NoError(t, decoder.Decode(&own))
	require.NoError(t, decoder.Decode(&best))
	require.Equal(t, 0.2, own.Median)
	require.Equal(t, 0.3, best.Median)
	require.Equal(t, []uint64{2}, best.LostSeeds)
}

func TestUnknownDeploymentIsAnError(t *testing.T) {
	require.Error(t, Main([]string{"-deployment", "nowhere"}, &bytes.Buffer{}))
}
