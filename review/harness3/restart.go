package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// doneEnd is the end of a run that ended done.
type doneEnd struct {
	executor string
	born     int64
	key      runKey
	at       time.Time
	noted    bool
}

// twiceJudge checks the rule TWICE: no start after a run has ended done, if that end is taken note
// of then or later.
type twiceJudge struct {
	mu     sync.Mutex
	dones  map[string]*doneEnd
	starts map[string][]taskStart
	active map[string]int
}

type taskStart struct {
	executor string
	run      int
	at       time.Time
}

func newTwiceJudge() *twiceJudge {
	return &twiceJudge{dones: map[string]*doneEnd{}, starts: map[string][]taskStart{}, active: map[string]int{}}
}

func (j *twiceJudge) started(c *cluster, e *executor, r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts[r.key.task] = append(j.starts[r.key.task], taskStart{e.id, r.key.run, time.Now()})
	j.active[r.key.task]++
	if j.active[r.key.task] > 1 {
		c.breakRule("TWICE: two runs of %s at the same time", r.key.task)
	}
}

func (j *twiceJudge) ended(_ *cluster, e *executor, r *run, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.active[r.key.task]--
	if how == "done" && j.dones[r.key.task] == nil {
		j.dones[r.key.task] = &doneEnd{executor: e.id, born: e.born.UnixMilli(), key: r.key, at: time.Now()}
	}
}

func (j *twiceJudge) noted(_ *cluster, e *executor, x endedRun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := j.dones[x.key.task]
	// An end whose lease has lapsed before it is taken note of doesn't count.
	if d != nil && d.executor == e.id && d.born == e.born.UnixMilli() && d.key == x.key && time.Now().Before(e.leaseUntil) {
		d.noted = true
	}
}

func (j *twiceJudge) held(*cluster, *executor) {}

// check reports the starts after an end that was taken note of.
func (j *twiceJudge) check(c *cluster) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for task, d := range j.dones {
		for _, s := range j.starts[task] {
			if d.noted && s.at.After(d.at) {
				c.breakRule("TWICE: %s run %d starts on %s %v after its run %d had ended done on %s, an end that was taken note of", task, s.run, s.executor, s.at.Sub(d.at).Round(time.Millisecond), d.key.run, d.executor)
			}
		}
	}
}

// outage is how long the zone has no power. Its executors are back 0.1 s later.
const outage = 1200 * time.Millisecond

// playRestart: a zone loses power; its executors start again under their ids.
func playRestart(record string, trouble bool) ([]string, error) {
	judge := newTwiceJudge()
	c, err := newCluster(record, 3, judge)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	var zone []*executor
	for i := range 24 {
		o := executorOptions{id: fmt.Sprintf("i-%04d", i), zone: fmt.Sprintf("z%d", i%4), rack: fmt.Sprintf("r%d", i%4), kind: "a", capacity: resources{CPU: 128000, MemMB: 524288, GPU: 8}}
		if i%4 == 3 {
			o.kind = requiredKind
		}
		e, err := c.addExecutor(o)
		if err != nil {
			return nil, err
		}
		// The entry follows with the first heartbeat of a life; that of the earlier one stands until then.
		e.firstBeat = func() time.Duration { return rand.N(beatInterval) }
		if i%4 == 3 {
			zone = append(zone, e)
		}
	}
	if err := c.setUp(8); err != nil {
		return nil, err
	}
	time.Sleep(leadTime)
	submit := func(id string, count int, work time.Duration, maxPerServer int) error {
		j := job{Spec: "work=" + work.String(), Steps: []step{{Count: count, CPU: 2000, MemMB: 4000, GPU: 1, EstRunMS: int(work.Milliseconds()), RequiredLabel: requiredKind, MaxPerServer: maxPerServer}}}
		if !c.submit("/batch/"+id, "key-genkai", j) {
			return errors.New("a job was not accepted")
		}
		return nil
	}
	// Some work before, so that each executor has had ends taken note of.
	for i := range 4 {
		if err := submit(fmt.Sprintf("aaaa0000000%05d", i), 12, 200*time.Millisecond, 2); err != nil {
			return nil, err
		}
		time.Sleep(600 * time.Millisecond)
	}
	// A task on each executor of the zone.
	if err := submit("cccc000000000000", len(zone), 90*time.Second, 1); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	next := 0
	for round := range 4 {
		time.Sleep(rand.N(2 * time.Second))
		if trouble {
			c.record("the zone z3 loses power")
			for _, e := range zone {
				if err := e.losePower(); err != nil {
					return nil, err
				}
			}
		}
		back := time.Now().Add(outage)
		restored := !trouble
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if !restored && time.Now().After(back) {
				restored = true
				c.record("the zone z3 has power again")
				for _, e := range zone {
					if err := e.powerBack(); err != nil {
						return nil, err
					}
				}
			}
			if err := submit(fmt.Sprintf("bbbb0000000%05d", next), 3, 300*time.Millisecond, 0); err != nil {
				return nil, err
			}
			next++
		}
		if round < 3 {
			time.Sleep(10 * time.Second)
		}
	}
	time.Sleep(12 * time.Second)
	judge.check(c)
	return c.broken, nil
}
