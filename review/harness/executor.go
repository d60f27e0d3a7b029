package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// The bounds and periods of the platform, as its pages name them for a small deployment.
const (
	beatInterval  = 1500 * time.Millisecond
	silentBeats   = 3
	maxLease      = 6 * time.Second
	stopTime      = 300 * time.Millisecond
	maxHoldWait   = 2 * time.Second
	upkeepTime    = 2 * time.Second
	pollInterval  = 10 * time.Millisecond
	executorCores = 64_000
	executorMemMB = 131_072
	executorGPUs  = 8
	// lasts is the length of tasks that run until their job is cancelled.
	lasts = 24 * time.Hour
	// startupTime is how long such a task takes to be at work, failureTime how long it runs
	// while it fails.
	startupTime = 200 * time.Millisecond
	failureTime = time.Second
)

type runKey struct {
	task string
	run  int
}

func (k runKey) String() string { return fmt.Sprintf("%s run %d", k.task, k.run) }

type taskRun struct {
	key     runKey
	begun   time.Time
	length  time.Duration
	stopsAt time.Time
}

// job is the job of the run's task.
func (r *taskRun) job() string {
	job, _, _ := strings.Cut(r.key.task, ".")
	return job
}

// percent is the progress of the run; a task that lasts is at work after a short startup.
func (r *taskRun) percent() int {
	if r.length == lasts {
		return min(100, int(100*time.Since(r.begun)/startupTime))
	}
	return min(99, int(100*time.Since(r.begun)/r.length))
}

type endedRun struct {
	number int64
	key    runKey
	how    string
}

// executor is one life of a machine. Its fields are guarded by world.mu.
type executor struct {
	w       *world
	id      string
	machine *machine
	addr    string
	server  *http.Server
	born    time.Time
	// gone is true once the executor has left or its machine has been taken down.
	gone bool
	// leavesAt is when a draining executor exits; zero while it is ready.
	leavesAt time.Time
	// down is true while a crashed executor is away.
	down bool
	// unhealthy executors refuse to start anything.
	unhealthy bool
	seq       int
	lastBeat  time.Time
	listed    bool

	fence      uint64
	leaseUntil time.Time
	runs       map[runKey]*taskRun
	ended      []endedRun
	lastNumber int64
	highest    map[string]int
}

func (e *executor) clockMS() int64 { return time.Since(e.born).Milliseconds() + 1000 }

// beat writes the executor's entry to the store. The caller holds world.mu.
func (e *executor) beat() {
	if e.gone || e.down {
		return
	}
	e.seq++
	entry := map[string]any{
		"service": e.w.service, "addr": e.addr, "zone": e.machine.zone, "version": "v1", "slots": 8,
		"state": "ready", "coldLeftMs": 0, "seq": e.seq, "born": e.born.UnixMilli(), "clockMs": e.clockMS(),
		"capacity": map[string]int{"cpu": executorCores, "memMb": executorMemMB, "gpu": executorGPUs},
		"labels":   []string{"a", e.machine.rack},
	}
	if !e.leavesAt.IsZero() {
		entry["state"], entry["remainingMs"] = "draining", max(0, time.Until(e.leavesAt).Milliseconds())
	}
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	if e.w.store.put("servers/"+e.id, string(text)) {
		if !e.listed {
			e.w.rec.add(e.id, "entered in the store, %s", entry["state"])
		}
		e.lastBeat, e.listed = time.Now(), true
	}
}

// expireEntry removes the entry after silentBeats intervals of silence.
func (e *executor) expireEntry() {
	if e.listed && (e.gone || time.Since(e.lastBeat) > silentBeats*beatInterval) {
		e.w.store.remove("servers/" + e.id)
		e.listed = false
		e.w.rec.add(e.id, "removed from the store; the executor is gone: %v", e.gone)
	}
}

// advance brings the runs up to the present time.
func (e *executor) advance() {
	now := time.Now()
	if e.gone || e.down {
		return
	}
	if !e.leavesAt.IsZero() && now.After(e.leavesAt) {
		e.leave("it has drained")
		return
	}
	for _, r := range e.sortedRuns() {
		switch {
		case now.After(e.leaseUntil):
			e.end(r, "lapsed")
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			e.end(r, "stopped")
		case now.Sub(r.begun) >= r.length:
			e.end(r, "done")
		case e.w.failing[r.job()] && now.Sub(r.begun) >= failureTime:
			e.end(r, "failed")
		}
	}
}

func (e *executor) sortedRuns() []*taskRun {
	var list []*taskRun
	for _, r := range e.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *taskRun) int { return strings.Compare(a.key.String(), b.key.String()) })
	return list
}

func (e *executor) end(r *taskRun, how string) {
	delete(e.runs, r.key)
	e.highest[r.key.task] = max(e.highest[r.key.task], r.key.run)
	e.lastNumber++
	e.ended = append(e.ended, endedRun{number: e.lastNumber, key: r.key, how: how})
	e.w.rec.add(e.id, "%s ended: %s", r.key, how)
}

// leave ends the executor and all that runs on it.
func (e *executor) leave(why string) {
	for _, r := range e.sortedRuns() {
		e.w.rec.add(e.id, "%s terminated with its executor", r.key)
	}
	e.w.rec.add(e.id, "gone: %s", why)
	e.runs, e.gone = map[runKey]*taskRun{}, true
	go func() { _ = e.server.Close() }()
}

// goDown crashes the executor: everything on it is gone, and its address refuses connections.
func (e *executor) goDown() {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	for _, r := range e.sortedRuns() {
		e.w.rec.add(e.id, "%s terminated with its executor", r.key)
	}
	e.w.rec.add(e.id, "crashed")
	e.down, e.runs, e.ended = true, map[runKey]*taskRun{}, nil
	_ = e.server.Close()
}

// comeUp starts the executor again under its id and address; it knows nothing of before.
func (e *executor) comeUp() {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	listener, err := net.Listen("tcp", e.addr)
	if err != nil {
		panic(failure(err.Error()))
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	e.w.servers = append(e.w.servers, e.server)
	go func() { _ = e.server.Serve(listener) }()
	e.down, e.born, e.fence, e.leaseUntil = false, time.Now(), 0, time.Time{}
	e.lastNumber, e.highest, e.seq = 0, map[string]int{}, 0
	e.w.rec.add(e.id, "started again")
	e.beat()
}

// order is the body of every call to an executor.
type order struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	Spec      string `json:"spec"`
	ExpiresMS int64  `json:"expiresMs"`
	Fence     uint64 `json:"fence"`
	LastSeen  int64  `json:"lastSeen"`
	WaitMS    int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		answer(w, http.StatusMisdirectedRequest, nil)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	e.advance()
	if e.gone || e.down {
		panic(http.ErrAbortHandler)
	}
	key := runKey{o.Task, o.Run}
	switch r.URL.Path {
	case "/run-start":
		e.serveStart(w, key, o)
	case "/run-stop":
		e.w.rec.add(e.id, "told to stop %s, fence %d", key, o.Fence)
		e.reply(w, e.checkFence(o.Fence, func() string { return e.stop(key) }))
	case "/pace":
		e.reply(w, e.checkFence(o.Fence, func() string { return "" }))
	case "/hold":
		e.serveHold(w, r, o)
	default:
		answer(w, http.StatusNotFound, nil)
	}
}

func (e *executor) serveStart(w http.ResponseWriter, key runKey, o order) {
	if e.unhealthy {
		e.w.rec.add(e.id, "told to start %s, fence %d -> 503, nothing done", key, o.Fence)
		answer(w, http.StatusServiceUnavailable, nil)
		return
	}
	reason := e.checkFence(o.Fence, func() string { return e.start(key, o) })
	e.w.rec.add(e.id, "told to start %s, fence %d -> %s", key, o.Fence, map[bool]string{true: "200", false: "409 " + reason}[reason == ""])
	e.reply(w, reason)
}

func (e *executor) reply(w http.ResponseWriter, reason string) {
	body := map[string]any{"clockMs": e.clockMS(), "born": e.born.UnixMilli()}
	if reason == "" {
		answer(w, http.StatusOK, body)
		return
	}
	body["reason"] = reason
	answer(w, http.StatusConflict, body)
}

// checkFence carries an order out unless a higher fence was seen, and returns the reason of
// a refusal.
func (e *executor) checkFence(fence uint64, carryOut func() string) string {
	if fence < e.fence {
		return "fence"
	}
	e.fence = fence
	return carryOut()
}

func (e *executor) extendLease(expiresMS int64) {
	until := time.Now().Add(min(maxLease, time.Duration(expiresMS-e.clockMS())*time.Millisecond))
	if until.After(e.leaseUntil) {
		e.leaseUntil = until
	}
}

func (e *executor) start(key runKey, o order) string {
	if e.runs[key] != nil {
		return ""
	}
	if o.ExpiresMS <= e.clockMS() {
		return "late"
	}
	e.extendLease(o.ExpiresMS)
	if key.run <= e.highest[key.task] {
		return "old"
	}
	e.w.judgeStart(e, key)
	r := &taskRun{key: key, begun: time.Now()}
	r.length = e.w.lengths[r.job()]
	e.runs[key] = r
	return ""
}

func (e *executor) stop(key runKey) string {
	if r := e.runs[key]; r != nil {
		if r.stopsAt.IsZero() {
			r.stopsAt = time.Now().Add(stopTime)
		}
		return ""
	}
	e.highest[key.task] = max(e.highest[key.task], key.run)
	return ""
}

// serveHold extends the lease and lists the runs. The caller holds world.mu, which is
// released while the answer waits for an end.
func (e *executor) serveHold(w http.ResponseWriter, r *http.Request, o order) {
	born := e.born
	deadline := time.Now().Add(min(maxHoldWait, time.Duration(o.WaitMS)*time.Millisecond))
	if reason := e.checkFence(o.Fence, func() string { return "" }); reason != "" {
		e.reply(w, reason)
		return
	}
	if o.ExpiresMS > 0 {
		e.extendLease(o.ExpiresMS)
	}
	e.ended = slices.DeleteFunc(e.ended, func(x endedRun) bool { return x.number <= o.LastSeen })
	for len(e.ended) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		e.w.mu.Unlock()
		time.Sleep(pollInterval)
		e.w.mu.Lock()
		if e.advance(); e.gone || e.down || e.born != born {
			panic(http.ErrAbortHandler)
		}
		if o.Fence < e.fence {
			e.reply(w, "fence")
			return
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.sortedRuns() {
		running = append(running, []any{r.key.task, r.key.run, "", r.percent(), 0})
	}
	for _, x := range e.ended {
		ended = append(ended, []any{x.number, x.key.task, x.key.run, x.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{"clockMs": e.clockMS(), "born": e.born.UnixMilli(), "running": running, "ended": ended})
}
