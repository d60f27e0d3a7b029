package zone

import (
	"fmt"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/scheduler/crashes"
)

// lostGang is a gang that was on a worker when it crashed or was lost.
type lostGang struct {
	gang *gang
	// ranFor is how long the gang had run, at most.
	ranFor time.Duration
}

// maxCrashDelay limits the random delay before the next start of a job under which a worker has
// crashed, so that the jobs that were on it don't meet again at once.
const maxCrashDelay = 2 * time.Second

// gangsOn returns the gangs with tasks that run, or may run, on a worker that was last known to be
// well at the given time.
func (w *workerState) gangsOn(wellAt time.Time) []lostGang {
	var found []lostGang
	seen := map[*gang]bool{}
	for _, t := range w.tasks {
		if t.mayHaveStarted && !t.ended() && !t.isDetached && !seen[t.gang] {
			seen[t.gang] = true
			found = append(found, lostGang{t.gang, max(0, wellAt.Sub(t.gang.placedAt))})
		}
	}
	return found
}

// idsOf returns the jobs of gangs.
func idsOf(lost []lostGang) []string {
	ids := make([]string, 0, len(lost))
	for _, l := range lost {
		ids = append(ids, string(l.gang.jobID))
	}
	return ids
}

// checkRestart handles the first response after a worker was unclaimed: if it comes from a later
// incarnation, the worker has crashed under the gangs that were on it.
func (r *Runner) checkRestart(w *workerState, incarnation int64, now time.Time) {
	lost := append(w.gangsOn(now), w.lostGangs...)
	w.lostGangs = nil
	if w.incarnation == 0 || incarnation <= w.incarnation {
		return
	}
	r.crashRate.Add(now, idsOf(lost)...)
	r.Events.Record(event.WorkerCrashed, w.subject(), fmt.Sprintf("incarnation %d after %d, %d gangs", incarnation, w.incarnation, len(lost)))
	// A gang with more crashes than another on the same worker explains this one as well.
	most := 0
	for _, l := range lost {
		if l.gang.job != nil {
			most = max(most, l.gang.job.record.Crashes.Crashes)
		}
	}
	for _, l := range lost {
		if j := l.gang.job; j != nil && !l.gang.crashCounted && j.record.Crashes.Crashes == most {
			l.gang.crashCounted = true
			r.countCrash(j, l.ranFor, len(l.gang.tasks), len(lost) == 1, now)
		}
	}
}

// countCrash counts a crash of a worker for a job that has not ended.
func (r *Runner) countCrash(j *jobState, ranFor time.Duration, workers int, alone bool, now time.Time) {
	if j.record.State.Final() || j.movedAway {
		return
	}
	count := &j.record.Crashes
	if ranFor >= crashes.Forgiveness {
		*count = crashes.Count{}
	}
	count.Crashes++
	if alone {
		count.Lone++
	}
	count.Expected += r.crashRate.WithoutWork(string(j.id()), len(r.orderedWorkers), now) * ranFor.Seconds() * float64(workers)
	r.markChanged(j, false, now)
	r.recordEvent(event.TaskSuspected, j, fmt.Sprintf("%d crashes under it, %d alone, %.2f expected", count.Crashes, count.Lone, count.Expected))
}

// countRecordedCrashes counts a crash for a job of an earlier owner if one of its workers has
// restarted since the placement was recorded.
func (r *Runner) countRecordedCrashes(j *jobState, now time.Time) {
	for i, id := range j.record.Placement {
		w := r.workers[id]
		if w != nil && i < len(j.record.Incarnations) && j.record.Incarnations[i] != 0 && w.incarnation > j.record.Incarnations[i] {
			r.countCrash(j, 0, 1, false, now)
			return
		}
	}
}

// crashDelay returns how long a job waits after a worker has crashed under it.
func (r *Runner) crashDelay(j *jobState) time.Duration {
	if j.record.Crashes.Crashes == 0 {
		return 0
	}
	return time.Duration(r.Rand.Int64N(int64(maxCrashDelay)))
}
