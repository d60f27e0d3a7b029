// Package zone runs an availability zone that this host owns: it records jobs, drives
// the scheduling engine, starts and stops gangs on the workers, and takes over running
// gangs from an earlier owner.
//
// Runner is a state machine without I/O. Step returns the calls to make to workers and
// to the store, and ExchangeDone and StoreDone process their results. Loop makes the
// calls. Tests drive a Runner with a fake clock and complete the calls in any order.
package zone

import (
	"math/rand/v2"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler"
	"github.com/chervilrun/chervilrun/internal/view"
	"github.com/chervilrun/chervilrun/internal/worker"
)

// Timing holds the intervals and limits of a runner.
type Timing struct {
	// Interval is the time between exchanges with a worker that has tasks.
	Interval time.Duration
	// IdleInterval is the time between exchanges with a worker that has none.
	IdleInterval time.Duration
	// ConfirmInterval is the time between exchanges while a start or a stop is
	// unconfirmed.
	ConfirmInterval time.Duration
	// ExchangeTimeout limits one exchange. Commands take no effect after it.
	ExchangeTimeout time.Duration
	// StartTimeout is the maximum time from the first start sent until every task of a
	// gang has confirmed. StartTimeout plus the time to extend the leases must be less
	// than worker.ShortLease.
	StartTimeout time.Duration
	// IntentTimeout is the maximum time from the placement of a gang until its first
	// start is sent, which may have to wait until the attempt is recorded.
	IntentTimeout time.Duration
	// RunLease is the lease of the tasks of a running gang.
	RunLease time.Duration
	// HandoverLease is the lease that tasks get before a planned handover.
	HandoverLease time.Duration
	// LostAfter is how long a worker may be unresponsive before its gangs are stopped.
	LostAfter time.Duration
	// LeaseMargin is the safety margin after which a lease counts as expired.
	LeaseMargin time.Duration
	// DiscoveryTimeout is how long a new owner waits for reports on the missing tasks of
	// an earlier owner's gang.
	DiscoveryTimeout time.Duration
	// CheckpointInterval is the time between checkpoints of a running gang.
	CheckpointInterval time.Duration
	// FlushDelay is the maximum delay before a change that no caller waits for is written.
	FlushDelay time.Duration
	// StoreTimeout limits one call to the store.
	StoreTimeout time.Duration
	// StoreRetryMin and StoreRetryMax limit the backoff after failed calls to the store.
	StoreRetryMin time.Duration
	StoreRetryMax time.Duration
	// Rescan is the time between reads of the zone's records, which discover jobs that
	// another zone's owner moved to this zone.
	Rescan time.Duration
	// Retention is how long the record of an ended or moved job is kept.
	Retention time.Duration
}

// DefaultTiming returns the default timing. A gang that loses a worker runs partially
// for less than worker.ShortLease + 2 s: for LostAfter if the worker is dead, and for
// Interval + RunLease - LostAfter if it is unreachable but still running.
func DefaultTiming() Timing {
	return Timing{
		Interval:           1500 * time.Millisecond,
		IdleInterval:       5 * time.Second,
		ConfirmInterval:    100 * time.Millisecond,
		ExchangeTimeout:    time.Second,
		StartTimeout:       3 * time.Second,
		IntentTimeout:      10 * time.Second,
		RunLease:           10 * time.Second,
		HandoverLease:      30 * time.Second,
		LostAfter:          5500 * time.Millisecond,
		LeaseMargin:        time.Second,
		DiscoveryTimeout:   worker.ShortLease,
		CheckpointInterval: 10 * time.Minute,
		FlushDelay:         500 * time.Millisecond,
		StoreTimeout:       3 * time.Second,
		StoreRetryMin:      200 * time.Millisecond,
		StoreRetryMax:      3 * time.Second,
		Rescan:             time.Minute,
		Retention:          24 * time.Hour,
	}
}

// Gate holds the conditions under which calls may be made at this moment.
type Gate struct {
	// Owned is true while this host certainly owns the zone.
	Owned bool
	// Confirmation is how fresh the view is.
	Confirmation view.Confirmation
}

// Assign returns the guaranteed shapes that a zone must provide, by organisation.
type Assign func(v *view.View, zone model.AvailabilityZoneID) map[model.OrganisationID][]model.Guarantee

// Options configure a runner.
type Options struct {
	Zone   model.AvailabilityZoneID
	Epoch  model.Epoch
	Engine scheduler.Engine
	Assign Assign
	Events *event.Recorder
	// Rand is the source of the jitter of exchanges and retries.
	Rand    *rand.Rand
	Timing  Timing
	Metrics *Metrics
	// IntentBeforeStart makes every attempt wait until it is recorded, including those
	// of jobs that may be repeated.
	IntentBeforeStart bool
}
