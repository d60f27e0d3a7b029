package pool

import "time"

// Timing holds the intervals and limits of an owner.
type Timing struct {
	// WorkerLease is the longest lease that workers accept.
	WorkerLease time.Duration
	// RenewalWait is how long a worker may wait for a run to end before it responds to a
	// lease renewal.
	RenewalWait time.Duration
	// IdleRenewalInterval is the time between lease renewals of a worker that runs nothing.
	IdleRenewalInterval time.Duration
	// RenewalRetryDelay is the time to the next lease renewal after a failed one.
	RenewalRetryDelay time.Duration
	// CallTimeout is the timeout of an order, in addition to the time that the worker may
	// wait before it responds.
	CallTimeout time.Duration
	// StartExpiry is how long a start order is valid; the worker refuses it afterwards.
	StartExpiry time.Duration
	// StartTries is how many times a start order is sent before the run is given up.
	StartTries int
	// AssignmentTimeout is how long an assigned task group waits for its resources before it
	// is unassigned.
	AssignmentTimeout time.Duration
	// PlanInterval is the minimum time between two plans.
	PlanInterval time.Duration
	// RecordDelay is how long a change may wait to be recorded together with others.
	RecordDelay time.Duration
	// StoreTimeout is the timeout of a transaction. It is doubled after each one without a
	// response, up to MaxStoreTimeout. StoreRetryDelay is the time to the next try after a
	// failed one.
	StoreTimeout    time.Duration
	MaxStoreTimeout time.Duration
	StoreRetryDelay time.Duration
	// TakeoverWait is how long after a takeover an unreachable worker may still run tasks
	// under leases that the previous owner has granted.
	TakeoverWait time.Duration
	// MachineOrderGap is the minimum time between orders of two owners for one machine.
	MachineOrderGap time.Duration
	// OrderPermission is how long after a takeover the earlier owner may still send orders.
	OrderPermission time.Duration
	// LateOrder is how long after it was sent an order without a response may still arrive.
	LateOrder time.Duration
	// StopRetryInterval is the time between two unconfirmed stop orders for the same run.
	StopRetryInterval time.Duration
	// Retention is how long the record of an ended job is kept.
	Retention time.Duration
	// QuarantineBase and QuarantineMax are the first and the longest quarantine of a
	// failing worker.
	QuarantineBase time.Duration
	QuarantineMax  time.Duration
}

// LeaseRenewalGrace is how long an owner goes on renewing the leases of running tasks after
// its ownership may have expired, so that they survive a short outage of the store. It is
// part of TakeoverWait.
const LeaseRenewalGrace = 4 * time.Second

// leaseMargin is added to the time for which a lease may last on the clock of another process.
const leaseMargin = 500 * time.Millisecond

// maxClockDrift is the maximum share by which a worker's clock may run slow.
const maxClockDrift = 0.02

// DefaultTiming returns the timing for workers that accept leases up to workerLease, with
// records of ended jobs kept for retention.
func DefaultTiming(workerLease, retention time.Duration) Timing {
	return Timing{
		WorkerLease:         workerLease,
		RenewalWait:         min(2*time.Second, workerLease/3),
		IdleRenewalInterval: 30 * time.Second,
		RenewalRetryDelay:   300 * time.Millisecond,
		CallTimeout:         700 * time.Millisecond,
		StartExpiry:         2 * time.Second,
		StartTries:          3,
		AssignmentTimeout:   4 * time.Second,
		PlanInterval:        25 * time.Millisecond,
		RecordDelay:         40 * time.Millisecond,
		StoreTimeout:        300 * time.Millisecond,
		MaxStoreTimeout:     1500 * time.Millisecond,
		StoreRetryDelay:     200 * time.Millisecond,
		TakeoverWait:        LeaseRenewalGrace + longestLease(workerLease) + leaseMargin,
		MachineOrderGap:     3 * time.Second,
		LateOrder:           12 * time.Second,
		OrderPermission:     3 * time.Second,
		StopRetryInterval:   300 * time.Millisecond,
		Retention:           retention,
		QuarantineBase:      5 * time.Second,
		QuarantineMax:       time.Minute,
	}
}

// longestLease is how long a lease of workerLease that a worker has just been granted lasts at most.
func longestLease(workerLease time.Duration) time.Duration {
	return time.Duration(float64(workerLease) / (1 - maxClockDrift))
}

// Gate states which effects are allowed at present.
type Gate struct {
	// Loading is true until the jobs and the records of earlier owners have all been read. What they
	// say together may not be judged before.
	Loading bool
	// MayStart is true while the ownership is certain and the configuration is confirmed.
	MayStart bool
	// MayRenewLeases is true while leases of running tasks may be renewed.
	MayRenewLeases bool
	// MayRecord is true while transactions that depend on the owner's key may succeed.
	MayRecord bool
}
