package poolhost_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// silentStore serves reads and writes, but its watches on accepted and cancelled jobs
// deliver nothing, as when a connection has died or the store drops its history.
type silentStore struct{ store.Store }

func (s *silentStore) Watch(ctx context.Context, prefix string, from store.Revision) (store.Watch, error) {
	if prefix != store.PoolInputPrefix {
		return s.Store.Watch(ctx, prefix, from)
	}
	batches := make(chan store.WatchBatch)
	context.AfterFunc(ctx, func() { close(batches) })
	return &silentWatch{ctx: ctx, batches: batches}, nil
}

type silentWatch struct {
	ctx     context.Context
	batches chan store.WatchBatch
}

func (w *silentWatch) Batches() <-chan store.WatchBatch { return w.batches }
func (w *silentWatch) Err() error                       { return w.ctx.Err() }

// While the owner's watch on jobs is silent, a job that another host accepts starts all the
// same, and stops when a third one cancels it.
func TestJobsReachTheOwnerWhileItsWatchIsSilent(t *testing.T) {
	d := newDeployment(t)
	d.silentJobWatch = true
	owner := d.host("a", "a1", 1)
	eventually(t, "a is the owner", func() bool { return owner.log.has("ownership taken") })
	b, c := d.host("b", "b1", 1), d.host("c", "c1", 1)
	eventually(t, "hosts are ready", func() bool { return b.Ready() && c.Ready() && c.log.has("owner changed") && b.log.has("owner changed") })

	require.Equal(t, outcome.Accepted, b.Submit(ctx(t), record("0000000000000001")).Outcome.Kind)
	eventually(t, "the job has started", func() bool { return d.workers.startCount() == 1 })
	require.Equal(t, workflow.Cancelled, c.Cancel(ctx(t), "aso", "0000000000000001").State)
	eventually(t, "the job has stopped", func() bool { return d.workers.runningCount() == 0 })
}

// An announcement that arrives after the watch has passed its revision brings nothing back:
// the job may have ended and been removed since.
func TestLateAnnouncementIsIgnored(t *testing.T) {
	d := newDeployment(t)
	owner := d.host("a", "a1", 1)
	eventually(t, "a has loaded the jobs", func() bool {
		status := owner.Status()
		return status.Term != nil && status.Term.Confirmed
	})
	d.put("other/key", "a later revision")
	require.Equal(t, outcome.Accepted, owner.Submit(ctx(t), record("0000000000000001")).Outcome.Kind)
	eventually(t, "the job has started", func() bool { return d.workers.startCount() == 1 })

	client := rpc.NewPoolProtobufClient(owner.server.URL, http.DefaultClient)
	response, err := client.Input(ctx(t), &rpc.PoolInputRequest{Job: "0000000000000002", Record: workflow.Encode(record("0000000000000002")), Revision: 1})
	require.NoError(t, err)
	require.True(t, response.Owner)
	require.Equal(t, outcome.Accepted, owner.Submit(ctx(t), record("0000000000000003")).Outcome.Kind)
	eventually(t, "the later job has started", func() bool { return d.workers.startCount() == 2 })
	job, err := client.Job(ctx(t), &rpc.PoolJobRequest{Job: "0000000000000002"})
	require.NoError(t, err)
	require.False(t, job.Found)
}

// An announcement that can't be decoded, or whose record is of another job, is ignored.
func TestMalformedAnnouncementIsIgnored(t *testing.T) {
	d := newDeployment(t)
	owner := d.host("a", "a1", 1)
	eventually(t, "a has loaded the jobs", func() bool {
		status := owner.Status()
		return status.Term != nil && status.Term.Confirmed
	})
	client := rpc.NewPoolProtobufClient(owner.server.URL, http.DefaultClient)
	for _, encoded := range [][]byte{[]byte("{"), []byte("null"), workflow.Encode(record("0000000000000001"))} {
		_, err := client.Input(ctx(t), &rpc.PoolInputRequest{Job: "0000000000000002", Record: encoded, Revision: 1 << 40})
		require.NoError(t, err)
	}
	job, err := client.Job(ctx(t), &rpc.PoolJobRequest{Job: "0000000000000002"})
	require.NoError(t, err)
	require.False(t, job.Found)
}
