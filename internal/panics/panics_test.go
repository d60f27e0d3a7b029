package panics_test

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/panics"
)

func guarded(f func() error) (err error) {
	defer panics.ToError(&err)
	return f()
}

func TestPanicBecomesAnError(t *testing.T) {
	var empty map[string]int
	err := errors.Wrap(guarded(func() error { empty["a"] = 1; return nil }), "decode")
	require.EqualError(t, err, "decode: panic: assignment to entry in nil map")
	require.Contains(t, panics.Stack(err), "panics_test.go")
}

func TestOtherResultsAreKept(t *testing.T) {
	require.NoError(t, guarded(func() error { return nil }))
	err := guarded(func() error { return errors.New("no entry") })
	require.EqualError(t, err, "no entry")
	require.Empty(t, panics.Stack(err))
}
