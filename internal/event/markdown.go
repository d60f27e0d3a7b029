package event

import (
	"fmt"
	"strings"
)

// Markdown returns the text of docs/EVENTS.md, generated from the catalogue.
func Markdown() string {
	var page strings.Builder
	page.WriteString("# Events\n\n")
	page.WriteString("Every log line and every entry of the timeline carries one of these numbers.\n")
	page.WriteString("A number never changes its meaning. `make docs` generates this page from the code.\n\n")
	page.WriteString("| number | level | name | meaning |\n|---|---|---|---|\n")
	entries, numbers := Catalogue()
	for _, number := range numbers {
		entry := entries[number]
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", number, entry.Level, entry.Name, entry.Meaning)
	}
	return page.String()
}
