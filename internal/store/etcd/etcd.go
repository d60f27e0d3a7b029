// Package etcd implements store.Store on a key-value service that provides the JSON mapping
// of the etcd v3 API over HTTP.
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/etcd/wire"
)

// Store is a client of the service, which is reachable at several equivalent URLs; after a
// failure it switches to the next one. It is safe for concurrent use.
type Store struct {
	urls      []string
	userAgent string
	timeout   time.Duration
	client    *http.Client
	urlIndex  atomic.Uint32
}

// Limits of the connections to the service.
const (
	dialTimeout        = time.Second
	tcpKeepAlive       = 5 * time.Second
	maxIdleConnections = 8
	maxResponseBytes   = 64 << 20
)

// New returns a client of the service at urls. userAgent identifies the process in the
// User-Agent header; timeout limits the time of every call except a watch.
func New(urls []string, userAgent string, timeout time.Duration) *Store {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: tcpKeepAlive}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnections}
	client := &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	return &Store{urls: urls, userAgent: userAgent, timeout: timeout, client: client}
}

// refuseRedirect keeps a failure at another address from being taken for one of the call itself.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// post sends one request and returns the response's body if its status is 200.
func (s *Store) post(ctx context.Context, path string, request any, write bool) (io.ReadCloser, error) {
	body, err := json.Marshal(request)
	if err != nil {
		panic(errors.Wrap(err, "etcd: a request can always be encoded"))
	}
	urlIndex := s.urlIndex.Load()
	url := s.urls[int(urlIndex)%len(s.urls)] + path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "etcd")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("User-Agent", s.userAgent)
	response, err := s.client.Do(r)
	if err != nil {
		s.urlIndex.CompareAndSwap(urlIndex, urlIndex+1)
		return nil, transportError(err, write)
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusInternalServerError {
		s.urlIndex.CompareAndSwap(urlIndex, urlIndex+1)
	}
	return nil, statusError(response, write)
}

// transportError classifies the failure of a request without a response: a write may have
// taken effect unless the connection could not be established.
func transportError(err error, write bool) error {
	var opErr *net.OpError
	connected := !errors.As(err, &opErr) || opErr.Op != "dial"
	if write && connected {
		return errors.Wrap(store.ErrResponseLost, err.Error())
	}
	return errors.Wrap(store.ErrUnavailable, err.Error())
}

func statusError(response *http.Response, write bool) error {
	var errorBody wire.Error
	body, err := io.ReadAll(io.LimitReader(response.Body, store.MaxValueBytes))
	if err == nil {
		err = json.Unmarshal(body, &errorBody)
	}
	if err != nil {
		errorBody.Message = response.Status
	}
	switch {
	case errorBody.Code == wire.CodeNotFound && errorBody.Message == wire.MessageLeaseNotFound:
		return errors.Wrap(store.ErrLeaseGone, errorBody.Message)
	case errorBody.Code == wire.CodeInvalidArgument:
		return errors.Wrap(store.ErrRefused, errorBody.Message)
	case errorBody.Message == wire.MessageNoLeader || errorBody.Code == wire.CodeResourceExhausted:
		return errors.Wrap(store.ErrUnavailable, errorBody.Message)
	case write:
		return errors.Wrap(store.ErrResponseLost, errorBody.Message)
	}
	return errors.Wrap(store.ErrUnavailable, errorBody.Message)
}

// call sends one request and decodes the first message of the response.
func (s *Store) call(ctx context.Context, path string, request, response any, write bool) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	body, err := s.post(ctx, path, request, write)
	if err != nil {
		return err
	}
	defer body.Close()
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(response); err != nil {
		return transportError(err, write)
	}
	discardRest(body)
	return nil
}

// discardRest reads the rest of a response, so that the connection can be reused.
func discardRest(body io.Reader) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, store.MaxValueBytes))
}

// Range implements store.Store.
func (s *Store) Range(ctx context.Context, from, to string, limit int) (store.Page, error) {
	request := wire.RangeRequest{Key: []byte(from), RangeEnd: []byte(to), Limit: int64(limit)}
	var response wire.RangeResponse
	if err := s.call(ctx, wire.PathRange, request, &response, false); err != nil {
		return store.Page{}, err
	}
	page := store.Page{Revision: store.Revision(response.Header.Revision), More: response.More}
	for _, kv := range response.Kvs {
		page.KeyValues = append(page.KeyValues, keyValue(kv))
	}
	return page, nil
}

func keyValue(kv wire.KeyValue) store.KeyValue {
	return store.KeyValue{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: store.Revision(kv.CreateRevision),
		ModRevision:    store.Revision(kv.ModRevision),
		Lease:          store.LeaseID(kv.Lease),
	}
}

// Txn implements store.Store.
func (s *Store) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	request := wire.TxnRequest{Success: requestOps(txn.Then), Failure: requestOps(txn.Else)}
	for _, c := range txn.If {
		request.Compare = append(request.Compare, wire.Compare{
			Result:      wire.ResultEqual,
			Target:      wire.TargetMod,
			Key:         []byte(c.Key),
			ModRevision: int64(c.ModRevision),
		})
	}
	var response wire.TxnResponse
	if err := s.call(ctx, wire.PathTxn, request, &response, txn.Writes()); err != nil {
		return store.TxnResult{}, err
	}
	result := store.TxnResult{Succeeded: response.Succeeded, Revision: store.Revision(response.Header.Revision)}
	for _, op := range response.Responses {
		if op.Range != nil {
			result.Gets = append(result.Gets, firstOrNil(op.Range.Kvs))
		}
	}
	return result, nil
}

func firstOrNil(kvs []wire.KeyValue) *store.KeyValue {
	if len(kvs) == 0 {
		return nil
	}
	kv := keyValue(kvs[0])
	return &kv
}

func requestOps(ops []store.Op) []wire.RequestOp {
	wireOps := make([]wire.RequestOp, len(ops))
	for i, op := range ops {
		switch {
		case op.Put != nil:
			put := wire.PutRequest{Key: []byte(op.Put.Key), Value: op.Put.Value, Lease: int64(op.Put.Lease)}
			wireOps[i].Put = &put
		case op.Delete != "":
			wireOps[i].DeleteRange = &wire.DeleteRangeRequest{Key: []byte(op.Delete)}
		default:
			wireOps[i].Range = &wire.RangeRequest{Key: []byte(op.Get)}
		}
	}
	return wireOps
}

// Grant implements store.Store. The service counts in whole seconds, so ttl is rounded up.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	request := wire.LeaseRequest{TTL: int64((ttl + time.Second - 1) / time.Second)}
	var response wire.LeaseResponse
	err := s.call(ctx, wire.PathGrant, request, &response, true)
	return store.LeaseID(response.ID), err
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	var response wire.StreamedLease
	err := s.call(ctx, wire.PathKeepAlive, wire.LeaseRequest{ID: int64(lease)}, &response, true)
	if err == nil && response.Result.TTL == 0 {
		return errors.Wrapf(store.ErrLeaseGone, "lease %d", lease)
	}
	return err
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, lease store.LeaseID) error {
	var response wire.HeaderOnly
	return s.call(ctx, wire.PathRevoke, wire.LeaseRequest{ID: int64(lease)}, &response, true)
}
