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
	// granted receives the slot or the refusal; it is nil when the queue is used without a Router.
	granted chan grant
}

// organisationQueue holds the waiters of one organisation, earliest deadline first.
type organisationQueue struct {
	weight            int
	normalisedService float64 // requests served, divided by weight
	waiters           []*Waiter
}

// Queue is a queue of limited length with weighted fair queueing between organisations and the
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
	o := q.queueOf(w)
	index, _ := slices.BinarySearchFunc(o.waiters, w, byDeadline)
	o.waiters = slices.Insert(o.waiters, index, w)
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
	o, known := q.byOrganisation[w.Organisation]
	if !known {
		o = &organisationQueue{}
		q.byOrganisation[w.Organisation] = o
	}
	o.weight = max(w.Weight, 1)
	if len(o.waiters) == 0 {
		// An organisation without waiters does not accumulate credit.
		o.normalisedService = max(o.normalisedService, q.virtualTime)
	}
	return o
}

// mostAboveShare returns the queue with the most waiters relative to its weight.
func (q *Queue) mostAboveShare() *organisationQueue {
	var fullest *organisationQueue
	for _, id := range q.sortedOrganisations() {
		o := q.byOrganisation[id]
		if fullest == nil || len(o.waiters)*fullest.weight > len(fullest.waiters)*o.weight {
			fullest = o
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
		o := q.byOrganisation[id]
		if len(o.waiters) > 0 && (next == nil || o.normalisedService < next.normalisedService) {
			next = o
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
	o := q.byOrganisation[w.Organisation]
	o.waiters = slices.Insert(o.waiters, 0, w)
	o.normalisedService -= 1 / float64(o.weight)
	q.size++
}

// Remove removes a waiter and reports whether it was in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	o, known := q.byOrganisation[w.Organisation]
	if !known {
		return false
	}
	index := slices.Index(o.waiters, w)
	if index < 0 {
		return false
	}
	o.waiters = slices.Delete(o.waiters, index, index+1)
	q.size--
	return true
}
