package renewal_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/chervilrun/chervilrun/internal/rapidseed"
	"github.com/chervilrun/chervilrun/internal/renewal"
)

const maxDelay = 2 * time.Second

func policies() map[string]renewal.Policy {
	return map[string]renewal.Policy{
		"fixed":        renewal.Fixed{},
		"jitter":       renewal.NewJitter(rand.New(rand.NewPCG(1, 1))),
		"least_loaded": renewal.NewLeastLoaded(maxDelay),
		"dispersed":    renewal.NewDispersed(maxDelay),
	}
}

func TestDelaysStayWithinTheLongest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := policies()
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(maxDelay)).Draw(t, "step")))
			for name, policy := range all {
				delay := policy.Next(now, maxDelay)
				require.Positive(t, delay, name)
				require.LessOrEqual(t, delay, maxDelay, name)
			}
		}
	})
}

// TestLeastLoadedSpreadsSimultaneousRenewals starts with all workers renewing at once: with
// a fixed delay all later renewals are simultaneous too; LeastLoaded spreads them.
func TestLeastLoadedSpreadsSimultaneousRenewals(t *testing.T) {
	load := renewal.Load{Workers: 1500, MaxDelay: maxDelay, Run: time.Minute, WarmUp: 20 * time.Second, Seed: 1}
	all := policies()
	fixed := renewal.Measure(all["fixed"], load)
	spread := renewal.Measure(all["least_loaded"], load)
	require.Greater(t, fixed.PeakToMean, 10.0)
	require.Less(t, spread.PeakToMean, 2.0)
	require.Less(t, spread.ExtraFraction, 1/renewal.MinDelayFraction-1+0.01)
}

func BenchmarkNext(b *testing.B) {
	for name, policy := range policies() {
		b.Run(name, func(b *testing.B) {
			now := time.Unix(1000, 0)
			for range b.N {
				now = now.Add(maxDelay / 1500)
				policy.Next(now, maxDelay)
			}
		})
	}
}
