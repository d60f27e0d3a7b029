package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/model"
)

func TestDiffNamesWhatChanged(t *testing.T) {
	from := &config.Cluster{
		Zones: []model.AvailabilityZone{{ID: "a", Region: "r"}, {ID: "b", Region: "r"}},
		Organisations: []model.Organisation{{ID: "o", Weight: 1, Guarantees: []model.Guarantee{
			{Name: "g", Count: 1}, {Name: "h", Count: 1},
		}}},
	}
	to := &config.Cluster{
		Zones: []model.AvailabilityZone{{ID: "c", Region: "r"}, {ID: "a", Region: "r", OutOfService: true}},
		Organisations: []model.Organisation{{ID: "o", Weight: 1, Guarantees: []model.Guarantee{
			{Name: "g", Count: 2, Zones: []model.AvailabilityZoneID{"a"}},
		}}},
	}
	var lines []string
	for _, change := range config.Diff(from, to) {
		lines = append(lines, change.String())
	}
	require.Equal(t, []string{
		"zone b: removed",
		"organisation o guarantee h: removed",
		"zone a: out: false -> true",
		"zone c: added",
		"organisation o guarantee g: count: 1 -> 2",
		"organisation o guarantee g: zones: [] -> [a]",
	}, lines)
}

// TestDiffIsEmptyExactlyForTheSameText fails if Diff does not compare every key.
func TestDiffIsEmptyExactlyForTheSameText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawCluster(t), drawCluster(t)
		same := string(config.Canonical(a)) == string(config.Canonical(b))
		require.Equal(t, same, len(config.Diff(a, b)) == 0)
		require.Empty(t, config.Diff(a, a))
	})
}
