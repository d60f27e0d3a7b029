package ctl

import (
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/outcome"
)

// Exit codes. docs/operators/chervilctl.md explains them.
const (
	ExitOK = 0
	// ExitFailed means that nothing was changed, for a reason that has no specific code.
	ExitFailed = 1
	// ExitUsage means an invalid flag, argument or setting; nothing was sent.
	ExitUsage = 2
	// ExitRefused means that the request can't be accepted as it is.
	ExitRefused = 3
	// ExitDenied means that the token is missing, unknown or lacks the permission.
	ExitDenied = 4
	// ExitConflict means that another change was accepted first.
	ExitConflict = 5
	// ExitUnavailable means that nothing was changed and that a later attempt may succeed.
	ExitUnavailable = 6
	// ExitUnknown means that the change may or may not have taken effect.
	ExitUnknown = 7
	// ExitRolloutIncomplete means that the change was accepted, but that not every host
	// has confirmed in time that it uses it.
	ExitRolloutIncomplete = 8
)

// UsageError is an invalid flag, argument or setting.
type UsageError struct{ Message string }

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

// RolloutIncompleteError means that a change was accepted, but is not yet confirmed to be
// in use on every host.
type RolloutIncompleteError struct{ Message string }

// Error implements error.
func (e *RolloutIncompleteError) Error() string { return e.Message }

// OutcomeError is the error of a call whose outcome is not Done.
type OutcomeError interface {
	error
	Result() outcome.Outcome
}

// ExitCode returns the exit code for the error that a command returned.
func ExitCode(err error) int {
	var usage *UsageError
	var rollout *RolloutIncompleteError
	var failed OutcomeError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &rollout):
		return ExitRolloutIncomplete
	case errors.As(err, &failed):
		return outcomeCode(failed.Result())
	}
	return ExitFailed
}

func outcomeCode(o outcome.Outcome) int {
	if o.Kind == outcome.Unknown {
		return ExitUnknown
	}
	if code, known := reasonCodes[o.Reason]; known {
		return code
	}
	return ExitFailed
}

var reasonCodes = map[outcome.Reason]int{
	outcome.ReasonMalformed:        ExitRefused,
	outcome.ReasonTooLarge:         ExitRefused,
	outcome.ReasonInfeasible:       ExitRefused,
	outcome.ReasonUnknownService:   ExitRefused,
	outcome.ReasonNotFound:         ExitRefused,
	outcome.ReasonKeyReused:        ExitRefused,
	outcome.ReasonKeyMissing:       ExitRefused,
	outcome.ReasonUnauthenticated:  ExitDenied,
	outcome.ReasonForbidden:        ExitDenied,
	outcome.ReasonConflict:         ExitConflict,
	outcome.ReasonOverloaded:       ExitUnavailable,
	outcome.ReasonOverQuota:        ExitUnavailable,
	outcome.ReasonNoOwner:          ExitUnavailable,
	outcome.ReasonNoExecutor:       ExitUnavailable,
	outcome.ReasonStoreUnavailable: ExitUnavailable,
	outcome.ReasonStaleView:        ExitUnavailable,
	outcome.ReasonDraining:         ExitUnavailable,
	outcome.ReasonZoneOut:          ExitUnavailable,
	ReasonUnreachable:              ExitUnavailable,
}
