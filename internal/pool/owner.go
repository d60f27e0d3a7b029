package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/panics"
	"github.com/chervilrun/chervilrun/internal/scheduler/crashes"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
	"github.com/chervilrun/chervilrun/internal/scheduler/quarantine"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Owner drives the jobs of a pool. It is not safe for concurrent use, does no I/O and
// reads no clock.
type Owner struct {
	// fence is the fencing token of this owner; a later owner has a higher one.
	fence     uint64
	timing    Timing
	events    *event.Recorder
	policy    Policy
	startedAt time.Time
	now       time.Time

	// jobs holds all jobs until their retention period is over, active those that have not ended
	// or still have something running or unrecorded.
	jobs   orderedMap[model.JobID, *job]
	active orderedMap[model.JobID, *job]
	// earlyCancellations are those of jobs that were not known when they were read.
	earlyCancellations earlyCancellations
	workers            orderedMap[model.WorkerID, *worker]
	taskGroups         map[plan.TaskGroupID]*taskGroup
	index              index
	// assigned are the task groups that have workers but no start orders yet.
	assigned []*taskGroup
	// recoveringTaskGroups have a recorded run of an earlier owner whose state is not yet known
	// from all of its workers.
	recoveringTaskGroups []*taskGroup

	peaks      map[peakKey]peak
	reclaims   map[reclaimKey]ReclaimReport
	upkeep     upkeep
	quarantine *quarantine.List
	// unlistedWorkers are the workers that count as crashed until they come back as the same
	// incarnation.
	unlistedWorkers map[model.WorkerID]unlistedWorker
	// crashRate and crashReport count the crashes of workers since the takeover.
	crashRate   *crashes.Rate
	crashReport CrashReport
	crashRecord recordState
	silences    silences
	// suspects are the task groups under which workers have crashed.
	suspects      orderedMap[plan.TaskGroupID, *taskGroup]
	ownershipLost bool
	// planNeeded is true when something has changed that may affect a plan.
	planNeeded bool
	// nextRestart is the earliest end of the pause of a task group; zero if none is paused.
	nextRestart       time.Time
	lastPlanAt        time.Time
	storeCallInFlight bool
	storeCallSentAt   time.Time
	storeRetryAt      time.Time
	// unansweredStoreCalls counts the consecutive transactions without a response.
	unansweredStoreCalls int
	suspectedRecords     []suspectedRecord
	// checkpointMemory is the length of the checkpoints of all task groups.
	checkpointMemory int
	// recordedParts are the parts of jobs that have not been added yet.
	recordedParts map[model.JobID]*recordedParts
	// changed lists the jobs that may have unrecorded changes.
	changed []*job
	// lastRemovalCheck is when the last check for expired jobs found none.
	lastRemovalCheck time.Time
	// pendingCalls are returned by the current or next call of Advance.
	pendingCalls    []Call
	claimsInFlight  int
	lastClaimChoice time.Time
	adviser         adviserState
	// nextDue is the earliest time at which Advance has something to do.
	nextDue time.Time
}

// NewOwner returns an owner whose fencing token is fence, the store revision of the owner's key.
func NewOwner(fence uint64, timing Timing, events *event.Recorder, now time.Time) *Owner {
	return &Owner{
		fence:     fence,
		timing:    timing,
		events:    events,
		startedAt: now,
		now:       now,
		jobs:      newOrderedMap[model.JobID, *job](),
		active:    newOrderedMap[model.JobID, *job](),

		earlyCancellations: newEarlyCancellations(),

		workers:    newOrderedMap[model.WorkerID, *worker](),
		taskGroups: map[plan.TaskGroupID]*taskGroup{},
		index:      newIndex(),
		upkeep:     upkeep{history: map[upkeepID]*machineUpkeep{}, ordersFrom: map[MachineID]time.Time{}},
		peaks:      map[peakKey]peak{},
		reclaims:   map[reclaimKey]ReclaimReport{},

		recordedParts:   map[model.JobID]*recordedParts{},
		unlistedWorkers: map[model.WorkerID]unlistedWorker{},
		adviser:         adviserState{timeoutFactor: 1},
		crashRate:       crashes.NewRate(now),
		crashRecord:     recordState{key: store.PoolCrashesKey},
		silences: silences{
			record: recordState{key: store.PoolSilenceKey}, workers: newOrderedMap[model.WorkerID, *silentWorker](),
		},
		suspects: newOrderedMap[plan.TaskGroupID, *taskGroup](),
		quarantine: quarantine.NewList(quarantine.Rule{
			Failures: quarantineFailures,
			Base:     timing.QuarantineBase,
			Max:      timing.QuarantineMax,
		}),
	}
}

// OwnershipLost reports whether the ownership is lost: a worker, the machine API or the store has
// shown that there is a later owner.
func (o *Owner) OwnershipLost() bool { return o.ownershipLost }

// SetPolicy replaces the part of the configuration that the owner depends on.
func (o *Owner) SetPolicy(policy Policy, now time.Time) {
	o.now = now
	o.policy = policy
	o.planNeeded = true
}

// AddJob adds an accepted job with its recorded progress, if any. A record that breaks an
// invariant is set aside with an error: it must not end the term of each owner in turn.
func (o *Owner) AddJob(record *workflow.Record, progress *workflow.Progress, revision store.Revision, now time.Time) (err error) {
	o.now = now
	if o.jobs.has(record.ID) {
		return nil
	}
	if stored, ok := o.recordedParts[record.ID]; ok && stored.err != nil {
		return stored.err
	}
	j := newJob(record)
	defer func() {
		if value := recover(); value != nil {
			err = panics.New(value)
			o.discard(j)
		}
	}()
	o.addJob(j, progress, revision)
	o.applyEarlyCancellations(j)
	return nil
}

// discard removes a job that could not be added completely.
func (o *Owner) discard(j *job) {
	o.jobs.remove(j.id())
	o.active.remove(j.id())
	j.forEachTaskGroup(o.removeTaskGroup)
	o.recoveringTaskGroups = slices.DeleteFunc(o.recoveringTaskGroups, func(g *taskGroup) bool { return g.job == j })
	o.changed = slices.DeleteFunc(o.changed, func(other *job) bool { return other == j })
}

func (o *Owner) addJob(j *job, progress *workflow.Progress, revision store.Revision) {
	j.head.revision = revision
	o.jobs.set(j.id(), j)
	progress = o.withParts(j, progress)
	if progress != nil {
		o.restore(j, progress)
	}
	if j.state.Final() {
		return
	}
	if j.headHoldsTaskGroups {
		defer o.recordInParts(j)
	}
	o.active.set(j.id(), j)
	for number := range j.occurrenceCount() {
		if o.hasOpenTaskGroups(j, number, progress) {
			o.openOccurrence(j, number)
		}
	}
	o.openDueOccurrences(j)
	o.planNeeded = true
}

// withParts returns the recorded progress of a job with the task groups of its parts, which are newer
// than any in the head. A job may have parts before it has a head.
func (o *Owner) withParts(j *job, progress *workflow.Progress) *workflow.Progress {
	stored, ok := o.recordedParts[j.id()]
	j.inParts = j.inParts || ok || progress != nil && progress.InParts
	j.headHoldsTaskGroups = j.inParts && progress != nil && len(progress.TaskGroups) > 0
	if !ok {
		return progress
	}
	delete(o.recordedParts, j.id())
	merged := workflow.Progress{State: workflow.Queued}
	if progress != nil {
		merged = *progress
	}
	merged.TaskGroups = maps.Clone(merged.TaskGroups)
	if merged.TaskGroups == nil {
		merged.TaskGroups = map[string]workflow.TaskGroupProgress{}
	}
	maps.Copy(merged.TaskGroups, stored.progress)
	for name, revision := range stored.revisions {
		var occurrence, number int
		if _, err := fmt.Sscanf(name, "%d.%d", &occurrence, &number); err == nil {
			j.part(occurrence, number).revision = revision
		}
	}
	return &merged
}

// recordInParts records the task groups of a job, which an earlier version has recorded in the head, in
// parts.
func (o *Owner) recordInParts(j *job) {
	j.forEachTaskGroup(func(g *taskGroup) { o.markChanged(g) })
	o.markHeadChanged(j)
}

// restore sets the state of a job from its recorded progress.
func (o *Owner) restore(j *job, progress *workflow.Progress) {
	j.state, j.endedAt = progress.State, progress.Ended
	j.started = j.state != workflow.Queued
	for _, number := range progress.EndedOccurrences {
		j.closedOccurrences[number] = true
	}
	for key, stored := range progress.TaskGroups {
		j.storedProgress[key] = stored
	}
}

// hasOpenTaskGroups reports whether the recorded progress has task groups of an occurrence
// that is not closed.
func (o *Owner) hasOpenTaskGroups(j *job, number int, progress *workflow.Progress) bool {
	if progress == nil || len(progress.TaskGroups) == 0 || j.closedOccurrences[number] {
		return false
	}
	for key := range progress.TaskGroups {
		if taskGroupOccurrence(key) == number {
			return true
		}
	}
	return false
}

// maxOpenTasks limits the tasks of the open occurrences of a job, unless only one is open.
// Further occurrences open once earlier ones have ended, so that a job with very many due
// times does not take up all memory of its owner.
const maxOpenTasks = 2 * workflow.MaxTasks

// openDueOccurrences opens the occurrences that are due.
func (o *Owner) openDueOccurrences(j *job) {
	tasks := j.record.Spec.TaskCount()
	for j.nextOccurrence < j.occurrenceCount() {
		if open := j.occurrences.len(); open > 0 && (open+1)*tasks > maxOpenTasks {
			return
		}
		due := j.record.Spec.Due(j.nextOccurrence)
		if !due.IsZero() && o.now.Before(due) {
			o.wakeAt(o.now.Add(due.Sub(o.now)))
			return
		}
		if !j.occurrences.has(j.nextOccurrence) && !j.closedOccurrences[j.nextOccurrence] {
			o.openOccurrence(j, j.nextOccurrence)
		}
		j.nextOccurrence++
	}
}

func (o *Owner) openOccurrence(j *job, number int) {
	occurrence := j.openOccurrence(number)
	for _, s := range occurrence.steps {
		for _, g := range s.taskGroups {
			o.addTaskGroup(g)
			if g.state() == taskGroupRecovering {
				o.recoveringTaskGroups = append(o.recoveringTaskGroups, g)
			}
		}
	}
	occurrence.markReadySteps(o.now)
	o.closeIfDone(j, occurrence)
	o.planNeeded = true
}

// stopJob stops every run of a job.
func (o *Owner) stopJob(j *job) {
	j.forEachTaskGroup(func(g *taskGroup) { o.stopTaskGroup(g, "job_over") })
	o.planNeeded = true
}

// finishJob sets the final state of a job; its runs may still have to be stopped.
func (o *Owner) finishJob(j *job, state workflow.State) {
	j.state, j.endedAt = state, o.now
	o.markHeadChanged(j)
	j.supersedeParts(func(int) bool { return true })
}

// retire releases the memory of an ended job once nothing of it runs and all is recorded.
func (o *Owner) retire(j *job) {
	busy := false
	j.forEachTaskGroup(func(g *taskGroup) { busy = busy || g.holdsResources() })
	if busy || !j.fullyRecorded() {
		return
	}
	j.forEachTaskGroup(o.removeTaskGroup)
	j.occurrences.clear()
	j.storedProgress = nil
	o.active.remove(j.id())
}

func (o *Owner) wakeAt(wakeTime time.Time) {
	if o.nextDue.IsZero() || wakeTime.Before(o.nextDue) {
		o.nextDue = wakeTime
	}
}

func (o *Owner) emit(number event.Number, subject event.Subject, fields event.Fields) {
	if o.events == nil {
		return
	}
	fields["fence"] = o.fence
	o.events.RecordFields(number, subject, fields)
}
