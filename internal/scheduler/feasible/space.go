// Package feasible enumerates the feasible placements of a gang: the filter step of
// scheduling. It works on a flat copy of the workers' available resources, so that
// the same search serves placement, packing of guarantees and simulated evictions.
package feasible

import "github.com/chervilrun/chervilrun/internal/model"

// Space holds the available resources of the workers of one availability zone. A
// site is the index of a worker; the sites of a rack are contiguous.
type Space struct {
	// Available holds the resources of each site; zero for a site that must not be used.
	Available []model.Resources
	// Racks holds the half-open range of sites of each rack.
	Racks []Range
}

// Range is a half-open range of sites.
type Range struct{ From, To int }

// Part is a number of tasks at one site.
type Part struct {
	Site  int
	Tasks int
}

// Candidate is one placement of a whole gang. Each site occurs at most once.
type Candidate []Part

// SiteOrder decides in which order a gang fills the sites of a rack or zone.
type SiteOrder interface {
	// Cost is the cost of placing a number of tasks at site. Sites with the lowest cost
	// per task are filled first.
	Cost(site, tasks int) float64
	// PreferredTasks is how many of tasks can be placed at site before further ones
	// become more costly. Every site is filled up to this number before any site is
	// filled completely.
	PreferredTasks(site, tasks int) int
}

// Allocate subtracts the candidate's resources from the space.
func (s *Space) Allocate(c Candidate, perTask model.Resources) {
	for _, part := range c {
		s.Available[part.Site] = s.Available[part.Site].Sub(perTask.Times(part.Tasks))
	}
}

// Release returns the candidate's resources to the space.
func (s *Space) Release(c Candidate, perTask model.Resources) {
	for _, part := range c {
		s.Available[part.Site] = s.Available[part.Site].Add(perTask.Times(part.Tasks))
	}
}
