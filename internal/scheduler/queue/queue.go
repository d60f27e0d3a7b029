// Package queue holds the jobs that wait for a placement. Jobs of one organisation with
// equal requirements form an equivalence class: if the head can't be placed, none of
// them can, so the time of a decision doesn't grow with the number of waiting jobs.
package queue

import (
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
)

// Key is what all jobs of an equivalence class have in common.
type Key struct {
	Organisation model.OrganisationID
	Shape        model.Shape
	// Declared is the shape that the job asked for; it decides what a guarantee covers.
	Declared    model.Shape
	Urgent      bool
	Preemptible bool
}

// KeyOf returns the key of a gang's equivalence class.
func KeyOf(g *cache.Gang) Key {
	return Key{
		Organisation: g.Spec.Organisation,
		Shape:        g.Shape,
		Declared:     g.Spec.Shape,
		Urgent:       g.Spec.Priority == model.PriorityUrgent,
		Preemptible:  g.Spec.Preemptible(),
	}
}

// EquivalenceClass is a queue of jobs with equal requirements, the oldest first.
type EquivalenceClass struct {
	Key  Key
	jobs []*cache.Gang
	// BlockedVersion is the version of the zone's state in which the head last could not
	// be placed; the head isn't tried again before the version changes.
	BlockedVersion uint64
	// Reason says in a few words why the head waits.
	Reason string
}

// Head returns the oldest job of the class.
func (c *EquivalenceClass) Head() *cache.Gang { return c.jobs[0] }

// Before reports whether a precedes b in the queue.
func Before(a, b *cache.Gang) bool {
	if !a.Accepted.Equal(b.Accepted) {
		return a.Accepted.Before(b.Accepted)
	}
	return a.Sequence < b.Sequence
}

// Queue holds the equivalence classes of all organisations.
type Queue struct {
	classes map[Key]*EquivalenceClass
	// order lists the classes in order of creation, so that iteration is deterministic.
	order []*EquivalenceClass
	size  int
}

// New returns an empty queue.
func New() *Queue { return &Queue{classes: make(map[Key]*EquivalenceClass)} }

// Add inserts a gang into its class by the time of acceptance.
func (q *Queue) Add(g *cache.Gang) {
	key := KeyOf(g)
	class, ok := q.classes[key]
	if !ok {
		class = &EquivalenceClass{Key: key}
		q.classes[key] = class
		q.order = append(q.order, class)
	}
	at, _ := slices.BinarySearchFunc(class.jobs, g, compare)
	class.jobs = slices.Insert(class.jobs, at, g)
	if at == 0 {
		class.BlockedVersion = 0
	}
	q.size++
}

// Remove removes a gang from its class. It reports whether the gang was queued.
func (q *Queue) Remove(g *cache.Gang) bool {
	class, ok := q.classes[KeyOf(g)]
	if !ok {
		return false
	}
	at, found := slices.BinarySearchFunc(class.jobs, g, compare)
	if !found || class.jobs[at] != g {
		return false
	}
	class.jobs = slices.Delete(class.jobs, at, at+1)
	q.size--
	if len(class.jobs) == 0 {
		q.removeClass(class)
	}
	return true
}

func (q *Queue) removeClass(class *EquivalenceClass) {
	delete(q.classes, class.Key)
	i := slices.Index(q.order, class)
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

// ClassOf returns the class of a queued gang, or nil.
func (q *Queue) ClassOf(g *cache.Gang) *EquivalenceClass { return q.classes[KeyOf(g)] }

// Classes returns the classes that hold jobs. The slice is valid until the next change.
func (q *Queue) Classes() []*EquivalenceClass { return q.order }

// Len returns the number of queued jobs.
func (q *Queue) Len() int { return q.size }
