package measure

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler"
)

// Scenario names what happens during a run.
type Scenario string

// The scenarios.
const (
	SteadyMix            Scenario = "steady_mix"
	Burst                Scenario = "burst"
	ZoneLeavesAndReturns Scenario = "zone_leaves_and_returns"
	Reclaim              Scenario = "reclaim"
)

// failingWorkersPerZone is how many workers of a zone fail every start in a burst.
const failingWorkersPerZone = 1

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{SteadyMix, Burst, ZoneLeavesAndReturns, Reclaim}
}

// absence is how long a zone stays out.
const absence = 90 * time.Minute

// noticeBeforeLoss is the time from taking a zone out until its workers are gone.
const noticeBeforeLoss = 60 * time.Second

func (d *Deployment) eventAt() time.Duration { return d.WarmUp + (d.Horizon-d.WarmUp)/4 }

func (d *Deployment) reclaimAt() time.Duration { return d.WarmUp + (d.Horizon-d.WarmUp)/3 }

// schedule adds the scenario's events to a run.
func (s *simulation) schedule() {
	if s.scenario == Burst {
		s.breakWorkers()
	}
	if s.scenario != ZoneLeavesAndReturns {
		return
	}
	leaving := s.zones[0]
	at := s.deployment.eventAt()
	s.at(at, s.markBest)
	s.at(at, func() { s.takeOut(leaving) })
	s.at(at+noticeBeforeLoss, func() { s.loseWorkers(leaving) })
	s.at(at+absence, func() { s.bringIn(leaving) })
}

// breakWorkers makes the first worker of each zone fail every start for an hour.
func (s *simulation) breakWorkers() {
	at := s.deployment.eventAt()
	for _, z := range s.zones {
		for _, w := range z.workers[:failingWorkersPerZone] {
			s.at(at, func() { s.broken[w.ID] = true })
			s.at(at+time.Hour, func() { delete(s.broken, w.ID) })
		}
	}
}

// takeOut stops all starts in a zone; its queued jobs go elsewhere.
func (s *simulation) takeOut(z *zone) {
	z.out = true
	z.engine.SetOutOfService(true, s.now())
	s.assignGuarantees()
	for _, j := range s.jobs {
		if j.zone == z && !j.placed && !j.ended && z.engine.Cancel(j.spec.ID) {
			s.route(j)
		}
	}
}

// loseWorkers stops what still runs in a zone. What it can checkpoint goes on
// elsewhere, what it can repeat starts again elsewhere.
func (s *simulation) loseWorkers(z *zone) {
	for _, j := range s.jobs {
		if j.zone != z || !j.placed {
			continue
		}
		s.leave(j, j.class.Checkpoint, scheduler.StoppedCancelled, false)
		if j.spec.Preemptible() {
			s.route(j)
		} else {
			s.end(j)
		}
	}
	for _, w := range z.workers {
		z.engine.SetUsable(w.ID, false, s.now())
	}
}

func (s *simulation) bringIn(z *zone) {
	for _, w := range z.workers {
		z.engine.SetUsable(w.ID, true, s.now())
	}
	z.out = false
	z.engine.SetOutOfService(false, s.now())
	s.assignGuarantees()
}

// zonesNow lists the zones as the configuration has them at this time.
func (s *simulation) zonesNow() []model.AvailabilityZone {
	var list []model.AvailabilityZone
	for _, z := range s.zones {
		list = append(list, model.AvailabilityZone{ID: z.id, OutOfService: z.out})
	}
	return list
}
