package pool

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
)

// Advice is the adviser's response on the workers of a request.
type Advice struct {
	// Tickets holds the ticket of each worker that may run the step.
	Tickets map[model.WorkerID]string
	// ValidFor is how long the tickets are valid after the response; 0 if it doesn't say.
	ValidFor time.Duration
}

// Adviser decides which workers may run a step of a queue that requires advice.
type Adviser interface {
	// Advise asks about a step, named JOB.OCCURRENCE.STEP, and up to MaxAdviceWorkers
	// workers. ErrOverloaded means that too many requests are waiting.
	Advise(ctx context.Context, step string, workers []model.WorkerID) (Advice, error)
}

// Limits of the requests to the adviser.
const (
	// MaxAdviceWorkers is the maximum number of workers that the adviser accepts in a request.
	MaxAdviceWorkers = 100
	// adviceTimeoutMargin is added to the time that the adviser takes for a request, as the
	// queue specifies it.
	adviceTimeoutMargin = 2 * time.Second
	// maxAdviceTimeoutFactor limits the growth of the timeout after requests without a response.
	maxAdviceTimeoutFactor = 8
	// adviceRetry is the delay after a failed request.
	adviceRetry = 300 * time.Millisecond
)

// adviserState is the state of the requests to the adviser.
type adviserState struct {
	inFlight bool
	// nextCheck is the earliest time to look for the next request, retryAt the earliest time to send
	// it after a failed one.
	nextCheck, retryAt time.Time
	// timeoutFactor multiplies the timeout of a request.
	timeoutFactor time.Duration
}

// done notes the outcome of a request. The adviser may go on with a request that was given up, so that
// the next one waits behind it and needs more time.
func (a *adviserState) done(call *Call, err error, now time.Time) {
	a.inFlight = false
	switch took := now.Sub(call.Sent); {
	case err == nil && 2*took < call.Timeout:
		a.timeoutFactor = max(1, a.timeoutFactor/2)
	case err != nil && took >= call.Timeout:
		a.timeoutFactor = min(2*a.timeoutFactor, maxAdviceTimeoutFactor)
	}
	if err != nil {
		a.retryAt = now.Add(adviceRetry)
	}
}

// stepAdvice holds the adviser's responses for a step. Whether an incarnation of a worker may run
// the step never changes; tickets expire.
type stepAdvice struct {
	tickets map[model.WorkerID]ticket
	// denied holds the incarnations that may not run the step.
	denied   map[model.WorkerID]int64
	inFlight bool
	// grantedAt is when the adviser last allowed a worker.
	grantedAt time.Time
}

// ticket permits the tasks of a step on an incarnation of a worker.
type ticket struct {
	text        string
	incarnation int64
	validUntil  time.Time
	// Until usableUntil the ticket is valid for long enough to place a task by it. From renewAt on it
	// may be requested again.
	usableUntil time.Time
	renewAt     time.Time
}

// newTicket returns a ticket that is valid for a time from now on. The adviser issues tickets with its
// response. Were the time of the request counted, they could expire before their arrival, each time
// that the step asks for them.
func (o *Owner) newTicket(text string, w *worker, validFor time.Duration) ticket {
	// Both margins are shares of a short validity: with fixed ones such tickets would never be used.
	margin := min(o.timing.StartExpiry/2, validFor/3)
	validUntil := o.now.Add(validFor)
	return ticket{
		text: text, incarnation: w.Incarnation,
		validUntil: validUntil, usableUntil: validUntil.Add(-margin), renewAt: validUntil.Add(-2 * margin),
	}
}

func (s *step) ensureAdvice() *stepAdvice {
	if s.advice == nil {
		s.advice = &stepAdvice{tickets: map[model.WorkerID]ticket{}, denied: map[model.WorkerID]int64{}}
	}
	return s.advice
}

// isDenied reports whether the adviser has denied this incarnation of a worker.
func (a *stepAdvice) isDenied(w *worker) bool {
	incarnation, ok := a.denied[w.info.ID]
	return ok && incarnation == w.Incarnation
}

// ticketFor returns the ticket for this incarnation of a worker, which may have expired.
func (s *step) ticketFor(w *worker) (ticket, bool) {
	t, ok := s.ensureAdvice().tickets[w.info.ID]
	return t, ok && t.incarnation == w.Incarnation
}

// hasUsableTicket reports whether the step has a ticket by which a task can be placed on a worker.
func (s *step) hasUsableTicket(w *worker, now time.Time) bool {
	t, ok := s.ticketFor(w)
	return ok && !now.After(t.usableUntil)
}

// hasValidTickets reports whether the tickets of an assigned task group are still valid. Without them
// its starts would be refused.
func (o *Owner) hasValidTickets(g *taskGroup) bool {
	if !g.job.queue.Advised {
		return true
	}
	for _, m := range g.members {
		t, ok := g.step.ticketFor(o.workers.getOrZero(m.workerID))
		if !ok || !o.now.Before(t.validUntil) {
			return false
		}
	}
	return true
}

// allowedWorkers returns the workers with a usable ticket; nil if the queue needs no advice.
func (o *Owner) allowedWorkers(g *taskGroup) map[model.WorkerID]bool {
	if !g.job.queue.Advised {
		return nil
	}
	allowed := map[model.WorkerID]bool{}
	for id := range g.step.ensureAdvice().tickets {
		if w, ok := o.workers.get(id); ok && g.step.hasUsableTicket(w, o.now) {
			allowed[id] = true
		}
	}
	return allowed
}

// describeAdvice explains why no worker is allowed to run a step.
func (o *Owner) describeAdvice(s *step) string {
	a := s.ensureAdvice()
	switch {
	case len(a.tickets) > 0:
		return fmt.Sprintf("the tickets for all %d workers that the adviser has allowed have expired; %s", len(a.tickets), a.nextRequest())
	case len(a.denied) > 0:
		return fmt.Sprintf("the adviser has denied %d workers and allowed none yet; %s", len(a.denied), a.nextRequest())
	}
	return "the adviser has not responded yet; " + a.nextRequest()
}

func (a *stepAdvice) nextRequest() string {
	if a.inFlight {
		return "a request is in flight"
	}
	return "no request is in flight"
}

// askAdviser sends the most urgent request to the adviser.
func (o *Owner) askAdviser() {
	// The adviser handles the requests of a host one after the other: a second one would only wait
	// for the first.
	if o.adviser.inFlight || o.index.advised == 0 {
		return
	}
	for _, earliest := range []time.Time{o.adviser.nextCheck, o.adviser.retryAt} {
		if o.now.Before(earliest) {
			o.wakeAt(earliest)
			return
		}
	}
	o.adviser.nextCheck = o.now.Add(o.timing.PlanInterval)
	if need := o.mostUrgentAdvice(); need != nil {
		o.sendAdviceRequest(need.group, need.workers)
	}
}

func (o *Owner) sendAdviceRequest(g *taskGroup, workers []model.WorkerID) {
	a := g.step.ensureAdvice()
	a.inFlight = true
	o.adviser.inFlight = true
	order := &AdviseOrder{Step: fmt.Sprintf("%s.%d.%d", g.job.id(), g.occurrence.number, g.step.index), Workers: workers}
	for _, id := range workers {
		order.incarnations = append(order.incarnations, o.incarnationOf(id))
	}
	o.pendingCalls = append(o.pendingCalls, Call{
		Advise: order,
		Sent:   o.now, Timeout: o.adviser.timeoutFactor * (adviceTimeoutMargin + g.job.queue.AdviceTime(len(workers))), step: g.step, queue: &g.job.queue,
	})
}

// AdviseOrder is a request to the adviser.
type AdviseOrder struct {
	Step    string
	Workers []model.WorkerID
	// incarnations are those of the workers, as they were known when the request was made.
	incarnations []int64
}

// AdviseDone handles the result of a request to the adviser.
func (o *Owner) AdviseDone(call Call, advice Advice, err error, now time.Time) {
	o.now = now
	o.adviser.done(&call, err, now)
	a := call.step.ensureAdvice()
	a.inFlight = false
	if err != nil {
		o.emit(event.AdviceMissing, event.Subject{}, event.Fields{"step": call.Advise.Step, "workers": len(call.Advise.Workers), "timeout_ms": call.Timeout.Milliseconds(), "why": err.Error()})
		return
	}
	validFor := cmp.Or(advice.ValidFor, call.queue.TicketValidity, o.timing.StartExpiry)
	renewed := 0
	for i, id := range call.Advise.Workers {
		w, known := o.workers.get(id)
		if !known || w.Incarnation != call.Advise.incarnations[i] {
			continue
		}
		ticketText, allowed := advice.Tickets[id]
		if !allowed {
			a.denied[id] = w.Incarnation
			continue
		}
		if _, had := a.tickets[id]; had {
			renewed++
		}
		a.tickets[id] = o.newTicket(ticketText, w, validFor)
		a.grantedAt = now
	}
	o.emit(event.AdviceTaken, event.Subject{}, event.Fields{
		"step": call.Advise.Step, "workers": len(call.Advise.Workers), "good": len(advice.Tickets), "renewed": renewed,
		"took_ms": now.Sub(call.Sent).Milliseconds(), "valid_ms": validFor.Milliseconds(),
	})
	o.planNeeded = true
}

// dropTicket discards the member's ticket if err shows that the worker refused it.
func (o *Owner) dropTicket(m *member, err error) {
	if errors.Is(err, ErrTicketRefused) {
		delete(m.group.step.ensureAdvice().tickets, m.workerID)
	}
}
