package measure

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler"
)

// Scenario names the disturbance that a run simulates.
type Scenario string

// The scenarios.
const (
	SteadyMix            Scenario = "steady_mix"
	Burst                Scenario = "burst"
	ZoneLeavesAndReturns Scenario = "zone_leaves_and_returns"
	Reclaim              Scenario = "reclaim"
)

// failingWorkersPerZone is how many workers of each zone fail every start in Burst.
const failingWorkersPerZone = 1

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{SteadyMix, Burst, ZoneLeavesAndReturns, Reclaim}
}

// zoneOutDuration is how long a zone stays out of service.
const zoneOutDuration = 90 * time.Minute

// noticePeriod is the time from taking a zone out of service until its workers are gone.
const noticePeriod = 60 * time.Second

// eventTime returns when the scenario's disturbance begins.
func (d *Deployment) eventTime() time.Duration { return d.WarmUp + (d.Horizon-d.WarmUp)/4 }

// reclaimTime returns when organisations begin to use their guarantees in Reclaim.
func (d *Deployment) reclaimTime() time.Duration { return d.WarmUp + (d.Horizon-d.WarmUp)/3 }

// scheduleScenario adds the scenario's events to a run.
func (s *simulation) scheduleScenario() {
	if s.scenario == Burst {
		s.failWorkers()
	}
	if s.scenario != ZoneLeavesAndReturns {
		return
	}
	leaving := s.zones[0]
	at := s.deployment.eventTime()
	s.scheduleAt(at, s.computeMaxWindowWork)
	s.scheduleAt(at, func() { s.takeOutOfService(leaving) })
	s.scheduleAt(at+noticePeriod, func() { s.removeWorkers(leaving) })
	s.scheduleAt(at+zoneOutDuration, func() { s.returnToService(leaving) })
}

// failWorkers makes failingWorkersPerZone workers of each zone fail every start for an hour.
func (s *simulation) failWorkers() {
	at := s.deployment.eventTime()
	for _, z := range s.zones {
		for _, w := range z.workers[:failingWorkersPerZone] {
			s.scheduleAt(at, func() { s.failingWorkers[w.ID] = true })
			s.scheduleAt(at+time.Hour, func() { delete(s.failingWorkers, w.ID) })
		}
	}
}

// takeOutOfService stops all starts in a zone and routes its queued jobs to other zones.
func (s *simulation) takeOutOfService(z *zone) {
	z.outOfService = true
	z.engine.SetOutOfService(true, s.now())
	s.assignGuarantees()
	for _, j := range s.jobs {
		if j.zone == z && !j.placed && !j.ended && z.engine.Cancel(j.spec.ID) {
			s.route(j)
		}
	}
}

// removeWorkers stops all gangs in a zone. Preemptible jobs are routed to other zones,
// where those with a checkpoint resume and the rest start from the beginning. Jobs that
// are not preemptible end.
func (s *simulation) removeWorkers(z *zone) {
	for _, j := range s.jobs {
		if j.zone != z || !j.placed {
			continue
		}
		s.removeGang(j, j.class.Checkpoint, scheduler.StoppedCancelled, false)
		if j.spec.Preemptible() {
			s.route(j)
		} else {
			s.endJob(j)
		}
	}
	for _, w := range z.workers {
		z.engine.SetUsable(w.ID, false, s.now())
	}
}

func (s *simulation) returnToService(z *zone) {
	for _, w := range z.workers {
		z.engine.SetUsable(w.ID, true, s.now())
	}
	z.outOfService = false
	z.engine.SetOutOfService(false, s.now())
	s.assignGuarantees()
}

// currentZones lists the zones with their current service state.
func (s *simulation) currentZones() []model.AvailabilityZone {
	var list []model.AvailabilityZone
	for _, z := range s.zones {
		list = append(list, model.AvailabilityZone{ID: z.id, OutOfService: z.outOfService})
	}
	return list
}
