package pool

import (
	"fmt"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Explanation tells how a job stands, and why parts of it wait.
type Explanation struct {
	Job          model.JobID          `json:"job"`
	Organisation model.OrganisationID `json:"organisation"`
	Queue        string               `json:"queue"`
	State        workflow.State       `json:"state"`
	Accepted     time.Time            `json:"accepted"`
	Steps        []StepExplanation    `json:"steps"`
}

// StepExplanation tells how a step of an occurrence stands. The counts are of gangs, or
// of independent tasks.
type StepExplanation struct {
	Occurrence int       `json:"occurrence"`
	Step       int       `json:"step"`
	Objective  time.Time `json:"objective"`
	Gang       bool      `json:"gang"`
	Tasks      int       `json:"tasks"`
	Waiting    int       `json:"waiting"`
	// Placed have a place and don't run yet; Ending are being stopped.
	Placed   int `json:"placed"`
	Running  int `json:"running"`
	Ending   int `json:"ending"`
	Done     int `json:"done"`
	Runs     int `json:"runs"`
	Failures int `json:"failures"`
	// Why tells why parts of the step wait; empty when none does.
	Why string `json:"why"`
}

// Explain returns how a job stands; false when the owner does not know it.
func (o *Owner) Explain(id model.JobID) (Explanation, bool) {
	j, known := o.jobs.get(id)
	if !known {
		return Explanation{}, false
	}
	e := Explanation{Job: id, Organisation: j.record.Organisation, Queue: j.queue.Name, State: j.visible(), Accepted: j.record.Accepted}
	for _, round := range j.occurrences.all() {
		for _, s := range round.steps {
			e.Steps = append(e.Steps, o.explainStep(round, s))
		}
	}
	return e, true
}

func (o *Owner) explainStep(round *occurrence, s *step) StepExplanation {
	e := StepExplanation{Occurrence: round.number, Step: s.index, Objective: s.objective, Gang: s.spec.Gang, Tasks: s.spec.Tasks}
	var waiting, placed *piece
	for _, p := range s.pieces {
		e.Runs += p.run
		e.Failures += p.failures
		switch p.state() {
		case pieceWaiting:
			e.Waiting++
			waiting = p
		case pieceClaimed, pieceStarting:
			e.Placed++
			placed = p
		case pieceRunning:
			e.Running++
		case pieceStopping, pieceRecovering:
			e.Ending++
		case pieceDone:
			e.Done++
		}
	}
	switch {
	case waiting != nil:
		e.Why = o.whyWaiting(round, waiting)
	case placed != nil:
		e.Why = o.whyPlaced(placed)
	}
	return e
}

// whyPlaced tells what a piece with a place waits for.
func (o *Owner) whyPlaced(p *piece) string {
	switch {
	case p.state() == pieceStarting:
		return "the start orders are under way"
	case p.job.recorded < p.recordAt:
		return "its place is being recorded in the store"
	case !o.hasRoom(p):
		return "its place is held by runs that are being stopped"
	}
	return "this host may not start anything now: its ownership or its configuration is not confirmed"
}

// whyWaiting tells why a piece has no place.
func (o *Owner) whyWaiting(round *occurrence, p *piece) string {
	if !p.step.opened {
		for _, earlier := range p.step.spec.After {
			if left := round.steps[earlier].left; left > 0 {
				return fmt.Sprintf("step %d has %d parts that are not done", earlier, left)
			}
		}
	}
	if p.job.over() {
		return "the job is over"
	}
	piece := o.planPiece(p)
	return describeFit(piece, plan.Explain(o.snapshot(p.job.queue.Service, []*plan.Piece{piece}), piece))
}

// describeFit puts what hinders a piece into words, the strongest hindrance first.
func describeFit(piece *plan.Piece, fit plan.Fit) string {
	switch {
	case fit.UsableWorkers == 0:
		return "no worker can be used"
	case fit.AllowedWorkers == 0 && piece.AllowedWorkers != nil:
		return "the adviser has allowed none of the workers yet"
	case fit.AllowedWorkers == 0:
		return fmt.Sprintf("none of %d workers has the label %q", fit.UsableWorkers, piece.RequiredLabel)
	case fit.LargeEnoughWorkers == 0:
		return fmt.Sprintf("a task needs %s, more than any of %d workers has", piece.Demand, fit.AllowedWorkers)
	}
	order := "waits for room behind more urgent work"
	switch {
	case fit.WithinGuarantee:
		order = "lies within its guarantee, so that room is taken back for it"
	case !fit.OnTime:
		order = "is late already and goes after what can be in time"
	}
	switch {
	case fit.RackBound && fit.BestRackSlots < piece.Tasks:
		return fmt.Sprintf("rack %s has room for %d of %d tasks, more than any other; it %s", fit.BestRack, fit.BestRackSlots, piece.Tasks, order)
	case fit.FreeSlots < piece.Tasks:
		return fmt.Sprintf("%d of %d tasks fit into the free room of %d workers; it %s", fit.FreeSlots, piece.Tasks, fit.AllowedWorkers, order)
	case fit.HeadroomWorkers > 0:
		return fmt.Sprintf("%d empty workers are kept for urgent work while it can wait", fit.HeadroomWorkers)
	}
	return "there is room: it is placed with the next plan"
}
