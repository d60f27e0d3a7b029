package zone

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/scheduler"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/view"
	"github.com/chervilrun/chervilrun/internal/worker"
)

// Notify notifies another zone's owner of a job that was moved to its zone.
type Notify func(ctx context.Context, notice Notice)

// Ports are the external dependencies of a Loop.
type Ports struct {
	Clock   clockwork.Clock
	Workers worker.Port
	Store   store.Store
	Views   view.Source
	// Owned reports whether this host certainly owns the zone right now.
	Owned  func() bool
	Notify Notify
}

// Loop drives a Runner and makes the calls that it returns. It is safe for concurrent use.
type Loop struct {
	ports      Ports
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	wake       chan struct{}
	timing     Timing

	mu          sync.Mutex
	runner      *Runner
	changed     chan struct{} // closed and replaced when a record changes
	seenChanges int64
}

// NewLoop starts a loop that runs a zone.
func NewLoop(o Options, ports Ports) *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loop{
		ports:   ports,
		ctx:     ctx,
		cancel:  cancel,
		timing:  o.Timing,
		wake:    make(chan struct{}, 1),
		runner:  NewRunner(o, ports.Clock.Now()),
		changed: make(chan struct{}),
	}
	l.runner.SetView(ports.Views.Current(), ports.Clock.Now())
	l.goroutines.Add(2)
	go l.run()
	go l.followViews()
	return l
}

// Stop cancels the calls in flight and ends the loop; nothing more is sent.
func (l *Loop) Stop() {
	l.cancel()
	l.goroutines.Wait()
}

func (l *Loop) gate() Gate {
	return Gate{Owned: l.ctx.Err() == nil && l.ports.Owned(), Confirmation: l.ports.Views.Confirmation()}
}

func (l *Loop) run() {
	defer l.goroutines.Done()
	for l.ctx.Err() == nil {
		next := l.step()
		timer := l.ports.Clock.NewTimer(next)
		select {
		case <-l.ctx.Done():
		case <-l.wake:
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

func (l *Loop) followViews() {
	defer l.goroutines.Done()
	for {
		changed := l.ports.Views.Changed()
		l.update(func(r *Runner, now time.Time) { r.SetView(l.ports.Views.Current(), now) })
		select {
		case <-l.ctx.Done():
			return
		case <-changed:
		}
	}
}

// update applies a change to the runner and triggers a step.
func (l *Loop) update(change func(r *Runner, now time.Time)) {
	l.mu.Lock()
	change(l.runner, l.ports.Clock.Now())
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// step makes the calls that are due and returns the time until the next step.
func (l *Loop) step() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.ports.Clock.Now()
	effects := l.runner.Step(now, l.gate())
	for _, call := range effects.Calls {
		l.goroutines.Add(1)
		go l.exchange(call)
	}
	if effects.Store != nil {
		l.goroutines.Add(1)
		go l.callStore(effects.Store)
	}
	for _, notice := range effects.Notices {
		l.goroutines.Add(1)
		go l.notify(notice)
	}
	if changes := l.runner.Changes(); changes != l.seenChanges {
		l.seenChanges = changes
		close(l.changed)
		l.changed = make(chan struct{})
	}
	return max(l.runner.Next(now).Sub(now), time.Millisecond)
}

func (l *Loop) exchange(call Call) {
	defer l.goroutines.Done()
	response, err := l.send(call)
	l.update(func(r *Runner, now time.Time) { r.ExchangeDone(call, response, err, now) })
}

func (l *Loop) send(call Call) (worker.Response, error) {
	now := l.ports.Clock.Now()
	if !MayCarryOut(call, l.gate(), now) {
		return worker.Response{}, errors.Wrap(worker.ErrUnreachable, "not sent: the call is no longer allowed")
	}
	ctx, cancel := context.WithTimeout(l.ctx, call.Deadline.Sub(now))
	defer cancel()
	return l.ports.Workers.Exchange(ctx, call.Endpoint, call.Exchange)
}

func (l *Loop) callStore(call *StoreCall) {
	defer l.goroutines.Done()
	ctx, cancel := context.WithTimeout(l.ctx, l.timing.StoreTimeout)
	defer cancel()
	result, err := CallStore(ctx, l.ports.Store, call)
	l.update(func(r *Runner, now time.Time) { r.StoreDone(call, result, err, now) })
}

// CallStore makes one call of a runner to a store.
func CallStore(ctx context.Context, s store.Store, call *StoreCall) (StoreResult, error) {
	if call.Txn != nil {
		result, err := s.Txn(ctx, *call.Txn)
		return StoreResult{Txn: result}, err
	}
	page, err := s.Range(ctx, call.From, call.To, call.Limit)
	return StoreResult{Page: page}, err
}

func (l *Loop) notify(notice Notice) {
	defer l.goroutines.Done()
	if l.ports.Notify != nil {
		l.ports.Notify(l.ctx, notice)
	}
}

// jobResult is the result of a submission or a cancellation.
type jobResult struct {
	outcome outcome.Outcome
	record  job.Record
}

// Submit submits a job and returns once its record is durable or the job is refused.
// When ctx ends before that, the outcome is unknown.
func (l *Loop) Submit(ctx context.Context, spec model.JobSpec) (outcome.Outcome, job.Record) {
	results := make(chan jobResult, 1)
	l.update(func(r *Runner, now time.Time) {
		r.Submit(spec, now, func(o outcome.Outcome, record job.Record) { results <- jobResult{o, record} })
	})
	select {
	case result := <-results:
		return result.outcome, result.record
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return outcome.UnknownBecause(outcome.ReasonAnswerLost, "the job may or may not be recorded; submit it again under the same ID"), job.Record{}
}

// Cancel cancels a job; found is false when the zone has no such job.
func (l *Loop) Cancel(ctx context.Context, id model.JobID, organisation model.OrganisationID) (o outcome.Outcome, record job.Record, found bool) {
	results := make(chan jobResult, 1)
	l.update(func(r *Runner, now time.Time) {
		found = r.Cancel(id, organisation, now, func(o outcome.Outcome, record job.Record) { results <- jobResult{o, record} })
	})
	if !found {
		return outcome.Outcome{}, job.Record{}, false
	}
	select {
	case result := <-results:
		return result.outcome, result.record, true
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return outcome.UnknownBecause(outcome.ReasonStoreUnavailable, "cancelled, but not recorded yet"), job.Record{}, true
}

// Get returns the record of a job. Unless known is 0, it waits until the record's
// revision differs from known or ctx ends.
func (l *Loop) Get(ctx context.Context, id model.JobID, known int64) (job.Record, bool) {
	for {
		l.mu.Lock()
		record, found := l.runner.Lookup(id)
		changed := l.changed
		l.mu.Unlock()
		if !found || known == 0 || record.Revision != known {
			return record, found
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return record, true
		case <-l.ctx.Done():
			return record, true
		}
	}
}

// IsAbsent reports whether the zone certainly has no job that Get does not find.
func (l *Loop) IsAbsent(id model.JobID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runner.IsAbsent(id)
}

// Explain returns the reason why a job waits, or "" if it does not wait.
func (l *Loop) Explain(id model.JobID) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runner.Explain(id, l.ports.Clock.Now())
}

// Digest returns the totals of the zone and whether it accepts jobs.
func (l *Loop) Digest() (scheduler.Digest, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runner.Digest(l.ports.Clock.Now()), l.runner.Accepting()
}

// releasePollInterval is the interval at which Release checks whether it is done.
const releasePollInterval = 20 * time.Millisecond

// Release prepares a planned handover: it places no more gangs, records all changes and
// extends the leases of running gangs until the next owner has taken over. The loop has
// ended when Release returns.
func (l *Loop) Release(ctx context.Context) error {
	l.update(func(r *Runner, now time.Time) { r.BeginRelease(now) })
	for {
		l.mu.Lock()
		released := l.runner.Released()
		l.mu.Unlock()
		if released {
			l.Stop()
			return nil
		}
		select {
		case <-ctx.Done():
			l.Stop()
			return errors.Wrapf(ctx.Err(), "zone %s: release not completed before the handover", l.runner.Zone)
		case <-l.ctx.Done():
			return nil
		case <-l.ports.Clock.After(releasePollInterval):
		}
	}
}
