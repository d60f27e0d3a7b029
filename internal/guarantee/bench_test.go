package guarantee

import (
	"fmt"
	"testing"

	"github.com/chervilrun/chervilrun/internal/model"
)

// BenchmarkPack packs the guarantees of 80 organisations into nine zones of 168 workers
// ("planned"), and two sets that can't be packed: "overbooked" exceeds the zone's total
// capacity, "clash" doesn't and so runs the backtracking search.
func BenchmarkPack(b *testing.B) {
	workers, zones := testPool(9, 21, 8)
	var many []model.Organisation
	for i := range 80 {
		many = append(many, model.Organisation{
			ID:         model.OrganisationID(fmt.Sprint("org", i)),
			Guarantees: []model.Guarantee{testGuarantee(8, 1, 4, model.AdjacencyWorker), testGuarantee(32, 1, 1, model.AdjacencyRack), testGuarantee(1, 1, 2, model.AdjacencyWorker)},
		})
	}
	rack, small := testGuarantee(64, 1, 21, model.AdjacencyRack), testGuarantee(1, 1, 1, model.AdjacencyWorker)
	rack.Zones = []model.AvailabilityZoneID{"z0"}
	small.Zones = rack.Zones
	overbooked := []model.Organisation{{ID: "o", Guarantees: []model.Guarantee{rack, small}}}
	half := testGuarantee(33, 1, 22, model.AdjacencyRack)
	half.Zones = rack.Zones
	clash := []model.Organisation{{ID: "o", Guarantees: []model.Guarantee{half}}}
	for name, organisations := range map[string][]model.Organisation{"planned": many, "overbooked": overbooked, "clash": clash} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				Pack(workers, zones, organisations)
			}
		})
	}
}
