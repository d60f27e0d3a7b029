package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/scheduler/pool"
)

func TestExplainAGangThatWaitsForARack(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(2)}
	p := piece("gang", 4, 8)
	p.SameRack = true
	addRun(s, &pool.Run{Piece: "one", Priority: 1}, resources(1), "w0-0")
	addRun(s, &pool.Run{Piece: "two", Priority: 1}, resources(1), "w1-0")
	addRun(s, &pool.Run{Piece: "three", Priority: 1}, resources(1), "w1-1")
	fit := pool.Explain(s, p)
	require.Equal(t, pool.Fit{
		UsableWorkers: 8, AllowedWorkers: 8, LargeEnoughWorkers: 8, FreeSlots: 4, RackBound: true, BestRack: "r0", BestRackSlots: 3, OnTime: true,
	}, fit)
}

func TestExplainATaskLargerThanAnyWorker(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1)}
	fit := pool.Explain(s, piece("huge", 1, 64))
	require.Zero(t, fit.LargeEnoughWorkers)
	require.Zero(t, fit.FreeSlots)
	require.Equal(t, 4, fit.AllowedWorkers)
}

func TestExplainALabelThatNoWorkerHas(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1)}
	p := piece("task", 1, 1)
	p.RequiredLabel = "b"
	require.Zero(t, pool.Explain(s, p).AllowedWorkers)
}

func TestExplainLateWorkAndHeadroom(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1), PeakUsage: map[int]int{2: 8}}
	p := piece("batch", 1, 1)
	p.Priority = 2
	require.Equal(t, 1, pool.Explain(s, p).HeadroomWorkers)
	p.Objective = begin.Add(time.Second)
	fit := pool.Explain(s, p)
	require.False(t, fit.OnTime)
	require.Zero(t, fit.HeadroomWorkers)
}
