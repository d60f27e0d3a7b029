// Package memory implements an in-memory store for tests and for the stand-in of the
// platform's key-value service. Its leases run on an injected clock, and faults can be
// injected: outages, delays, lost responses, broken watches and compaction.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/store"
)

// maxHistory is the number of changes kept for watches before the oldest are compacted.
const maxHistory = 100_000

// Store is an in-memory key-value service. It implements store.Store as a client without
// faults of its own; Client returns further clients. It is safe for concurrent use.
type Store struct {
	clock  clockwork.Clock
	client *Client

	mu                sync.Mutex
	revision          store.Revision
	compactedRevision store.Revision
	sortedKeys        []string
	values            map[string]store.KeyValue
	leases            map[store.LeaseID]*lease
	lastLease         store.LeaseID
	history           []store.Change
	watches           map[*watch]struct{}
	faults            Faults
	observers         []chan store.Change
}

type lease struct {
	id        store.LeaseID
	ttl       time.Duration
	expiresAt time.Time
	timer     clockwork.Timer
}

// New returns an empty store at revision 1.
func New(clock clockwork.Clock) *Store {
	s := &Store{
		clock:    clock,
		revision: 1,
		values:   map[string]store.KeyValue{},
		leases:   map[store.LeaseID]*lease{},
		watches:  map[*watch]struct{}{},
	}
	s.client = s.Client()
	return s
}

// Revision returns the current revision.
func (s *Store) Revision() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Range implements store.Store.
func (s *Store) Range(ctx context.Context, from, to string, limit int) (store.Page, error) {
	return s.client.Range(ctx, from, to, limit)
}

// Txn implements store.Store.
func (s *Store) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	return s.client.Txn(ctx, txn)
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return s.client.Grant(ctx, ttl)
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return s.client.KeepAlive(ctx, id)
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	return s.client.Revoke(ctx, id)
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from store.Revision) (store.Watch, error) {
	return s.client.Watch(ctx, prefix, from)
}

func (s *Store) rangeKeys(from, to string, limit int) store.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireDueLeases()
	page := store.Page{Revision: s.revision}
	first, _ := slices.BinarySearch(s.sortedKeys, from)
	for _, key := range s.sortedKeys[first:] {
		if key >= to {
			break
		}
		if limit > 0 && len(page.KeyValues) == limit {
			page.More = true
			break
		}
		page.KeyValues = append(page.KeyValues, cloneKeyValue(s.values[key]))
	}
	return page
}

func cloneKeyValue(kv store.KeyValue) store.KeyValue {
	kv.Value = slices.Clone(kv.Value)
	return kv
}

// Errors of calls that the service refuses as invalid.
var (
	ErrTooManyOps   = errors.WithMessage(store.ErrRefused, "too many operations in a transaction")
	ErrTooLarge     = errors.WithMessage(store.ErrRefused, "value too large")
	ErrDuplicateKey = errors.WithMessage(store.ErrRefused, "key written twice in a transaction")
)

func (s *Store) transact(txn store.Txn) (store.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireDueLeases()
	branch := txn.Then
	succeeded := s.conditionsHold(txn.If)
	if !succeeded {
		branch = txn.Else
	}
	if err := s.checkOps(branch); err != nil {
		return store.TxnResult{}, err
	}
	result := store.TxnResult{Succeeded: succeeded, Gets: s.executeGets(branch)}
	s.executeWrites(branch)
	result.Revision = s.revision
	return result, nil
}

func (s *Store) conditionsHold(conditions []store.Compare) bool {
	for _, c := range conditions {
		if s.values[c.Key].ModRevision != c.ModRevision {
			return false
		}
	}
	return true
}

func (s *Store) checkOps(ops []store.Op) error {
	if len(ops) > store.MaxTxnOps {
		return errors.Wrapf(ErrTooManyOps, "%d operations, at most %d", len(ops), store.MaxTxnOps)
	}
	written := map[string]bool{}
	for _, op := range ops {
		if op.Put == nil {
			continue
		}
		if written[op.Put.Key] {
			return errors.Wrap(ErrDuplicateKey, op.Put.Key)
		}
		written[op.Put.Key] = true
		if len(op.Put.Value) > store.MaxValueBytes {
			return errors.Wrapf(ErrTooLarge, "value of %s has %d bytes, at most %d", op.Put.Key, len(op.Put.Value), store.MaxValueBytes)
		}
		if _, live := s.leases[op.Put.Lease]; op.Put.Lease != 0 && !live {
			return errors.Wrapf(store.ErrLeaseGone, "lease %d of %s", op.Put.Lease, op.Put.Key)
		}
	}
	return nil
}

// executeGets executes the Get operations on the state before the branch's writes. It does
// not support a branch that writes and reads the same key.
func (s *Store) executeGets(ops []store.Op) []*store.KeyValue {
	var gets []*store.KeyValue
	for _, op := range ops {
		if op.Get == "" {
			continue
		}
		kv, found := s.values[op.Get]
		if !found {
			gets = append(gets, nil)
			continue
		}
		kv = cloneKeyValue(kv)
		gets = append(gets, &kv)
	}
	return gets
}

func (s *Store) executeWrites(ops []store.Op) {
	var changes []store.Change
	next := s.revision + 1
	for _, op := range ops {
		switch {
		case op.Put != nil:
			changes = append(changes, s.put(*op.Put, next))
		case op.Delete != "":
			if change, found := s.remove(op.Delete, next); found {
				changes = append(changes, change)
			}
		}
	}
	s.publish(next, changes)
}

func (s *Store) put(put store.Put, revision store.Revision) store.Change {
	kv, found := s.values[put.Key]
	if !found {
		index, _ := slices.BinarySearch(s.sortedKeys, put.Key)
		s.sortedKeys = slices.Insert(s.sortedKeys, index, put.Key)
		kv.CreateRevision = revision
	}
	kv.Key = put.Key
	kv.Value = slices.Clone(put.Value)
	kv.ModRevision = revision
	kv.Lease = put.Lease
	s.values[put.Key] = kv
	return store.Change{KeyValue: kv}
}

func (s *Store) remove(key string, revision store.Revision) (store.Change, bool) {
	if _, found := s.values[key]; !found {
		return store.Change{}, false
	}
	delete(s.values, key)
	index, _ := slices.BinarySearch(s.sortedKeys, key)
	s.sortedKeys = slices.Delete(s.sortedKeys, index, index+1)
	return store.Change{KeyValue: store.KeyValue{Key: key, ModRevision: revision}, Deleted: true}, true
}

// publish makes changes visible at revision; without changes the revision stays as it is.
func (s *Store) publish(revision store.Revision, changes []store.Change) {
	if len(changes) == 0 {
		return
	}
	s.revision = revision
	s.history = append(s.history, changes...)
	if excess := len(s.history) - maxHistory; excess > 0 {
		s.compactedRevision = s.history[excess-1].ModRevision
		s.history = slices.Clone(s.history[excess:])
	}
	for w := range s.watches {
		w.enqueue(store.WatchBatch{Revision: revision, Changes: changesUnder(w.prefix, changes)})
	}
	for _, observer := range s.observers {
		for _, change := range changes {
			observer <- change
		}
	}
}

// observerBuffer is the number of changes that an observer buffers before writes block.
const observerBuffer = 4096

// Observe returns a channel of all changes from now on, unaffected by injected faults. It
// is for tests; a reader that falls behind blocks writes.
func (s *Store) Observe() <-chan store.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	observer := make(chan store.Change, observerBuffer)
	s.observers = append(s.observers, observer)
	return observer
}

func changesUnder(prefix string, changes []store.Change) []store.Change {
	var matching []store.Change
	for _, change := range changes {
		if strings.HasPrefix(change.Key, prefix) {
			change.KeyValue = cloneKeyValue(change.KeyValue)
			matching = append(matching, change)
		}
	}
	return matching
}
