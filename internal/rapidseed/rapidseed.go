// Package rapidseed sets a fixed seed for randomised tests, so that every run generates
// the same cases, and keeps rapid from writing files of failed cases. Test files import
// it for its side effect; the flag -rapid.seed overrides the seed.
package rapidseed

import (
	"flag"

	"github.com/pkg/errors"
	_ "pgregory.net/rapid" // declares the flags
)

// Seed is the value of the flag -rapid.seed unless the command line sets it.
const Seed = "1"

func init() {
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic(errors.Wrap(err, "rapidseed"))
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(errors.Wrap(err, "rapidseed"))
	}
}
