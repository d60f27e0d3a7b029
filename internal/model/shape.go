package model

import (
	"fmt"

	"github.com/pkg/errors"
)

// Adjacency is how close together the tasks of a gang must run.
type Adjacency string

// The adjacencies, from the loosest to the tightest.
const (
	AdjacencyZone   Adjacency = "zone"   // all tasks in one availability zone
	AdjacencyRack   Adjacency = "rack"   // all tasks in one rack
	AdjacencyWorker Adjacency = "worker" // all tasks on one worker
)

// Valid reports whether a is one of the defined adjacencies.
func (a Adjacency) Valid() bool {
	return a == AdjacencyZone || a == AdjacencyRack || a == AdjacencyWorker
}

// MaxGangTasks is the largest number of tasks that a gang may have.
const MaxGangTasks = 128

// Shape is what a gang requests: a number of equal tasks and their adjacency.
type Shape struct {
	Tasks     int       `json:"tasks" toml:"tasks"`
	PerTask   Resources `json:"per_task" toml:"per_task"`
	Adjacency Adjacency `json:"adjacency" toml:"adjacency"`
}

// Total returns the resources of all tasks together.
func (s Shape) Total() Resources { return s.PerTask.Times(s.Tasks) }

// Validate returns an error that names the first invalid field.
func (s Shape) Validate() error {
	switch {
	case s.Tasks < 1 || s.Tasks > MaxGangTasks:
		return errors.Errorf("tasks is %d, expected 1 to %d", s.Tasks, MaxGangTasks)
	case s.PerTask.IsNegative():
		return errors.Errorf("per_task is negative: %s", s.PerTask)
	case s.PerTask.IsZero():
		return errors.New("per_task requests no resources")
	case !s.Adjacency.Valid():
		return errors.Errorf("adjacency is %q, expected worker, rack or zone", s.Adjacency)
	}
	return nil
}

// String prints s in the form "8 x (1 accelerators, ...) within rack".
func (s Shape) String() string {
	return fmt.Sprintf("%d x (%s) within %s", s.Tasks, s.PerTask, s.Adjacency)
}
