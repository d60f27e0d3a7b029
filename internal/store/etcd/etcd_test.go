package etcd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/standin/kv"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/etcd"
	"github.com/chervilrun/chervilrun/internal/store/etcd/wire"
	"github.com/chervilrun/chervilrun/internal/store/memory"
)

const callTimeout = 5 * time.Second

type fixture struct {
	clock  *clockwork.FakeClock
	server *kv.Server
	url    string
	store  *etcd.Store
}

func newFixture(t *testing.T) *fixture {
	clock := clockwork.NewFakeClock()
	server := kv.NewServer(memory.New(clock))
	httpServer := httptest.NewServer(server)
	t.Cleanup(httpServer.Close)
	return &fixture{clock, server, httpServer.URL, etcd.New([]string{httpServer.URL}, "host-1/test", callTimeout)}
}

// putIfAbsent returns a transaction that writes key or, if key exists, reads it and a key
// that does not exist.
func putIfAbsent(key, value string, lease store.LeaseID) store.Txn {
	return store.Txn{
		If:   []store.Compare{store.Absent(key)},
		Then: []store.Op{{Put: &store.Put{Key: key, Value: []byte(value), Lease: lease}}},
		Else: []store.Op{{Get: key}, {Get: "none"}},
	}
}

func TestTransactionsAndRanges(t *testing.T) {
	f := newFixture(t)
	first, err := f.store.Txn(t.Context(), putIfAbsent("k", "\x00value", 0))
	require.NoError(t, err)
	require.True(t, first.Succeeded)
	second, err := f.store.Txn(t.Context(), putIfAbsent("k", "other", 0))
	require.NoError(t, err)
	require.False(t, second.Succeeded)
	require.Equal(t, "\x00value", string(second.Gets[0].Value))
	require.Equal(t, first.Revision, second.Gets[0].ModRevision)
	require.Nil(t, second.Gets[1])
	_, err = f.store.Txn(t.Context(), putIfAbsent("l", "", 0))
	require.NoError(t, err)
	page, err := f.store.Range(t.Context(), "k", "m", 1)
	require.NoError(t, err)
	require.True(t, page.More)
	require.Equal(t, "k", page.KeyValues[0].Key)
	_, err = f.store.Txn(t.Context(), store.Txn{Then: []store.Op{{Delete: "k"}}})
	require.NoError(t, err)
	page, err = f.store.Range(t.Context(), "k", "m", 0)
	require.NoError(t, err)
	require.Len(t, page.KeyValues, 1)
}

func TestLeasesAndWatches(t *testing.T) {
	f := newFixture(t)
	w, err := f.store.Watch(t.Context(), "a/", 0)
	require.NoError(t, err)
	require.Empty(t, (<-w.Batches()).Changes)
	lease, err := f.store.Grant(t.Context(), 1500*time.Millisecond)
	require.NoError(t, err)
	_, err = f.store.Txn(t.Context(), putIfAbsent("a/k", "v", lease))
	require.NoError(t, err)
	require.Equal(t, "v", string((<-w.Batches()).Changes[0].Value))
	f.clock.Advance(1900 * time.Millisecond)
	require.NoError(t, f.store.KeepAlive(t.Context(), lease), "the lease should have been rounded up to whole seconds")
	f.clock.Advance(2 * time.Second)
	require.True(t, (<-w.Batches()).Changes[0].Deleted)
	require.ErrorIs(t, f.store.KeepAlive(t.Context(), lease), store.ErrLeaseGone)
	require.ErrorIs(t, f.store.Revoke(t.Context(), lease), store.ErrLeaseGone)
	_, err = f.store.Txn(t.Context(), putIfAbsent("a/k", "v", lease))
	require.ErrorIs(t, err, store.ErrLeaseGone)
}

func TestWatchesEndWithTheirContextOrTheServer(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	w, err := f.store.Watch(ctx, "a/", 0)
	require.NoError(t, err)
	cancel()
	for range w.Batches() {
	}
	w, err = f.store.Watch(t.Context(), "a/", 0)
	require.NoError(t, err)
	f.server.SetFault(kv.Fault{BreakWatches: true})
	for range w.Batches() {
	}
	require.ErrorIs(t, w.Err(), store.ErrUnavailable)
	_, err = f.store.Txn(t.Context(), putIfAbsent("k", "v", 0))
	require.NoError(t, err)
	w, err = f.store.Watch(t.Context(), "a/", 0)
	require.NoError(t, err)
	f.server.SetFault(kv.Fault{Compact: true})
	for range w.Batches() {
	}
	require.ErrorIs(t, w.Err(), store.ErrCompacted)
	_, err = f.store.Watch(t.Context(), "a/", 1)
	require.ErrorIs(t, err, store.ErrCompacted)
}

func TestFailuresTellWhetherTheWriteCanHaveHappened(t *testing.T) {
	f := newFixture(t)
	f.server.SetFault(kv.Fault{Client: "host-1/", LoseResponses: 1})
	_, err := f.store.Txn(t.Context(), putIfAbsent("k", "v", 0))
	require.ErrorIs(t, err, store.ErrResponseLost)
	page, err := f.store.Range(t.Context(), "k", "l", 0)
	require.NoError(t, err)
	require.Len(t, page.KeyValues, 1)

	f.server.SetFault(kv.Fault{Client: "host-1/", Down: true})
	_, err = f.store.Txn(t.Context(), putIfAbsent("m", "v", 0))
	require.ErrorIs(t, err, store.ErrUnavailable)
	f.server.SetFault(kv.Fault{})
	_, err = f.store.Txn(t.Context(), putIfAbsent("m", "v", 0))
	require.NoError(t, err, "the zero Fault should clear the faults of all clients")

	f.server.SetFault(kv.Fault{Down: true})
	_, err = f.store.Txn(t.Context(), putIfAbsent("l", "v", 0))
	require.ErrorIs(t, err, store.ErrUnavailable)

	f.server.SetFault(kv.Fault{Frozen: true})
	shortTimeout := etcd.New([]string{f.url}, "host-1/test", time.Millisecond)
	_, err = shortTimeout.Txn(t.Context(), putIfAbsent("l", "v", 0))
	require.ErrorIs(t, err, store.ErrResponseLost)
	_, err = shortTimeout.Range(t.Context(), "l", "m", 0)
	require.ErrorIs(t, err, store.ErrUnavailable)
	_, err = shortTimeout.Watch(t.Context(), "l", 0)
	require.ErrorIs(t, err, store.ErrUnavailable)
	f.server.SetFault(kv.Fault{})

	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
	twoURLs := etcd.New([]string{unreachable.URL, f.url}, "host-1/test", callTimeout)
	_, err = twoURLs.Txn(t.Context(), putIfAbsent("l", "v", 0))
	require.ErrorIs(t, err, store.ErrUnavailable, "nothing should have been sent")
	_, err = twoURLs.Txn(t.Context(), putIfAbsent("l", "v", 0))
	require.NoError(t, err, "the next URL should be used")
}

// Guards against a redirect being followed: a connection that is refused there does not show that the
// write had no effect.
func TestRedirectOfAWriteIsALostResponse(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	redirecting := httptest.NewServer(http.RedirectHandler(closed.URL, http.StatusTemporaryRedirect))
	defer redirecting.Close()
	s := etcd.New([]string{redirecting.URL}, "host-1/test", callTimeout)
	_, err := s.Txn(t.Context(), putIfAbsent("l", "v", 0))
	require.ErrorIs(t, err, store.ErrResponseLost)
}

// TestStatusCodes checks that the stand-in returns the status codes and messages of etcd.
func TestStatusCodes(t *testing.T) {
	f := newFixture(t)
	tooManyOps := wire.TxnRequest{}
	for i := range store.MaxTxnOps + 1 {
		key := []byte(strings.Repeat("k", i+1))
		tooManyOps.Success = append(tooManyOps.Success, wire.RequestOp{Put: &wire.PutRequest{Key: key}})
	}
	putK := wire.RequestOp{Put: &wire.PutRequest{Key: []byte("k")}}
	cases := map[string]struct {
		path    string
		request any
		fault   kv.Fault
		status  int
		message string // not checked if empty
	}{
		"range":                    {wire.PathRange, wire.RangeRequest{Key: []byte("k")}, kv.Fault{}, 200, ""},
		"malformed":                {wire.PathRange, "not an object", kv.Fault{}, 400, ""},
		"unknown lease":            {wire.PathRevoke, wire.LeaseRequest{ID: 7}, kv.Fault{}, 404, wire.MessageLeaseNotFound},
		"renewal of unknown lease": {wire.PathKeepAlive, wire.LeaseRequest{ID: 7}, kv.Fault{}, 200, ""},
		"too many operations":      {wire.PathTxn, tooManyOps, kv.Fault{}, 400, wire.MessageTooManyOps},
		"duplicate key":            {wire.PathTxn, wire.TxnRequest{Success: []wire.RequestOp{putK, putK}}, kv.Fault{}, 400, wire.MessageDuplicateKey},
		"down":                     {wire.PathRange, wire.RangeRequest{Key: []byte("k")}, kv.Fault{Down: true}, 503, wire.MessageNoLeader},
		"unknown path":             {"/v3/none", struct{}{}, kv.Fault{}, 404, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f.server.SetFault(c.fault)
			body, err := json.Marshal(c.request)
			require.NoError(t, err)
			response, err := http.Post(f.url+c.path, "application/json", bytes.NewReader(body))
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, c.status, response.StatusCode)
			if c.message != "" {
				var e wire.Error
				require.NoError(t, json.NewDecoder(response.Body).Decode(&e))
				require.Equal(t, c.message, e.Message)
			}
		})
	}
}
