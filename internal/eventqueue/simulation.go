// Package eventqueue schedules the events of deterministic discrete-event simulations.
// Queue orders events by time; Simulation runs them and advances a fake clock.
package eventqueue

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Simulation runs scheduled events. Events at the same time run in the order in which they
// were added. It is not safe for concurrent use.
type Simulation struct {
	clock *clockwork.FakeClock
	queue Queue
}

// NewSimulation returns a simulation without events that advances the clock.
func NewSimulation(clock *clockwork.FakeClock) *Simulation { return &Simulation{clock: clock} }

// After schedules an event after d.
func (s *Simulation) After(d time.Duration, action func()) { s.queue.Add(s.clock.Now().Add(d), action) }

// Run runs the events of the next d and advances the clock by d.
func (s *Simulation) Run(d time.Duration) { s.RunUntil(d, func() bool { return false }) }

// RunUntil runs events until the condition done holds, at most for d, and reports whether
// it holds. It evaluates the condition at the start and after each event.
func (s *Simulation) RunUntil(d time.Duration, done func() bool) bool {
	end := s.clock.Now().Add(d)
	for !done() {
		at, ok := s.queue.NextTime()
		if !ok || at.After(end) {
			s.clock.Advance(end.Sub(s.clock.Now()))
			return done()
		}
		if at.After(s.clock.Now()) {
			s.clock.Advance(at.Sub(s.clock.Now()))
		}
		s.queue.Pop()()
	}
	return true
}
