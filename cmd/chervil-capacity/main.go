// Command chervil-capacity runs the measurements behind docs/CAPACITY.md and prints the
// results as JSON lines. With arguments, it runs only the measurements with these names.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"

	"github.com/chervilrun/chervilrun/internal/capacity"
)

func main() {
	bin := flag.String("bin", "bin", "`folder` with the built programs")
	flag.Parse()
	selected := capacity.All(*bin)
	if names := flag.Args(); len(names) > 0 {
		selected = slices.DeleteFunc(selected, func(m capacity.Measurement) bool {
			return !slices.Contains(names, m.Name)
		})
	}
	if err := capacity.Print(os.Stdout, selected); err != nil {
		fmt.Fprintln(os.Stderr, "chervil-capacity:", err)
		os.Exit(1)
	}
}
