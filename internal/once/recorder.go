package once

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/executor"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/store"
)

// Options of a Recorder.
type Options struct {
	Store store.Store
	Clock clockwork.Clock
	// Interval is the minimum average time between store calls of this host.
	Interval time.Duration
	// Retention is the minimum time for which a record is kept after its last write.
	Retention time.Duration
}

// Limits of a recorder.
const (
	// maxQueuedWrites limits the queued writes; further claims are refused.
	maxQueuedWrites = 4096
	// retryInterval is the time between attempts to record an outcome.
	retryInterval = time.Second
	// leaseRotationInterval is how long a lease is attached to new records before
	// another one is granted.
	leaseRotationInterval = time.Hour
)

// ErrBusy means that too many writes are queued; nothing was written.
var ErrBusy = errors.New("once: too many queued writes")

// Recorder claims keys and records outcomes. It is safe for concurrent use.
type Recorder struct {
	options Options
	wake    chan struct{}
	// nextCallDue is when the next store call is due if calls are evenly spaced, one per
	// Interval; only Run uses it.
	nextCallDue time.Time

	mu    sync.Mutex
	queue []*write
	// unrecorded is the number of outcomes that are not recorded yet.
	unrecorded     int
	lease          store.LeaseID
	leaseGrantedAt time.Time
	storeCalls     int64
}

// NewRecorder returns a recorder. It writes only while Run is running.
func NewRecorder(options Options) *Recorder {
	return &Recorder{options: options, wake: make(chan struct{}, 1)}
}

// Claim is a key that this host has claimed. Its request may be sent once.
type Claim struct {
	recorder *Recorder
	key      string
	record   Record
	revision store.Revision
}

// Claim creates the record of a key in state Pending. Exactly one of the results is
// set: a claim, the existing record of another request with the key, or an error,
// after which nothing may be sent. A record whose request is known not to have run is
// claimed again if its fingerprint is the same.
func (r *Recorder) Claim(ctx context.Context, key string, record Record) (*Claim, *Record, error) {
	record.State = Pending
	compare := store.Absent(key)
	for {
		result, err := r.writeAndWait(ctx, key, record, compare)
		switch {
		case err != nil:
			return nil, nil, err
		case result.Err != nil:
			if result.Uncertain {
				r.withdraw(key, record)
			}
			return nil, nil, result.Err
		case result.Missing:
			compare = store.Absent(key)
			continue
		case result.Existing == nil:
			return &Claim{recorder: r, key: key, record: record, revision: result.Revision}, nil, nil
		}
		existing, err := decode(result.Existing.Value)
		if err != nil {
			return nil, nil, err
		}
		if !existing.reclaimable() || existing.Fingerprint != record.Fingerprint {
			return nil, &existing, nil
		}
		compare = store.Unchanged(key, result.Existing.ModRevision)
	}
}

// writeAndWait writes a claim and waits for the result. If ctx ends first, a write that is
// still queued is removed; otherwise the claim is withdrawn once the write is settled, unless
// the write is known to have had no effect.
func (r *Recorder) writeAndWait(ctx context.Context, key string, record Record, compare store.Compare) (writeResult, error) {
	settled := make(chan writeResult, 1)
	w := &write{key: key, value: record.encode(), compare: compare}
	w.onSettled = func(result writeResult) { settled <- result }
	if !r.enqueue(w, maxQueuedWrites) {
		return writeResult{}, ErrBusy
	}
	select {
	case result := <-settled:
		return result, nil
	case <-ctx.Done():
	}
	if r.remove(w) {
		return writeResult{}, errors.Wrap(ctx.Err(), "once: the store did not respond in time")
	}
	r.addUnrecorded(1)
	go func() {
		result := <-settled
		written := result.Err == nil && result.Existing == nil && !result.Missing
		if written || result.Uncertain {
			r.withdraw(key, record)
		}
		r.addUnrecorded(-1)
	}()
	return writeResult{}, errors.Wrap(ctx.Err(), "once: the store did not respond in time")
}

// withdraw records that a claim's request was not sent. The claim itself may or may not
// have been written.
func (r *Recorder) withdraw(key string, record Record) {
	claim := &Claim{recorder: r, key: key, record: record}
	claim.End(outcome.NotRunBecause(outcome.ReasonStoreUnavailable, "the record was not confirmed in time"), nil)
}

// Note sets the claim's note, which is stored with the next write.
func (c *Claim) Note(note string) { c.record.Note = note }

// End records the outcome of the claim's request. The write is retried until it
// succeeds; then the returned channel is closed.
func (c *Claim) End(result outcome.Outcome, response *executor.Response) <-chan struct{} {
	c.record.State = Ended
	c.record.Outcome = result
	c.record.Response = response
	recorded := make(chan struct{})
	c.recorder.addUnrecorded(1)
	c.writeEnd(c.record.withoutLargeResponse().encode(), recorded)
	return recorded
}

func (c *Claim) writeEnd(value []byte, recorded chan struct{}) {
	compare := store.Unchanged(c.key, c.revision)
	w := &write{key: c.key, value: value, compare: compare}
	w.onSettled = func(result writeResult) { c.onEndWritten(value, recorded, result) }
	c.recorder.enqueue(w, -1)
}

// onEndWritten handles the result of an attempt to record the outcome: it either writes
// again or reports the outcome as recorded.
func (c *Claim) onEndWritten(value []byte, recorded chan struct{}, result writeResult) {
	switch {
	case result.Err != nil:
		c.recorder.options.Clock.AfterFunc(retryInterval, func() { c.writeEnd(value, recorded) })
		return
	case result.Existing != nil && c.owns(result.Existing):
		c.revision = result.Existing.ModRevision
		c.writeEnd(value, recorded)
		return
	case result.Missing:
		c.revision = 0
		c.writeEnd(value, recorded)
		return
	}
	close(recorded)
	c.recorder.addUnrecorded(-1)
}

// owns reports whether kv is this claim's pending record.
func (c *Claim) owns(kv *store.KeyValue) bool {
	existing, err := decode(kv.Value)
	return err == nil && existing.Attempt == c.record.Attempt && existing.State == Pending
}

// enqueue queues a write unless the queue holds limit writes; -1 means no limit.
func (r *Recorder) enqueue(w *write, limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit >= 0 && len(r.queue) >= limit {
		return false
	}
	r.queue = append(r.queue, w)
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return true
}

func (r *Recorder) remove(w *write) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.queue {
		if other == w {
			r.queue = append(r.queue[:i], r.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (r *Recorder) addUnrecorded(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unrecorded += change
}

// Unrecorded returns the number of outcomes that are not recorded yet.
func (r *Recorder) Unrecorded() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unrecorded
}

// StoreCalls returns the number of store calls so far.
func (r *Recorder) StoreCalls() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeCalls
}
