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

// The planned size: racks of twenty workers, and tasks that fill all but some of them.
const (
	plannedRacks = 75
	plannedTasks = 26_000
	tasksPerJob  = 26
)

// crowd answers the calls of an owner at the planned size at once and as asked.
type crowd struct {
	owner   *pool.Owner
	now     time.Time
	running map[model.WorkerID]map[pool.RunKey]bool
	// held are the holds that wait for an end.
	held []pool.Call
}

func newCrowd() *crowd {
	c := &crowd{now: begin, running: map[model.WorkerID]map[pool.RunKey]bool{}}
	c.owner = pool.NewOwner(1, pool.DefaultTiming(workerLease, time.Hour), nil, begin)
	policy := pool.Policy{Guarantees: map[model.OrganisationID]int{}}
	for i := range 80 {
		policy.Guarantees[organisation(i)] = 100
	}
	c.owner.SetPolicy(policy, begin)
	var workers []pool.WorkerInfo
	for i := range plannedRacks * 20 {
		id := model.WorkerID(fmt.Sprintf("w%04d", i))
		c.running[id] = map[pool.RunKey]bool{}
		workers = append(workers, pool.WorkerInfo{
			ID: id, Service: "ledger", Zone: "z", Rack: fmt.Sprintf("r%d", i/20), Born: 1,
			Capacity: model.Resources{Accelerators: 8, MilliCPU: 64000, MemoryMB: 128000},
		})
	}
	c.owner.SetWorkers(workers, begin)
	return c
}

func organisation(i int) model.OrganisationID {
	return model.OrganisationID(fmt.Sprintf("org%02d", i%80))
}

// step lets the owner act once and answers its calls; holds that may wait are kept.
func (c *crowd) step() {
	c.now = c.now.Add(time.Millisecond)
	for len(c.held) > 0 && !c.now.Before(c.held[0].Sent.Add(c.held[0].Hold.Wait)) {
		call := c.held[0]
		c.held = c.held[1:]
		c.owner.HoldDone(call, c.inventory(call.Target.Worker), nil, c.now)
	}
	effects := c.owner.Advance(c.now, pool.Gate{MayStart: true, MayHold: true, MayRecord: true})
	for _, call := range effects.Calls {
		c.answer(call)
	}
	if effects.Store != nil {
		c.owner.StoreDone(effects.Store, store.TxnResult{Succeeded: true, Revision: 2}, nil, c.now)
	}
}

func (c *crowd) answer(call pool.Call) {
	id := call.Target.Worker
	clock := c.now.Sub(begin).Milliseconds() + 1
	switch {
	case call.Start != nil:
		c.running[id][pool.RunKey{Task: call.Start.Task, Run: call.Start.Run}] = true
		c.owner.StartDone(call, clock, nil, c.now)
	case call.Stop != nil:
		c.owner.StopDone(call, clock, nil, c.now)
	case call.Hold.Wait > 0:
		c.held = append(c.held, call)
	default:
		c.owner.HoldDone(call, c.inventory(id), nil, c.now)
	}
}

func (c *crowd) inventory(id model.WorkerID) pool.Inventory {
	inventory := pool.Inventory{ClockMS: c.now.Sub(begin).Milliseconds() + 1, Born: 1}
	for key := range c.running[id] {
		inventory.Running = append(inventory.Running, pool.RunningTask{RunKey: key})
	}
	return inventory
}

func (c *crowd) add(id string, i int, queue workflow.Queue, steps ...workflow.Step) {
	c.owner.AddJob(&workflow.Record{
		ID: model.JobID(id), Queue: queue, Organisation: organisation(i), Accepted: c.now, Spec: workflow.Spec{Steps: steps},
	}, nil, 0, c.now)
}

func (c *crowd) tasks() int {
	count := 0
	for _, running := range c.running {
		count += len(running)
	}
	return count
}

// fill starts the tasks of the planned size.
func (c *crowd) fill(b *testing.B) {
	small := step(tasksPerJob, 0, time.Hour)
	small.PerTask = model.Resources{MilliCPU: 3200, MemoryMB: 6400}
	for i := range plannedTasks / tasksPerJob {
		queue := normal()
		queue.Priority = 1 + i%2
		c.add(fmt.Sprintf("job%04d", i), i, queue, small)
	}
	for range 2000 {
		if c.tasks() == plannedTasks {
			break
		}
		c.step()
		c.now = c.now.Add(25 * time.Millisecond)
	}
	require.Equal(b, plannedTasks, c.tasks())
}

// measure reports the median and the 99th percentile of what a step takes.
func measure(b *testing.B, prepare, do func()) {
	var took []time.Duration
	for b.Loop() {
		prepare()
		begun := time.Now()
		do()
		took = append(took, time.Since(begun))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
}

// BenchmarkIdleStep takes a step at the planned size with nothing to do.
func BenchmarkIdleStep(b *testing.B) {
	c := newCrowd()
	c.fill(b)
	measure(b, func() {}, c.step)
}

// BenchmarkHold takes in the answer of a worker at the planned size, and steps.
func BenchmarkHold(b *testing.B) {
	c := newCrowd()
	c.fill(b)
	var call pool.Call
	var inventory pool.Inventory
	measure(b, func() {
		for len(c.held) == 0 {
			c.step()
		}
		call, c.held = c.held[0], c.held[1:]
		inventory = c.inventory(call.Target.Worker)
	}, func() {
		c.owner.HoldDone(call, inventory, nil, c.now)
		c.step()
	})
}

// BenchmarkPlanningStep takes a step at the planned size that makes room for a gang of
// eight whole workers under a guarantee.
func BenchmarkPlanningStep(b *testing.B) {
	c := newCrowd()
	c.fill(b)
	number := 0
	measure(b, func() {
		number++
		c.now = c.now.Add(100 * time.Millisecond)
		c.add(fmt.Sprintf("urgent%d", number), number, urgent(), gang(8, 8, time.Minute))
	}, c.step)
}
