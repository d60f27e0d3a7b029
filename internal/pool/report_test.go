package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// The report shows which guarantees are met, and whose runs were stopped for them.
func TestReportOfGuarantees(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.policy.Guarantees["aso"] = 16
	sim.owner.reload()
	for range 4 {
		sim.submit("batch"+string(rune('a'+len(sim.records))), "genkai", normalQueue(), step(8, 1, 20*time.Second))
	}
	sim.run(2 * time.Second)
	sim.submit("urgent", "aso", urgentQueue(), gang(2, 8, 5*time.Second))
	sim.run(2 * time.Second)
	report := sim.owner.owner.Report()
	require.Equal(t, 4, report.Workers.Usable)
	require.Zero(t, report.Workers.Free)
	require.Equal(t, []pool.OrganisationReport{
		{Organisation: "aso", Guaranteed: 16, Urgent: 16, Use: 16},
		{Organisation: "genkai", Use: 16},
	}, report.Organisations)
	require.True(t, report.Organisations[0].GuaranteeMet())
	require.Len(t, report.Reclaims, 1)
	require.Equal(t, 16, report.Reclaims[0].Runs)
	require.Positive(t, report.Reclaims[0].CoreSeconds)

	sim.submit("urgent2", "aso", urgentQueue(), step(1, 8, time.Second))
	sim.run(200 * time.Millisecond)
	explanation, known := sim.owner.owner.Explain("urgent2")
	require.True(t, known)
	require.Equal(t, "0 of 1 tasks fit into the free resources of 4 workers; it waits for resources behind more urgent work", explanation.Steps[0].Why)
}

// The explanation of a job states why each of its steps waits.
func TestExplanationOfSteps(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	second := step(1, 1, time.Second)
	second.DependsOn = []int{0}
	id := sim.submit("a", "aso", normalQueue(), step(2, 2, time.Second), second, step(1, 64, time.Second))
	sim.waitFor(2*time.Second, id, workflow.Running)
	sim.run(200 * time.Millisecond)
	explanation, known := sim.owner.owner.Explain(id)
	require.True(t, known)
	require.Equal(t, 2, explanation.Steps[0].Running)
	require.Empty(t, explanation.Steps[0].Why)
	require.Equal(t, "step 0 has 2 parts that are not done", explanation.Steps[1].Why)
	require.Contains(t, explanation.Steps[2].Why, "a task needs 64 accelerators")
	_, known = sim.owner.owner.Explain("b")
	require.False(t, known)
}
