package pool

import (
	"iter"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

func taskGroupID(t workflow.Task, gang bool) plan.TaskGroupID {
	return plan.TaskGroupID(string(t.Job) + "." + taskGroupKey(t.Occurrence, t.Step, t.Index, gang))
}

// taskGroupOccurrence returns the occurrence in a task group's key; -1 if the key is invalid.
func taskGroupOccurrence(key string) int {
	number, err := strconv.Atoi(key[:max(0, strings.IndexByte(key, '.'))])
	if err != nil {
		return -1
	}
	return number
}

// plan places ready task groups, at most once per PlanInterval.
func (o *Owner) plan() {
	nextPlan := o.lastPlanAt.Add(o.timing.PlanInterval)
	if o.planNeeded && o.now.Before(nextPlan) {
		o.wakeAt(nextPlan)
	}
	if o.nextRestart.After(o.now) {
		o.wakeAt(o.nextRestart)
	}
	if o.now.Before(nextPlan) {
		return
	}
	o.forgetSuspects()
	waiting := o.readyTaskGroups()
	o.chooseClaims(waiting)
	o.lastPlanAt, o.planNeeded = o.now, false
	if len(waiting) == 0 {
		return
	}
	o.wakeAt(o.now.Add(replanInterval))
	for service, snapshot := range o.snapshots(waiting, o.planTaskGroup) {
		o.updatePeaks(service, snapshot)
		for _, placement := range plan.Plan(snapshot) {
			o.assign(placement)
		}
	}
}

// snapshots returns the planner's view of each service for which task groups wait, in the order of
// their names. planGroup returns the planner's view of a task group.
func (o *Owner) snapshots(waiting []*taskGroup, planGroup func(*taskGroup) *plan.TaskGroup) iter.Seq2[model.ServiceID, *plan.Snapshot] {
	byService := map[model.ServiceID][]*plan.TaskGroup{}
	for _, g := range waiting {
		service := g.job.queue.Service
		byService[service] = append(byService[service], planGroup(g))
	}
	return func(yield func(model.ServiceID, *plan.Snapshot) bool) {
		for _, service := range slices.Sorted(maps.Keys(byService)) {
			if !yield(service, o.snapshot(service, byService[service])) {
				return
			}
		}
	}
}

// replanInterval is the time between plans while task groups wait and nothing changes: after
// some waiting, a task group may use workers on any rack.
const replanInterval = 200 * time.Millisecond

// readyTaskGroups lists the unassigned task groups whose dependencies are done and that are
// not paused.
func (o *Owner) readyTaskGroups() []*taskGroup {
	var found []*taskGroup
	o.nextRestart = time.Time{}
	for _, g := range o.index.waiting.all() {
		switch {
		case !g.step.ready || g.job.isTerminal() || g.job.cantBeRecorded():
		case g.isPaused(o.now):
			if o.nextRestart.IsZero() || g.startAfter.Before(o.nextRestart) {
				o.nextRestart = g.startAfter
			}
		default:
			found = append(found, g)
		}
	}
	if !o.nextRestart.IsZero() {
		o.wakeAt(o.nextRestart)
	}
	return found
}

func (o *Owner) planTaskGroup(g *taskGroup) *plan.TaskGroup {
	spec := g.step.spec
	planGroup := &plan.TaskGroup{
		ID:             g.id,
		Organisation:   g.job.record.Organisation,
		Priority:       g.job.queue.Priority,
		Tasks:          g.tasks(),
		Demand:         spec.Demand(),
		SameRack:       spec.SameRack && spec.Gang && spec.Tasks > 1,
		DataRack:       spec.DataRack,
		RequiredLabel:  spec.RequiredLabel,
		MaxPerWorker:   spec.MaxPerWorker,
		AvoidedWorkers: o.workersToAvoid(g),
		ReadySince:     g.readySince,
		Objective:      g.step.objective,
		Remaining:      g.step.remaining,
		Estimate:       spec.Estimate,
		JobStarted:     g.job.placed,
		AllowedWorkers: o.allowedWorkers(g),
		Step:           g.step.name,
		Isolation:      o.isolation(g),
	}
	if spec.MaxPerWorker > 0 {
		planGroup.TasksOnWorker = g.step.tasksPerWorker()
	}
	return planGroup
}

// tasksPerWorker counts the tasks of the step on each worker, including those being stopped.
func (s *step) tasksPerWorker() map[model.WorkerID]int {
	count := map[model.WorkerID]int{}
	for _, g := range s.taskGroups {
		for _, m := range g.members {
			if m.phase != memberGone {
				count[m.workerID]++
			}
		}
	}
	return count
}

// snapshot returns the planner's view of a service. It does not change the owner.
func (o *Owner) snapshot(service model.ServiceID, waiting []*plan.TaskGroup) *plan.Snapshot {
	s := &plan.Snapshot{Now: o.now, Waiting: waiting, Guarantees: o.policy.Guarantees, Usage: map[int]int{}, PeakUsage: map[int]int{}}
	isolated, quarantined := o.isolatedWorkers(), o.quarantinedWorkers()
	for id, w := range o.workers.all() {
		if w.info.Service != service || !w.usable(&o.policy) || isolated[id] || quarantined[id] || o.now.Before(w.startsAfter) {
			continue
		}
		penalty := o.penalty(w)
		if _, penalized := quarantined[id]; penalized {
			penalty = quarantinePenalty
		}
		s.Workers = append(s.Workers, plan.Worker{
			ID: id, Zone: w.info.Zone, Rack: w.info.Rack, Labels: w.info.Labels,
			Capacity: w.info.Capacity,
			Free:     w.free().Sub(w.assigned),
			Penalty:  penalty,
			Runs:     w.planRuns(),
		})
	}
	for _, g := range o.index.urgent.all() {
		if g.job.queue.Service == service {
			s.Urgent = append(s.Urgent, g.planRun())
		}
	}
	for key, usage := range o.index.usage {
		if key.service == service {
			s.Usage[key.priority] = usage
		}
	}
	for _, group := range waiting {
		s.PeakUsage[group.Priority] = int(o.currentPeak(service, group.Priority, s))
	}
	return s
}

// planRuns returns the planner's view of the runs on a worker.
func (w *worker) planRuns() []*plan.Run {
	if w.cachedPlanRuns != nil {
		return w.cachedPlanRuns
	}
	w.cachedPlanRuns = []*plan.Run{}
	for _, m := range w.members.all() {
		if run := m.group.planRun(); m.run == m.group.run && !slices.Contains(w.cachedPlanRuns, run) {
			w.cachedPlanRuns = append(w.cachedPlanRuns, run)
		}
	}
	return w.cachedPlanRuns
}

// penalty makes the planner use slow workers last.
func (o *Owner) penalty(w *worker) int {
	if o.now.Before(w.slowUntil) {
		return 1
	}
	return 0
}

// peakDecayTime is the time constant of the exponential decay of a usage peak.
const peakDecayTime = 20 * time.Second

// peak is a number of accelerators used at a time, from which on it decays exponentially.
type peak struct {
	value float64
	at    time.Time
}

// peakKey identifies the runs of a service that are more urgent than a priority.
type peakKey struct {
	service  model.ServiceID
	priority int
}

// currentPeak is the present usage above a priority, or the decayed last peak if that is
// higher.
func (o *Owner) currentPeak(service model.ServiceID, priority int, s *plan.Snapshot) float64 {
	last := o.peaks[peakKey{service, priority}]
	decayed := last.value * math.Exp(-o.now.Sub(last.at).Seconds()/peakDecayTime.Seconds())
	return max(float64(s.UsageAbove(priority)), decayed)
}

// updatePeaks stores the current peaks of a service.
func (o *Owner) updatePeaks(service model.ServiceID, s *plan.Snapshot) {
	for priority := range s.PeakUsage {
		o.peaks[peakKey{service, priority}] = peak{value: o.currentPeak(service, priority, s), at: o.now}
	}
}

// checkpointStopLoss is the run time that a task with checkpoints loses by a stop: it saves
// its state when it is stopped, but takes some time to resume.
const checkpointStopLoss = 500 * time.Millisecond

// planRun returns the planner's view of the run.
func (g *taskGroup) planRun() *plan.Run {
	if g.cachedPlanRun != nil {
		return g.cachedPlanRun
	}
	spec := g.step.spec
	g.cachedPlanRun = &plan.Run{
		TaskGroup:    g.id,
		Organisation: g.job.record.Organisation,
		Priority:     g.job.queue.Priority,
		Accelerators: g.accelerators(),
		Started:      g.placedAt,
		WorkRate:     plan.Cores(spec.PerTask) * float64(g.tasks()),
		Preemptible:  (g.state() == taskGroupStarting || g.state() == taskGroupRunning) && !spec.LongRunning,
		LongRunning:  spec.LongRunning,
	}
	if spec.Checkpoints {
		g.cachedPlanRun.MaxLoss = checkpointStopLoss
	}
	for _, m := range g.members {
		if m.phase != memberGone && m.phase != memberAssigned {
			g.cachedPlanRun.Allocate(m.workerID, m.demand())
		}
	}
	return g.cachedPlanRun
}
