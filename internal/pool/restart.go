package pool

import (
	"hash/fnv"
	"time"
)

// A long-running task group is started again however often it ends. While its runs end soon
// after their start, it is started again after a pause that grows, so that it neither spins nor
// takes down one worker after the other.
const (
	// steadyRunTime is the run time from which on a run counts as one that has come up.
	steadyRunTime = 10 * time.Second
	// minRestartPause precedes the second restart in a row, and doubles with each further one.
	minRestartPause = 500 * time.Millisecond
	maxRestartPause = 4 * time.Second
	// restartJitter is the largest share by which the pauses of two jobs differ.
	restartJitter = 0.25
)

// noteEnd notes that the present run has ended by itself.
func (g *taskGroup) noteEnd(now time.Time) {
	if !g.step.spec.LongRunning {
		return
	}
	if !g.runningSince.IsZero() && now.Sub(g.runningSince) >= steadyRunTime {
		g.earlyEnds = 0
	}
	g.earlyEnds++
	g.startAfter = now.Add(g.restartPause())
}

// restartPause returns the time from the end of the present run to the next start.
func (g *taskGroup) restartPause() time.Duration {
	if g.earlyEnds <= 1 {
		return 0
	}
	pause := maxRestartPause
	if doublings := g.earlyEnds - 2; doublings < 8 {
		pause = min(minRestartPause<<doublings, maxRestartPause)
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(g.job.id())) // a hash returns no error
	return pause + time.Duration(float64(pause)*restartJitter*float64(hash.Sum32()%1000)/1000)
}

// isPaused reports whether the task group waits for its next start after early ends.
func (g *taskGroup) isPaused(now time.Time) bool { return now.Before(g.startAfter) }
