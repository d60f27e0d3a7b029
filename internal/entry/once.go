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

// executeOnce runs a request that may not be repeated: it is recorded, sent once, and
// its outcome is recorded.
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

// claimErrorOutcome is true to its word: nothing is sent without a confirmed record.
func claimErrorOutcome(err error) outcome.Outcome {
	if errors.Is(err, once.ErrBusy) {
		return outcome.NotRunBecause(outcome.ReasonOverloaded, "too many requests wait for their record")
	}
	return outcome.NotRunBecause(outcome.ReasonStoreUnavailable, "the request could not be recorded, so it was not sent")
}

// recordWaitTimeout is how long an answer waits for its record: the caller's answer is
// whole already, and the write goes on after that.
const recordWaitTimeout = 500 * time.Millisecond

// recordOutcome writes the outcome and waits a while for it to be durable.
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

// replay answers with what an earlier request with the same key has left.
func (s *Server) replay(c *call, existing *once.Record, fingerprint string) (executor.Response, outcome.Outcome) {
	c.replayed = true
	if existing.Fingerprint != fingerprint {
		c.stateMachine.Fire("refuse")
		return executor.Response{}, outcome.NotRunBecause(outcome.ReasonKeyReused, "the key was used for another request")
	}
	if existing.State == once.Pending {
		c.stateMachine.Fire("lose")
		if s.options.Clock.Now().Before(existing.Deadline) {
			return executor.Response{}, outcome.UnknownBecause(outcome.ReasonInProgress, "a request with this key is under way")
		}
		return executor.Response{}, outcome.UnknownBecause(outcome.ReasonAnswerLost, "a request with this key was recorded and its outcome was lost")
	}
	switch {
	case existing.Outcome.Kind != outcome.Done:
		c.stateMachine.Fire("lose")
		return executor.Response{}, existing.Outcome
	case existing.Response == nil:
		c.stateMachine.Fire("replay")
		result := outcome.Outcome{Kind: outcome.Done, Reason: outcome.ReasonAnswerLost}
		result.Detail = "the request ran; its answer was too large to be kept"
		return executor.Response{}, result
	}
	c.stateMachine.Fire("replay")
	return *existing.Response, outcome.Ok()
}
