package operator_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/operator"
)

func TestOrderDoesNotMatterAndDefaultsAreFilledIn(t *testing.T) {
	a := operator.Zone{ID: "a", Region: "r"}
	b := operator.Zone{ID: "b", Region: "r"}
	operators := []operator.Operator{{Name: "dora", Token: operator.HashToken("t")}}
	organisations := []operator.Organisation{{ID: "o", Guarantees: []operator.Guarantee{{
		Name: "g", Zones: []string{"b", "a"},
		Shape: operator.Shape{Tasks: 1, Adjacency: operator.WithinRack, Accelerators: 8},
	}}}}
	services := []operator.Service{{ID: "s", Organisation: "o"}}
	var printed, reordered bytes.Buffer
	require.NoError(t, operator.Print(&printed, operator.Cluster{
		Zones: []operator.Zone{a, b}, Operators: operators, Organisations: organisations, Services: services,
	}))
	organisations[0].Guarantees[0].Zones = []string{"a", "b"}
	require.NoError(t, operator.Print(&reordered, operator.Cluster{
		Zones: []operator.Zone{b, a}, Operators: operators, Organisations: organisations, Services: services,
	}))
	require.Equal(t, printed.String(), reordered.String())
	require.Contains(t, printed.String(), "weight = 1\n")
	require.Contains(t, printed.String(), "count = 1\n")
	require.Contains(t, printed.String(), "timeout_ms = 30000\n")
}

func TestInvalidClusterIsNotPrinted(t *testing.T) {
	var out bytes.Buffer
	err := operator.Print(&out, operator.Cluster{Zones: []operator.Zone{{ID: "A", Region: "r"}}})
	var invalid *operator.InvalidError
	require.ErrorAs(t, err, &invalid)
	require.Len(t, invalid.Problems, 2)
	require.Empty(t, out.Bytes())
}
