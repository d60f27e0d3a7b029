package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
)

// enqueueAndDecide enqueues a job, calls Decide and confirms all starts.
func enqueueAndDecide(e *ZoneEngine, spec model.JobSpec, now time.Time) []Action {
	e.Enqueue(spec, now, now)
	actions := e.Decide(now)
	for _, s := range starts(actions) {
		e.Started(s.Job, now)
	}
	return actions
}

func withoutCheckpoint(spec model.JobSpec) model.JobSpec {
	spec.Checkpoint = false
	return spec
}

// TestLargeGangIsNotStarved checks that a large gang gets a reservation while small jobs
// keep arriving, and starts once the jobs on the reserved worker have finished.
func TestLargeGangIsNotStarved(t *testing.T) {
	e := newTestEngine(1, 2, nil)
	for i := range 8 {
		enqueueAndDecide(e, withoutCheckpoint(normalJob(fmt.Sprint("pair", i), "small", shape(2, 1, model.AdjacencyWorker))), epoch)
	}
	now := epoch.Add(time.Second)
	enqueueAndDecide(e, normalJob("large", "big", shape(8, 1, model.AdjacencyWorker)), now)
	now = now.Add(DefaultReserveAfter)
	e.Decide(now)
	r := e.reservationOf(e.gangs["large"])
	require.NotNil(t, r)

	reserved := r.parts[0].Worker
	var finished []model.JobID
	for _, g := range reserved.Gangs {
		finished = append(finished, g.Spec.ID)
	}
	for i, id := range finished {
		e.Finished(id, now)
		actions := enqueueAndDecide(e, withoutCheckpoint(normalJob(fmt.Sprint("late", i), "small", shape(2, 1, model.AdjacencyWorker))), now)
		if i < len(finished)-1 {
			require.Empty(t, starts(actions), "a job without checkpoints must not backfill")
			continue
		}
		require.Equal(t, model.JobID("large"), starts(actions)[0].Job)
	}
}

// TestBackfillIsStoppedWhenThePlaceIsFree checks that a job with checkpoints runs on the
// reserved worker until the large gang can start there.
func TestBackfillIsStoppedWhenThePlaceIsFree(t *testing.T) {
	e := newTestEngine(1, 1, nil)
	enqueueAndDecide(e, withoutCheckpoint(normalJob("first", "small", shape(4, 1, model.AdjacencyWorker))), epoch)
	enqueueAndDecide(e, normalJob("large", "big", shape(8, 1, model.AdjacencyWorker)), epoch)
	now := epoch.Add(DefaultReserveAfter)
	e.Decide(now)
	require.Len(t, starts(enqueueAndDecide(e, normalJob("fill", "small", shape(4, 1, model.AdjacencyWorker)), now)), 1)
	e.Finished("first", now)
	stopped := stops(e.Decide(now))
	require.Len(t, stopped, 1)
	require.Equal(t, model.JobID("fill"), stopped[0].Job)
	require.True(t, stopped[0].Checkpoint)
	e.Stopped("fill", StoppedPreempted, true, nil, now)
	require.Equal(t, model.JobID("large"), starts(e.Decide(now))[0].Job)
}

// TestReservedPlaceRespectsGuarantees adds a guarantee that is held on the worker reserved
// for a gang that is not preemptible; the gang must not start there.
func TestReservedPlaceRespectsGuarantees(t *testing.T) {
	orgs := []model.Organisation{{ID: "owner", Weight: 1}}
	e := newTestEngine(1, 1, orgs)
	enqueueAndDecide(e, withoutCheckpoint(normalJob("first", "small", shape(4, 1, model.AdjacencyWorker))), epoch)
	large := withoutCheckpoint(normalJob("large", "big", shape(8, 1, model.AdjacencyWorker)))
	large.Repeatable = false
	enqueueAndDecide(e, large, epoch)
	now := epoch.Add(DefaultReserveAfter)
	e.Decide(now)
	require.NotNil(t, e.reservationOf(e.gangs["large"]))
	e.SetOrganisations(orgs, map[model.OrganisationID][]model.Guarantee{
		"owner": {{Name: "g", Shape: shape(4, 1, model.AdjacencyWorker), Count: 1}},
	})
	e.Finished("first", now)
	require.Empty(t, starts(e.Decide(now)))
}

// TestSmallGangsAreMovedForALargeOne checks that a gang is moved to free a worker if it
// fits elsewhere, and that nothing is moved otherwise.
func TestSmallGangsAreMovedForALargeOne(t *testing.T) {
	for size, moves := range map[int]int{4: 1, 5: 0} {
		t.Run(fmt.Sprint("gangs of ", size), func(t *testing.T) {
			e := newTestEngine(1, 3, nil)
			for i := range 3 {
				enqueueAndDecide(e, normalJob(fmt.Sprint(i), "small", shape(size, 1, model.AdjacencyWorker)), epoch)
				enqueueAndDecide(e, withoutCheckpoint(normalJob(fmt.Sprint("rest", i), "small", shape(8-size, 1, model.AdjacencyWorker))), epoch)
			}
			for i := range 3 {
				e.Finished(model.JobID(fmt.Sprint("rest", i)), epoch)
			}
			later := epoch.Add(time.Minute * 3)
			enqueueAndDecide(e, normalJob("large", "small", shape(8, 1, model.AdjacencyWorker)), later)
			moved := stops(e.Decide(later.Add(DefaultMoveAfter)))
			require.Len(t, moved, moves)
			if moves > 0 {
				require.Equal(t, outcome.ReasonMoved, moved[0].Reason)
			}
		})
	}
}

// TestBorrowersArePreemptedForFairness checks that a gang of an organisation that borrows
// most of the pool is preempted for another's large gang, but only after MinBorrowerRunTime.
func TestBorrowersArePreemptedForFairness(t *testing.T) {
	e := newTestEngine(1, 3, nil)
	for i := range 3 {
		enqueueAndDecide(e, normalJob(fmt.Sprint(i), "greedy", shape(7, 1, model.AdjacencyWorker)), epoch)
	}
	enqueueAndDecide(e, normalJob("large", "modest", shape(8, 1, model.AdjacencyWorker)), epoch.Add(time.Second))
	require.Empty(t, stops(e.Decide(epoch.Add(DefaultFairPreemptAfter))))
	require.Len(t, stops(e.Decide(epoch.Add(DefaultMinBorrowerRunTime).Add(DefaultFairPreemptAfter))), 1)
}

// TestVacantGuaranteesSwapPlaces checks that a vacant guarantee instance whose worker is
// lent out swaps with one whose worker is free, so that no gang is stopped.
func TestVacantGuaranteesSwapPlaces(t *testing.T) {
	whole := shape(8, 1, model.AdjacencyWorker)
	orgs := []model.Organisation{
		{ID: "a", Weight: 1, Guarantees: []model.Guarantee{{Name: "g", Shape: whole, Count: 1}}},
		{ID: "b", Weight: 1, Guarantees: []model.Guarantee{{Name: "g", Shape: whole, Count: 1}}},
	}
	e := newTestEngine(1, 2, orgs)
	fillPool(t, e, "borrower", 2)
	a := e.guarantees.ForOrganisation("a")[0]
	other := e.guarantees.ForOrganisation("b")[0].Parts[0].Worker
	e.Finished(other.Gangs[0].Spec.ID, epoch)
	actions := enqueueAndDecide(e, normalJob("owner", "a", whole), epoch)
	require.Empty(t, stops(actions))
	require.Equal(t, other.ID, starts(actions)[0].Placement[0])
	require.Equal(t, other, a.Parts[0].Worker)
	require.NotEqual(t, other, e.guarantees.ForOrganisation("b")[0].Parts[0].Worker)
}
