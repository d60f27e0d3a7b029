// Package outcome defines the outcomes of a request or a job and the reasons for them.
// Outcomes are values: a caller branches on Kind and Reason and never on the text of
// an error.
package outcome

import "fmt"

// Kind says what happened to the work.
type Kind string

// The kinds of outcome.
const (
	// Done means that the work ran and its complete response was received.
	Done Kind = "done"
	// NotRun means that the work has not run and never will in this attempt.
	NotRun Kind = "not_run"
	// Unknown means that the work may or may not have run.
	Unknown Kind = "unknown"
	// Accepted means that a job is durably recorded and will run.
	Accepted Kind = "accepted"
)

// Reason is a stable, machine-readable cause of an outcome. Done has none, except
// ReasonAnswerLost when the response was too large to be recorded.
type Reason string

// The reasons. They appear in problem documents and in the event timeline.
const (
	ReasonNone               Reason = ""
	ReasonMalformed          Reason = "malformed"
	ReasonTooLarge           Reason = "too_large"
	ReasonUnauthenticated    Reason = "unauthenticated"
	ReasonForbidden          Reason = "forbidden"
	ReasonUnknownService     Reason = "unknown_service"
	ReasonNotFound           Reason = "not_found"
	ReasonInfeasible         Reason = "infeasible"
	ReasonOverQuota          Reason = "over_quota"
	ReasonDeadline           Reason = "deadline"
	ReasonOverloaded         Reason = "overloaded"
	ReasonNoExecutor         Reason = "no_executor"
	ReasonNoOwner            Reason = "no_owner"
	ReasonStoreUnavailable   Reason = "store_unavailable"
	ReasonStaleView          Reason = "stale_view"
	ReasonDraining           Reason = "draining"
	ReasonKeyMissing         Reason = "idempotency_key_missing"
	ReasonKeyReused          Reason = "idempotency_key_reused"
	ReasonInProgress         Reason = "in_progress"
	ReasonConflict           Reason = "conflict"
	ReasonCancelled          Reason = "cancelled"
	ReasonAnswerLost         Reason = "answer_lost"
	ReasonAnswerMismatch     Reason = "answer_mismatch"
	ReasonExecutorFailed     Reason = "executor_failed"
	ReasonTaskFailed         Reason = "task_failed"
	ReasonWorkerLost         Reason = "worker_lost"
	ReasonInternal           Reason = "internal"
	ReasonZoneOut            Reason = "zone_out"
	ReasonMemoryOverDeclared Reason = "memory_over_declared"
	ReasonReclaimed          Reason = "reclaimed"
	ReasonMoved              Reason = "moved"
)

// Outcome is the result of a request or a job.
type Outcome struct {
	Kind   Kind   `json:"outcome"`
	Reason Reason `json:"reason,omitempty"`
	// Detail is a human-readable explanation in one sentence.
	Detail string `json:"detail,omitempty"`
}

// Ok returns the outcome of work that ran to completion.
func Ok() Outcome { return Outcome{Kind: Done} }

// NotRunBecause returns the outcome of work that has not run and will not.
func NotRunBecause(reason Reason, format string, args ...any) Outcome {
	return Outcome{Kind: NotRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// UnknownBecause returns the outcome of work that may or may not have run.
func UnknownBecause(reason Reason, format string, args ...any) Outcome {
	return Outcome{Kind: Unknown, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// String prints the outcome as "not_run (deadline): detail".
func (o Outcome) String() string {
	switch {
	case o.Reason == ReasonNone:
		return string(o.Kind)
	case o.Detail == "":
		return fmt.Sprintf("%s (%s)", o.Kind, o.Reason)
	}
	return fmt.Sprintf("%s (%s): %s", o.Kind, o.Reason, o.Detail)
}
