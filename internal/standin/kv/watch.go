package kv

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/etcd/wire"
)

// serveWatch streams the changes of a prefix until the client disconnects or the watch
// ends.
func (k *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	if !k.awaitUnfrozen(r) {
		return
	}
	var request wire.WatchRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&request); err != nil {
		sendError(w, http.StatusBadRequest, wire.CodeInvalidArgument, err.Error())
		return
	}
	prefix := string(request.Create.Key)
	if end := string(request.Create.RangeEnd); end != store.PrefixEnd(prefix) {
		sendError(w, http.StatusBadRequest, wire.CodeInvalidArgument, "the stand-in supports watches of whole prefixes only")
		return
	}
	watch, err := k.client(r).Watch(r.Context(), prefix, store.Revision(request.Create.StartRevision))
	switch {
	case errors.Is(err, store.ErrCompacted):
		result := wire.WatchResponse{Created: true, Canceled: true, CompactRevision: int64(k.store.Revision())}
		sendJSON(w, wire.StreamedWatch{Result: &result})
		return
	case err != nil:
		sendStoreError(w, err)
		return
	}
	k.stream(w, r, watch)
}

func (k *Server) stream(w http.ResponseWriter, r *http.Request, watch store.Watch) {
	created := true
	for batch := range watch.Batches() {
		if !k.awaitUnfrozen(r) {
			return
		}
		result := watchResponse(batch)
		result.Created = created
		created = false
		sendJSON(w, wire.StreamedWatch{Result: &result})
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
	if errors.Is(watch.Err(), store.ErrCompacted) {
		result := wire.WatchResponse{Canceled: true, CompactRevision: int64(k.store.Revision())}
		sendJSON(w, wire.StreamedWatch{Result: &result})
		return
	}
	panic(http.ErrAbortHandler)
}

func watchResponse(batch store.WatchBatch) wire.WatchResponse {
	response := wire.WatchResponse{Header: wire.Header{Revision: int64(batch.Revision)}}
	for _, change := range batch.Changes {
		e := wire.Event{Kv: wireKeyValue(change.KeyValue)}
		if change.Deleted {
			e.Type = wire.EventDelete
		}
		response.Events = append(response.Events, e)
	}
	return response
}

// awaitUnfrozen waits while the client is frozen. It returns false if the client
// disconnects.
func (k *Server) awaitUnfrozen(r *http.Request) bool {
	for {
		unfrozen := k.unfreezeSignal(r.UserAgent())
		if unfrozen == nil {
			return true
		}
		select {
		case <-unfrozen:
		case <-r.Context().Done():
			return false
		}
	}
}

// unfreezeSignal returns the channel that is closed when the freeze of the named client
// ends, or nil if it is not frozen.
func (k *Server) unfreezeSignal(name string) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	for prefix, unfrozen := range k.frozen {
		if strings.HasPrefix(name, prefix) {
			return unfrozen
		}
	}
	return nil
}
