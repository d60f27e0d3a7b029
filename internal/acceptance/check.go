package acceptance

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
)

// Check returns the result that Submit would have for text based on current, apart from
// concurrent changes and failures of the store. It writes nothing.
func (a *Acceptor) Check(current *config.Cluster, text []byte) Result {
	proposed, problems := config.Parse(text)
	if len(problems) > 0 {
		return malformed(problems)
	}
	if refusal := a.refuseText(current, proposed); refusal != nil {
		return *refusal
	}
	return Result{
		Outcome: outcome.Ok(),
		Version: current.Version,
		Changes: config.Diff(current, proposed),
		Unmet:   a.Unmet(proposed),
	}
}

// refuseText returns a refusal if a text that parses to next may not replace current,
// else nil.
func (a *Acceptor) refuseText(current, next *config.Cluster) *Result {
	if problems := zoneProblems(current, next); len(problems) > 0 {
		result := malformed(problems)
		return &result
	}
	// hostsKnown is read before packing: if the list of hosts arrives in between, the
	// guarantees were packed without any workers, and the result must not be used.
	hostsKnown := a.options.View.Current().HostsKnown()
	unmet := a.unmetWithAllZones(next)
	if len(unmet) == 0 || !anyMissesMore(a.unmetWithAllZones(current), unmet) {
		return nil
	}
	if !hostsKnown {
		return &Result{Outcome: outcome.NotRunBecause(outcome.ReasonStaleView,
			"the platform's list of hosts has not been read yet, so guarantees can't be checked")}
	}
	return &Result{
		Outcome: outcome.NotRunBecause(outcome.ReasonInfeasible, "guarantees can't all be met at the same time: %s", DescribeUnmet(unmet)),
		Unmet:   unmet,
	}
}

// zoneProblems reports zones that would be removed while tasks may run in them, and zones
// that would return to service because the text was written without knowing that they
// are out of service.
func zoneProblems(current, next *config.Cluster) []config.Problem {
	var problems []config.Problem
	for _, zone := range current.Zones {
		after, kept := next.Zone(zone.ID)
		switch {
		case !kept && !zone.OutOfService:
			problems = append(problems, config.Problem{
				Key:     "zone",
				Message: fmt.Sprintf("zone %q is in service and would be removed", zone.ID),
				Remedy:  fmt.Sprintf("take it out of service first: chervilctl zone out %s", zone.ID),
			})
		case kept && zone.OutOfService && !after.OutOfService:
			problems = append(problems, config.Problem{
				Key:     "zone",
				Message: fmt.Sprintf("zone %q is out of service and would come back", zone.ID),
				Remedy:  fmt.Sprintf("write out = true for it, or return it to service first: chervilctl zone in %s", zone.ID),
			})
		}
	}
	return problems
}

// Unmet returns the guarantees that can't be met now, without the zones that are out of
// service.
func (a *Acceptor) Unmet(c *config.Cluster) []guarantee.Unmet {
	_, unmet := a.options.Pack(a.options.View.Current().Workers, c.Zones, c.Organisations)
	return unmet
}

// unmetWithAllZones returns the guarantees that could not be met if every zone were in
// service. It decides whether guarantees are accepted, since zones are out of service
// only temporarily.
func (a *Acceptor) unmetWithAllZones(c *config.Cluster) []guarantee.Unmet {
	zones := slices.Clone(c.Zones)
	for i := range zones {
		zones[i].OutOfService = false
	}
	_, unmet := a.options.Pack(a.options.View.Current().Workers, zones, c.Organisations)
	return unmet
}

// anyMissesMore reports whether any guarantee misses more instances in after than in
// before. Guarantees that are unmet because workers were lost must not block other
// changes.
func anyMissesMore(before, after []guarantee.Unmet) bool {
	missing := map[string]int{}
	for _, u := range before {
		missing[qualifiedName(u)] += u.Missing
	}
	for _, u := range after {
		if u.Missing > missing[qualifiedName(u)] {
			return true
		}
	}
	return false
}

func qualifiedName(u guarantee.Unmet) string { return string(u.Organisation) + "/" + u.Guarantee }

// DescribeUnmet lists unmet guarantees and those they clash with, in readable form.
func DescribeUnmet(unmet []guarantee.Unmet) string {
	parts := make([]string, len(unmet))
	for i, u := range unmet {
		parts[i] = fmt.Sprintf("%s misses %d instances", qualifiedName(u), u.Missing)
		if len(u.Clashes) > 0 {
			parts[i] += ", clashes with " + strings.Join(u.Clashes, " and ")
		}
	}
	return strings.Join(parts, "; ")
}

// checkStoreNotBehind returns an error if the store has gone back to an older version
// than the one in force.
func (a *Acceptor) checkStoreNotBehind(stored config.Stored) error {
	inForce := a.options.View.Current().Config.Version
	if stored.Version < inForce {
		return errors.Errorf("the store holds version %d, older than version %d, which is in force", stored.Version, inForce)
	}
	return nil
}

func malformed(problems []config.Problem) Result {
	return Result{
		Outcome:  outcome.NotRunBecause(outcome.ReasonMalformed, "the configuration has %d mistakes", len(problems)),
		Problems: problems,
	}
}

func conflictResult(stored config.Stored, base model.ConfigVersion) *Result {
	conflict := &Conflict{InForce: stored.Version}
	conflict.Changes, conflict.Complete = stored.ChangesSince(base)
	return &Result{
		Outcome: outcome.NotRunBecause(outcome.ReasonConflict,
			"the change is based on version %d, but version %d by %q is in force", base, stored.Version, stored.Author),
		Conflict: conflict,
	}
}

// record records an event for an accepted or refused change. For an unknown outcome, the
// lost response has been recorded already.
func (a *Acceptor) record(author string, subject event.Subject, result Result) {
	switch {
	case result.Outcome.Kind == outcome.NotRun:
		detail := fmt.Sprintf("by %s: %s", author, result.Outcome)
		a.options.Events.Record(event.ConfigRefused, subject, detail)
	case result.Accepted() && len(result.Changes) > 0:
		detail := fmt.Sprintf("version %d by %s, %d changes", result.Version, author, len(result.Changes))
		a.options.Events.Record(event.ConfigAccepted, subject, detail)
	}
}
