package zone

import (
	"fmt"
	"time"

	"github.com/chervilrun/chervilrun/internal/worker"
)

// Checkpoints are taken in rounds. A gang resumes only from a round in which every task
// has saved its state. A round begins every Timing.CheckpointInterval and when a gang is
// stopped with a checkpoint.

// checkpointName returns the name of the task's checkpoint in the current round.
func (t *task) checkpointName() string {
	return fmt.Sprintf("%s@%s#%d", t.id, t.gang.attempt, t.gang.round)
}

func (t *task) isSaved() bool { return t.checkpoint == t.checkpointName() }

// advanceCheckpointRound begins a round of checkpoints when one is due, and records it
// once every task has saved its state.
func (r *Runner) advanceCheckpointRound(g *gang, now time.Time) {
	if !g.job.record.Spec.Checkpoint {
		return
	}
	if !now.Before(g.nextRoundAt) {
		g.beginCheckpointRound(now)
		g.nextRoundAt = now.Add(r.Timing.CheckpointInterval)
	}
	if g.isRoundOpen && g.isRoundSaved() {
		g.isRoundOpen = false
		g.job.record.Checkpoints = g.checkpoints()
		r.markChanged(g.job, false, now)
	}
}

func (g *gang) beginCheckpointRound(now time.Time) {
	g.round++
	g.isRoundOpen = true
	for _, t := range g.tasks {
		if t.worker != nil && !t.ended() {
			t.worker.exchangeNow(now)
		}
	}
}

// isRoundSaved reports whether every task has saved its state in the current round.
func (g *gang) isRoundSaved() bool {
	for _, t := range g.tasks {
		if !t.isSaved() {
			return false
		}
	}
	return g.round > 0
}

func (g *gang) checkpoints() []string {
	names := make([]string, len(g.tasks))
	for i, t := range g.tasks {
		names[i] = t.checkpoint
	}
	return names
}

// addCheckpoints adds checkpoint commands for tasks whose state is not yet saved in the
// current round.
func (r *Runner) addCheckpoints(w *workerState, e *worker.Exchange) {
	for _, t := range w.tasks {
		if t.gang.state() == gangRunning && t.gang.isRoundOpen && !t.ended() && !t.isSaved() {
			e.Checkpoints = append(e.Checkpoints, worker.Checkpoint{Task: t.id, Attempt: t.gang.attempt, Name: t.checkpointName()})
		}
	}
}
