package pool

// headroom keeps whole workers free for urgent work that is likely to come: as many as
// would bring its use back to the latest peak. Only pieces with time to spare leave
// them, so that urgent gangs start at once and stop nothing.
type headroom struct {
	// empty counts the workers that are wholly free, by rack and in all.
	empty map[string]int
	total int
	// keep is the number of workers to leave, by priority of the piece.
	keep map[int]int
}

func (p *planner) measureHeadroom() {
	p.room = headroom{empty: map[string]int{}, keep: map[int]int{}}
	capacity, largest := 0, 1
	for i := range p.workers {
		w := &p.workers[i]
		capacity += w.Capacity.Accelerators
		largest = max(largest, w.Capacity.Accelerators)
		if w.isEmpty() {
			p.room.empty[w.Rack]++
			p.room.total++
		}
	}
	p.reservable = int(maxReserved * float64(capacity))
	for priority, peak := range p.s.Peaks {
		missing := min(peak-p.s.UseAbove(priority), int(maxHeadroom*float64(capacity)))
		p.room.keep[priority] = max(0, (missing+largest-1)/largest)
	}
}

func (w *Worker) isEmpty() bool { return w.Free == w.Capacity }

// hasSlack reports whether the piece can wait a little and still be in time.
func (p *planner) hasSlack(piece *Piece) bool {
	if piece.Priority == 0 || piece.Objective.IsZero() {
		return false
	}
	slack := piece.Objective.Sub(p.s.Now) - piece.Remaining
	return slack.Seconds() > slackShare*piece.Remaining.Seconds()
}

// mayBreak is the number of empty workers that the piece may use.
func (p *planner) mayBreak(piece *Piece) int {
	if !p.hasSlack(piece) {
		return p.room.total
	}
	return max(0, p.room.total-p.room.keep[piece.Priority])
}
