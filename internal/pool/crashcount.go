package pool

import (
	"slices"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/crashes"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// maxCountedCrashes limits the crashes that are kept of a task group that is not given up.
const maxCountedCrashes = 32

// countCrash counts a run under which a worker has crashed, once. The job is given up when these
// are more crashes than workers have without it.
func (o *Owner) countCrash(lost lostRun, id model.WorkerID) {
	g := lost.group
	if g.finished() || g.job.isTerminal() {
		return
	}
	if i := slices.IndexFunc(g.crashes, func(crash workflow.CrashedRun) bool { return crash.Run == lost.run }); i >= 0 {
		o.addCrashedMember(g, &g.crashes[i], lost.member)
		return
	}
	rate := o.crashRate.WithoutWork(string(g.id), o.workers.len(), o.now)
	expected := rate * lost.ranFor.Seconds() * float64(g.tasks())
	crash := workflow.CrashedRun{Run: lost.run, Worker: o.addressOf(id), Alone: lost.alone, Expected: expected}
	if g.tasks() > 1 {
		crash.Members = []int{lost.member}
	}
	g.crashes = append(g.crashes, crash)
	g.crashes = g.crashes[max(0, len(g.crashes)-maxCountedCrashes):]
	g.avoid(id)
	o.suspects.set(g.id, g)
	o.markChanged(g)
	count := g.crashCount()
	o.emit(event.TaskSuspected, event.Subject{Job: string(g.job.id()), Worker: string(id)}, event.Fields{
		"piece": g.key, "run": lost.run, "member": lost.member, "alone": lost.alone, "ran_ms": lost.ranFor.Milliseconds(),
		"crashes": count.Crashes, "repeated": count.Repeated, "expected": count.Expected, "limit": crashes.Limit,
	})
	o.giveUpIfGuilty(g, count)
}

// addCrashedMember adds a further task of a gang whose worker has crashed in the same run.
func (o *Owner) addCrashedMember(g *taskGroup, crash *workflow.CrashedRun, member int) {
	if len(crash.Members) == 0 || slices.Contains(crash.Members, member) {
		return
	}
	crash.Members = append(slices.Clone(crash.Members), member)
	o.markChanged(g)
	o.giveUpIfGuilty(g, g.crashCount())
}

func (o *Owner) giveUpIfGuilty(g *taskGroup, count crashes.Count) {
	// Long-running tasks are started again however they end.
	if !g.step.spec.LongRunning && count.GivesUp() {
		o.crashReport.JobsGivenUp++
		o.failJob(g.job, g, "crashed_workers")
	}
}

// crashCount sums up the crashes under the task group. Those under a gang speak against it only as far as
// one and the same task of it was there: a gang on many workers is there at each crash.
func (g *taskGroup) crashCount() crashes.Count {
	var most crashes.Count
	for _, member := range g.crashedMembers() {
		count := sumCrashes(slices.DeleteFunc(slices.Clone(g.crashes), func(crash workflow.CrashedRun) bool {
			return len(crash.Members) > 0 && !slices.Contains(crash.Members, member)
		}))
		if count.GivesUp() {
			return count
		}
		if count.Crashes > most.Crashes {
			most = count
		}
	}
	return most
}

// crashedMembers returns the tasks on workers that have crashed under the task group.
func (g *taskGroup) crashedMembers() []int {
	members := []int{0}
	for _, crash := range g.crashes {
		members = append(members, crash.Members...)
	}
	slices.Sort(members)
	return slices.Compact(members)
}

func sumCrashes(list []workflow.CrashedRun) crashes.Count {
	count := crashes.Count{Crashes: len(list)}
	seen := map[string]bool{}
	for _, crash := range list {
		if crash.Alone {
			count.Lone++
		}
		if crash.Worker != "" && seen[crash.Worker] {
			count.Repeated++
		}
		seen[crash.Worker] = true
		count.Expected += crash.Expected
	}
	return count
}

// hasCrashed reports whether a crash under a run has been counted.
func (g *taskGroup) hasCrashed(run int) bool {
	return slices.ContainsFunc(g.crashes, func(crash workflow.CrashedRun) bool { return crash.Run == run })
}

// retractCrash takes back a crash that was counted for a run.
func (o *Owner) retractCrash(lost lostRun) {
	if g := lost.group; g.hasCrashed(lost.run) && !g.job.isTerminal() {
		g.crashes = slices.DeleteFunc(g.crashes, func(crash workflow.CrashedRun) bool { return crash.Run == lost.run })
		o.markChanged(g)
	}
}

// forgiveCrashes clears the crashes of a task group that has run for long. It is called when a
// worker lists the run, so that the time is proven.
func (o *Owner) forgiveCrashes(g *taskGroup) {
	if g.isSuspect() && g.state() == taskGroupRunning && o.now.Sub(g.runningSince) >= crashes.Forgiveness {
		g.crashes = nil
		o.markChanged(g)
	}
}
