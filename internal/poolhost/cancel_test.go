package poolhost_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
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
