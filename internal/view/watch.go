package view

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store"
)

// watchLoop reads all keys under store.WatchedPrefix and watches them. When the watch ends,
// for example by compaction, it reads them again.
func (s *Syncer) watchLoop(ctx context.Context) {
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		start := s.Clock.Now()
		err := s.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		s.metrics.watchBreaks.Inc()
		s.noteStoreFailure(err)
		backoff = min(2*backoff, maxWatchBackoff)
		if s.Clock.Since(start) > maxWatchBackoff {
			backoff = minWatchBackoff
		}
		s.waitWithJitter(ctx, backoff)
	}
}

// waitWithJitter waits for a random time between half of wait and wait.
func (s *Syncer) waitWithJitter(ctx context.Context, wait time.Duration) {
	s.mu.Lock()
	wait = wait/2 + time.Duration(s.random.Int64N(int64(wait/2)))
	s.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-s.Clock.After(wait):
	}
}

func (s *Syncer) watchOnce(ctx context.Context) error {
	page, err := s.readFrom(ctx, store.WatchedPrefix)
	if err != nil {
		return err
	}
	watch, err := s.Store.Watch(ctx, store.WatchedPrefix, page.Revision+1)
	if err != nil {
		return err
	}
	for batch := range watch.Batches() {
		s.applyBatch(batch)
	}
	return watch.Err()
}

// readFrom reads and applies all watched keys from the given one onwards.
func (s *Syncer) readFrom(ctx context.Context, from string) (store.Page, error) {
	timeoutCtx, cancel := clockwork.WithTimeout(ctx, s.Clock, confirmTimeout)
	defer cancel()
	sent := s.Clock.Now()
	page, err := s.Store.Range(timeoutCtx, from, store.PrefixEnd(store.WatchedPrefix), 0)
	if err != nil {
		return page, err
	}
	s.noteStoreSuccess()
	s.applySnapshot(page, sent)
	return page, nil
}

// resync reads epochs, members and owners. The configuration is left out, as its key sorts
// before theirs.
func (s *Syncer) resync(ctx context.Context) {
	if _, err := s.readFrom(ctx, store.EpochsPrefix); err != nil {
		s.noteStoreFailure(err)
	}
}

// storeState collects the values of a snapshot or the changes of a batch.
type storeState struct {
	members map[model.HostID]Member
	owners  map[model.AvailabilityZoneID]Owner
	epochs  map[model.AvailabilityZoneID]model.Epoch
}

func (s *Syncer) applySnapshot(page store.Page, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := storeState{members: map[model.HostID]Member{}, owners: map[model.AvailabilityZoneID]Owner{}, epochs: s.Current().Epochs}
	for _, kv := range page.KeyValues {
		s.applyKey(&state, store.Change{KeyValue: kv})
	}
	if page.Revision < s.appliedRevision {
		return
	}
	s.appliedRevision = page.Revision
	s.loaded = true
	s.storeReadAt = later(s.storeReadAt, sent)
	s.publish(state)
}

func (s *Syncer) applyBatch(batch store.WatchBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Current()
	state := storeState{members: maps.Clone(s.members), owners: maps.Clone(current.Owners), epochs: current.Epochs}
	if state.owners == nil {
		state.owners = map[model.AvailabilityZoneID]Owner{}
	}
	appliedBefore := s.appliedRevision
	for _, change := range batch.Changes {
		if change.ModRevision > appliedBefore || change.Key == store.ConfigKey {
			s.applyKey(&state, change)
		}
		s.appliedRevision = max(s.appliedRevision, change.ModRevision)
	}
	s.publish(state)
}

// applyKey applies one key to state, or applies a configuration. The caller holds s.mu.
func (s *Syncer) applyKey(state *storeState, change store.Change) {
	key := change.Key
	var err error
	switch {
	case key == store.ConfigKey:
		err = s.applyConfigKey(change.KeyValue)
	case strings.HasPrefix(key, store.EpochsPrefix):
		err = s.applyEpochKey(state, change.KeyValue)
	case strings.HasPrefix(key, store.MembersPrefix):
		err = applyMember(state, change)
	case strings.HasPrefix(key, store.OwnersPrefix):
		err = applyOwner(state, change)
	}
	if err != nil {
		s.Events.Record(event.ConfigRefused, s.subject(), "key "+key+": "+err.Error())
	}
}

// applyConfigKey records the revision only of a value that is applied here, so that an
// invalid value is never confirmed.
func (s *Syncer) applyConfigKey(kv store.KeyValue) error {
	stored, err := config.Decode(kv.Value)
	if err != nil {
		return err
	}
	if s.applyConfig(stored) {
		s.revisions[store.ConfigKey] = max(s.revisions[store.ConfigKey], kv.ModRevision)
	}
	return nil
}

func (s *Syncer) applyEpochKey(state *storeState, kv store.KeyValue) error {
	zone := model.AvailabilityZoneID(strings.TrimPrefix(kv.Key, store.EpochsPrefix))
	epoch, err := strconv.ParseUint(string(kv.Value), 10, 64)
	if err != nil {
		return errors.Wrap(err, "epoch")
	}
	state.epochs, _ = raiseEpoch(state.epochs, zone, model.Epoch(epoch))
	s.revisions[kv.Key] = max(s.revisions[kv.Key], kv.ModRevision)
	return nil
}

func applyMember(state *storeState, change store.Change) error {
	host := model.HostID(strings.TrimPrefix(change.Key, store.MembersPrefix))
	delete(state.members, host)
	if change.Deleted {
		return nil
	}
	var member Member
	if err := json.Unmarshal(change.Value, &member); err != nil {
		return errors.Wrap(err, "member")
	}
	state.members[host] = member
	return nil
}

func applyOwner(state *storeState, change store.Change) error {
	zone := model.AvailabilityZoneID(strings.TrimPrefix(change.Key, store.OwnersPrefix))
	delete(state.owners, zone)
	if change.Deleted {
		return nil
	}
	var owner Owner
	if err := json.Unmarshal(change.Value, &owner); err != nil {
		return errors.Wrap(err, "owner")
	}
	state.owners[zone] = owner
	return nil
}

// publish updates the view with state. Epochs received from peers in the meantime are kept.
// The caller holds s.mu.
func (s *Syncer) publish(state storeState) {
	s.members = state.members
	members := sortedMembers(state.members)
	s.update(func(next *View) bool {
		epochs := raiseEpochs(next.Epochs, state.epochs)
		unchanged := slices.Equal(members, next.Members) &&
			maps.Equal(currentOwners(state.owners, epochs), next.Owners) &&
			maps.Equal(epochs, next.Epochs)
		next.Members = members
		next.Owners = state.owners
		next.Epochs = epochs
		return !unchanged
	})
	s.peers.setMembers(members)
}

func sortedMembers(members map[model.HostID]Member) []Member {
	var sorted []Member
	for _, host := range slices.Sorted(maps.Keys(members)) {
		sorted = append(sorted, members[host])
	}
	return sorted
}
