package pool

import (
	"bytes"
	"encoding/json"
	"maps"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/scheduler/crashes"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// recordState is the state of a record that the next owner reads, other than that of a job.
type recordState struct {
	key string
	// version counts the changes; recordedVersion is the version in the store.
	version         uint64
	recordedVersion uint64
	// revision is the last known store revision; 0 if there is no record.
	revision store.Revision
	refusals refusals
}

func (s *recordState) isRecorded() bool { return s.version == s.recordedVersion }

// restore sets the state of a record that was read from the store.
func (s *recordState) restore(revision store.Revision) {
	s.version, s.recordedVersion, s.revision = 1, 1, revision
}

// recordWrite is the write of a record in a transaction.
type recordWrite struct {
	state   *recordState
	version uint64
	value   []byte
	// resend adds the record to a later transaction.
	resend func(*StoreCall)
}

// writeRecord adds the write of a record to the transaction; resend adds it to a later one if the
// store refuses this.
func (c *StoreCall) writeRecord(state *recordState, value any, resend func(*StoreCall)) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrapf(err, "encode the record %s", state.key))
	}
	c.addRecord(state.key, state.revision, text)
	c.recordWrites = append(c.recordWrites, recordWrite{state: state, version: state.version, value: text, resend: resend})
}

// recordsWritten handles the success of a transaction.
func (c *StoreCall) recordsWritten(revision store.Revision) {
	for _, write := range c.recordWrites {
		write.state.revision, write.state.recordedVersion = revision, write.version
		write.state.refusals = refusals{}
	}
}

// recordsConflict handles a failed condition: a record that holds the value to be written is
// an earlier try whose response was lost.
func (c *StoreCall) recordsConflict(values map[string]*store.KeyValue) {
	for _, write := range c.recordWrites {
		found := values[write.state.key]
		if found == nil {
			write.state.revision = 0
			continue
		}
		if found.ModRevision != write.state.revision && bytes.Equal(found.Value, write.value) {
			write.state.recordedVersion = write.version
		}
		write.state.revision = found.ModRevision
	}
}

// AddRecord adds a record of an earlier owner, of a key under store.PoolRecordsPrefix that is not
// the progress of a job. The owner must not have advanced yet.
func (o *Owner) AddRecord(kv store.KeyValue, now time.Time) error {
	o.now = now
	switch {
	case strings.HasPrefix(kv.Key, store.PoolUpkeepPrefix):
		return o.addUpkeep(kv)
	case strings.HasPrefix(kv.Key, store.PoolPartsPrefix):
		return o.addPart(kv)
	case kv.Key == store.PoolCrashesKey:
		return o.addCrashes(kv)
	case kv.Key == store.PoolSilenceKey:
		return o.addSilence(kv)
	}
	return errors.Errorf("%q is the key of no known record", kv.Key)
}

// addPart keeps a part of the progress of a job until the job is added.
func (o *Owner) addPart(kv store.KeyValue) error {
	id, name, ok := store.ParsePoolPart(kv.Key)
	if !ok {
		return errors.Errorf("%q names no part of a job", kv.Key)
	}
	parts := o.recordedParts[id]
	if parts == nil {
		parts = &recordedParts{revisions: map[string]store.Revision{}, progress: map[string]workflow.TaskGroupProgress{}}
		o.recordedParts[id] = parts
	}
	part, err := workflow.DecodeProgressPart(kv.Value)
	if err != nil {
		// The job is set aside when it is added: its other parts alone would start tasks again.
		parts.err = errors.Wrapf(err, "part %s", name)
		return parts.err
	}
	parts.revisions[name] = kv.ModRevision
	maps.Copy(parts.progress, part.TaskGroups)
	return nil
}

// addCrashes goes on with the earlier owner's measurement of how often workers crash.
func (o *Owner) addCrashes(kv store.KeyValue) error {
	o.crashRecord.restore(kv.ModRevision)
	var earlier crashes.Rate
	if err := json.Unmarshal(kv.Value, &earlier); err != nil {
		return errors.Wrap(err, "record of the crashes of workers")
	}
	o.crashRate.Continue(earlier)
	return nil
}

// addCrashRecord adds the record of the crashes of workers to a transaction, if it has changed.
// It waits for other records up to RecordDelay.
func (o *Owner) addCrashRecord(call *StoreCall) {
	if o.crashRecord.isRecorded() || o.crashRecord.refusals.suspected {
		return
	}
	flushAt := o.crashRate.LastCrash().Add(o.timing.RecordDelay)
	if len(call.Txn.Then) == 0 && o.now.Before(flushAt) {
		o.wakeAt(flushAt)
		return
	}
	o.writeCrashRecord(call)
}

func (o *Owner) writeCrashRecord(call *StoreCall) {
	call.writeRecord(&o.crashRecord, o.crashRate, o.writeCrashRecord)
}
