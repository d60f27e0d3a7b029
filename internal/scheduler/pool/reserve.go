package pool

import (
	"cmp"
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
)

// maxReserved bounds the accelerators that are reserved, as a share of the pool: no more
// than that stays idle for work that waits.
const maxReserved = 0.15

// reservation is room on a worker that work of lower priority has to leave.
type reservation struct {
	priority int
	worker   int
	room     model.Resources
}

// reserve keeps the room that a piece without a place would need free of less urgent
// work: where it fits best the tasks that fit, and the emptiest workers for the others.
// Otherwise small tasks would go on to fill that room and would have to be stopped, and a
// large gang would wait for as long as there are small tasks.
func (p *planner) reserve(piece *Piece) {
	if p.rank(piece) > rankInTime || p.reservable < piece.accelerators() {
		return
	}
	var best []reservation
	bestSlots := -1
	for _, among := range p.evictionScopes(piece, false) {
		reservations, slots := p.reserveAmong(piece, among)
		if len(reservations) > 0 && slots > bestSlots {
			best, bestSlots = reservations, slots
		}
	}
	if best != nil {
		p.reservable -= piece.accelerators()
		p.reservations = append(p.reservations, best...)
		for _, r := range best {
			p.reserved[r.worker] = true
		}
	}
}

// reserveAmong chooses room on some workers; it returns none when the piece does not fit
// there even if they were empty, and the number of tasks that fit at once.
func (p *planner) reserveAmong(piece *Piece, among []int) ([]reservation, int) {
	candidates := make([]int, 0, len(among))
	for _, i := range among {
		if w := &p.workers[i]; p.allowed(piece, w, true) && piece.Demand.Fits(w.Capacity) && !p.reserved[i] {
			candidates = append(candidates, i)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int {
		return cmp.Compare(p.workers[b].Free.Accelerators, p.workers[a].Free.Accelerators)
	})
	var chosen []reservation
	left, fit := piece.Tasks, 0
	for _, i := range candidates {
		if left == 0 {
			break
		}
		w := &p.workers[i]
		slots := piece.Demand.CountIn(w.Free, min(left, p.limit(piece, w)))
		room := piece.Demand.Times(slots)
		fit += slots
		if slots == 0 {
			// The worker is drained for one task: whatever is free now is kept.
			slots, room = 1, w.Free
		}
		left -= slots
		chosen = append(chosen, reservation{priority: piece.Priority, worker: i, room: room})
	}
	if left > 0 {
		return nil, 0
	}
	return chosen, fit
}

// applyReservations books the room that is reserved for more urgent work than a priority.
func (p *planner) applyReservations(priority int) {
	p.reservations = slices.DeleteFunc(p.reservations, func(r reservation) bool {
		if r.priority >= priority {
			return false
		}
		w := &p.workers[r.worker]
		if w.isEmpty() {
			p.room.empty[w.Rack]--
			p.room.total--
		}
		w.Free = w.Free.Sub(r.room)
		return true
	})
}
