package scheduler

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/scheduler/quarantine"
)

// Policy names a placement policy.
type Policy string

// The policies. All but the first are baselines for comparison: they place by a simple
// rule, preempt the newest borrowers first, and use neither reservations nor moves.
const (
	PolicyChervilrun Policy = "chervilrun"
	PolicyFirstFit   Policy = "first_fit"
	PolicyBestFit    Policy = "best_fit"
	PolicyRandom     Policy = "random"
)

// Options configure an engine. Zero values mean the defaults.
type Options struct {
	Policy Policy
	// Seed is the seed of the random choices of PolicyRandom.
	Seed uint64
	// Quarantine sets when and for how long failing workers are quarantined.
	Quarantine quarantine.Rule
	// ReturnRamp is the time over which a zone that returns to service opens its racks,
	// one after another, to small jobs.
	ReturnRamp time.Duration
	// ReserveAfter is how long a large gang waits before workers are reserved for it.
	ReserveAfter time.Duration
	// MoveAfter is how long a large gang waits before smaller gangs are moved for it.
	MoveAfter time.Duration
	// FairPreemptAfter is how long a large gang waits before borrowers of organisations
	// with a larger weighted share are preempted for it.
	FairPreemptAfter time.Duration
	// MinBorrowerRunTime is how long a borrower runs before it may be preempted for fairness.
	MinBorrowerRunTime time.Duration
	// CheckpointTime is how long a checkpoint takes. If that is more than half of
	// UrgentStartLimit, repeatable jobs are stopped without a checkpoint for urgent jobs.
	CheckpointTime time.Duration
	// MemoryGrace is how long a throttled task may use more memory than its shape has before
	// its gang is stopped.
	MemoryGrace time.Duration
	// CheckAll recomputes and checks every invariant after each call.
	CheckAll bool
}

// The defaults of Options.
const (
	DefaultReturnRamp         = 60 * time.Second
	DefaultReserveAfter       = 10 * time.Second
	DefaultMoveAfter          = 30 * time.Second
	DefaultFairPreemptAfter   = 2 * time.Minute
	DefaultMinBorrowerRunTime = 10 * time.Minute
	DefaultCheckpointTime     = 500 * time.Millisecond
	DefaultMemoryGrace        = 10 * time.Second

	defaultQuarantineFailures = 3
	defaultQuarantineBase     = time.Minute
	defaultQuarantineMax      = time.Hour
)

// UrgentStartLimit is the maximum time until an urgent job within a guarantee starts.
const UrgentStartLimit = 1500 * time.Millisecond

// urgentCheckpointLimit is the part of UrgentStartLimit that a checkpoint may take.
const urgentCheckpointLimit = UrgentStartLimit / 2

func (o Options) withDefaults() Options {
	if o.Policy == "" {
		o.Policy = PolicyChervilrun
	}
	if o.Quarantine == (quarantine.Rule{}) {
		o.Quarantine = quarantine.Rule{
			Failures: defaultQuarantineFailures,
			Base:     defaultQuarantineBase,
			Max:      defaultQuarantineMax,
		}
	}
	setDefault(&o.ReturnRamp, DefaultReturnRamp)
	setDefault(&o.ReserveAfter, DefaultReserveAfter)
	setDefault(&o.MoveAfter, DefaultMoveAfter)
	setDefault(&o.FairPreemptAfter, DefaultFairPreemptAfter)
	setDefault(&o.MinBorrowerRunTime, DefaultMinBorrowerRunTime)
	setDefault(&o.CheckpointTime, DefaultCheckpointTime)
	setDefault(&o.MemoryGrace, DefaultMemoryGrace)
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
