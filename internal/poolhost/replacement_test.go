package poolhost

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
)

// election is the elector of host b, in a store whose owner key other hosts write.
type election struct {
	*elector
	t     *testing.T
	store *memory.Store
	clock *clockwork.FakeClock
}

func newElection(t *testing.T) *election {
	clock := clockwork.NewFakeClock()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	kv := memory.New(clock)
	self := ownerValue{Host: "b", Address: "address-b", Incarnation: "b2", Weight: 1}
	return &election{elector: newElector(kv, clock, self, event.NewRecorder("b", clock, log, 8)), t: t, store: kv, clock: clock}
}

// write makes another host the owner, as if it had just been elected, and returns its lease.
func (e *election) write(owner ownerValue) store.LeaseID {
	lease, err := e.store.Grant(context.Background(), ownerLeaseTTL)
	require.NoError(e.t, err)
	_, err = e.store.Txn(context.Background(), store.Txn{
		Then: []store.Op{{Put: &store.Put{Key: store.PoolOwnerKey, Value: encodeOwner(owner), Lease: lease}}},
	})
	require.NoError(e.t, err)
	current, err := e.readOwnerKey(context.Background())
	require.NoError(e.t, err)
	e.ownerKeyChanged(current)
	return lease
}

// isElected tries once to be elected.
func (e *election) isElected() bool {
	fence, decided := e.tryElection(context.Background())
	require.True(e.t, decided)
	return fence != 0
}

func (e *election) isValid(lease store.LeaseID) bool {
	return e.store.KeepAlive(context.Background(), lease) == nil
}

var (
	ownerA      = ownerValue{Host: "a", Address: "address-a", Incarnation: "a1", Weight: 1}
	predecessor = ownerValue{Host: "b", Address: "address-b", Incarnation: "b1", Weight: 1}
	moved       = ownerValue{Host: "b", Address: "address-b-before", Incarnation: "b1", Weight: 1}
)

// What lets a host replace an owner whose lease is valid, and how much of that lease its term has
// to wait for.
func TestReplacementBeforeTheLeaseExpires(t *testing.T) {
	for name, c := range map[string]struct {
		owner     ownerValue
		suspected string
		replaced  bool
		leaseLeft time.Duration
	}{
		"no observation":                         {ownerA, "", false, 0},
		"it refuses connections":                 {ownerA, "a1", true, ownerLeaseTTL},
		"an earlier owner refused connections":   {ownerA, "a0", false, 0},
		"earlier incarnation at this address":    {predecessor, "", true, 0},
		"earlier incarnation at another address": {moved, "", true, ownerLeaseTTL},
	} {
		t.Run(name, func(t *testing.T) {
			e := newElection(t)
			lease := e.write(c.owner)
			e.suspectOwner(c.suspected)
			require.Equal(t, c.replaced, e.isElected())
			require.Equal(t, !c.replaced, e.isValid(lease), "the lease has ended before another owner is elected")
			require.Equal(t, c.leaseLeft, e.leaseLeft())
		})
	}
}

// Guards against two hosts that are cut off from each other and replace each other for as long as
// the cut lasts.
func TestRefusedConnectionsReplaceAnIncarnationOnce(t *testing.T) {
	e := newElection(t)
	e.write(ownerA)
	require.True(t, e.suspectOwner("a1"))
	require.True(t, e.isElected())
	lease := e.write(ownerA)
	require.False(t, e.suspectOwner("a1"))
	require.False(t, e.isElected())
	require.True(t, e.isValid(lease))
	restarted := ownerA
	restarted.Incarnation = "a2"
	e.write(restarted)
	require.True(t, e.suspectOwner("a2"), "another incarnation may have ended")
	require.True(t, e.isElected())
}

// Guards against an election while the earlier owner's lease may still be valid: the call that
// ends it had no response.
func TestNoElectionBeforeTheLeaseHasCertainlyEnded(t *testing.T) {
	e := newElection(t)
	e.write(ownerA)
	e.suspectOwner("a1")
	e.store.SetFaults(memory.Faults{LoseResponses: 1})
	_, decided := e.tryElection(context.Background())
	require.False(t, decided)
	e.clock.Advance(electionRetryInterval)
	require.True(t, e.isElected())
	require.Equal(t, ownerLeaseTTL, e.leaseLeft())
}

// Guards against a term that takes the end of a suspected owner's lease for its expiry: several
// hosts suspect it, and another one than the next owner has ended the lease.
func TestLeaseThatAnotherHostHasEndedIsNotExpired(t *testing.T) {
	e := newElection(t)
	lease := e.write(ownerA)
	e.suspectOwner("a1")
	require.NoError(t, e.store.Revoke(context.Background(), lease))
	e.clock.Advance(time.Second)
	require.True(t, e.isElected())
	require.Equal(t, ownerLeaseTTL, e.leaseLeft())
	e.clock.Advance(suspicionPeriod)
	require.Zero(t, e.leaseLeft())
}

// Guards against runs that are started again while the earlier owner may still renew their leases:
// its own lease was ended before its time.
func TestEarlyTakeoverWaitsForLeasesOfTheEarlierOwner(t *testing.T) {
	const workerLease = 6 * time.Second
	timing := termTiming(pool.DefaultTiming(workerLease, time.Hour), ownerLeaseTTL)
	lastRenewal := ownerLeaseTTL + pool.LeaseRenewalGrace
	require.Greater(t, timing.TakeoverWait, lastRenewal+workerLease*102/100)
	require.Equal(t, ownerLeaseTTL-leaseSafetyMargin, timing.OrderPermission)
	require.Equal(t, pool.DefaultTiming(workerLease, time.Hour).TakeoverWait, termTiming(pool.DefaultTiming(workerLease, time.Hour), 0).TakeoverWait)
}
