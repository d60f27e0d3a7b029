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

// recordsPerTransaction is the maximum number of records in one transaction: each takes a
// condition and a write, in addition to the condition on the owner's key, and stores
// allow about 32 operations.
const recordsPerTransaction = 15

// The most records of each kind in one transaction, so that none waits for all of another kind.
// Those of crashes and of silent workers take two more.
const (
	maxUpkeepRecords = 7
	maxJobRecords    = recordsPerTransaction - 2
)

// StoreCall is a transaction to execute. Its Else branch reads the keys of its
// conditions, to show what has changed if it fails.
type StoreCall struct {
	Txn      store.Txn
	Timeout  time.Duration
	writes   []jobWrite
	removals []*job
	// valueBytes is the length of all values that are written.
	valueBytes   int
	partRemovals []partRemoval
	// wave is the wave whose status is written, as completed if waveCompleted is true.
	wave          *wave
	waveCompleted bool
	// recordWrites are the other records that are written, upkeepRemovals the upkeeps whose
	// records are removed.
	recordWrites   []recordWrite
	upkeepRemovals []*machineUpkeep
	// cancellationRemovals are the early cancellations that are removed.
	cancellationRemovals []*earlyCancellation
}

// addRecord adds the write of a record that was last written at a revision.
func (c *StoreCall) addRecord(key string, revision store.Revision, value []byte) {
	c.valueBytes += len(value)
	c.Txn.If = append(c.Txn.If, store.Unchanged(key, revision))
	c.Txn.Then = append(c.Txn.Then, store.Op{Put: &store.Put{Key: key, Value: value}})
	c.Txn.Else = append(c.Txn.Else, store.Op{Get: key})
}

type jobWrite struct {
	job     *job
	record  *jobRecord
	version uint64
	value   []byte
}

// nextStoreCall returns the next transaction, if one is due and none is in flight.
func (o *Owner) nextStoreCall() *StoreCall {
	if o.storeCallInFlight {
		return nil
	}
	if o.now.Before(o.storeRetryAt) {
		o.wakeAt(o.storeRetryAt)
		return nil
	}
	call := o.buildStoreCall()
	if call != nil {
		o.storeCallInFlight, o.storeCallSentAt = true, o.now
		call.Timeout = min(o.timing.StoreTimeout<<o.unansweredStoreCalls, o.timing.MaxStoreTimeout)
	}
	return call
}

// buildStoreCall returns the most urgent transaction: a wave status, records of upkeeps and
// jobs, or the removal of expired ones.
func (o *Owner) buildStoreCall() *StoreCall {
	if call := o.waveStatusCall(); call != nil {
		return call
	}
	if call := o.suspectedRecordCall(); call != nil {
		return call
	}
	call := &StoreCall{Txn: o.newTxn()}
	o.addUpkeepRecords(call)
	o.addJobRecords(call, o.jobsToRecord(), maxJobRecords-len(call.recordWrites))
	o.addCrashRecord(call)
	o.addSilenceRecord(call)
	if len(call.Txn.Then) == 0 {
		return o.removeExpired()
	}
	return call
}

func (o *Owner) newTxn() store.Txn {
	return store.Txn{
		If:   []store.Compare{store.Unchanged(store.PoolOwnerKey, store.Revision(o.fence))},
		Else: []store.Op{{Get: store.PoolOwnerKey}},
	}
}

// jobsToRecord lists the jobs to record now. An assignment is recorded at once; other changes wait for
// RecordDelay, so that they are recorded together.
func (o *Owner) jobsToRecord() []*job {
	var found []*job
	due := false
	changed := o.changed
	o.changed = o.changed[:0]
	for _, j := range changed {
		if j.fullyRecorded() {
			j.inChangedList = false
			continue
		}
		o.changed = append(o.changed, j)
		found = append(found, j)
		flushAt := j.unrecordedSince.Add(o.timing.RecordDelay)
		if !o.now.Before(flushAt) {
			due = true
		} else {
			o.wakeAt(flushAt)
		}
	}
	for _, g := range o.assigned {
		due = due || g.state() == taskGroupAssigned && g.job.recordedVersion < g.assignmentVersion
	}
	if !due {
		return nil
	}
	return o.assignmentsFirst(found)
}

// assignmentsFirst returns the jobs with those first that have unrecorded assignments.
func (o *Owner) assignmentsFirst(jobs []*job) []*job {
	waiting := map[*job]bool{}
	for _, g := range o.assigned {
		if g.job.recordedVersion < g.assignmentVersion {
			waiting[g.job] = true
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
	return append(first, rest...)
}

// maxTimeoutDoublings limits how often the timeout of a transaction is doubled.
const maxTimeoutDoublings = 8

// StoreDone handles the result of a transaction.
func (o *Owner) StoreDone(call *StoreCall, result store.TxnResult, err error, now time.Time) {
	o.now = now
	o.storeCallInFlight = false
	if errors.Is(err, store.ErrResponseLost) {
		// The conditions of the retry show whether this transaction was executed. The delay
		// counts from the sending: a connection that is reset at once must not be retried
		// every millisecond.
		o.storeRetryAt = o.storeCallSentAt.Add(o.timing.StoreRetryDelay)
		o.unansweredStoreCalls = min(o.unansweredStoreCalls+1, maxTimeoutDoublings)
		return
	}
	o.unansweredStoreCalls = 0
	switch {
	case errors.Is(err, store.ErrRefused):
		o.recordsRefused(call, err)
	case err != nil:
		o.storeRetryAt = now.Add(o.timing.StoreRetryDelay)
	case result.Succeeded:
		o.recordSucceeded(call, result.Revision)
	default:
		o.recordConflict(call, result)
	}
}

func (o *Owner) recordSucceeded(call *StoreCall, revision store.Revision) {
	for _, write := range call.writes {
		o.planNeeded = o.planNeeded || write.job.cantBeRecorded()
		write.written(revision)
	}
	o.waveStatusWritten(call, revision)
	call.recordsWritten(revision)
	o.upkeepsRemoved(call, nil)
	o.earlyCancellationsRemoved(call, nil)
	for _, j := range call.removals {
		o.jobs.remove(j.id())
	}
	for _, removal := range call.partRemovals {
		removal.job.parts.remove(removal.name)
	}
	for _, w := range o.workers.all() {
		o.advanceAcknowledged(w)
	}
}

// written takes in that the write has been executed.
func (w jobWrite) written(revision store.Revision) {
	w.record.revision = revision
	if w.record == &w.job.head {
		w.job.headHoldsTaskGroups = false
	}
	w.job.recorded(w.record, w.version)
}

// recordConflict handles a transaction whose conditions failed. If the owner's key has
// changed, the ownership is lost. A progress key that holds the value to be written is an
// earlier try whose response was lost.
func (o *Owner) recordConflict(call *StoreCall, result store.TxnResult) {
	values := make(map[string]*store.KeyValue, len(result.Gets))
	for _, found := range result.Gets {
		if found != nil {
			values[found.Key] = found
		}
	}
	owner := values[store.PoolOwnerKey]
	if owner == nil || owner.ModRevision != store.Revision(o.fence) {
		o.loseOwnership("store", "")
		return
	}
	o.waveStatusConflict(call, values)
	call.recordsConflict(values)
	o.upkeepsRemoved(call, values)
	o.earlyCancellationsRemoved(call, values)
	for _, write := range call.writes {
		found := values[write.record.key]
		switch {
		case found == nil:
			write.record.revision = 0
		case found.ModRevision == write.record.revision:
		case bytes.Equal(found.Value, write.value):
			write.written(found.ModRevision)
		default:
			write.record.revision = found.ModRevision
		}
	}
	for _, j := range call.removals {
		if values[store.PoolProgressKey(j.id())] == nil {
			o.jobs.remove(j.id())
		}
	}
	for _, w := range o.workers.all() {
		o.advanceAcknowledged(w)
	}
}

// removalsPerTransaction is the maximum number of ended jobs that one transaction removes.
const removalsPerTransaction = 7

// removalInterval is the time to the next check for expired jobs after one that found none.
const removalInterval = time.Second

// removeExpired returns a transaction that removes jobs, or else upkeeps, or else early
// cancellations, whose retention period is over.
func (o *Owner) removeExpired() *StoreCall {
	if o.now.Sub(o.lastRemovalCheck) < removalInterval {
		return nil
	}
	call := &StoreCall{Txn: o.newTxn()}
	for id, j := range o.jobs.all() {
		if !j.state.Final() || o.active.has(id) || o.now.Sub(j.endedAt) < o.timing.Retention || j.parts.len() > 0 {
			continue
		}
		call.Txn.If = append(call.Txn.If, store.Unchanged(store.PoolProgressKey(id), j.head.revision))
		call.Txn.Else = append(call.Txn.Else, store.Op{Get: store.PoolProgressKey(id)})
		for _, key := range []string{store.PoolJobKey(id), store.PoolCancelKey(id), store.PoolProgressKey(id)} {
			call.Txn.Then = append(call.Txn.Then, store.Op{Delete: key})
		}
		call.removals = append(call.removals, j)
		if len(call.removals) == removalsPerTransaction {
			break
		}
	}
	if len(call.removals) == 0 {
		o.removeParts(call)
	}
	if len(call.Txn.Then) == 0 {
		o.removeUnrequestedUpkeeps(call)
	}
	if len(call.Txn.Then) == 0 {
		o.removeEarlyCancellations(call)
	}
	if len(call.Txn.Then) == 0 {
		o.lastRemovalCheck = o.now
		return nil
	}
	o.emit(event.JobsRemoved, event.Subject{}, event.Fields{"jobs": len(call.removals), "upkeeps": len(call.upkeepRemovals), "cancellations": len(call.cancellationRemovals), "parts": len(call.partRemovals)})
	return call
}

// Lookup returns the record of a job and the state that callers may see.
func (o *Owner) Lookup(id model.JobID) (*workflow.Record, workflow.State, bool) {
	j, ok := o.jobs.get(id)
	if !ok {
		return nil, "", false
	}
	return j.record, j.visibleState(), true
}

// Waiting counts the accepted jobs of a queue that have not started any task.
func (o *Owner) Waiting(queue string) int {
	count := 0
	for _, j := range o.active.all() {
		if j.queue.Name == queue && !j.isTerminal() && !j.mayHaveBegun() {
			count++
		}
	}
	return count
}
