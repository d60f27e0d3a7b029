// Package workflow defines jobs that consist of steps with dependencies. A step is either
// a gang, whose tasks run together, or a set of independent tasks. A scheduled job has
// occurrences: all its steps run once for each due time.
package workflow

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/model"
)

// The limits of a job that the system accepts.
const (
	// MaxPayloadBytes limits the payload that every task of a job receives.
	MaxPayloadBytes = 4000
	// MaxSteps limits the number of steps of a job.
	MaxSteps = 256
	// MaxTasks limits the number of tasks of one occurrence.
	MaxTasks = 4096
	// MaxOccurrences limits the number of times that a job's steps run.
	MaxOccurrences = 100_000
)

// Step is one step of a job: a number of identical tasks.
type Step struct {
	Tasks   int             `json:"n"`
	PerTask model.Resources `json:"r"`
	// Estimate is the submitter's estimate of a task's run time; only a hint.
	Estimate time.Duration `json:"est,omitempty"`
	// DependsOn lists the earlier steps that must have finished before this one starts.
	DependsOn []int `json:"after,omitempty"`
	// Checkpoints is true when the tasks save their progress.
	Checkpoints bool `json:"ckpt,omitempty"`
	// Gang is true when the tasks must run at the same time.
	Gang bool `json:"gang,omitempty"`
	// SameRack requests placement of a gang on one rack; otherwise its tasks run slower.
	SameRack bool `json:"rack,omitempty"`
	// RequiredLabel is a label that a worker must have; empty means any worker.
	RequiredLabel string `json:"label,omitempty"`
	// DataRack is the rack that holds the data of the tasks, which run slower elsewhere;
	// empty means any.
	DataRack string `json:"data,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence on one worker; 0 means no limit.
	MaxPerWorker int `json:"max,omitempty"`
	// Speculative allows copies of a task to run concurrently.
	Speculative bool `json:"spec,omitempty"`
	// LongRunning marks tasks that run until the job is cancelled and are restarted when
	// they end earlier.
	LongRunning bool `json:"long,omitempty"`
	// Image names the program that the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// LatencyTarget is the maximum tail latency of a long-running task; 0 means none.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// Filler marks tasks that use CPU time that other tasks leave idle; their CPU demand
	// does not count towards a worker's capacity.
	Filler bool `json:"fill,omitempty"`
	// DisruptionBudget is the maximum number of long-running tasks that the system's own
	// actions may make unavailable at the same time.
	DisruptionBudget int `json:"budget,omitempty"`
}

// Demand returns what a task of the step takes from a worker's capacity.
func (s *Step) Demand() model.Resources {
	if !s.Filler {
		return s.PerTask
	}
	demand := s.PerTask
	demand.MilliCPU = 0
	return demand
}

// Spec is the specification of a job; it does not change after the job is accepted.
type Spec struct {
	// Payload is passed to every task unchanged.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// FirstDue is when occurrence 0 is due; zero for a job without due times.
	FirstDue time.Time `json:"first,omitzero"`
	// Period is the time between two occurrences.
	Period time.Duration `json:"period,omitempty"`
	// Occurrences is the number of due times; 0 for a job without due times.
	Occurrences int `json:"times,omitempty"`
}

// Validate returns an error that describes the first invalid field.
func (s *Spec) Validate() error {
	switch {
	case len(s.Payload) > MaxPayloadBytes:
		return errors.Errorf("the payload has %d bytes, at most %d are allowed", len(s.Payload), MaxPayloadBytes)
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return errors.Errorf("the job has %d steps, expected 1 to %d", len(s.Steps), MaxSteps)
	case s.Occurrences < 0 || s.Occurrences > MaxOccurrences:
		return errors.Errorf("the job has %d occurrences, expected 0 to %d", s.Occurrences, MaxOccurrences)
	case s.Period < 0:
		return errors.Errorf("the period %s is negative", s.Period)
	}
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return errors.Wrapf(err, "step %d", i)
		}
	}
	if tasks := s.TaskCount(); tasks > MaxTasks {
		return errors.Errorf("the job has %d tasks, at most %d are allowed", tasks, MaxTasks)
	}
	return nil
}

// TaskCount is the number of tasks of one occurrence.
func (s *Spec) TaskCount() int {
	tasks := 0
	for i := range s.Steps {
		tasks += s.Steps[i].Tasks
	}
	return tasks
}

func (s *Step) validate(index int) error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return errors.Errorf("%d tasks, expected 1 to %d", s.Tasks, MaxTasks)
	}
	if s.PerTask.IsNegative() {
		return errors.Errorf("negative resources: %s", s.PerTask)
	}
	if s.MaxPerWorker < 0 || s.DisruptionBudget < 0 || s.Estimate < 0 || s.LatencyTarget < 0 {
		return errors.New("negative limit or duration")
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= index {
			return errors.Errorf("depends on step %d, which is not an earlier step", dependency)
		}
	}
	return nil
}

// Scheduled reports whether the job has due times.
func (s *Spec) Scheduled() bool { return s.Occurrences > 0 }

// LongRunning reports whether the job runs until it is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Due returns when an occurrence is due; zero for a job without due times.
func (s *Spec) Due(occurrence int) time.Time {
	if !s.Scheduled() {
		return time.Time{}
	}
	return s.FirstDue.Add(time.Duration(occurrence) * s.Period)
}

// InitialAccelerators returns the number of accelerators that the steps without
// dependencies need together.
func (s *Spec) InitialAccelerators() int {
	total := 0
	for i := range s.Steps {
		if len(s.Steps[i].DependsOn) == 0 {
			total += s.Steps[i].Tasks * s.Steps[i].PerTask.Accelerators
		}
	}
	return total
}

// Task identifies one task of a job.
type Task struct {
	Job        model.JobID
	Occurrence int
	Step       int
	Index      int
}

// ID returns the identifier of the task in the form JOB.OCCURRENCE.STEP.INDEX.
func (t Task) ID() model.TaskID {
	return model.TaskID(fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index))
}

// taskParts is the number of parts of a task identifier.
const taskParts = 4

// ParseTask parses the identifier of a task.
func ParseTask(id model.TaskID) (Task, error) {
	parts := strings.Split(string(id), ".")
	if len(parts) != taskParts {
		return Task{}, errors.Errorf("task identifier %q has %d parts, expected %d", id, len(parts), taskParts)
	}
	var numbers [taskParts - 1]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return Task{}, errors.Errorf("task identifier %q: %q is not a non-negative integer", id, parts[i+1])
		}
		numbers[i] = n
	}
	return Task{Job: model.JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
