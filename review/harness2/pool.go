package harness2

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/chervilrun/chervilrun/internal/store"
)

// The times that the pages set for executors and machines.
const (
	holdMax    = 6 * time.Second
	stopTime   = 200 * time.Millisecond
	gangWait   = 3 * time.Second
	beat       = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
	tick       = 5 * time.Millisecond
)

// Work describes the tasks of a job to the executors.
type Work struct {
	Duration time.Duration
	CPU      int64
	// Gang is the number of tasks that work only together; 0 for independent tasks.
	Gang int
	// Advised is true for tasks that start only with a ticket of the adviser.
	Advised bool
	// Lasts is true for tasks that run until they are stopped.
	Lasts bool
	// Fails says whether a run of a task fails after Duration.
	Fails func(task string, run int) bool
}

// Capacity is what an executor has and a task takes.
type Capacity struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int   `json:"gpu"`
}

// Pool is the executors of a service, their machines and what they have run.
type Pool struct {
	bench *Bench

	mu        sync.Mutex
	executors []*Executor
	machines  []*Machine
	work      map[string]Work
	done      map[string]int
	ends      map[string]map[string]int
	tickets   map[string]time.Time
	next      int
	upkeeps   []UpkeepCall
	// AnswerDelay is how long the machine service takes for an answer.
	AnswerDelay time.Duration
}

// UpkeepCall is an order for the upkeep of a machine as it arrived.
type UpkeepCall struct {
	At      time.Time
	Machine string
	Holder  string
	Fence   string
}

// Executor is one life of a machine.
type Executor struct {
	ID, Addr, Rack string
	pool           *Pool
	capacity       Capacity
	born           time.Time
	downTill       time.Time
	gone           bool
	listener       net.Listener
	seq            int
	fence          uint64
	leaseUntil     time.Time
	runs           map[string]*run
	ended          [][]any
	endedCount     int64
	highest        map[string]int
	changed        chan struct{}
}

type run struct {
	task     string
	number   int
	work     Work
	since    time.Time
	stopping time.Time
	// joined is true once all members of the gang were there.
	joined bool
}

// Machine is a machine with its executor.
type Machine struct {
	Name     string
	Rack     string
	executor *Executor
	waves    []int
	downTill time.Time
}

func newPool(b *Bench) *Pool {
	return &Pool{bench: b, work: map[string]Work{}, done: map[string]int{}, ends: map[string]map[string]int{}, tickets: map[string]time.Time{}}
}

// AddMachines adds machines of the site's size, each with an executor.
func (p *Pool) AddMachines(count, perRack int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range count {
		n := len(p.machines)
		m := &Machine{Name: fmt.Sprintf("m-%d", n), Rack: fmt.Sprintf("r%d", n/perRack)}
		p.machines = append(p.machines, m)
		m.executor = p.newExecutor(m.Rack)
	}
}

func (p *Pool) newExecutor(rack string) *Executor {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	p.next++
	e := &Executor{
		ID: fmt.Sprintf("i-%08x", p.next*2654435), Addr: listener.Addr().String(), Rack: rack, pool: p, listener: listener,
		capacity: Capacity{CPU: 64000, MemMB: 131072, GPU: 8}, born: time.Now(),
		runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	p.executors = append(p.executors, e)
	go func() { _ = (&http.Server{Handler: e, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	e.register()
	return e
}

// register writes the entry of the executor. The pool is locked.
func (e *Executor) register() {
	e.seq++
	text, err := json.Marshal(map[string]any{
		"service": "ledger", "addr": e.Addr, "zone": "z0", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": e.capacity, "labels": []string{"a", e.Rack}, "seq": e.seq, "born": e.born.UnixMilli(),
	})
	Must(err)
	e.pool.bench.Store.Inner.Put("servers/"+e.ID, string(text))
}

// terminate ends the executor and all that runs on it. The pool is locked.
func (e *Executor) terminate() {
	e.gone = true
	e.runs, e.ended = map[string]*run{}, nil
	_ = e.listener.Close()
	e.notify()
	_, err := e.pool.bench.Store.Inner.Memory.Txn(context.Background(), store.Txn{Then: []store.Op{{Delete: "servers/" + e.ID}}})
	Must(err)
}

func (e *Executor) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Crash ends an executor and all that it runs without a report. After some time it starts again under
// its id and knows nothing of before.
func (p *Pool) Crash(number int, down time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.machines[number].executor
	var lost []string
	for task := range e.runs {
		lost = append(lost, task)
	}
	sort.Strings(lost)
	p.bench.Log("executor %s loses power for %s; it ran %v", e.ID, down, lost)
	e.runs, e.highest, e.ended, e.endedCount = map[string]*run{}, map[string]int{}, nil, 0
	e.fence, e.leaseUntil = 0, time.Time{}
	e.born = time.Now().Add(down)
	e.downTill = e.born
	e.notify()
	time.AfterFunc(down, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		e.register()
	})
}

// Describe tells the executors about the tasks of a job.
func (p *Pool) Describe(job string, work Work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.work[job] = work
}

// Running counts the tasks of a job that run.
func (p *Pool) Running(job string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, e := range p.executors {
		for _, r := range e.runs {
			if jobOf(r.task) == job {
				count++
			}
		}
	}
	return count
}

// Done counts the tasks of a job that have ended as done.
func (p *Pool) Done(job string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done[job]
}

// Ends counts the ends of the tasks of a job by how they ended.
func (p *Pool) Ends(job string) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.ends[job])
}

// FreeCPU returns the free processor time of each executor that is up, the largest first, and the
// part of the service's capacity that is in use.
func (p *Pool) FreeCPU() ([]int64, float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var free []int64
	var used, total int64
	for _, e := range p.executors {
		if e.gone {
			continue
		}
		left := e.capacity.CPU
		for _, r := range e.runs {
			left -= r.work.CPU
		}
		used, total = used+e.capacity.CPU-left, total+e.capacity.CPU
		free = append(free, left)
	}
	sort.Slice(free, func(i, j int) bool { return free[i] > free[j] })
	return free, float64(used) / float64(max(1, total))
}

// Upkeeps returns the orders for upkeeps in the order of their arrival.
func (p *Pool) Upkeeps() []UpkeepCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.upkeeps)
}

func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

// run advances the executors and machines until the bench stops.
func (p *Pool) run() {
	lastBeat := time.Now()
	for {
		select {
		case <-p.bench.stop:
			return
		case <-time.After(tick):
		}
		p.mu.Lock()
		now := time.Now()
		for _, e := range p.executors {
			e.advance(now)
		}
		for _, m := range p.machines {
			if !m.downTill.IsZero() && now.After(m.downTill) {
				m.downTill = time.Time{}
				m.executor = p.newExecutor(m.Rack)
				p.bench.Log("machine %s is up again with executor %s", m.Name, m.executor.ID)
			}
		}
		if now.Sub(lastBeat) >= beat {
			lastBeat = now
			for _, e := range p.executors {
				if !e.gone && !now.Before(e.downTill) {
					e.register()
				}
			}
		}
		p.mu.Unlock()
	}
}

// gangSince returns whether all members of a gang are there, and since when.
func (p *Pool) gangSince(r *run) (bool, time.Time) {
	if r.work.Gang == 0 {
		return true, r.since
	}
	step := r.task[:strings.LastIndexByte(r.task, '.')+1]
	members, since := 0, r.since
	for _, e := range p.executors {
		for _, other := range e.runs {
			if other.number == r.number && strings.HasPrefix(other.task, step) {
				members++
				if other.since.After(since) {
					since = other.since
				}
			}
		}
	}
	return members == r.work.Gang, since
}

func (e *Executor) advance(now time.Time) {
	for _, r := range e.runs {
		complete, since := e.pool.gangSince(r)
		r.joined = r.joined || complete && r.work.Gang > 0
		switch {
		case now.After(e.leaseUntil):
			e.end(r, "lapsed")
		case !r.stopping.IsZero() && now.Sub(r.stopping) >= stopTime:
			e.end(r, "stopped")
		case !complete && !r.joined && now.Sub(r.since) > gangWait:
			e.end(r, "alone")
		case !complete && r.joined:
			e.end(r, "broken")
		case complete && r.work.Fails != nil && now.Sub(since) >= r.work.Duration && r.work.Fails(r.task, r.number):
			e.end(r, "failed")
		case complete && !r.work.Lasts && now.Sub(since) >= r.work.Duration:
			e.endGang(r)
		}
	}
}

// endGang ends a task, or all members of its gang, as done.
func (e *Executor) endGang(r *run) {
	if r.work.Gang == 0 {
		e.end(r, "done")
		return
	}
	step := r.task[:strings.LastIndexByte(r.task, '.')+1]
	for _, other := range e.pool.executors {
		for _, m := range other.runs {
			if m.number == r.number && strings.HasPrefix(m.task, step) {
				other.end(m, "done")
			}
		}
	}
}

func (e *Executor) end(r *run, how string) {
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.endedCount++
	e.ended = append(e.ended, []any{e.endedCount, r.task, r.number, how, ""})
	if e.pool.ends[jobOf(r.task)] == nil {
		e.pool.ends[jobOf(r.task)] = map[string]int{}
	}
	e.pool.ends[jobOf(r.task)][how]++
	if how == "done" {
		e.pool.done[jobOf(r.task)]++
	}
	e.pool.bench.Log("%s: run %d of %s ends %s", e.ID, r.number, r.task, how)
	e.notify()
}

type order struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	Spec      string `json:"spec"`
	ExpiresMS int64  `json:"expiresMs"`
	Fence     uint64 `json:"fence"`
	LastSeen  int64  `json:"lastSeen"`
	WaitMS    int64  `json:"waitMs"`
	Token     string `json:"token"`
}

// ServeHTTP implements http.Handler.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.pool.mu.Lock()
	if e.gone || time.Now().Before(e.downTill) {
		e.pool.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if instance := r.Header.Get("Expect-Instance"); instance != "" && instance != e.ID {
		e.pool.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	reason := "fence"
	if o.Fence >= e.fence {
		e.fence = o.Fence
		reason = e.carryOut(r.URL.Path, o)
	}
	if r.URL.Path == "/hold" && reason == "" {
		e.awaitEnd(r.Context(), time.Duration(min(o.WaitMS, 2000))*time.Millisecond)
		if e.gone || time.Now().Before(e.downTill) {
			e.pool.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	body := map[string]any{"clockMs": time.Since(e.born).Milliseconds(), "born": e.born.UnixMilli()}
	status := http.StatusOK
	switch {
	case reason != "":
		status, body["reason"] = http.StatusConflict, reason
	case r.URL.Path == "/hold":
		running := [][]any{}
		for _, x := range e.runs {
			percent := 100
			if !x.work.Lasts {
				percent = min(99, int(100*time.Since(x.since)/max(1, x.work.Duration)))
			}
			running = append(running, []any{x.task, x.number, "", percent, x.work.CPU})
		}
		body["running"], body["ended"] = running, append([][]any{}, e.ended[:min(len(e.ended), 500)]...)
	}
	e.pool.mu.Unlock()
	text, err := json.Marshal(body)
	Must(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// awaitEnd waits until the executor lists an end. The pool is locked before and after.
func (e *Executor) awaitEnd(ctx context.Context, wait time.Duration) {
	deadline := time.After(wait)
	for len(e.ended) == 0 && !e.gone && wait > 0 {
		changed := e.changed
		e.pool.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-ctx.Done():
			wait = 0
		}
		e.pool.mu.Lock()
	}
}

func (e *Executor) extend(expiresMS int64) {
	until := e.born.Add(time.Duration(expiresMS) * time.Millisecond)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if until.After(e.leaseUntil) {
		e.leaseUntil = until
	}
}

// carryOut carries an order out and returns why it is refused, or "".
func (e *Executor) carryOut(path string, o order) string {
	switch path {
	case "/hold":
		if o.ExpiresMS > 0 {
			e.extend(o.ExpiresMS)
		}
		e.ended = slices.DeleteFunc(e.ended, func(x []any) bool { return x[0].(int64) <= o.LastSeen })
	case "/run-stop":
		if r := e.runs[o.Task]; r != nil && r.number == o.Run {
			if r.stopping.IsZero() {
				r.stopping = time.Now()
			}
		} else {
			e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		}
	case "/run-start":
		if r := e.runs[o.Task]; r != nil && r.number == o.Run {
			return ""
		}
		if time.Since(e.born).Milliseconds() > o.ExpiresMS {
			return "late"
		}
		e.extend(o.ExpiresMS)
		if o.Run <= e.highest[o.Task] {
			return "old"
		}
		work := e.pool.work[jobOf(o.Task)]
		if work.Advised && !e.pool.ticketValid(e.ID, o) {
			return "ticket"
		}
		e.runs[o.Task] = &run{task: o.Task, number: o.Run, work: work, since: time.Now()}
		e.pool.bench.Log("%s: run %d of %s starts, fence %d", e.ID, o.Run, o.Task, o.Fence)
	}
	return ""
}

// Machines serves the machines of the pool.
func (p *Pool) Machines() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		list := []map[string]any{}
		for _, m := range p.machines {
			entry := map[string]any{"machine": m.Name, "pool": "ledger", "state": "up", "zone": "z0", "labels": []string{"a", m.Rack}, "capacity": m.executor.capacity, "id": m.executor.ID}
			if !m.downTill.IsZero() {
				entry["state"], entry["id"] = "upkeep", ""
			}
			list = append(list, entry)
		}
		p.mu.Unlock()
		time.Sleep(p.AnswerDelay)
		writeJSON(w, http.StatusOK, map[string]any{"machines": list, "nextToken": ""})
	})
	mux.HandleFunc("POST /machine-upkeep", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Machine string `json:"machine"`
			Wave    int    `json:"wave"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		call := UpkeepCall{At: time.Now(), Machine: body.Machine, Holder: r.Header.Get("Duty-Holder"), Fence: r.Header.Get("Fence-Token")}
		status, reason := p.upkeep(call, body.Wave)
		time.Sleep(p.AnswerDelay)
		writeJSON(w, status, map[string]any{"reason": reason})
	})
	return mux
}

func (p *Pool) upkeep(call UpkeepCall, wave int) (status int, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upkeeps = append(p.upkeeps, call)
	p.bench.Log("order for the upkeep of %s, holder %s, fence %s", call.Machine, call.Holder, call.Fence)
	for _, m := range p.machines {
		if m.Name != call.Machine {
			continue
		}
		switch {
		case slices.Contains(m.waves, wave):
		case !m.downTill.IsZero():
			return http.StatusConflict, "busy"
		default:
			m.waves, m.downTill = append(m.waves, wave), time.Now().Add(upkeepTime)
			m.executor.terminate()
		}
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	Must(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// WriteWave requests the upkeep of the first machines.
func (p *Pool) WriteWave(number, machines, maxDown int, over time.Duration) {
	var names []string
	for i := range machines {
		names = append(names, fmt.Sprintf("m-%d", i))
	}
	text, err := json.Marshal(map[string]any{"wave": number, "machines": names, "overS": over.Seconds(), "cap": maxDown})
	Must(err)
	p.bench.Log("the operator requests wave %d: %d machines, at most %d at once, in %s", number, machines, maxDown, over)
	p.bench.Store.Inner.Put(fmt.Sprintf("op/wave/%d", number), string(text))
}

// WaveStatus returns the status of a wave as the operator reads it.
func (p *Pool) WaveStatus(number int) string {
	key := fmt.Sprintf("status/wave/%d", number)
	page, err := p.bench.Store.Inner.Memory.Range(context.Background(), key, key+"\x00", 1)
	Must(err)
	if len(page.KeyValues) == 0 {
		return "none"
	}
	return string(page.KeyValues[0].Value)
}
