package ctl

import (
	"fmt"
	"strings"
	"time"

	"github.com/chervilrun/chervilrun/internal/acceptance"
	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/config"
)

// describeFailure formats a failed call with its configuration problems, guarantees that
// can't be met and version conflict.
func describeFailure(p adminapi.ChangeProblem) string {
	lines := []string{p.Document.Result().String()}
	lines = append(lines, ProblemLines(p.Problems)...)
	lines = append(lines, UnmetLines(p.Unmet)...)
	if p.Conflict != nil {
		lines = append(lines, conflictLines(*p.Conflict)...)
	}
	return strings.Join(lines, "\n")
}

// ProblemLines returns one line for each configuration problem.
func ProblemLines(problems []config.Problem) []string {
	var lines []string
	for _, p := range problems {
		lines = append(lines, "  "+p.String())
	}
	return lines
}

// UnmetLines returns one line for each guarantee that can't be met.
func UnmetLines(unmet []adminapi.UnmetGuarantee) []string {
	var lines []string
	for _, u := range unmet {
		line := fmt.Sprintf("  guarantee %s/%s: %d shapes can't be held", u.Organisation, u.Guarantee, u.Missing)
		if len(u.Clashes) > 0 {
			line += ", conflicts with " + strings.Join(u.Clashes, " and ")
		}
		lines = append(lines, line)
	}
	return lines
}

func conflictLines(c acceptance.Conflict) []string {
	lines := []string{fmt.Sprintf("  version %d is in force; changes since the base version:", c.InForce)}
	if !c.Complete {
		lines = append(lines, "  (older changes are no longer kept)")
	}
	for _, entry := range c.Changes {
		lines = append(lines, HistoryLines(entry)...)
	}
	return append(lines, "  read the version in force, make your change to it and apply it again")
}

// HistoryLines returns the lines that describe one accepted version.
func HistoryLines(entry config.HistoryEntry) []string {
	lines := []string{fmt.Sprintf("  version %d by %s at %s", entry.Version, entry.Author, entry.AcceptedAt.Format(time.RFC3339))}
	for _, change := range entry.Changes {
		lines = append(lines, "    "+change)
	}
	return lines
}
