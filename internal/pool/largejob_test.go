package pool_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Guards against a job of very many tasks with long checkpoints whose record outgrows what the store
// accepts, so that nothing of any job is recorded, started or ended any more.
func TestProgressOfALargeJobFitsIntoTheStore(t *testing.T) {
	sim := startSimulation(t, 2, 4)
	largest := sim.largestWrite()
	// The simulated workers understand a checkpoint as the time that was worked.
	checkpoint := strings.Repeat("0", 1000) + "1s"
	sim.alterResponse = func(_ pool.Call, inventory pool.Inventory, err error) (pool.Inventory, error) {
		for i := range inventory.Running {
			inventory.Running[i].Checkpoint = checkpoint
		}
		return inventory, err
	}
	// One task fails while the others run, so that the progress of all is recorded.
	sim.failAfter = func(run *fakeRun) (bool, time.Duration) {
		return run.key.Task == "large.0.0.0" && run.key.Run == 1, 4500 * time.Millisecond
	}
	many := manyTasks(1200, 12*time.Second)
	many.Checkpoints = true
	large := sim.submit("large", "aso", normalQueue(), many)
	sim.run(5 * time.Second)
	for i := range 4 {
		small := sim.submit(fmt.Sprintf("small-%d", i), "aso", normalQueue(), step(2, 1, 200*time.Millisecond))
		sim.waitFor(5*time.Second, small, workflow.Completed)
	}
	sim.waitFor(time.Minute, large, workflow.Completed)
	require.LessOrEqual(t, largest(), store.MaxValueBytes)
}

// manyTasks is a step of tasks that need little.
func manyTasks(tasks int, run time.Duration) workflow.Step {
	s := step(tasks, 0, run)
	s.PerTask.MilliCPU, s.PerTask.MemoryMB = 400, 100
	return s
}

// largestWrite returns the size of the largest value that was written so far.
func (sim *simulation) largestWrite() func() int {
	largest := 0
	sim.onWrite = func(txn store.Txn) {
		require.LessOrEqual(sim.t, len(txn.If)+len(txn.Then), 32)
		for _, op := range txn.Then {
			if op.Put != nil {
				largest = max(largest, len(op.Put.Value))
			}
		}
	}
	return func() int { return largest }
}

// parts counts the parts of a job in the store.
func (sim *simulation) parts(id model.JobID) int { return len(sim.rangeAll(store.PoolPartKey(id, ""))) }

// Guards against tasks of a large job that are done twice or forgotten when owners change, writes are
// lost or late and workers restart while its parts are recorded by turns.
func TestLargeJobsOutliveTheirOwners(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 2, 3)
			sim.audit.faults = true
			sim.after(0, sim.tick)
			sim.takeOver()
			second := manyTasks(90, time.Second)
			second.DependsOn = []int{0}
			wide := gang(6, 1, time.Second)
			wide.DependsOn = []int{0}
			ids := []model.JobID{sim.submit("large", "aso", normalQueue(), manyTasks(200, 1500*time.Millisecond), second, wide)}
			ids = append(ids, sim.submitSpec("timed", "aso", normalQueue(), workflow.Spec{
				Payload: "timed", Steps: []workflow.Step{manyTasks(30, 700*time.Millisecond)}, FirstDue: begin, Period: 500 * time.Millisecond, Occurrences: 8,
			}))
			for i := range 6 {
				sim.after(time.Duration(i)*1500*time.Millisecond, func() {
					ids = append(ids, sim.submit(fmt.Sprintf("small-%d", i), "aso", urgentQueue(), step(2, 1, 300*time.Millisecond)))
				})
			}
			for range 4 {
				sim.after(time.Duration(sim.rng.IntN(12_000))*time.Millisecond, func() {
					sim.loseWrites, sim.lateWrites = 1+sim.rng.IntN(3), time.Duration(sim.rng.IntN(900))*time.Millisecond
				})
			}
			for range 3 {
				sim.after(time.Duration(sim.rng.IntN(12_000))*time.Millisecond, func() {
					sim.owner.stopped = true
					sim.takeOver()
				})
			}
			sim.after(time.Duration(sim.rng.IntN(8_000))*time.Millisecond, func() { sim.restartUnnoticed(time.Second) })
			sim.run(13 * time.Second)
			sim.loseWrites = 0
			for _, id := range ids {
				sim.waitFor(3*time.Minute, id, workflow.Completed)
			}
			sim.run(5 * time.Second)
			require.Zero(t, sim.parts("large")+sim.parts("timed"), "parts of jobs that have ended are removed")
		})
	}
}

// Guards against a large job whose progress an earlier version has recorded in one value, and whose
// tasks are started again.
func TestProgressOfALargeJobInOneValueIsKept(t *testing.T) {
	const tasks, done = 1500, 1400
	sim := newSimulation(t, 1, 1, 4)
	sim.after(0, sim.tick)
	earlier := workflow.Progress{State: workflow.Running, TaskGroups: map[string]workflow.TaskGroupProgress{}}
	for i := range done {
		earlier.TaskGroups[fmt.Sprintf("0.0.%d", i)] = workflow.TaskGroupProgress{Done: true, Run: 1}
	}
	sim.put(store.PoolProgressKey("large"), workflow.Encode(earlier))
	id := sim.submit("large", "aso", normalQueue(), manyTasks(tasks, 3*time.Second))
	// The first owner can't record one of the parts.
	sim.refusing(store.PoolPartKey(id, "0.1"))
	sim.takeOver()
	sim.run(time.Second)
	require.Positive(t, sim.parts(id))
	sim.owner.stopped, sim.refuseWrite = true, nil
	sim.takeOver()
	sim.run(time.Second)
	sim.owner.stopped = true
	sim.takeOver()
	sim.waitFor(time.Minute, id, workflow.Completed)
	require.Equal(t, tasks-done, sim.audit.starts)
}

// Guards against a large job that is scheduled without a part that can't be read: its tasks would
// be started again.
func TestJobWithAnUnreadablePartIsSetAside(t *testing.T) {
	sim := newSimulation(t, 1, 1, 1)
	owner := pool.NewOwner(1, pool.DefaultTiming(workerLease, retention), nil, sim.now())
	require.Error(t, owner.AddRecord(store.KeyValue{Key: store.PoolPartKey("large", "0.1"), Value: []byte("{")}, sim.now()))
	record := &workflow.Record{ID: "large", Queue: normalQueue(), Spec: workflow.Spec{Steps: []workflow.Step{manyTasks(300, time.Second)}}}
	require.ErrorContains(t, owner.AddJob(record, nil, 0, sim.now()), "part 0.1")
}

// Guards against records that grow with the length of checkpoints, which the workers choose.
func TestLongCheckpointsAreLeftOutOfARecord(t *testing.T) {
	for _, tasks := range []int{120, 250} {
		sim := startSimulation(t, 1, 4)
		largest := sim.largestWrite()
		// Some are too long to be kept at all.
		sim.alterResponse = func(_ pool.Call, inventory pool.Inventory, err error) (pool.Inventory, error) {
			for i := range inventory.Running {
				inventory.Running[i].Checkpoint = strings.Repeat("0", 500*len(inventory.Running[i].Task)*(i%20)) + "1s"
			}
			return inventory, err
		}
		sim.failAfter = func(run *fakeRun) (bool, time.Duration) {
			return run.key.Run == 1 && run.task.Index%40 == 0, 3 * time.Second
		}
		s := manyTasks(tasks, 5*time.Second)
		s.Checkpoints = true
		id := sim.submit("large", "aso", normalQueue(), s)
		sim.run(4 * time.Second)
		sim.owner.stopped = true
		sim.takeOver()
		sim.waitFor(time.Minute, id, workflow.Completed)
		require.LessOrEqual(t, largest(), 256<<10)
		require.Greater(t, largest(), 128<<10)
	}
}

// Guards against urgent work that waits for all records of a large job to be written.
func TestRecordsOfALargeJobLeaveRoomForOthers(t *testing.T) {
	sim := startSimulation(t, 1, 8)
	sim.submit("large", "aso", normalQueue(), manyTasks(1500, 3*time.Second))
	sim.run(2 * time.Second)
	// Its tasks end all at once while the store doesn't answer.
	sim.storeDown = true
	sim.run(2 * time.Second)
	small := sim.submit("small", "aso", urgentQueue(), step(1, 1, 300*time.Millisecond))
	sim.run(100 * time.Millisecond)
	var keys []string
	sim.onWrite = func(txn store.Txn) {
		for _, op := range txn.Then {
			if op.Put != nil {
				keys = append(keys, op.Put.Key)
			}
		}
	}
	sim.storeDown = false
	sim.waitFor(5*time.Second, small, workflow.Completed)
	require.Contains(t, keys[:min(3, len(keys))], store.PoolProgressKey(small))
}

// Guards against one part that the store refuses and that holds up the other parts of its job, and other jobs.
func TestPartThatTheStoreRefusesHoldsUpNoOther(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.refusing(store.PoolPartKey("large", "0.1"))
	large := sim.submit("large", "aso", normalQueue(), manyTasks(300, 2*time.Second))
	sim.run(3 * time.Second)
	small := sim.submit("small", "aso", normalQueue(), step(1, 1, 300*time.Millisecond))
	sim.waitFor(2*time.Second, small, workflow.Completed)
	require.Equal(t, 4, sim.parts(large))
	sim.refuseWrite = nil
	sim.waitFor(2*time.Minute, large, workflow.Completed)
}

// Guards against an owner that runs out of memory, and each one after it, since workers report long
// checkpoints of many tasks.
func TestCheckpointsTakeBoundedMemory(t *testing.T) {
	const tasks, bytes, limit = 700, 60_000, 32 << 20
	sim := startSimulation(t, 1, 8)
	checkpoint := strings.Repeat("0", bytes-2) + "1s"
	sim.alterResponse = func(_ pool.Call, inventory pool.Inventory, err error) (pool.Inventory, error) {
		for i := range inventory.Running {
			inventory.Running[i].Checkpoint = checkpoint
		}
		for i := range inventory.Ended {
			inventory.Ended[i].Checkpoint = checkpoint
		}
		return inventory, err
	}
	sim.failAfter = func(run *fakeRun) (bool, time.Duration) { return run.key.Run == 1, 3 * time.Second }
	s := manyTasks(tasks, 5*time.Second)
	s.Checkpoints = true
	for _, id := range []string{"first", "second"} {
		before := sim.audit.resumes
		sim.waitFor(time.Minute, sim.submit(id, "aso", normalQueue(), s), workflow.Completed)
		resumed := sim.audit.resumes - before
		require.LessOrEqual(t, resumed*bytes, limit)
		require.Greater(t, resumed*bytes, limit/2, "the memory for the checkpoints of the first job is free again")
	}
}
