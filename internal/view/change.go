package view

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/store"
)

// localChanges tracks changes to the configuration or to an epoch made by this host that
// its own view may not contain yet. While there are any, this host does not report
// to peers that it can't reach the store.
type localChanges struct {
	// pending counts changes whose outcome is not known.
	pending int
	// acceptedRevision is the highest revision of a successful write of this host.
	acceptedRevision store.Revision
	// responseLostAt is when the last response to a write was lost. If the write took effect,
	// any confirmation by the store requested after that has brought it into the view.
	responseLostAt time.Time
	// announcedEpochs holds the epochs that the host's scheduler has written or may still write.
	announcedEpochs map[model.AvailabilityZoneID]announcement
}

// announcement is an epoch that the scheduler announced before writing it.
type announcement struct {
	epoch       model.Epoch
	announcedAt time.Time
}

// announcedWriteLimit is the time after which an announced write has ended; no write of a
// scheduler takes as long.
const announcedWriteLimit = 10 * time.Second

// mayBeMissing reports whether a change may be missing from a view with these epochs and the
// configuration of the given revision.
func (c *localChanges) mayBeMissing(configRevision store.Revision, epochs map[model.AvailabilityZoneID]model.Epoch) bool {
	for zone, a := range c.announcedEpochs {
		if epochs[zone] < a.epoch {
			return true
		}
	}
	return c.pending > 0 || c.acceptedRevision > configRevision || !c.responseLostAt.IsZero()
}

// applyConfirmation applies a confirmation by the store that was requested at the given time.
func (c *localChanges) applyConfirmation(sent time.Time) {
	if sent.After(c.responseLostAt) {
		c.responseLostAt = time.Time{}
	}
	maps.DeleteFunc(c.announcedEpochs, func(_ model.AvailabilityZoneID, a announcement) bool {
		return sent.Sub(a.announcedAt) > announcedWriteLimit
	})
}

// Announce implements rpc.Relay for this host's scheduler.
func (s *Syncer) Announce(_ context.Context, request *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	zone := model.AvailabilityZoneID(request.GetZone())
	epoch := model.Epoch(request.GetEpoch())
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !request.GetWithdrawn():
		s.localChanges.announcedEpochs[zone] = announcement{epoch: epoch, announcedAt: s.Clock.Now()}
	case s.localChanges.announcedEpochs[zone].epoch == epoch:
		delete(s.localChanges.announcedEpochs, zone)
	}
	return &rpc.AnnounceResponse{}, nil
}

// BeginChange must be called before a change of the configuration, and done once the
// outcome is final.
func (s *Syncer) BeginChange() (done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.localChanges.pending++
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.localChanges.pending--
	})
}

// TrackWrites returns a store that tracks writes which may have taken effect. All configurations
// must be written through it.
func (s *Syncer) TrackWrites(inner store.Store) store.Store { return &trackedStore{inner, s} }

type trackedStore struct {
	store.Store
	syncer *Syncer
}

// Txn implements store.Store.
func (t *trackedStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if !txn.Writes() {
		return t.Store.Txn(ctx, txn)
	}
	done := t.syncer.BeginChange()
	defer done()
	result, err := t.Store.Txn(ctx, txn)
	switch {
	case err == nil && result.Succeeded:
		t.syncer.recordAccepted(result.Revision)
	case errors.Is(err, store.ErrResponseLost):
		t.syncer.recordResponseLost()
	}
	return result, err
}

func (s *Syncer) recordAccepted(revision store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.localChanges.acceptedRevision = max(s.localChanges.acceptedRevision, revision)
}

func (s *Syncer) recordResponseLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.localChanges.responseLostAt = s.Clock.Now()
}

// mayLackLocalChange reports whether the view may lack a change made by this host. The caller
// holds s.mu.
func (s *Syncer) mayLackLocalChange() bool {
	return s.localChanges.mayBeMissing(s.revisions[store.ConfigKey], s.Current().Epochs)
}
