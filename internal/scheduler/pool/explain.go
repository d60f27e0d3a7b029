package pool

// Fit describes how a waiting task group fits into a pool at one moment, to explain why it
// waits.
type Fit struct {
	// UsableWorkers counts the workers that may get new tasks, AllowedWorkers those of them
	// that the task group may run on, and LargeEnoughWorkers those of the latter that could
	// hold one of its tasks when empty.
	UsableWorkers      int
	AllowedWorkers     int
	LargeEnoughWorkers int
	// FreeSlots counts the tasks of the task group that fit into the free resources.
	FreeSlots int
	// RackBound is true when the task group runs at full speed only on one rack; BestRack is
	// the rack with the most free slots and BestRackSlots the tasks of the task group that fit
	// there.
	RackBound     bool
	BestRack      string
	BestRackSlots int
	// WithinGuarantee is true when the task group is within its organisation's guarantee.
	WithinGuarantee bool
	// OnTime is true when the task group can still meet its objective.
	OnTime bool
	// HeadroomWorkers counts the empty workers that the task group must leave to more urgent
	// work.
	HeadroomWorkers int
}

// Explain describes how a task group fits into the pool, without placing it.
func Explain(s *Snapshot, group *TaskGroup) Fit {
	p := newPlanner(s)
	fit := Fit{
		UsableWorkers:   len(s.Workers),
		RackBound:       group.SameRack || group.DataRack != "",
		WithinGuarantee: p.withinGuarantee(group),
		OnTime:          p.rank(group) <= rankOnTime,
	}
	if p.hasSlack(group) {
		fit.HeadroomWorkers = min(p.headroom.emptyWorkers, p.headroom.keepEmpty[group.Priority])
	}
	for i := range p.workers {
		w := &p.workers[i]
		if !p.allowed(group, w, false) {
			continue
		}
		fit.AllowedWorkers++
		if group.Demand.Fits(w.Capacity) {
			fit.LargeEnoughWorkers++
		}
		fit.FreeSlots += p.freeSlots(group, i, false)
	}
	fit.FreeSlots = min(fit.FreeSlots, group.Tasks)
	for _, name := range p.candidateRacks(group) {
		slots := 0
		for _, i := range p.racks[name] {
			slots += p.freeSlots(group, i, false)
		}
		if slots = min(slots, group.Tasks); slots > fit.BestRackSlots || fit.BestRack == "" {
			fit.BestRack, fit.BestRackSlots = name, slots
		}
	}
	return fit
}
