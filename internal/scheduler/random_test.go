package scheduler

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/chervilrun/chervilrun/internal/rapidseed" // fixes the seed
)

var (
	soakFor  = flag.Duration("soak", 0, "how long TestSoak runs; it is skipped at 0")
	soakSeed = flag.Uint64("soak.seed", 1, "first seed of TestSoak")
)

// TestRandomEvents runs engines of every policy through random events; the engines
// recompute and check their invariants after each call.
func TestRandomEvents(t *testing.T) {
	for _, policy := range policies() {
		t.Run(string(policy), func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				s := newSimulation(r, func(label string, n int) int {
					return rapid.IntRange(0, n-1).Draw(r, label)
				}, policy)
				r.Repeat(map[string]func(*rapid.T){"step": func(*rapid.T) { s.step() }})
			})
		})
	}
}

// TestSoak runs random events for the duration of -soak and prints each seed.
func TestSoak(t *testing.T) {
	if *soakFor == 0 {
		t.Skip("skipped without -soak")
	}
	seed := *soakSeed
	for end := time.Now().Add(*soakFor); time.Now().Before(end); seed++ {
		rng := rand.New(rand.NewPCG(seed, seed))
		policy := policies()[seed%4]
		t.Logf("seed %d policy %s", seed, policy)
		runSimulation(t, 2000, func(_ string, n int) int { return rng.IntN(n) }, policy)
	}
}
