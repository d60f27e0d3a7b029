// Package renewal decides when each worker's lease is renewed next. It spreads the
// renewals over time, since all workers respond at the same moment when a zone returns
// to service or changes its owner, and would otherwise all renew at the same moment from
// then on. docs/design/060-renewal-spread.md compares the policies.
package renewal

import (
	"math/rand/v2"
	"time"
)

// Policy chooses the delay until a worker's next renewal. A policy is not safe for
// concurrent use.
type Policy interface {
	// Next returns a delay in (0, maxDelay] and counts a renewal as scheduled at its end.
	// The times of successive calls must not decrease.
	Next(now time.Time, maxDelay time.Duration) time.Duration
}

// MinDelayFraction is the minimum delay as a fraction of the maximum. It limits how
// many more renewals than necessary are made. Dispersed may go below it in a burst.
const MinDelayFraction = 0.75

// Fixed always renews after the maximum delay.
type Fixed struct{}

// Next implements Policy.
func (Fixed) Next(_ time.Time, maxDelay time.Duration) time.Duration { return maxDelay }

// Jitter renews after a random fraction, from MinDelayFraction to 1, of the maximum delay.
type Jitter struct{ random *rand.Rand }

// NewJitter returns a Jitter that draws from random.
func NewJitter(random *rand.Rand) *Jitter { return &Jitter{random} }

// Next implements Policy.
func (j *Jitter) Next(_ time.Time, maxDelay time.Duration) time.Duration {
	fraction := MinDelayFraction + (1-MinDelayFraction)*j.random.Float64()
	return time.Duration(fraction * float64(maxDelay))
}

// LeastLoaded renews in the slot with the fewest scheduled renewals between
// MinDelayFraction and 1 of the maximum delay; among equal slots, in the latest.
type LeastLoaded struct{ slots *slots }

// NewLeastLoaded returns a LeastLoaded for delays of at most maxDelay.
func NewLeastLoaded(maxDelay time.Duration) *LeastLoaded {
	return &LeastLoaded{newSlots(maxDelay)}
}

// Next implements Policy.
func (l *LeastLoaded) Next(now time.Time, maxDelay time.Duration) time.Duration {
	current := l.slots.advance(now)
	last := current + slotsIn(maxDelay)
	first := current + int64(MinDelayFraction*float64(slotsIn(maxDelay)))
	chosen := l.slots.leastLoaded(max(first, current+1), last)
	return l.slots.schedule(now, chosen, maxDelay)
}

// Dispersed is the CDF algorithm of Desai and Nandagopal, "Regulating User Arrivals
// at a Mobile IP Home Agent": the target of the k-th renewal requested in one slot is
// the maximum delay times 1 - k/total, where total is the number of scheduled
// renewals. The least loaded slot within a small window around the target is chosen.
type Dispersed struct {
	slots *slots
	// slot is the slot of the latest request; count is the number of requests in it.
	slot  int64
	count int64
}

// dispersedSearchRadius is how many slots on each side of the target are searched.
const dispersedSearchRadius = 5

// NewDispersed returns a Dispersed for delays of at most maxDelay.
func NewDispersed(maxDelay time.Duration) *Dispersed {
	return &Dispersed{slots: newSlots(maxDelay)}
}

// Next implements Policy.
func (d *Dispersed) Next(now time.Time, maxDelay time.Duration) time.Duration {
	current := d.slots.advance(now)
	if current != d.slot {
		d.slot = current
		d.count = 0
	}
	d.count++
	total := max(d.slots.total, d.count)
	fraction := 1 - float64(d.count)/float64(1+total)
	target := current + int64(fraction*float64(slotsIn(maxDelay)))
	first := max(target-dispersedSearchRadius, current+1)
	last := min(target+dispersedSearchRadius, current+slotsIn(maxDelay))
	chosen := d.slots.leastLoaded(first, max(first, last))
	return d.slots.schedule(now, chosen, maxDelay)
}

// SlotWidth is the resolution at which renewals are scheduled.
const SlotWidth = 20 * time.Millisecond

// slots is a ring buffer that counts the scheduled renewals of each slot from now to
// the maximum delay.
type slots struct {
	counts  []int64
	current int64
	total   int64
}

func slotsIn(delay time.Duration) int64 { return int64(delay / SlotWidth) }

func newSlots(maxDelay time.Duration) *slots {
	const spare = 2
	return &slots{counts: make([]int64, slotsIn(maxDelay)+spare)}
}

// advance clears the slots before now and returns the number of the current one.
func (s *slots) advance(now time.Time) int64 {
	current := now.UnixNano() / int64(SlotWidth)
	steps := min(current-s.current, int64(len(s.counts)))
	for i := range steps {
		count := &s.counts[(current-1-i)%int64(len(s.counts))]
		s.total -= *count
		*count = 0
	}
	s.current = max(s.current, current)
	return current
}

func (s *slots) leastLoaded(first, last int64) int64 {
	chosen := last
	for slot := last; slot >= first; slot-- {
		if s.count(slot) < s.count(chosen) {
			chosen = slot
		}
	}
	return chosen
}

func (s *slots) count(slot int64) int64 { return s.counts[slot%int64(len(s.counts))] }

// schedule counts a renewal in the slot and returns the delay until the slot begins.
func (s *slots) schedule(now time.Time, slot int64, maxDelay time.Duration) time.Duration {
	count := &s.counts[slot%int64(len(s.counts))]
	*count++
	s.total++
	delay := time.Duration(slot*int64(SlotWidth) - now.UnixNano())
	return min(max(delay, 1), maxDelay)
}
