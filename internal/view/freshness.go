package view

import (
	"fmt"
	"sync"
	"time"

	"github.com/chervilrun/chervilrun/internal/chart"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
)

// freshness tracks the confirmations of the view with the state machine "view" and records
// an event when tasks may no longer start, and when they may again.
type freshness struct {
	subject event.Subject
	events  *event.Recorder

	mu      sync.Mutex
	machine *chart.Machine
}

func newFreshness(host model.HostID, events *event.Recorder) *freshness {
	return &freshness{
		subject: event.Subject{Host: string(host)},
		events:  events,
		machine: chart.Load("view").New(),
	}
}

// observe applies the confirmation as of the given time.
func (f *freshness) observe(c Confirmation, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.machine.State()
	age := now.Sub(c.ConfirmedAt)
	switch {
	case age <= MaxConfirmationAge:
		f.machine.Fire("confirm")
	case c.OutageConfirmed:
		f.machine.Fire("confirm_outage")
	case f.machine.Can("expire"):
		f.machine.Fire("expire")
	}
	after := f.machine.State()
	switch {
	case after == before:
	case after == "stale":
		f.events.Record(event.ViewStale, f.subject, fmt.Sprintf("confirmed %s ago", age.Round(time.Millisecond)))
	case after == "outage":
		f.events.Record(event.ViewConfirmed, f.subject, "every known entry host reports that it can't reach the store")
	default:
		f.events.Record(event.ViewConfirmed, f.subject, "")
	}
}
