package pool

import (
	"bytes"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// jobsPerRecord is the number of jobs in one transaction: each takes a condition and
// a write beside the condition on the owner's key, and stores allow about 32 steps.
const jobsPerRecord = 15

// StoreCall is a transaction to make. Its Else branch reads the keys of its
// conditions, so that a failed one shows what has changed.
type StoreCall struct {
	Txn     store.Txn
	Timeout time.Duration
	writes  []jobWrite
	removes []*job
	// wave is the wave whose state is written, through whether it is completed.
	wave          *wave
	waveCompleted bool
}

type jobWrite struct {
	job    *job
	change uint64
	value  []byte
}

// touch notes a change of a job that has to be recorded.
func (o *Owner) touch(j *job) uint64 {
	if j.durable() {
		j.urgentSince = o.now
	}
	if !j.changedListed {
		j.changedListed = true
		o.changed = append(o.changed, j)
	}
	j.changed++
	return j.changed
}

// nextRecord returns the next transaction, if one is due and none is under way.
func (o *Owner) nextRecord() *StoreCall {
	if o.recording {
		return nil
	}
	if o.now.Before(o.retryAt) {
		o.wakeAt(o.retryAt)
		return nil
	}
	call := o.dueRecord()
	if call != nil {
		o.recording, o.recordSent = true, o.now
		call.Timeout = min(o.timing.StoreTimeout<<o.unanswered, o.timing.MaxStoreTimeout)
	}
	return call
}

// dueRecord returns what is to be written or removed next.
func (o *Owner) dueRecord() *StoreCall {
	if call := o.waveRecord(); call != nil {
		return call
	}
	jobs := o.unrecorded()
	if len(jobs) == 0 {
		return o.removeExpired()
	}
	call := &StoreCall{Txn: o.newTxn()}
	for _, j := range jobs {
		write := jobWrite{job: j, change: j.changed, value: workflow.Encode(j.progress())}
		key := store.PoolProgressKey(j.id())
		call.Txn.If = append(call.Txn.If, store.Unchanged(key, j.revision))
		call.Txn.Then = append(call.Txn.Then, store.Op{Put: &store.Put{Key: key, Value: write.value}})
		call.Txn.Else = append(call.Txn.Else, store.Op{Get: key})
		call.writes = append(call.writes, write)
	}
	return call
}

func (o *Owner) newTxn() store.Txn {
	return store.Txn{
		If:   []store.Compare{store.Unchanged(store.PoolOwnerKey, store.Revision(o.fence))},
		Else: []store.Op{{Get: store.PoolOwnerKey}},
	}
}

// unrecorded lists the jobs to record now. A claim does not wait for others; an end
// waits for FlushDelay, so that ends are recorded together.
func (o *Owner) unrecorded() []*job {
	var found []*job
	urgent := false
	listed := o.changed
	o.changed = o.changed[:0]
	for _, j := range listed {
		if j.durable() {
			j.changedListed = false
			continue
		}
		o.changed = append(o.changed, j)
		found = append(found, j)
		at := j.urgentSince.Add(o.timing.FlushDelay)
		if !o.now.Before(at) {
			urgent = true
		} else {
			o.wakeAt(at)
		}
	}
	for _, p := range o.claimed {
		urgent = urgent || p.state() == pieceClaimed && p.job.recorded < p.recordAt
	}
	if !urgent {
		return nil
	}
	if len(found) > jobsPerRecord {
		found = o.claimsFirst(found)
	}
	return found
}

// claimsFirst puts the jobs with a claim that waits for its record first.
func (o *Owner) claimsFirst(jobs []*job) []*job {
	waiting := map[*job]bool{}
	for _, p := range o.claimed {
		if p.job.recorded < p.recordAt {
			waiting[p.job] = true
		}
	}
	var first, rest []*job
	for _, j := range jobs {
		if waiting[j] {
			first = append(first, j)
		} else {
			rest = append(rest, j)
		}
	}
	return append(first, rest...)[:jobsPerRecord]
}

// maxUnanswered bounds the doubling of the time that a transaction may take.
const maxUnanswered = 8

// StoreDone takes in the result of a transaction.
func (o *Owner) StoreDone(call *StoreCall, result store.TxnResult, err error, now time.Time) {
	o.now = now
	o.recording = false
	if errors.Is(err, store.ErrAnswerLost) {
		// The next try shows whether this one has happened. A connection that is reset at
		// once must not lead to a try each millisecond.
		o.retryAt = o.recordSent.Add(o.timing.StoreRetry)
		o.unanswered = min(o.unanswered+1, maxUnanswered)
		return
	}
	o.unanswered = 0
	switch {
	case err != nil:
		o.retryAt = now.Add(o.timing.StoreRetry)
	case result.Succeeded:
		o.recorded(call, result.Revision)
	default:
		o.recordRefused(call, result)
	}
}

func (o *Owner) recorded(call *StoreCall, revision store.Revision) {
	for _, write := range call.writes {
		write.job.revision = revision
		write.job.recorded = write.change
	}
	o.waveRecorded(call, revision)
	for _, j := range call.removes {
		o.jobs.remove(j.id())
	}
	for _, w := range o.workers.all() {
		o.forgetEnds(w)
	}
}

// recordRefused looks at what the keys hold: the owner's key of another owner ends
// this one; a progress of its own is the write whose answer was lost.
func (o *Owner) recordRefused(call *StoreCall, result store.TxnResult) {
	values := make(map[string]*store.KeyValue, len(result.Gets))
	for _, found := range result.Gets {
		if found != nil {
			values[found.Key] = found
		}
	}
	owner := values[store.PoolOwnerKey]
	if owner == nil || owner.ModRevision != store.Revision(o.fence) {
		o.depose("store", "")
		return
	}
	o.waveRefused(call, values)
	for _, write := range call.writes {
		found := values[store.PoolProgressKey(write.job.id())]
		if found == nil {
			write.job.revision = 0
			continue
		}
		if found.ModRevision == write.job.revision {
			continue
		}
		write.job.revision = found.ModRevision
		if bytes.Equal(found.Value, write.value) {
			write.job.recorded = write.change
		}
	}
	for _, j := range call.removes {
		if values[store.PoolProgressKey(j.id())] == nil {
			o.jobs.remove(j.id())
		}
	}
	for _, w := range o.workers.all() {
		o.forgetEnds(w)
	}
}

// removalsPerRecord is the number of ended jobs that one transaction removes.
const removalsPerRecord = 7

// removalInterval is the time between two looks for jobs to remove, when the last one
// has found none.
const removalInterval = time.Second

// removeExpired returns a transaction that removes jobs whose retention is over.
func (o *Owner) removeExpired() *StoreCall {
	if o.now.Sub(o.removalsChecked) < removalInterval {
		return nil
	}
	call := &StoreCall{Txn: o.newTxn()}
	for id, j := range o.jobs.all() {
		if !j.state.Final() || o.active.has(id) || o.now.Sub(j.ended) < o.timing.Retention {
			continue
		}
		call.Txn.If = append(call.Txn.If, store.Unchanged(store.PoolProgressKey(id), j.revision))
		call.Txn.Else = append(call.Txn.Else, store.Op{Get: store.PoolProgressKey(id)})
		for _, key := range []string{store.PoolJobKey(id), store.PoolCancelKey(id), store.PoolProgressKey(id)} {
			call.Txn.Then = append(call.Txn.Then, store.Op{Delete: key})
		}
		call.removes = append(call.removes, j)
		if len(call.removes) == removalsPerRecord {
			break
		}
	}
	if len(call.removes) == 0 {
		o.removalsChecked = o.now
		return nil
	}
	o.record(event.JobsRemoved, event.Subject{}, event.Fields{"jobs": len(call.removes)})
	return call
}

// Lookup returns the state of a job as callers may see it.
func (o *Owner) Lookup(id model.JobID) (*workflow.Record, workflow.State, bool) {
	j, ok := o.jobs.get(id)
	if !ok {
		return nil, "", false
	}
	return j.record, j.visible(), true
}

// Waiting counts the accepted jobs of a queue of which no task has started.
func (o *Owner) Waiting(queue string) int {
	count := 0
	for _, j := range o.active.all() {
		if j.queue.Name == queue && !j.began && !j.over() {
			count++
		}
	}
	return count
}
