package poolhost_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	_ "github.com/chervilrun/chervilrun/internal/rapidseed" // fixes the seed
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// recordOf is the record of a job of an organisation.
func recordOf(organisation model.OrganisationID, id string) *workflow.Record {
	r := record(id)
	r.Organisation = organisation
	return r
}

func (d *deployment) readyHost() *testHost {
	h := d.host("a", "a1", 1)
	eventually(d.t, "host is ready", h.Ready)
	eventually(d.t, "host is the owner", func() bool { return h.log.has("ownership taken") })
	return h
}

// Guards against an organisation that cancels what another one will submit: a cancellation of an ID that
// nobody used yet ended the job that came under it, whoever it belonged to.
func TestCancellationConcernsItsOrganisationOnly(t *testing.T) {
	d := newDeployment(t)
	a := d.readyHost()
	const id = "0000000000000001"
	require.Equal(t, outcome.ReasonNotFound, a.Cancel(ctx(t), "genkai", id).Outcome.Reason)
	require.Equal(t, outcome.Accepted, a.Submit(ctx(t), recordOf("aso", id)).Outcome.Kind)
	d.workers.setFinishTasks(true)
	eventually(t, "job is completed", func() bool { return a.State(ctx(t), "aso", id).State == workflow.Completed })
	require.Equal(t, outcome.ReasonNotFound, a.Cancel(ctx(t), "genkai", id).Outcome.Reason)
}

// Guards against a cancellation that is lost since another organisation has cancelled the same ID before.
func TestCancellationsOfOneIDAreIndependent(t *testing.T) {
	d := newDeployment(t)
	a := d.readyHost()
	const id = "0000000000000001"
	for _, organisation := range []model.OrganisationID{"genkai", "aso", "genkai", "aso"} {
		require.Equal(t, outcome.ReasonNotFound, a.Cancel(ctx(t), organisation, id).Outcome.Reason)
	}
	a.Submit(ctx(t), recordOf("aso", id))
	eventually(t, "job is shown as cancelled", func() bool { return a.State(ctx(t), "aso", id).State == workflow.Cancelled })
	require.Zero(t, d.workers.startCount())
}

// Guards against a running job that can't be cancelled since another organisation has cancelled its ID
// before it came.
func TestCancelAfterACancellationOfAnotherOrganisation(t *testing.T) {
	d := newDeployment(t)
	a := d.readyHost()
	const id = "0000000000000001"
	a.Cancel(ctx(t), "genkai", id)
	require.Equal(t, outcome.Accepted, a.Submit(ctx(t), recordOf("aso", id)).Outcome.Kind)
	eventually(t, "task is started", func() bool { return d.workers.runningCount() == 1 })
	require.Equal(t, workflow.Cancelled, a.Cancel(ctx(t), "aso", id).State)
	eventually(t, "task is stopped", func() bool { return d.workers.runningCount() == 0 })
	require.Equal(t, workflow.Cancelled, a.State(ctx(t), "aso", id).State)
}

// Records of earlier versions don't name the organisation and cancel the job, as before. One that can't
// be read cancels nothing.
func TestCancellationsOfEarlierVersions(t *testing.T) {
	for value, expected := range map[string]workflow.State{"{}": workflow.Cancelled, "{": workflow.Completed} {
		t.Run(value, func(t *testing.T) {
			d := newDeployment(t)
			a := d.readyHost()
			const id = "0000000000000001"
			d.put(store.PoolCancelKey(id), value)
			d.workers.setFinishTasks(true)
			a.Submit(ctx(t), recordOf("aso", id))
			eventually(t, fmt.Sprintf("job is shown as %s", expected), func() bool { return a.State(ctx(t), "aso", id).State == expected })
		})
	}
}

// Guards against the state of an ended job of one organisation that hides a later job of another one under
// the same ID: it was answered as unknown by every host that remembered the first.
func TestStateOfAnEarlierJobHidesNoOther(t *testing.T) {
	d := newDeployment(t)
	a := d.readyHost()
	const id = "0000000000000001"
	d.workers.setFinishTasks(true)
	a.Submit(ctx(t), recordOf("genkai", id))
	eventually(t, "job is completed", func() bool { return a.State(ctx(t), "genkai", id).State == workflow.Completed })
	a.kill()
	for _, key := range []string{store.PoolJobKey(id), store.PoolProgressKey(id)} {
		d.remove(key)
	}
	b := d.host("b", "b1", 1)
	eventually(t, "b is the owner", func() bool { return b.log.has("ownership taken") })
	b.RememberFinalState(id, "genkai", workflow.Completed)
	require.Equal(t, outcome.Accepted, b.Submit(ctx(t), recordOf("aso", id)).Outcome.Kind)
	eventually(t, "job is shown to its organisation", func() bool { return b.State(ctx(t), "aso", id).Outcome.Kind == outcome.Done })
	require.Equal(t, outcome.ReasonNotFound, b.State(ctx(t), "kuju", id).Outcome.Reason)
}

// call is a random call of an organisation. A stranger submits nothing: the first one to submit an ID
// owns it.
type call struct {
	stranger, submit, query bool
	id                      model.JobID
}

var randomCalls = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) call {
	c := call{stranger: rapid.Bool().Draw(t, "stranger"), id: model.JobID(rapid.SampledFrom([]string{"0000000000000001", "0000000000000002"}).Draw(t, "id"))}
	kind := rapid.IntRange(0, 2).Draw(t, "kind")
	c.submit, c.query = kind == 0 && !c.stranger, kind == 1
	return c
}), 2, 12)

// Guards against anything that an organisation does to IDs of another one and that the other can notice.
func TestCallsOfAStrangerChangeNothing(t *testing.T) {
	for seed := range 12 {
		calls := randomCalls.Example(seed)
		require.Equal(t, seenBy(t, calls, false), seenBy(t, calls, true), "%+v", calls)
	}
}

// seenBy makes the calls at a host and returns what the organisation whose jobs they are sees.
func seenBy(t *testing.T, calls []call, withStranger bool) []string {
	d := newDeployment(t)
	a := d.readyHost()
	defer a.kill()
	var seen []string
	submitted, cancelled := map[model.JobID]bool{}, map[model.JobID]bool{}
	for _, c := range calls {
		switch {
		case c.stranger && withStranger && c.query:
			require.Equal(t, outcome.ReasonNotFound, a.State(ctx(t), "genkai", c.id).Outcome.Reason)
		case c.stranger && withStranger:
			require.Equal(t, outcome.ReasonNotFound, a.Cancel(ctx(t), "genkai", c.id).Outcome.Reason)
		case c.stranger:
		case c.submit:
			submitted[c.id] = true
			seen = append(seen, fmt.Sprint(a.Submit(ctx(t), recordOf("aso", string(c.id))).Outcome))
		case c.query:
			seen = append(seen, fmt.Sprint(a.State(ctx(t), "aso", c.id).Outcome))
		default:
			cancelled[c.id] = true
			seen = append(seen, fmt.Sprint(a.Cancel(ctx(t), "aso", c.id).Outcome))
		}
	}
	d.workers.setFinishTasks(true)
	for id := range submitted {
		expected := workflow.Completed
		if cancelled[id] {
			expected = workflow.Cancelled
		}
		eventually(t, "job has ended", func() bool { return a.State(ctx(t), "aso", id).State == expected })
	}
	return seen
}
