package pool

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store"
)

// upkeepID identifies the upkeep of a machine for a wave.
type upkeepID struct {
	wave    int
	machine MachineID
}

// key returns the store key of the record.
func (id upkeepID) key() string {
	return store.PoolUpkeepPrefix + strconv.Itoa(id.wave) + "/" + string(id.machine)
}

// parseUpkeepKey returns the upkeep whose record has the given key.
func parseUpkeepKey(key string) (upkeepID, error) {
	number, machine, ok := strings.Cut(strings.TrimPrefix(key, store.PoolUpkeepPrefix), "/")
	wave, err := strconv.Atoi(number)
	if err != nil || !ok {
		return upkeepID{}, errors.Errorf("%q is not the key of an upkeep", key)
	}
	return upkeepID{wave, MachineID(machine)}, nil
}

// upkeepRecord is what the next owner has to know of the upkeep of a machine. It is written
// before the first order is sent, so that a machine without a record has had no order.
type upkeepRecord struct {
	// PreviousWorker ran on the machine when the upkeep was decided on; empty if there was none.
	PreviousWorker model.WorkerID `json:"previous_worker,omitempty"`
	// Begun is true once the platform has confirmed an order.
	Begun bool `json:"begun,omitempty"`
	Done  bool `json:"done,omitempty"`
}

func (o *Owner) upkeepChanged(m *machineUpkeep) {
	m.version++
	o.upkeep.changed = append(o.upkeep.changed, m)
}

func (m *machineUpkeep) record() upkeepRecord {
	return upkeepRecord{PreviousWorker: m.previousWorker, Begun: !m.begunAt.IsZero(), Done: m.done}
}

// addUpkeep adds the record of an upkeep that an earlier owner has decided on.
func (o *Owner) addUpkeep(kv store.KeyValue) error {
	id, err := parseUpkeepKey(kv.Key)
	if err != nil {
		return err
	}
	var record upkeepRecord
	// Of a record that can't be read it is known that an order may have been sent.
	decodeErr := json.Unmarshal(kv.Value, &record)
	m := o.upkeepOf(id)
	m.ordered, m.maybeBegun, m.done = true, true, record.Done
	m.previousWorker = record.PreviousWorker
	if w, ok := o.workers.get(m.previousWorker); ok {
		w.upkeepOrdered = w.upkeepOrdered || !m.done
	}
	if record.Begun {
		m.begunAt = o.startedAt
	}
	// Two owners must not give orders for one machine within MachineOrderGap, whatever the wave. It
	// counts from when an order of the earlier owner can last arrive.
	o.upkeep.ordersFrom[id.machine] = o.startedAt.Add(o.timing.OrderPermission + machineTimeout + o.timing.MachineOrderGap)
	m.restore(kv.ModRevision)
	for _, w := range o.upkeep.waves {
		w.statusWritten = w.statusWritten || w.Number == id.wave
	}
	return errors.Wrap(decodeErr, "record of an upkeep")
}

// recordedMachines counts the machines of the wave that have a record.
func (w *wave) recordedMachines() int {
	count := 0
	for _, m := range w.machines {
		if m.revision != 0 {
			count++
		}
	}
	return count
}

// addUpkeepRecords adds the records of upkeeps that have changed to a transaction.
func (o *Owner) addUpkeepRecords(call *StoreCall) {
	u := &o.upkeep
	remaining := u.changed[:0:0]
	added := map[*machineUpkeep]bool{}
	for _, m := range u.changed {
		if m.isRecorded() || added[m] {
			continue
		}
		remaining = append(remaining, m)
		if len(call.recordWrites) == maxUpkeepRecords || m.refusals.suspected {
			continue
		}
		added[m] = true
		m.writeTo(call)
	}
	u.changed = remaining
}

// writeTo adds the record of the upkeep to a transaction.
func (m *machineUpkeep) writeTo(call *StoreCall) {
	call.writeRecord(&m.recordState, m.record(), m.writeTo)
}

// upkeepsRemoved forgets the upkeeps whose records a transaction has removed; values holds
// those that are still there if its conditions failed.
func (o *Owner) upkeepsRemoved(call *StoreCall, values map[string]*store.KeyValue) {
	for _, m := range call.upkeepRemovals {
		if values[m.key] == nil {
			delete(o.upkeep.history, m.id)
		}
	}
}

// markUnrequestedUpkeeps notes which upkeeps are part of no wave any more.
func (o *Owner) markUnrequestedUpkeeps() {
	requested := map[*machineUpkeep]bool{}
	for _, w := range o.upkeep.waves {
		for _, m := range w.machines {
			requested[m] = true
		}
	}
	for _, m := range o.upkeep.history {
		switch {
		case requested[m]:
			m.unrequestedSince = time.Time{}
		case m.unrequestedSince.IsZero():
			m.unrequestedSince = o.now
		}
	}
}

// removeUnrequestedUpkeeps adds the removal of records whose wave operators have removed long
// ago to a transaction.
func (o *Owner) removeUnrequestedUpkeeps(call *StoreCall) {
	for id, m := range o.upkeep.history {
		if m.unrequestedSince.IsZero() || o.now.Sub(m.unrequestedSince) < o.timing.Retention || !m.isRecorded() {
			continue
		}
		if m.revision == 0 {
			delete(o.upkeep.history, id)
			continue
		}
		if len(call.upkeepRemovals) == recordsPerTransaction {
			return
		}
		call.Txn.If = append(call.Txn.If, store.Unchanged(m.key, m.revision))
		call.Txn.Then = append(call.Txn.Then, store.Op{Delete: m.key})
		call.Txn.Else = append(call.Txn.Else, store.Op{Get: m.key})
		call.upkeepRemovals = append(call.upkeepRemovals, m)
	}
}

// waveStatusCall returns the transaction that writes the status of a wave, if one is due.
func (o *Owner) waveStatusCall() *StoreCall {
	if o.upkeep.status == nil {
		return nil
	}
	for _, w := range o.upkeep.waves {
		completed := w.completed() && w.allRecorded()
		if w.finished || w.statusWritten && !completed {
			continue
		}
		if o.now.Before(w.refusals.pausedUntil) {
			o.wakeAt(w.refusals.pausedUntil)
			continue
		}
		key, value := o.upkeep.status(w.Number, completed)
		call := &StoreCall{Txn: o.newTxn(), wave: w, waveCompleted: completed}
		call.Txn.If = append(call.Txn.If, store.Unchanged(key, w.revision))
		call.Txn.Then = []store.Op{{Put: &store.Put{Key: key, Value: value}}}
		call.Txn.Else = append(call.Txn.Else, store.Op{Get: key})
		return call
	}
	return nil
}

// completed reports whether every machine of the wave is done.
func (w *wave) completed() bool {
	for _, m := range w.machines {
		if !m.done {
			return false
		}
	}
	return true
}

func (w *wave) allRecorded() bool {
	for _, m := range w.machines {
		if !m.isRecorded() {
			return false
		}
	}
	return true
}

// waveStatusWritten marks the status of a wave as written, if the call wrote one.
func (o *Owner) waveStatusWritten(call *StoreCall, revision store.Revision) {
	if call.wave == nil {
		return
	}
	call.wave.revision = revision
	call.wave.refusals = refusals{}
	call.wave.statusWritten = true
	call.wave.finished = call.waveCompleted
	if call.waveCompleted {
		o.emit(event.UpkeepWaveCompleted, event.Subject{}, event.Fields{"wave": call.wave.Number, "late_ms": max(0, o.now.Sub(call.wave.Due).Milliseconds())})
	}
}

// waveStatusConflict handles a failed condition: the stored status is either the one of an
// earlier try whose response was lost, or that of an earlier owner, which the next try replaces.
func (o *Owner) waveStatusConflict(call *StoreCall, values map[string]*store.KeyValue) {
	if call.wave == nil {
		return
	}
	put := call.Txn.Then[0].Put
	found := values[put.Key]
	switch {
	case found == nil:
		call.wave.revision = 0
	case bytes.Equal(found.Value, put.Value):
		o.waveStatusWritten(call, found.ModRevision)
	default:
		call.wave.revision = found.ModRevision
	}
}
