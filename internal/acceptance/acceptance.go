// Package acceptance validates changes of the configuration and writes them to the
// store. The whole configuration is stored at one key and replaced by compare-and-swap.
// If the store's response to a write is lost, the configuration is read back, and the
// attempt ID in it tells whether the write took effect.
package acceptance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilrun/chervilrun/internal/chart"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/view"
)

// Pack returns the guarantees that can't all be met at the same time, as guarantee.Pack
// does.
type Pack func(
	workers []model.Worker,
	zones []model.AvailabilityZone,
	organisations []model.Organisation,
) (guarantee.Assignment, []guarantee.Unmet)

// Options holds the dependencies and settings of an Acceptor.
type Options struct {
	Store  store.Store
	View   view.Source
	Pack   Pack
	Clock  clockwork.Clock
	Events *event.Recorder
	// NewAttempt returns a unique ID for a write.
	NewAttempt func() model.AttemptID
	// BeginChange is called before each write. The function it returns is called once
	// the outcome is known and the view includes the change. Until then, this host must
	// not report to its peers that it can't have reached the store. Nil disables the calls.
	BeginChange func() (endChange func())
	// Lifetime limits how long unknown outcomes are resolved in the background.
	Lifetime context.Context
	// Metrics registers the metrics; nil leaves them unregistered.
	Metrics prometheus.Registerer
	// Seed seeds the jitter of the retry delays.
	Seed uint64
}

// Acceptor accepts changes. It is safe for concurrent use.
type Acceptor struct {
	options Options
	jitter  *jitter
	metrics *metrics
}

// New returns an acceptor.
func New(options Options) *Acceptor {
	random := rand.New(rand.NewPCG(options.Seed, 0))
	if options.BeginChange == nil {
		options.BeginChange = func() func() { return func() {} }
	}
	if options.Lifetime == nil {
		options.Lifetime = context.Background()
	}
	return &Acceptor{
		options: options,
		jitter:  &jitter{random: random},
		metrics: newMetrics(options.Metrics),
	}
}

// Conflict describes the changes that were accepted since the version that a refused
// change was based on.
type Conflict struct {
	// InForce is the current version.
	InForce model.ConfigVersion   `json:"in_force"`
	Changes []config.HistoryEntry `json:"changes"`
	// Complete is false when the history no longer holds all of these changes.
	Complete bool `json:"complete"`
}

// Result is the result of a change.
type Result struct {
	// Outcome is Done when the change is accepted; NotRun when it had no effect;
	// Unknown when reading back could not tell.
	Outcome outcome.Outcome
	// Version is the version of the accepted change.
	Version model.ConfigVersion
	// Changes lists the differences from the configuration that the change was based on.
	Changes []config.Change
	// Problems lists the mistakes in a refused text.
	Problems []config.Problem
	// Unmet lists guarantees that can't be met: the cause of a refusal or, if the outcome
	// is Done, a warning.
	Unmet []guarantee.Unmet
	// Conflict is set when another change was accepted first.
	Conflict *Conflict
}

// Accepted reports whether the change was accepted: it is in force or soon will be.
func (r Result) Accepted() bool { return r.Outcome.Kind == outcome.Done }

// maxAttempts is the maximum number of attempts at a change when other changes are
// written first.
const maxAttempts = 16

// Submit replaces the configuration by text if version base is in force and text passes
// the checks.
func (a *Acceptor) Submit(ctx context.Context, author string, base model.ConfigVersion, text []byte) Result {
	proposed, problems := config.Parse(text)
	change := func(current *config.Cluster, stored config.Stored) (*config.Cluster, *Result) {
		if stored.Version != base {
			return nil, conflictResult(stored, base)
		}
		return proposed, a.refuseText(current, proposed)
	}
	return a.runAndRecord(author, event.Subject{}, func() Result {
		if len(problems) > 0 {
			return malformed(problems)
		}
		return a.run(ctx, author, change)
	})
}

// SetZone takes a zone out of service or returns it to service. The change commutes with
// other changes, so after a conflict it is retried on the current configuration.
func (a *Acceptor) SetZone(ctx context.Context, author string, zone model.AvailabilityZoneID, outOfService bool) Result {
	change := func(current *config.Cluster, _ config.Stored) (*config.Cluster, *Result) {
		next := config.Normalise(current)
		for i := range next.Zones {
			if next.Zones[i].ID == zone {
				next.Zones[i].OutOfService = outOfService
				return next, nil
			}
		}
		return nil, &Result{Outcome: outcome.NotRunBecause(outcome.ReasonNotFound, "there is no zone %q", zone)}
	}
	return a.runAndRecord(author, event.Subject{Zone: string(zone)}, func() Result {
		return a.run(ctx, author, change)
	})
}

// change returns the cluster that replaces current, or a refusal.
type change func(current *config.Cluster, stored config.Stored) (*config.Cluster, *Result)

// runAndRecord runs a change and records its result in the metrics and events.
func (a *Acceptor) runAndRecord(author string, subject event.Subject, run func() Result) Result {
	began := a.options.Clock.Now()
	result := run()
	a.metrics.observe(result.Outcome, a.options.Clock.Since(began))
	a.record(author, subject, result)
	return result
}

// run attempts a change until it is accepted or refused, or its outcome can't be
// determined.
func (a *Acceptor) run(ctx context.Context, author string, change change) Result {
	machine := chart.Load("configuration").New()
	var result Result
	for attempt := range maxAttempts {
		if attempt > 0 {
			a.backOff(ctx, attempt)
		}
		result = a.attemptOnce(ctx, author, change, machine)
		if machine.Final() {
			return result
		}
	}
	machine.Fire("refuse")
	return result
}

// attemptOnce makes one attempt at a change. It leaves the machine in "submitted" if the
// change may be retried.
func (a *Acceptor) attemptOnce(ctx context.Context, author string, change change, machine *chart.Machine) Result {
	current, err := a.read(ctx)
	if err != nil {
		machine.Fire("refuse")
		return unavailable(err)
	}
	cluster, err := current.stored.Cluster()
	if err == nil {
		err = a.checkStoreNotBehind(current.stored)
	}
	if err != nil {
		machine.Fire("refuse")
		return Result{Outcome: outcome.NotRunBecause(outcome.ReasonInternal, "%v", err)}
	}
	next, refusal := change(cluster, current.stored)
	if refusal != nil {
		machine.Fire("refuse")
		return *refusal
	}
	changes := config.Diff(cluster, next)
	if len(changes) == 0 && current.stored.Version > 0 {
		machine.Fire("keep")
		return Result{Outcome: outcome.Ok(), Version: current.stored.Version, Unmet: a.Unmet(next)}
	}
	text := config.Canonical(next)
	stored := current.stored.Next(author, a.options.NewAttempt(), a.options.Clock.Now().UTC(), text, changes)
	result := a.swap(ctx, current, stored, machine)
	if result.Accepted() {
		result.Changes = changes
		result.Unmet = a.Unmet(next)
	}
	return result
}

func (a *Acceptor) backOff(ctx context.Context, attempt int) {
	select {
	case <-ctx.Done():
	case <-a.options.Clock.After(a.jitter.delay(min(attempt, maxRetryDelayFactor))):
	}
}

// retryDelay is the mean delay before the first retry. The mean delay grows linearly with
// the number of retries, up to maxRetryDelayFactor times retryDelay: one second.
const (
	retryDelay          = 5 * time.Millisecond
	maxRetryDelayFactor = 200
)
