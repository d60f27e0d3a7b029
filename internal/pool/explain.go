package pool

import (
	"fmt"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Explanation describes the state of a job and why parts of it wait.
type Explanation struct {
	Job          model.JobID          `json:"job"`
	Organisation model.OrganisationID `json:"organisation"`
	Queue        string               `json:"queue"`
	State        workflow.State       `json:"state"`
	Accepted     time.Time            `json:"accepted"`
	Steps        []StepExplanation    `json:"steps"`
}

// StepExplanation describes the state of a step of an occurrence. Waiting, Placed, Running,
// Ending and Done count task groups: gangs, or independent tasks.
type StepExplanation struct {
	Occurrence int       `json:"occurrence"`
	Step       int       `json:"step"`
	Objective  time.Time `json:"objective"`
	Gang       bool      `json:"gang"`
	Tasks      int       `json:"tasks"`
	Waiting    int       `json:"waiting"`
	// Placed are assigned to workers and not running yet; Ending are being stopped or
	// recovered from an earlier owner.
	Placed   int `json:"placed"`
	Running  int `json:"running"`
	Ending   int `json:"ending"`
	Done     int `json:"done"`
	Runs     int `json:"runs"`
	Failures int `json:"failures"`
	// Crashes counts the runs under which a worker has crashed.
	Crashes int `json:"crashes"`
	// Why explains why parts of the step wait; empty if none does.
	Why string `json:"why"`
}

// Explain describes the state of a job; false if the owner does not know it.
func (o *Owner) Explain(id model.JobID) (Explanation, bool) {
	j, known := o.jobs.get(id)
	if !known {
		return Explanation{}, false
	}
	e := Explanation{Job: id, Organisation: j.record.Organisation, Queue: j.queue.Name, State: j.visibleState(), Accepted: j.record.Accepted}
	for _, occurrence := range j.occurrences.all() {
		for _, s := range occurrence.steps {
			e.Steps = append(e.Steps, o.explainStep(occurrence, s))
		}
	}
	return e, true
}

func (o *Owner) explainStep(occurrence *occurrence, s *step) StepExplanation {
	e := StepExplanation{Occurrence: occurrence.number, Step: s.index, Objective: s.objective, Gang: s.spec.Gang, Tasks: s.spec.Tasks}
	var waiting, placed *taskGroup
	for _, g := range s.taskGroups {
		e.Runs += g.run
		e.Failures += g.failures
		e.Crashes += len(g.crashes)
		switch g.state() {
		case taskGroupWaiting:
			e.Waiting++
			waiting = g
		case taskGroupAssigned, taskGroupStarting:
			e.Placed++
			placed = g
		case taskGroupRunning:
			e.Running++
		case taskGroupStopping, taskGroupRecovering:
			e.Ending++
		case taskGroupDone:
			e.Done++
		}
	}
	switch {
	case waiting != nil:
		e.Why = o.whyWaiting(occurrence, waiting)
	case placed != nil:
		e.Why = o.whyPlaced(placed)
	}
	return e
}

// whyPlaced explains what an assigned task group waits for.
func (o *Owner) whyPlaced(g *taskGroup) string {
	switch {
	case g.state() == taskGroupStarting:
		return "the start orders are being sent"
	case g.job.recordedVersion < g.assignmentVersion:
		return "its assignment to workers is being recorded in the store"
	case !o.resourcesFree(g):
		return "its workers are in use by runs that are being stopped"
	}
	return "this host may not start anything now: its ownership or its configuration is not confirmed"
}

// whyWaiting explains why a task group is not assigned to workers.
func (o *Owner) whyWaiting(occurrence *occurrence, g *taskGroup) string {
	if !g.step.ready {
		for _, dependency := range g.step.spec.DependsOn {
			if unfinished := occurrence.steps[dependency].taskGroupsLeft; unfinished > 0 {
				return fmt.Sprintf("step %d has %d parts that are not done", dependency, unfinished)
			}
		}
	}
	if g.job.isTerminal() {
		return "the job has ended"
	}
	if g.isPaused(o.now) {
		return fmt.Sprintf("%d runs in a row ended soon after their start, so that the next start waits for %s", g.earlyEnds, g.startAfter.Sub(o.now).Round(time.Millisecond))
	}
	planGroup := o.planTaskGroup(g)
	if planGroup.Isolation == plan.EmptyWorkersOnly {
		return fmt.Sprintf("workers have crashed under %d of its runs, so that it waits for workers that run nothing else", len(g.crashes))
	}
	fit := plan.Explain(o.snapshot(g.job.queue.Service, []*plan.TaskGroup{planGroup}), planGroup)
	if g.job.queue.Advised && fit.UsableWorkers > 0 && fit.AllowedWorkers == 0 {
		return o.describeAdvice(g.step)
	}
	return describeFit(planGroup, fit)
}

// describeFit explains why a task group can't be placed, by the most fundamental reason.
func describeFit(group *plan.TaskGroup, fit plan.Fit) string {
	switch {
	case fit.UsableWorkers == 0:
		return "no worker is available"
	case fit.AllowedWorkers == 0:
		return fmt.Sprintf("none of %d workers has the label %q", fit.UsableWorkers, group.RequiredLabel)
	case fit.LargeEnoughWorkers == 0:
		return fmt.Sprintf("a task needs %s, more than any of %d workers has", group.Demand, fit.AllowedWorkers)
	}
	outlook := "waits for resources behind more urgent work"
	switch {
	case fit.WithinGuarantee:
		outlook = "is within the guarantee, so that other runs are stopped for it"
	case !fit.OnTime:
		outlook = "is late and comes after work that can still be on time"
	}
	switch {
	case fit.RackBound && fit.BestRackSlots < group.Tasks:
		return fmt.Sprintf("rack %s fits %d of %d tasks, the most of any rack; it %s", fit.BestRack, fit.BestRackSlots, group.Tasks, outlook)
	case fit.FreeSlots < group.Tasks:
		return fmt.Sprintf("%d of %d tasks fit into the free resources of %d workers; it %s", fit.FreeSlots, group.Tasks, fit.AllowedWorkers, outlook)
	case fit.HeadroomWorkers > 0:
		return fmt.Sprintf("%d empty workers are kept for more urgent work while it can wait", fit.HeadroomWorkers)
	}
	return "it fits and will be placed by the next plan"
}
