// Package wire defines the messages of the etcd v3 JSON mapping that chervilrun uses: keys
// and values are base64, 64-bit numbers are decimal strings, and fields with the zero value
// are left out. Source: the API reference of etcd v3.5, package etcdserverpb, and the JSON
// mapping of grpc-gateway.
package wire

// Paths of the calls; the method is always POST.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// gRPC status codes in error responses.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// Error messages that callers distinguish.
const (
	MessageNoLeader      = "etcdserver: no leader"
	MessageLeaseNotFound = "etcdserver: requested lease not found"
	MessageTooManyOps    = "etcdserver: too many operations in txn request"
	MessageTooLarge      = "etcdserver: request is too large"
	MessageDuplicateKey  = "etcdserver: duplicate key given in txn request"
)

// Error is the body of a response with a status other than 200.
type Error struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is a key with its value, revisions and lease.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys in [Key, RangeEnd), or only Key if RangeEnd is empty.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// Values of Compare's fields.
const (
	ResultEqual = "EQUAL"
	TargetMod   = "MOD"
)

// Compare is a condition of a transaction.
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes one key.
type DeleteRangeRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is a compare-and-swap.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the result of one operation of a transaction; exactly one field is set.
type ResponseOp struct {
	Range       *RangeResponse `json:"response_range,omitempty"`
	Put         *HeaderOnly    `json:"response_put,omitempty"`
	DeleteRange *HeaderOnly    `json:"response_delete_range,omitempty"`
}

// HeaderOnly is a response without further fields.
type HeaderOnly struct {
	Header Header `json:"header"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseRequest identifies a lease, or requests a new one with the given TTL in seconds.
type LeaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseResponse is the response to a LeaseRequest; for a renewal a TTL of 0 means that the
// lease has expired or was revoked.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// StreamedLease is one message of the response stream of a renewal.
type StreamedLease struct {
	Result LeaseResponse `json:"result"`
}

// WatchCreate requests the changes of the keys in [Key, RangeEnd).
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchRequest starts a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// EventDelete is the type of a deletion event; the type of a write is empty.
const EventDelete = "DELETE"

// Event is the change of one key.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResponse is one batch of a watch.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// StreamedWatch is one message of the response stream of a WatchRequest.
type StreamedWatch struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *StreamError   `json:"error,omitempty"`
}

// StreamError is the error that ends a stream.
type StreamError struct {
	GRPCCode int    `json:"grpc_code"`
	HTTPCode int    `json:"http_code"`
	Message  string `json:"message"`
}
