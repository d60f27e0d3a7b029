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

// fakePool responds to the calls of an owner of a full-size pool, at once and successfully.
type fakePool struct {
	owner   *pool.Owner
	now     time.Time
	running map[model.WorkerID]map[pool.RunKey]bool
	// pendingRenewals are the lease renewals that wait for a run to end.
	pendingRenewals []pool.Call
}

func newFakePool() *fakePool {
	p := &fakePool{now: begin, running: map[model.WorkerID]map[pool.RunKey]bool{}}
	p.owner = pool.NewOwner(1, pool.DefaultTiming(workerLease, time.Hour), nil, begin)
	policy := pool.Policy{Guarantees: map[model.OrganisationID]int{}}
	for i := range 80 {
		policy.Guarantees[organisation(i)] = 100
	}
	p.owner.SetPolicy(policy, begin)
	var workers []pool.WorkerInfo
	for i := range fullSizeRacks * 20 {
		id := model.WorkerID(fmt.Sprintf("w%04d", i))
		p.running[id] = map[pool.RunKey]bool{}
		workers = append(workers, pool.WorkerInfo{
			ID: id, Service: "ledger", Zone: "z", Rack: fmt.Sprintf("r%d", i/20), Incarnation: 1,
			Capacity: model.Resources{Accelerators: 8, MilliCPU: 64000, MemoryMB: 128000},
		})
	}
	p.owner.SetWorkers(workers, begin)
	return p
}

func organisation(i int) model.OrganisationID {
	return model.OrganisationID(fmt.Sprintf("org%02d", i%80))
}

// advance advances the owner once and responds to its calls; lease renewals that may wait
// get their response when their wait is over.
func (p *fakePool) advance() {
	p.now = p.now.Add(time.Millisecond)
	for len(p.pendingRenewals) > 0 && !p.now.Before(p.pendingRenewals[0].Sent.Add(p.pendingRenewals[0].Renew.Wait)) {
		call := p.pendingRenewals[0]
		p.pendingRenewals = p.pendingRenewals[1:]
		p.owner.RenewalDone(call, p.inventory(call.Target.Worker), nil, p.now)
	}
	effects := p.owner.Advance(p.now, pool.Gate{MayStart: true, MayRenewLeases: true, MayRecord: true})
	for _, call := range effects.Calls {
		p.respond(call)
	}
	if effects.Store != nil {
		p.owner.StoreDone(effects.Store, store.TxnResult{Succeeded: true, Revision: 2}, nil, p.now)
	}
}

func (p *fakePool) respond(call pool.Call) {
	id := call.Target.Worker
	clock := p.now.Sub(begin).Milliseconds() + 1
	switch {
	case call.Start != nil:
		p.running[id][pool.RunKey{Task: call.Start.Task, Run: call.Start.Run}] = true
		p.owner.StartDone(call, clock, nil, p.now)
	case call.Stop != nil:
		p.owner.StopDone(call, clock, nil, p.now)
	case call.Renew.Wait > 0:
		p.pendingRenewals = append(p.pendingRenewals, call)
	default:
		p.owner.RenewalDone(call, p.inventory(id), nil, p.now)
	}
}

func (p *fakePool) inventory(id model.WorkerID) pool.Inventory {
	inventory := pool.Inventory{ClockMS: p.now.Sub(begin).Milliseconds() + 1, Incarnation: 1}
	for key := range p.running[id] {
		inventory.Running = append(inventory.Running, pool.RunningTask{RunKey: key})
	}
	return inventory
}

func (p *fakePool) addJob(id string, i int, queue workflow.Queue, steps ...workflow.Step) {
	p.owner.AddJob(&workflow.Record{
		ID: model.JobID(id), Queue: queue, Organisation: organisation(i), Accepted: p.now, Spec: workflow.Spec{Steps: steps},
	}, nil, 0, p.now)
}

func (p *fakePool) tasks() int {
	count := 0
	for _, running := range p.running {
		count += len(running)
	}
	return count
}

// startAllTasks starts the tasks of a full-size pool.
func (p *fakePool) startAllTasks(b *testing.B) {
	small := step(tasksPerJob, 0, time.Hour)
	small.PerTask = model.Resources{MilliCPU: 3200, MemoryMB: 6400}
	for i := range fullSizeTasks / tasksPerJob {
		queue := normalQueue()
		queue.Priority = 1 + i%2
		p.addJob(fmt.Sprintf("job%04d", i), i, queue, small)
	}
	for range 2000 {
		if p.tasks() == fullSizeTasks {
			break
		}
		p.advance()
		p.now = p.now.Add(25 * time.Millisecond)
	}
	require.Equal(b, fullSizeTasks, p.tasks())
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
	p := newFakePool()
	p.startAllTasks(b)
	measure(b, func() {}, p.advance)
}

// BenchmarkLeaseRenewal processes the response of a worker to a lease renewal and advances
// the owner.
func BenchmarkLeaseRenewal(b *testing.B) {
	p := newFakePool()
	p.startAllTasks(b)
	var call pool.Call
	var inventory pool.Inventory
	measure(b, func() {
		for len(p.pendingRenewals) == 0 {
			p.advance()
		}
		call, p.pendingRenewals = p.pendingRenewals[0], p.pendingRenewals[1:]
		inventory = p.inventory(call.Target.Worker)
	}, func() {
		p.owner.RenewalDone(call, inventory, nil, p.now)
		p.advance()
	})
}

// BenchmarkPlanningStep advances the owner of a full-size pool, which evicts runs for a
// guaranteed gang of eight whole workers.
func BenchmarkPlanningStep(b *testing.B) {
	p := newFakePool()
	p.startAllTasks(b)
	number := 0
	measure(b, func() {
		number++
		p.now = p.now.Add(100 * time.Millisecond)
		p.addJob(fmt.Sprintf("urgent%d", number), number, urgentQueue(), gang(8, 8, time.Minute))
	}, p.advance)
}
