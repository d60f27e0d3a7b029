package pool

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool/evidence"
	"github.com/chervilrun/chervilrun/internal/store"
)

// SilenceRecord is the record of the silent workers: those with runs that don't answer. The owner
// that writes it, and each later one that reads it, grants no lease to a worker that it names
// until a version without the worker is durable.
type SilenceRecord struct {
	// Fence is the fencing token of the owner that wrote the record.
	Fence   uint64           `json:"fence"`
	Workers []SilentWorkerID `json:"workers"`
}

// SilentWorkerID names a silent worker.
type SilentWorkerID struct {
	Worker      model.WorkerID `json:"id"`
	Incarnation int64          `json:"born"`
	// Silence is the number of this silence among those that the writer has recorded.
	Silence uint64 `json:"silence"`
	// LeaseLeftMS is how long after the encoding of the record the latest lease that any owner
	// may have granted to the worker may last.
	LeaseLeftMS int64 `json:"lease_left_ms"`
}

// DecodeSilence decodes the record of the silent workers.
func DecodeSilence(text []byte) (*SilenceRecord, error) {
	var record SilenceRecord
	if err := json.Unmarshal(text, &record); err != nil {
		return nil, errors.Wrap(err, "record of the silent workers")
	}
	for _, w := range record.Workers {
		if record.Fence == 0 || w.Worker == "" || w.Silence == 0 || w.LeaseLeftMS < 0 {
			return nil, errors.Errorf("record of the silent workers: the entry of %q is incomplete", w.Worker)
		}
	}
	return &record, nil
}

// SilenceTimes is what a host has seen of the record of the silent workers, by its own clock. The
// zero value has seen nothing.
type SilenceTimes struct {
	fence uint64
	// until is when all leases of a worker have run out, by the number of its silence.
	until map[uint64]time.Time
}

// Observe takes in the present record, which was durable by now; nil means that there is none. A
// version that was not seen doesn't matter: a silence that has ended is never named again.
func (s *SilenceTimes) Observe(record *SilenceRecord, now time.Time) {
	if record == nil {
		*s = SilenceTimes{}
		return
	}
	until := make(map[uint64]time.Time, len(record.Workers))
	for _, w := range record.Workers {
		at := now.Add(time.Duration(w.LeaseLeftMS) * time.Millisecond)
		if earlier, seen := s.until[w.Silence]; seen && s.fence == record.Fence && earlier.Before(at) {
			at = earlier
		}
		until[w.Silence] = at
	}
	s.fence, s.until = record.Fence, until
}

// Until returns when all leases of a worker have run out, by the number of its silence in the record
// of an owner, and whether that is known.
func (s *SilenceTimes) Until(fence, silence uint64) (time.Time, bool) {
	if s.fence != fence {
		return time.Time{}, false
	}
	until, seen := s.until[silence]
	return until, seen
}

// Clone returns a copy.
func (s *SilenceTimes) Clone() SilenceTimes {
	return SilenceTimes{fence: s.fence, until: maps.Clone(s.until)}
}

const (
	// silenceDelay is how long a worker is silent before it is recorded: longer than it takes to
	// repeat a call whose connection was broken.
	silenceDelay = 500 * time.Millisecond
	// maxSilentWorkers limits the size of the record.
	maxSilentWorkers = 2000
)

// silences are the workers that the record of the silent workers names, or may name.
type silences struct {
	record  recordState
	workers orderedMap[model.WorkerID, *silentWorker]
	// last is the number of the latest silence, sentVersion the latest version of the record that
	// was handed to the store, changedAt the time of the first change that is not recorded.
	last        uint64
	sentVersion uint64
	changedAt   time.Time
	// earlierFence is the writer of the record that was read.
	earlierFence uint64
}

type silentWorker struct {
	incarnation int64
	silence     uint64
	// earlierSilence is the number that the earlier owner's record has; 0 if it doesn't name the
	// worker. seenUntil is when all leases have run out by what the host has seen of that record;
	// zero if it has seen nothing that can be relied on.
	earlierSilence uint64
	seenUntil      time.Time
	// namedIn is the first version of the record that names the worker, removedIn the first one
	// that no longer does; 0 while it is named.
	namedIn   uint64
	removedIn uint64
}

// addSilence adds the workers that an earlier owner has recorded as silent. No lease is granted to
// them before they are removed from the record.
func (o *Owner) addSilence(kv store.KeyValue) error {
	s := &o.silences
	s.record.restore(kv.ModRevision)
	record, err := DecodeSilence(kv.Value)
	if err != nil {
		return err
	}
	s.earlierFence, s.sentVersion = record.Fence, s.record.version
	for _, w := range record.Workers {
		s.last++
		s.workers.set(w.Worker, &silentWorker{incarnation: w.Incarnation, silence: s.last, earlierSilence: w.Silence})
		if known, ok := o.workers.get(w.Worker); ok {
			known.leasesBarred = true
		}
	}
	return nil
}

// SilenceWriter returns the fencing token of the earlier owner that has recorded silent workers; 0
// if none has.
func (o *Owner) SilenceWriter() uint64 {
	if o.silences.workers.len() == 0 {
		return 0
	}
	return o.silences.earlierFence
}

// TrustSilence takes in what the host has seen of the earlier owner's record of silent workers.
// Each owner since its writer must have kept to it.
func (o *Owner) TrustSilence(seen SilenceTimes, now time.Time) {
	o.now = now
	for _, s := range o.silences.workers.all() {
		if until, ok := seen.Until(o.silences.earlierFence, s.earlierSilence); ok && s.earlierSilence != 0 {
			s.seenUntil = until
			o.silenceChanged()
		}
	}
}

func (o *Owner) silenceChanged() uint64 {
	s := &o.silences
	if s.record.isRecorded() {
		s.changedAt = o.now
	}
	s.record.version++
	return s.record.version
}

// updateSilences brings the workers that are named in line with those that are silent. It
// precedes the orders of a call of Advance: a worker gets none from when it is to be named until
// its removal is durable.
func (o *Owner) updateSilences() {
	recorded := o.unverifiedWorkers()
	for id, s := range o.silences.workers.all() {
		w, known := o.workers.get(id)
		if s.removedIn != 0 && s.removedIn <= o.silences.record.recordedVersion {
			o.endSilence(id)
			continue
		}
		_, unverified := recorded[id]
		hasRuns := unverified || known && w.members.len() > 0
		answered := known && w.SilentSince.IsZero() && !w.AnsweredAt.IsZero()
		switch {
		case s.removedIn == 0 && (!hasRuns || answered):
			o.removeSilent(id, s)
		case s.removedIn != 0 && hasRuns && known && !answered:
			// No lease was granted meanwhile, so that the silence goes on.
			s.removedIn = 0
			o.silenceChanged()
		case s.removedIn == 0 && known && w.Incarnation != s.incarnation && w.Incarnation != 0 && !unverified:
			o.nameSilent(id, w.Incarnation)
		}
	}
	for id, w := range o.workers.all() {
		if w.members.len() > 0 && o.isSilent(w) {
			o.addSilent(id, w.Incarnation)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(recorded)) {
		w, known := o.workers.get(id)
		if known && o.isSilent(w) || !known && o.workers.len() > 0 && o.now.Sub(o.startedAt) >= silenceDelay {
			o.addSilent(id, recorded[id])
		}
	}
}

// unverifiedWorkers returns the workers with runs of an earlier owner that they have not listed, with
// their incarnations as recorded with the latest of these runs.
func (o *Owner) unverifiedWorkers() map[model.WorkerID]int64 {
	var found map[model.WorkerID]int64
	for _, g := range o.recoveringTaskGroups {
		if g.state() != taskGroupRecovering {
			continue
		}
		for _, m := range g.members {
			if m.phase != memberUnverified {
				continue
			}
			if found == nil {
				found = map[model.WorkerID]int64{}
			}
			found[m.workerID] = max(found[m.workerID], m.incarnation)
		}
	}
	return found
}

func (o *Owner) isSilent(w *worker) bool {
	if w.SilentSince.IsZero() {
		return false
	}
	if o.now.Sub(w.SilentSince) >= silenceDelay {
		return true
	}
	o.wakeAt(w.SilentSince.Add(silenceDelay))
	return false
}

func (o *Owner) addSilent(id model.WorkerID, incarnation int64) {
	if !o.silences.workers.has(id) && o.silences.workers.len() < maxSilentWorkers {
		o.nameSilent(id, incarnation)
		o.emit(event.WorkerNotRenewed, event.Subject{Worker: string(id)}, event.Fields{"named": true, "silence": o.silences.last})
	}
}

// nameSilent begins a silence of a worker.
func (o *Owner) nameSilent(id model.WorkerID, incarnation int64) {
	o.silences.last++
	s := &silentWorker{incarnation: incarnation, silence: o.silences.last, namedIn: o.silenceChanged()}
	o.silences.workers.set(id, s)
	if w, known := o.workers.get(id); known {
		w.leasesBarred = true
	}
}

// removeSilent removes a worker from the record. It may be granted leases once that is durable, or
// at once if no version that names it has left.
func (o *Owner) removeSilent(id model.WorkerID, s *silentWorker) {
	s.removedIn = o.silenceChanged()
	if s.namedIn > o.silences.sentVersion {
		o.endSilence(id)
	}
}

func (o *Owner) endSilence(id model.WorkerID) {
	o.emit(event.WorkerNotRenewed, event.Subject{Worker: string(id)}, event.Fields{"named": false, "silence": o.silences.workers.getOrZero(id).silence})
	o.silences.workers.remove(id)
	o.planNeeded = true
	if w, known := o.workers.get(id); known {
		w.leasesBarred = false
		if !w.renewalInFlight {
			w.nextRenewal = o.now
		}
	}
}

// addSilenceRecord adds the record of the silent workers to a transaction, if it has changed. It
// waits for other records up to RecordDelay.
func (o *Owner) addSilenceRecord(call *StoreCall) {
	s := &o.silences
	if s.record.isRecorded() || s.record.refusals.suspected {
		return
	}
	flushAt := s.changedAt.Add(o.timing.RecordDelay)
	if len(call.Txn.Then) == 0 && o.now.Before(flushAt) {
		o.wakeAt(flushAt)
		return
	}
	o.writeSilenceRecord(call)
}

func (o *Owner) writeSilenceRecord(call *StoreCall) {
	s := &o.silences
	record := SilenceRecord{Fence: o.fence, Workers: []SilentWorkerID{}}
	for id, silent := range s.workers.all() {
		if silent.removedIn == 0 {
			left := max(0, o.leasesUntil(id, silent).Sub(o.now))
			record.Workers = append(record.Workers, SilentWorkerID{
				Worker: id, Incarnation: silent.incarnation, Silence: silent.silence, LeaseLeftMS: left.Milliseconds() + 1,
			})
		}
	}
	s.sentVersion = s.record.version
	call.writeRecord(&s.record, record, o.writeSilenceRecord)
}

// leasesUntil returns when every lease that any owner may have granted to a silent worker has run
// out, without leaseMargin: that is added once, by the owner that draws a conclusion from it.
func (o *Owner) leasesUntil(id model.WorkerID, s *silentWorker) time.Time {
	until := o.startedAt.Add(o.timing.TakeoverWait - leaseMargin)
	if w, known := o.workers.get(id); known {
		if granted, ok := w.LeaseUntil(); ok {
			return granted
		}
		if w.Incarnation != s.incarnation {
			return until
		}
	}
	if !s.seenUntil.IsZero() && s.seenUntil.Before(until) {
		return s.seenUntil
	}
	return until
}

// unreached returns what is known of the leases behind the recorded run of an earlier owner, on a
// worker that has not listed it.
func (o *Owner) unreached(m *member) evidence.Unreached {
	u := evidence.Unreached{LeasesUntil: o.startedAt.Add(o.timing.TakeoverWait)}
	if w, known := o.workers.get(m.workerID); known && m.incarnation != 0 && w.Incarnation > m.incarnation {
		// A late order of the earlier owner may begin the run on the later incarnation.
		u.LeasesUntil = o.startedAt.Add(o.timing.LateOrder + longestLease(o.timing.WorkerLease) + leaseMargin)
		return u
	}
	s, named := o.silences.workers.get(m.workerID)
	if !named || s.seenUntil.IsZero() || m.incarnation == 0 || m.incarnation != s.incarnation {
		return u
	}
	if w, known := o.workers.get(m.workerID); known && (w.Incarnation != s.incarnation || !w.AnsweredAt.IsZero()) {
		return u
	}
	u.NotRenewedUntil = s.seenUntil.Add(leaseMargin)
	return u
}
