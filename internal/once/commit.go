package once

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/store"
)

// Limits of a group of writes.
const (
	maxGroupWrites = store.MaxTxnOps
	maxGroupBytes  = 512 << 10
	// maxRounds limits the store calls for one group.
	maxRounds = 6
	// callTimeout limits one store call.
	callTimeout = 2 * time.Second
)

// write is one compare-and-swap of a record in a group.
type write struct {
	key     string
	value   []byte
	compare store.Compare
	result  writeResult
	// settled is true once result is final.
	settled bool
	// uncertain is true if the write may have taken effect without a confirmation.
	uncertain bool
	onSettled func(writeResult)
}

// writeResult is the result of a write.
type writeResult struct {
	// Revision is the record's new revision after a success.
	Revision store.Revision
	// Existing is the conflicting record; nil after a success.
	Existing *store.KeyValue
	// Missing is true if the write expected a record and the key does not exist.
	Missing bool
	// Err is set if the store reported no result; Uncertain is then true if the write
	// may have taken effect.
	Err       error
	Uncertain bool
}

// commit commits a group of writes to different keys and settles each of them. It
// returns the number of store calls.
func commit(ctx context.Context, s store.Store, group []*write, lease store.LeaseID) (calls int) {
	remaining := group
	var lastErr error
	for calls = 0; len(remaining) > 0 && calls < maxRounds; {
		calls++
		result, err := transact(ctx, s, remaining, lease)
		switch {
		case err == nil && result.Succeeded:
			settleSucceeded(remaining, result.Revision)
		case err == nil:
			settleFromReads(remaining, result.Gets)
		case errors.Is(err, store.ErrResponseLost):
			calls++
			lastErr = err
			markUncertain(remaining)
			if !readBack(ctx, s, remaining) {
				failUnsettled(remaining, err)
			}
		default:
			failUnsettled(remaining, err)
		}
		remaining = unsettled(remaining)
	}
	if lastErr == nil {
		lastErr = errors.New("once: the records kept changing")
	}
	failUnsettled(remaining, lastErr)
	return calls
}

func transact(ctx context.Context, s store.Store, writes []*write, lease store.LeaseID) (store.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	txn := store.Txn{}
	for _, w := range writes {
		txn.If = append(txn.If, w.compare)
		txn.Then = append(txn.Then, store.Op{Put: &store.Put{Key: w.key, Value: w.value, Lease: lease}})
		txn.Else = append(txn.Else, store.Op{Get: w.key})
	}
	return s.Txn(ctx, txn)
}

// readBack reads the keys after a lost response and settles the writes whose result this
// shows. It returns false if the store can't be read. A write that has not taken effect
// yet may still do so later; repeating it with the same value and condition is harmless.
func readBack(ctx context.Context, s store.Store, writes []*write) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	txn := store.Txn{}
	for _, w := range writes {
		txn.Then = append(txn.Then, store.Op{Get: w.key})
	}
	result, err := s.Txn(ctx, txn)
	if err != nil {
		return false
	}
	settleFromReads(writes, result.Gets)
	return true
}

func settleSucceeded(writes []*write, revision store.Revision) {
	for _, w := range writes {
		w.settle(writeResult{Revision: revision})
	}
}

// settleFromReads settles the writes whose key holds their own value or another revision
// than they expect. The others stay unsettled.
func settleFromReads(writes []*write, found []*store.KeyValue) {
	for i, w := range writes {
		kv := found[i]
		switch {
		case kv != nil && bytes.Equal(kv.Value, w.value):
			w.settle(writeResult{Revision: kv.ModRevision})
		case kv == nil && w.compare.ModRevision != 0:
			w.settle(writeResult{Missing: true})
		case kv != nil && kv.ModRevision != w.compare.ModRevision:
			w.settle(writeResult{Existing: kv})
		}
	}
}

func markUncertain(writes []*write) {
	for _, w := range writes {
		w.uncertain = true
	}
}

func failUnsettled(writes []*write, err error) {
	for _, w := range writes {
		if !w.settled {
			w.settle(writeResult{Err: err, Uncertain: w.uncertain})
		}
	}
}

func (w *write) settle(result writeResult) {
	w.settled = true
	w.result = result
}

func unsettled(writes []*write) []*write {
	var remaining []*write
	for _, w := range writes {
		if !w.settled {
			remaining = append(remaining, w)
		}
	}
	return remaining
}
