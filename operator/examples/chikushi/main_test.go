package main

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPrintedForm checks that the printed bytes match the reviewed file.
func TestPrintedForm(t *testing.T) {
	want, err := os.ReadFile("chikushi.toml")
	require.NoError(t, err)
	got, err := cluster.TOML()
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
}
