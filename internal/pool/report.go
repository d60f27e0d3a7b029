package pool

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Report is what an owner tells of its pool. Counts of room are accelerators.
type Report struct {
	Fence         uint64               `json:"fence"`
	Workers       WorkersReport        `json:"workers"`
	Queues        []QueueReport        `json:"queues"`
	Organisations []OrganisationReport `json:"organisations"`
	Reclaims      []ReclaimReport      `json:"reclaims"`
}

// WorkersReport counts the workers of the pool.
type WorkersReport struct {
	Listed      int `json:"listed"`
	Usable      int `json:"usable"`
	Silent      int `json:"silent"`
	Draining    int `json:"draining"`
	Quarantined int `json:"quarantined"`
	Slow        int `json:"slow"`
	// Capacity and Free are of the usable workers.
	Capacity int `json:"capacity"`
	Free     int `json:"free"`
}

// QueueReport counts the jobs of a queue that have not ended.
type QueueReport struct {
	Queue    string `json:"queue"`
	Priority int    `json:"priority"`
	Waiting  int    `json:"waiting"`
	Running  int    `json:"running"`
	// OldestMS is the age of the oldest job of which no task has started.
	OldestMS int64 `json:"oldest_ms"`
}

// OrganisationReport tells what an organisation has of the pool.
type OrganisationReport struct {
	Organisation model.OrganisationID `json:"organisation"`
	// Guaranteed is what its urgent work may have at any time, Urgent what that holds.
	Guaranteed int `json:"guaranteed"`
	Urgent     int `json:"urgent"`
	// UrgentWaiting is what its waiting urgent work needs.
	UrgentWaiting int `json:"urgent_waiting"`
	// Use is what all of its work holds.
	Use int `json:"use"`
}

// Met reports whether nothing within the guarantee waits.
func (r OrganisationReport) Met() bool {
	return r.UrgentWaiting == 0 || r.Urgent >= r.Guaranteed
}

// ReclaimReport tells what one organisation's work has cost another since the take-over.
type ReclaimReport struct {
	For  model.OrganisationID `json:"for"`
	From model.OrganisationID `json:"from"`
	Runs int                  `json:"runs"`
	// CoreSeconds is the work that was thrown away.
	CoreSeconds float64 `json:"core_seconds"`
}

type reclaimKey struct{ gets, gives model.OrganisationID }

// noteReclaim counts a run that is stopped for another's.
func (o *Owner) noteReclaim(gets, gives *piece) {
	key := reclaimKey{gets.job.record.Organisation, gives.job.record.Organisation}
	r := o.reclaims[key]
	r.For, r.From = key.gets, key.gives
	r.Runs++
	r.CoreSeconds += gives.planRun().UnsavedWork(o.now)
	o.reclaims[key] = r
}

// Report returns what the owner knows of its pool.
func (o *Owner) Report() Report {
	report := Report{Fence: o.fence, Workers: o.reportWorkers()}
	queues := map[string]*QueueReport{}
	organisations := map[model.OrganisationID]*OrganisationReport{}
	for id, guaranteed := range o.policy.Guarantees {
		organisations[id] = &OrganisationReport{Organisation: id, Guaranteed: guaranteed}
	}
	for _, j := range o.active.all() {
		if j.over() {
			continue
		}
		o.reportJob(j, queues)
		id := j.record.Organisation
		if organisations[id] == nil {
			organisations[id] = &OrganisationReport{Organisation: id}
		}
		j.each(func(p *piece) { organisations[id].count(p) })
	}
	for _, q := range queues {
		report.Queues = append(report.Queues, *q)
	}
	for _, r := range organisations {
		report.Organisations = append(report.Organisations, *r)
	}
	for _, r := range o.reclaims {
		report.Reclaims = append(report.Reclaims, r)
	}
	slices.SortFunc(report.Queues, func(a, b QueueReport) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Queue, b.Queue))
	})
	slices.SortFunc(report.Organisations, func(a, b OrganisationReport) int { return cmp.Compare(a.Organisation, b.Organisation) })
	slices.SortFunc(report.Reclaims, func(a, b ReclaimReport) int {
		return cmp.Or(cmp.Compare(a.For, b.For), cmp.Compare(a.From, b.From))
	})
	return report
}

func (o *Owner) reportWorkers() WorkersReport {
	var r WorkersReport
	for id, w := range o.workers.all() {
		if !w.listed {
			continue
		}
		r.Listed++
		if !w.failing.IsZero() {
			r.Silent++
		}
		if w.info.Draining {
			r.Draining++
		}
		if o.now.Before(w.slowUntil) {
			r.Slow++
		}
		quarantined := o.quarantine.Quarantined(id, o.now)
		if quarantined {
			r.Quarantined++
		}
		if w.usable(&o.policy) && !quarantined {
			r.Usable++
			r.Capacity += w.info.Capacity.Accelerators
			r.Free += w.free().Sub(w.promised).Accelerators
		}
	}
	return r
}

func (o *Owner) reportJob(j *job, queues map[string]*QueueReport) {
	q := queues[j.queue.Name]
	if q == nil {
		q = &QueueReport{Queue: j.queue.Name, Priority: j.queue.Priority}
		queues[j.queue.Name] = q
	}
	if j.began {
		q.Running++
		return
	}
	q.Waiting++
	q.OldestMS = max(q.OldestMS, o.now.Sub(j.record.Accepted).Milliseconds())
}

func (r *OrganisationReport) count(p *piece) {
	urgent := p.job.queue.Priority == 0
	switch {
	case p.placing():
		r.Use += p.accelerators()
		if urgent {
			r.Urgent += p.accelerators()
		}
	case p.state() == pieceWaiting && p.step.opened && urgent:
		r.UrgentWaiting += p.accelerators()
	}
}

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
	case fit.Usable == 0:
		return "no worker can be used"
	case fit.Allowed == 0 && piece.Allowed != nil:
		return "the adviser has allowed none of the workers yet"
	case fit.Allowed == 0:
		return fmt.Sprintf("none of %d workers has the label %q", fit.Usable, piece.RequiredLabel)
	case fit.Large == 0:
		return fmt.Sprintf("a task needs %s, more than any of %d workers has", piece.Demand, fit.Allowed)
	}
	order := "waits for room behind more urgent work"
	switch {
	case fit.Entitled:
		order = "lies within its guarantee, so that room is taken back for it"
	case !fit.InTime:
		order = "is late already and goes after what can be in time"
	}
	switch {
	case fit.Bound && fit.RackSlots < piece.Tasks:
		return fmt.Sprintf("rack %s has room for %d of %d tasks, more than any other; it %s", fit.BestRack, fit.RackSlots, piece.Tasks, order)
	case fit.Slots < piece.Tasks:
		return fmt.Sprintf("%d of %d tasks fit into the free room of %d workers; it %s", fit.Slots, piece.Tasks, fit.Allowed, order)
	case fit.Kept > 0:
		return fmt.Sprintf("%d empty workers are kept for urgent work while it can wait", fit.Kept)
	}
	return "there is room: it is placed with the next plan"
}
