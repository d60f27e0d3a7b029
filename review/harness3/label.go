package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// labelJudge checks the rule ROUTE: a task starts only on an executor that has the label which its
// step requires.
type labelJudge struct {
	noJudge
	mu sync.Mutex
	// told holds the births that executors have told in answers to the system.
	told map[string]int64
	// toldAt is when the present life first did, in Unix milliseconds.
	toldAt map[string]int64
}

const (
	requiredKind = "b"
	// downTime is how long an executor is away.
	downTime = 1400 * time.Millisecond
)

// kinds are the kinds of the lives of the executors that start again, in turn.
var kinds = []string{"a", requiredKind}

func (j *labelJudge) held(_ *cluster, e *executor) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.told[e.id] != e.born.UnixMilli() {
		j.told[e.id], j.toldAt[e.id] = e.born.UnixMilli(), time.Now().UnixMilli()
	}
}

func (j *labelJudge) started(c *cluster, e *executor, r *run) {
	if e.kind == requiredKind {
		return
	}
	j.mu.Lock()
	told := j.told[e.id] == e.born.UnixMilli()
	j.mu.Unlock()
	if !told {
		// The order may have left before the system could know of the new life.
		c.record("%s run %d starts on %s without the label %q; this life has answered no hold yet: not counted", r.key.task, r.key.run, e.id, requiredKind)
		return
	}
	c.breakRule("ROUTE: %s run %d starts on %s, whose labels are %q and %q; its step requires the label %q. This life has told its birth in an answer %v after its start, and started %v ago", r.key.task, r.key.run, e.id, e.kind, e.rack, requiredKind, time.UnixMilli(j.toldAt[e.id]).Sub(e.born).Round(time.Millisecond), time.Since(e.born).Round(time.Millisecond))
}

// playLabel: two of 20 executors go down and start again under their ids. Their new lives are of
// another kind.
func playLabel(record string, trouble bool) ([]string, error) {
	c, err := newCluster(record, 3, &labelJudge{told: map[string]int64{}, toldAt: map[string]int64{}})
	if err != nil {
		return nil, err
	}
	defer c.stop()
	var flapping []*executor
	for i := range 20 {
		o := executorOptions{id: fmt.Sprintf("i-%04d", i), zone: fmt.Sprintf("z%d", i%3), rack: fmt.Sprintf("r%d", i/4), kind: "a", capacity: resources{CPU: 64000, MemMB: 131072, GPU: 8}}
		if i < 3 {
			o.kind = requiredKind
		}
		e, err := c.addExecutor(o)
		if err != nil {
			return nil, err
		}
		if i < 2 {
			flapping = append(flapping, e)
		}
	}
	if err := c.setUp(8); err != nil {
		return nil, err
	}
	time.Sleep(leadTime)
	for i := range 3 {
		j := job{Spec: "work=40s", Steps: []step{{Count: 1, CPU: 8000, MemMB: 16000, GPU: 8, EstRunMS: 40000, RequiredLabel: requiredKind}}}
		if !c.submit(fmt.Sprintf("/batch/bbbb00000000000%d", i), "key-genkai", j) {
			return nil, fmt.Errorf("a job was not accepted")
		}
	}
	time.Sleep(3 * time.Second)
	for round := range 6 {
		time.Sleep(rand.N(time.Second))
		for _, e := range flapping {
			if !trouble {
				continue
			}
			e.crash()
			time.Sleep(downTime)
			if err := e.bootAs(kinds[round%len(kinds)]); err != nil {
				return nil, err
			}
		}
		// The tasks start again where they can, and run for a while.
		time.Sleep(4 * time.Second)
	}
	for i := range 3 {
		c.state(fmt.Sprintf("/batch/bbbb00000000000%d", i), "key-genkai")
	}
	return c.broken, nil
}
