package harness2

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/chervilrun/chervilrun/internal/store"
)

// maxEvents limits the events in one response.
const maxEvents = 500

// serveWatch returns all events after a revision at once, as soon as there is one. The project's
// stand-in returns those of one revision in each response.
func (s *Switchboard) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait+1)*time.Millisecond)
	defer cancel()
	revision := max(after, int64(s.Inner.Memory.Revision()))
	watch, err := s.Inner.Memory.Watch(ctx, query.Get("prefix"), store.Revision(after+1))
	if err != nil {
		w.WriteHeader(http.StatusGone)
		return
	}
	events := []map[string]any{}
	take := func(batch store.WatchBatch) {
		for _, change := range batch.Changes {
			event := map[string]any{"key": change.Key, "rev": int64(change.ModRevision)}
			if change.Deleted {
				event["deleted"] = true
			} else {
				event["value"], event["createRevision"], event["lease"] = change.Value, int64(change.CreateRevision), int64(change.Lease)
			}
			events = append(events, event)
			revision = max(revision, int64(change.ModRevision))
		}
	}
	for len(events) == 0 {
		batch, open := <-watch.Batches()
		if !open {
			break
		}
		take(batch)
	}
	for more := len(events) > 0; more && len(events) < maxEvents; {
		select {
		case batch, open := <-watch.Batches():
			more = open
			take(batch)
		default:
			more = false
		}
	}
	if len(events) > 0 {
		revision = events[len(events)-1]["rev"].(int64)
	}
	if s.isSilent() {
		panic(http.ErrAbortHandler)
	}
	text, err := json.Marshal(map[string]any{"events": events, "currentRev": revision})
	Must(err)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}
