// Command chervil-measure measures the scheduling policies and prints the results as JSON
// lines.
package main

import (
	"fmt"
	"os"

	"github.com/chervilrun/chervilrun/internal/measure"
)

func main() {
	if err := measure.Main(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "chervil-measure:", err)
		os.Exit(1)
	}
}
