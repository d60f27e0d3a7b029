// Package store defines the interface to the platform's key-value service: reads,
// compare-and-swap transactions, leases and watches. Implementations are in the
// sub-packages; package budget limits the rate of calls.
package store

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Revision is the version of the whole store; each write increments it by one.
type Revision int64

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// KeyValue is a key with its value, revisions and lease.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision Revision
	ModRevision    Revision
	Lease          LeaseID
}

// Compare is a condition on one key. A key that does not exist has ModRevision 0.
type Compare struct {
	Key         string
	ModRevision Revision
}

// Absent returns the condition that key does not exist.
func Absent(key string) Compare { return Compare{Key: key} }

// Unchanged returns the condition that key was last written at revision.
func Unchanged(key string, revision Revision) Compare {
	return Compare{Key: key, ModRevision: revision}
}

// Op is one operation of a transaction; exactly one of Put, Delete and Get is set.
type Op struct {
	Put    *Put
	Delete string
	Get    string
}

// Put writes a value. If Lease is not 0, the key is deleted when the lease expires or is
// revoked.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a compare-and-swap: it executes Then if every condition in If holds, otherwise
// Else.
type Txn struct {
	If   []Compare
	Then []Op
	Else []Op
}

// Writes reports whether either branch contains a write.
func (t Txn) Writes() bool {
	return slices.ContainsFunc(t.Then, Op.writes) || slices.ContainsFunc(t.Else, Op.writes)
}

func (o Op) writes() bool { return o.Put != nil || o.Delete != "" }

// MaxTxnOps is the largest number of operations in one branch of a transaction.
const MaxTxnOps = 120

// MaxValueBytes is the largest size of a value that the service accepts.
const MaxValueBytes = 1 << 20

// TxnResult is the result of a transaction.
type TxnResult struct {
	// Succeeded is true if every condition held.
	Succeeded bool
	Revision  Revision
	// Gets holds the results of the branch's Get operations, in order; nil for a missing key.
	Gets []*KeyValue
}

// Change is a write or deletion of one key, as reported by a watch.
type Change struct {
	KeyValue
	// Deleted is true if the key was deleted, or its lease expired or was revoked.
	Deleted bool
}

// WatchBatch is a set of changes that became visible together. An empty batch is a
// progress notification: the watch has delivered all changes up to Revision.
type WatchBatch struct {
	Revision Revision
	Changes  []Change
	// AsOf is when the read that returned the batch was sent; the store held no later
	// change at that time. It is zero if the implementation can't tell.
	AsOf time.Time
}

// Page is the result of Range.
type Page struct {
	KeyValues []KeyValue
	Revision  Revision
	// More is true if the limit left out further keys.
	More bool
}

// Store is the platform's key-value service. Every method may return ErrUnavailable (the
// call had no effect), ErrRefused (nor will it have one) or ErrResponseLost (a write may or may not
// have taken effect).
type Store interface {
	// Range reads up to limit keys in [from, to) in key order, at one revision.
	Range(ctx context.Context, from, to string, limit int) (Page, error)
	// Txn executes a compare-and-swap.
	Txn(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; ErrLeaseGone means that it has expired or was revoked.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke removes a lease before it expires and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch starts a watch of the keys under prefix, beginning with the changes at revision
	// from, or with those after the call if from is 0. It lasts until ctx ends or it fails.
	Watch(ctx context.Context, prefix string, from Revision) (Watch, error)
}

// Watch is a running watch.
type Watch interface {
	// Batches returns a channel of the changes, in order; it is closed when the watch ends.
	Batches() <-chan WatchBatch
	// Err returns why the watch ended; after ErrCompacted the caller has to read the keys
	// again with Range.
	Err() error
}

// Errors of a Store. Implementations wrap them; test for them with errors.Is.
var (
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrRefused means that the service refuses the call for what it contains, such as a value that is
	// too large. It had no effect, and the same call again has none either.
	ErrRefused = errors.New("store: refused")
	// ErrResponseLost means that a write may or may not have taken effect.
	ErrResponseLost = errors.New("store: answer lost")
	// ErrLeaseGone means that the lease has expired or was revoked.
	ErrLeaseGone = errors.New("store: lease has ended")
	// ErrCompacted means that the requested revision has been compacted.
	ErrCompacted = errors.New("store: revision compacted")
)

// PrefixEnd returns the first key after all keys that start with prefix.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return string(end[:i+1])
		}
	}
	return "\x00"
}
