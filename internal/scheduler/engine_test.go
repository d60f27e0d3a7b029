package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
)

// newTestEngine returns an engine with usable workers that checks all invariants.
func newTestEngine(racks, perRack int, orgs []model.Organisation) *ZoneEngine {
	e := New(testZone, Options{CheckAll: true})
	workers := testWorkers(racks, perRack)
	e.SetWorkers(workers, epoch)
	for _, w := range workers {
		e.SetUsable(w.ID, true, epoch)
	}
	guarantees := make(map[model.OrganisationID][]model.Guarantee)
	for _, org := range orgs {
		guarantees[org.ID] = org.Guarantees
	}
	e.SetOrganisations(orgs, guarantees)
	return e
}

func normalJob(id string, org model.OrganisationID, s model.Shape) model.JobSpec {
	return model.JobSpec{
		ID: model.JobID(id), Organisation: org, Service: "s", Shape: s,
		Priority: model.PriorityNormal, Repeatable: true, Checkpoint: true,
	}
}

func starts(actions []Action) []StartGang {
	var list []StartGang
	for _, a := range actions {
		if s, ok := a.(StartGang); ok {
			list = append(list, s)
		}
	}
	return list
}

func stops(actions []Action) []StopGang {
	var list []StopGang
	for _, a := range actions {
		if s, ok := a.(StopGang); ok {
			list = append(list, s)
		}
	}
	return list
}

// fillPool starts count jobs of an organisation that take a whole worker each.
func fillPool(t *testing.T, e *ZoneEngine, org model.OrganisationID, count int) {
	for i := range count {
		spec := normalJob(fmt.Sprintf("%s-fill%d", org, i), org, shape(8, 1, model.AdjacencyWorker))
		require.Equal(t, outcome.Accepted, e.Enqueue(spec, epoch, epoch).Kind)
	}
	started := starts(e.Decide(epoch))
	require.Len(t, started, count)
	for _, s := range started {
		e.Started(s.Job, epoch)
	}
}

func TestReclaimFreesTheShape(t *testing.T) {
	orgs := []model.Organisation{
		{ID: "owner", Weight: 1, Guarantees: []model.Guarantee{{Name: "night", Shape: shape(16, 1, model.AdjacencyRack), Count: 1}}},
		{ID: "borrower", Weight: 1},
	}
	e := newTestEngine(2, 2, orgs)
	fillPool(t, e, "borrower", 4)
	job := normalJob("night", "owner", shape(16, 1, model.AdjacencyRack))
	e.Enqueue(job, epoch, epoch)

	evicted := stops(e.Decide(epoch))
	require.Len(t, evicted, 2, "the shape takes two workers of one rack")
	require.Empty(t, starts(e.Decide(epoch)), "nothing starts before the workers are free")
	for _, s := range evicted {
		require.Equal(t, model.JobID("night"), s.Beneficiary)
		require.Equal(t, outcome.ReasonReclaimed, s.Reason)
		e.Stopped(s.Job, StoppedPreempted, true, nil, epoch)
	}
	started := starts(e.Decide(epoch))
	require.Len(t, started, 1)
	require.Equal(t, model.JobID("night"), started[0].Job)
}

func TestReclaimTakesTheCheapestBorrowers(t *testing.T) {
	orgs := []model.Organisation{
		{ID: "owner", Weight: 1, Guarantees: []model.Guarantee{{Name: "g", Shape: shape(8, 1, model.AdjacencyWorker), Count: 1}}},
		{ID: "borrower", Weight: 1},
	}
	e := newTestEngine(1, 3, orgs)
	for i, checkpoint := range []bool{false, true, false} {
		spec := normalJob(fmt.Sprint(i), "borrower", shape(8, 1, model.AdjacencyWorker))
		spec.Checkpoint = checkpoint
		e.Enqueue(spec, epoch, epoch)
	}
	for _, s := range starts(e.Decide(epoch)) {
		e.Started(s.Job, epoch)
	}
	later := epoch.Add(time.Hour)
	e.Enqueue(normalJob("g", "owner", shape(8, 1, model.AdjacencyWorker)), later, later)
	evicted := stops(e.Decide(later))
	require.Len(t, evicted, 1)
	require.Equal(t, model.JobID("1"), evicted[0].Job, "the only one with checkpoints loses no work")
	require.True(t, evicted[0].Checkpoint)
}

// Guards against a gang that is stopped although another one, which is stopping already, frees the
// guarantee's shape at no cost.
func TestReclaimWaitsForGangsThatAreStopping(t *testing.T) {
	orgs := []model.Organisation{
		{ID: "owner", Weight: 1, Guarantees: []model.Guarantee{{Name: "g", Shape: shape(8, 1, model.AdjacencyWorker), Count: 1}}},
		{ID: "borrower", Weight: 1},
	}
	e := newTestEngine(1, 2, orgs)
	e.Enqueue(normalJob("large", "borrower", shape(8, 1, model.AdjacencyWorker)), epoch, epoch)
	e.Enqueue(normalJob("small", "borrower", shape(1, 1, model.AdjacencyWorker)), epoch, epoch)
	var other model.WorkerID
	for _, s := range starts(e.Decide(epoch)) {
		e.Started(s.Job, epoch)
		if s.Job == "small" {
			other = s.Placement[0]
		}
	}
	first := normalJob("first", "owner", shape(8, 1, model.AdjacencyWorker))
	e.SetUsable(other, false, epoch)
	evicted := stops(enqueueAndDecide(e, first, epoch))
	require.Len(t, evicted, 1)
	require.Equal(t, model.JobID("large"), evicted[0].Job)
	require.True(t, e.Cancel(first.ID))
	e.SetUsable(other, true, epoch)

	second := normalJob("second", "owner", shape(8, 1, model.AdjacencyWorker))
	require.Empty(t, stops(enqueueAndDecide(e, second, epoch)))
	e.Stopped("large", StoppedPreempted, false, nil, epoch)
	require.Len(t, starts(e.Decide(epoch)), 1)
}

func TestNonPreemptibleJobsStayOffGuarantees(t *testing.T) {
	orgs := []model.Organisation{
		{ID: "owner", Weight: 1, Guarantees: []model.Guarantee{{Name: "g", Shape: shape(8, 1, model.AdjacencyWorker), Count: 2}}},
		{ID: "borrower", Weight: 1},
	}
	e := newTestEngine(1, 3, orgs)
	for i := range 2 {
		spec := normalJob(fmt.Sprint(i), "borrower", shape(8, 1, model.AdjacencyWorker))
		spec.Repeatable, spec.Checkpoint = false, false
		require.Equal(t, outcome.Accepted, e.Enqueue(spec, epoch, epoch).Kind)
	}
	require.Len(t, starts(e.Decide(epoch)), 1, "one worker is outside the guarantees")
	require.Contains(t, e.Explain("1", epoch), waitsForUnguaranteed)

	big := normalJob("big", "borrower", shape(16, 1, model.AdjacencyRack))
	big.Repeatable, big.Checkpoint = false, false
	require.Equal(t, outcome.ReasonInfeasible, e.Enqueue(big, epoch, epoch).Reason)
}

func TestInfeasibleJobsAreRefusedAtOnce(t *testing.T) {
	e := newTestEngine(2, 2, []model.Organisation{{ID: "a", Weight: 1, MaxAccelerators: 20}})
	elsewhere := normalJob("z", "a", shape(1, 1, model.AdjacencyZone))
	elsewhere.Zones = []model.AvailabilityZoneID{"elsewhere"}
	cases := map[string]model.JobSpec{
		"larger than a worker": normalJob("w", "a", shape(9, 1, model.AdjacencyWorker)),
		"larger than a rack":   normalJob("r", "b", shape(17, 1, model.AdjacencyRack)),
		"larger than the zone": normalJob("x", "b", shape(33, 1, model.AdjacencyZone)),
		"larger than quota":    normalJob("q", "a", shape(21, 1, model.AdjacencyZone)),
		"not a shape":          normalJob("n", "a", model.Shape{}),
		"another zone":         elsewhere,
	}
	for name, spec := range cases {
		t.Run(name, func(t *testing.T) {
			o := e.Enqueue(spec, epoch, epoch)
			require.Equal(t, outcome.NotRun, o.Kind)
			require.Equal(t, outcome.ReasonInfeasible, o.Reason)
			require.NotEmpty(t, o.Detail)
		})
	}
}

func TestNothingStartsWhileTheZoneIsOut(t *testing.T) {
	e := newTestEngine(1, 1, nil)
	e.SetOutOfService(true, epoch)
	e.Enqueue(normalJob("a", "a", shape(1, 1, model.AdjacencyZone)), epoch, epoch)
	require.Empty(t, e.Decide(epoch))
	require.Contains(t, e.Explain("a", epoch), waitsForZone)
	e.SetOutOfService(false, epoch.Add(time.Minute))
	require.Len(t, starts(e.Decide(epoch.Add(time.Minute))), 1)
}

func TestReturningZoneOpensRackByRack(t *testing.T) {
	e := newTestEngine(4, 1, nil)
	e.SetOutOfService(true, epoch)
	for i := range 32 {
		e.Enqueue(normalJob(fmt.Sprint(i), "a", shape(1, 1, model.AdjacencyZone)), epoch, epoch)
	}
	e.SetOutOfService(false, epoch)
	require.Len(t, starts(e.Decide(epoch)), 8, "small jobs start only on one rack")
	e.Enqueue(normalJob("large", "a", shape(8, 1, model.AdjacencyWorker)), epoch, epoch)
	require.Len(t, starts(e.Decide(epoch)), 1, "a large gang starts on any rack")
	require.Len(t, starts(e.Decide(epoch.Add(DefaultReturnRamp))), 16)
}

func TestWorkerThatFailsEveryStartIsQuarantined(t *testing.T) {
	e := newTestEngine(1, 2, nil)
	now := epoch
	failed := 0
	for i := range 12 {
		spec := normalJob(fmt.Sprint(i), "a", shape(8, 1, model.AdjacencyWorker))
		e.Enqueue(spec, now, now)
		for _, s := range starts(e.Decide(now)) {
			if s.Placement[0] == "w00-00" {
				failed++
				e.Stopped(s.Job, StoppedNotStarted, true, []model.WorkerID{"w00-00"}, now)
				continue
			}
			e.Started(s.Job, now)
			e.Finished(s.Job, now)
		}
	}
	require.LessOrEqual(t, failed, defaultQuarantineFailures)
	w, _ := e.pool.Worker("w00-00")
	require.True(t, w.Quarantined)
	e.Decide(now.Add(defaultQuarantineBase))
	require.False(t, w.Quarantined, "the quarantine has ended")
}

func TestTaskOverItsMemoryIsThrottledThenStopped(t *testing.T) {
	e := newTestEngine(1, 2, nil)
	s := shape(1, 1, model.AdjacencyWorker)
	e.Enqueue(normalJob("a", "a", s), epoch, epoch)
	started := starts(e.Decide(epoch))
	e.Started("a", epoch)
	over := Usage{Job: "a", Worker: started[0].Placement[0], Used: s.PerTask}
	over.Used.MemoryMB *= 3

	e.Observe([]Usage{over}, epoch)
	require.IsType(t, ThrottleTask{}, e.Decide(epoch)[0])
	e.Observe([]Usage{over}, epoch.Add(time.Second))
	require.Empty(t, e.Decide(epoch.Add(time.Second)))
	late := epoch.Add(DefaultMemoryGrace)
	e.Observe([]Usage{over}, late)
	stopped := stops(e.Decide(late))
	require.Len(t, stopped, 1)
	require.Equal(t, outcome.ReasonMemoryOverDeclared, stopped[0].Reason)

	e.Stopped("a", StoppedPreempted, true, nil, late)
	require.Len(t, starts(e.Decide(late)), 1)
	w, _ := e.pool.Worker(e.gangs["a"].Parts[0].Worker.ID)
	require.Equal(t, over.Used.MemoryMB, w.Used.MemoryMB, "placed with the observed memory use")
}

func TestFairShareFollowsWeights(t *testing.T) {
	e := newTestEngine(2, 3, []model.Organisation{{ID: "one", Weight: 1}, {ID: "two", Weight: 2}})
	for i := range 48 {
		e.Enqueue(normalJob(fmt.Sprint("one", i), "one", shape(1, 1, model.AdjacencyZone)), epoch, epoch)
		e.Enqueue(normalJob(fmt.Sprint("two", i), "two", shape(1, 1, model.AdjacencyZone)), epoch, epoch)
	}
	e.Decide(epoch)
	require.Equal(t, 16, e.ledger.AccountOf("one").Borrowed.Accelerators)
	require.Equal(t, 32, e.ledger.AccountOf("two").Borrowed.Accelerators)
}

func TestMassCancellationEmptiesTheQueue(t *testing.T) {
	e := newTestEngine(1, 1, nil)
	fillPool(t, e, "a", 1)
	for i := range 200 {
		e.Enqueue(normalJob(fmt.Sprint(i), "a", shape(4, 1, model.AdjacencyWorker)), epoch, epoch)
	}
	e.Decide(epoch)
	for i := range 200 {
		require.True(t, e.Cancel(model.JobID(fmt.Sprint(i))))
	}
	require.Zero(t, e.Digest(epoch).Queued)
	require.False(t, e.Cancel("a-fill0"), "a placed job is not cancelled but stopped by the caller")
}

func TestDeadlineEndsAWaitingJob(t *testing.T) {
	e := newTestEngine(1, 1, nil)
	fillPool(t, e, "a", 1)
	late := normalJob("late", "a", shape(1, 1, model.AdjacencyZone))
	late.Deadline = epoch.Add(time.Minute)
	e.Enqueue(late, epoch, epoch)
	require.Empty(t, e.Decide(epoch))
	refused := e.Decide(late.Deadline)
	require.Len(t, refused, 1)
	require.Equal(t, outcome.ReasonDeadline, refused[0].(Refuse).Outcome.Reason)
}

func TestFailuresOfOneJobDoNotQuarantineAWorker(t *testing.T) {
	e := newTestEngine(1, 1, nil)
	e.Enqueue(normalJob("bad", "a", shape(1, 1, model.AdjacencyZone)), epoch, epoch)
	for range 2 * defaultQuarantineFailures {
		require.Len(t, starts(e.Decide(epoch)), 1)
		e.Stopped("bad", StoppedNotStarted, true, []model.WorkerID{"w00-00"}, epoch)
	}
}
