// Package cache holds the scheduler's view of the workers of its zone: their capacity,
// the gangs placed on them and what guarantees hold on them.
package cache

import (
	"cmp"
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/feasible"
)

// Pool is the set of workers of a zone, sorted by rack and worker ID.
type Pool struct {
	// Workers are the listed workers; the index of a worker is its site.
	Workers []*Worker
	// Racks holds the range of sites of each rack.
	Racks []feasible.Range
	byID  map[model.WorkerID]*Worker
}

// NewPool returns a pool without workers.
func NewPool() *Pool { return &Pool{byID: make(map[model.WorkerID]*Worker)} }

// Worker returns the worker with this ID, including one that is no longer listed but
// still in use.
func (p *Pool) Worker(id model.WorkerID) (*Worker, bool) {
	w, ok := p.byID[id]
	return w, ok
}

// Ensure returns the worker with this ID. If it is unknown, it is added as an
// unlisted worker without capacity.
func (p *Pool) Ensure(id model.WorkerID) *Worker {
	w, ok := p.byID[id]
	if !ok {
		w = &Worker{ID: id, Site: Unlisted}
		p.byID[id] = w
	}
	return w
}

// SetWorkers replaces the list of workers. Workers that left the list are kept while
// gangs, claims or guarantees are on them, but are not schedulable.
func (p *Pool) SetWorkers(list []model.Worker) {
	for _, w := range p.Workers {
		w.Site = Unlisted
	}
	p.Workers = p.Workers[:0]
	for _, listed := range list {
		w := p.Ensure(listed.ID)
		w.Rack = listed.Rack
		w.Capacity = listed.Capacity
		w.Leaving = listed.State == model.HostLeaving
		p.Workers = append(p.Workers, w)
	}
	slices.SortFunc(p.Workers, func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	p.index()
	p.removeUnused()
}

// index assigns sites to workers and ranges of sites to racks.
func (p *Pool) index() {
	p.Racks = p.Racks[:0]
	for site, w := range p.Workers {
		w.Site = site
		if site == 0 || w.Rack != p.Workers[site-1].Rack {
			p.Racks = append(p.Racks, feasible.Range{From: site, To: site})
		}
		last := len(p.Racks) - 1
		p.Racks[last].To = site + 1
		w.RackIndex = last
	}
}

// removeUnused removes unlisted workers without gangs, claims and guarantees.
func (p *Pool) removeUnused() {
	for id, w := range p.byID {
		if w.Site == Unlisted && len(w.Gangs) == 0 && w.Guaranteed.IsZero() && w.Claimed.IsZero() {
			delete(p.byID, id)
		}
	}
}

// FillSpace sets space to the resources that available returns for each worker.
func (p *Pool) FillSpace(space *feasible.Space, available func(*Worker) model.Resources) {
	space.Racks = p.Racks
	space.Available = space.Available[:0]
	for _, w := range p.Workers {
		space.Available = append(space.Available, available(w))
	}
}

// Parts converts a candidate into parts of a placement.
func (p *Pool) Parts(c feasible.Candidate) []Part {
	parts := make([]Part, len(c))
	for i, part := range c {
		parts[i] = Part{Worker: p.Workers[part.Site], Tasks: part.Tasks}
	}
	return parts
}
