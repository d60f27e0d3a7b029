// Package agenda orders things to come, for simulations that a seed repeats exactly: Queue
// by time alone, Agenda under a fake clock.
package agenda

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Agenda holds what is to come. What is due at the same time happens in the order in which
// it was added. It is not safe for use by several goroutines.
type Agenda struct {
	clock *clockwork.FakeClock
	queue Queue
}

// New returns an empty agenda that advances a clock.
func New(clock *clockwork.FakeClock) *Agenda { return &Agenda{clock: clock} }

// After adds what happens after d.
func (a *Agenda) After(d time.Duration, do func()) { a.queue.Add(a.clock.Now().Add(d), do) }

// Run plays until d has passed.
func (a *Agenda) Run(d time.Duration) { a.RunUntil(d, func() bool { return false }) }

// RunUntil plays until a condition holds, at most d, and reports whether it holds. The
// condition is looked at after each thing that happens.
func (a *Agenda) RunUntil(d time.Duration, done func() bool) bool {
	end := a.clock.Now().Add(d)
	for !done() {
		at, ok := a.queue.Next()
		if !ok || at.After(end) {
			a.clock.Advance(end.Sub(a.clock.Now()))
			return done()
		}
		if at.After(a.clock.Now()) {
			a.clock.Advance(at.Sub(a.clock.Now()))
		}
		a.queue.Take()()
	}
	return true
}
