package config_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/model"
	_ "github.com/chervilrun/chervilrun/internal/rapidseed"
)

// drawCluster generates a valid cluster that is not normalised.
func drawCluster(t *rapid.T) *config.Cluster {
	id := rapid.StringMatching(`[a-z0-9]([a-z0-9-]{0,8}[a-z0-9])?`)
	token := 0
	nextToken := func() string {
		token++
		sum := sha256.Sum256([]byte(fmt.Sprint(token)))
		return hex.EncodeToString(sum[:])
	}
	c := &config.Cluster{}
	zoneIDs := rapid.SliceOfNDistinct(id, 1, 4, rapid.ID).Draw(t, "zones")
	for _, zone := range zoneIDs {
		c.Zones = append(c.Zones, model.AvailabilityZone{
			ID:           model.AvailabilityZoneID(zone),
			Region:       model.RegionID(id.Draw(t, "region")),
			OutOfService: rapid.Bool().Draw(t, "out"),
		})
	}
	zoneList := func() []model.AvailabilityZoneID {
		var zones []model.AvailabilityZoneID
		for _, zone := range zoneIDs {
			if rapid.Bool().Draw(t, "zone listed") {
				zones = append(zones, model.AvailabilityZoneID(zone))
			}
		}
		return zones
	}
	drawGuarantee := func(name string) model.Guarantee {
		return model.Guarantee{
			Name:  name,
			Count: rapid.IntRange(1, 100).Draw(t, "count"),
			Zones: zoneList(),
			Shape: model.Shape{
				Tasks:     rapid.IntRange(1, model.MaxGangTasks).Draw(t, "tasks"),
				Adjacency: rapid.SampledFrom([]model.Adjacency{"worker", "rack", "zone"}).Draw(t, "adjacency"),
				PerTask:   model.Resources{Accelerators: rapid.IntRange(1, 8).Draw(t, "accelerators")},
			},
		}
	}
	for _, organisation := range rapid.SliceOfNDistinct(id, 0, 3, rapid.ID).Draw(t, "organisations") {
		o := model.Organisation{
			ID:          model.OrganisationID(organisation),
			Weight:      rapid.IntRange(1, 9).Draw(t, "weight"),
			TokenSHA256: []string{nextToken(), nextToken()},
		}
		for _, name := range rapid.SliceOfNDistinct(id, 0, 3, rapid.ID).Draw(t, "guarantees") {
			o.Guarantees = append(o.Guarantees, drawGuarantee(name))
		}
		c.Organisations = append(c.Organisations, o)
		c.Services = append(c.Services, model.Service{
			ID:           model.ServiceID(organisation),
			Organisation: o.ID,
			Repeatable:   rapid.Bool().Draw(t, "repeatable"),
			TimeoutMS:    rapid.Int64Range(1, 1000).Draw(t, "timeout"),
			MaxBodyBytes: rapid.Int64Range(1, 1000).Draw(t, "body"),
			Zones:        zoneList(),
		})
	}
	for _, name := range rapid.SliceOfNDistinct(id, 1, 3, rapid.ID).Draw(t, "operators") {
		c.Operators = append(c.Operators, config.Operator{Name: name, TokenSHA256: nextToken()})
	}
	return c
}

func TestCanonicalRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawCluster(t)
		text := config.Canonical(c)
		parsed, problems := config.Parse(text)
		require.Empty(t, problems)
		require.Equal(t, config.Normalise(c), parsed)
		require.Equal(t, string(text), string(config.Canonical(parsed)))
	})
}

// TestPageShowsTheCanonicalForm checks that the example in the operators' page is in the
// canonical form.
func TestPageShowsTheCanonicalForm(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/configuration.md")
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(page), "```toml\n")
	require.True(t, found)
	example, _, found := strings.Cut(rest, "```\n")
	require.True(t, found)
	cluster, problems := config.Parse([]byte(example))
	require.Empty(t, problems)
	require.Equal(t, example, string(config.Canonical(cluster)))
}

// FuzzParse checks that any text gives either problems with a remedy, or a cluster whose
// canonical form parses to the same cluster.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", "format = 1\n", "[[zone]]\nid = \"a\"\nregion = \"r\"\n[[operator]]\nname = \"o\"\n",
		"zone = [[{id = 1}]]", "zone.id = 3", "[[zone]]\n[zone.id]\n", "organisation = [{guarantee = [{}]}, 3]",
		"\"zone\" = {}", "'' = 1", "a.b.c = [[[]]]", "[[organisation]]\n[[organisation.guarantee]]\n[[organisation.guarantee.x]]\n",
		"[[a.b]]\n[[a.b]]\n[a]\n", "x = 1979-05-27", "[[zone]]\nid = \"\"\"\n\"\"\"\n", "\ufeffformat = 1",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		cluster, problems := config.Parse(text)
		if cluster == nil {
			require.NotEmpty(t, problems)
			for _, p := range problems {
				require.NotEmpty(t, p.Message)
				require.NotEmpty(t, p.Remedy)
			}
			return
		}
		require.Empty(t, problems)
		reparsed, problems := config.Parse(config.Canonical(cluster))
		require.Empty(t, problems)
		require.Equal(t, cluster, reparsed)
	})
}
