package feasible

import (
	"cmp"
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Search finds candidates. It reuses its buffers between calls and is not safe for
// concurrent use.
type Search struct {
	options []option
	parts   Candidate
}

// option is a site with the number of tasks that it can take.
type option struct {
	site        int
	count       int
	costPerTask float64
	// beyondPreferred is true for tasks in excess of the site's PreferredTasks.
	beyondPreferred bool
}

// Each calls yield with every candidate for the shape until yield returns false:
// one for each worker, rack or zone that can hold the gang, by its adjacency. The
// candidate is valid only during the call. Within a rack or a zone the sites are
// filled in the given order, or by index if it is nil, which yields one candidate
// for each rack or zone.
func (s *Search) Each(space *Space, shape model.Shape, order SiteOrder, yield func(Candidate) bool) {
	switch shape.Adjacency {
	case model.AdjacencyWorker:
		s.eachWorker(space, shape, yield)
	case model.AdjacencyRack:
		s.eachRack(space, shape, order, yield)
	default:
		whole := Range{From: 0, To: len(space.Available)}
		if c := s.spread(space, whole, shape, order); c != nil {
			yield(c)
		}
	}
}

func (s *Search) eachWorker(space *Space, shape model.Shape, yield func(Candidate) bool) {
	total := shape.Total()
	for site, available := range space.Available {
		if !total.Fits(available) {
			continue
		}
		s.parts = append(s.parts[:0], Part{Site: site, Tasks: shape.Tasks})
		if !yield(s.parts) {
			return
		}
	}
}

func (s *Search) eachRack(space *Space, shape model.Shape, order SiteOrder, yield func(Candidate) bool) {
	for _, rack := range space.Racks {
		c := s.spread(space, rack, shape, order)
		if c != nil && !yield(c) {
			return
		}
	}
}

// spread distributes the gang over the sites of a range, or returns nil if it doesn't fit.
func (s *Search) spread(space *Space, sites Range, shape model.Shape, order SiteOrder) Candidate {
	s.options = s.options[:0]
	capacity := 0
	for site := sites.From; site < sites.To; site++ {
		count := shape.PerTask.CountIn(space.Available[site], shape.Tasks)
		if count > 0 {
			s.options = append(s.options, option{site: site, count: count})
			capacity += count
		}
	}
	if capacity < shape.Tasks {
		return nil
	}
	s.splitPreferred(order)
	s.sortOptions(order)
	return s.fillOptions(shape.Tasks, order)
}

// splitPreferred splits each option into the site's preferred tasks and the rest,
// which is used last.
func (s *Search) splitPreferred(order SiteOrder) {
	sites := len(s.options)
	for i := range sites {
		o := &s.options[i]
		preferred := o.count
		if order != nil {
			preferred = order.PreferredTasks(o.site, o.count)
		}
		switch {
		case preferred == 0:
			o.beyondPreferred = true
		case preferred < o.count:
			s.options = append(s.options, option{site: o.site, count: o.count - preferred, beyondPreferred: true})
			s.options[i].count = preferred
		}
	}
}

func (s *Search) sortOptions(order SiteOrder) {
	if order == nil {
		return
	}
	for i := range s.options {
		o := &s.options[i]
		o.costPerTask = order.Cost(o.site, o.count) / float64(o.count)
	}
	slices.SortStableFunc(s.options, func(a, b option) int {
		if a.beyondPreferred != b.beyondPreferred {
			if b.beyondPreferred {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.costPerTask, b.costPerTask)
	})
}

// fillOptions fills the options in order. The last tasks, when they don't fill an
// option, go to the site where they cost least.
func (s *Search) fillOptions(tasks int, order SiteOrder) Candidate {
	s.parts = s.parts[:0]
	for i, o := range s.options {
		if o.count < tasks {
			s.parts = append(s.parts, Part{Site: o.site, Tasks: o.count})
			tasks -= o.count
			continue
		}
		last := s.cheapest(s.options[i:], tasks, order)
		s.parts = append(s.parts, Part{Site: last, Tasks: tasks})
		break
	}
	slices.SortFunc(s.parts, func(a, b Part) int { return cmp.Compare(a.Site, b.Site) })
	s.merge()
	return s.parts
}

// merge combines parts at the same site, which are adjacent after sorting.
func (s *Search) merge() {
	last := 0
	for _, part := range s.parts[1:] {
		if part.Site == s.parts[last].Site {
			s.parts[last].Tasks += part.Tasks
			continue
		}
		last++
		s.parts[last] = part
	}
	s.parts = s.parts[:last+1]
}

// cheapest returns the site of the option that takes the tasks at the lowest cost.
func (s *Search) cheapest(options []option, tasks int, order SiteOrder) int {
	best := options[0].site
	if order == nil || len(options) == 1 {
		return best
	}
	lowestCost := order.Cost(best, tasks)
	for _, o := range options[1:] {
		if o.count < tasks || o.beyondPreferred != options[0].beyondPreferred {
			continue
		}
		if cost := order.Cost(o.site, tasks); cost < lowestCost {
			best, lowestCost = o.site, cost
		}
	}
	return best
}

// Fits reports whether the gang fits anywhere in the space.
func (s *Search) Fits(space *Space, shape model.Shape) bool {
	found := false
	s.Each(space, shape, nil, func(Candidate) bool {
		found = true
		return false
	})
	return found
}
