package pool_test

import (
	"context"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/panics"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// panickingWorkers panic on the response of each call, like an adapter with a fault.
type panickingWorkers struct {
	pool.WorkerPort
	calls atomic.Int64
}

func (w *panickingWorkers) RenewLeases(context.Context, pool.Target, pool.RenewalOrder) (pool.Inventory, error) {
	w.calls.Add(1)
	panic("malformed response")
}

// newTestLoop returns a loop that drives an owner with one worker and may do everything.
func newTestLoop(t *testing.T, workers pool.WorkerPort, onFailure func(error)) *pool.Loop {
	return newGatedLoop(t, workers, onFailure, func() pool.Gate { return openGate })
}

var openGate = pool.Gate{MayStart: true, MayRecord: true, MayRenewLeases: true}

func newGatedLoop(t *testing.T, workers pool.WorkerPort, onFailure func(error), gate func() pool.Gate) *pool.Loop {
	clock := clockwork.NewRealClock()
	kv := memory.New(clock)
	elected, err := kv.Txn(t.Context(), store.Txn{Then: []store.Op{{Put: &store.Put{Key: store.PoolOwnerKey}}}})
	require.NoError(t, err)
	owner := pool.NewOwner(uint64(elected.Revision), pool.DefaultTiming(6*time.Second, time.Hour), nil, clock.Now())
	owner.SetWorkers([]pool.WorkerInfo{{
		ID: "w1", Service: "ledger", Incarnation: 1, Capacity: model.Resources{Accelerators: 8, MilliCPU: 8000, MemoryMB: 8000},
	}}, clock.Now())
	loop := pool.NewLoop(owner, pool.Ports{
		Clock: clock, Workers: workers, Store: kv, OnOwnershipLost: func() {}, OnFailure: onFailure,
		Gate: gate,
	})
	t.Cleanup(loop.Stop)
	return loop
}

// After a panic of the owner the loop reports it once and does nothing more.
func TestPanicOfTheOwnerEndsTheLoop(t *testing.T) {
	var failures []error
	loop := newTestLoop(t, &panickingWorkers{}, func(err error) { failures = append(failures, err) })
	for range 2 {
		loop.Update(func(*pool.Owner, time.Time) { panic(errors.New("broken invariant")) })
	}
	require.Len(t, failures, 1)
	require.EqualError(t, failures[0], "panic: broken invariant")
	require.Contains(t, panics.Stack(failures[0]), "loop_test.go")
	loop.Read(func(*pool.Owner) { t.Error("the owner is used after its panic") })
}

// A response that makes the adapter panic counts as lost: the worker is silent, and the
// owner goes on.
func TestPanicOfAnAdapterCountsAsALostResponse(t *testing.T) {
	workers := &panickingWorkers{}
	loop := newTestLoop(t, workers, func(err error) { t.Error(err) })
	require.Eventually(t, func() bool { return workers.calls.Load() >= 2 }, 20*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		silent := 0
		loop.Read(func(o *pool.Owner) { silent = o.Report().Workers.Silent })
		return silent == 1
	}, 20*time.Second, time.Millisecond)
}

// A record that breaks an invariant is set aside without a trace; the jobs before and after
// it run.
func TestRecordThatBreaksAnInvariantIsSetAside(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	broken := workflow.Record{ID: "b", Organisation: "aso", Queue: normalQueue(), Accepted: sim.now(), Spec: workflow.Spec{
		Steps: []workflow.Step{step(1, 1, time.Second), {Tasks: 1, DependsOn: []int{7}}},
	}}
	owner := sim.owner.owner
	before := sim.submit("a", "aso", normalQueue(), step(1, 1, time.Second))
	require.ErrorContains(t, owner.AddJob(&broken, nil, store.Revision(0), sim.now()), "index out of range")
	_, _, known := owner.Lookup("b")
	require.False(t, known)
	after := sim.submit("c", "aso", normalQueue(), step(1, 1, time.Second))
	sim.waitFor(5*time.Second, before, workflow.Completed)
	sim.waitFor(5*time.Second, after, workflow.Completed)
	require.Equal(t, 2, sim.audit.starts)
}

// A job whose many occurrences are all due at once opens them a few at a time.
func TestOpenOccurrencesAreBounded(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	id := sim.submitSpec("a", "aso", normalQueue(), workflow.Spec{
		FirstDue: sim.now().Add(-time.Hour), Occurrences: workflow.MaxOccurrences, Steps: []workflow.Step{step(workflow.MaxTasks, 1, time.Hour)},
	})
	sim.waitFor(time.Second, id, workflow.Running)
	explanation, found := sim.owner.owner.Explain(id)
	require.True(t, found)
	require.Len(t, explanation.Steps, 2)
}

// idleWorkers accept every order and run nothing.
type idleWorkers struct{ starts atomic.Int64 }

func (w *idleWorkers) Start(context.Context, pool.Target, pool.StartOrder) (int64, error) {
	w.starts.Add(1)
	return 1000, nil
}

func (w *idleWorkers) Stop(context.Context, pool.Target, pool.StopOrder) (int64, error) {
	return 1000, nil
}
func (w *idleWorkers) Pace(context.Context, pool.Target, pool.PaceOrder) (int64, error) {
	return 1000, nil
}

func (w *idleWorkers) RenewLeases(context.Context, pool.Target, pool.RenewalOrder) (pool.Inventory, error) {
	return pool.Inventory{ClockMS: 1000, Incarnation: 1}, nil
}

// A process is paused between the decision to start a task and the sending of the order, and
// its ownership runs out meanwhile: the gate is open when the owner decides and shut when the
// order would leave. Nothing is sent; the task starts once the ownership is certain again.
func TestPermissionIsCheckedWhenAnOrderIsSent(t *testing.T) {
	workers := &idleWorkers{}
	var paused atomic.Bool
	var refusals atomic.Int64
	gate := func() pool.Gate {
		if !paused.Load() {
			return openGate
		}
		if calledFrom("advanceOwner") {
			return openGate
		}
		refusals.Add(1)
		return pool.Gate{MayRecord: true}
	}
	loop := newGatedLoop(t, workers, func(err error) { t.Error(err) }, gate)
	require.Eventually(t, func() bool {
		usable := 0
		loop.Read(func(o *pool.Owner) { usable = o.Report().Workers.Usable })
		return usable == 1
	}, 20*time.Second, time.Millisecond)

	paused.Store(true)
	record := workflow.Record{ID: "a", Organisation: "aso", Queue: normalQueue(), Spec: workflow.Spec{Steps: []workflow.Step{step(1, 1, time.Second)}}}
	record.Queue.Service = "ledger"
	loop.Update(func(o *pool.Owner, now time.Time) { require.NoError(t, o.AddJob(&record, nil, 0, now)) })
	require.Eventually(t, func() bool { return refusals.Load() >= 3 }, 20*time.Second, time.Millisecond)
	require.Zero(t, workers.starts.Load())
	paused.Store(false)
	require.Eventually(t, func() bool { return workers.starts.Load() > 0 }, 20*time.Second, time.Millisecond)
}

// calledFrom reports whether a function of this name is on the stack.
func calledFrom(name string) bool {
	callers := make([]uintptr, 32)
	frames := runtime.CallersFrames(callers[:runtime.Callers(1, callers)])
	for {
		frame, more := frames.Next()
		if strings.HasSuffix(frame.Function, "."+name) {
			return true
		}
		if !more {
			return false
		}
	}
}
