package scheduler

import (
	"container/heap"
	"time"

	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
)

// deadlines is a priority queue of gangs by deadline. Gangs that are no longer queued
// stay in it until their deadline; the caller ignores them then.
type deadlines struct{ heap gangHeap }

type gangHeap []*cache.Gang

func (h gangHeap) Len() int           { return len(h) }
func (h gangHeap) Less(i, j int) bool { return h[i].Spec.Deadline.Before(h[j].Spec.Deadline) }
func (h gangHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *gangHeap) Push(x any) { *h = append(*h, x.(*cache.Gang)) }

// Pop implements heap.Interface.
func (h *gangHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (d *deadlines) add(g *cache.Gang) {
	if !g.Spec.Deadline.IsZero() {
		heap.Push(&d.heap, g)
	}
}

// popExpired removes and returns a gang whose deadline has passed, or nil.
func (d *deadlines) popExpired(now time.Time) *cache.Gang {
	if len(d.heap) == 0 || d.heap[0].Spec.Deadline.After(now) {
		return nil
	}
	return heap.Pop(&d.heap).(*cache.Gang)
}
