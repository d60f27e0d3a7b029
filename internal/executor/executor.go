// Package executor calls the executors of a service. A call returns either the
// complete response to its own attempt or a typed error that says whether the
// executor may have run the request.
package executor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Request is one attempt at a request.
type Request struct {
	Service      model.ServiceID
	Organisation model.OrganisationID
	// Attempt is unique; the response must echo it.
	Attempt model.AttemptID
	// IdempotencyKey is the caller's key; empty if the caller sent none.
	IdempotencyKey string
	// Remaining is the time until the caller's deadline.
	Remaining   time.Duration
	ContentType string
	Body        []byte
}

// Response is a complete response whose attempt, length and digest were verified.
type Response struct {
	// Status is the HTTP status, 200 to 499.
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Client calls executors.
type Client interface {
	// Call sends one attempt to the executor at endpoint ("IP:port") and waits for
	// its response until ctx ends. It never sends an attempt twice.
	Call(ctx context.Context, endpoint string, request Request) (Response, error)
}

// The errors of a Client. Implementations wrap them; callers use errors.Is.
var (
	// ErrUnreachable means that nothing was sent.
	ErrUnreachable = errors.New("executor: unreachable")
	// ErrRefused means that the executor reported that it did not run the attempt.
	ErrRefused = errors.New("executor: refused")
	// ErrResponseLost means that the attempt was sent but no complete response was
	// received.
	ErrResponseLost = errors.New("executor: response lost")
	// ErrResponseMismatch means that the response received is not the complete
	// response to this attempt.
	ErrResponseMismatch = errors.New("executor: response mismatch")
	// ErrFailed means that the executor reported a failure while running the attempt.
	ErrFailed = errors.New("executor: failed")
)

// HasNotRun reports whether err guarantees that the attempt was not run.
func HasNotRun(err error) bool {
	return errors.Is(err, ErrUnreachable) || errors.Is(err, ErrRefused)
}

// Headers between an entry host and an executor.
const (
	HeaderAttempt      = "Chervil-Attempt"
	HeaderDeadline     = "Chervil-Deadline-Ms"
	HeaderOrganisation = "Chervil-Organisation"
	// HeaderIdempotencyKey carries the caller's idempotency key. It must not be called
	// "Idempotency-Key", which makes net/http retry a POST on a broken connection.
	HeaderIdempotencyKey = "Chervil-Idempotency-Key"
	HeaderOutcome        = "Chervil-Outcome"
	// HeaderDigest is the content digest of RFC 9530; only sha-256 is used.
	HeaderDigest = "Content-Digest"
	digestPrefix = "sha-256=:"
	digestSuffix = ":"
)

// Path returns the path under which an executor serves a service.
func Path(service model.ServiceID) string { return "/v1/services/" + string(service) + "/run" }
