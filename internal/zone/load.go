package zone

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/store"
)

// applyEpoch checks the value of the epoch key and keeps its revision, on which every
// write is conditional. It also reads the workers of the earlier owners.
func (r *Runner) applyEpoch(result store.TxnResult, now time.Time) {
	epochKey := result.Gets[0]
	if epochKey == nil || !r.isOwnEpoch(epochKey.Value) {
		r.fence("the store does not hold this owner's epoch")
		return
	}
	r.recorder.epochRevision = epochKey.ModRevision
	r.recorder.retryAt = now
	r.applyRecordedWorkers(result.Gets[1], now)
}

// applyPage loads one page of the zone's records.
func (r *Runner) applyPage(page store.Page, now time.Time) {
	for _, kv := range page.KeyValues {
		r.loadRecord(kv, now)
	}
	c := &r.recorder
	if page.More && len(page.KeyValues) > 0 {
		c.cursor = page.KeyValues[len(page.KeyValues)-1].Key + "\x00"
		c.nextRescanAt = now
		return
	}
	c.cursor = ""
	c.nextRescanAt = now.Add(r.Timing.Rescan)
	if !c.loaded {
		r.finishLoading(now)
	}
}

// loadRecord adds the job of a stored record unless the runner has it already.
func (r *Runner) loadRecord(kv store.KeyValue, now time.Time) {
	record, err := job.Decode(kv.Value)
	if err != nil {
		r.Events.Record(event.JobRefused, event.Subject{Zone: string(r.Zone)}, "record "+kv.Key+" can't be read: "+err.Error())
		return
	}
	if known := r.jobs[record.Spec.ID]; known != nil {
		if !known.movedAway || known.modRevision == kv.ModRevision {
			return
		}
		r.forgetJob(known) // the job was moved back to this zone
	}
	j := newJobState(record, kv.Key)
	r.jobs[j.id()] = j
	r.orderedJobs = append(r.orderedJobs, j)
	r.adoptRecord(j, kv, now)
}

// adoptRecord sets up a job from its stored record and queues it if no task of it can
// be running.
func (r *Runner) adoptRecord(j *jobState, kv store.KeyValue, now time.Time) {
	j.modRevision = kv.ModRevision
	j.version++
	j.storedVersion = j.version
	j.record.Revision = int64(r.Epoch)<<revisionBits + j.version
	switch {
	case j.record.Zone != r.Zone:
		j.movedAway = true
	case j.record.State.Final():
	case j.record.MovedFrom != "":
		j.recordOrigin(kv.ModRevision)
		r.markChanged(j, false, now)
		r.enqueue(j, now)
	case j.wasNeverStarted():
		r.enqueue(j, now)
	default:
		j.needsReconciliation = true
		r.reconciliationPending = true
	}
}

// recordOrigin replaces MovedFrom by an entry in ForwardingRevisions. The forwarding
// record was written in the same transaction as this record, so it has the same revision.
func (j *jobState) recordOrigin(revision store.Revision) {
	revisions := map[model.AvailabilityZoneID]int64{j.record.MovedFrom: int64(revision)}
	for zone, earlier := range j.record.ForwardingRevisions {
		if _, known := revisions[zone]; !known {
			revisions[zone] = earlier
		}
	}
	j.record.ForwardingRevisions = revisions
	j.record.MovedFrom = ""
}

// wasNeverStarted reports whether the record alone shows that no task has run, which it
// does for jobs that may not be repeated: their attempts are recorded before they start.
func (j *jobState) wasNeverStarted() bool {
	return !j.record.Spec.Repeatable && j.record.Attempts == 0 && j.record.State == job.Queued
}

// replaceWithStored replaces a newly submitted job by the record that the store already
// has of it, for example one that another zone's owner moved here. If that can't be
// decoded, nobody knows whether the job has run.
func (r *Runner) replaceWithStored(j *jobState, stored *store.KeyValue, now time.Time) {
	record, err := job.Decode(stored.Value)
	if err != nil {
		r.rejectUnrecorded(j, outcome.UnknownBecause(outcome.ReasonConflict, "the store holds a record of this job that can't be decoded: %v", err))
		return
	}
	j.record = record
	j.machine = jobChart.Restore(string(record.State))
	r.adoptRecord(j, *stored, now)
	waiters := j.waiters
	j.waiters = nil
	for _, w := range waiters {
		r.awaitDurable(j, w.done)
	}
}

// finishLoading submits the jobs that arrived while the records were being loaded.
func (r *Runner) finishLoading(now time.Time) {
	r.recorder.loaded = true
	slices.SortStableFunc(r.orderedJobs, func(a, b *jobState) int { return a.record.Accepted.Compare(b.record.Accepted) })
	submissions := r.pendingSubmissions
	r.pendingSubmissions = nil
	for _, s := range submissions {
		r.Submit(s.spec, now, s.done)
	}
}

// forgetJob removes a job from the runner.
func (r *Runner) forgetJob(j *jobState) {
	delete(r.jobs, j.id())
	r.removeFromOrder(j)
}
