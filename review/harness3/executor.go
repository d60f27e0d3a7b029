package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as its settings file names them.
const (
	beatInterval   = 1500 * time.Millisecond
	maxLease       = 6 * time.Second
	stopDuration   = 200 * time.Millisecond
	maxRenewalWait = 2 * time.Second
	maxListedEnds  = 500
	pollInterval   = 5 * time.Millisecond
)

// resources is the capacity of an executor.
type resources struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int   `json:"gpu"`
}

// executorOptions describes an executor.
type executorOptions struct {
	id, zone, rack, kind string
	capacity             resources
}

// executor is a stand-in of an executor that follows PROTOCOL.md, "Running tasks".
type executor struct {
	executorOptions
	cluster *cluster
	address string

	mu       sync.Mutex
	listener *machineListener
	server   *http.Server
	// life counts the starts of the process; a handler of an earlier life answers nothing.
	life int
	up   bool

	born       time.Time
	fence      uint64
	leaseUntil time.Time
	runs       map[runKey]*run
	ended      []endedRun
	lastNumber int64
	highest    map[string]int
	draining   bool
	seq        int
	lease      int64
	// firstBeat is how long after its start a life writes its entry.
	firstBeat func() time.Duration
	// dark holds the address while the machine has no power, before has the connections from
	// before.
	dark   *darkAddress
	before *machineListener
}

type runKey struct {
	task string
	run  int
}

type run struct {
	key       runKey
	startedAt time.Time
	// duration is 0 for a task that lasts.
	duration time.Duration
	// saveBytes is the length of its checkpoints; 0 if it saves nothing.
	saveBytes int
	fails     bool
	stopsAt   time.Time
}

type endedRun struct {
	number int64
	key    runKey
	how    string
}

// boot starts a life of the executor: it listens, knows nothing of before, and registers.
func (e *executor) boot() error {
	e.mu.Lock()
	address := e.address
	if address == "" {
		address = e.cluster.ip(executorsIP) + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		e.mu.Unlock()
		return err
	}
	e.address, e.listener, e.up = listener.Addr().String(), &machineListener{Listener: listener}, true
	served := e.listener
	e.life++
	e.born, e.fence, e.leaseUntil, e.lastNumber = time.Now(), 0, time.Time{}, 0
	e.runs, e.ended, e.highest = map[runKey]*run{}, nil, map[string]int{}
	life := e.life
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, life) }), ReadHeaderTimeout: time.Minute}
	e.server = server
	e.cluster.record("executor %s: starts as kind %q, born %d, at %s", e.id, e.kind, e.born.UnixMilli(), e.address)
	e.mu.Unlock()
	go func() { _ = server.Serve(served) }()
	wait := time.Duration(0)
	if e.firstBeat != nil {
		wait = e.firstBeat()
	}
	if wait == 0 {
		e.beat()
		// The heartbeats of the executors are spread.
		wait = rand.N(beatInterval)
	}
	go e.beats(life, time.Now().Add(wait))
	return nil
}

// bootAs starts a life of another kind.
func (e *executor) bootAs(kind string) error {
	e.mu.Lock()
	e.kind = kind
	e.mu.Unlock()
	return e.boot()
}

// crash ends the life at once: its port is closed, connections break, nothing is reported.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.up = false
	e.life++
	for _, r := range e.runs {
		e.cluster.runEnded(e, r, "crashed")
	}
	e.runs = map[runKey]*run{}
	_ = e.server.Close()
	e.cluster.record("executor %s: crashes", e.id)
}

// beats writes the entry every beatInterval from a time on during one life, and moves the runs on.
func (e *executor) beats(life int, next time.Time) {
	for {
		time.Sleep(pollInterval)
		e.mu.Lock()
		current := e.life == life
		if current {
			e.advance()
		}
		e.mu.Unlock()
		if !current {
			return
		}
		if time.Now().After(next) {
			next = time.Now().Add(beatInterval)
			e.beat()
		}
	}
}

// beat writes the executor's entry into the store.
func (e *executor) beat() {
	e.mu.Lock()
	e.seq++
	entry := map[string]any{
		"service": serviceName, "addr": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready",
		"capacity": e.capacity, "labels": []string{e.kind, e.rack}, "seq": e.seq, "born": e.born.UnixMilli(), "coldLeftMs": 0,
	}
	if e.draining {
		entry["state"], entry["remainingMs"] = "draining", 4000
	}
	e.mu.Unlock()
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	e.cluster.register(e, string(text))
}

func (e *executor) clockMS() int64 { return time.Since(e.born).Milliseconds() }

// advance ends the runs that are due. The caller holds the lock.
func (e *executor) advance() {
	now := time.Now()
	for _, r := range e.runs {
		switch {
		case !now.Before(e.leaseUntil):
			e.end(r, "lapsed")
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			e.end(r, "stopped")
		case r.duration > 0 && now.Sub(r.startedAt) >= r.duration && r.fails:
			e.end(r, "failed")
		case r.duration > 0 && now.Sub(r.startedAt) >= r.duration:
			e.end(r, "done")
		}
	}
}

func (e *executor) end(r *run, how string) {
	delete(e.runs, r.key)
	e.highest[r.key.task] = max(e.highest[r.key.task], r.key.run)
	e.lastNumber++
	e.ended = append(e.ended, endedRun{e.lastNumber, r.key, how})
	e.cluster.runEnded(e, r, how)
}

type order struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	Spec      string `json:"spec"`
	ExpiresMS int64  `json:"expiresMs"`
	Fence     uint64 `json:"fence"`
	LastSeen  int64  `json:"lastSeen"`
	WaitMS    int64  `json:"waitMs"`
}

func (e *executor) serve(w http.ResponseWriter, r *http.Request, life int) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case "/run-start":
		e.answer(w, life, o, e.start)
	case "/run-stop":
		e.answer(w, life, o, e.stop)
	case "/pace":
		e.answer(w, life, o, func(order) string { return "" })
	case "/hold":
		e.hold(w, r, life, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// lockLife locks the executor; a call to a life that has ended gets no answer.
func (e *executor) lockLife(life int) {
	e.mu.Lock()
	if e.life != life || !e.up {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

func (e *executor) answer(w http.ResponseWriter, life int, o order, carryOut func(order) string) {
	e.lockLife(life)
	e.advance()
	reason := "fence"
	if o.Fence >= e.fence {
		e.fence = o.Fence
		reason = carryOut(o)
	}
	body := map[string]any{"clockMs": e.clockMS(), "born": e.born.UnixMilli()}
	e.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		status, body["reason"] = http.StatusConflict, reason
	}
	reply(w, status, body)
}

func (e *executor) extendLease(expiresMS int64) {
	until := e.born.Add(time.Duration(expiresMS) * time.Millisecond)
	if latest := time.Now().Add(maxLease); until.After(latest) {
		until = latest
	}
	if until.After(e.leaseUntil) {
		e.leaseUntil = until
	}
}

func (e *executor) start(o order) string {
	key := runKey{o.Task, o.Run}
	switch {
	case e.runs[key] != nil:
		return ""
	case e.clockMS() >= o.ExpiresMS:
		return "late"
	}
	e.extendLease(o.ExpiresMS)
	if o.Run <= e.highest[o.Task] {
		return "old"
	}
	r := newRun(key, o.Spec)
	e.runs[key] = r
	e.cluster.runStarted(e, r)
	return ""
}

func (e *executor) stop(o order) string {
	key := runKey{o.Task, o.Run}
	if r := e.runs[key]; r != nil {
		if r.stopsAt.IsZero() {
			r.stopsAt = time.Now().Add(stopDuration)
		}
		return ""
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	return ""
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, life int, o order) {
	deadline := time.Now().Add(min(maxRenewalWait, time.Duration(o.WaitMS)*time.Millisecond))
	for first := true; ; first = false {
		e.lockLife(life)
		e.advance()
		if o.Fence < e.fence {
			body := map[string]any{"clockMs": e.clockMS(), "born": e.born.UnixMilli(), "reason": "fence"}
			e.mu.Unlock()
			reply(w, http.StatusConflict, body)
			return
		}
		e.fence = o.Fence
		if first {
			if o.ExpiresMS > 0 {
				e.extendLease(o.ExpiresMS)
			}
			e.forget(o.LastSeen)
		}
		if len(e.ended) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			body := e.inventory()
			e.cluster.holdAnswered(e)
			e.mu.Unlock()
			reply(w, http.StatusOK, body)
			return
		}
		e.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

// forget forgets the ends up to lastSeen.
func (e *executor) forget(lastSeen int64) {
	e.ended = slices.DeleteFunc(e.ended, func(x endedRun) bool {
		if x.number <= lastSeen {
			e.cluster.endNoted(e, x)
		}
		return x.number <= lastSeen
	})
}

func (e *executor) inventory() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.runs {
		percent := 100
		if r.duration > 0 {
			percent = min(99, int(100*time.Since(r.startedAt)/r.duration))
		}
		running = append(running, []any{r.key.task, r.key.run, r.saved(), percent, 0})
	}
	for _, x := range e.ended[:min(len(e.ended), maxListedEnds)] {
		ended = append(ended, []any{x.number, x.key.task, x.key.run, x.how, ""})
	}
	return map[string]any{"clockMs": e.clockMS(), "born": e.born.UnixMilli(), "running": running, "ended": ended}
}

// newRun starts a run by its spec: "work=1s", a task that lasts without it; "save=16", the length of its
// checkpoints; "fail=2s", when the first run of the first task fails.
func newRun(key runKey, spec string) *run {
	r := &run{key: key, startedAt: time.Now()}
	for _, field := range strings.Split(spec, " ") {
		name, value, _ := strings.Cut(field, "=")
		var err error
		switch name {
		case "work":
			if !r.fails {
				r.duration, err = time.ParseDuration(value)
			}
		case "save":
			r.saveBytes, err = strconv.Atoi(value)
		case "fail":
			if key.run == 1 && strings.HasSuffix(key.task, ".0.0.0") {
				r.fails = true
				r.duration, err = time.ParseDuration(value)
			}
		}
		if err != nil {
			panic(fmt.Sprintf("spec %q: %v", spec, err))
		}
	}
	return r
}

// saveInterval is how much work a checkpoint takes, saveS of the deployment.
const saveInterval = 2 * time.Second

// saved returns the latest checkpoint; a new one is there with each saveInterval.
func (r *run) saved() string {
	number := int(time.Since(r.startedAt) / saveInterval)
	if r.saveBytes == 0 || number == 0 {
		return ""
	}
	text := fmt.Sprintf("%08x", number)
	return (strings.Repeat("c", r.saveBytes) + text)[len(text):]
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(body)
}
