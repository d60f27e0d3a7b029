package ownership

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/chart"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/view"
)

// maxAttempts limits how often take, after a lost response, and deleteOwner, after any
// error, attempt their transaction in a row. Later calls of reconcile try take again.
const maxAttempts = 3

// zoneRecord is what the store holds about a zone's ownership.
type zoneRecord struct {
	// owner is nil when no host owns the zone; ownerKey has its revision and lease.
	owner    *view.Owner
	ownerKey *store.KeyValue
	// epoch is the last epoch, 0 before the first.
	epoch    model.Epoch
	epochKey *store.KeyValue
}

func (e *Elector) txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, e.Clock, txnTimeout)
	defer cancel()
	return e.Store.Txn(ctx, txn)
}

func (e *Elector) readRecord(ctx context.Context, zone model.AvailabilityZoneID) (zoneRecord, error) {
	result, err := e.txn(ctx, store.Txn{Then: []store.Op{{Get: store.OwnerKey(zone)}, {Get: store.EpochKey(zone)}}})
	if err != nil {
		return zoneRecord{}, err
	}
	return decodeRecord(result.Gets[0], result.Gets[1])
}

func decodeRecord(ownerKey, epochKey *store.KeyValue) (zoneRecord, error) {
	r := zoneRecord{ownerKey: ownerKey, epochKey: epochKey}
	if ownerKey != nil {
		r.owner = &view.Owner{}
		if err := json.Unmarshal(ownerKey.Value, r.owner); err != nil {
			return zoneRecord{}, errors.Wrap(err, "owner")
		}
	}
	if epochKey != nil {
		epoch, err := strconv.ParseUint(string(epochKey.Value), 10, 64)
		if err != nil {
			return zoneRecord{}, errors.Wrap(err, "epoch")
		}
		r.epoch = model.Epoch(epoch)
	}
	return r, nil
}

// unchanged returns the conditions that neither key has been written since it was read.
func (r zoneRecord) unchanged(zone model.AvailabilityZoneID) []store.Compare {
	conditions := []store.Compare{store.Absent(store.OwnerKey(zone)), store.Absent(store.EpochKey(zone))}
	if r.ownerKey != nil {
		conditions[0].ModRevision = r.ownerKey.ModRevision
	}
	if r.epochKey != nil {
		conditions[1].ModRevision = r.epochKey.ModRevision
	}
	return conditions
}

// take raises the epoch and writes this host as the owner in one transaction. Each
// attempt reads first, so that a write whose response was lost is found and not repeated.
func (e *Elector) take(ctx context.Context, zone model.AvailabilityZoneID) {
	for range maxAttempts {
		r, err := e.readRecord(ctx, zone)
		if err != nil {
			return
		}
		lease, usable := e.session.Lease()
		switch {
		case !usable:
			return
		case r.owner != nil && e.isUnacknowledgedWrite(*r.owner) && r.ownerKey.Lease == lease:
			e.recordTaken(zone, &ownedZone{epoch: r.owner.Epoch, lease: lease, revision: r.ownerKey.ModRevision})
			return
		case r.owner != nil && r.owner.Host != e.Member.Host:
			return
		}
		epoch := r.epoch + 1
		e.announce(ctx, zone, epoch, false)
		result, err := e.txn(ctx, store.Txn{
			If: r.unchanged(zone),
			Then: []store.Op{
				{Put: &store.Put{Key: store.EpochKey(zone), Value: strconv.AppendUint(nil, uint64(epoch), 10)}},
				{Put: e.ownerPut(zone, epoch, lease)},
			},
		})
		switch {
		case err == nil && result.Succeeded:
			e.recordTaken(zone, &ownedZone{epoch: epoch, lease: lease, revision: result.Revision})
			return
		case !errors.Is(err, store.ErrResponseLost):
			e.announce(ctx, zone, epoch, true)
			return
		}
		e.Events.Record(event.StoreResponseLost, e.subject(zone), epochDetail(epoch))
	}
}

// announce notifies the host's admin process of an epoch that is about to be written, or
// that its write had no effect.
func (e *Elector) announce(ctx context.Context, zone model.AvailabilityZoneID, epoch model.Epoch, withdrawn bool) {
	if e.Announce == nil {
		return
	}
	if err := e.Announce(ctx, zone, epoch, withdrawn); err != nil {
		e.Events.Record(event.EpochNotAnnounced, e.subject(zone), epochDetail(epoch)+": "+err.Error())
	}
}

// isUnacknowledgedWrite reports whether this process wrote owner in a transaction whose
// response was lost.
func (e *Elector) isUnacknowledgedWrite(owner view.Owner) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return owner.Incarnation == e.Member.Incarnation && owner.Epoch > e.highestEpochs[owner.Zone]
}

func (e *Elector) ownerPut(zone model.AvailabilityZoneID, epoch model.Epoch, lease store.LeaseID) *store.Put {
	owner := view.Owner{
		Zone:             zone,
		Host:             e.Member.Host,
		SchedulerAddress: e.Member.SchedulerAddress,
		Epoch:            epoch,
		Incarnation:      e.Member.Incarnation,
	}
	value, err := json.Marshal(owner)
	if err != nil {
		panic(errors.Wrap(err, "ownership: an owner can always be encoded"))
	}
	return &store.Put{Key: store.OwnerKey(zone), Value: value, Lease: lease}
}

// recordTaken records the ownership and notifies the handler.
func (e *Elector) recordTaken(zone model.AvailabilityZoneID, owned *ownedZone) {
	owned.stateMachine = chart.Load("ownership").New()
	owned.stateMachine.Fire("take")
	e.mu.Lock()
	if last := e.highestEpochs[zone]; owned.epoch <= last {
		panic(fmt.Sprintf("ownership: broken invariant: zone %s taken at epoch %d after %d", zone, owned.epoch, last))
	}
	e.highestEpochs[zone] = owned.epoch
	e.ownedZones[zone] = owned
	e.mu.Unlock()
	delete(e.vacancies, zone)
	e.metrics.taken.Inc()
	e.Events.Record(event.OwnershipTaken, e.subject(zone), epochDetail(owned.epoch))
	e.Handler.Take(zone, owned.epoch)
}

// renewOwner rewrites the owner key, under a new lease and the same epoch, after the old
// lease has expired. An unchanged epoch key proves that no other host has owned the zone
// meanwhile.
func (e *Elector) renewOwner(ctx context.Context, zone model.AvailabilityZoneID, owned *ownedZone, lease store.LeaseID) {
	r, err := e.readRecord(ctx, zone)
	if err != nil {
		return
	}
	switch {
	case r.epoch > owned.epoch:
		e.lose(zone)
		return
	case r.owner != nil && r.ownerKey.Lease == lease:
		e.recordRenewed(owned, lease, r.ownerKey.ModRevision)
		return
	}
	result, err := e.txn(ctx, store.Txn{
		If:   r.unchanged(zone),
		Then: []store.Op{{Put: e.ownerPut(zone, owned.epoch, lease)}},
	})
	if err == nil && result.Succeeded {
		e.recordRenewed(owned, lease, result.Revision)
	}
}

func (e *Elector) recordRenewed(owned *ownedZone, lease store.LeaseID, revision store.Revision) {
	e.mu.Lock()
	owned.lease = lease
	owned.revision = revision
	e.mu.Unlock()
	e.fire(owned, "renew")
}

// deleteOwner deletes the owner key unless it has changed. Repeating the delete after a
// lost response is safe, since the key's revision is compared.
func (e *Elector) deleteOwner(ctx context.Context, zone model.AvailabilityZoneID, owned *ownedZone) error {
	var err error
	for range maxAttempts {
		_, err = e.txn(ctx, store.Txn{
			If:   []store.Compare{store.Unchanged(store.OwnerKey(zone), owned.revision)},
			Then: []store.Op{{Delete: store.OwnerKey(zone)}},
		})
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return err
}

func epochDetail(epoch model.Epoch) string { return fmt.Sprintf("epoch %d", epoch) }
