package pool

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// The progress of a job with few tasks is one value in the store. That of a larger job is kept in
// parts: a head with its state, and parts with some task groups each. So no value outgrows what the
// store accepts, and a change costs what it changes.
//
// maxSingleRecordTasks and maxPartTasks determine which value a task group is in: they are part of the
// stored format.
const (
	// maxSingleRecordTasks is the number of open tasks up to which the progress is one value.
	maxSingleRecordTasks = 128
	// maxPartTasks limits the tasks of a part, unless a single gang has more.
	maxPartTasks = 64
	// maxRecordBytes limits a value; the longest checkpoints are left out beyond it. The store
	// accepts more, but a slow link doesn't carry more within the timeout of a transaction.
	maxRecordBytes = 256 << 10
	// maxTransactionBytes limits the values of a transaction, unless it has only one.
	maxTransactionBytes = 512 << 10
)

// jobRecord is a value in the store with progress of a job: the head or a part.
type jobRecord struct {
	key string
	// revision is the last known store revision; 0 if the value does not exist.
	revision store.Revision
	// unrecordedFrom is a version of the job from which on changes of the record may be unrecorded,
	// changedAt that of its latest change. unrecordedFrom is 0 if all are recorded.
	unrecordedFrom uint64
	changedAt      uint64
	// supersedesFrom is the version from which on the head stands for parts with unrecorded changes; 0 if
	// it stands for none. A write of an earlier version does not hold them.
	supersedesFrom uint64
	refusals       refusals
	// occurrence and taskGroups are those of a part.
	occurrence int
	taskGroups []*taskGroup
}

// isInParts reports whether the progress of a job is kept in parts. It depends on the specification
// only, so that each owner decides alike.
func isInParts(spec *workflow.Spec) bool {
	return min(max(1, spec.Occurrences)*spec.TaskCount(), max(maxOpenTasks, spec.TaskCount())) > maxSingleRecordTasks
}

// partName names a part within its job as OCCURRENCE.NUMBER.
func partName(occurrence, number int) string { return fmt.Sprintf("%d.%d", occurrence, number) }

// part returns a part, which it creates if it doesn't exist.
func (j *job) part(occurrence, number int) *jobRecord {
	name := partName(occurrence, number)
	part, ok := j.parts.get(name)
	if !ok {
		part = &jobRecord{key: store.PoolPartKey(j.id(), name), occurrence: occurrence}
		j.parts.set(name, part)
	}
	return part
}

// assignRecords determines which record each task group of an occurrence belongs to.
func (j *job) assignRecords(o *occurrence) {
	number, tasks := 0, 0
	for _, s := range o.steps {
		for _, g := range s.taskGroups {
			if !j.inParts {
				g.record = &j.head
				continue
			}
			if tasks > 0 && tasks+g.tasks() > maxPartTasks {
				number, tasks = number+1, 0
			}
			tasks += g.tasks()
			g.record = j.part(o.number, number)
			g.record.taskGroups = append(g.record.taskGroups, g)
		}
	}
}

// markChanged marks a task group as having a change to record and returns the job's new version.
func (o *Owner) markChanged(g *taskGroup) uint64 {
	if g.job.state.Final() || g.job.closedOccurrences[g.occurrence.number] {
		return o.markHeadChanged(g.job)
	}
	return o.markRecordChanged(g.job, g.record)
}

// markHeadChanged marks the state of a job itself as changed.
func (o *Owner) markHeadChanged(j *job) uint64 { return o.markRecordChanged(j, &j.head) }

func (o *Owner) markRecordChanged(j *job, r *jobRecord) uint64 {
	if j.fullyRecorded() {
		j.unrecordedSince = o.now
	}
	if !j.inChangedList {
		j.inChangedList = true
		o.changed = append(o.changed, j)
	}
	j.version++
	r.changedAt = j.version
	if r.unrecordedFrom == 0 {
		r.unrecordedFrom = j.version
		j.unrecorded = append(j.unrecorded, r)
	}
	return j.version
}

// recorded takes in that a record holds all changes up to a version.
func (j *job) recorded(r *jobRecord, version uint64) {
	r.refusals = refusals{}
	if r.unrecordedFrom != 0 && r.unrecordedFrom <= version && r.supersedesFrom <= version {
		r.supersedesFrom = 0
		j.unrecorded = slices.DeleteFunc(j.unrecorded, func(other *jobRecord) bool { return other == r })
		r.unrecordedFrom = 0
		if r.changedAt > version {
			r.unrecordedFrom = version + 1
			j.unrecorded = append(j.unrecorded, r)
		}
	}
	j.updateRecordedVersion()
}

func (j *job) updateRecordedVersion() {
	j.recordedVersion, j.refused = j.version, false
	for _, r := range j.unrecorded {
		j.recordedVersion = min(j.recordedVersion, r.unrecordedFrom-1)
		j.refused = j.refused || r.refusals.alone > 0
	}
}

// supersedeParts makes the head, which has just been marked as changed since they have ended, stand for
// the parts of an occurrence, or of all occurrences.
func (j *job) supersedeParts(isOver func(occurrence int) bool) {
	for _, part := range j.parts.all() {
		if !isOver(part.occurrence) {
			continue
		}
		part.taskGroups = nil
		if part.unrecordedFrom != 0 {
			j.head.unrecordedFrom = min(j.head.unrecordedFrom, part.unrecordedFrom)
			j.head.supersedesFrom = j.version
			part.unrecordedFrom = 0
		}
	}
	j.unrecorded = slices.DeleteFunc(j.unrecorded, func(r *jobRecord) bool { return r.unrecordedFrom == 0 })
	j.updateRecordedVersion()
}

// isPartOver reports whether a part is of no use any more, since the recorded head says that all of it
// has ended.
func (j *job) isPartOver(part *jobRecord) bool {
	return j.head.unrecordedFrom == 0 && (j.state.Final() || j.closedOccurrences[part.occurrence])
}

// progress returns the progress that the head records.
func (j *job) progress() workflow.Progress {
	p := workflow.Progress{State: j.state, Ended: j.endedAt, EndedOccurrences: j.sortedClosedOccurrences(), InParts: j.inParts}
	if j.state.Final() || j.inParts {
		return p
	}
	p.TaskGroups = map[string]workflow.TaskGroupProgress{}
	for key, stored := range j.storedProgress {
		p.TaskGroups[key] = stored
	}
	j.forEachTaskGroup(func(g *taskGroup) { g.addProgress(p.TaskGroups) })
	return p
}

// addProgress adds the progress of the task group, if it has any.
func (g *taskGroup) addProgress(to map[string]workflow.TaskGroupProgress) {
	if stored, known := g.progress(); known {
		to[g.key] = stored
	}
}

// encode returns the value of a record.
func (o *Owner) encode(j *job, r *jobRecord) []byte {
	if r == &j.head {
		head := j.progress()
		return o.encodeTaskGroups(j, r, &head, head.TaskGroups)
	}
	part := workflow.ProgressPart{TaskGroups: map[string]workflow.TaskGroupProgress{}}
	for _, g := range r.taskGroups {
		g.addProgress(part.TaskGroups)
	}
	return o.encodeTaskGroups(j, r, &part, part.TaskGroups)
}

// encodeTaskGroups encodes a record that holds the given task groups. If it is too long, the longest
// checkpoints are left out: after a takeover their tasks start from the beginning.
func (o *Owner) encodeTaskGroups(j *job, r *jobRecord, record any, groups map[string]workflow.TaskGroupProgress) []byte {
	omitted := omitLongest(groups, checkpointBytes(groups)-maxRecordBytes)
	value := workflow.Encode(record)
	if len(value) > maxRecordBytes {
		omitted += omitLongest(groups, len(value)-maxRecordBytes)
		value = workflow.Encode(record)
	}
	if omitted > 0 {
		o.reportOmitted(j, event.Fields{"key": r.key, "bytes": len(value), "omitted": omitted, "why": "record too long"})
	}
	return value
}

func checkpointBytes(groups map[string]workflow.TaskGroupProgress) int {
	total := 0
	for _, stored := range groups {
		total += len(stored.Checkpoint)
	}
	return total
}

// omitLongest removes the longest checkpoints until at least excess bytes are removed, and returns
// their number.
func omitLongest(groups map[string]workflow.TaskGroupProgress, excess int) int {
	if excess <= 0 {
		return 0
	}
	var longest []string
	for key, stored := range groups {
		if stored.Checkpoint != "" {
			longest = append(longest, key)
		}
	}
	slices.SortFunc(longest, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(groups[b].Checkpoint), len(groups[a].Checkpoint)), cmp.Compare(a, b))
	})
	omitted := 0
	for _, key := range longest {
		if excess <= 0 {
			break
		}
		stored := groups[key]
		excess -= len(stored.Checkpoint)
		stored.Checkpoint = ""
		groups[key] = stored
		omitted++
	}
	return omitted
}

// reportOmitted logs, once a job, that checkpoints are not kept.
func (o *Owner) reportOmitted(j *job, fields event.Fields) {
	if !j.checkpointsOmitted {
		j.checkpointsOmitted = true
		o.emit(event.CheckpointsOmitted, event.Subject{Job: string(j.id())}, fields)
	}
}

// recordsToWrite lists the records with changes to record. While the stored head still has the task
// groups, as an earlier version has recorded them, it is written once all parts are.
func (j *job) recordsToWrite() []*jobRecord {
	if !j.headHoldsTaskGroups || len(j.unrecorded) == 1 {
		return j.unrecorded
	}
	return slices.DeleteFunc(slices.Clone(j.unrecorded), func(r *jobRecord) bool { return r == &j.head })
}

// addJobRecords adds records of jobs to a transaction, up to a number of them. Each job adds one
// at a time, so that one with many holds up no other.
func (o *Owner) addJobRecords(call *StoreCall, jobs []*job, limit int) {
	for taken := 0; ; taken++ {
		found := false
		for _, j := range jobs {
			records := j.recordsToWrite()
			if taken >= len(records) {
				continue
			}
			found = true
			r := records[taken]
			if r.refusals.suspected {
				continue
			}
			if len(call.writes) == limit || !o.addJobRecord(call, j, r) {
				return
			}
		}
		if !found {
			return
		}
	}
}

// addJobRecord adds a record to a transaction, and reports whether it fits.
func (o *Owner) addJobRecord(call *StoreCall, j *job, r *jobRecord) bool {
	value := o.encode(j, r)
	if call.valueBytes > 0 && call.valueBytes+len(value) > maxTransactionBytes {
		return false
	}
	call.addRecord(r.key, r.revision, value)
	call.writes = append(call.writes, jobWrite{job: j, record: r, version: j.version, value: value})
	return true
}

// partRemovalsPerTransaction limits the parts that a transaction removes.
const partRemovalsPerTransaction = 24

// removeParts adds the removal of parts that are of no use any more to a transaction.
func (o *Owner) removeParts(call *StoreCall) {
	for _, j := range o.jobs.all() {
		for name, part := range j.parts.all() {
			switch {
			case !j.isPartOver(part):
			case part.revision == 0:
				j.parts.remove(name)
			case len(call.partRemovals) < partRemovalsPerTransaction:
				call.Txn.Then = append(call.Txn.Then, store.Op{Delete: part.key})
				call.partRemovals = append(call.partRemovals, partRemoval{j, name})
			default:
				return
			}
		}
	}
}

// partRemoval is the removal of a part of a job.
type partRemoval struct {
	job  *job
	name string
}

// recordedParts are the parts of a job that earlier owners have recorded.
type recordedParts struct {
	revisions map[string]store.Revision
	progress  map[string]workflow.TaskGroupProgress
	// err is why a part can't be used, and with it the job.
	err error
}
