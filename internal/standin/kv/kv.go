// Package kv is a stand-in (fake) of the platform's key-value service: an HTTP server for
// the subset of etcd v3's JSON mapping that chervilrun uses, backed by an in-memory store,
// with fault injection.
package kv

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/etcd/wire"
	"github.com/chervilrun/chervilrun/internal/store/memory"
)

// maxRequestBytes is the service's limit for request bodies: 1.5 MiB, as etcd's default.
const maxRequestBytes = 3 << 19

// Server serves an in-memory store. It is safe for concurrent use.
type Server struct {
	store *memory.Store
	mux   *http.ServeMux

	mu      sync.Mutex
	clients map[string]*memory.Client
	// faults holds the faults that are limited to some clients, by User-Agent prefix.
	faults map[string]memory.Faults
	// frozen holds, by User-Agent prefix, a channel that is closed when the freeze ends.
	frozen map[string]chan struct{}
}

// NewServer returns a server backed by s.
func NewServer(s *memory.Store) *Server {
	k := &Server{
		store:   s,
		mux:     http.NewServeMux(),
		clients: map[string]*memory.Client{},
		faults:  map[string]memory.Faults{},
		frozen:  map[string]chan struct{}{},
	}
	handle(k, wire.PathRange, k.serveRange)
	handle(k, wire.PathTxn, k.serveTxn)
	handle(k, wire.PathGrant, k.serveGrant)
	handle(k, wire.PathKeepAlive, k.serveKeepAlive)
	handle(k, wire.PathRevoke, k.serveRevoke)
	k.mux.HandleFunc("POST "+wire.PathWatch, k.serveWatch)
	k.mux.HandleFunc("POST "+PathFault, k.serveFault)
	return k
}

// ServeHTTP implements http.Handler.
func (k *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { k.mux.ServeHTTP(w, r) }

// client returns the store client of a request's sender. Senders are distinguished by
// their User-Agent, so that faults can be limited to some.
func (k *Server) client(r *http.Request) *memory.Client { return k.clientNamed(r.UserAgent()) }

func (k *Server) clientNamed(name string) *memory.Client {
	k.mu.Lock()
	defer k.mu.Unlock()
	client, known := k.clients[name]
	if known {
		return client
	}
	client = k.store.Client()
	k.clients[name] = client
	for prefix, faults := range k.faults {
		if strings.HasPrefix(name, prefix) {
			client.SetFaults(faults)
		}
	}
	return client
}

// handle registers a call with one request and one response message.
func handle[Request, Response any](k *Server, path string, serve func(*http.Request, Request) (Response, error)) {
	k.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		if !k.awaitUnfrozen(r) {
			return
		}
		var request Request
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&request); err != nil {
			sendError(w, http.StatusBadRequest, wire.CodeInvalidArgument, err.Error())
			return
		}
		response, err := serve(r, request)
		if err != nil {
			sendStoreError(w, err)
			return
		}
		sendJSON(w, response)
	})
}

func sendJSON(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(message)
}

func sendError(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wire.Error{Error: message, Code: code, Message: message})
}

func sendStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrResponseLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrUnavailable):
		sendError(w, http.StatusServiceUnavailable, wire.CodeUnavailable, wire.MessageNoLeader)
	case errors.Is(err, store.ErrLeaseGone):
		sendError(w, http.StatusNotFound, wire.CodeNotFound, wire.MessageLeaseNotFound)
	case errors.Is(err, memory.ErrTooManyOps):
		sendError(w, http.StatusBadRequest, wire.CodeInvalidArgument, wire.MessageTooManyOps)
	case errors.Is(err, memory.ErrTooLarge):
		sendError(w, http.StatusBadRequest, wire.CodeInvalidArgument, wire.MessageTooLarge)
	case errors.Is(err, memory.ErrDuplicateKey):
		sendError(w, http.StatusBadRequest, wire.CodeInvalidArgument, wire.MessageDuplicateKey)
	default:
		sendError(w, http.StatusInternalServerError, wire.CodeUnavailable, err.Error())
	}
}

func (k *Server) serveRange(r *http.Request, request wire.RangeRequest) (wire.RangeResponse, error) {
	to := string(request.RangeEnd)
	if to == "" {
		to = string(request.Key) + "\x00"
	}
	page, err := k.client(r).Range(r.Context(), string(request.Key), to, int(request.Limit))
	if err != nil {
		return wire.RangeResponse{}, err
	}
	response := wire.RangeResponse{
		Header: wire.Header{Revision: int64(page.Revision)},
		More:   page.More,
		Count:  int64(len(page.KeyValues)),
	}
	for _, kv := range page.KeyValues {
		response.Kvs = append(response.Kvs, wireKeyValue(kv))
	}
	return response, nil
}

func wireKeyValue(kv store.KeyValue) wire.KeyValue {
	return wire.KeyValue{
		Key:            []byte(kv.Key),
		Value:          kv.Value,
		CreateRevision: int64(kv.CreateRevision),
		ModRevision:    int64(kv.ModRevision),
		Lease:          int64(kv.Lease),
	}
}

func (k *Server) serveTxn(r *http.Request, request wire.TxnRequest) (wire.TxnResponse, error) {
	txn := store.Txn{Then: storeOps(request.Success), Else: storeOps(request.Failure)}
	for _, c := range request.Compare {
		txn.If = append(txn.If, store.Compare{Key: string(c.Key), ModRevision: store.Revision(c.ModRevision)})
	}
	result, err := k.client(r).Txn(r.Context(), txn)
	if err != nil {
		return wire.TxnResponse{}, err
	}
	branch := request.Success
	if !result.Succeeded {
		branch = request.Failure
	}
	header := wire.Header{Revision: int64(result.Revision)}
	response := wire.TxnResponse{Header: header, Succeeded: result.Succeeded}
	for _, op := range branch {
		response.Responses = append(response.Responses, responseOp(op, header, &result.Gets))
	}
	return response, nil
}

func storeOps(requests []wire.RequestOp) []store.Op {
	converted := make([]store.Op, len(requests))
	for i, request := range requests {
		switch {
		case request.Put != nil:
			put := store.Put{Key: string(request.Put.Key), Value: request.Put.Value, Lease: store.LeaseID(request.Put.Lease)}
			converted[i].Put = &put
		case request.DeleteRange != nil:
			converted[i].Delete = string(request.DeleteRange.Key)
		case request.Range != nil:
			converted[i].Get = string(request.Range.Key)
		}
	}
	return converted
}

// responseOp builds the response of one operation. For a range, it removes the first
// element of gets, which is its result.
func responseOp(op wire.RequestOp, header wire.Header, gets *[]*store.KeyValue) wire.ResponseOp {
	switch {
	case op.Put != nil:
		return wire.ResponseOp{Put: &wire.HeaderOnly{Header: header}}
	case op.DeleteRange != nil:
		return wire.ResponseOp{DeleteRange: &wire.HeaderOnly{Header: header}}
	}
	response := &wire.RangeResponse{Header: header}
	if kv := (*gets)[0]; kv != nil {
		response.Kvs = []wire.KeyValue{wireKeyValue(*kv)}
		response.Count = 1
	}
	*gets = (*gets)[1:]
	return wire.ResponseOp{Range: response}
}

func (k *Server) header() wire.Header {
	return wire.Header{Revision: int64(k.store.Revision())}
}

func (k *Server) serveGrant(r *http.Request, request wire.LeaseRequest) (wire.LeaseResponse, error) {
	id, err := k.client(r).Grant(r.Context(), time.Duration(request.TTL)*time.Second)
	return wire.LeaseResponse{Header: k.header(), ID: int64(id), TTL: request.TTL}, err
}

func (k *Server) serveKeepAlive(r *http.Request, request wire.LeaseRequest) (wire.StreamedLease, error) {
	err := k.client(r).KeepAlive(r.Context(), store.LeaseID(request.ID))
	response := wire.LeaseResponse{Header: k.header(), ID: request.ID, TTL: 1}
	if errors.Is(err, store.ErrLeaseGone) {
		response.TTL = 0
		err = nil
	}
	return wire.StreamedLease{Result: response}, err
}

func (k *Server) serveRevoke(r *http.Request, request wire.LeaseRequest) (wire.HeaderOnly, error) {
	err := k.client(r).Revoke(r.Context(), store.LeaseID(request.ID))
	return wire.HeaderOnly{Header: k.header()}, err
}
