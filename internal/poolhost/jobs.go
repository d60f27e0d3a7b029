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

// Response is the result of a caller's request.
type Response struct {
	Outcome outcome.Outcome
	// State is the state of the job, for requests that return one.
	State workflow.State
	// RetryAfter is the time after which to repeat a request that was not served; 0 means
	// not to repeat it.
	RetryAfter time.Duration
}

// Timing of callers' requests.
const (
	// writeRetryInterval is the time between attempts of a write.
	writeRetryInterval = 100 * time.Millisecond
	// maxWriteRetryTime is how long a write is repeated while every attempt certainly had
	// no effect.
	maxWriteRetryTime = 500 * time.Millisecond
	// The timeouts of the attempts of a write. The first is short, since a response arrives
	// within a few milliseconds or is lost; later ones allow for a slow store.
	firstWriteTimeout = 300 * time.Millisecond
	maxWriteTimeout   = time.Second
	// peerTimeout limits a call to the owner; after it, the state of a job is read from the
	// store.
	peerTimeout = 400 * time.Millisecond
)

// Submit accepts a job by writing its record. Submitting the same job again, at any host,
// has no further effect.
func (h *Host) Submit(ctx context.Context, record *workflow.Record) Response {
	key := store.PoolJobKey(record.ID)
	encoded := workflow.Encode(record)
	txn := store.Txn{
		If:   []store.Compare{store.Absent(key)},
		Then: []store.Op{{Put: &store.Put{Key: key, Value: encoded}}},
		Else: []store.Op{{Get: key}},
	}
	result, err := h.write(ctx, txn)
	if err != nil {
		return h.storeFailure(event.JobRefused, record.ID, err)
	}
	if result.Succeeded {
		h.Events.RecordFields(event.JobAccepted, event.Subject{Job: string(record.ID), Organisation: string(record.Organisation)}, event.Fields{
			"queue": record.Queue.Name, "steps": len(record.Spec.Steps), "revision": result.Revision,
		})
		h.announce(record.ID, encoded, result.Revision)
		return Response{Outcome: outcome.Outcome{Kind: outcome.Accepted}}
	}
	return h.existingJobResponse(record, result)
}

// existingJobResponse returns the response to a submission of a job whose record exists.
func (h *Host) existingJobResponse(record *workflow.Record, result store.TxnResult) Response {
	if len(result.Gets) == 0 || result.Gets[0] == nil {
		return h.storeFailure(event.JobRefused, record.ID, errors.Wrap(store.ErrResponseLost, "the write failed because the record exists, but no record was returned"))
	}
	found, err := workflow.DecodeRecord(result.Gets[0].Value)
	if err != nil {
		return h.storeFailure(event.JobRefused, record.ID, errors.Wrap(store.ErrResponseLost, err.Error()))
	}
	if found.Organisation != record.Organisation {
		return Response{Outcome: outcome.NotRunBecause(outcome.ReasonConflict, "the id belongs to a job of another organisation")}
	}
	h.Events.RecordFields(event.JobAccepted, event.Subject{Job: string(record.ID), Organisation: string(record.Organisation)}, event.Fields{
		"queue": record.Queue.Name, "again": true, "revision": result.Gets[0].ModRevision,
	})
	h.announce(record.ID, result.Gets[0].Value, result.Gets[0].ModRevision)
	return Response{Outcome: outcome.Outcome{Kind: outcome.Accepted}}
}

// storeFailure records a failed call to the store and returns the response for it: unknown
// when a write may have taken effect, or still may, and otherwise not run.
func (h *Host) storeFailure(number event.Number, id model.JobID, err error) Response {
	unknown := errors.Is(err, store.ErrResponseLost)
	if unknown && number == event.JobRefused {
		number = event.AcceptanceUnknown
	}
	h.Events.RecordFields(number, event.Subject{Job: string(id)}, event.Fields{"why": err.Error(), "unknown": unknown})
	if unknown {
		return Response{Outcome: outcome.UnknownBecause(outcome.ReasonAnswerLost, "the write may or may not have happened")}
	}
	if errors.Is(err, store.ErrRefused) {
		return Response{Outcome: outcome.NotRunBecause(outcome.ReasonTooLarge, "the store refuses the record of the request")}
	}
	return Response{
		Outcome:    outcome.NotRunBecause(outcome.ReasonStoreUnavailable, "the store can't be written"),
		RetryAfter: h.RetryAfter(),
	}
}

// write repeats a conditional write until its outcome is known or ctx ends. Once an
// attempt had no response, later failures don't prove that it had no effect, and the error
// wraps ErrResponseLost.
func (h *Host) write(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if err := h.awaitStore(ctx); err != nil {
		return store.TxnResult{}, err
	}
	startedAt := h.Clock.Now()
	responseLost := false
	for timeout := firstWriteTimeout; ; timeout = min(2*timeout, maxWriteTimeout) {
		result, err := h.tryWrite(ctx, txn, timeout)
		if err == nil {
			return result, nil
		}
		if errors.Is(err, store.ErrResponseLost) {
			responseLost = true
			h.startProbe()
		}
		waited := h.Clock.Now().Sub(startedAt)
		if ctx.Err() != nil || errors.Is(err, store.ErrRefused) || !responseLost && waited >= maxWriteRetryTime {
			return store.TxnResult{}, asResponseLost(err, responseLost)
		}
		select {
		case <-ctx.Done():
			return store.TxnResult{}, asResponseLost(err, responseLost)
		case <-h.Clock.After(writeRetryInterval):
		}
	}
}

func asResponseLost(err error, responseLost bool) error {
	if responseLost && !errors.Is(err, store.ErrResponseLost) {
		return errors.Wrap(store.ErrResponseLost, err.Error())
	}
	return err
}

func (h *Host) tryWrite(ctx context.Context, txn store.Txn, timeout time.Duration) (store.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return h.Store.Txn(ctx, txn)
}

// finalState is the state of a job that has ended, which no longer changes.
type finalState struct {
	organisation model.OrganisationID
	state        workflow.State
}

// maxCachedEntries limits the cache of final states and that of queue counts.
const maxCachedEntries = 4096

// State returns the state of an organisation's job from the owner or, when the owner can't
// be reached, from the store.
func (h *Host) State(ctx context.Context, organisation model.OrganisationID, id model.JobID) Response {
	// A job of another organisation may have had the ID before.
	if cached, ok := h.cachedFinalState(id); ok && cached.organisation == organisation {
		return stateResponse(true, cached.state)
	}
	if job, ok := h.queryJob(ctx, id); ok && job.Found {
		state := workflow.State(job.State)
		h.cacheFinalState(id, model.OrganisationID(job.Organisation), state)
		return stateResponse(job.Organisation == string(organisation), state)
	}
	return h.storedState(ctx, organisation, id)
}

func stateResponse(found bool, state workflow.State) Response {
	if !found {
		return Response{Outcome: outcome.NotRunBecause(outcome.ReasonNotFound, "no such job")}
	}
	return Response{Outcome: outcome.Outcome{Kind: outcome.Done}, State: state}
}

func (h *Host) cachedFinalState(id model.JobID) (finalState, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cached, ok := h.finalStates[id]
	return cached, ok
}

func (h *Host) cacheFinalState(id model.JobID, organisation model.OrganisationID, state workflow.State) {
	if state != workflow.Completed && state != workflow.Failed {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.finalStates) >= maxCachedEntries {
		clear(h.finalStates)
	}
	h.finalStates[id] = finalState{organisation: organisation, state: state}
}

// maxInputKeys limits the keys of one job that are read: its record and the cancellations of its ID.
const maxInputKeys = 500

// queryJob asks the owner of the pool for a job; false means that no owner responded.
func (h *Host) queryJob(ctx context.Context, id model.JobID) (*rpc.PoolJobResponse, bool) {
	return queryOwner(ctx, h,
		func(t *term) *rpc.PoolJobResponse { return t.job(id) },
		func(ctx context.Context, owner rpc.Pool) (*rpc.PoolJobResponse, error) {
			return owner.Job(ctx, &rpc.PoolJobRequest{Job: string(id)})
		})
}

// queryOwner calls local if this host owns the pool, and otherwise remote with a client of
// the owner; false means that no owner responded.
func queryOwner[T interface{ GetOwner() bool }](ctx context.Context, h *Host, local func(*term) T, remote func(context.Context, rpc.Pool) (T, error)) (T, bool) {
	if t := h.currentTerm(); t != nil {
		response := local(t)
		return response, response.GetOwner()
	}
	client, ok := h.ownerClient()
	if !ok {
		var zero T
		return zero, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := remote(ctx, client)
	h.recordOwnerCall(err)
	return response, err == nil && response.GetOwner()
}

// storedState reads the state of a job from the store.
func (h *Host) storedState(ctx context.Context, organisation model.OrganisationID, id model.JobID) Response {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	prefix := store.PoolInputPrefix + string(id) + "/"
	input, err := h.Store.Range(ctx, prefix, store.PrefixEnd(prefix), maxInputKeys)
	if err != nil {
		return h.storeFailure(event.StateUnread, id, err)
	}
	var record *workflow.Record
	cancelled := false
	for _, kv := range input.KeyValues {
		switch _, kind := store.ParsePoolInput(kv.Key); kind {
		case store.PoolCancel, store.PoolEarlyCancel:
			cancellation, err := workflow.DecodeCancellation(kv.Value)
			if err != nil {
				return h.storeFailure(event.StateUnread, id, errors.Wrap(store.ErrResponseLost, err.Error()))
			}
			cancelled = cancelled || cancellation.Concerns(organisation)
		case store.PoolJob:
			if record, err = workflow.DecodeRecord(kv.Value); err != nil {
				return h.storeFailure(event.StateUnread, id, errors.Wrap(store.ErrResponseLost, err.Error()))
			}
		}
	}
	if record == nil || record.Organisation != organisation {
		return stateResponse(false, "")
	}
	state, err := h.storedProgress(ctx, id)
	if err != nil {
		return h.storeFailure(event.StateUnread, id, err)
	}
	if cancelled && !state.Final() {
		state = workflow.Cancelled
	}
	return stateResponse(true, state)
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
		return "", errors.Wrap(store.ErrResponseLost, err.Error())
	}
	return progress.State, nil
}

// Cancel cancels a job of an organisation. The cancellation is written even if the job doesn't
// exist, so that a job whose submission is still in progress never runs.
func (h *Host) Cancel(ctx context.Context, organisation model.OrganisationID, id model.JobID) Response {
	jobKey := store.PoolJobKey(id)
	value := workflow.Encode(workflow.Cancellation{Organisation: &organisation})
	cancelKey, condition := store.PoolEarlyCancelKey(id, organisation), store.Absent(jobKey)
	for {
		gets := []store.Op{{Get: cancelKey}, {Get: jobKey}}
		result, err := h.write(ctx, store.Txn{
			If:   []store.Compare{store.Absent(cancelKey), condition},
			Then: []store.Op{{Put: &store.Put{Key: cancelKey, Value: value}}}, Else: gets,
		})
		if err != nil {
			return h.storeFailure(event.CancelFailed, id, err)
		}
		known := condition.ModRevision != 0
		if result.Succeeded {
			h.Events.RecordFields(event.CancelRecorded, event.Subject{Job: string(id), Organisation: string(organisation)}, event.Fields{"known": known, "revision": result.Revision})
			if known {
				h.announce(id, nil, result.Revision)
			}
			return stateResponse(known, workflow.Cancelled)
		}
		if len(result.Gets) < len(gets) || result.Gets[1] == nil {
			return stateResponse(false, "")
		}
		found, err := workflow.DecodeRecord(result.Gets[1].Value)
		if err != nil || found.Organisation != organisation {
			return stateResponse(false, "")
		}
		if known && result.Gets[0] != nil {
			return stateResponse(true, workflow.Cancelled)
		}
		cancelKey, condition = store.PoolCancelKey(id), store.Unchanged(jobKey, result.Gets[1].ModRevision)
	}
}

// maxCountAge is the maximum age of a queue count that is returned, as the users'
// documentation states it.
const maxCountAge = 2 * time.Second

// queueCount is the number of waiting jobs that the owner last returned for a queue.
type queueCount struct {
	waiting int
	// requestedAt is when the owner was asked.
	requestedAt time.Time
}

// Waiting returns the number of accepted jobs of a queue of which no task has started;
// false means that no owner responded and that the last known number is too old.
func (h *Host) Waiting(ctx context.Context, queue string) (int, bool) {
	requestedAt := h.Clock.Now()
	response, ok := h.queryQueue(ctx, queue)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !ok {
		last, known := h.queueCounts[queue]
		return last.waiting, known && h.Clock.Now().Sub(last.requestedAt) < maxCountAge
	}
	if len(h.queueCounts) >= maxCachedEntries {
		clear(h.queueCounts)
	}
	h.queueCounts[queue] = queueCount{waiting: int(response.Waiting), requestedAt: requestedAt}
	return int(response.Waiting), true
}

// queryQueue asks the owner for the count of a queue; false means that no owner
// responded.
func (h *Host) queryQueue(ctx context.Context, queue string) (*rpc.PoolQueueResponse, bool) {
	return queryOwner(ctx, h,
		func(t *term) *rpc.PoolQueueResponse { return t.queue(queue) },
		func(ctx context.Context, owner rpc.Pool) (*rpc.PoolQueueResponse, error) {
			return owner.Queue(ctx, &rpc.PoolQueueRequest{Queue: queue})
		})
}
