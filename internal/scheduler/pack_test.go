package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
)

// TestEngineHoldsWhatPackAssigns checks that an empty engine can place every guarantee
// that Pack assigns to its zone.
func TestEngineHoldsWhatPackAssigns(t *testing.T) {
	shapes := testShapes[:len(testShapes)-1]
	shapes = append(shapes, shape(3, 1, model.AdjacencyWorker), shape(5, 1, model.AdjacencyWorker), shape(6, 4, model.AdjacencyRack))
	rapid.Check(t, func(r *rapid.T) {
		var orgs []model.Organisation
		for i := range rapid.IntRange(1, 4).Draw(r, "organisations") {
			org := model.Organisation{ID: model.OrganisationID(fmt.Sprint("org", i))}
			for n := range rapid.IntRange(1, 3).Draw(r, "guarantees") {
				org.Guarantees = append(org.Guarantees, model.Guarantee{
					Name:  fmt.Sprint("g", n),
					Shape: shapes[rapid.IntRange(0, len(shapes)-1).Draw(r, "shape")],
					Count: rapid.IntRange(1, 4).Draw(r, "count"),
				})
			}
			orgs = append(orgs, org)
		}
		workers := testWorkers(2, 4)
		assignment, _ := guarantee.Pack(workers, []model.AvailabilityZone{{ID: testZone}}, orgs)
		e := New(testZone, Options{CheckAll: true})
		e.SetWorkers(workers, epoch)
		for _, w := range workers {
			e.SetUsable(w.ID, true, epoch)
		}
		e.SetOrganisations(orgs, assignment[testZone])
		require.Empty(r, e.Unmet())
	})
}
