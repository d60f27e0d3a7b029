package acceptance

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/chart"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/store"
)

// snapshot is the stored configuration at the time of a read.
type snapshot struct {
	// revision is the store's revision of the last write to the key; 0 when the key does
	// not exist.
	revision store.Revision
	value    []byte
	stored   config.Stored
}

// read reads the configuration from the store; its version is 0 if none was ever accepted.
func (a *Acceptor) read(ctx context.Context) (snapshot, error) {
	page, err := a.options.Store.Range(ctx, store.ConfigKey, store.ConfigKey+"\x00", 1)
	if err != nil {
		return snapshot{}, err
	}
	if len(page.KeyValues) == 0 {
		return snapshot{}, nil
	}
	kv := page.KeyValues[0]
	stored, err := config.Decode(kv.Value)
	if err != nil {
		return snapshot{}, err
	}
	return snapshot{revision: kv.ModRevision, value: kv.Value, stored: stored}, nil
}

// Read returns the stored configuration; its version is 0 if none was ever accepted.
func (a *Acceptor) Read(ctx context.Context) (config.Stored, error) {
	current, err := a.read(ctx)
	return current.stored, err
}

// swap replaces current by next if the key was not written in between. The change is
// marked as in progress with BeginChange until it has settled.
func (a *Acceptor) swap(ctx context.Context, current snapshot, next config.Stored, machine *chart.Machine) Result {
	endChange := a.options.BeginChange()
	result := a.write(ctx, current, next, machine)
	a.settle(current, next, result, endChange)
	return result
}

func (a *Acceptor) write(ctx context.Context, current snapshot, next config.Stored, machine *chart.Machine) Result {
	machine.Fire("write")
	succeeded, err := a.put(ctx, current.revision, next.Encode())
	switch {
	case err == nil && succeeded:
		machine.Fire("confirm")
		return Result{Outcome: outcome.Ok(), Version: next.Version}
	case err == nil:
		machine.Fire("retry")
		return lostRace()
	case errors.Is(err, store.ErrResponseLost):
		machine.Fire("lose_answer")
		a.options.Events.Record(event.StoreResponseLost, event.Subject{}, "write of the configuration")
		return a.resolve(ctx, current, next, machine)
	}
	machine.Fire("refuse")
	return unavailable(err)
}

// put writes value if the key was last written at revision, and reports whether it did.
func (a *Acceptor) put(ctx context.Context, revision store.Revision, value []byte) (bool, error) {
	result, err := a.options.Store.Txn(ctx, store.Txn{
		If:   []store.Compare{store.Unchanged(store.ConfigKey, revision)},
		Then: []store.Op{{Put: &store.Put{Key: store.ConfigKey, Value: value}}},
	})
	return result.Succeeded, err
}

// resolve determines whether a write whose response was lost took effect. While the key
// is at the old revision, the write may still be in flight. resolve then fences it by
// writing the old value again, which changes the revision and so makes the condition of
// the delayed write fail.
func (a *Acceptor) resolve(ctx context.Context, before snapshot, next config.Stored, machine *chart.Machine) Result {
	for attempt := 1; ctx.Err() == nil; attempt++ {
		latest, err := a.read(ctx)
		switch {
		case err != nil:
			a.backOff(ctx, attempt)
		case latest.revision == before.revision && before.revision > 0:
			// The next read shows whether the fencing write took effect.
			if _, err := a.put(ctx, before.revision, before.value); err != nil {
				a.backOff(ctx, attempt)
			}
		case latest.revision == before.revision:
			a.backOff(ctx, attempt)
		default:
			return resolveFromHistory(latest.stored, next, machine)
		}
	}
	machine.Fire("give_up")
	return Result{
		Outcome: outcome.UnknownBecause(outcome.ReasonAnswerLost,
			"the store did not confirm whether version %d was written; read the configuration before retrying", next.Version),
	}
}

// resolveFromHistory returns the result of writing next, given a value that was written
// after the one that next was based on.
func resolveFromHistory(latest, next config.Stored, machine *chart.Machine) Result {
	if containsAttempt(latest, next.Attempt) {
		machine.Fire("confirm")
		return Result{Outcome: outcome.Ok(), Version: next.Version}
	}
	if _, complete := latest.ChangesSince(next.Version - 1); complete {
		machine.Fire("retry")
		return lostRace()
	}
	machine.Fire("give_up")
	return Result{
		Outcome: outcome.UnknownBecause(outcome.ReasonAnswerLost,
			"the history no longer shows who wrote version %d", next.Version),
	}
}

// containsAttempt reports whether stored or a version in its history was written by the
// attempt with the given ID.
func containsAttempt(stored config.Stored, id model.AttemptID) bool {
	for _, entry := range stored.History {
		if entry.Attempt == id {
			return true
		}
	}
	return stored.Attempt == id
}

func lostRace() Result {
	return Result{Outcome: outcome.NotRunBecause(outcome.ReasonConflict, "another change was accepted first at each attempt")}
}

func unavailable(err error) Result {
	return Result{Outcome: outcome.NotRunBecause(outcome.ReasonStoreUnavailable, "%v", err)}
}
