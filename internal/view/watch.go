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
func (k *Syncer) watchLoop(ctx context.Context) {
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		start := k.Clock.Now()
		err := k.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		k.metrics.watchBreaks.Inc()
		k.noteStoreFailure(err)
		backoff = min(2*backoff, maxWatchBackoff)
		if k.Clock.Since(start) > maxWatchBackoff {
			backoff = minWatchBackoff
		}
		k.waitWithJitter(ctx, backoff)
	}
}

// waitWithJitter waits for a random time between half of wait and wait.
func (k *Syncer) waitWithJitter(ctx context.Context, wait time.Duration) {
	k.mu.Lock()
	wait = wait/2 + time.Duration(k.random.Int64N(int64(wait/2)))
	k.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-k.Clock.After(wait):
	}
}

func (k *Syncer) watchOnce(ctx context.Context) error {
	page, err := k.readFrom(ctx, store.WatchedPrefix)
	if err != nil {
		return err
	}
	watch, err := k.Store.Watch(ctx, store.WatchedPrefix, page.Revision+1)
	if err != nil {
		return err
	}
	for batch := range watch.Batches() {
		k.applyBatch(batch)
	}
	return watch.Err()
}

// readFrom reads and applies all watched keys from the given one onwards.
func (k *Syncer) readFrom(ctx context.Context, from string) (store.Page, error) {
	timeoutCtx, cancel := clockwork.WithTimeout(ctx, k.Clock, confirmTimeout)
	defer cancel()
	sent := k.Clock.Now()
	page, err := k.Store.Range(timeoutCtx, from, store.PrefixEnd(store.WatchedPrefix), 0)
	if err != nil {
		return page, err
	}
	k.noteStoreSuccess()
	k.applySnapshot(page, sent)
	return page, nil
}

// resync reads epochs, members and owners. The configuration is left out, as its key sorts
// before theirs.
func (k *Syncer) resync(ctx context.Context) {
	if _, err := k.readFrom(ctx, store.EpochsPrefix); err != nil {
		k.noteStoreFailure(err)
	}
}

// storeState collects the values of a snapshot or the changes of a batch.
type storeState struct {
	members map[model.HostID]Member
	owners  map[model.AvailabilityZoneID]Owner
	epochs  map[model.AvailabilityZoneID]model.Epoch
}

func (k *Syncer) applySnapshot(page store.Page, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := storeState{members: map[model.HostID]Member{}, owners: map[model.AvailabilityZoneID]Owner{}, epochs: k.Current().Epochs}
	for _, kv := range page.KeyValues {
		k.applyKey(&s, store.Change{KeyValue: kv})
	}
	if page.Revision < k.appliedRevision {
		return
	}
	k.appliedRevision = page.Revision
	k.loaded = true
	k.storeReadAt = later(k.storeReadAt, sent)
	k.publish(s)
}

func (k *Syncer) applyBatch(batch store.WatchBatch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	current := k.Current()
	s := storeState{members: maps.Clone(k.members), owners: maps.Clone(current.Owners), epochs: current.Epochs}
	if s.owners == nil {
		s.owners = map[model.AvailabilityZoneID]Owner{}
	}
	appliedBefore := k.appliedRevision
	for _, change := range batch.Changes {
		if change.ModRevision > appliedBefore || change.Key == store.ConfigKey {
			k.applyKey(&s, change)
		}
		k.appliedRevision = max(k.appliedRevision, change.ModRevision)
	}
	k.publish(s)
}

// applyKey applies one key to s, or applies a configuration. The caller holds k.mu.
func (k *Syncer) applyKey(s *storeState, change store.Change) {
	key := change.Key
	var err error
	switch {
	case key == store.ConfigKey:
		err = k.applyConfigKey(change.KeyValue)
	case strings.HasPrefix(key, store.EpochsPrefix):
		err = k.applyEpochKey(s, change.KeyValue)
	case strings.HasPrefix(key, store.MembersPrefix):
		err = applyMember(s, change)
	case strings.HasPrefix(key, store.OwnersPrefix):
		err = applyOwner(s, change)
	}
	if err != nil {
		k.Events.Record(event.ConfigRefused, k.subject(), "key "+key+": "+err.Error())
	}
}

// applyConfigKey records the revision only of a value that is applied here, so that an
// invalid value is never confirmed.
func (k *Syncer) applyConfigKey(kv store.KeyValue) error {
	stored, err := config.Decode(kv.Value)
	if err != nil {
		return err
	}
	if k.applyConfig(stored) {
		k.revisions[store.ConfigKey] = max(k.revisions[store.ConfigKey], kv.ModRevision)
	}
	return nil
}

func (k *Syncer) applyEpochKey(s *storeState, kv store.KeyValue) error {
	zone := model.AvailabilityZoneID(strings.TrimPrefix(kv.Key, store.EpochsPrefix))
	epoch, err := strconv.ParseUint(string(kv.Value), 10, 64)
	if err != nil {
		return errors.Wrap(err, "epoch")
	}
	s.epochs, _ = raiseEpoch(s.epochs, zone, model.Epoch(epoch))
	k.revisions[kv.Key] = max(k.revisions[kv.Key], kv.ModRevision)
	return nil
}

func applyMember(s *storeState, change store.Change) error {
	host := model.HostID(strings.TrimPrefix(change.Key, store.MembersPrefix))
	delete(s.members, host)
	if change.Deleted {
		return nil
	}
	var member Member
	if err := json.Unmarshal(change.Value, &member); err != nil {
		return errors.Wrap(err, "member")
	}
	s.members[host] = member
	return nil
}

func applyOwner(s *storeState, change store.Change) error {
	zone := model.AvailabilityZoneID(strings.TrimPrefix(change.Key, store.OwnersPrefix))
	delete(s.owners, zone)
	if change.Deleted {
		return nil
	}
	var owner Owner
	if err := json.Unmarshal(change.Value, &owner); err != nil {
		return errors.Wrap(err, "owner")
	}
	s.owners[zone] = owner
	return nil
}

// publish updates the view with s. Epochs received from peers in the meantime are kept.
// The caller holds k.mu.
func (k *Syncer) publish(s storeState) {
	k.members = s.members
	members := sortedMembers(s.members)
	k.update(func(next *View) bool {
		epochs := raiseEpochs(next.Epochs, s.epochs)
		unchanged := slices.Equal(members, next.Members) &&
			maps.Equal(currentOwners(s.owners, epochs), next.Owners) &&
			maps.Equal(epochs, next.Epochs)
		next.Members = members
		next.Owners = s.owners
		next.Epochs = epochs
		return !unchanged
	})
	k.peers.setMembers(members)
}

func sortedMembers(members map[model.HostID]Member) []Member {
	var sorted []Member
	for _, host := range slices.Sorted(maps.Keys(members)) {
		sorted = append(sorted, members[host])
	}
	return sorted
}
