package acceptance_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/chervilrun/chervilrun/internal/acceptance"
	"github.com/chervilrun/chervilrun/internal/auth"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
)

// The planned size of a cluster.
const (
	plannedZones         = 9
	plannedWorkers       = 1500
	plannedOrganisations = 80
	workersPerRack       = 8
)

// plannedCluster has two guarantees and two services for each organisation.
func plannedCluster() *config.Cluster {
	c := &config.Cluster{Operators: []config.Operator{{Name: "dora", TokenSHA256: auth.Hash("dora")}}}
	for i := range plannedZones {
		c.Zones = append(c.Zones, model.AvailabilityZone{
			ID: model.AvailabilityZoneID(fmt.Sprint("zone-", i)), Region: model.RegionID(fmt.Sprint("region-", i/3)),
		})
	}
	for i := range plannedOrganisations {
		id := model.OrganisationID(fmt.Sprint("organisation-", i))
		perTask := model.Resources{Accelerators: 1, MilliCPU: 4000, MemoryMB: 8192}
		c.Organisations = append(c.Organisations, model.Organisation{
			ID: id, Weight: 1, TokenSHA256: []string{auth.Hash(string(id))},
			Guarantees: []model.Guarantee{
				{Name: "gang", Count: 2, Shape: model.Shape{Tasks: 32, Adjacency: model.AdjacencyRack, PerTask: perTask}},
				{Name: "single", Count: 8, Shape: model.Shape{Tasks: 1, Adjacency: model.AdjacencyWorker, PerTask: perTask}},
			},
		})
		for _, kind := range []string{"requests", "jobs"} {
			c.Services = append(c.Services, model.Service{
				ID: model.ServiceID(fmt.Sprint(kind, "-", i)), Organisation: id, TimeoutMS: 1000, MaxBodyBytes: 1 << 20,
			})
		}
	}
	return c
}

func plannedView() *view.View {
	v := &view.View{Config: &config.Cluster{}}
	for i := range plannedWorkers {
		zone := i % plannedZones
		v.Workers = append(v.Workers, model.Worker{
			ID: model.WorkerID(fmt.Sprint("worker-", i)), Zone: model.AvailabilityZoneID(fmt.Sprint("zone-", zone)),
			Rack:     model.RackID(fmt.Sprint("rack-", i/plannedZones/workersPerRack)),
			Capacity: model.Resources{Accelerators: 8, MilliCPU: 64_000, MemoryMB: 128 << 10}, State: model.HostLive,
		})
	}
	return v
}

// BenchmarkParse parses a configuration of the planned size, as every process does for
// each accepted change.
func BenchmarkParse(b *testing.B) {
	text := config.Canonical(plannedCluster())
	for b.Loop() {
		if _, problems := config.Parse(text); len(problems) > 0 {
			b.Fatal(problems)
		}
	}
	b.ReportMetric(float64(len(text)), "text-bytes")
}

// BenchmarkSubmit accepts a change at the planned size, including the packing of
// guarantees.
func BenchmarkSubmit(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := clockwork.NewRealClock()
	shared := memory.New(clock)
	attempts := 0
	a := acceptance.New(acceptance.Options{
		Store: shared, View: fixedView{plannedView()}, Pack: guarantee.Pack, Clock: clock,
		Events:   event.NewRecorder("bench", clock, log, 64),
		Lifetime: b.Context(),
		NewAttempt: func() model.AttemptID {
			attempts++
			return model.AttemptID(fmt.Sprint(attempts))
		},
	})
	cluster := plannedCluster()
	version := model.ConfigVersion(0)
	for b.Loop() {
		cluster.Organisations[0].Weight = 1 + int(version)%2
		result := a.Submit(b.Context(), "dora", version, config.Canonical(cluster))
		if !result.Accepted() {
			b.Fatal(result.Outcome)
		}
		version = result.Version
	}
	page, err := shared.Range(b.Context(), "/", "0", 1)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(page.KeyValues[0].Value)), "stored-bytes")
}
