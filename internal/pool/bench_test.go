package pool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// The size that the pool is designed for: racks of twenty workers, and small tasks.
const (
	fullSizeRacks = 75
	fullSizeTasks = 26_000
	tasksPerJob   = 26
)

// fakePool answers the calls of an owner of a full-size pool, at once and successfully.
type fakePool struct {
	owner   *pool.Owner
	now     time.Time
	running map[model.WorkerID]map[pool.RunKey]bool
	// pendingRenewals are the lease renewals that wait for a run to end.
	pendingRenewals []pool.Call
}

func newFakePool() *fakePool {
	c := &fakePool{now: begin, running: map[model.WorkerID]map[pool.RunKey]bool{}}
	c.owner = pool.NewOwner(1, pool.DefaultTiming(workerLease, time.Hour), nil, begin)
	policy := pool.Policy{Guarantees: map[model.OrganisationID]int{}}
	for i := range 80 {
		policy.Guarantees[organisation(i)] = 100
	}
	c.owner.SetPolicy(policy, begin)
	var workers []pool.WorkerInfo
	for i := range fullSizeRacks * 20 {
		id := model.WorkerID(fmt.Sprintf("w%04d", i))
		c.running[id] = map[pool.RunKey]bool{}
		workers = append(workers, pool.WorkerInfo{
			ID: id, Service: "ledger", Zone: "z", Rack: fmt.Sprintf("r%d", i/20), Incarnation: 1,
			Capacity: model.Resources{Accelerators: 8, MilliCPU: 64000, MemoryMB: 128000},
		})
	}
	c.owner.SetWorkers(workers, begin)
	return c
}

func organisation(i int) model.OrganisationID {
	return model.OrganisationID(fmt.Sprintf("org%02d", i%80))
}

// advance advances the owner once and answers its calls; lease renewals that may wait are
// answered when their wait is over.
func (c *fakePool) advance() {
	c.now = c.now.Add(time.Millisecond)
	for len(c.pendingRenewals) > 0 && !c.now.Before(c.pendingRenewals[0].Sent.Add(c.pendingRenewals[0].Renew.Wait)) {
		call := c.pendingRenewals[0]
		c.pendingRenewals = c.pendingRenewals[1:]
		c.owner.RenewalDone(call, c.inventory(call.Target.Worker), nil, c.now)
	}
	effects := c.owner.Advance(c.now, pool.Gate{MayStart: true, MayRenewLeases: true, MayRecord: true})
	for _, call := range effects.Calls {
		c.answer(call)
	}
	if effects.Store != nil {
		c.owner.StoreDone(effects.Store, store.TxnResult{Succeeded: true, Revision: 2}, nil, c.now)
	}
}

func (c *fakePool) answer(call pool.Call) {
	id := call.Target.Worker
	clock := c.now.Sub(begin).Milliseconds() + 1
	switch {
	case call.Start != nil:
		c.running[id][pool.RunKey{Task: call.Start.Task, Run: call.Start.Run}] = true
		c.owner.StartDone(call, clock, nil, c.now)
	case call.Stop != nil:
		c.owner.StopDone(call, clock, nil, c.now)
	case call.Renew.Wait > 0:
		c.pendingRenewals = append(c.pendingRenewals, call)
	default:
		c.owner.RenewalDone(call, c.inventory(id), nil, c.now)
	}
}

func (c *fakePool) inventory(id model.WorkerID) pool.Inventory {
	inventory := pool.Inventory{ClockMS: c.now.Sub(begin).Milliseconds() + 1, Incarnation: 1}
	for key := range c.running[id] {
		inventory.Running = append(inventory.Running, pool.RunningTask{RunKey: key})
	}
	return inventory
}

func (c *fakePool) addJob(id string, i int, queue workflow.Queue, steps ...workflow.Step) {
	c.owner.AddJob(&workflow.Record{
		ID: model.JobID(id), Queue: queue, Organisation: organisation(i), Accepted: c.now, Spec: workflow.Spec{Steps: steps},
	}, nil, 0, c.now)
}

func (c *fakePool) tasks() int {
	count := 0
	for _, running := range c.running {
		count += len(running)
	}
	return count
}

// startAllTasks starts the tasks of a full-size pool.
func (c *fakePool) startAllTasks(b *testing.B) {
	small := step(tasksPerJob, 0, time.Hour)
	small.PerTask = model.Resources{MilliCPU: 3200, MemoryMB: 6400}
	for i := range fullSizeTasks / tasksPerJob {
		queue := normalQueue()
		queue.Priority = 1 + i%2
		c.addJob(fmt.Sprintf("job%04d", i), i, queue, small)
	}
	for range 2000 {
		if c.tasks() == fullSizeTasks {
			break
		}
		c.advance()
		c.now = c.now.Add(25 * time.Millisecond)
	}
	require.Equal(b, fullSizeTasks, c.tasks())
}

// measure reports the median and the 99th percentile of the time that the operation takes.
func measure(b *testing.B, prepare, operation func()) {
	var durations []time.Duration
	for b.Loop() {
		prepare()
		started := time.Now()
		operation()
		durations = append(durations, time.Since(started))
	}
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds())/1000, "p99-ms")
}

// BenchmarkIdleStep advances the owner of a full-size pool with nothing to do.
func BenchmarkIdleStep(b *testing.B) {
	c := newFakePool()
	c.startAllTasks(b)
	measure(b, func() {}, c.advance)
}

// BenchmarkLeaseRenewal processes the answer of a worker to a lease renewal and advances
// the owner.
func BenchmarkLeaseRenewal(b *testing.B) {
	c := newFakePool()
	c.startAllTasks(b)
	var call pool.Call
	var inventory pool.Inventory
	measure(b, func() {
		for len(c.pendingRenewals) == 0 {
			c.advance()
		}
		call, c.pendingRenewals = c.pendingRenewals[0], c.pendingRenewals[1:]
		inventory = c.inventory(call.Target.Worker)
	}, func() {
		c.owner.RenewalDone(call, inventory, nil, c.now)
		c.advance()
	})
}

// BenchmarkPlanningStep advances the owner of a full-size pool, which evicts runs for a
// guaranteed gang of eight whole workers.
func BenchmarkPlanningStep(b *testing.B) {
	c := newFakePool()
	c.startAllTasks(b)
	number := 0
	measure(b, func() {
		number++
		c.now = c.now.Add(100 * time.Millisecond)
		c.addJob(fmt.Sprintf("urgent%d", number), number, urgentQueue(), gang(8, 8, time.Minute))
	}, c.advance)
}
