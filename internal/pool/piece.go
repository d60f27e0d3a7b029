package pool

import (
	"math"
	"time"

	"github.com/chervilrun/chervilrun/internal/chart"
	"github.com/chervilrun/chervilrun/internal/model"
	plan "github.com/chervilrun/chervilrun/internal/scheduler/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

var pieceChart = chart.Load("piece")

// The states of a piece, as in charts/piece.toml.
const (
	pieceWaiting    = "waiting"
	pieceClaimed    = "claimed"
	pieceStarting   = "starting"
	pieceRunning    = "running"
	pieceStopping   = "stopping"
	pieceRecovering = "recovering"
	pieceDone       = "done"
)

// piece is what is placed at once: a gang, or one independent task.
type piece struct {
	id    plan.PieceID
	job   *job
	round *occurrence
	step  *step
	key   string
	index int
	chart *chart.Machine

	// run is the number of the latest run; failures counts the runs that failed.
	run        int
	failures   int
	checkpoint string
	// members are the parts of the latest run, by index within it.
	members []*member
	// recordAt is the job's change that has to be durable before orders leave.
	recordAt uint64
	// ready is since when the piece may run, placed since when it has a place.
	ready  time.Time
	placed time.Time
	// running is since when all parts have run.
	running time.Time
	avoid   map[model.WorkerID]bool
	// failedRun is the run whose failure has been counted.
	failedRun int
	// shown is what plans see of the run; nil when it has changed since.
	shown *plan.Run
}

func newPiece(j *job, o *occurrence, s *step, index int) *piece {
	key := pieceKey(o.number, s.index, index, s.spec.Gang)
	return &piece{
		id:  plan.PieceID(string(j.id()) + "." + key),
		job: j, round: o, step: s, index: index,
		key:   key,
		chart: pieceChart.New(),
	}
}

func (p *piece) state() string  { return p.chart.State() }
func (p *piece) finished() bool { return p.state() == pieceDone }

// tasks is the number of tasks of the piece.
func (p *piece) tasks() int {
	if p.step.spec.Gang {
		return p.step.spec.Tasks
	}
	return 1
}

func (p *piece) accelerators() int { return p.tasks() * p.step.spec.PerTask.Accelerators }

// task names a task of the piece by its index within the piece.
func (p *piece) task(index int) workflow.Task {
	if !p.step.spec.Gang {
		index = p.index
	}
	return workflow.Task{Job: p.job.id(), Occurrence: p.round.number, Step: p.step.index, Index: index}
}

// placing reports whether the piece holds room or may hold it.
func (p *piece) placing() bool {
	switch p.state() {
	case pieceClaimed, pieceStarting, pieceRunning, pieceStopping, pieceRecovering:
		return true
	}
	return false
}

// restore takes over recorded progress. A run whose workers are recorded may exist.
func (p *piece) restore(stored workflow.PieceProgress) {
	p.run, p.failures, p.checkpoint = stored.Run, stored.Failures, stored.Checkpoint
	if stored.Run > 0 {
		p.job.began = true
	}
	switch {
	case stored.Done:
		p.chart.Fire("finish")
	case len(stored.Workers) > 0:
		p.chart.Fire("recover")
		for index, worker := range stored.Workers {
			p.members = append(p.members, &member{piece: p, index: index, run: stored.Run, on: worker, phase: memberSuspected, share: fullShare})
		}
	}
}

// progress returns what is recorded of the piece, and whether anything is known.
func (p *piece) progress() (workflow.PieceProgress, bool) {
	if p.finished() {
		return workflow.PieceProgress{Done: true, Run: p.run}, true
	}
	stored := workflow.PieceProgress{Run: p.run, Failures: p.failures, Checkpoint: p.checkpoint}
	if p.placing() {
		for _, m := range p.members {
			stored.Workers = append(stored.Workers, m.on)
		}
	}
	return stored, stored.Run > 0
}

// memberPhase says what is known of one task of a run.
type memberPhase int

const (
	// memberPromised has room promised; no order has left.
	memberPromised memberPhase = iota
	// memberSent has an order under way or without an answer.
	memberSent
	// memberRunning was confirmed by the worker.
	memberRunning
	// memberSuspected is recorded by an earlier owner; its worker has not been asked.
	memberSuspected
	// memberGone does not exist and never will.
	memberGone
)

// neverExpires is the expiry of an order on the clock of an earlier life of its worker:
// the clock of the present life says nothing of it, so that only a stop settles it.
const neverExpires = math.MaxInt64

// member is one task of a run on its worker.
type member struct {
	piece *piece
	index int
	run   int
	on    model.WorkerID
	phase memberPhase
	// tries counts the start orders; inFlight is true while one is under way, and
	// startDue while one has to leave.
	tries    int
	inFlight bool
	startDue bool
	// expiresMS is the latest expiry of a start order, on the worker's clock; it is
	// neverExpires once the clock has started anew.
	expiresMS int64
	// sent is when the latest start order left.
	sent time.Time
	// confirmed is when the worker was first known to run it.
	confirmed time.Time
	// stopping is true once the run has to end; stopSent is when the last order left,
	// stopConfirmed when the worker first confirmed one.
	stopping      bool
	stopInFlight  bool
	stopSent      time.Time
	stopConfirmed time.Time
	progress      progressOf
	// load is the latest load figure: the tail latency in milliseconds of a task that
	// serves. share is the part of its speed, in percent, at which a filler works.
	load         int
	share        int
	wanted       int
	paceInFlight bool
	// cause is how the run ended, once the worker has listed it.
	cause EndCause
}

func (m *member) key() RunKey { return RunKey{Task: m.piece.task(m.index).ID(), Run: m.run} }

// exists reports whether the run exists or may come to exist.
func (m *member) exists() bool { return m.phase == memberSent || m.phase == memberRunning }

func (m *member) demand() model.Resources { return m.piece.step.spec.Demand() }
