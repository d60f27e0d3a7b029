package zone

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/store"
)

// CallKind is the purpose of a call to the store; a metric counts calls by kind.
type CallKind string

// The kinds of calls. The number of calls does not grow with tasks or workers, since a
// write includes all records changed since the previous one.
const (
	CallEpoch    CallKind = "epoch"
	CallLoad     CallKind = "load"
	CallWrite    CallKind = "write"
	CallReadBack CallKind = "read_back"
	CallWorkers  CallKind = "workers"
)

// StoreCall is one call to the store: a transaction, or a range read if Txn is nil.
type StoreCall struct {
	Kind     CallKind
	Txn      *store.Txn
	From, To string
	Limit    int

	batch   *batch
	workers []workerAddress
}

// StoreResult is the result of a StoreCall.
type StoreResult struct {
	Txn  store.TxnResult
	Page store.Page
}

// Limits of one call to the store.
const (
	maxBatchJobs  = 50
	maxBatchBytes = 512 << 10
	pageJobs      = 200
)

// batch is a set of records that are written in one transaction.
type batch struct{ entries []entry }

// entry is one record of a batch.
type entry struct {
	job     *jobState
	version int64
	key     string
	value   []byte
	// movedKey and movedValue hold the record for the zone that the job moves to, if any.
	movedKey   string
	movedValue []byte
	remove     bool // deletes the record
}

// recorder writes changed records in batches and reads the records of the zone. It has
// at most one call to the store in flight.
type recorder struct {
	timing        Timing
	loaded        bool           // all records of the zone have been read
	epochRevision store.Revision // of the zone's epoch key; 0 before it is read
	cursor        string         // first key of the next page of records; empty for the first page
	nextRescanAt  time.Time
	workers       recordedWorkers

	dirty       []*jobState
	flushAt     time.Time // when dirty is to be written; zero if it is empty
	inFlight    *StoreCall
	unconfirmed *batch // its write got no response, so it must be read back
	isStoreUp   bool   // the last call succeeded
	retryAt     time.Time
	backoff     time.Duration
}

func newRecorder(t Timing, now time.Time) recorder {
	return recorder{timing: t, isStoreUp: true, backoff: t.StoreRetryMin, retryAt: now, nextRescanAt: now.Add(t.Rescan)}
}

// markDirty schedules the write of a job's record: at once if urgent, else within FlushDelay.
func (c *recorder) markDirty(j *jobState, urgent bool, now time.Time) {
	if !j.isDirty {
		j.isDirty = true
		c.dirty = append(c.dirty, j)
	}
	at := now
	if !urgent {
		at = now.Add(c.timing.FlushDelay)
	}
	if c.flushAt.IsZero() || at.Before(c.flushAt) {
		c.flushAt = at
	}
}

// nextCallAt returns when the next call is due.
func (c *recorder) nextCallAt() time.Time {
	switch {
	case c.inFlight != nil:
		return c.nextRescanAt.Add(time.Hour)
	case !c.loaded || c.unconfirmed != nil || c.workers.isDue():
		return c.retryAt
	case len(c.dirty) > 0:
		return latest(c.flushAt, c.retryAt)
	}
	return latest(c.nextRescanAt, c.retryAt)
}

// nextStoreCall returns the call that is due, or nil.
func (r *Runner) nextStoreCall(now time.Time) *StoreCall {
	c := &r.recorder
	if c.inFlight != nil || now.Before(c.nextCallAt()) {
		return nil
	}
	c.inFlight = r.buildStoreCall()
	if c.inFlight != nil {
		r.stats.StoreCalls++
	}
	return c.inFlight
}

func (r *Runner) buildStoreCall() *StoreCall {
	c := &r.recorder
	switch {
	case c.epochRevision == 0:
		gets := []store.Op{{Get: store.EpochKey(r.Zone)}, {Get: store.ZoneWorkersKey(r.Zone)}}
		return &StoreCall{Kind: CallEpoch, Txn: &store.Txn{Then: gets}}
	case !c.loaded:
		return r.loadCall()
	case c.unconfirmed != nil:
		return r.readBackCall(c.unconfirmed)
	case c.workers.isDue():
		return r.recordWorkersCall()
	case len(c.dirty) > 0:
		return r.writeCall()
	}
	return r.loadCall()
}

func (r *Runner) loadCall() *StoreCall {
	prefix := store.ZoneJobsPrefix(r.Zone)
	from := prefix
	if r.recorder.cursor != "" {
		from = r.recorder.cursor
	}
	return &StoreCall{Kind: CallLoad, From: from, To: store.PrefixEnd(prefix), Limit: pageJobs}
}

// writeCall returns a write of as many dirty records as fit in one transaction.
func (r *Runner) writeCall() *StoreCall {
	c := &r.recorder
	b := &batch{}
	size, count := 0, 0
	for _, j := range c.dirty {
		e := newEntry(j)
		if len(b.entries) > 0 && (len(b.entries) == maxBatchJobs || size+len(e.value) > maxBatchBytes) {
			break
		}
		size += len(e.value)
		count++
		b.entries = append(b.entries, e)
	}
	for _, e := range b.entries {
		e.job.isDirty = false
		e.job.mayBeStored = true
	}
	c.dirty = append([]*jobState(nil), c.dirty[count:]...)
	if len(c.dirty) == 0 {
		c.flushAt = time.Time{}
	}
	r.Metrics.BatchSize.Observe(float64(len(b.entries)))
	return &StoreCall{Kind: CallWrite, Txn: r.writeTxn(b), batch: b}
}

func newEntry(j *jobState) entry {
	record := j.record
	record.Revision = 0
	e := entry{job: j, version: j.version, key: j.key, remove: j.expired}
	if j.moveTo != "" {
		e.movedKey = store.JobKey(j.moveTo, j.id())
		e.movedValue = movedRecord(record, j.moveTo).Encode()
		record = forwardingRecord(record, j.moveTo)
	}
	e.value = record.Encode()
	return e
}

// writeTxn returns a transaction that succeeds only if the epoch key and all records of
// the batch are unchanged in the store.
func (r *Runner) writeTxn(b *batch) *store.Txn {
	epochKey := store.EpochKey(r.Zone)
	txn := &store.Txn{
		If:   []store.Compare{store.Unchanged(epochKey, r.recorder.epochRevision)},
		Else: []store.Op{{Get: epochKey}},
	}
	for _, e := range b.entries {
		txn.If = append(txn.If, store.Unchanged(e.key, e.job.modRevision))
		txn.Else = append(txn.Else, store.Op{Get: e.key})
		switch {
		case e.remove:
			txn.Then = append(txn.Then, store.Op{Delete: e.key})
		case e.movedKey != "":
			revision := store.Revision(e.job.record.ForwardingRevisions[e.job.moveTo])
			txn.If = append(txn.If, store.Unchanged(e.movedKey, revision))
			txn.Then = append(txn.Then, put(e.key, e.value), put(e.movedKey, e.movedValue))
		default:
			txn.Then = append(txn.Then, put(e.key, e.value))
		}
	}
	return txn
}

func put(key string, value []byte) store.Op {
	return store.Op{Put: &store.Put{Key: key, Value: value}}
}

func (r *Runner) readBackCall(b *batch) *StoreCall {
	txn := &store.Txn{Then: []store.Op{{Get: store.EpochKey(r.Zone)}}}
	for _, e := range b.entries {
		txn.Then = append(txn.Then, store.Op{Get: e.key})
	}
	return &StoreCall{Kind: CallReadBack, Txn: txn, batch: b}
}

// StoreDone processes the result of a call that Step returned.
func (r *Runner) StoreDone(call *StoreCall, result StoreResult, err error, now time.Time) {
	c := &r.recorder
	c.inFlight = nil
	r.Metrics.StoreCalls.WithLabelValues(string(r.Zone), string(call.Kind), storeResultLabel(err)).Inc()
	if err != nil {
		r.storeFailed(call, err, now)
		return
	}
	if !c.isStoreUp {
		c.isStoreUp = true
		r.Events.Record(event.StoreRecovered, event.Subject{Zone: string(r.Zone)}, "")
	}
	c.backoff = r.Timing.StoreRetryMin
	switch call.Kind {
	case CallEpoch:
		r.applyEpoch(result.Txn, now)
	case CallLoad:
		r.applyPage(result.Page, now)
	case CallWrite:
		r.writeDone(call, result.Txn, now)
	case CallReadBack:
		c.unconfirmed = nil
		r.resolveBatch(call.batch, result.Txn.Gets, now)
	case CallWorkers:
		r.workersWritten(call, result.Txn)
	}
	r.unpark(now)
}

func storeResultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, store.ErrResponseLost):
		return "lost"
	}
	return "unavailable"
}

func (r *Runner) storeFailed(call *StoreCall, err error, now time.Time) {
	c := &r.recorder
	if c.isStoreUp {
		c.isStoreUp = false
		r.Events.Record(event.StoreUnavailable, event.Subject{Zone: string(r.Zone)}, err.Error())
	}
	jitter := time.Duration(intervalJitter * r.Rand.Float64() * float64(c.backoff))
	c.retryAt = now.Add(c.backoff - jitter)
	c.backoff = min(2*c.backoff, r.Timing.StoreRetryMax)
	if call.Kind != CallWrite {
		return
	}
	if errors.Is(err, store.ErrUnavailable) {
		r.writeRefused(call.batch, now)
		return
	}
	// The write may have taken effect, so it is read back before anything else is written.
	c.unconfirmed = call.batch
	for _, e := range call.batch.entries {
		e.job.hadLostWrite = true
	}
	r.Events.Record(event.StoreResponseLost, event.Subject{Zone: string(r.Zone)}, "")
}

// writeRefused handles a write that had no effect: changes of recorded jobs are written
// later, new jobs are refused.
func (r *Runner) writeRefused(b *batch, now time.Time) {
	refusal := outcome.NotRunBecause(outcome.ReasonStoreUnavailable, "the job could not be recorded")
	for _, e := range b.entries {
		e.job.mayBeStored = e.job.hadLostWrite
		r.recorder.markDirty(e.job, true, now)
	}
	for _, j := range append([]*jobState(nil), r.recorder.dirty...) {
		if j.storedVersion == 0 && !j.mayBeStored {
			r.recorder.clearDirty(j)
			r.rejectUnrecorded(j, refusal)
		}
	}
}

func (c *recorder) clearDirty(j *jobState) {
	for i, other := range c.dirty {
		if other == j {
			c.dirty = append(c.dirty[:i], c.dirty[i+1:]...)
			j.isDirty = false
			return
		}
	}
}

func (r *Runner) writeDone(call *StoreCall, result store.TxnResult, now time.Time) {
	if !result.Succeeded {
		r.resolveBatch(call.batch, result.Gets, now)
		return
	}
	for _, e := range call.batch.entries {
		r.entryDurable(e, result.Revision, now)
	}
}

// entryDurable updates the job of an entry that is in the store at the given revision.
func (r *Runner) entryDurable(e entry, revision store.Revision, now time.Time) {
	j := e.job
	isNew := j.storedVersion == 0
	j.modRevision = revision
	j.storedVersion = max(j.storedVersion, e.version)
	switch {
	case e.remove:
		r.forgetJob(j)
		return
	case e.movedKey != "":
		r.jobMoved(j, now)
		return
	}
	r.notifyWaiters(j)
	switch {
	case isNew:
		r.jobAccepted(j, now)
	case j.moveUnsettled:
		r.moveSettled(j, now)
	}
}

func (r *Runner) notifyWaiters(j *jobState) {
	kept := j.waiters[:0]
	for _, w := range j.waiters {
		if w.version > j.storedVersion {
			kept = append(kept, w)
			continue
		}
		w.done(outcome.Outcome{Kind: outcome.Accepted}, j.record)
	}
	j.waiters = kept
}
