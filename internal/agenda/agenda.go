// Package agenda plays things to come in order under a fake clock, for simulations that a
// seed repeats exactly.
package agenda

import (
	"container/heap"
	"time"

	"github.com/jonboulle/clockwork"
)

// Agenda holds what is to come. What is due at the same time happens in the order in which
// it was added. It is not safe for use by several goroutines.
type Agenda struct {
	clock  *clockwork.FakeClock
	queue  queue
	serial int
}

// New returns an empty agenda that advances a clock.
func New(clock *clockwork.FakeClock) *Agenda { return &Agenda{clock: clock} }

// After adds what happens after d.
func (a *Agenda) After(d time.Duration, do func()) {
	a.serial++
	heap.Push(&a.queue, entry{at: a.clock.Now().Add(d), serial: a.serial, do: do})
}

// Run plays until d has passed.
func (a *Agenda) Run(d time.Duration) { a.RunUntil(d, func() bool { return false }) }

// RunUntil plays until a condition holds, at most d, and reports whether it holds. The
// condition is looked at after each thing that happens.
func (a *Agenda) RunUntil(d time.Duration, done func() bool) bool {
	end := a.clock.Now().Add(d)
	for !done() {
		if len(a.queue) == 0 || a.queue[0].at.After(end) {
			a.clock.Advance(end.Sub(a.clock.Now()))
			return done()
		}
		next := heap.Pop(&a.queue).(entry)
		if next.at.After(a.clock.Now()) {
			a.clock.Advance(next.at.Sub(a.clock.Now()))
		}
		next.do()
	}
	return true
}

type entry struct {
	at     time.Time
	serial int
	do     func()
}

type queue []entry

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(entry)) }

func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
