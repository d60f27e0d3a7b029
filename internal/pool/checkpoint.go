package pool

import "github.com/chervilrun/chervilrun/internal/event"

// Workers choose the length of checkpoints, and the owner keeps that of each task in memory and in
// the store.
const (
	// maxCheckpointBytes limits a checkpoint that is kept. A part of the progress holds those of all its
	// tasks if they have up to 3 KB.
	maxCheckpointBytes = 64 << 10
	// maxCheckpointMemory limits all checkpoints together; small hosts have 144 MB for everything.
	maxCheckpointMemory = 32 << 20
)

// keepCheckpoint stores the checkpoint of a run. One that is too long to keep is passed over: the task
// group then resumes from the one before.
func (o *Owner) keepCheckpoint(g *taskGroup, checkpoint string) {
	growth := len(checkpoint) - len(g.checkpoint)
	switch {
	case o.taskGroups[g.id] != g:
	case len(checkpoint) > maxCheckpointBytes:
		o.reportOmitted(g.job, event.Fields{"piece": g.key, "bytes": len(checkpoint), "omitted": 1, "why": "checkpoint too long"})
	case growth > 0 && o.checkpointMemory+growth > maxCheckpointMemory:
		o.reportOmitted(g.job, event.Fields{"piece": g.key, "bytes": len(checkpoint), "omitted": 1, "why": "checkpoints take too much memory"})
	default:
		g.checkpoint = checkpoint
		o.checkpointMemory += growth
	}
}

// dropCheckpoint forgets the checkpoint of a task group that is not started again.
func (o *Owner) dropCheckpoint(g *taskGroup) {
	o.checkpointMemory -= len(g.checkpoint)
	g.checkpoint = ""
}
