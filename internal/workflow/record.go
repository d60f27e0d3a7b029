package workflow

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Queue is the configuration of a queue.
type Queue struct {
	Name        string          `json:"name"`
	Service     model.ServiceID `json:"service"`
	Priority    int             `json:"priority"`
	MaxAttempts int             `json:"max_attempts"`
	// The latency objective of a job is Stretch times its critical path, plus Slack.
	Stretch float64       `json:"stretch"`
	Slack   time.Duration `json:"slack"`
	// Advised is true when the adviser is asked which workers may run a step. A request
	// takes AdviceBase, plus AdvicePerWorker for each worker that it names. TicketValidity is how
	// long its tickets are valid, unless a response says otherwise; 0 if that is not known.
	Advised         bool          `json:"advised,omitempty"`
	AdviceBase      time.Duration `json:"advice_base,omitempty"`
	AdvicePerWorker time.Duration `json:"advice_each,omitempty"`
	TicketValidity  time.Duration `json:"ticket_validity,omitempty"`
}

// AdviceTime returns how long the adviser takes for a request about a number of workers.
func (q *Queue) AdviceTime(workers int) time.Duration {
	return q.AdviceBase + time.Duration(workers)*q.AdvicePerWorker
}

// WorkersWithinAdviceBase returns for how many workers the adviser takes as long as the base of a
// request alone; 0 if the base or the time for each worker is not known.
func (q *Queue) WorkersWithinAdviceBase() int {
	if q.AdvicePerWorker <= 0 {
		return 0
	}
	return int(q.AdviceBase / q.AdvicePerWorker)
}

// Record is a job as it was accepted. The host that accepts the job writes it once.
type Record struct {
	ID model.JobID `json:"id"`
	// Queue is the configuration of the queue when the job was accepted.
	Queue        Queue                `json:"queue"`
	Organisation model.OrganisationID `json:"org,omitempty"`
	// Accepted is when the record was written, by the wall clock of the accepting host.
	Accepted time.Time `json:"at"`
	Spec     Spec      `json:"spec"`
}

// Cancellation is the record of a request to cancel a job.
type Cancellation struct {
	// Organisation made the request; only a job of it is cancelled. Records of earlier versions
	// don't name it, and cancel any job.
	Organisation *model.OrganisationID `json:"organisation,omitempty"`
}

// Concerns reports whether the request cancels a job of an organisation.
func (c *Cancellation) Concerns(organisation model.OrganisationID) bool {
	return c.Organisation == nil || *c.Organisation == organisation
}

// State is the state of a job as callers see it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state has ended.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Progress is the stored progress of a job. Only the pool's owner writes it.
type Progress struct {
	State State `json:"s"`
	// Ended is when the job ended, by the owner's wall clock.
	Ended time.Time `json:"end,omitzero"`
	// EndedOccurrences lists the occurrences that have ended.
	EndedOccurrences []int `json:"closed,omitempty"`
	// TaskGroups holds the recorded task groups of occurrences that have not ended, unless they are
	// recorded in parts.
	TaskGroups map[string]TaskGroupProgress `json:"p,omitempty"`
	// InParts is true if each task group is in a ProgressPart.
	InParts bool `json:"-"`
}

// ProgressPart is the stored progress of some task groups of a job with many tasks.
type ProgressPart struct {
	TaskGroups map[string]TaskGroupProgress `json:"p"`
}

// progressHead is the encoding of a Progress whose task groups are in parts. Its "p" is no object, so
// that earlier versions, which know no parts, set the job aside instead of starting its tasks again.
type progressHead struct {
	State State     `json:"s"`
	Ended time.Time `json:"end,omitzero"`
	// EndedOccurrences has ranges of occurrences, each with its first and last one.
	EndedOccurrences [][2]int `json:"closed_ranges,omitempty"`
	TaskGroups       string   `json:"p"`
}

// inParts is the value of progressHead.TaskGroups.
const inParts = "parts"

// MarshalJSON implements json.Marshaler.
func (p Progress) MarshalJSON() ([]byte, error) {
	if p.InParts {
		return json.Marshal(progressHead{State: p.State, Ended: p.Ended, EndedOccurrences: rangesOf(p.EndedOccurrences), TaskGroups: inParts})
	}
	type plain Progress
	return json.Marshal(plain(p))
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Progress) UnmarshalJSON(text []byte) error {
	var head progressHead
	if err := json.Unmarshal(text, &head); err == nil && head.TaskGroups == inParts {
		*p = Progress{State: head.State, Ended: head.Ended, InParts: true}
		for _, r := range head.EndedOccurrences {
			for number := r[0]; number <= min(r[1], MaxOccurrences); number++ {
				p.EndedOccurrences = append(p.EndedOccurrences, number)
			}
		}
		return nil
	}
	type plain Progress
	return json.Unmarshal(text, (*plain)(p))
}

// rangesOf returns the ranges of consecutive numbers in a sorted list.
func rangesOf(numbers []int) [][2]int {
	var ranges [][2]int
	for _, n := range numbers {
		if last := len(ranges) - 1; last >= 0 && ranges[last][1] == n-1 {
			ranges[last][1] = n
			continue
		}
		ranges = append(ranges, [2]int{n, n})
	}
	return ranges
}

// TaskGroupProgress is the stored progress of one task group: a gang or one independent task.
type TaskGroupProgress struct {
	Done bool `json:"d,omitempty"`
	// Run is the number of the latest start; 0 before the first.
	Run int `json:"r,omitempty"`
	// Failures is the number of failed runs.
	Failures int `json:"f,omitempty"`
	// Checkpoint names the state from which the next run resumes; empty means from the start.
	Checkpoint string `json:"c,omitempty"`
	// Workers lists the workers of the latest run, by index of the task; empty when all its
	// tasks are known to have ended.
	Workers []model.WorkerID `json:"w,omitempty"`
	// Incarnations are those of Workers when they were assigned; 0 where it was not known.
	Incarnations []int64 `json:"i,omitempty"`
	// PlacedMS is when the latest run was assigned to Workers, by the owner's wall clock, in
	// milliseconds since 1970; 0 if it is not known.
	PlacedMS int64 `json:"at,omitempty"`
	// Crashes lists the runs under which a worker has crashed.
	Crashes []CrashedRun `json:"crashes,omitempty"`
	// CrashedRuns, LoneCrashes and ExpectedCrashes stand for Crashes in records of earlier
	// versions: the runs, how many were alone, and the sum of what was expected.
	CrashedRuns     []int   `json:"crashed,omitempty"`
	LoneCrashes     int     `json:"lone_crashes,omitempty"`
	ExpectedCrashes float64 `json:"expected_crashes,omitempty"`
	// FailedRun is the latest run whose failure Failures counts, so that the next owner does
	// not count it again when a worker lists its end once more.
	FailedRun int `json:"failed_run,omitempty"`
}

// CrashedRun is a run under which a worker has crashed.
type CrashedRun struct {
	Run int `json:"r"`
	// Worker is the address of the worker; empty if it is not known.
	Worker string `json:"w,omitempty"`
	// Members are the indices of the gang's tasks on the workers that have crashed; empty for a task
	// that is no gang, and in records of earlier versions.
	Members []int `json:"m,omitempty"`
	// Alone is true if nothing else ran on the worker.
	Alone bool `json:"alone,omitempty"`
	// Expected is how many crashes were to be expected by chance during the run.
	Expected float64 `json:"expected,omitempty"`
}

// crashesOfEarlierVersion returns the crashes of a record of an earlier version.
func (p *TaskGroupProgress) crashesOfEarlierVersion() []CrashedRun {
	var found []CrashedRun
	for i, run := range p.CrashedRuns {
		found = append(found, CrashedRun{Run: run, Alone: i < p.LoneCrashes, Expected: p.ExpectedCrashes / float64(len(p.CrashedRuns))})
	}
	return found
}

// Encode returns the JSON encoding of a Record, a Cancellation, a Progress or a ProgressPart.
func Encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "workflow: encode a record"))
	}
	return text
}

// DecodeRecord decodes and validates the stored record of a job.
func DecodeRecord(text []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, errors.Wrap(err, "decode the job record")
	}
	if err := r.Spec.Validate(); err != nil {
		return nil, errors.Wrapf(err, "job record %s", r.ID)
	}
	return &r, nil
}

// DecodeCancellation decodes the stored request to cancel a job.
func DecodeCancellation(text []byte) (Cancellation, error) {
	var c Cancellation
	err := json.Unmarshal(text, &c)
	return c, errors.Wrap(err, "decode the cancellation")
}

// DecodeProgress decodes the stored progress of a job.
func DecodeProgress(text []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(text, &p); err != nil {
		return Progress{}, errors.Wrap(err, "decode the job progress")
	}
	for key, group := range p.TaskGroups {
		if len(group.CrashedRuns) > 0 {
			group.Crashes = group.crashesOfEarlierVersion()
			group.CrashedRuns, group.LoneCrashes, group.ExpectedCrashes = nil, 0, 0
			p.TaskGroups[key] = group
		}
	}
	return p, nil
}

// DecodeProgressPart decodes a stored part of the job progress.
func DecodeProgressPart(text []byte) (ProgressPart, error) {
	var p ProgressPart
	err := json.Unmarshal(text, &p)
	return p, errors.Wrap(err, "decode a part of the job progress")
}
