package pool

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/worker"
)

// Faults are the injected faults of one worker.
type Faults struct {
	// Down refuses every exchange; tasks continue to run under their leases.
	Down bool `json:"down,omitempty"`
	// Partitioned drops every exchange without a response.
	Partitioned bool `json:"cut,omitempty"`
	// Frozen delays every exchange until the fault is cleared, when the caller no longer
	// waits for the response; tasks continue to run.
	Frozen bool `json:"frozen,omitempty"`
	// SlowMS delays every response, in milliseconds.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// LostResponses is the number of next exchanges whose commands take effect but whose
	// responses are dropped.
	LostResponses int `json:"lost_answers,omitempty"`
	// FailStarts makes every task fail when it starts.
	FailStarts bool `json:"fail_starts,omitempty"`
	// Truncated truncates every response.
	Truncated bool `json:"truncated,omitempty"`
}

// DefaultReportLag is the default of Pool.ReportLag.
const DefaultReportLag = 50 * time.Millisecond

// Pool is a set of simulated workers. It is safe for concurrent use.
type Pool struct {
	// ReportLag is the delay between the change of a task and its report. It may only be
	// changed before the pool is used.
	ReportLag time.Duration

	clock clockwork.Clock

	mu         sync.Mutex
	nodes      map[model.WorkerID]*node
	byEndpoint map[string]model.WorkerID
	// order lists the workers in the order in which they were added.
	order []model.WorkerID
	// checkpoints holds the run time that each checkpoint contains.
	checkpoints map[string]time.Duration
	// crashes counts the workers that tasks have crashed, by job.
	crashes   map[model.JobID]int
	history   []*Run
	exchanges int
}

// New returns an empty pool.
func New(clock clockwork.Clock) *Pool {
	return &Pool{
		ReportLag:   DefaultReportLag,
		clock:       clock,
		nodes:       map[model.WorkerID]*node{},
		byEndpoint:  map[string]model.WorkerID{},
		checkpoints: map[string]time.Duration{},
		crashes:     map[model.JobID]int{},
	}
}

// Add adds a worker.
func (p *Pool) Add(info model.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes[info.ID] = newNode(p, info)
	p.byEndpoint[info.Endpoint] = info.ID
	p.order = append(p.order, info.ID)
}

// Workers returns the workers in the order in which they were added.
func (p *Pool) Workers() []model.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	workers := make([]model.Worker, len(p.order))
	for i, id := range p.order {
		workers[i] = p.nodes[id].info
	}
	return workers
}

// SetFaults replaces the faults of a worker and reports whether the worker exists.
func (p *Pool) SetFaults(id model.WorkerID, faults Faults) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[id]
	if n == nil {
		return false
	}
	n.faults = faults
	if !faults.Frozen {
		n.unfreeze(p.clock.Now())
	}
	return true
}

// Restart makes a worker lose its tasks and all other state, and reports whether the worker
// exists.
func (p *Pool) Restart(id model.WorkerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[id]
	if n == nil {
		return false
	}
	n.restart(p.clock.Now())
	return true
}

// Crashes counts the workers that a job's tasks have crashed.
func (p *Pool) Crashes(id model.JobID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes[id]
}

// Exchange implements worker.Port in process.
func (p *Pool) Exchange(ctx context.Context, endpoint string, exchange worker.Exchange) (worker.Response, error) {
	p.mu.Lock()
	id, known := p.byEndpoint[endpoint]
	p.mu.Unlock()
	if !known {
		return worker.Response{}, fmt.Errorf("%w: no worker at %q", worker.ErrUnreachable, endpoint)
	}
	response, result := p.deliver(id, exchange)
	return response, result.err
}

// delivery is the effect of a worker's faults on a response.
type delivery struct {
	err       error
	delay     time.Duration
	truncated bool
	dropped   bool
}

// deliver applies a worker's faults to an exchange and, if they allow it, lets the worker
// execute it.
func (p *Pool) deliver(id model.WorkerID, exchange worker.Exchange) (worker.Response, delivery) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[id]
	p.exchanges++
	faults := n.faults
	switch {
	case faults.Down:
		return worker.Response{}, delivery{err: worker.ErrUnreachable}
	case faults.Partitioned:
		return worker.Response{}, delivery{err: worker.ErrResponseLost, dropped: true}
	case faults.Frozen:
		n.pendingExchanges = append(n.pendingExchanges, exchange)
		return worker.Response{}, delivery{err: worker.ErrResponseLost, dropped: true}
	}
	response, err := n.exchange(exchange, p.clock.Now())
	if err != nil {
		return response, delivery{err: err, delay: milliseconds(faults.SlowMS)}
	}
	switch {
	case faults.LostResponses > 0:
		n.faults.LostResponses--
		return worker.Response{}, delivery{err: worker.ErrResponseLost, dropped: true}
	case faults.Truncated:
		return worker.Response{}, delivery{err: worker.ErrResponseLost, truncated: true}
	}
	return response, delivery{delay: milliseconds(faults.SlowMS)}
}

// saveCheckpoint stores the run time of a task so far.
func (p *Pool) saveCheckpoint(t *task, name string, now time.Time) {
	p.checkpoints[name] = t.resumedRunTime + now.Sub(t.startedAt)
	t.checkpoint = name
}

func (p *Pool) checkpointRunTime(checkpoint string) time.Duration { return p.checkpoints[checkpoint] }
