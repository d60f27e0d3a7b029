package pool

import (
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

func pieceID(t workflow.Task, gang bool) plan.PieceID {
	return plan.PieceID(string(t.Job) + "." + pieceKey(t.Occurrence, t.Step, t.Index, gang))
}

// pieceRound returns the occurrence that a piece's key names; -1 if it names none.
func pieceRound(key string) int {
	number, err := strconv.Atoi(key[:max(0, strings.IndexByte(key, '.'))])
	if err != nil {
		return -1
	}
	return number
}

// plan places waiting pieces when something has changed since the last plan.
func (o *Owner) plan() {
	if at := o.planned.Add(o.timing.PlanInterval); o.now.Before(at) {
		if o.dirty {
			o.wakeAt(at)
		}
		return
	}
	waiting := o.waiting()
	o.chooseClaims(waiting)
	o.planned, o.dirty = o.now, false
	if len(waiting) == 0 {
		return
	}
	o.wakeAt(o.now.Add(planPatience))
	byService := map[model.ServiceID][]*plan.Piece{}
	for _, p := range waiting {
		service := p.job.queue.Service
		byService[service] = append(byService[service], o.planPiece(p))
	}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		snapshot := o.snapshot(service, byService[service])
		o.keepPeaks(service, snapshot)
		for _, placement := range plan.Plan(snapshot) {
			o.claim(placement)
		}
	}
}

// planPatience is the time between plans while pieces wait and nothing changes; they
// may go further away the longer they wait.
const planPatience = 200 * time.Millisecond

// waiting lists the pieces whose turn has come.
func (o *Owner) waiting() []*piece {
	var found []*piece
	for _, p := range o.index.idle.all() {
		if p.step.opened && !p.job.over() {
			found = append(found, p)
		}
	}
	return found
}

func (o *Owner) planPiece(p *piece) *plan.Piece {
	spec := p.step.spec
	piece := &plan.Piece{
		ID:             p.id,
		Organisation:   p.job.record.Organisation,
		Priority:       p.job.queue.Priority,
		Tasks:          p.tasks(),
		Demand:         spec.Demand(),
		SameRack:       spec.SameRack && spec.Gang && spec.Tasks > 1,
		DataRack:       spec.DataRack,
		RequiredLabel:  spec.RequiredLabel,
		MaxPerWorker:   spec.MaxPerWorker,
		AvoidedWorkers: p.avoid,
		ReadySince:     p.ready,
		Objective:      p.step.objective,
		Remaining:      p.step.rest,
		Estimate:       spec.Estimate,
		JobStarted:     p.job.began,
		AllowedWorkers: o.allowedWorkers(p),
		Step:           p.step.class,
	}
	if spec.MaxPerWorker > 0 {
		piece.TasksOnWorker = p.step.onWorkers()
	}
	return piece
}

// onWorkers counts the tasks of the step on each worker, those that end included.
func (s *step) onWorkers() map[model.WorkerID]int {
	count := map[model.WorkerID]int{}
	for _, p := range s.pieces {
		for _, m := range p.members {
			if m.phase != memberGone {
				count[m.on]++
			}
		}
	}
	return count
}

// snapshot is the state of a service as plans see it. It changes nothing of the owner.
func (o *Owner) snapshot(service model.ServiceID, waiting []*plan.Piece) *plan.Snapshot {
	s := &plan.Snapshot{Now: o.now, Waiting: waiting, Guarantees: o.policy.Guarantees, Usage: map[int]int{}, PeakUsage: map[int]int{}}
	for id, w := range o.workers.all() {
		if w.info.Service != service || !w.usable(&o.policy) || o.quarantine.Quarantined(id, o.now) {
			continue
		}
		s.Workers = append(s.Workers, plan.Worker{
			ID: id, Zone: w.info.Zone, Rack: w.info.Rack, Labels: w.info.Labels,
			Capacity: w.info.Capacity,
			Free:     w.free().Sub(w.promised),
			Penalty:  o.penalty(w),
			Runs:     w.runs(),
		})
	}
	for _, p := range o.index.urgent.all() {
		if p.job.queue.Service == service {
			s.Urgent = append(s.Urgent, p.planRun())
		}
	}
	for key, use := range o.index.use {
		if key.service == service {
			s.Usage[key.priority] = use
		}
	}
	for _, piece := range waiting {
		s.PeakUsage[piece.Priority] = int(o.peakNow(service, piece.Priority, s))
	}
	return s
}

// runs lists the runs of a worker as plans see them.
func (w *worker) runs() []*plan.Run {
	if w.shown != nil {
		return w.shown
	}
	w.shown = []*plan.Run{}
	for _, m := range w.members.all() {
		if run := m.piece.planRun(); m.run == m.piece.run && !slices.Contains(w.shown, run) {
			w.shown = append(w.shown, run)
		}
	}
	return w.shown
}

// penalty puts slow workers last.
func (o *Owner) penalty(w *worker) int {
	if o.now.Before(w.slowUntil) {
		return 1
	}
	return 0
}

// peakDecay is the time in which a peak of use is forgotten to a part of 1/e.
const peakDecay = 20 * time.Second

// peak is the use of accelerators that decays from its latest peak.
type peak struct {
	value float64
	at    time.Time
}

// peakKey names the runs of a service that are more urgent than a priority.
type peakKey struct {
	service  model.ServiceID
	priority int
}

// peakNow is the peak of use above a priority at present: the use, or the last peak as it
// has decayed.
func (o *Owner) peakNow(service model.ServiceID, priority int, s *plan.Snapshot) float64 {
	last := o.peaks[peakKey{service, priority}]
	decayed := last.value * math.Exp(-o.now.Sub(last.at).Seconds()/peakDecay.Seconds())
	return max(float64(s.UsageAbove(priority)), decayed)
}

// keepPeaks keeps the peaks of a service as they are now, by priority.
func (o *Owner) keepPeaks(service model.ServiceID, s *plan.Snapshot) {
	for priority := range s.PeakUsage {
		o.peaks[peakKey{service, priority}] = peak{value: o.peakNow(service, priority, s), at: o.now}
	}
}

// resumeTime is what a task with checkpoints loses by a stop: it saves its state as it
// stops, and takes a while to resume.
const resumeTime = 500 * time.Millisecond

// planRun returns what plans see of the run.
func (p *piece) planRun() *plan.Run {
	if p.shown != nil {
		return p.shown
	}
	spec := p.step.spec
	p.shown = &plan.Run{
		Piece:        p.id,
		Organisation: p.job.record.Organisation,
		Priority:     p.job.queue.Priority,
		Accelerators: p.accelerators(),
		Started:      p.placed,
		WorkRate:     plan.Cores(spec.PerTask) * float64(p.tasks()),
		Preemptible:  (p.state() == pieceStarting || p.state() == pieceRunning) && !spec.LongRunning,
	}
	if spec.Checkpoints {
		p.shown.MaxLoss = resumeTime
	}
	for _, m := range p.members {
		if m.phase != memberGone && m.phase != memberPromised {
			p.shown.Allocate(m.on, m.demand())
		}
	}
	return p.shown
}
