package problem

import (
	"net/http"

	"github.com/chervilrun/chervilrun/internal/outcome"
)

// StatusFor returns the HTTP status of an outcome. Done is 200 and Accepted is 202.
// Unknown is 504 after the deadline, 409 while the request is still in progress, and 502
// otherwise. Where several reasons share a status, the reason in the document
// distinguishes them.
func StatusFor(o outcome.Outcome) int {
	switch o.Kind {
	case outcome.Done:
		return http.StatusOK
	case outcome.Accepted:
		return http.StatusAccepted
	case outcome.Unknown:
		return unknownStatus(o.Reason)
	}
	if status, known := notRunStatus[o.Reason]; known {
		return status
	}
	return http.StatusInternalServerError
}

func unknownStatus(reason outcome.Reason) int {
	switch reason {
	case outcome.ReasonDeadline:
		return http.StatusGatewayTimeout
	case outcome.ReasonInProgress:
		return http.StatusConflict
	}
	return http.StatusBadGateway
}

var notRunStatus = map[outcome.Reason]int{
	outcome.ReasonMalformed:          http.StatusBadRequest,
	outcome.ReasonTooLarge:           http.StatusRequestEntityTooLarge,
	outcome.ReasonUnauthenticated:    http.StatusUnauthorized,
	outcome.ReasonForbidden:          http.StatusForbidden,
	outcome.ReasonUnknownService:     http.StatusNotFound,
	outcome.ReasonNotFound:           http.StatusNotFound,
	outcome.ReasonInfeasible:         http.StatusUnprocessableEntity,
	outcome.ReasonOverQuota:          http.StatusTooManyRequests,
	outcome.ReasonDeadline:           http.StatusGatewayTimeout,
	outcome.ReasonOverloaded:         http.StatusServiceUnavailable,
	outcome.ReasonNoExecutor:         http.StatusServiceUnavailable,
	outcome.ReasonNoOwner:            http.StatusServiceUnavailable,
	outcome.ReasonStoreUnavailable:   http.StatusServiceUnavailable,
	outcome.ReasonStaleView:          http.StatusServiceUnavailable,
	outcome.ReasonDraining:           http.StatusServiceUnavailable,
	outcome.ReasonZoneOut:            http.StatusServiceUnavailable,
	outcome.ReasonKeyMissing:         http.StatusBadRequest,
	outcome.ReasonKeyReused:          http.StatusUnprocessableEntity,
	outcome.ReasonInProgress:         http.StatusConflict,
	outcome.ReasonConflict:           http.StatusConflict,
	outcome.ReasonCancelled:          http.StatusConflict,
	outcome.ReasonExecutorFailed:     http.StatusBadGateway,
	outcome.ReasonAnswerLost:         http.StatusBadGateway,
	outcome.ReasonAnswerMismatch:     http.StatusBadGateway,
	outcome.ReasonTaskFailed:         http.StatusUnprocessableEntity,
	outcome.ReasonWorkerLost:         http.StatusServiceUnavailable,
	outcome.ReasonMemoryOverDeclared: http.StatusUnprocessableEntity,
	outcome.ReasonInternal:           http.StatusInternalServerError,
}
