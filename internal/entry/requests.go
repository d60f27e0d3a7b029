package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/client"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/executor"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/routing"
)

// maxAttempts limits the attempts of one request.
const maxAttempts = 4

// writeTimeout limits the time for sending the response to the caller.
const writeTimeout = 30 * time.Second

// serveRequest handles one request to a service.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	v := s.options.Source.Current()
	organisation, ok := s.authenticate(w, r, v)
	if !ok {
		return
	}
	c, result := s.parseRequest(w, r, v, organisation)
	if c == nil {
		writeOutcome(w, result, "")
		return
	}
	var response executor.Response
	if result.Kind == outcome.Done {
		response, result = s.handle(r.Context(), c)
	} else {
		c.stateMachine.Fire("refuse")
	}
	s.finish(c, result)
	if result.Kind != outcome.Done || result.Reason != outcome.ReasonNone {
		writeOutcome(w, result, c.id)
		return
	}
	writeResponse(w, c, response, s.options.Clock.Now())
}

func writeResponse(w http.ResponseWriter, c *call, response executor.Response, now time.Time) {
	header := w.Header()
	header[client.HeaderOutcome] = []string{string(outcome.Done)}
	header[client.HeaderRequest] = []string{c.id}
	header[client.HeaderAttempts] = []string{strconv.Itoa(c.attempts)}
	header["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	header["X-Content-Type-Options"] = []string{"nosniff"}
	if response.ContentType != "" {
		header["Content-Type"] = []string{response.ContentType}
	}
	if c.replayed {
		header[client.HeaderReplayed] = []string{"true"}
	}
	// A caller that does not read the response must not delay a graceful shutdown.
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(now.Add(writeTimeout))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	w.WriteHeader(response.Status)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(response.Body)
}

// handle executes a parsed request and returns its outcome.
func (s *Server) handle(ctx context.Context, c *call) (executor.Response, outcome.Outcome) {
	if c.service.Repeatable {
		ctx, cancel := context.WithDeadline(ctx, c.deadline)
		defer cancel()
		return s.execute(ctx, c)
	}
	// A request that may not be repeated continues when its caller disconnects, so
	// that a later call with the same key gets the outcome.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	return s.executeOnce(ctx, c)
}

// progress is the combined result of the failed attempts so far.
type progress struct {
	avoid []model.ExecutorID
	// mayHaveRun is true if any attempt may have run.
	mayHaveRun bool
	lastErr    error
}

// execute sends attempts until one succeeds or no further attempt is allowed.
func (s *Server) execute(ctx context.Context, c *call) (executor.Response, outcome.Outcome) {
	s.router.RecordRequest(c.service.ID)
	var p progress
	for {
		target, acquired := s.router.Acquire(ctx, s.slotRequest(c, p.avoid))
		if acquired.Kind != outcome.Done {
			return executor.Response{}, c.finalOutcome(p, acquired)
		}
		c.stateMachine.Fire("send")
		response, tried, err := s.sendHedged(ctx, c, target, p.avoid)
		if err == nil {
			c.stateMachine.Fire("answer")
			return response, outcome.Ok()
		}
		p.lastErr = err
		p.avoid = append(p.avoid, tried...)
		p.mayHaveRun = p.mayHaveRun || !executor.HasNotRun(err)
		if !s.mayRetry(ctx, c, p) {
			return executor.Response{}, c.finalOutcome(p, attemptErrorOutcome(err))
		}
		c.stateMachine.Fire("retry")
		s.events.record(event.RequestRetried, s.subject(c), err.Error())
	}
}

func (s *Server) slotRequest(c *call, avoid []model.ExecutorID) routing.SlotRequest {
	return routing.SlotRequest{
		Service:      c.service.ID,
		Organisation: c.organisation,
		Weight:       c.weight,
		Deadline:     c.deadline,
		Avoid:        avoid,
	}
}

// sendAttempt sends one attempt and reports the result to the router.
func (s *Server) sendAttempt(ctx context.Context, c *call, target model.Executor) (executor.Response, error) {
	c.attempts++
	sentAt := s.options.Clock.Now()
	remaining := c.deadline.Sub(sentAt)
	attemptContext, cancel := ctx, func() {}
	if c.service.Repeatable && c.attempts < maxAttempts {
		// Reserve half of the time for another executor, in case this one hangs.
		remaining /= 2
		attemptContext, cancel = context.WithTimeout(ctx, remaining)
	}
	defer cancel()
	response, err := s.options.Executors.Call(attemptContext, target.Endpoint, executor.Request{
		Service:        c.service.ID,
		Organisation:   c.organisation,
		Attempt:        attemptID(c.id, c.attempts),
		IdempotencyKey: c.key,
		Remaining:      remaining,
		ContentType:    c.contentType,
		Body:           c.body,
	})
	elapsed := s.options.Clock.Since(sentAt)
	c.slotTime += elapsed
	s.router.Release(c.service.ID, target, routingResult(ctx, err), elapsed)
	return response, err
}

func routingResult(ctx context.Context, err error) routing.Result {
	switch {
	case err == nil:
		return routing.Succeeded
	case errors.Is(err, executor.ErrRefused):
		return routing.Refused
	case errors.Is(context.Cause(ctx), errHedgeWon):
		return routing.Failed
	case errors.Is(ctx.Err(), context.Canceled):
		return routing.Abandoned
	}
	return routing.Failed
}

// mayRetry reports whether another attempt is allowed after the last one failed.
func (s *Server) mayRetry(ctx context.Context, c *call, p progress) bool {
	if ctx.Err() != nil || c.attempts >= maxAttempts {
		return false
	}
	if p.mayHaveRun && !c.service.Repeatable {
		return false
	}
	return s.router.MayRetry(c.service.ID)
}

// finalOutcome returns the outcome of the request, given why no further attempt is made.
// If an earlier attempt may have run, NotRun becomes Unknown.
func (c *call) finalOutcome(p progress, reason outcome.Outcome) outcome.Outcome {
	if p.mayHaveRun && reason.Kind == outcome.NotRun {
		reason = outcome.UnknownBecause(attemptErrorOutcome(p.lastErr).Reason, "after an attempt that may have run: %s", reason.Detail)
	}
	if reason.Kind == outcome.Unknown {
		c.stateMachine.Fire("lose")
	} else {
		c.stateMachine.Fire("refuse")
	}
	return reason
}

// attemptErrorOutcome returns the outcome of a request whose last attempt ended with err.
func attemptErrorOutcome(err error) outcome.Outcome {
	switch {
	case errors.Is(err, executor.ErrUnreachable):
		return outcome.NotRunBecause(outcome.ReasonNoExecutor, "the executors could not be reached")
	case errors.Is(err, executor.ErrRefused):
		return outcome.NotRunBecause(outcome.ReasonOverloaded, "the executors refused the request")
	case errors.Is(err, executor.ErrResponseMismatch):
		return outcome.UnknownBecause(outcome.ReasonAnswerMismatch, "the response received is not the complete response to this request")
	case errors.Is(err, executor.ErrFailed):
		return outcome.UnknownBecause(outcome.ReasonExecutorFailed, "the executor failed while running the request")
	}
	return outcome.UnknownBecause(outcome.ReasonAnswerLost, "no complete response was received in time")
}

func (s *Server) subject(c *call) event.Subject {
	return event.Subject{Request: c.id, Organisation: string(c.organisation), Host: string(s.options.Host)}
}

// needsEvent reports whether an event is recorded for a request that is done. Events for
// the many requests that succeed at the first attempt would displace all others from the
// event timeline.
func (c *call) needsEvent() bool { return !c.service.Repeatable || c.attempts > 1 }

// finish records the outcome of a request as an event and in the metrics.
func (s *Server) finish(c *call, result outcome.Outcome) {
	if !c.stateMachine.Final() {
		panic("entry: a request ends in a state that is not final")
	}
	number := event.RequestDone
	switch result.Kind {
	case outcome.NotRun:
		number = event.RequestNotRun
	case outcome.Unknown:
		number = event.RequestUnknown
	}
	if number != event.RequestDone || c.needsEvent() {
		s.events.record(number, s.subject(c), result.Detail)
	}
	s.metrics.observe(c, result, s.options.Clock.Since(c.receivedAt))
}
