package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler/rank"
)

// Class is a kind of job that an organisation submits.
type Class struct {
	Name         string
	Organisation model.OrganisationID
	Shape        model.Shape
	Priority     model.PriorityClass
	Repeatable   bool
	Checkpoint   bool
	// Run times are log-normal with MedianRunTime and Sigma.
	MedianRunTime time.Duration
	Sigma         float64
	// MeanInterval is the mean time between arrivals, which form a Poisson process.
	MeanInterval time.Duration
	// Guaranteed is true when the organisation holds the class's shape as a guarantee.
	Guaranteed bool
	// Gang is true for classes whose wait is included in gang_wait_p99.
	Gang bool
}

// Deployment is a pool with its organisations and the jobs that they submit.
type Deployment struct {
	Name          string
	Zones         []model.AvailabilityZone
	Workers       []model.Worker
	Organisations []model.Organisation
	Classes       []Class
	// Horizon is the simulated length of a run; its first WarmUp isn't measured.
	Horizon time.Duration
	WarmUp  time.Duration
	// Tick is the longest time between two decisions of an engine.
	Tick time.Duration
}

// deployment returns the named deployment.
func deployment(name string) (Deployment, bool) {
	switch name {
	case "chikushi":
		return chikushi(), true
	case "vesofeny":
		return vesofeny(), true
	case "planned":
		return planned(), true
	}
	return Deployment{}, false
}

func (d *Deployment) accelerators() int {
	total := 0
	for _, w := range d.Workers {
		total += w.Capacity.Accelerators
	}
	return total
}

// shapeShares returns the probability of each shape among the jobs that need accelerators.
func (d *Deployment) shapeShares() []rank.Share {
	total := 0.0
	var shares []rank.Share
	for _, c := range d.Classes {
		if c.Shape.PerTask.Accelerators == 0 {
			continue
		}
		rate := 1 / c.MeanInterval.Seconds()
		total += rate
		i := slices.IndexFunc(shares, func(s rank.Share) bool { return s.Shape == c.Shape })
		if i < 0 {
			shares = append(shares, rank.Share{Shape: c.Shape, Probability: rate})
			continue
		}
		shares[i].Probability += rate
	}
	for i := range shares {
		shares[i].Probability /= total
	}
	return shares
}

// taskResources returns the resources of a task; memory is in gigabytes.
func taskResources(accelerators int, cores, gigabytes int64) model.Resources {
	return model.Resources{Accelerators: accelerators, MilliCPU: cores * 1000, MemoryMB: gigabytes << 10}
}

func gangShape(tasks int, perTask model.Resources, adjacency model.Adjacency) model.Shape {
	return model.Shape{Tasks: tasks, PerTask: perTask, Adjacency: adjacency}
}

// addZones spreads count workers evenly over the zones, perRack to a rack.
func (d *Deployment) addZones(names []string, count, perRack int, capacity model.Resources) {
	for i, name := range names {
		zone := model.AvailabilityZoneID(name)
		d.Zones = append(d.Zones, model.AvailabilityZone{ID: zone, Region: "region"})
		share := (count + len(names) - 1 - i) / len(names)
		for w := range share {
			d.Workers = append(d.Workers, model.Worker{
				ID:       model.WorkerID(fmt.Sprintf("%s-%03d", name, w)),
				Zone:     zone,
				Rack:     model.RackID(fmt.Sprintf("%s-r%02d", name, w/perRack)),
				Capacity: capacity,
				State:    model.HostLive,
			})
		}
	}
}

func singleGuarantee(name string, shape model.Shape, count int) []model.Guarantee {
	return []model.Guarantee{{Name: name, Shape: shape, Count: count}}
}

// chikushi is a pool of 50 workers in three zones, shared by four organisations.
func chikushi() Deployment {
	d := Deployment{Name: "chikushi", Horizon: 8 * time.Hour, WarmUp: time.Hour, Tick: 5 * time.Second}
	d.addZones([]string{"fukuoka", "kumamoto", "kagoshima"}, 50, 8, taskResources(8, 64, 128))
	scan := gangShape(1, taskResources(1, 4, 8), model.AdjacencyWorker)
	repricing := gangShape(4, taskResources(8, 48, 96), model.AdjacencyRack)
	train := gangShape(2, taskResources(8, 48, 96), model.AdjacencyRack)
	wholeWorker := gangShape(8, taskResources(1, 6, 12), model.AdjacencyWorker)
	pair := gangShape(2, taskResources(1, 6, 12), model.AdjacencyWorker)
	three := gangShape(3, taskResources(1, 4, 8), model.AdjacencyWorker)
	d.Organisations = []model.Organisation{
		{ID: "chikushi", Weight: 2, Guarantees: append(singleGuarantee("repricing", repricing, 2), singleGuarantee("scan", scan, 12)...)},
		{ID: "north", Weight: 2, Guarantees: singleGuarantee("train", train, 3)},
		{ID: "south", Weight: 1, Guarantees: singleGuarantee("whole", wholeWorker, 4)},
		{ID: "guest", Weight: 1},
	}
	d.Classes = []Class{
		{Name: "scanner_check", Organisation: "chikushi", Shape: scan, Priority: model.PriorityUrgent, Repeatable: true, MedianRunTime: 8 * time.Second, Sigma: 0.6, MeanInterval: 5 * time.Second, Guaranteed: true},
		{Name: "repricing", Organisation: "chikushi", Shape: repricing, Priority: model.PriorityNormal, Repeatable: true, Checkpoint: true, MedianRunTime: 100 * time.Minute, Sigma: 0.4, MeanInterval: 80 * time.Minute, Guaranteed: true, Gang: true},
		{Name: "train", Organisation: "north", Shape: train, Priority: model.PriorityNormal, Repeatable: true, Checkpoint: true, MedianRunTime: 50 * time.Minute, Sigma: 0.8, MeanInterval: 11 * time.Minute, Guaranteed: true, Gang: true},
		{Name: "whole", Organisation: "south", Shape: wholeWorker, Priority: model.PriorityNormal, Repeatable: true, Checkpoint: true, MedianRunTime: 25 * time.Minute, Sigma: 0.8, MeanInterval: 200 * time.Second, Guaranteed: true, Gang: true},
		{Name: "pair", Organisation: "guest", Shape: pair, Priority: model.PriorityNormal, Repeatable: true, MedianRunTime: 15 * time.Minute, Sigma: 1, MeanInterval: 42 * time.Second},
		{Name: "three", Organisation: "south", Shape: three, Priority: model.PriorityNormal, Repeatable: true, Checkpoint: true, MedianRunTime: 20 * time.Minute, Sigma: 1, MeanInterval: 90 * time.Second},
		{Name: "guest_gang", Organisation: "guest", Shape: train, Priority: model.PriorityNormal, Repeatable: true, Checkpoint: true, MedianRunTime: 40 * time.Minute, Sigma: 0.6, MeanInterval: 15 * time.Minute, Gang: true},
	}
	return d
}

// vesofeny is a pool of 50 workers in four zones, shared by four organisations.
func vesofeny() Deployment {
	d := Deployment{Name: "vesofeny", Horizon: 8 * time.Hour, WarmUp: time.Hour, Tick: 5 * time.Second}
	d.addZones([]string{"kecskemet", "szeged", "baja", "cegled"}, 50, 6, taskResources(8, 128, 512))
	preview := gangShape(1, taskResources(1, 8, 16), model.AdjacencyWorker)
	path := gangShape(4, taskResources(2, 16, 64), model.AdjacencyWorker)
	wide := gangShape(24, taskResources(1, 12, 48), model.AdjacencyRack)
	pair := gangShape(2, taskResources(1, 12, 48), model.AdjacencyWorker)
	five := gangShape(5, taskResources(1, 12, 48), model.AdjacencyWorker)
	d.Organisations = []model.Organisation{
		{ID: "vesofeny", Weight: 2, Guarantees: append(singleGuarantee("path", path, 6), singleGuarantee("preview", preview, 16)...)},
		{ID: "studio", Weight: 1, Guarantees: singleGuarantee("wide", wide, 2)},
		{ID: "lab", Weight: 1, Guarantees: singleGuarantee("five", five, 4)},
		{ID: "guest", Weight: 1},
	}
	d.Classes = []Class{
		{Name: "preview", Organisation: "vesofeny", Shape: preview, Priority: model.PriorityUrgent, Repeatable: true, MedianRunTime: 3 * time.Second, Sigma: 0.5, MeanInterval: 2 * time.Second, Guaranteed: true},
		{Name: "path_job", Organisation: "vesofeny", Shape: path, Priority: model.PriorityNormal, MedianRunTime: 20 * time.Minute, Sigma: 0.7, MeanInterval: 200 * time.Second, Guaranteed: true, Gang: true},
		{Name: "wide", Organisation: "studio", Shape: wide, Priority: model.PriorityNormal, Repeatable: true, Checkpoint: true, MedianRunTime: 60 * time.Minute, Sigma: 0.6, MeanInterval: 17 * time.Minute, Guaranteed: true, Gang: true},
		{Name: "five", Organisation: "lab", Shape: five, Priority: model.PriorityNormal, Repeatable: true, Checkpoint: true, MedianRunTime: 25 * time.Minute, Sigma: 0.8, MeanInterval: 120 * time.Second, Guaranteed: true},
		{Name: "pair", Organisation: "guest", Shape: pair, Priority: model.PriorityNormal, Repeatable: true, MedianRunTime: 15 * time.Minute, Sigma: 1, MeanInterval: 40 * time.Second},
		{Name: "guest_gang", Organisation: "guest", Shape: path, Priority: model.PriorityNormal, Repeatable: true, Checkpoint: true, MedianRunTime: 40 * time.Minute, Sigma: 0.6, MeanInterval: 9 * time.Minute, Gang: true},
	}
	return d
}
