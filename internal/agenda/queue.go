package agenda

import (
	"container/heap"
	"time"
)

// Queue orders what is to come by time, and what comes at the same time as it was added.
// The zero Queue is empty and ready for use.
type Queue struct {
	entries entries
	serial  int
}

// Add adds what happens at a time.
func (q *Queue) Add(at time.Time, do func()) {
	q.serial++
	heap.Push(&q.entries, entry{at: at, serial: q.serial, do: do})
}

// Next returns when something happens next; false when nothing is left.
func (q *Queue) Next() (time.Time, bool) {
	if len(q.entries) == 0 {
		return time.Time{}, false
	}
	return q.entries[0].at, true
}

// Take removes what happens next. It panics when nothing is left.
func (q *Queue) Take() (do func()) { return heap.Pop(&q.entries).(entry).do }

type entry struct {
	at     time.Time
	serial int
	do     func()
}

type entries []entry

func (e entries) Len() int { return len(e) }

func (e entries) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].serial < e[j].serial
}

func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *entries) Push(x any) { *e = append(*e, x.(entry)) }

func (e *entries) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
