package eventqueue

import (
	"container/heap"
	"time"
)

// Queue orders events by time, and events at the same time by the order in which they were
// added. The zero Queue is empty and ready for use.
type Queue struct {
	events         eventHeap
	sequenceNumber int
}

// Add adds an event at a time.
func (q *Queue) Add(at time.Time, action func()) {
	q.sequenceNumber++
	heap.Push(&q.events, event{at: at, sequenceNumber: q.sequenceNumber, action: action})
}

// NextTime returns the time of the next event; false when the queue is empty.
func (q *Queue) NextTime() (time.Time, bool) {
	if len(q.events) == 0 {
		return time.Time{}, false
	}
	return q.events[0].at, true
}

// Pop removes the next event and returns its action. It panics when the queue is empty.
func (q *Queue) Pop() (action func()) { return heap.Pop(&q.events).(event).action }

type event struct {
	at             time.Time
	sequenceNumber int
	action         func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequenceNumber < h[j].sequenceNumber
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
