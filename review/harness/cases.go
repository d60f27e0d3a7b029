package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// upkeepTakeover: while an upkeep wave is under way, the process that carries it out is
// stopped and started as planned. Tasks run on machines whose upkeep is over.
func upkeepTakeover(w *world, trouble bool) {
	const job = "00000000000000a1"
	for i := range 12 {
		w.addMachine(fmt.Sprintf("z%d", i%3), []string{"r1-1", "r1-2"}[i/3%2])
	}
	w.startSystem([]string{"z0", "z1", "z2"})
	w.store.put("op/wave/1", `{"wave":1,"machines":["m-1","m-2","m-3","m-4","m-5","m-6"],"overS":26,"cap":1}`)
	w.rec.add("operator", "op/wave/1: m-1 to m-6 within 26 s, one at a time")
	w.await("the upkeep of m-1, m-2 and m-3 is over", 40*time.Second, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, m := range w.machines[:3] {
			if !m.upkept[1] || m.state != "up" || time.Since(m.executor.born) < 500*time.Millisecond {
				return false
			}
		}
		return true
	})
	w.submit("/scan/", job, 30*time.Second, `{"spec":"x","steps":[{"count":4,"cpu":26000,"memMb":53000,"gpu":8,"estRunMs":30000,"requiredLabel":"r1-1"}]}`)
	w.await("all four tasks are running", 10*time.Second, func() bool { return w.running(job) == 4 })
	time.Sleep(time.Second)
	if trouble {
		h := w.owner()
		if h == nil {
			panic(failure("nobody owns the pool"))
		}
		h.signal(syscall.SIGTERM)
		h.restartAfterExit()
	}
	time.Sleep(20 * time.Second)
	status, _ := w.store.get("status/wave/1")
	w.rec.add("operator", "status/wave/1 is %s", status)
}

// drainingUnlisted: the store is down for 4.5 s while an executor drains. The entries of all
// executors expire meanwhile and are back soon after the store's return.
func drainingUnlisted(w *world, trouble bool) {
	const job = "00000000000000b2"
	for i := range 6 {
		w.addMachine(fmt.Sprintf("z%d", i%3), fmt.Sprintf("r1-%d", i/3))
	}
	w.startSystem([]string{"z0", "z1", "z2"})
	time.Sleep(2 * time.Second)
	w.submit("/scan/", job, 9*time.Second, `{"spec":"x","steps":[{"count":1,"cpu":26000,"memMb":53000,"gpu":8,"estRunMs":9000}]}`)
	w.await("the task is running", 10*time.Second, func() bool { return w.running(job) == 1 })
	time.Sleep(500 * time.Millisecond)
	w.mu.Lock()
	for _, e := range w.executors {
		if len(e.runs) > 0 {
			e.leavesAt = time.Now().Add(12 * time.Second)
			e.beat()
			w.rec.add(e.id, "reports draining, at least 12 s left; the store has accepted it")
		}
	}
	w.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		w.rec.add("store", "down: answers 503")
		w.store.setDown(true)
		time.Sleep(4500 * time.Millisecond)
		w.store.setDown(false)
		w.rec.add("store", "up")
	} else {
		time.Sleep(4500 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	w.call(w.hosts[0], http.MethodGet, "/scan/"+job, "")
}

// waitingCount: the only executor with room is unhealthy and refuses starts with 503. The
// number of waiting jobs is asked for meanwhile.
func waitingCount(w *world, trouble bool) {
	const job = "00000000000000c3"
	for i := range 10 {
		w.addMachine(fmt.Sprintf("z%d", i%3), fmt.Sprintf("r1-%d", i/4))
	}
	w.startSystem([]string{"z0", "z1", "z2"})
	time.Sleep(2 * time.Second)
	for i := range 9 {
		w.submit("/scan/", fmt.Sprintf("000000000000000%d", i), 60*time.Second, `{"spec":"x","steps":[{"count":1,"cpu":26000,"memMb":53000,"gpu":8,"estRunMs":60000}]}`)
	}
	w.await("nine executors are busy", 10*time.Second, func() bool { return w.running("0") == 9 })
	if trouble {
		w.mu.Lock()
		for _, e := range w.executors {
			if len(e.runs) == 0 {
				e.unhealthy = true
				w.rec.add(e.id, "unhealthy: refuses starts with 503")
			}
		}
		w.mu.Unlock()
	}
	begun := time.Now()
	w.submit("/scan/", job, 20*time.Second, `{"spec":"x","steps":[{"count":1,"cpu":26000,"memMb":53000,"gpu":8,"estRunMs":20000}]}`)
	accepted := time.Now()
	// A count may be 2 s old, and the job has to be visible 3 s after it was accepted.
	time.Sleep(time.Until(accepted.Add(5300 * time.Millisecond)))
	for _, h := range w.hosts {
		status, text := w.call(h, http.MethodGet, "/scan/", "")
		var count struct {
			Waiting *int `json:"waiting"`
		}
		waits := w.running(job) == 0
		if status == http.StatusOK && json.NewDecoder(strings.NewReader(text)).Decode(&count) == nil && count.Waiting != nil && waits && *count.Waiting == 0 {
			w.mu.Lock()
			w.broken = append(w.broken, fmt.Sprintf("MIXED: %s gives 0 waiting jobs; one was accepted %.1f s ago and has not begun", h.name, time.Since(accepted).Seconds()))
			w.mu.Unlock()
		}
	}
	w.call(w.hosts[0], http.MethodGet, "/scan/"+job, "")
	w.rec.add("harness", "the executor was unhealthy for %.1f s", time.Since(begun).Seconds())
}

// flappingExecutor: one of ten executors goes down and up by turns, three times for 5.6 s.
// The others are in use. A job that lasts has to be started again however its task ends.
func flappingExecutor(w *world, trouble bool) {
	const job = "00000000000000d4"
	for i := range 10 {
		w.addMachine(fmt.Sprintf("z%d", i%3), fmt.Sprintf("r1-%d", i/4))
	}
	w.startSystem([]string{"z0", "z1", "z2"})
	time.Sleep(2 * time.Second)
	for i := range 9 {
		w.submit("/scan/", fmt.Sprintf("000000000000000%d", i), lasts, `{"spec":"x","steps":[{"count":1,"cpu":26000,"memMb":53000,"gpu":8,"estRunMs":60000}],"longRunning":true}`)
	}
	w.await("nine executors are in use", 10*time.Second, func() bool { return w.running("0") == 9 })
	w.submit("/scan/", job, lasts, `{"spec":"x","steps":[{"count":1,"cpu":26000,"memMb":53000,"gpu":8,"estRunMs":60000}],"longRunning":true}`)
	w.await("the job is running", 10*time.Second, func() bool { return w.running(job) == 1 })
	var flapping *executor
	w.mu.Lock()
	for _, e := range w.executors {
		for _, r := range e.runs {
			if r.job() == job {
				flapping = e
			}
		}
	}
	w.mu.Unlock()
	time.Sleep(2 * time.Second)
	for range 3 {
		if trouble {
			flapping.flap()
		}
		// The job may take its time to run again.
		for deadline := time.Now().Add(24 * time.Second); time.Now().Before(deadline) && w.running(job) == 0; time.Sleep(time.Second) {
			if w.checkNotFailed(job) {
				return
			}
		}
		time.Sleep(2 * time.Second)
		w.checkNotFailed(job)
	}
}

// flap takes an executor down and up by turns for 5.6 s, with 1.4 s between the steps.
func (e *executor) flap() {
	for range 2 {
		e.goDown()
		time.Sleep(flapGap)
		e.comeUp()
		time.Sleep(flapGap)
	}
}

const flapGap = 1400 * time.Millisecond

// checkNotFailed checks that a job that lasts is not shown as failed, and reports whether it is.
func (w *world) checkNotFailed(job string) (failed bool) {
	for _, h := range w.hosts {
		if status, text := w.call(h, http.MethodGet, "/scan/"+job, ""); status == http.StatusOK && strings.Contains(text, `"failed"`) {
			w.addBroken("LOST: %s shows job %s as failed, though it lasts until it is cancelled and no run of it has ended failed", h.name, job)
			failed = true
		}
	}
	return failed
}

// lastingFailures: the tasks of two jobs that last fail for 18 s, as they may at any time.
// Then all is well. Tasks that last have to be started again, and a new job has to run.
func lastingFailures(w *world, trouble bool) {
	const first, second, third = "00000000000000e1", "00000000000000e2", "00000000000000e3"
	perTask := map[string]int{first: 2, second: 2, third: 1}
	for i := range 12 {
		w.addMachine(fmt.Sprintf("z%d", i%3), fmt.Sprintf("r1-%d", i/6))
	}
	w.startSystem([]string{"z0", "z1", "z2"})
	time.Sleep(2 * time.Second)
	for _, job := range []string{first, second} {
		w.submit("/scan/", job, lasts, `{"spec":"x","steps":[{"count":12,"cpu":5000,"memMb":4000,"gpu":2,"estRunMs":60000,"maxPerServer":1}],"longRunning":true}`)
	}
	w.await("all tasks are running", 10*time.Second, func() bool { return w.running(first) == 12 && w.running(second) == 12 })
	time.Sleep(2 * time.Second)
	setFailing := func(failing bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.failing[first], w.failing[second] = failing && trouble, failing && trouble
		w.rec.add("harness", "the tasks of the two jobs fail: %v", w.failing[first])
	}
	setFailing(true)
	w.watchIdle(18*time.Second, 9*time.Second, perTask, first, second)
	setFailing(false)
	w.submit("/scan/", third, 2*time.Second, `{"spec":"x","steps":[{"count":1,"cpu":2000,"memMb":2000,"gpu":1,"estRunMs":2000}]}`)
	// finish_s after the last request, and 3 s more.
	w.watchIdle(18*time.Second, 17*time.Second, perTask, first, second)
	if status, text := w.call(w.hosts[0], http.MethodGet, "/scan/"+third, ""); status == http.StatusOK && !strings.Contains(text, `"completed"`) && w.running(third) == 0 {
		used, total := w.gpusInUse(perTask)
		w.addBroken("LOST: job %s has not run 18 s after it was accepted, with %d of %d accelerators in use", third, used, total)
	}
}

// watchIdle checks for a while that none of the jobs has nothing running for longer than the
// limit.
func (w *world) watchIdle(length, limit time.Duration, perTask map[string]int, jobs ...string) {
	idleSince := map[string]time.Time{}
	reported := map[string]bool{}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, job := range jobs {
			switch {
			case w.running(job) > 0:
				delete(idleSince, job)
			case idleSince[job].IsZero():
				idleSince[job] = time.Now()
			case !reported[job] && time.Since(idleSince[job]) > limit:
				reported[job] = true
				used, total := w.gpusInUse(perTask)
				w.addBroken("LOST: job %s, which lasts, has had nothing running for %s, with %d of %d accelerators in use", job, limit, used, total)
			}
		}
	}
}
