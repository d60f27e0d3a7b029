package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// PrintJSON writes value as indented JSON.
func PrintJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "output")
}

// Table writes rows in aligned columns; the first row is the header.
func Table(w io.Writer, rows [][]string) error {
	const columnGap = 2
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			separator := "\t"
			if i == len(row)-1 {
				separator = "\n"
			}
			fmt.Fprint(table, cell, separator)
		}
	}
	return errors.Wrap(table.Flush(), "output")
}

// Lines writes one line for each item.
func Lines(w io.Writer, lines []string) {
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}
