package chart_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/chart"
)

// TestChartsAreSound checks that in each chart every state is reachable from the initial
// state and that final states have no outgoing transition.
func TestChartsAreSound(t *testing.T) {
	for _, name := range chart.Names() {
		t.Run(name, func(t *testing.T) {
			c := chart.Load(name)
			require.Equal(t, name, c.Name)
			reachable := map[string]bool{c.Initial: true}
			hasOutgoing := map[string]bool{}
			for range c.States() {
				for _, tr := range c.Transitions {
					for _, from := range tr.From {
						hasOutgoing[from] = true
						reachable[tr.To] = reachable[tr.To] || reachable[from]
					}
				}
			}
			for _, state := range c.States() {
				require.True(t, reachable[state], "state %s is unreachable", state)
			}
			for _, state := range c.Final {
				require.False(t, hasOutgoing[state], "final state %s has an outgoing transition", state)
			}
		})
	}
}

func TestMissingTransitionPanics(t *testing.T) {
	job := chart.Load("job").New()
	require.Panics(t, func() { job.Fire("all_started") })
	job.Fire("place")
	job.Fire("all_started")
	job.Fire("finish")
	require.True(t, job.Final())
}
