// Package queue keeps the jobs that wait. Jobs of one organisation that ask for the
// same thing share a lane, so that one failed try at the head answers for all of
// them and a decision takes no longer when many jobs wait.
package queue

import (
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
)

// Key is what the jobs of one lane have in common.
type Key struct {
	Organisation model.OrganisationID
	Shape        model.Shape
	// Declared is the shape before any correction; it decides what a guarantee covers.
	Declared    model.Shape
	Urgent      bool
	Preemptible bool
}

// KeyOf returns the key of a gang's lane.
func KeyOf(g *cache.Gang) Key {
	return Key{
		Organisation: g.Spec.Organisation,
		Shape:        g.Shape,
		Declared:     g.Spec.Shape,
		Urgent:       g.Spec.Priority == model.PriorityUrgent,
		Preemptible:  g.Spec.Preemptible(),
	}
}

// EquivalenceClass is a queue of equal jobs, the oldest first.
type EquivalenceClass struct {
	Key  Key
	jobs []*cache.Gang
	// BlockedVersion is the state of the zone in which the head last found no place; the
	// head isn't tried again before that state has changed.
	BlockedVersion uint64
	// Reason tells in a few words why the head waits.
	Reason string
}

// Head returns the oldest job of the lane.
func (l *EquivalenceClass) Head() *cache.Gang { return l.jobs[0] }

// Before reports whether a waits ahead of b.
func Before(a, b *cache.Gang) bool {
	if !a.Accepted.Equal(b.Accepted) {
		return a.Accepted.Before(b.Accepted)
	}
	return a.Sequence < b.Sequence
}

// Queue holds the lanes of all organisations.
type Queue struct {
	classes map[Key]*EquivalenceClass
	// order lists the lanes in order of their making, so that runs are repeatable.
	order []*EquivalenceClass
	size  int
}

// New returns an empty queue.
func New() *Queue { return &Queue{classes: make(map[Key]*EquivalenceClass)} }

// Add puts a gang into its lane, by the time of acceptance.
func (q *Queue) Add(g *cache.Gang) {
	key := KeyOf(g)
	lane, ok := q.classes[key]
	if !ok {
		lane = &EquivalenceClass{Key: key}
		q.classes[key] = lane
		q.order = append(q.order, lane)
	}
	at, _ := slices.BinarySearchFunc(lane.jobs, g, compare)
	lane.jobs = slices.Insert(lane.jobs, at, g)
	if at == 0 {
		lane.BlockedVersion = 0
	}
	q.size++
}

// Remove takes a gang out of its lane. It reports whether the gang was there.
func (q *Queue) Remove(g *cache.Gang) bool {
	lane, ok := q.classes[KeyOf(g)]
	if !ok {
		return false
	}
	at, found := slices.BinarySearchFunc(lane.jobs, g, compare)
	if !found || lane.jobs[at] != g {
		return false
	}
	lane.jobs = slices.Delete(lane.jobs, at, at+1)
	q.size--
	if len(lane.jobs) == 0 {
		q.removeClass(lane)
	}
	return true
}

func (q *Queue) removeClass(lane *EquivalenceClass) {
	delete(q.classes, lane.Key)
	i := slices.Index(q.order, lane)
	q.order = slices.Delete(q.order, i, i+1)
}

func compare(a, b *cache.Gang) int {
	switch {
	case a == b:
		return 0
	case Before(a, b):
		return -1
	}
	return 1
}

// ClassOf returns the lane of a queued gang, or nil.
func (q *Queue) ClassOf(g *cache.Gang) *EquivalenceClass { return q.classes[KeyOf(g)] }

// Classes returns the lanes that hold jobs. The slice is valid until the next change.
func (q *Queue) Classes() []*EquivalenceClass { return q.order }

// Len returns the number of queued jobs.
func (q *Queue) Len() int { return q.size }
