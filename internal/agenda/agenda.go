// Package agenda schedules the events of deterministic discrete-event simulations. Queue
// orders events by time; Agenda runs them and advances a fake clock.
package agenda

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Agenda runs scheduled events. Events at the same time run in the order in which they were
// added. It is not safe for concurrent use.
type Agenda struct {
	clock *clockwork.FakeClock
	queue Queue
}

// New returns an empty agenda that advances the clock.
func New(clock *clockwork.FakeClock) *Agenda { return &Agenda{clock: clock} }

// After schedules an event after d.
func (a *Agenda) After(d time.Duration, action func()) { a.queue.Add(a.clock.Now().Add(d), action) }

// Run runs the events of the next d and advances the clock by d.
func (a *Agenda) Run(d time.Duration) { a.RunUntil(d, func() bool { return false }) }

// RunUntil runs events until the condition done holds, at most for d, and reports whether
// it holds. It evaluates the condition at the start and after each event.
func (a *Agenda) RunUntil(d time.Duration, done func() bool) bool {
	end := a.clock.Now().Add(d)
	for !done() {
		at, ok := a.queue.NextTime()
		if !ok || at.After(end) {
			a.clock.Advance(end.Sub(a.clock.Now()))
			return done()
		}
		if at.After(a.clock.Now()) {
			a.clock.Advance(at.Sub(a.clock.Now()))
		}
		a.queue.Pop()()
	}
	return true
}
