package pool

// Fit tells how a waiting piece fits into a pool at one moment, for people who ask why it
// waits.
type Fit struct {
	// Usable counts the workers that may get new tasks, Allowed those of them that the
	// piece may run on, and Large those that could hold one of its tasks when empty.
	Usable  int
	Allowed int
	Large   int
	// Slots counts the tasks of the piece that fit into the free room, at most all.
	Slots int
	// Bound is true when the piece runs at full speed on one rack only; BestRack is the
	// one with the most room and RackSlots the tasks that fit there.
	Bound     bool
	BestRack  string
	RackSlots int
	// Entitled is true when the piece lies within its organisation's guarantee.
	Entitled bool
	// InTime is true when the piece can still meet its objective.
	InTime bool
	// Kept counts the empty workers that the piece has to leave to urgent work.
	Kept int
}

// Explain returns how a piece fits into the pool. It plans nothing.
func Explain(s *Snapshot, piece *Piece) Fit {
	p := newPlanner(s)
	fit := Fit{
		Usable:   len(s.Workers),
		Bound:    piece.SameRack || piece.DataRack != "",
		Entitled: p.entitled(piece),
		InTime:   p.rank(piece) <= rankInTime,
	}
	if p.hasSlack(piece) {
		fit.Kept = min(p.room.total, p.room.keep[piece.Priority])
	}
	for i := range p.workers {
		w := &p.workers[i]
		if !p.allowed(piece, w, false) {
			continue
		}
		fit.Allowed++
		if piece.Demand.Fits(w.Capacity) {
			fit.Large++
		}
		fit.Slots += p.slots(piece, i, false)
	}
	fit.Slots = min(fit.Slots, piece.Tasks)
	for _, name := range p.candidateRacks(piece) {
		slots := 0
		for _, i := range p.racks[name] {
			slots += p.slots(piece, i, false)
		}
		if slots = min(slots, piece.Tasks); slots > fit.RackSlots || fit.BestRack == "" {
			fit.BestRack, fit.RackSlots = name, slots
		}
	}
	return fit
}
