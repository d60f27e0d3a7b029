// Command docgen writes the pages of docs/ that are generated from the code.
package main

import (
	"fmt"
	"os"

	"github.com/chervilrun/chervilrun/internal/event"
)

const pageMode = 0o644

func main() {
	if err := os.WriteFile("docs/EVENTS.md", []byte(event.Markdown()), pageMode); err != nil {
		fmt.Fprintln(os.Stderr, "docgen:", err)
		os.Exit(1)
	}
}
