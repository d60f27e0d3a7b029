// Package job defines the job record, which is stored under one key per job and
// returned to callers. Only the owner of the job's availability zone writes it.
package job

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/scheduler/crashes"
)

// State is a state of the state chart "job".
type State string

// The states of a job, as in charts/job.toml.
const (
	Queued    State = "queued"
	Starting  State = "starting"
	Running   State = "running"
	Stopping  State = "stopping"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state has ended.
func (s State) Final() bool { return s == Done || s == Failed || s == Cancelled }

// Record is the stored state of a job.
type Record struct {
	Spec  model.JobSpec            `json:"spec"`
	Zone  model.AvailabilityZoneID `json:"zone"`
	State State                    `json:"state"`
	// Epoch is the ownership epoch in which the record was last written. The owner of
	// an older epoch may have started the job without recording the start.
	Epoch model.Epoch `json:"epoch"`
	// Attempt is the latest attempt to start the gang; empty before the first.
	Attempt model.AttemptID `json:"attempt,omitempty"`
	// Attempts counts the attempts in which at least one task may have run.
	Attempts int `json:"attempts"`
	// Placement names the worker of each task while the gang starts or runs.
	Placement model.Placement `json:"placement,omitempty"`
	// Incarnations are those of the workers in Placement; 0 where it was not known.
	Incarnations []int64 `json:"incarnations,omitempty"`
	// Crashes counts the crashes of workers under the job.
	Crashes crashes.Count `json:"crashes,omitzero"`
	// Checkpoints holds the latest checkpoint of each task, by task index; empty if none was taken.
	Checkpoints []string `json:"checkpoints,omitempty"`
	// MovedFrom is the zone that the job was moved from, after its owner had verified
	// that no task runs there. It is cleared once the owner of the new zone has queued
	// the job. The old zone keeps a forwarding record: one whose Zone differs from the
	// zone in its key.
	MovedFrom model.AvailabilityZoneID `json:"moved_from,omitempty"`
	// ForwardingRevisions holds the store revision of the forwarding record in each
	// zone that the job was moved from.
	ForwardingRevisions map[model.AvailabilityZoneID]int64 `json:"left_behind,omitempty"`
	// Cancel is true once the caller has cancelled the job.
	Cancel   bool            `json:"cancel,omitempty"`
	Outcome  outcome.Outcome `json:"outcome"`
	Accepted time.Time       `json:"accepted"`
	Started  time.Time       `json:"started,omitzero"`
	Ended    time.Time       `json:"ended,omitzero"`
	// Revision increases with each change that is visible to callers; it is 0 in the store.
	Revision int64 `json:"revision"`
}

// Encode returns the record as it is stored.
func (r Record) Encode() []byte {
	text, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "job: encode record"))
	}
	return text
}

// Decode reads a stored record.
func Decode(text []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		return Record{}, errors.Wrap(err, "job record")
	}
	return r, nil
}
