package routing

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Timing of loans between entry hosts.
const (
	// LoanTTL is how long a loan of slots is valid without a renewal.
	LoanTTL = time.Second
	// ExchangeInterval is the interval of the exchanges with a host that slots are
	// borrowed from.
	ExchangeInterval = 200 * time.Millisecond
	// exchangeBackoff is the wait after all home hosts were asked without getting a slot.
	exchangeBackoff = 10 * time.Millisecond
	// unmetTTL is how long slots that become free are reserved for an unmet request.
	unmetTTL = 3 * exchangeBackoff
)

// loan records the slots of one executor that another host holds or has asked for.
type loan struct {
	heldSlots int
	expiresAt time.Time
	// unmetSlots counts the slots that were asked for and could not be lent; it is valid
	// until unmetUntil.
	unmetSlots int
	unmetUntil time.Time
}

// unmet returns the number of slots that the borrower still waits for.
func (l loan) unmet(now time.Time) int {
	if now.Before(l.unmetUntil) {
		return l.unmetSlots
	}
	return 0
}

// executorLoans holds the loans of one executor's slots: at its home host those lent,
// by borrower, and at other hosts those borrowed.
type executorLoans struct {
	homeHost      model.HostID
	byBorrower    map[model.HostID]loan
	borrowedSlots int
	borrowedUntil time.Time
	// peakInFlight is the largest number of attempts in flight since the last periodic exchange.
	peakInFlight int
	// homeUnreachable is true when the home host did not respond to the last exchange.
	homeUnreachable bool
}

func newExecutorLoans() executorLoans { return executorLoans{byBorrower: map[model.HostID]loan{}} }

// lentSlots returns how many slots other hosts hold by loans that have not expired.
func (l *executorLoans) lentSlots(now time.Time) int {
	total := 0
	for _, loan := range l.byBorrower {
		if now.Before(loan.expiresAt) {
			total += loan.heldSlots
		}
	}
	return total
}

// hasUnmetRequest reports whether another host still waits for a slot.
func (l *executorLoans) hasUnmetRequest(now time.Time) bool {
	for _, loan := range l.byBorrower {
		if now.Before(loan.expiresAt) && loan.unmet(now) > 0 {
			return true
		}
	}
	return false
}

// borrowerCount returns the number of hosts that hold or wait for slots.
func (l *executorLoans) borrowerCount(now time.Time) int {
	count := 0
	for _, loan := range l.byBorrower {
		if now.Before(loan.expiresAt) && loan.heldSlots+loan.unmet(now) > 0 {
			count++
		}
	}
	return count
}

// fairShare returns the slots for each host when they are divided equally between the
// home host and all borrowers.
func (l *executorLoans) fairShare(slots int, now time.Time) int {
	return max(slots/(l.borrowerCount(now)+1), 1)
}

// reservedSlots returns how many slots the home host leaves free for hosts that wait for
// slots and hold less than their fair share.
func (l *executorLoans) reservedSlots(slots int, now time.Time) int {
	fairShare := l.fairShare(slots, now)
	total := 0
	for _, loan := range l.byBorrower {
		if now.Before(loan.expiresAt) && loan.heldSlots < fairShare {
			total += min(loan.unmet(now), fairShare-loan.heldSlots)
		}
	}
	return min(total, slots-1)
}

// usableSlots returns how many slots this host, which is not the home host, may use.
// While the home host is unreachable, every host uses an equal share.
func (l *executorLoans) usableSlots(now time.Time, slots, hosts int) int {
	if now.Before(l.borrowedUntil) {
		return l.borrowedSlots
	}
	if l.homeUnreachable {
		return max(slots/hosts, 1)
	}
	return 0
}
