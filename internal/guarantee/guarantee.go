// Package guarantee assigns every guaranteed shape to an availability zone and
// reports which guarantees clash when they can't all be held at once. The result
// depends only on the pool and the organisations, so that all processes with the
// same view compute the same assignment.
package guarantee

import (
	"github.com/chervilrun/chervilrun/internal/model"
)

// Assignment holds the guaranteed shapes of each zone, by organisation. Count of a
// guarantee is the number assigned to that zone.
type Assignment map[model.AvailabilityZoneID]map[model.OrganisationID][]model.Guarantee

// Unmet is a guarantee that could not be placed in full.
type Unmet struct {
	Organisation model.OrganisationID
	Guarantee    string
	// Missing is how many of the guarantee's shapes could not be placed.
	Missing int
	// Clashes names the other guarantees, as "organisation/name", that are placed in zones
	// that it may use.
	Clashes []string
}
