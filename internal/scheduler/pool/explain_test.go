package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/scheduler/pool"
)

func TestExplainAGangThatWaitsForARack(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(2)}
	g := taskGroup("gang", 4, 8)
	g.SameRack = true
	addRun(s, &pool.Run{TaskGroup: "one", Priority: 1}, resources(1), "w0-0")
	addRun(s, &pool.Run{TaskGroup: "two", Priority: 1}, resources(1), "w1-0")
	addRun(s, &pool.Run{TaskGroup: "three", Priority: 1}, resources(1), "w1-1")
	fit := pool.Explain(s, g)
	require.Equal(t, pool.Fit{
		UsableWorkers: 8, AllowedWorkers: 8, LargeEnoughWorkers: 8, FreeSlots: 4, RackBound: true, BestRack: "r0", BestRackSlots: 3, OnTime: true,
	}, fit)
}

func TestExplainATaskLargerThanAnyWorker(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1)}
	fit := pool.Explain(s, taskGroup("huge", 1, 64))
	require.Zero(t, fit.LargeEnoughWorkers)
	require.Zero(t, fit.FreeSlots)
	require.Equal(t, 4, fit.AllowedWorkers)
}

func TestExplainALabelThatNoWorkerHas(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1)}
	g := taskGroup("task", 1, 1)
	g.RequiredLabel = "b"
	require.Zero(t, pool.Explain(s, g).AllowedWorkers)
}

func TestExplainLateWorkAndHeadroom(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1), PeakUsage: map[int]int{2: 8}}
	g := taskGroup("batch", 1, 1)
	g.Priority = 2
	require.Equal(t, 1, pool.Explain(s, g).HeadroomWorkers)
	g.Objective = begin.Add(time.Second)
	fit := pool.Explain(s, g)
	require.False(t, fit.OnTime)
	require.Zero(t, fit.HeadroomWorkers)
}
