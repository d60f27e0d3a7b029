package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/executor"
	"github.com/chervilrun/chervilrun/internal/model"
)

// errHedgeWon is the cancellation cause of a first attempt whose hedge succeeded first.
var errHedgeWon = errors.New("entry: the hedge succeeded first")

// hedge is a second attempt at a request that may be repeated, sent to another
// executor when the first has not completed within hedgeDelay.
type hedge struct {
	ctx    context.Context
	cancel context.CancelFunc
	// done is closed when the hedge has ended, whether it was sent or not.
	done chan struct{}
	// sentAtNS is when it was sent, in nanoseconds since the Unix epoch; 0 means not
	// sent.
	sentAtNS atomic.Int64

	// target, response and err may be read once done is closed.
	target   model.Executor
	response executor.Response
	err      error
}

// errNotHedged means that no second attempt was sent. It wraps ErrUnreachable, so that
// lessCertain treats it as work that has not run.
var errNotHedged = errors.Wrap(executor.ErrUnreachable, "no second attempt")

// sendHedged sends an attempt, and a second one if the first has not completed within
// hedgeDelay. It returns the first complete response and the executors that were tried.
func (s *Server) sendHedged(ctx context.Context, c *call, first model.Executor, avoid []model.ExecutorID) (executor.Response, []model.ExecutorID, error) {
	tried := []model.ExecutorID{first.ID}
	delay := s.hedgeDelay(c)
	if delay == 0 {
		response, err := s.sendAttempt(ctx, c, first)
		return response, tried, err
	}
	firstContext, cancelFirst := context.WithCancelCause(ctx)
	defer cancelFirst(nil)
	h := &hedge{done: make(chan struct{})}
	h.ctx, h.cancel = context.WithCancel(ctx)
	defer h.cancel()
	hedgeCall := *c
	hedgeCall.attempts = hedgeAttemptOffset + c.attempts
	timer := s.options.Clock.AfterFunc(delay, func() {
		defer close(h.done)
		s.sendHedge(h, &hedgeCall, slices.Concat(avoid, tried))
		if h.err == nil {
			cancelFirst(errHedgeWon)
		}
	})
	response, err := s.sendAttempt(firstContext, c, first)
	if timer.Stop() {
		return response, tried, err
	}
	return s.mergeHedge(c, h, tried, response, err)
}

// hedgeDelay returns how long the first attempt may take before a second one is sent; 0
// means that no second one is sent.
func (s *Server) hedgeDelay(c *call) time.Duration {
	if !c.service.Repeatable {
		return 0
	}
	delay := s.router.HedgeDelay(c.service.ID)
	if s.options.Clock.Now().Add(2 * delay).After(c.deadline) {
		return 0
	}
	return delay
}

// mergeHedge combines the result of the first attempt with that of its hedge. It waits
// for the hedge only if the first attempt failed. It adds the hedge to the attempts and
// the slot time of c, since the hedge was sent with a copy of the call.
func (s *Server) mergeHedge(c *call, h *hedge, tried []model.ExecutorID, response executor.Response, err error) (executor.Response, []model.ExecutorID, error) {
	if err != nil {
		<-h.done
	}
	if sentAt := h.sentAtNS.Load(); sentAt != 0 {
		c.attempts++
		c.slotTime += s.options.Clock.Since(time.Unix(0, sentAt))
	}
	if err == nil {
		return response, tried, nil
	}
	if h.target.ID != "" {
		tried = append(tried, h.target.ID)
	}
	if h.err == nil {
		return h.response, tried, nil
	}
	return response, tried, lessCertain(err, h.err)
}

// hedgeAttemptOffset is added to the number of an attempt to give that of its hedge. It
// is greater than maxAttempts, so that all attempts of a request have different IDs.
const hedgeAttemptOffset = 100

// sendHedge sends the second attempt if a slot is immediately available and the retry
// budget allows it.
func (s *Server) sendHedge(h *hedge, c *call, avoid []model.ExecutorID) {
	h.err = errNotHedged
	target, free := s.router.TryAcquire(s.slotRequest(c, avoid))
	if !free {
		return
	}
	h.target = target
	h.sentAtNS.Store(s.options.Clock.Now().UnixNano())
	h.response, h.err = s.sendAttempt(h.ctx, c, target)
}

// lessCertain returns b if a guarantees that the work has not run, else a. The result
// thus guarantees it only if both errors do.
func lessCertain(a, b error) error {
	if executor.HasNotRun(a) {
		return b
	}
	return a
}
