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
	use(s, &pool.Run{Piece: "one", Priority: 1}, resources(1), "w0-0")
	use(s, &pool.Run{Piece: "two", Priority: 1}, resources(1), "w1-0")
	use(s, &pool.Run{Piece: "three", Priority: 1}, resources(1), "w1-1")
	fit := pool.Explain(s, p)
	require.Equal(t, pool.Fit{
		Usable: 8, Allowed: 8, Large: 8, Slots: 4, Bound: true, BestRack: "r0", RackSlots: 3, InTime: true,
	}, fit)
}

func TestExplainATaskLargerThanAnyWorker(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1)}
	fit := pool.Explain(s, piece("huge", 1, 64))
	require.Zero(t, fit.Large)
	require.Zero(t, fit.Slots)
	require.Equal(t, 4, fit.Allowed)
}

func TestExplainALabelThatNoWorkerHas(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1)}
	p := piece("task", 1, 1)
	p.RequiredLabel = "b"
	require.Zero(t, pool.Explain(s, p).Allowed)
}

func TestExplainWorkThatIsLateAndWorkThatLeavesRoom(t *testing.T) {
	s := &pool.Snapshot{Now: begin, Workers: workers(1), Peaks: map[int]int{2: 8}}
	p := piece("batch", 1, 1)
	p.Priority = 2
	require.Equal(t, 1, pool.Explain(s, p).Kept)
	p.Objective = begin.Add(time.Second)
	fit := pool.Explain(s, p)
	require.False(t, fit.InTime)
	require.Zero(t, fit.Kept)
}
