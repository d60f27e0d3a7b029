package acceptance_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/acceptance"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
)

// fixedView is a source whose view does not change.
type fixedView struct{ current *view.View }

func (f fixedView) Current() *view.View             { return f.current }
func (f fixedView) Confirmation() view.Confirmation { return view.Confirmation{} }
func (f fixedView) Changed() <-chan struct{}        { return nil }

// packByCount places at most one guarantee instance on each worker.
func packByCount(workers []model.Worker, zones []model.AvailabilityZone, organisations []model.Organisation) (guarantee.Assignment, []guarantee.Unmet) {
	free := 0
	for _, worker := range workers {
		for _, zone := range zones {
			if zone.ID == worker.Zone && !zone.OutOfService {
				free++
			}
		}
	}
	var unmet []guarantee.Unmet
	for _, o := range organisations {
		for _, g := range o.Guarantees {
			if free -= g.Count; free < 0 {
				unmet = append(unmet, guarantee.Unmet{
					Organisation: o.ID, Guarantee: g.Name, Missing: -free, Clashes: []string{"a/first"},
				})
				free = 0
			}
		}
	}
	return nil, unmet
}

// twoWorkerView has one worker in each of the zones a and b.
func twoWorkerView() *view.View {
	return &view.View{
		Config:  &config.Cluster{},
		Workers: []model.Worker{{ID: "w1", Zone: "a"}, {ID: "w2", Zone: "b"}},
	}
}

func newAcceptor(s store.Store, v *view.View) *acceptance.Acceptor {
	return newAcceptorWith(context.Background(), s, fixedView{v}, nil)
}

func newAcceptorWith(lifetime context.Context, s store.Store, v view.Source, beginChange func() func()) *acceptance.Acceptor {
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := clockwork.NewRealClock()
	var attempts atomic.Int64
	return acceptance.New(acceptance.Options{
		Store:  s,
		View:   v,
		Pack:   packByCount,
		Clock:  clock,
		Events: event.NewRecorder("test", clock, log, 64),
		NewAttempt: func() model.AttemptID {
			return model.AttemptID(fmt.Sprintf("%p-%d", &attempts, attempts.Add(1)))
		},
		BeginChange: beginChange,
		Lifetime:    lifetime,
		Seed:        1,
	})
}

// text returns a configuration with zones a and b, the given services, and one
// organisation with a guarantee of count instances.
func text(count int, services ...string) []byte {
	var b strings.Builder
	b.WriteString("[[zone]]\nid = \"a\"\nregion = \"r\"\n[[zone]]\nid = \"b\"\nregion = \"r\"\n")
	b.WriteString("[[organisation]]\nid = \"o\"\n")
	fmt.Fprintf(&b, "[[organisation.guarantee]]\nname = \"g\"\ncount = %d\ntasks = 1\nadjacency = \"worker\"\naccelerators_per_task = 1\n", count)
	for _, service := range services {
		fmt.Fprintf(&b, "[[service]]\nid = %q\norganisation = \"o\"\n", service)
	}
	fmt.Fprintf(&b, "[[operator]]\nname = \"dora\"\ntoken_sha256 = %q\n", strings.Repeat("ab", 32))
	return []byte(b.String())
}

func TestSubmit(t *testing.T) {
	ctx := t.Context()
	a := newAcceptor(memory.New(clockwork.NewRealClock()), twoWorkerView())

	first := a.Submit(ctx, "dora", 0, text(2))
	require.Equal(t, outcome.Ok(), first.Outcome)
	require.EqualValues(t, 1, first.Version)

	same := a.Submit(ctx, "dora", 1, text(2))
	require.True(t, same.Accepted())
	require.EqualValues(t, 1, same.Version, "nothing changed, so nothing was written")

	require.True(t, a.Submit(ctx, "bence", 1, text(2, "s")).Accepted())
	conflicting := a.Submit(ctx, "dora", 1, text(1))
	require.Equal(t, outcome.ReasonConflict, conflicting.Outcome.Reason)
	require.EqualValues(t, 2, conflicting.Conflict.InForce)
	require.True(t, conflicting.Conflict.Complete)
	require.Len(t, conflicting.Conflict.Changes, 1)
	require.Equal(t, "bence", conflicting.Conflict.Changes[0].Author)
	require.Equal(t, []string{"service s: added"}, conflicting.Conflict.Changes[0].Changes)

	infeasible := a.Submit(ctx, "dora", 2, text(3))
	require.Equal(t, outcome.ReasonInfeasible, infeasible.Outcome.Reason)
	require.Equal(t, "g", infeasible.Unmet[0].Guarantee)

	malformed := a.Submit(ctx, "dora", 2, []byte("[[zone]]\n"))
	require.Equal(t, outcome.ReasonMalformed, malformed.Outcome.Reason)
	require.NotEmpty(t, malformed.Problems)

	stored, err := a.Read(ctx)
	require.NoError(t, err)
	require.EqualValues(t, 2, stored.Version, "refused changes were not written")
}

// TestGuaranteesAreNotCheckedWithoutAListOfHosts submits a configuration before the
// platform's list of hosts was read for the first time. The change must be refused
// because of the stale view, not because its guarantees are infeasible.
func TestGuaranteesAreNotCheckedWithoutAListOfHosts(t *testing.T) {
	a := newAcceptor(memory.New(clockwork.NewRealClock()), &view.View{Config: &config.Cluster{}})
	result := a.Submit(t.Context(), "dora", 0, text(1))
	require.Equal(t, outcome.NotRun, result.Outcome.Kind)
	require.Equal(t, outcome.ReasonStaleView, result.Outcome.Reason)
}

// delayedView is a source whose first emptyReads views lack the list of hosts.
type delayedView struct {
	fixedView
	reads      *atomic.Int64
	emptyReads int64
}

func (a delayedView) Current() *view.View {
	if a.reads.Add(1) > a.emptyReads {
		return a.current
	}
	return &view.View{Config: &config.Cluster{}}
}

// TestListOfHostsArrivesDuringTheCheck lets the list of hosts arrive at each point of a
// check. A result computed without any hosts must not make a guarantee infeasible.
func TestListOfHostsArrivesDuringTheCheck(t *testing.T) {
	for emptyReads := range int64(8) {
		source := delayedView{fixedView{twoWorkerView()}, new(atomic.Int64), emptyReads}
		a := newAcceptorWith(t.Context(), memory.New(clockwork.NewRealClock()), source, nil)
		result := a.Submit(t.Context(), "dora", 0, text(1))
		require.NotEqual(t, outcome.ReasonInfeasible, result.Outcome.Reason, "after %d reads", emptyReads)
	}
}

func TestLostWorkersDoNotBlockOtherChanges(t *testing.T) {
	ctx := t.Context()
	current := twoWorkerView()
	a := newAcceptor(memory.New(clockwork.NewRealClock()), current)
	require.True(t, a.Submit(ctx, "dora", 0, text(2)).Accepted())
	current.Workers = current.Workers[:1]
	unrelated := a.Submit(ctx, "dora", 1, text(2, "s"))
	require.True(t, unrelated.Accepted())
	require.Len(t, unrelated.Unmet, 1, "the unmet guarantee is returned as a warning")
	larger := a.Submit(ctx, "dora", 2, text(3, "s"))
	require.Equal(t, outcome.ReasonInfeasible, larger.Outcome.Reason)
}

func TestSetZone(t *testing.T) {
	ctx := t.Context()
	a := newAcceptor(memory.New(clockwork.NewRealClock()), twoWorkerView())
	require.True(t, a.Submit(ctx, "dora", 0, text(2)).Accepted())

	out := a.SetZone(ctx, "dora", "b", true)
	require.EqualValues(t, 2, out.Version)
	require.Len(t, out.Unmet, 1, "the guarantee that can't be met any more is a warning, not a refusal")
	require.EqualValues(t, 2, a.SetZone(ctx, "dora", "b", true).Version)
	require.Equal(t, outcome.ReasonNotFound, a.SetZone(ctx, "dora", "nowhere", true).Outcome.Reason)

	in := a.SetZone(ctx, "dora", "b", false)
	require.EqualValues(t, 3, in.Version)
	require.Empty(t, in.Unmet)

	require.True(t, a.SetZone(ctx, "dora", "b", true).Accepted())
	back := a.Submit(ctx, "dora", 4, text(1))
	require.Contains(t, back.Problems[0].Message, `zone "b" is out of service`)
	require.True(t, a.SetZone(ctx, "dora", "b", false).Accepted())

	withoutA := []byte(strings.Replace(string(text(1)), "[[zone]]\nid = \"a\"\nregion = \"r\"\n", "", 1))
	require.Contains(t, a.Submit(ctx, "dora", 5, withoutA).Problems[0].Message, `zone "a" is in service`)
	require.True(t, a.SetZone(ctx, "dora", "a", true).Accepted())
	require.True(t, a.Submit(ctx, "dora", 6, withoutA).Accepted())
}

// TestConcurrentChanges submits changes concurrently: of those based on the same version
// exactly one is accepted, while concurrent zone changes are all accepted.
func TestConcurrentChanges(t *testing.T) {
	const operators, rounds = 8, 5
	ctx := t.Context()
	shared := memory.New(clockwork.NewRealClock())
	setup := newAcceptor(shared, twoWorkerView())
	require.True(t, setup.Submit(ctx, "dora", 0, text(1)).Accepted())
	for round := range rounds {
		stored, err := setup.Read(ctx)
		require.NoError(t, err)
		base := stored.Version
		var accepted, conflicts atomic.Int32
		var group sync.WaitGroup
		for i := range operators {
			a := newAcceptor(shared.Client(), twoWorkerView())
			group.Go(func() {
				service := fmt.Sprintf("s-%d-%d", round, i)
				result := a.Submit(ctx, fmt.Sprint("operator-", i), base, text(1, service))
				switch {
				case result.Accepted():
					accepted.Add(1)
				case result.Outcome.Reason == outcome.ReasonConflict:
					conflicts.Add(1)
				}
			})
		}
		group.Wait()
		require.EqualValues(t, 1, accepted.Load())
		require.EqualValues(t, operators-1, conflicts.Load())
		changeZonesConcurrently(t, shared, true)
		changeZonesConcurrently(t, shared, false)
		stored, err = setup.Read(ctx)
		require.NoError(t, err)
		require.Equal(t, base+1+4, stored.Version)
	}
}

// changeZonesConcurrently changes both zones at the same time and checks that both changes
// are in force.
func changeZonesConcurrently(t *testing.T, shared *memory.Store, out bool) {
	var group sync.WaitGroup
	for _, zone := range []model.AvailabilityZoneID{"a", "b"} {
		a := newAcceptor(shared.Client(), twoWorkerView())
		group.Go(func() { a.SetZone(t.Context(), "dora", zone, out) })
	}
	group.Wait()
	stored, err := newAcceptor(shared, twoWorkerView()).Read(t.Context())
	require.NoError(t, err)
	cluster, err := stored.Cluster()
	require.NoError(t, err)
	for _, zone := range cluster.Zones {
		require.Equal(t, out, zone.OutOfService)
	}
}
