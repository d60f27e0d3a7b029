package pool

import "time"

// Timing holds the intervals and limits of an owner.
type Timing struct {
	// WorkerLease is the longest lease that workers grant.
	WorkerLease time.Duration
	// HoldWait is how long a worker may wait for an end before it answers a hold.
	HoldWait time.Duration
	// IdleHold is the time between holds of a worker that runs nothing.
	IdleHold time.Duration
	// RetryHold is the time to the next hold after one that failed.
	RetryHold time.Duration
	// CallTimeout bounds an order beyond the time that the worker may wait.
	CallTimeout time.Duration
	// StartExpiry is how long a start may be under way; after it the worker refuses it.
	StartExpiry time.Duration
	// StartTries is how often a start is sent before the run is given up.
	StartTries int
	// ClaimPatience is how long a promise waits for the room before it is given up.
	ClaimPatience time.Duration
	// PlanInterval is the least time between two plans.
	PlanInterval time.Duration
	// FlushDelay is how long an end may wait for others to be recorded with it.
	FlushDelay time.Duration
	// StoreTimeout bounds the first try of a call to the store; each further try after one
	// without an answer has twice the time, up to MaxStoreTimeout. StoreRetry is the time
	// to the next try after one that was refused.
	StoreTimeout    time.Duration
	MaxStoreTimeout time.Duration
	StoreRetry      time.Duration
	// LostAfter is how long a worker may not answer before it gets nothing new.
	LostAfter time.Duration
	// TakeoverWait is how long after the take-over a worker that can't be reached may
	// still run tasks under leases that the owner before has given.
	TakeoverWait time.Duration
	// StopRetry is the time between two orders to stop the same run.
	StopRetry time.Duration
	// Retention is how long the record of an ended job is kept.
	Retention time.Duration
	// QuarantineBase and QuarantineMax bound how long a failing worker gets nothing.
	QuarantineBase time.Duration
	QuarantineMax  time.Duration
}

// OwnerHoldGrace is how long after its ownership may have lapsed an owner goes on to
// renew the leases of running tasks. It carries them over a short outage of the
// store; an owner that takes over counts on it.
const OwnerHoldGrace = 4 * time.Second

// clockDrift is the largest share by which a worker's clock may be slow.
const clockDrift = 0.02

// DefaultTiming returns the timing for workers that grant leases up to workerLease
// and keep ended jobs for retention.
func DefaultTiming(workerLease, retention time.Duration) Timing {
	return Timing{
		WorkerLease:     workerLease,
		HoldWait:        min(2*time.Second, workerLease/3),
		IdleHold:        30 * time.Second,
		RetryHold:       300 * time.Millisecond,
		CallTimeout:     700 * time.Millisecond,
		StartExpiry:     2 * time.Second,
		StartTries:      3,
		ClaimPatience:   4 * time.Second,
		PlanInterval:    25 * time.Millisecond,
		FlushDelay:      40 * time.Millisecond,
		StoreTimeout:    300 * time.Millisecond,
		MaxStoreTimeout: 1500 * time.Millisecond,
		StoreRetry:      200 * time.Millisecond,
		LostAfter:       1500 * time.Millisecond,
		TakeoverWait:    OwnerHoldGrace + time.Duration(float64(workerLease)/(1-clockDrift)) + 500*time.Millisecond,
		StopRetry:       300 * time.Millisecond,
		Retention:       retention,
		QuarantineBase:  5 * time.Second,
		QuarantineMax:   time.Minute,
	}
}

// Gate says which effects are allowed at this moment.
type Gate struct {
	// MayStart is true while the ownership is certain and the configuration confirmed.
	MayStart bool
	// MayHold is true while running tasks may be kept.
	MayHold bool
	// MayRecord is true while writes under the owner's key make sense.
	MayRecord bool
}
