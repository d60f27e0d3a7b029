package measure

import (
	"fmt"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Sizes of the planned deployment.
const (
	plannedWorkers       = 1500
	plannedZones         = 9
	plannedOrganisations = 80
)

// planned is the design target: 1,500 workers in nine zones, 80 organisations, about
// 2,000 long jobs a day and 26,000 tasks running at once.
func planned() Deployment {
	d := Deployment{Name: "planned", Horizon: 18 * time.Hour, WarmUp: 8 * time.Hour, Tick: 15 * time.Second}
	var zones []string
	for i := range plannedZones {
		zones = append(zones, fmt.Sprintf("zone%d", i+1))
	}
	d.addZones(zones, plannedWorkers, 8, taskResources(8, 96, 256))
	for i := range plannedOrganisations {
		d.addOrganisation(i)
	}
	return d
}

// addOrganisation adds the i-th organisation; the job classes repeat every fourth one.
func (d *Deployment) addOrganisation(i int) {
	id := model.OrganisationID(fmt.Sprintf("org%02d", i))
	urgent := gangShape(1, taskResources(1, 4, 8), model.AdjacencyWorker)
	wholeWorker := gangShape(8, taskResources(1, 6, 16), model.AdjacencyWorker)
	large := gangShape(32, taskResources(1, 6, 16), model.AdjacencyRack)
	widest := gangShape(128, taskResources(1, 6, 16), model.AdjacencyZone)
	sweep := gangShape(96, taskResources(0, 3, 5), model.AdjacencyZone)
	threeTasks := gangShape(3, taskResources(1, 6, 16), model.AdjacencyWorker)
	org := model.Organisation{ID: id, Weight: 1 + i%3, MaxAccelerators: 512}
	d.addClass(id, "urgent", urgent, 20*time.Second, 10*time.Minute, true)
	switch i % 4 {
	case 0:
		org.Guarantees = append(singleGuarantee("large", large, 2), singleGuarantee("urgent", urgent, 2)...)
		d.addClass(id, "large", large, 4*time.Hour, 48*time.Minute, true)
	case 1:
		org.Guarantees = append(singleGuarantee("whole", wholeWorker, 4), singleGuarantee("urgent", urgent, 2)...)
		d.addClass(id, "whole", wholeWorker, 3*time.Hour, 36*time.Minute, true)
		d.addClass(id, "sweep", sweep, 4*time.Hour, 76*time.Minute, false)
	case 2:
		org.Guarantees = singleGuarantee("urgent", urgent, 2)
		d.addClass(id, "odd", threeTasks, 3*time.Hour, 40*time.Minute, false)
		d.addClass(id, "sweep", sweep, 4*time.Hour, 76*time.Minute, false)
	default:
		org.Guarantees = singleGuarantee("urgent", urgent, 2)
		d.addClass(id, "widest", widest, 5*time.Hour, 170*time.Minute, false)
		d.addClass(id, "whole", wholeWorker, 3*time.Hour, 80*time.Minute, false)
	}
	d.Organisations = append(d.Organisations, org)
}

func (d *Deployment) addClass(org model.OrganisationID, name string, shape model.Shape, median, meanInterval time.Duration, guaranteed bool) {
	c := Class{
		Name: name, Organisation: org, Shape: shape, Priority: model.PriorityNormal,
		Repeatable: true, Checkpoint: true, MedianRunTime: median, Sigma: 0.7, MeanInterval: meanInterval,
		Guaranteed: guaranteed, Gang: shape.Total().Accelerators >= 8,
	}
	if name == "urgent" {
		c.Priority, c.Checkpoint = model.PriorityUrgent, false
	}
	d.Classes = append(d.Classes, c)
}
