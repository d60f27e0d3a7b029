package pool

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
)

// The adviser handles one request at a time and takes longer for each worker that a request names,
// so its time is scheduled: steps that could start come first, and a request names the workers on
// which they would.
const (
	// adviceBatchSize limits the workers of a request, unless a gang needs more at once.
	adviceBatchSize = 30
	// renewalBatchSize limits the workers of a request for a step that can't start at present, so
	// that it does not delay one that can.
	renewalBatchSize = 10
	// adviceAging is the wait that outweighs one level of priority.
	adviceAging = 10 * time.Second
)

// adviceNeed is a step that lacks tickets.
type adviceNeed struct {
	// group is a waiting task group of the step.
	group *taskGroup
	// workers are those to ask about.
	workers []model.WorkerID
	// startable is true if a task group of the step would start with tickets for the workers.
	startable bool
}

// turn is the time by which steps take turns: since when the step has been ready without a ticket,
// later for a lower priority.
func (n *adviceNeed) turn() time.Time {
	since := n.group.readySince
	if granted := n.group.step.ensureAdvice().grantedAt; granted.After(since) {
		since = granted
	}
	return since.Add(time.Duration(n.group.job.queue.Priority) * adviceAging)
}

// compareAdviceNeeds orders steps by how soon the adviser is to be asked for them.
func compareAdviceNeeds(a, b *adviceNeed) int {
	if a.startable != b.startable {
		if a.startable {
			return -1
		}
		return 1
	}
	return a.turn().Compare(b.turn())
}

// mostUrgentAdvice returns the step to ask the adviser for, with the workers to name; nil if there
// is none.
func (o *Owner) mostUrgentAdvice() *adviceNeed {
	waiting := o.readyTaskGroups()
	wanted := o.workersWithTickets(waiting)
	var best *adviceNeed
	seen := map[*step]bool{}
	for _, g := range waiting {
		if !g.job.queue.Advised || seen[g.step] {
			continue
		}
		seen[g.step] = true
		if need := o.adviceNeedOf(g, wanted[g.step]); need != nil && (best == nil || compareAdviceNeeds(need, best) < 0) {
			best = need
		}
	}
	return best
}

// adviceNeedOf returns what the step of a task group lacks; nil if nothing. planned are the workers
// on which its task groups would be placed if it had all tickets.
func (o *Owner) adviceNeedOf(g *taskGroup, planned []model.WorkerID) *adviceNeed {
	if len(planned) > 0 {
		var missing, usable []model.WorkerID
		for _, id := range planned {
			if g.step.hasUsableTicket(o.workers.getOrZero(id), o.now) {
				usable = append(usable, id)
			} else {
				missing = append(missing, id)
			}
		}
		if len(missing) == 0 {
			return nil
		}
		if g.step.spec.Gang {
			// The members of a gang need their tickets at the same time. The usable ones may
			// expire before the response arrives.
			missing = append(missing, usable...)
		}
		return &adviceNeed{group: g, workers: o.completeBatch(g, missing), startable: true}
	}
	workers := o.workersToAsk(g, nil)
	if len(workers) == 0 {
		return nil
	}
	return &adviceNeed{group: g, workers: workers[:min(len(workers), renewalBatchSize)]}
}

// workersWithTickets plans as if the adviser had allowed all workers that it has not denied, and
// returns the workers on which the task groups of each advised step would be placed. Workers that
// the adviser has allowed before are preferred.
func (o *Owner) workersWithTickets(waiting []*taskGroup) map[*step][]model.WorkerID {
	allowed, unknown := map[*step]map[model.WorkerID]bool{}, map[*step]map[model.WorkerID]bool{}
	planGroup := func(g *taskGroup) *plan.TaskGroup {
		group := o.planTaskGroup(g)
		if !g.job.queue.Advised {
			return group
		}
		if allowed[g.step] == nil {
			allowed[g.step], unknown[g.step] = o.possibleWorkers(g.step)
		}
		group.AllowedWorkers = allowed[g.step]
		if len(group.AvoidedWorkers) == 0 {
			group.AvoidedWorkers = unknown[g.step]
		} else {
			group.AvoidedWorkers = maps.Clone(group.AvoidedWorkers)
			maps.Copy(group.AvoidedWorkers, unknown[g.step])
		}
		return group
	}
	wanted := map[*step][]model.WorkerID{}
	for _, snapshot := range o.snapshots(waiting, planGroup) {
		for _, placement := range plan.Plan(snapshot) {
			s := o.taskGroups[placement.TaskGroup].step
			for _, id := range placement.Workers {
				if allowed[s] != nil && !slices.Contains(wanted[s], id) {
					wanted[s] = append(wanted[s], id)
				}
			}
		}
	}
	return wanted
}

// possibleWorkers returns the workers that the adviser has not denied to a step, and those of them
// about which it has not been asked.
func (o *Owner) possibleWorkers(s *step) (possible, unknown map[model.WorkerID]bool) {
	a := s.ensureAdvice()
	possible, unknown = map[model.WorkerID]bool{}, map[model.WorkerID]bool{}
	for id, w := range o.workers.all() {
		if a.isDenied(w) {
			continue
		}
		possible[id] = true
		if _, known := a.tickets[id]; !known {
			unknown[id] = true
		}
	}
	return possible, unknown
}

// completeBatch adds workers to those that a step lacks tickets for, since the adviser may deny some
// of those about which it has not been asked yet.
func (o *Owner) completeBatch(g *taskGroup, missing []model.WorkerID) []model.WorkerID {
	a := g.step.ensureAdvice()
	isUnknown := func(id model.WorkerID) bool {
		_, known := a.tickets[id]
		return !known
	}
	unknown := 0
	for _, id := range missing {
		if isUnknown(id) {
			unknown++
		}
	}
	size := len(missing)
	if unknown > 0 {
		// The share of workers that the adviser allows, estimated from its responses so far.
		share := float64(len(a.tickets)+1) / float64(len(a.tickets)+len(a.denied)+2)
		size += int(math.Ceil(float64(unknown)/share)) - unknown
		size = max(size, g.job.queue.WorkersWithinAdviceBase())
	}
	limit := adviceBatchSize
	if g.step.spec.Gang {
		limit = max(limit, min(len(missing), MaxAdviceWorkers))
	}
	batch := missing[:min(len(missing), limit)]
	for _, id := range o.workersToAsk(g, missing) {
		if len(batch) >= min(size, limit) {
			break
		}
		batch = append(batch, id)
	}
	return batch
}

// workersToAsk lists workers to ask about, other than those named: those whose ticket has to be
// renewed, then unknown ones. Among the latter those on the racks of the named workers come first,
// then those with the most free accelerators.
func (o *Owner) workersToAsk(g *taskGroup, others []model.WorkerID) []model.WorkerID {
	a := g.step.ensureAdvice()
	racks := map[string]bool{}
	for _, id := range others {
		racks[o.workers.getOrZero(id).info.Rack] = true
	}
	var expired, unknown []model.WorkerID
	for id, w := range o.workers.all() {
		fits := g.step.spec.Demand().Fits(w.info.Capacity) &&
			(g.step.spec.RequiredLabel == "" || slices.Contains(w.info.Labels, g.step.spec.RequiredLabel))
		if w.info.Service != g.job.queue.Service || !w.usable(&o.policy) || !fits || a.isDenied(w) || slices.Contains(others, id) {
			continue
		}
		switch t, known := a.tickets[id]; {
		case !known:
			unknown = append(unknown, id)
		case t.incarnation != w.Incarnation || !o.now.Before(t.renewAt):
			expired = append(expired, id)
		}
	}
	slices.SortStableFunc(unknown, func(x, y model.WorkerID) int {
		wx, wy := o.workers.getOrZero(x), o.workers.getOrZero(y)
		return cmp.Or(
			compareBools(!racks[wx.info.Rack], !racks[wy.info.Rack]),
			cmp.Compare(wy.free().Accelerators, wx.free().Accelerators),
		)
	})
	return slices.Concat(expired, unknown)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
