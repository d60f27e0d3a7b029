package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// job is the owner's state of a job.
type job struct {
	record *workflow.Record
	queue  workflow.Queue
	// occurrences holds the open occurrences; nextOccurrence is the first not yet due.
	occurrences    orderedMap[int, *occurrence]
	nextOccurrence int
	// storedProgress holds the progress recorded by an earlier owner of task groups that are
	// not created yet.
	storedProgress map[string]workflow.TaskGroupProgress
	// closedOccurrences are the occurrences that are done.
	closedOccurrences map[int]bool
	state             workflow.State
	cancelled         bool
	endedAt           time.Time
	// version counts the changes; recordedVersion is the version in the store.
	version         uint64
	recordedVersion uint64
	// inChangedList is true while the job is in Owner.changed.
	inChangedList bool
	// unrecordedSince is the time of the first unrecorded change.
	unrecordedSince time.Time
	// head is the record of the job itself, parts those of its task groups if inParts is true, by
	// name. unrecorded are the records with changes to record.
	head       jobRecord
	parts      orderedMap[string, *jobRecord]
	inParts    bool
	unrecorded []*jobRecord
	// headHoldsTaskGroups is true while the stored head has the task groups, although they belong into
	// parts: an earlier version has recorded it.
	headHoldsTaskGroups bool
	// refused is true while the store refuses a record of the job, checkpointsOmitted once one has been
	// too long to keep.
	refused            bool
	checkpointsOmitted bool
	// placed is true once start orders for a task of the job were queued, by this owner or an
	// earlier one; started once a worker has confirmed a start.
	placed  bool
	started bool
}

// occurrence is one execution of the steps of a job; a scheduled job has several.
type occurrence struct {
	number    int
	steps     []*step
	stepsLeft int
}

// step is a step of one occurrence.
type step struct {
	spec           *workflow.Step
	index          int
	taskGroups     []*taskGroup
	taskGroupsLeft int
	ready          bool
	// name identifies the step as JOB.OCCURRENCE.STEP.
	name string
	// objective is when the occurrence should be completed.
	objective time.Time
	// remaining is the estimated time from the start of the step to the end of the occurrence.
	remaining time.Duration
	// advice holds the adviser's responses on the workers for the step.
	advice *stepAdvice
}

func newJob(record *workflow.Record) *job {
	return &job{
		head:              jobRecord{key: store.PoolProgressKey(record.ID)},
		parts:             newOrderedMap[string, *jobRecord](),
		inParts:           isInParts(&record.Spec),
		record:            record,
		queue:             record.Queue,
		occurrences:       newOrderedMap[int, *occurrence](),
		storedProgress:    map[string]workflow.TaskGroupProgress{},
		closedOccurrences: map[int]bool{},
		state:             workflow.Queued,
	}
}

// occurrenceCount is the total number of occurrences of the job.
func (j *job) occurrenceCount() int { return max(1, j.record.Spec.Occurrences) }

func (j *job) fullyRecorded() bool { return j.version == j.recordedVersion }

// cantBeRecorded reports whether the store refuses a record of the job. An assignment that isn't recorded
// starts nothing, and would only withhold resources.
func (j *job) cantBeRecorded() bool { return j.refused }

// isTerminal reports whether nothing of the job may be started any more.
func (j *job) isTerminal() bool { return j.cancelled || j.state.Final() }

// taskGroupKey names a task group within its job: OCCURRENCE.STEP for a gang and
// OCCURRENCE.STEP.INDEX for an independent task.
func taskGroupKey(occurrence, step, index int, gang bool) string {
	if gang {
		return fmt.Sprintf("%d.%d", occurrence, step)
	}
	return fmt.Sprintf("%d.%d.%d", occurrence, step, index)
}

// openOccurrence creates the task groups of an occurrence that is due.
func (j *job) openOccurrence(number int) *occurrence {
	o := &occurrence{number: number}
	for i := range j.record.Spec.Steps {
		spec := &j.record.Spec.Steps[i]
		s := &step{spec: spec, index: i}
		count := spec.Tasks
		if spec.Gang {
			count = 1
		}
		for index := range count {
			g := newTaskGroup(j, o, s, index)
			if stored, ok := j.storedProgress[g.key]; ok {
				g.restore(stored)
				delete(j.storedProgress, g.key)
			}
			if !g.finished() {
				s.taskGroupsLeft++
			}
			s.taskGroups = append(s.taskGroups, g)
		}
		if s.taskGroupsLeft > 0 {
			o.stepsLeft++
		}
		o.steps = append(o.steps, s)
	}
	for _, s := range o.steps {
		s.name = fmt.Sprintf("%s.%d.%d", j.id(), number, s.index)
		s.objective, s.remaining = j.objective(o), o.remaining(s)
	}
	j.occurrences.set(number, o)
	j.assignRecords(o)
	return o
}

// markReadySteps marks the steps whose dependencies are done and returns the newly ready ones.
func (o *occurrence) markReadySteps(now time.Time) []*step {
	var newlyReady []*step
	for _, s := range o.steps {
		if s.ready || !o.dependenciesDone(s) {
			continue
		}
		s.ready = true
		newlyReady = append(newlyReady, s)
		for _, g := range s.taskGroups {
			g.readySince = now
		}
	}
	return newlyReady
}

func (o *occurrence) dependenciesDone(s *step) bool {
	for _, dependency := range s.spec.DependsOn {
		if o.steps[dependency].taskGroupsLeft > 0 {
			return false
		}
	}
	return true
}

// sortedClosedOccurrences lists the occurrences that have ended.
func (j *job) sortedClosedOccurrences() []int { return slices.Sorted(maps.Keys(j.closedOccurrences)) }

// closeOccurrence discards the state of a finished occurrence and marks it as done.
func (j *job) closeOccurrence(o *occurrence) {
	j.occurrences.remove(o.number)
	j.closedOccurrences[o.number] = true
}

// forEachTaskGroup calls f for each task group of the open occurrences.
func (j *job) forEachTaskGroup(f func(g *taskGroup)) {
	for _, o := range j.occurrences.all() {
		for _, s := range o.steps {
			for _, g := range s.taskGroups {
				f(g)
			}
		}
	}
}

// objective is when the occurrence should be completed; zero means no objective.
func (j *job) objective(o *occurrence) time.Time {
	if j.record.Spec.LongRunning() {
		return time.Time{}
	}
	start := j.record.Accepted
	if j.record.Spec.Scheduled() {
		start = j.record.Spec.Due(o.number)
	}
	stretched := time.Duration(j.queue.Stretch * float64(j.criticalPath()))
	return start.Add(stretched + j.queue.Slack)
}

// criticalPath is the estimated duration of the longest chain of dependent steps.
func (j *job) criticalPath() time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.record.Spec.Steps))
	for i := range j.record.Spec.Steps {
		spec := &j.record.Spec.Steps[i]
		start := time.Duration(0)
		for _, dependency := range spec.DependsOn {
			start = max(start, ends[dependency])
		}
		ends[i] = start + spec.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// remaining is the estimated time from the start of a step to the end of the occurrence.
func (o *occurrence) remaining(from *step) time.Duration {
	ends := make([]time.Duration, len(o.steps))
	ends[from.index] = from.spec.Estimate
	longest := from.spec.Estimate
	for i := from.index + 1; i < len(o.steps); i++ {
		for _, dependency := range o.steps[i].spec.DependsOn {
			if ends[dependency] > 0 {
				ends[i] = max(ends[i], ends[dependency]+o.steps[i].spec.Estimate)
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// taskSpec returns the step of a task; false if the job has no such step.
func (j *job) taskSpec(t workflow.Task) (*workflow.Step, bool) {
	if t.Step >= len(j.record.Spec.Steps) {
		return nil, false
	}
	return &j.record.Spec.Steps[t.Step], true
}

// mayHaveBegun reports whether a task of the job has been started, or was placed by an earlier
// owner on a worker that has not answered yet.
func (j *job) mayHaveBegun() bool {
	begun := j.started
	if !begun {
		j.forEachTaskGroup(func(g *taskGroup) { begun = begun || g.state() == taskGroupRecovering })
	}
	return begun
}

func (j *job) id() model.JobID { return j.record.ID }
