package poolhost

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/store/mirror"
)

// silenceHost is a host that follows nothing by itself: tests pass it the states of the record.
type silenceHost struct {
	*Host
	clock *clockwork.FakeClock
}

func newSilenceHost(clock *clockwork.FakeClock) *silenceHost {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return &silenceHost{Host: &Host{Options: Options{Clock: clock, Events: event.NewRecorder("b", clock, log, 8)}}, clock: clock}
}

func (h *silenceHost) see(text string) {
	state := mirror.State{Keys: map[string]store.KeyValue{}, Changed: []string{store.PoolSilenceKey}}
	if text != "" {
		state.Keys[store.PoolSilenceKey] = store.KeyValue{Key: store.PoolSilenceKey, Value: []byte(text)}
	}
	h.handleSilence(state)
}

// until returns when the leases of a silence have run out, relative to the beginning.
func (h *silenceHost) until(begin time.Time, fence, silence uint64) (time.Duration, bool) {
	times := h.silenceTimes()
	at, seen := times.Until(fence, silence)
	return at.Sub(begin), seen
}

const (
	oneSilent  = `{"fence":7,"workers":[{"id":"w1","born":3,"silence":1,"lease_left_ms":4000}]}`
	twoSilent  = `{"fence":7,"workers":[{"id":"w1","born":3,"silence":1,"lease_left_ms":3900},{"id":"w2","born":3,"silence":2,"lease_left_ms":5000}]}`
	newSilence = `{"fence":7,"workers":[{"id":"w1","born":3,"silence":3,"lease_left_ms":4000}]}`
	otherOwner = `{"fence":9,"workers":[{"id":"w1","born":3,"silence":1,"lease_left_ms":4000}]}`
)

// The time at which a host first saw a silence holds while the record names it, whatever else
// changes there; another silence of the same worker counts anew, as does a host that restarts.
func TestTimesOfSilencesAreKeptOverVersionsOfTheRecord(t *testing.T) {
	clock := clockwork.NewFakeClock()
	begin := clock.Now()
	h := newSilenceHost(clock)
	h.see(oneSilent)
	clock.Advance(time.Second)
	h.see(twoSilent)
	first, seen := h.until(begin, 7, 1)
	require.True(t, seen)
	require.Equal(t, 4*time.Second, first)
	second, _ := h.until(begin, 7, 2)
	require.Equal(t, 6*time.Second, second)

	restarted := newSilenceHost(clock)
	restarted.see(twoSilent)
	first, _ = restarted.until(begin, 7, 1)
	require.Equal(t, 4900*time.Millisecond, first)

	clock.Advance(time.Second)
	h.see(newSilence) // the version without w1 was not seen
	_, seen = h.until(begin, 7, 1)
	require.False(t, seen)
	third, _ := h.until(begin, 7, 3)
	require.Equal(t, 6*time.Second, third)

	h.see(otherOwner)
	_, seen = h.until(begin, 7, 1)
	require.False(t, seen, "the numbers of another writer are others")
	fourth, _ := h.until(begin, 9, 1)
	require.Equal(t, 6*time.Second, fourth)
}

// Guards against a malformed or removed record that keeps the times of an earlier one.
func TestMalformedRecordOfSilencesIsNoRecord(t *testing.T) {
	for _, text := range []string{"", "{", `{"fence":7,"workers":[{"id":"","silence":1}]}`, `{"fence":7,"workers":[{"id":"w1","silence":1,"lease_left_ms":-1}]}`} {
		clock := clockwork.NewFakeClock()
		begin := clock.Now()
		h := newSilenceHost(clock)
		h.see(oneSilent)
		h.see(text)
		_, seen := h.until(begin, 7, 1)
		require.False(t, seen, "%q", text)
		clock.Advance(time.Second)
		h.see(oneSilent)
		at, _ := h.until(begin, 7, 1)
		require.Equal(t, 5*time.Second, at, "%q", text)
	}
}

// Guards against a record that is believed although an owner of an earlier version came in between,
// which renews silent workers: however short its term was, the history of the owner key shows it.
func TestRecordOfSilencesIsBelievedOnlyIfEachOwnerSinceKeepsToIt(t *testing.T) {
	aware := ownerValue{Host: "a", Incarnation: "a1", KeepsSilence: true}
	for name, c := range map[string]struct {
		between []ownerValue
		kept    bool
	}{
		"none in between":             {nil, true},
		"owners of this version":      {[]ownerValue{aware, aware}, true},
		"an owner of an earlier one":  {[]ownerValue{aware, ownerA, aware}, false},
		"only an owner of an earlier": {[]ownerValue{ownerA}, false},
	} {
		t.Run(name, func(t *testing.T) {
			kv := memory.New(clockwork.NewFakeClock())
			own := func(value ownerValue) store.Revision {
				result, err := kv.Txn(context.Background(), store.Txn{Then: []store.Op{{Put: &store.Put{Key: store.PoolOwnerKey, Value: encodeOwner(value)}}}})
				require.NoError(t, err)
				return result.Revision
			}
			remove := func() {
				_, err := kv.Txn(context.Background(), store.Txn{Then: []store.Op{{Delete: store.PoolOwnerKey}}})
				require.NoError(t, err)
			}
			own(ownerA)
			writer := own(aware)
			for _, value := range c.between {
				remove()
				own(value)
			}
			remove()
			fence := own(aware)
			own(ownerA) // a later one doesn't matter
			kept, err := silenceKept(context.Background(), kv, writer, fence)
			require.NoError(t, err)
			require.Equal(t, c.kept, kept)
		})
	}
}

// Guards against an election that never takes place: the owner key is read as a prefix, so that a key
// that begins with it would count as a holder.
func TestRecordOfSilencesIsNotReadAsTheOwnerKey(t *testing.T) {
	e := newElection(t)
	_, err := e.store.Txn(context.Background(), store.Txn{Then: []store.Op{{Put: &store.Put{Key: store.PoolSilenceKey, Value: []byte(oneSilent)}}}})
	require.NoError(t, err)
	current, err := e.readOwnerKey(context.Background())
	require.NoError(t, err)
	require.Nil(t, current)
	require.True(t, e.isElected())
}
