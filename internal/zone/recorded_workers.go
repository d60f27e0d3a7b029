package zone

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store"
)

// workerAddress names a worker at one endpoint. Another process at another endpoint may run under
// the same ID while the first one lives.
type workerAddress string

func addressOf(id model.WorkerID, endpoint string) workerAddress {
	return workerAddress(string(id) + " " + endpoint)
}

// recordedWorkers is the owner's record of the workers on which tasks may run. A worker gets tasks
// only once it is recorded. So the next owner knows whom to claim, although the platform's list
// lags and lacks workers that are cut off.
type recordedWorkers struct {
	revision store.Revision
	// durable lists the workers that the stored record certainly names, sorted.
	durable []workerAddress
	// wanted lists the workers that the record is to name, sorted.
	wanted []workerAddress
	// unclaimed holds the workers of earlier owners that this owner has not claimed yet.
	unclaimed map[workerAddress]bool
	// isComplete is true if the record names all workers of earlier owners.
	isComplete bool
}

func (w *recordedWorkers) isDue() bool { return !slices.Equal(w.durable, w.wanted) }

func (w *recordedWorkers) has(address workerAddress) bool {
	_, found := slices.BinarySearch(w.durable, address)
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
	c.unclaimed = map[workerAddress]bool{}
	for _, address := range c.durable {
		c.unclaimed[address] = true
	}
	for _, w := range r.workers {
		if w.machine.State() != workerUnclaimed {
			delete(c.unclaimed, addressOf(w.info.ID, w.claimedAt))
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
		wanted = map[workerAddress]bool{}
	}
	for _, w := range r.orderedWorkers {
		wanted[addressOf(w.info.ID, w.info.Endpoint)] = true
		for _, t := range w.tasks {
			if t.endpoint != "" && !t.ended() {
				wanted[addressOf(w.info.ID, t.endpoint)] = true
			}
		}
	}
	for _, d := range r.discovered {
		for _, dt := range d.tasks {
			wanted[addressOf(dt.worker.info.ID, dt.endpoint)] = true
		}
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
	c.durable = slices.DeleteFunc(slices.Clone(c.durable), func(address workerAddress) bool {
		return !slices.Contains(c.wanted, address)
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

func encodeWorkers(addresses []workerAddress) []byte {
	var lines []string
	for _, address := range addresses {
		lines = append(lines, string(address))
	}
	return []byte(strings.Join(lines, workerSeparator))
}

func decodeWorkers(value []byte) []workerAddress {
	var addresses []workerAddress
	for _, line := range strings.Split(string(value), workerSeparator) {
		if line != "" {
			addresses = append(addresses, workerAddress(line))
		}
	}
	slices.Sort(addresses)
	return addresses
}
