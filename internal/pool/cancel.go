package pool

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Cancellation is a durable request to cancel a job.
type Cancellation struct {
	workflow.Cancellation
	Job model.JobID
	// Key is the store key of the request, written at Revision; empty if it was announced.
	Key      string
	Revision store.Revision
}

// earlyCancellation is a request that was read before a job that it concerns.
type earlyCancellation struct {
	Cancellation
	readAt time.Time
}

// earlyCancellations holds requests by key, and their keys by job. Callers may cancel any ID, so
// that they are removed after the retention period.
type earlyCancellations struct {
	byKey  orderedMap[string, *earlyCancellation]
	keysOf map[model.JobID][]string
}

func newEarlyCancellations() earlyCancellations {
	return earlyCancellations{byKey: newOrderedMap[string, *earlyCancellation](), keysOf: map[model.JobID][]string{}}
}

func (e *earlyCancellations) add(c Cancellation, now time.Time) {
	if e.byKey.has(c.Key) {
		return
	}
	e.keysOf[c.Job] = append(e.keysOf[c.Job], c.Key)
	e.byKey.set(c.Key, &earlyCancellation{Cancellation: c, readAt: now})
}

func (e *earlyCancellations) remove(c *earlyCancellation) {
	e.byKey.remove(c.Key)
	e.keysOf[c.Job] = slices.DeleteFunc(e.keysOf[c.Job], func(key string) bool { return key == c.Key })
	if len(e.keysOf[c.Job]) == 0 {
		delete(e.keysOf, c.Job)
	}
}

// CancelJob cancels a job that the request concerns, now or when it becomes known.
func (o *Owner) CancelJob(c Cancellation, now time.Time) {
	o.now = now
	j, known := o.jobs.get(c.Job)
	if known && c.Concerns(j.record.Organisation) {
		o.cancel(j)
	}
	if c.Key != "" && (!known || c.Key != store.PoolCancelKey(c.Job)) {
		o.earlyCancellations.add(c, now)
	}
}

// applyEarlyCancellations cancels a job that has become known if a request concerns it.
func (o *Owner) applyEarlyCancellations(j *job) {
	for _, key := range o.earlyCancellations.keysOf[j.id()] {
		if c, _ := o.earlyCancellations.byKey.get(key); c.Concerns(j.record.Organisation) {
			o.cancel(j)
		}
	}
}

func (o *Owner) cancel(j *job) {
	if j.isTerminal() {
		return
	}
	j.cancelled = true
	o.emit(event.JobCancelled, event.Subject{Job: string(j.id()), Organisation: string(j.record.Organisation)}, event.Fields{"began": j.started})
	o.stopJob(j)
	o.finishJob(j, workflow.Cancelled)
}

// cancellationRemovalsPerTransaction is the maximum number of early cancellations that one
// transaction removes.
const cancellationRemovalsPerTransaction = 10

// removeEarlyCancellations adds the removal of early cancellations whose retention period is over to
// a transaction. That of a job that has become known has done its work once the job is recorded.
func (o *Owner) removeEarlyCancellations(call *StoreCall) {
	for _, c := range o.earlyCancellations.byKey.all() {
		if len(call.cancellationRemovals) == cancellationRemovalsPerTransaction {
			return
		}
		if o.now.Sub(c.readAt) < o.timing.Retention {
			// They are in the order in which they were read.
			return
		}
		if j, known := o.jobs.get(c.Job); !known {
			call.Txn.If = append(call.Txn.If, store.Absent(store.PoolJobKey(c.Job)))
		} else if c.Concerns(j.record.Organisation) && !j.fullyRecorded() {
			continue
		}
		call.Txn.If = append(call.Txn.If, store.Unchanged(c.Key, c.Revision))
		call.Txn.Then = append(call.Txn.Then, store.Op{Delete: c.Key})
		call.Txn.Else = append(call.Txn.Else, store.Op{Get: c.Key})
		call.cancellationRemovals = append(call.cancellationRemovals, c)
	}
}

// earlyCancellationsRemoved forgets the requests that a transaction has removed; values holds those that
// are still there if its conditions failed. These wait for another retention period.
func (o *Owner) earlyCancellationsRemoved(call *StoreCall, values map[string]*store.KeyValue) {
	for _, c := range call.cancellationRemovals {
		o.earlyCancellations.remove(c)
		if found := values[c.Key]; found != nil {
			c.Revision = found.ModRevision
			o.earlyCancellations.add(c.Cancellation, o.now)
		}
	}
}
