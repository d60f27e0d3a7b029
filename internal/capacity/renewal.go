package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chervilrun/chervilrun/internal/renewal"
)

const (
	renewalMaxInterval = 2 * time.Second
	renewalSeed        = 1
	renewalCalls       = 200_000
)

// leaseRenewals compares the policies that spread lease renewals over time, starting
// with all workers of a zone renewed at the same moment.
func leaseRenewals() []Figure {
	var figures []Figure
	for _, workers := range []int{167, 1500} {
		for _, phase := range []struct {
			name       string
			settleTime time.Duration
		}{{"from the take-over on", 0}, {"after 20 s", 20 * time.Second}} {
			load := renewal.Load{
				Workers:  workers,
				MaxDelay: renewalMaxInterval,
				Run:      time.Minute,
				WarmUp:   phase.settleTime,
				Seed:     renewalSeed,
			}
			conditions := fmt.Sprintf("%d workers, %s", workers, phase.name)
			figures = append(figures, renewalFigures(load, conditions)...)
		}
	}
	return append(figures, renewalTimes()...)
}

type namedPolicy struct {
	name   string
	policy renewal.Policy
}

func renewalPolicies() []namedPolicy {
	random := rand.New(rand.NewPCG(renewalSeed, renewalSeed))
	return []namedPolicy{
		{"fixed", renewal.Fixed{}},
		{"jitter", renewal.NewJitter(random)},
		{"least_loaded", renewal.NewLeastLoaded(renewalMaxInterval)},
		{"dispersed", renewal.NewDispersed(renewalMaxInterval)},
	}
}

func renewalFigures(load renewal.Load, conditions string) []Figure {
	var figures []Figure
	for _, p := range renewalPolicies() {
		result := renewal.Measure(p.policy, load)
		figures = append(figures,
			Figure{"scheduler", "renewal_peak_to_mean_" + p.name, "", result.PeakToMean, "1", conditions},
			Figure{"scheduler", "renewal_extra_" + p.name, "", result.ExtraFraction, "1", conditions},
		)
	}
	return figures
}

func renewalTimes() []Figure {
	var figures []Figure
	for _, p := range renewalPolicies() {
		now := time.Unix(1000, 0)
		perCall := meanTime(renewalCalls, func(int) {
			now = now.Add(time.Millisecond)
			p.policy.Next(now, renewalMaxInterval)
		})
		figures = append(figures, Figure{"scheduler", "renewal_time_" + p.name, "renewal", float64(perCall.Nanoseconds()), "ns", ""})
	}
	return figures
}
