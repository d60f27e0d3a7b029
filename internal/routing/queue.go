package routing

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Waiter is a request that waits for a slot.
type Waiter struct {
	Organisation model.OrganisationID
	// Weight is the organisation's share relative to others, at least 1.
	Weight   int
	Deadline time.Time
	// Avoid lists the executors that earlier attempts went to.
	Avoid []model.ExecutorID
	// granted receives the permit; it is nil when the queue is used without a Router.
	granted chan grant
}

// organisationQueue holds the waiters of one organisation, earliest deadline first.
type organisationQueue struct {
	weight            int
	normalisedService float64 // requests served, divided by weight
	waiters           []*Waiter
}

// Queue is a bounded queue with weighted fair queueing between organisations and the
// earliest deadline first within each.
type Queue struct {
	limit          int
	size           int
	byOrganisation map[model.OrganisationID]*organisationQueue
	// virtualTime is the normalisedService at which the last waiter was served.
	virtualTime float64
}

// NewQueue returns a queue for at most limit waiters.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, byOrganisation: map[model.OrganisationID]*organisationQueue{}}
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.size }

// Push adds a waiter. When the queue is full, the waiter with the latest deadline of the
// organisation that is furthest above its share is dropped and returned; it may be w.
func (q *Queue) Push(w *Waiter) (dropped *Waiter) {
	l := q.queueOf(w)
	index, _ := slices.BinarySearchFunc(l.waiters, w, byDeadline)
	l.waiters = slices.Insert(l.waiters, index, w)
	q.size++
	if q.size <= q.limit {
		return nil
	}
	fullest := q.mostAboveShare()
	dropped = fullest.waiters[len(fullest.waiters)-1]
	fullest.waiters = fullest.waiters[:len(fullest.waiters)-1]
	q.size--
	return dropped
}

// byDeadline orders waiters by deadline; a new waiter goes behind those with the same one.
func byDeadline(a, b *Waiter) int {
	if a.Deadline.After(b.Deadline) {
		return 1
	}
	return -1
}

func (q *Queue) queueOf(w *Waiter) *organisationQueue {
	l, known := q.byOrganisation[w.Organisation]
	if !known {
		l = &organisationQueue{}
		q.byOrganisation[w.Organisation] = l
	}
	l.weight = max(w.Weight, 1)
	if len(l.waiters) == 0 {
		// An organisation without waiters does not accumulate credit.
		l.normalisedService = max(l.normalisedService, q.virtualTime)
	}
	return l
}

// mostAboveShare returns the queue with the most waiters by weight.
func (q *Queue) mostAboveShare() *organisationQueue {
	var fullest *organisationQueue
	for _, id := range q.sortedOrganisations() {
		l := q.byOrganisation[id]
		if fullest == nil || len(l.waiters)*fullest.weight > len(fullest.waiters)*l.weight {
			fullest = l
		}
	}
	return fullest
}

func (q *Queue) sortedOrganisations() []model.OrganisationID {
	ids := make([]model.OrganisationID, 0, len(q.byOrganisation))
	for id := range q.byOrganisation {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Pop removes and returns the next waiter, or nil.
func (q *Queue) Pop() *Waiter {
	var next *organisationQueue
	for _, id := range q.sortedOrganisations() {
		l := q.byOrganisation[id]
		if len(l.waiters) > 0 && (next == nil || l.normalisedService < next.normalisedService) {
			next = l
		}
	}
	if next == nil {
		return nil
	}
	w := next.waiters[0]
	next.waiters = slices.Delete(next.waiters, 0, 1)
	q.virtualTime = next.normalisedService
	next.normalisedService += 1 / float64(next.weight)
	q.size--
	return w
}

// Unpop puts back a waiter that Pop has just returned.
func (q *Queue) Unpop(w *Waiter) {
	l := q.byOrganisation[w.Organisation]
	l.waiters = slices.Insert(l.waiters, 0, w)
	l.normalisedService -= 1 / float64(l.weight)
	q.size++
}

// Remove removes a waiter and reports whether it was in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	l, known := q.byOrganisation[w.Organisation]
	if !known {
		return false
	}
	index := slices.Index(l.waiters, w)
	if index < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, index, index+1)
	q.size--
	return true
}
