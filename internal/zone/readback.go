package zone

import (
	"bytes"
	"time"

	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/store"
)

// resolveBatch determines from the store's current contents which entries of a batch
// were written. gets holds the epoch key, followed by the key of each entry.
func (r *Runner) resolveBatch(b *batch, gets []*store.KeyValue, now time.Time) {
	if gets[0] == nil || gets[0].ModRevision != r.recorder.epochRevision {
		r.fence("the store holds a higher epoch")
		return
	}
	for i, e := range b.entries {
		r.resolveEntry(e, gets[i+1], now)
	}
}

func (r *Runner) resolveEntry(e entry, stored *store.KeyValue, now time.Time) {
	j := e.job
	switch {
	case stored == nil && e.remove:
		r.entryDurable(e, 0, now)
	case e.remove:
		j.expired = false
		r.recorder.nextRescanAt = now // the job was moved back to this zone
	case stored != nil && j.moveUnsettled && r.forwardedTo(stored.Value) != "":
		r.movedLate(j, r.forwardedTo(stored.Value), stored.ModRevision, now)
	case stored != nil && bytes.Equal(stored.Value, e.value) && !isUnchanged(j, stored):
		r.entryDurable(e, stored.ModRevision, now)
	case stored != nil && j.storedVersion == 0 && !isOwnRecord(stored.Value, j):
		r.replaceWithStored(j, stored, now)
	default:
		if stored == nil {
			j.modRevision = 0
		} else {
			j.modRevision = stored.ModRevision
		}
		if e.movedKey != "" {
			r.moveFailed(j, now)
		}
		r.recorder.markDirty(j, true, now)
	}
}

// isUnchanged reports whether the record of a job whose move failed has not been written since, so
// that the write of the move may still take effect.
func isUnchanged(j *jobState, stored *store.KeyValue) bool {
	return j.moveUnsettled && stored.ModRevision == j.modRevision
}

// isOwnRecord reports whether a stored record is an earlier write of the same job state.
func isOwnRecord(value []byte, j *jobState) bool {
	record, err := job.Decode(value)
	return err == nil && record.Epoch == j.record.Epoch && record.Accepted.Equal(j.record.Accepted)
}
