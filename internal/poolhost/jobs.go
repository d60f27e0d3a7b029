package poolhost

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Answer is the outcome of a call for a caller.
type Answer struct {
	Outcome outcome.Outcome
	// State is the state of the job, where the call asks for it.
	State workflow.State
	// RetryAfter is when a call that was not served makes sense again; 0 means never.
	RetryAfter time.Duration
}

// Timing of the calls for callers.
const (
	// writeRetry is the time between tries of a write.
	writeRetry = 100 * time.Millisecond
	// writePatience is how long a write is tried that the store refuses for certain.
	writePatience = 500 * time.Millisecond
	// The bounds of a write's tries: the first is short, since an answer comes within a
	// few milliseconds or is lost; later ones leave time to a store that is slow.
	firstWriteTimeout = 300 * time.Millisecond
	maxWriteTimeout   = time.Second
	// peerTimeout bounds a question to the owner before the store is asked.
	peerTimeout = 400 * time.Millisecond
)

// Submit accepts a job: it is accepted when its record is written. The same job
// submitted again, at any host, stays one job.
func (h *Host) Submit(ctx context.Context, record *workflow.Record) Answer {
	key := store.PoolJobKey(record.ID)
	txn := store.Txn{
		If:   []store.Compare{store.Absent(key)},
		Then: []store.Op{{Put: &store.Put{Key: key, Value: workflow.Encode(record)}}},
		Else: []store.Op{{Get: key}},
	}
	result, err := h.write(ctx, txn)
	if err != nil {
		return h.notWritten(event.JobRefused, record.ID, err)
	}
	if result.Succeeded {
		h.Events.Note(event.JobAccepted, event.Subject{Job: string(record.ID), Organisation: string(record.Organisation)}, event.Fields{
			"queue": record.Queue.Name, "steps": len(record.Spec.Steps), "revision": result.Revision,
		})
		return Answer{Outcome: outcome.Outcome{Kind: outcome.Accepted}}
	}
	return h.alreadyThere(record, result)
}

// alreadyThere answers for a job whose record exists.
func (h *Host) alreadyThere(record *workflow.Record, result store.TxnResult) Answer {
	if len(result.Gets) == 0 || result.Gets[0] == nil {
		return h.notWritten(event.JobRefused, record.ID, errors.Wrap(store.ErrAnswerLost, "the store refused the write but shows no record"))
	}
	found, err := workflow.DecodeRecord(result.Gets[0].Value)
	if err != nil {
		return h.notWritten(event.JobRefused, record.ID, errors.Wrap(store.ErrAnswerLost, err.Error()))
	}
	if found.Organisation != record.Organisation {
		return Answer{Outcome: outcome.NotRunBecause(outcome.ReasonConflict, "the id belongs to a job of another organisation")}
	}
	h.Events.Note(event.JobAccepted, event.Subject{Job: string(record.ID), Organisation: string(record.Organisation)}, event.Fields{
		"queue": record.Queue.Name, "again": true, "revision": result.Gets[0].ModRevision,
	})
	return Answer{Outcome: outcome.Outcome{Kind: outcome.Accepted}}
}

// notWritten answers for a write that failed: refused when it has not happened for
// certain, unknown when it may have, or may still.
func (h *Host) notWritten(number event.Number, id model.JobID, err error) Answer {
	unknown := errors.Is(err, store.ErrAnswerLost)
	if unknown && number == event.JobRefused {
		number = event.JobUnknown
	}
	h.Events.Note(number, event.Subject{Job: string(id)}, event.Fields{"why": err.Error(), "unknown": unknown})
	if unknown {
		return Answer{Outcome: outcome.UnknownBecause(outcome.ReasonAnswerLost, "the write may or may not have happened")}
	}
	return Answer{
		Outcome:    outcome.NotRunBecause(outcome.ReasonStoreUnavailable, "the store can't be written"),
		RetryAfter: h.RetryAfter(),
	}
}

// write makes a conditional write until its outcome is known or ctx ends. Once a try
// had no answer, later refusals prove nothing, and the error wraps ErrAnswerLost.
func (h *Host) write(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if err := h.awaitStore(ctx); err != nil {
		return store.TxnResult{}, err
	}
	began := h.Clock.Now()
	lost := false
	for timeout := firstWriteTimeout; ; timeout = min(2*timeout, maxWriteTimeout) {
		result, err := h.tryWrite(ctx, txn, timeout)
		if err == nil {
			return result, nil
		}
		if errors.Is(err, store.ErrAnswerLost) {
			lost = true
			h.suspectStore()
		}
		waited := h.Clock.Now().Sub(began)
		if ctx.Err() != nil || !lost && waited >= writePatience {
			return store.TxnResult{}, asLost(err, lost)
		}
		select {
		case <-ctx.Done():
			return store.TxnResult{}, asLost(err, lost)
		case <-h.Clock.After(writeRetry):
		}
	}
}

func asLost(err error, lost bool) error {
	if lost && !errors.Is(err, store.ErrAnswerLost) {
		return errors.Wrap(store.ErrAnswerLost, err.Error())
	}
	return err
}

func (h *Host) tryWrite(ctx context.Context, txn store.Txn, timeout time.Duration) (store.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return h.Store.Txn(ctx, txn)
}

// finalState is an end that can't change any more.
type finalState struct {
	organisation model.OrganisationID
	state        workflow.State
}

// maxFinals bounds the ends, and the counts of queues, that a host remembers.
const maxFinals = 4096

// State returns the state of an organisation's job: as the owner knows it or, when the
// owner can't be asked, as the store has it.
func (h *Host) State(ctx context.Context, organisation model.OrganisationID, id model.JobID) Answer {
	if final, ok := h.final(id); ok {
		return stateAnswer(final.organisation == organisation, final.state)
	}
	if job, ok := h.askOwner(ctx, id); ok && job.Found {
		state := workflow.State(job.State)
		h.keepFinal(id, model.OrganisationID(job.Organisation), state)
		return stateAnswer(job.Organisation == string(organisation), state)
	}
	return h.storedState(ctx, organisation, id)
}

func stateAnswer(found bool, state workflow.State) Answer {
	if !found {
		return Answer{Outcome: outcome.NotRunBecause(outcome.ReasonNotFound, "no such job")}
	}
	return Answer{Outcome: outcome.Outcome{Kind: outcome.Done}, State: state}
}

func (h *Host) final(id model.JobID) (finalState, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	final, ok := h.finals[id]
	return final, ok
}

func (h *Host) keepFinal(id model.JobID, organisation model.OrganisationID, state workflow.State) {
	if state != workflow.Completed && state != workflow.Failed {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.finals) >= maxFinals {
		clear(h.finals)
	}
	h.finals[id] = finalState{organisation: organisation, state: state}
}

// askOwner asks the owner of the pool for a job; false means that it could not be asked.
func (h *Host) askOwner(ctx context.Context, id model.JobID) (*rpc.PoolJobResponse, bool) {
	return askPool(ctx, h,
		func(t *term) *rpc.PoolJobResponse { return t.job(id) },
		func(ctx context.Context, owner rpc.Pool) (*rpc.PoolJobResponse, error) {
			return owner.Job(ctx, &rpc.PoolJobRequest{Job: string(id)})
		})
}

// askPool asks this host, if it owns the pool, or else the owner; false means that neither
// could answer as the owner.
func askPool[T interface{ GetOwner() bool }](ctx context.Context, h *Host, here func(*term) T, there func(context.Context, rpc.Pool) (T, error)) (T, bool) {
	if t := h.current(); t != nil {
		answer := here(t)
		return answer, answer.GetOwner()
	}
	client, ok := h.ownerClient()
	if !ok {
		var none T
		return none, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := there(ctx, client)
	h.notePeer(err)
	return answer, err == nil && answer.GetOwner()
}

// storedState reads the state of a job from the store.
func (h *Host) storedState(ctx context.Context, organisation model.OrganisationID, id model.JobID) Answer {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	prefix := store.PoolInputPrefix + string(id) + "/"
	input, err := h.Store.Range(ctx, prefix, store.PrefixEnd(prefix), 2)
	if err != nil {
		return h.notWritten(event.StateUnread, id, err)
	}
	var record *workflow.Record
	cancelled := false
	for _, kv := range input.KeyValues {
		switch _, kind := store.ParsePoolInput(kv.Key); kind {
		case store.PoolCancel:
			cancelled = true
		case store.PoolJob:
			if record, err = workflow.DecodeRecord(kv.Value); err != nil {
				return h.notWritten(event.StateUnread, id, errors.Wrap(store.ErrAnswerLost, err.Error()))
			}
		}
	}
	if record == nil || record.Organisation != organisation {
		return stateAnswer(false, "")
	}
	state, err := h.storedProgress(ctx, id)
	if err != nil {
		return h.notWritten(event.StateUnread, id, err)
	}
	if cancelled && !state.Final() {
		state = workflow.Cancelled
	}
	return stateAnswer(true, state)
}

func (h *Host) storedProgress(ctx context.Context, id model.JobID) (workflow.State, error) {
	key := store.PoolProgressKey(id)
	page, err := h.Store.Range(ctx, key, store.PrefixEnd(key), 1)
	if err != nil {
		return "", err
	}
	if len(page.KeyValues) == 0 || page.KeyValues[0].Key != key {
		return workflow.Queued, nil
	}
	progress, err := workflow.DecodeProgress(page.KeyValues[0].Value)
	if err != nil {
		return "", errors.Wrap(store.ErrAnswerLost, err.Error())
	}
	return progress.State, nil
}

// Cancel cancels a job. The cancellation is written also when the job is not there, so
// that a submission which is still under way never runs.
func (h *Host) Cancel(ctx context.Context, organisation model.OrganisationID, id model.JobID) Answer {
	job, cancelKey := store.PoolJobKey(id), store.PoolCancelKey(id)
	put := []store.Op{{Put: &store.Put{Key: cancelKey, Value: []byte("{}")}}}
	gets := []store.Op{{Get: cancelKey}, {Get: job}}
	condition := store.Absent(job)
	for {
		result, err := h.write(ctx, store.Txn{If: []store.Compare{store.Absent(cancelKey), condition}, Then: put, Else: gets})
		if err != nil {
			return h.notWritten(event.CancelFailed, id, err)
		}
		if result.Succeeded {
			h.Events.Note(event.CancelRecorded, event.Subject{Job: string(id)}, event.Fields{"known": condition.ModRevision != 0, "revision": result.Revision})
			return stateAnswer(condition.ModRevision != 0, workflow.Cancelled)
		}
		if len(result.Gets) < len(gets) || result.Gets[1] == nil {
			return stateAnswer(false, "")
		}
		found, err := workflow.DecodeRecord(result.Gets[1].Value)
		if err != nil || found.Organisation != organisation {
			return stateAnswer(false, "")
		}
		if result.Gets[0] != nil {
			return stateAnswer(true, workflow.Cancelled)
		}
		condition = store.Unchanged(job, result.Gets[1].ModRevision)
	}
}

// maxCountAge is the greatest age of a count that is shown, as the users' pages allow.
const maxCountAge = 2 * time.Second

// countOf is a queue's count as the owner last told it; at is when it was asked.
type countOf struct {
	waiting int
	at      time.Time
}

// Waiting counts the accepted jobs of a queue of which no task has started; false means
// that the owner could not be asked, and that its last answer is too old.
func (h *Host) Waiting(ctx context.Context, queue string) (int, bool) {
	asked := h.Clock.Now()
	answer, ok := h.askQueue(ctx, queue)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !ok {
		last, known := h.counts[queue]
		return last.waiting, known && h.Clock.Now().Sub(last.at) < maxCountAge
	}
	if len(h.counts) >= maxFinals {
		clear(h.counts)
	}
	h.counts[queue] = countOf{waiting: int(answer.Waiting), at: asked}
	return int(answer.Waiting), true
}

// askQueue asks the owner for a queue's count; false means that it could not be asked.
func (h *Host) askQueue(ctx context.Context, queue string) (*rpc.PoolQueueResponse, bool) {
	return askPool(ctx, h,
		func(t *term) *rpc.PoolQueueResponse { return t.queue(queue) },
		func(ctx context.Context, owner rpc.Pool) (*rpc.PoolQueueResponse, error) {
			return owner.Queue(ctx, &rpc.PoolQueueRequest{Queue: queue})
		})
}
