package main

import (
	"go/parser"
	"go/token"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEveryMutantFitsTheCode finds entries that no longer match the code.
func TestEveryMutantFitsTheCode(t *testing.T) {
	mutants, err := load()
	require.NoError(t, err)
	for _, m := range mutants {
		text, err := m.mutate("../..")
		require.NoError(t, err)
		_, err = parser.ParseFile(token.NewFileSet(), m.File, text, 0)
		require.NoError(t, err, m.Name)
		require.NotEmpty(t, m.Test, m.Name)
	}
}
