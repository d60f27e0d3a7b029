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

// job is a job that the owner knows.
type job struct {
	record *workflow.Record
	queue  workflow.Queue
	// occurrences holds the open occurrences; next is the first that is not yet due.
	occurrences table[int, *occurrence]
	next        int
	// stored holds the progress that was found at take-over, for pieces not yet made.
	stored map[string]workflow.PieceProgress
	// closed lists the occurrences that came to their end.
	closed    map[int]bool
	state     workflow.State
	cancelled bool
	ended     time.Time
	// changed counts the changes; recorded is the count that is durable.
	changed  uint64
	recorded uint64
	// changedListed is true while the owner lists the job as changed.
	changedListed bool
	// urgentSince is when the first change that is not yet recorded was made.
	urgentSince time.Time
	revision    store.Revision
	began       bool
}

// occurrence is one round of a job's steps.
type occurrence struct {
	number int
	steps  []*step
	left   int
}

// step is a step of one occurrence.
type step struct {
	spec   *workflow.Step
	index  int
	pieces []*piece
	left   int
	opened bool
	// class names the step for plans, objective is when the occurrence has to be
	// completed, and rest the estimated time from the start of the step to then.
	class     string
	objective time.Time
	rest      time.Duration
	// advice is what the adviser said of the workers for the step.
	advice *adviceOf
}

func newJob(record *workflow.Record) *job {
	return &job{
		record:      record,
		queue:       record.Queue,
		occurrences: newTable[int, *occurrence](),
		stored:      map[string]workflow.PieceProgress{},
		closed:      map[int]bool{},
		state:       workflow.Queued,
	}
}

// rounds is the number of occurrences that the job has in all.
func (j *job) rounds() int { return max(1, j.record.Spec.Occurrences) }

func (j *job) durable() bool { return j.changed == j.recorded }

// over reports whether nothing of the job may be started any more.
func (j *job) over() bool { return j.cancelled || j.state.Final() }

// pieceKey names a piece within its job: OCCURRENCE.STEP for a gang and
// OCCURRENCE.STEP.INDEX for an independent task.
func pieceKey(occurrence, step, index int, gang bool) string {
	if gang {
		return fmt.Sprintf("%d.%d", occurrence, step)
	}
	return fmt.Sprintf("%d.%d.%d", occurrence, step, index)
}

// open makes the pieces of an occurrence that is due.
func (j *job) open(number int) *occurrence {
	o := &occurrence{number: number}
	for i := range j.record.Spec.Steps {
		spec := &j.record.Spec.Steps[i]
		s := &step{spec: spec, index: i}
		count := spec.Tasks
		if spec.Gang {
			count = 1
		}
		for index := range count {
			p := newPiece(j, o, s, index)
			if stored, ok := j.stored[p.key]; ok {
				p.restore(stored)
				delete(j.stored, p.key)
			}
			if !p.finished() {
				s.left++
			}
			s.pieces = append(s.pieces, p)
		}
		if s.left > 0 {
			o.left++
		}
		o.steps = append(o.steps, s)
	}
	for _, s := range o.steps {
		s.class = fmt.Sprintf("%s.%d.%d", j.id(), number, s.index)
		s.objective, s.rest = j.objective(o), o.remaining(s)
	}
	j.occurrences.set(number, o)
	return o
}

// openSteps marks the steps whose turn has come and returns those that are new.
func (o *occurrence) openSteps(now time.Time) []*step {
	var opened []*step
	for _, s := range o.steps {
		if s.opened || !o.turnOf(s) {
			continue
		}
		s.opened = true
		opened = append(opened, s)
		for _, p := range s.pieces {
			p.ready = now
		}
	}
	return opened
}

func (o *occurrence) turnOf(s *step) bool {
	for _, earlier := range s.spec.After {
		if o.steps[earlier].left > 0 {
			return false
		}
	}
	return true
}

// progress returns what is recorded of the job.
func (j *job) progress() workflow.Progress {
	p := workflow.Progress{State: j.state, Ended: j.ended, Pieces: map[string]workflow.PieceProgress{}}
	p.Closed = slices.Sorted(maps.Keys(j.closed))
	if j.state.Final() {
		p.Pieces = nil
		return p
	}
	for key, stored := range j.stored {
		p.Pieces[key] = stored
	}
	for _, o := range j.occurrences.all() {
		for _, s := range o.steps {
			for _, piece := range s.pieces {
				if stored, known := piece.progress(); known {
					p.Pieces[piece.key] = stored
				}
			}
		}
	}
	return p
}

// close drops a finished occurrence and keeps only that it is done.
func (j *job) close(o *occurrence) {
	j.occurrences.remove(o.number)
	j.closed[o.number] = true
}

// each calls f for each piece of the open occurrences.
func (j *job) each(f func(p *piece)) {
	for _, o := range j.occurrences.all() {
		for _, s := range o.steps {
			for _, p := range s.pieces {
				f(p)
			}
		}
	}
}

// objective is when the job, or the occurrence, has to be completed.
func (j *job) objective(o *occurrence) time.Time {
	if j.record.Spec.LongRunning() {
		return time.Time{}
	}
	begin := j.record.Accepted
	if j.record.Spec.Scheduled() {
		begin = j.record.Spec.Due(o.number)
	}
	chain := time.Duration(j.queue.Stretch * float64(j.chain()))
	return begin.Add(chain + j.queue.Slack)
}

// chain is the estimated length of the longest chain of steps.
func (j *job) chain() time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.record.Spec.Steps))
	for i := range j.record.Spec.Steps {
		spec := &j.record.Spec.Steps[i]
		begin := time.Duration(0)
		for _, earlier := range spec.After {
			begin = max(begin, ends[earlier])
		}
		ends[i] = begin + spec.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// remaining is the estimated time from the start of a step to the end of the job.
func (o *occurrence) remaining(from *step) time.Duration {
	ends := make([]time.Duration, len(o.steps))
	ends[from.index] = from.spec.Estimate
	longest := from.spec.Estimate
	for i := from.index + 1; i < len(o.steps); i++ {
		for _, earlier := range o.steps[i].spec.After {
			if ends[earlier] > 0 {
				ends[i] = max(ends[i], ends[earlier]+o.steps[i].spec.Estimate)
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// taskSpec returns the step of a task; false when the job has no such step.
func (j *job) taskSpec(t workflow.Task) (*workflow.Step, bool) {
	if t.Step >= len(j.record.Spec.Steps) {
		return nil, false
	}
	return &j.record.Spec.Steps[t.Step], true
}

func (j *job) id() model.JobID { return j.record.ID }
