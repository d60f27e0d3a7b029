// Command 6 shows that jobs of a queue with advice are never started if several come at once.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/chervilrun/chervilrun/review/harness2"
)

const (
	executors = 48
	jobs      = 6
	tasks     = 2
	cpu       = 1000
	// finish is finish_s of the site file, and idle the time for which a job must not have nothing
	// running.
	finish   = 14 * time.Second
	idle     = 3 * time.Second
	deadline = 3 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	b := harness2.NewBench("review/6/record.txt")
	defer b.Close()
	b.Adviser = b.Serve(b.Pool.AdviserHandler())
	host := b.AddHost(1, b.Serve(b.Store), b.Serve(b.Pool.Machines()), 0.4)
	b.WriteConfiguration(1)
	b.Pool.AddMachines(executors, 8)
	host.Start()
	host.AwaitReady(10 * time.Second)
	time.Sleep(time.Second)
	client := b.NewClient("client")

	// Without the burst the same jobs come one after the other.
	gap := 5 * time.Second
	if b.Trouble {
		gap = 200 * time.Millisecond
		b.Log("many jobs come at once")
	}
	var accepted []string
	for n := range jobs {
		id := fmt.Sprintf("%016x", 0xa0+n)
		b.Pool.Describe(id, harness2.Work{Duration: 2 * time.Second, CPU: cpu, Advised: true})
		job := harness2.Job{Spec: id, Steps: []harness2.Step{{Count: tasks, CPU: cpu, MemMB: 64, EstRunMS: 2000}}}
		if status, _ := client.Call(host, http.MethodPost, "/advised/"+id, "key-aso", job, deadline); status == http.StatusOK {
			accepted = append(accepted, id)
		}
		time.Sleep(gap)
	}
	b.Log("end of the traffic: %d jobs accepted", len(accepted))
	if len(accepted) == 0 {
		return harness2.NotRun
	}
	time.Sleep(finish)
	lost := map[string]bool{}
	for _, id := range accepted {
		status, body := client.Call(host, http.MethodGet, "/advised/"+id, "key-aso", nil, deadline)
		lost[id] = status != http.StatusOK || !strings.Contains(body, "completed")
	}
	for began := time.Now(); time.Since(began) < idle; time.Sleep(20 * time.Millisecond) {
		free, used := b.Pool.FreeCPU()
		for _, id := range accepted {
			lost[id] = lost[id] && used < 0.5 && len(free) > 1 && free[1] >= 2*tasks*cpu && b.Pool.Running(id) == 0
		}
	}
	count := 0
	for _, id := range accepted {
		if lost[id] {
			count++
			b.Log("job %s: %d of %d tasks done, nothing of it ran for %s", id, b.Pool.Done(id), tasks, idle)
		}
	}
	if count > 0 {
		b.Log("BROKEN: %d of %d accepted jobs have nothing running, %s after the end of the traffic, and all executors are free", count, len(accepted), finish)
		return harness2.Broken
	}
	b.Log("HELD")
	return harness2.Held
}
