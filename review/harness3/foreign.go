package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// playForeign: another writer overwrites the entries of executors with incomplete ones.
func playForeign(record string, trouble bool) ([]string, error) {
	judge := newTwiceJudge()
	c, err := newCluster(record, 3, judge)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	const executors, tasks = 24, 20
	for i := range executors {
		o := executorOptions{id: fmt.Sprintf("i-%04d", i), zone: fmt.Sprintf("z%d", i%3), rack: fmt.Sprintf("r%d", i/3), kind: "a", capacity: resources{CPU: 128000, MemMB: 524288, GPU: 8}}
		if _, err := c.addExecutor(o); err != nil {
			return nil, err
		}
	}
	if err := c.setUp(8); err != nil {
		return nil, err
	}
	time.Sleep(leadTime)
	// A task on each executor for the whole time.
	long := job{Spec: "work=60s", Steps: []step{{Count: tasks, CPU: 2000, MemMB: 4000, GPU: 1, EstRunMS: 60000, MaxPerServer: 1}}}
	if !c.submit("/batch/cccc000000000000", "key-genkai", long) {
		return nil, errors.New("a job was not accepted")
	}
	time.Sleep(2 * time.Second)
	for round := range 10 {
		time.Sleep(rand.N(time.Second))
		if trouble {
			// One entry, which its executor writes anew with its next heartbeat.
			e, other := c.busyExecutor(round), c.executors[executors-1-round]
			entry, err := json.Marshal(map[string]any{"service": serviceName, "addr": other.address, "zone": e.zone, "state": "ready", "capacity": e.capacity})
			if err != nil {
				return nil, err
			}
			c.record("another writer: servers/%s = %s", e.id, entry)
			c.store.put("servers/"+e.id, entry, 0)
		}
		time.Sleep(2500 * time.Millisecond)
	}
	judge.check(c)
	c.state("/batch/cccc000000000000", "key-genkai")
	return c.broken, nil
}

// busyExecutor returns the executor with a number among those that run something.
func (c *cluster) busyExecutor(number int) *executor {
	var busy []*executor
	for _, e := range c.executors {
		e.mu.Lock()
		if len(e.runs) > 0 {
			busy = append(busy, e)
		}
		e.mu.Unlock()
	}
	return busy[number%len(busy)]
}
