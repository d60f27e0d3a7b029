package pool

// Fit describes how a waiting piece fits into a pool at one moment, to explain why it waits.
type Fit struct {
	// UsableWorkers counts the workers that may get new tasks, AllowedWorkers those of them
	// that the piece may run on, and LargeEnoughWorkers those of the latter that could hold
	// one of its tasks when empty.
	UsableWorkers      int
	AllowedWorkers     int
	LargeEnoughWorkers int
	// FreeSlots counts the tasks of the piece that fit into the free resources.
	FreeSlots int
	// RackBound is true when the piece runs at full speed only on one rack; BestRack is the
	// rack with the most free slots and BestRackSlots the tasks of the piece that fit there.
	RackBound     bool
	BestRack      string
	BestRackSlots int
	// WithinGuarantee is true when the piece is within its organisation's guarantee.
	WithinGuarantee bool
	// OnTime is true when the piece can still meet its objective.
	OnTime bool
	// HeadroomWorkers counts the empty workers that the piece must leave to more urgent work.
	HeadroomWorkers int
}

// Explain describes how a piece fits into the pool, without placing it.
func Explain(s *Snapshot, piece *Piece) Fit {
	p := newPlanner(s)
	fit := Fit{
		UsableWorkers:   len(s.Workers),
		RackBound:       piece.SameRack || piece.DataRack != "",
		WithinGuarantee: p.withinGuarantee(piece),
		OnTime:          p.rank(piece) <= rankOnTime,
	}
	if p.hasSlack(piece) {
		fit.HeadroomWorkers = min(p.headroom.emptyWorkers, p.headroom.keepEmpty[piece.Priority])
	}
	for i := range p.workers {
		w := &p.workers[i]
		if !p.allowed(piece, w, false) {
			continue
		}
		fit.AllowedWorkers++
		if piece.Demand.Fits(w.Capacity) {
			fit.LargeEnoughWorkers++
		}
		fit.FreeSlots += p.freeSlots(piece, i, false)
	}
	fit.FreeSlots = min(fit.FreeSlots, piece.Tasks)
	for _, name := range p.candidateRacks(piece) {
		slots := 0
		for _, i := range p.racks[name] {
			slots += p.freeSlots(piece, i, false)
		}
		if slots = min(slots, piece.Tasks); slots > fit.BestRackSlots || fit.BestRack == "" {
			fit.BestRack, fit.BestRackSlots = name, slots
		}
	}
	return fit
}
