package zone

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store"
)

// recordedWorkers is the owner's record of the workers on which tasks may run. A worker gets tasks
// only once it is recorded. So the next owner knows whom to claim, although the platform's list
// lags and lacks workers that are cut off.
type recordedWorkers struct {
	revision store.Revision
	// durable lists the workers that the stored record certainly names, sorted.
	durable []model.WorkerID
	// wanted lists the workers that the record is to name, sorted.
	wanted []model.WorkerID
	// unclaimed holds the workers of earlier owners that this owner has not claimed yet.
	unclaimed map[model.WorkerID]bool
	// isComplete is true if the record names all workers of earlier owners.
	isComplete bool
}

func (w *recordedWorkers) isDue() bool { return !slices.Equal(w.durable, w.wanted) }

func (w *recordedWorkers) has(id model.WorkerID) bool {
	_, found := slices.BinarySearch(w.durable, id)
	return found
}

// applyRecordedWorkers reads the record of the earlier owners. Without a record, nothing is known of
// the workers that they used.
func (r *Runner) applyRecordedWorkers(stored *store.KeyValue, now time.Time) {
	c := &r.recorder.workers
	c.isComplete = stored != nil || r.Epoch == firstEpoch
	if stored != nil {
		c.revision = stored.ModRevision
		c.durable = decodeWorkers(stored.Value)
	}
	c.unclaimed = map[model.WorkerID]bool{}
	for _, id := range c.durable {
		if w := r.workers[id]; w == nil || w.machine.State() == workerUnclaimed {
			c.unclaimed[id] = true
		}
	}
	r.updateWantedWorkers(now)
}

// firstEpoch is the epoch of a zone's first owner.
const firstEpoch model.Epoch = 1

// updateWantedWorkers determines the workers to record: those that are listed or have tasks, and
// until no task of an earlier owner can be running, those of earlier owners.
func (r *Runner) updateWantedWorkers(now time.Time) {
	c := &r.recorder.workers
	if r.areEarlierLeasesOver(now) {
		clear(c.unclaimed)
	}
	wanted := maps.Clone(c.unclaimed)
	if wanted == nil {
		wanted = map[model.WorkerID]bool{}
	}
	for _, w := range r.orderedWorkers {
		wanted[w.info.ID] = true
	}
	c.wanted = slices.Sorted(maps.Keys(wanted))
}

// dropEarlierWorkers removes the workers of earlier owners from the record once none of their tasks
// can be running.
func (r *Runner) dropEarlierWorkers(now time.Time) {
	if len(r.recorder.workers.unclaimed) > 0 && r.areEarlierLeasesOver(now) {
		r.updateWantedWorkers(now)
	}
}

// recordWorkersCall returns the write of the record. Until its result is known, only the workers that
// both the old and the new record name count as recorded.
func (r *Runner) recordWorkersCall() *StoreCall {
	c := &r.recorder.workers
	epochKey, key := store.EpochKey(r.Zone), store.ZoneWorkersKey(r.Zone)
	c.durable = slices.DeleteFunc(slices.Clone(c.durable), func(id model.WorkerID) bool {
		return !slices.Contains(c.wanted, id)
	})
	return &StoreCall{Kind: CallWorkers, workers: c.wanted, Txn: &store.Txn{
		If:   []store.Compare{store.Unchanged(epochKey, r.recorder.epochRevision), store.Unchanged(key, c.revision)},
		Then: []store.Op{put(key, encodeWorkers(c.wanted))},
		Else: []store.Op{{Get: epochKey}, {Get: key}},
	}}
}

// workersWritten processes the result of a write of the record. The write fails after an earlier
// one whose response was lost; it is then repeated on the new revision.
func (r *Runner) workersWritten(call *StoreCall, result store.TxnResult) {
	c := &r.recorder.workers
	if result.Succeeded {
		c.revision = result.Revision
		c.durable = call.workers
		return
	}
	epochKey, stored := result.Gets[0], result.Gets[1]
	if epochKey == nil || epochKey.ModRevision != r.recorder.epochRevision {
		r.fence("the store holds a higher epoch")
		return
	}
	c.revision = 0
	if stored != nil {
		c.revision = stored.ModRevision
	}
}

// The record holds one worker a line.
const workerSeparator = "\n"

func encodeWorkers(ids []model.WorkerID) []byte {
	var lines []string
	for _, id := range ids {
		lines = append(lines, string(id))
	}
	return []byte(strings.Join(lines, workerSeparator))
}

func decodeWorkers(value []byte) []model.WorkerID {
	var ids []model.WorkerID
	for _, line := range strings.Split(string(value), workerSeparator) {
		if line != "" {
			ids = append(ids, model.WorkerID(line))
		}
	}
	slices.Sort(ids)
	return ids
}
