package acceptance

import (
	"fmt"

	"github.com/chervilrun/chervilrun/internal/chart"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
)

// settle calls endChange once this host's view can't lack the change any more:
// immediately if nothing was written, otherwise when the view includes the written
// version. An unknown outcome is first resolved in the background.
func (a *Acceptor) settle(before snapshot, next config.Stored, result Result, endChange func()) {
	switch result.Outcome.Kind {
	case outcome.NotRun:
		endChange()
	case outcome.Done:
		go a.settleAccepted(next.Version, endChange)
	default:
		go a.settleUnknown(before, next, endChange)
	}
}

// settleAccepted calls endChange once the view includes version or a later one.
func (a *Acceptor) settleAccepted(version model.ConfigVersion, endChange func()) {
	for {
		changed := a.options.View.Changed()
		if a.options.View.Current().Config.Version >= version {
			endChange()
			return
		}
		select {
		case <-changed:
		case <-a.options.Lifetime.Done():
			return
		}
	}
}

// settleUnknown reads the configuration back until the outcome of writing next is known,
// then calls endChange as settle does.
func (a *Acceptor) settleUnknown(before snapshot, next config.Stored, endChange func()) {
	machine := chart.Load("configuration").Restore("unresolved")
	result := a.resolve(a.options.Lifetime, before, next, machine)
	switch {
	case a.options.Lifetime.Err() != nil:
		return
	case result.Outcome.Kind == outcome.NotRun:
		endChange()
		return
	case result.Accepted():
		detail := fmt.Sprintf("version %d by %s, confirmed by reading back", next.Version, next.Author)
		a.options.Events.Record(event.ConfigAccepted, event.Subject{}, detail)
	}
	// The store holds this version or a later one.
	a.settleAccepted(next.Version, endChange)
}
