package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// finishTime is finish_s of the deployment, idleTime the time after it for which a job may have
// nothing running although its turn has come and there is room.
const (
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// startJudge notes which jobs have started.
type startJudge struct {
	noJudge
	mu      sync.Mutex
	begun   map[string]time.Time
	running map[string]int
}

func (j *startJudge) started(_ *cluster, _ *executor, r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	name, _, _ := strings.Cut(r.key.task, ".")
	if _, known := j.begun[name]; !known {
		j.begun[name] = time.Now()
	}
	j.running[name]++
}

func (j *startJudge) ended(_ *cluster, _ *executor, r *run, _ string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	name, _, _ := strings.Cut(r.key.task, ".")
	j.running[name]--
}

func (j *startJudge) hasBegun(name string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, known := j.begun[name]
	return known
}

// playLargeJob: a job with many tasks that save their progress comes; then small jobs.
func playLargeJob(record string, trouble bool) ([]string, error) {
	judge := &startJudge{begun: map[string]time.Time{}, running: map[string]int{}}
	c, err := newCluster(record, 3, judge)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	for i := range 8 {
		o := executorOptions{id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i), zone: fmt.Sprintf("z%d", i%3), rack: fmt.Sprintf("r%d", i/4), kind: "a", capacity: resources{CPU: 128000, MemMB: 524288, GPU: 8}}
		if _, err := c.addExecutor(o); err != nil {
			return nil, err
		}
	}
	if err := c.setUp(8); err != nil {
		return nil, err
	}
	time.Sleep(leadTime)
	saved := os.Getenv("SAVED")
	if saved == "" {
		saved = "256"
	}
	if trouble {
		j := job{Spec: "fail=12s work=80s save=" + saved, Steps: []step{{Count: 4000, CPU: 100, MemMB: 100, EstRunMS: 80000, SavesProgress: true}}}
		if !c.submit("/batch/bbbb000000000000", "key-genkai", j) {
			return nil, errors.New("the large job was not accepted")
		}
	}
	time.Sleep(16 * time.Second)
	var small []string
	for i := range 4 {
		name := fmt.Sprintf("aaaa00000000000%d", i)
		j := job{Spec: "work=1s", Steps: []step{{Count: 2, CPU: 2000, MemMB: 4000, GPU: 1, EstRunMS: 1000}}}
		if !c.submit([]string{"/urgent/", "/batch/"}[i%2]+name, "key-aso", j) {
			return nil, errors.New("a small job was not accepted")
		}
		small = append(small, name)
	}
	c.record("the traffic ends")
	time.Sleep(finishTime + idleTime + time.Second)
	for i, name := range small {
		_, state := c.state([]string{"/urgent/", "/batch/"}[i%2]+name, "key-aso")
		if !judge.hasBegun(name) {
			c.breakRule("LOST: nothing of the job %s has run %v after the end of the traffic; two of its tasks need 4 cores and 2 GPUs, 64 GPUs and over 600 of 1,024 cores are free; it is shown as %s", name, finishTime+idleTime, state)
		}
	}
	if trouble {
		c.state("/batch/bbbb000000000000", "key-genkai")
	}
	return c.broken, nil
}
