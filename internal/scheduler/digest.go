package scheduler

import (
	"fmt"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/cache"
)

// maxDigestShapes is the maximum number of shapes, the most probable ones, that a digest counts.
const maxDigestShapes = 8

// Digest summarises the zone.
func (e *ZoneEngine) Digest(now time.Time) Digest {
	d := Digest{Queued: e.queue.Len(), Running: len(e.gangs) - e.queue.Len()}
	for _, w := range e.pool.Workers {
		d.TotalAccelerators += w.Capacity.Accelerators
		d.FreeAccelerators += w.Free().Accelerators
	}
	for _, class := range e.queue.Classes() {
		d.OldestQueued = max(d.OldestQueued, now.Sub(class.Head().Accepted))
	}
	shares := e.mix.Shares()
	for _, share := range shares[:min(len(shares), maxDigestShapes)] {
		count := e.countFree(share.Shape)
		d.FreeShapes = append(d.FreeShapes, ShapeCount{Shape: share.Shape, Count: count})
	}
	d.GuaranteeDebt = e.guaranteeDebt()
	return d
}

// countFree counts how many gangs of the shape could be placed at once.
func (e *ZoneEngine) countFree(shape model.Shape) int {
	sum, tasks := 0, 0
	for _, rack := range e.pool.Racks {
		inRack := 0
		for site := rack.From; site < rack.To; site++ {
			count := shape.PerTask.CountIn(e.pool.Workers[site].Free(), maxTasksPerWorker)
			inRack += count
			if shape.Adjacency == model.AdjacencyWorker {
				sum += count / shape.Tasks
			}
		}
		if shape.Adjacency == model.AdjacencyRack {
			sum += inRack / shape.Tasks
		}
		tasks += inRack
	}
	if shape.Adjacency == model.AdjacencyZone {
		return tasks / shape.Tasks
	}
	return sum
}

// maxTasksPerWorker is an upper bound for the tasks that fit on any worker.
const maxTasksPerWorker = 1 << 16

// guaranteeDebt is the number of accelerators that guarantees would have to reclaim
// if all were used at once.
func (e *ZoneEngine) guaranteeDebt() int {
	debt := 0
	for _, w := range e.pool.Workers {
		inGuarantees := 0
		for _, g := range w.Gangs {
			if g.Guarantee != nil {
				inGuarantees += acceleratorsOn(g, w)
			}
		}
		debt += max(0, w.Guaranteed.Accelerators-inGuarantees-w.Free().Accelerators)
	}
	return debt
}

func acceleratorsOn(g *cache.Gang, w *cache.Worker) int {
	for _, part := range g.Parts {
		if part.Worker == w {
			return part.Tasks * g.Shape.PerTask.Accelerators
		}
	}
	return 0
}

// Explain says in one sentence why a queued job waits.
func (e *ZoneEngine) Explain(job model.JobID, now time.Time) string {
	g, ok := e.gangs[job]
	if !ok {
		return fmt.Sprintf("Job %s is not known in zone %s.", job, e.zone)
	}
	if g.State != cache.Queued && g.State != cache.Claiming {
		return fmt.Sprintf("Job %s is placed in zone %s.", job, e.zone)
	}
	waited := now.Sub(g.Accepted).Round(time.Second)
	return fmt.Sprintf("Job %s has waited for %s in zone %s: %s.", job, waited, e.zone, e.reason(g))
}

// reason says why a job that is queued or claiming waits.
func (e *ZoneEngine) reason(g *cache.Gang) string {
	if e.outOfService {
		return waitsForZone
	}
	if g.State == cache.Claiming {
		return waitsForVictims
	}
	class := e.queue.ClassOf(g)
	switch {
	case class.Head() != g:
		return fmt.Sprintf("%s (first of them: %s)", waitsForEarlierJobs, class.Head().Spec.ID)
	case e.reservationOf(g) != nil:
		return waitsForReservedWorkers
	case class.Reason != "":
		return class.Reason
	}
	return waitsForEarlierJobs
}
