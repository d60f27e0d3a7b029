package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chervilrun/chervilrun/internal/renewal"
)

const (
	renewalMaxDelay = 2 * time.Second
	renewalSeed     = 1
	renewalCalls    = 200_000
)

// renewalSpread compares the policies that spread lease renewals after all workers
// of a zone were heard at the same moment.
func renewalSpread() []Figure {
	var figures []Figure
	for _, workers := range []int{167, 1500} {
		for _, phase := range []struct {
			name   string
			warmUp time.Duration
		}{{"from the take-over on", 0}, {"after 20 s", 20 * time.Second}} {
			load := renewal.Load{
				Workers:  workers,
				MaxDelay: renewalMaxDelay,
				Run:      time.Minute,
				WarmUp:   phase.warmUp,
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
		{"least_loaded", renewal.NewLeastLoaded(renewalMaxDelay)},
		{"dispersed", renewal.NewDispersed(renewalMaxDelay)},
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
		each := timeEach(renewalCalls, func(int) {
			now = now.Add(time.Millisecond)
			p.policy.Next(now, renewalMaxDelay)
		})
		figures = append(figures, Figure{"scheduler", "renewal_time_" + p.name, "renewal", float64(each.Nanoseconds()), "ns", ""})
	}
	return figures
}
