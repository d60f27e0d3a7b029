package poolhost_test

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/poolhost"
	"github.com/chervilrun/chervilrun/internal/store"
)

// mutedOwnerStore is a store whose watches on the owner key deliver nothing more once it is muted,
// as when their connection has died without a reset.
type mutedOwnerStore struct {
	store.Store
	muted chan struct{}
	once  sync.Once
}

func newMutedOwnerStore(s store.Store) *mutedOwnerStore {
	return &mutedOwnerStore{Store: s, muted: make(chan struct{})}
}

func (s *mutedOwnerStore) mute() { s.once.Do(func() { close(s.muted) }) }

func (s *mutedOwnerStore) Watch(ctx context.Context, prefix string, from store.Revision) (store.Watch, error) {
	w, err := s.Store.Watch(ctx, prefix, from)
	if err != nil || prefix != store.PoolOwnerKey {
		return w, err
	}
	batches := make(chan store.WatchBatch)
	go func() {
		defer close(batches)
		for {
			select {
			case <-s.muted:
				<-ctx.Done()
				return
			case batch, ok := <-w.Batches():
				if !ok {
					return
				}
				select {
				case batches <- batch:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	return &silentWatch{ctx: ctx, batches: batches}, nil
}

// machineLog is a machine API with one machine, which is always busy, so that its upkeep is
// ordered again and again. It keeps the holders of the orders in their sequence.
type machineLog struct {
	mu     sync.Mutex
	fences []uint64
}

func (l *machineLog) Machines(context.Context) ([]pool.Machine, error) {
	return []pool.Machine{{ID: "m1", Worker: "w1", Up: true}}, nil
}

func (l *machineLog) Upkeep(_ context.Context, _ pool.MachineID, _ int, fence uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fences = append(l.fences, fence)
	return pool.ErrBusy
}

// orders returns the fencing tokens of the orders so far.
func (l *machineLog) orders() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.fences)
}

// newWaveDeployment returns a deployment whose operators request the upkeep of the only machine.
func newWaveDeployment(t *testing.T) (*deployment, *machineLog) {
	d := newDeployment(t)
	log := &machineLog{}
	d.machines = log
	d.timing.MachineOrderGap = 0
	d.directories.WaveStatus = func(number int, completed bool) (string, []byte) {
		return "status/" + strconv.Itoa(number), []byte(strconv.FormatBool(completed))
	}
	d.directories.DecodeConfig = func(keys map[string]store.KeyValue) (*poolhost.Configuration, error) {
		config, err := decodeTestConfig(keys)
		if config != nil {
			config.Waves = []pool.Wave{{Number: 1, Machines: []pool.MachineID{"m1"}, MaxDown: 1, Due: time.Now().Add(time.Hour)}}
		}
		return config, err
	}
	return d, log
}

// cutOffOwner returns a deployment whose owner a refuses the connections of b, which becomes the
// owner. The watch of a on the owner key is silent, so that only its lease tells it.
func cutOffOwner(t *testing.T, d *deployment) (a, b *testHost) {
	var muted *mutedOwnerStore
	d.wrapStore = func(host string, s store.Store) store.Store {
		if host != "a" {
			return s
		}
		muted = newMutedOwnerStore(s)
		return muted
	}
	a = d.host("a", "a1", 1)
	eventually(t, "a is the owner", func() bool { return a.Status().Term != nil && a.Status().Term.Confirmed })
	muted.mute()
	b = d.host("b", "b1", 1)
	eventually(t, "b knows the owner", func() bool { return b.log.has("owner changed") })
	return a, b
}

// Guards against an owner that lives on beside its successor: it was replaced since it refused
// connections, its lease stayed valid, and so it held itself for the owner until its watch told it.
func TestOwnerThatRefusesConnectionsLosesItsLease(t *testing.T) {
	d := newDeployment(t)
	a, b := cutOffOwner(t, d)
	a.refuse()
	eventually(t, "b is the owner", func() bool { return b.Status().Term != nil })
	eventually(t, "a knows that it is not", func() bool { return a.Status().Term == nil })
	d.workers.setFinishTasks(true)
	require.Equal(t, outcome.Accepted, b.Submit(ctx(t), record("0000000000000001")).Outcome.Kind)
	eventually(t, "the job has run", func() bool { return d.workers.startCount() == 1 })
}

// Guards against orders of two owners for one machine that take turns: the one that was replaced
// since it refused connections went on with its orders.
func TestReplacedOwnerOrdersNoUpkeepAfterItsSuccessor(t *testing.T) {
	d, machines := newWaveDeployment(t)
	a, b := cutOffOwner(t, d)
	eventually(t, "a orders the upkeep", func() bool { return len(machines.orders()) > 0 })
	first := machines.orders()[0]
	a.refuse()
	eventually(t, "b is the owner", func() bool { return b.Status().Term != nil })
	// The hosts read the configuration again now and then: they order nothing unless it is
	// confirmed, and the watches of a store whose clock stands still don't confirm it.
	polls := 0
	confirmConfig := func() {
		if polls%100 == 0 {
			d.store.Compact()
		}
		polls++
	}
	eventually(t, "b orders the upkeep", func() bool {
		confirmConfig()
		return slices.ContainsFunc(machines.orders(), func(fence uint64) bool { return fence > first })
	})
	seen := len(machines.orders())
	eventually(t, "more orders", func() bool { confirmConfig(); return len(machines.orders()) >= seen+3 })
	require.IsNonDecreasing(t, machines.orders(), "an order of the earlier owner came after one of the later")
}
