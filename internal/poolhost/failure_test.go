package poolhost_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/poolhost"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// A panic in the owner ends its term: another host takes over and the running task goes on.
// The host itself still serves callers.
func TestPanicOfTheOwnerEndsItsTermOnly(t *testing.T) {
	d := newDeployment(t)
	a := d.host("a", "a1", 1)
	eventually(t, "a is the owner", func() bool { return a.log.has("ownership taken") })
	b := d.host("b", "b1", 1)
	eventually(t, "hosts are ready", func() bool { return a.Ready() && b.Ready() })
	require.Equal(t, outcome.Accepted, b.Submit(ctx(t), record("0000000000000001")).Outcome.Kind)
	eventually(t, "the job has started", func() bool { return d.workers.startCount() == 1 })

	a.BreakOwner()
	eventually(t, "b is the owner", func() bool { return b.log.has("ownership taken") })
	require.True(t, a.log.has("owner failed"))
	require.True(t, a.log.has("broken invariant"))
	require.Equal(t, outcome.Accepted, a.Submit(ctx(t), record("0000000000000002")).Outcome.Kind)
	eventually(t, "both jobs run", func() bool { return d.workers.startCount() == 2 && d.workers.runningCount() == 2 })
	// Until then a reads the state from the store, where the begin of a job is recorded later.
	eventually(t, "a knows that b is the owner", func() bool { return a.Status().Owner == "b" })
	require.Equal(t, workflow.Running, a.State(ctx(t), "aso", "0000000000000001").State)
}

// A host whose owner has panicked takes part in elections again, later each time.
func TestOnlyHostRecoversFromAPanicOfItsOwner(t *testing.T) {
	d := newDeployment(t)
	a := d.host("a", "a1", 1)
	eventually(t, "a is the owner", func() bool { return a.Status().Term != nil })
	a.BreakOwner()
	eventually(t, "the term ends", func() bool { return a.Status().Term == nil })
	eventually(t, "a is the owner again", func() bool { return a.Status().Term != nil })
	require.Equal(t, outcome.Accepted, a.Submit(ctx(t), record("0000000000000001")).Outcome.Kind)
	eventually(t, "the job has started", func() bool { return d.workers.startCount() == 1 })
}

// Progress that can't be decoded stays in the store and in the owner's hands: the job is
// set aside, not started from its beginning.
func TestMalformedProgressSetsItsJobAside(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []model.JobID{"0000000000000001", "0000000000000002"} {
		d.put(store.PoolJobKey(id), string(workflow.Encode(record(string(id)))))
	}
	d.put(store.PoolProgressKey("0000000000000001"), "{")
	a := d.host("a", "a1", 1)
	eventually(t, "the other job has started", func() bool { return d.workers.startCount() == 1 })
	require.True(t, a.log.has("job set aside"))
	// The same record once more, as after the store has dropped its history.
	d.put(store.PoolJobKey("0000000000000001"), string(workflow.Encode(record("0000000000000001"))))
	require.Equal(t, outcome.Accepted, a.Submit(ctx(t), record("0000000000000003")).Outcome.Kind)
	eventually(t, "a later job has started", func() bool { return d.workers.startCount() >= 2 })
	require.Equal(t, 2, d.workers.startCount())
}

// A configuration or an entry of a worker that makes its decoder panic changes nothing; the
// other entries hold.
func TestPanickingDecodersChangeNothing(t *testing.T) {
	d := newDeployment(t)
	d.directories = poolhost.Directories{
		ConfigPrefix: configPrefix, WorkersPrefix: workersPrefix,
		DecodeConfig: func(keys map[string]store.KeyValue) (*poolhost.Configuration, error) {
			if string(keys[configPrefix+"current"].Value) == "2" {
				panic("config")
			}
			return decodeTestConfig(keys)
		},
		DecodeWorker: func(kv store.KeyValue) (pool.WorkerInfo, error) {
			if string(kv.Value) == "w0" {
				panic("worker")
			}
			return decodeTestWorker(kv)
		},
	}
	d.put(workersPrefix+"w0", "w0")
	a := d.host("a", "a1", 1)
	eventually(t, "host is ready", a.Ready)
	d.put(configPrefix+"current", "2")
	eventually(t, "the configuration is refused", func() bool { return a.log.has("panic: config") })
	config, _ := a.Configuration()
	require.Equal(t, uint64(1), config.Version)
	require.Equal(t, outcome.Accepted, a.Submit(ctx(t), record("0000000000000001")).Outcome.Kind)
	eventually(t, "the job has started", func() bool { return d.workers.startCount() == 1 })
	require.True(t, a.log.has("panic: worker"))
	d.put(configPrefix+"current", "3")
	eventually(t, "version 3 is in force", func() bool { c, _ := a.Configuration(); return c.Version == 3 })
}

// A malformed owner key tells of no loss of ownership.
func TestMalformedOwnerKeyIsReported(t *testing.T) {
	d := newDeployment(t)
	d.put(store.PoolOwnerKey, "{")
	a := d.host("a", "a1", 1)
	eventually(t, "the key is reported", func() bool { return a.log.has("entry malformed") })
	require.False(t, a.log.has("ownership lost"))
}
