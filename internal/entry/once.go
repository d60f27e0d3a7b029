package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/executor"
	"github.com/chervilrun/chervilrun/internal/once"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/store"
)

// executeOnce executes a request that may not be repeated: it claims the key, sends the
// request once and records its outcome.
func (s *Server) executeOnce(ctx context.Context, c *call) (executor.Response, outcome.Outcome) {
	fingerprint := once.Fingerprint([]byte(c.service.ID), []byte(c.contentType), c.body)
	claim, existing, err := s.once.Claim(ctx, store.OnceKey(c.organisation, c.key), once.Record{
		Attempt:     attemptID(c.id, 0),
		Host:        s.options.Host,
		Service:     c.service.ID,
		Fingerprint: fingerprint,
		Deadline:    c.deadline,
	})
	switch {
	case err != nil:
		c.stateMachine.Fire("refuse")
		return executor.Response{}, claimErrorOutcome(err)
	case existing != nil:
		return s.replay(c, existing, fingerprint)
	}
	c.stateMachine.Fire("record")
	response, result := s.execute(ctx, c)
	s.recordOutcome(claim, result, response)
	return response, result
}

// claimErrorOutcome returns the outcome of a request whose key could not be claimed. It is
// always NotRun, since nothing is sent without a confirmed record.
func claimErrorOutcome(err error) outcome.Outcome {
	if errors.Is(err, once.ErrBusy) {
		return outcome.NotRunBecause(outcome.ReasonOverloaded, "too many requests are waiting to be recorded")
	}
	return outcome.NotRunBecause(outcome.ReasonStoreUnavailable, "the request could not be recorded, so it was not sent")
}

// recordWaitTimeout is how long a response is delayed until its outcome is recorded. The
// response is already complete, and the write continues after the timeout.
const recordWaitTimeout = 500 * time.Millisecond

// recordOutcome records the outcome and waits up to recordWaitTimeout for the write.
func (s *Server) recordOutcome(claim *once.Claim, result outcome.Outcome, response executor.Response) {
	var kept *executor.Response
	if result.Kind == outcome.Done {
		kept = &response
	}
	s.awaitRecord(claim.End(result, kept))
}

func (s *Server) awaitRecord(recorded <-chan struct{}) bool {
	timer := s.options.Clock.NewTimer(recordWaitTimeout)
	defer timer.Stop()
	select {
	case <-recorded:
		return true
	case <-timer.Chan():
		return false
	}
}

// replay returns the response and outcome from the record of an earlier request with the
// same key.
func (s *Server) replay(c *call, existing *once.Record, fingerprint string) (executor.Response, outcome.Outcome) {
	c.replayed = true
	if existing.Fingerprint != fingerprint {
		c.stateMachine.Fire("refuse")
		return executor.Response{}, outcome.NotRunBecause(outcome.ReasonKeyReused, "the key was used for another request")
	}
	if existing.State == once.Pending {
		c.stateMachine.Fire("lose")
		if s.options.Clock.Now().Before(existing.Deadline) {
			return executor.Response{}, outcome.UnknownBecause(outcome.ReasonInProgress, "a request with this key is in progress")
		}
		return executor.Response{}, outcome.UnknownBecause(outcome.ReasonAnswerLost, "a request with this key was recorded, but its outcome was lost")
	}
	switch {
	case existing.Outcome.Kind != outcome.Done:
		c.stateMachine.Fire("lose")
		return executor.Response{}, existing.Outcome
	case existing.Response == nil:
		c.stateMachine.Fire("replay")
		result := outcome.Outcome{Kind: outcome.Done, Reason: outcome.ReasonAnswerLost}
		result.Detail = "the request ran; its response was too large to be recorded"
		return executor.Response{}, result
	}
	c.stateMachine.Fire("replay")
	return *existing.Response, outcome.Ok()
}
