package poolhost

import (
	"context"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// The owner learns of accepted and cancelled jobs by a watch on the store. A watch can be
// silent for seconds while writes succeed: its connection has died, or the store drops its
// history. So the host that has written a record also announces it to the owner. An
// announcement may be lost or late; the watch delivers every record in the end.

// maxAnnouncements limits the announcements in flight; further ones are left to the watch.
const maxAnnouncements = 32

// announce tells the owner of a record that this host has written. It does not block.
func (h *Host) announce(id model.JobID, record []byte, revision store.Revision) {
	select {
	case h.announcements <- struct{}{}:
	default:
		return
	}
	h.background(func() {
		defer func() { <-h.announcements }()
		queryOwner(h.ctx, h,
			func(t *term) *rpc.PoolInputResponse { return t.announced(id, record, revision) },
			func(ctx context.Context, owner rpc.Pool) (*rpc.PoolInputResponse, error) {
				return owner.Input(ctx, &rpc.PoolInputRequest{Job: string(id), Record: record, Revision: int64(revision)})
			})
	})
}

// Input implements rpc.Pool.
func (s *poolServer) Input(_ context.Context, request *rpc.PoolInputRequest) (*rpc.PoolInputResponse, error) {
	t := s.host.currentTerm()
	if t == nil {
		return &rpc.PoolInputResponse{}, nil
	}
	return t.announced(model.JobID(request.Job), request.Record, store.Revision(request.Revision)), nil
}

// announced passes an announced record to the pool.Owner, unless the watch has already
// delivered the store's state at its revision: an announcement that is late must not
// bring back a job that has ended and been removed since.
func (t *term) announced(id model.JobID, encoded []byte, revision store.Revision) *rpc.PoolInputResponse {
	response := &rpc.PoolInputResponse{Owner: t.isAuthoritative()}
	if !response.Owner {
		return response
	}
	var record *workflow.Record
	if len(encoded) > 0 {
		record = t.decodeJob(id, store.KeyValue{Key: store.PoolJobKey(id), Value: encoded, ModRevision: revision})
		if record == nil || record.ID != id {
			return response
		}
	}
	t.loop.Update(func(o *pool.Owner, now time.Time) {
		if revision <= t.inputRevision {
			return
		}
		_, _, known := o.Lookup(id)
		switch {
		case record == nil && known:
			// Cancellations are announced only of jobs whose organisation has asked for it.
			o.CancelJob(pool.Cancellation{Job: id}, now)
		case record != nil && !known:
			t.addJob(o, record, now)
			t.host.Events.RecordFields(event.JobAnnounced, event.Subject{Job: string(id)}, event.Fields{"revision": revision, "watched_revision": t.inputRevision})
		}
	})
	return response
}
