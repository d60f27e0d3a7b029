// Package evidence decides which runs on a worker have certainly ended. Everything that an owner
// observes of a worker is kept in one place, and only here is it weighed: what is merely missing,
// refused or silent proves nothing. docs/design/075-evidence-of-ends.md has the table of
// observations with what each of them proves.
package evidence

import "time"

// Proof is what shows that a run has ended, or has never begun; it is logged with the end.
type Proof string

const (
	// None means that the run may live.
	None Proof = ""
	// Listed: the worker lists the end of the run.
	Listed Proof = "listed"
	// NotListed: the worker, as the same incarnation, lists the run neither as running nor as
	// ended, in a response to a call that was sent when the run was certain to be there.
	NotListed Proof = "not_listed"
	// Replaced: another incarnation answers at the worker's address.
	Replaced Proof = "other_incarnation"
	// LeaseExpired: every lease that the worker may have been granted has run out.
	LeaseExpired Proof = "lease_lapsed"
	// UpkeepBegun: the upkeep of the worker's machine, which ends all that runs there, has begun
	// after the run did.
	UpkeepBegun Proof = "upkeep"
	// NotSent: no order to start the run has left.
	NotSent Proof = "not_sent"
	// StartRefused: the worker refused the only order to start the run, or it was not sent.
	StartRefused Proof = "start_refused"
)

// Worker is what an owner knows of a worker. The zero value knows nothing.
type Worker struct {
	// Incarnation is the latest known incarnation; 0 if it is not known.
	Incarnation int64
	// Listed is true while the list of workers has a readable entry of the worker. A missing one
	// proves nothing: entries also expire while the worker or the store is cut off.
	Listed bool
	// Draining is true while the worker announces that it leaves, LeavesAt the earliest time at
	// which it does. It may stay much longer.
	Draining bool
	LeavesAt time.Time
	// AnsweredAt is when the latest response arrived. SilentSince is when a call first failed
	// after it, whether it was refused, reset or not answered; zero while the worker responds.
	AnsweredAt  time.Time
	SilentSince time.Time
	// leaseUntil is when every lease that any owner may have granted to this incarnation has
	// certainly run out; zero if that is not known.
	leaseUntil time.Time
	// replaced is true once another incarnation has answered at the worker's address, upkeepBegun
	// once the list of machines has shown that the upkeep of the worker's machine has begun.
	replaced    bool
	upkeepBegun bool
}

// Answered takes in a response of the worker, as the incarnation that is known.
func (w *Worker) Answered(now time.Time) {
	w.AnsweredAt, w.SilentSince = now, time.Time{}
	w.replaced, w.upkeepBegun = false, false
}

// CallFailed takes in a call that was refused, reset or not answered, and reports whether it is
// the first one since the latest response.
func (w *Worker) CallFailed(now time.Time) bool {
	if !w.SilentSince.IsZero() {
		return false
	}
	w.SilentSince = now
	return true
}

// OtherIncarnationAnswered takes in a response at the worker's address which says that the worker
// is not there.
func (w *Worker) OtherIncarnationAnswered() { w.replaced = true }

// MachineTakenDown takes in that the upkeep of the worker's machine has begun.
func (w *Worker) MachineTakenDown() { w.upkeepBegun = true }

// Restarted takes in a later incarnation. Orders that were in flight may have reached it and have
// granted it leases that end by leasesUntil.
func (w *Worker) Restarted(incarnation int64, leasesUntil time.Time) {
	w.Incarnation = incarnation
	w.leaseUntil = leasesUntil
	w.replaced, w.upkeepBegun = false, false
}

// MayHaveLeaseUntil takes in that the worker may have a lease that ends by then at the latest.
func (w *Worker) MayHaveLeaseUntil(until time.Time) {
	if until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
}

// LeaseUntil returns when every lease of the worker has certainly run out, and whether that is
// known.
func (w *Worker) LeaseUntil() (until time.Time, known bool) {
	return w.leaseUntil, !w.leaseUntil.IsZero()
}

// AllEnded returns what proves that everything has ended that this incarnation of the worker has
// run, if anything does.
func (w *Worker) AllEnded(now time.Time) Proof {
	switch {
	case w.upkeepBegun:
		return UpkeepBegun
	case w.replaced:
		return Replaced
	case !w.leaseUntil.IsZero() && now.After(w.leaseUntil):
		return LeaseExpired
	}
	return None
}

// Unreached is what an owner knows of the leases of a worker that has runs of earlier owners and
// has not answered this one, which has granted it none.
type Unreached struct {
	// LeasesUntil is when every lease has run out that earlier owners may have granted up to the
	// end of their permission.
	LeasesUntil time.Time
	// NotRenewedUntil is when every lease has run out that was granted before the worker was
	// recorded as silent, and none has been granted since; zero if that is not known.
	NotRenewedUntil time.Time
}

// Until returns when every lease of the worker has certainly run out.
func (u Unreached) Until() time.Time {
	if !u.NotRenewedUntil.IsZero() && u.NotRenewedUntil.Before(u.LeasesUntil) {
		return u.NotRenewedUntil
	}
	return u.LeasesUntil
}

// AllEnded returns what proves that the runs of earlier owners have ended, if anything does.
func (u Unreached) AllEnded(now time.Time) Proof {
	return leaseExpiredIf(now.After(u.Until()))
}

func leaseExpiredIf(expired bool) Proof {
	if expired {
		return LeaseExpired
	}
	return None
}

// Run is what an owner knows of one run on a worker.
type Run struct {
	// Recorded is true for the run of an earlier owner that the worker has not listed yet.
	Recorded bool
	// ConfirmedAt is when the worker was first known to run it; zero if it never was.
	ConfirmedAt time.Time
	// StartsSent counts the start orders that have left; StartPending is true while one is in
	// flight or to be sent. The latest one left at StartSentAt; none is valid after
	// StartExpiresMS on the worker's clock.
	StartsSent     int
	StartPending   bool
	StartSentAt    time.Time
	StartExpiresMS int64
	// StopConfirmedAt is when the worker first confirmed an order to stop the run, after which it
	// can't begin any more; zero if it has not.
	StopConfirmedAt time.Time
}

// Inventory is the response of a worker that lists its runs.
type Inventory struct {
	// RequestedAt is when the call was sent.
	RequestedAt time.Time
	// ClockMS is the worker's clock.
	ClockMS int64
	// Full is true if the worker may have more ends than it lists.
	Full bool
}

// Missing returns what proves that a run has ended that a response lists neither as running nor
// as ended.
func (r Run) Missing(in Inventory) Proof {
	switch {
	case in.Full:
		return None
	case r.Recorded:
		return NotListed
	case !r.ConfirmedAt.IsZero():
		return provenIf(r.ConfirmedAt.Before(in.RequestedAt))
	case r.StartPending:
		return None
	case !r.StopConfirmedAt.IsZero() && r.StopConfirmedAt.Before(in.RequestedAt):
		return NotListed
	}
	return provenIf(r.StartSentAt.Before(in.RequestedAt) && in.ClockMS > r.StartExpiresMS)
}

func provenIf(proven bool) Proof {
	if proven {
		return NotListed
	}
	return None
}

// Refused returns what the refusal of a start order proves: nothing if another order to start the
// run has left, which may be carried out later.
func (r Run) Refused() Proof {
	if r.StartsSent > 1 {
		return None
	}
	return StartRefused
}

// Unsent returns whether the run can't begin since no order to start it has left.
func (r Run) Unsent() Proof {
	if r.StartsSent > 0 {
		return None
	}
	return NotSent
}
