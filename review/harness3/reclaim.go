package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// The guaranteed job has to have begun within reclaimMs of the deployment, 2,700 ms. It is watched
// for longer, to tell a late start from none.
const (
	reclaimWindow = 2700 * time.Millisecond
	reclaimWatch  = 20 * time.Second
	urgentJob     = "aaaa000000000001"
	urgentTasks   = 4
)

// reclaimJudge notes when the tasks of the guaranteed job first start.
type reclaimJudge struct {
	noJudge
	mu     sync.Mutex
	starts map[string]time.Time
}

func (j *reclaimJudge) started(_ *cluster, _ *executor, r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, known := j.starts[r.key.task]; !known && strings.HasPrefix(r.key.task, urgentJob) {
		j.starts[r.key.task] = time.Now()
	}
}

// begun returns how many tasks had started by a time.
func (j *reclaimJudge) begun(by time.Time) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for _, at := range j.starts {
		if !at.After(by) {
			count++
		}
	}
	return count
}

// playReclaim: jobs that last, of a tenant without a guarantee, come at once and borrow all that is
// idle; then a tenant hands in a job within its guarantee.
func playReclaim(record string, trouble bool) ([]string, error) {
	judge := &reclaimJudge{starts: map[string]time.Time{}}
	c, err := newCluster(record, 3, judge)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	const executors = 6
	for i := range executors {
		if _, err := c.addExecutor(executorOptions{id: fmt.Sprintf("i-%04d", i), zone: fmt.Sprintf("z%d", i%3), rack: fmt.Sprintf("r%d", i/3), kind: "a", capacity: resources{CPU: 64000, MemMB: 131072, GPU: 8}}); err != nil {
			return nil, err
		}
	}
	if err := c.setUp(16); err != nil {
		return nil, err
	}
	time.Sleep(leadTime)
	if trouble {
		for i := range executors {
			j := job{Spec: "lasts", LongRunning: true, Steps: []step{{Count: 8, CPU: 4000, MemMB: 8000, GPU: 1, EstRunMS: 5000, LongRunning: true}}}
			if !c.submit(fmt.Sprintf("/batch/bbbb00000000000%d", i), "key-genkai", j) {
				return nil, errors.New("a job of the burst was not accepted")
			}
		}
	}
	time.Sleep(5 * time.Second)
	j := job{Spec: "work=2s", Steps: []step{{Count: urgentTasks, CPU: 4000, MemMB: 8000, GPU: 1, EstRunMS: 2000}}}
	if !c.submit("/urgent/"+urgentJob, "key-aso", j) {
		return nil, errors.New("the guaranteed job was not accepted")
	}
	acknowledged := time.Now()
	c.record("the guaranteed job is acknowledged: %d tasks of 1 GPU, 16 are guaranteed", urgentTasks)
	for judge.begun(time.Now()) < urgentTasks && time.Since(acknowledged) < reclaimWatch {
		time.Sleep(50 * time.Millisecond)
	}
	c.state("/urgent/"+urgentJob, "key-aso")
	if inTime := judge.begun(acknowledged.Add(reclaimWindow)); inTime < urgentTasks {
		c.breakRule("RECLAIM: %d of %d tasks of the guaranteed job had begun %v after its acknowledgement, and %d after %v", inTime, urgentTasks, reclaimWindow, judge.begun(time.Now()), time.Since(acknowledged).Round(time.Second))
	}
	return c.broken, nil
}
