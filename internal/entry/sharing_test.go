package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/client"
	"github.com/chervilrun/chervilrun/internal/model"
	standin "github.com/chervilrun/chervilrun/internal/standin/executor"
	"github.com/chervilrun/chervilrun/internal/view"
)

// mutableSource is a view.Source whose view a test can replace.
type mutableSource struct {
	mu      sync.Mutex
	current *view.View
	changed chan struct{}
}

func (s *mutableSource) Current() *view.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *mutableSource) Confirmation() view.Confirmation { return view.Confirmation{} }

func (s *mutableSource) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *mutableSource) set(v *view.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = v
	close(s.changed)
	s.changed = make(chan struct{})
}

// TestHotHostUsesTheSlotsOfOthers sends all requests to one of three hosts. It must use
// every executor, with slots borrowed from the other hosts.
func TestHotHostUsesTheSlotsOfOthers(t *testing.T) {
	b := newTestbed(t, testbedOptions{hosts: 3, executors: 6, slots: 2})
	b.setFaults(standin.Faults{ServiceMS: 2})
	var callers sync.WaitGroup
	for c := range 12 {
		callers.Go(func() {
			for i := range 40 {
				if _, err := send(b, 0, "", fmt.Sprint(c, "/", i)); err != nil {
					t.Error(err)
				}
			}
		})
	}
	callers.Wait()
	used := 0
	for _, e := range b.executors {
		if e.Stats().Requests > 0 {
			used++
		}
	}
	require.Equal(t, len(b.executors), used, "executors that served the hot host")
}

// TestHostWithoutPeersUsesItsShare makes all other hosts unreachable. The remaining host
// must use its own share of the slots on every executor.
func TestHostWithoutPeersUsesItsShare(t *testing.T) {
	b := newTestbed(t, testbedOptions{hosts: 1, executors: 6, slots: 6, edit: func(v *view.View) {
		for i := range 2 {
			dead := httptest.NewServer(http.NotFoundHandler())
			v.Members = append(v.Members, view.Member{
				Host:         model.HostID(fmt.Sprint("dead-", i)),
				EntryAddress: dead.Listener.Addr().String(),
			})
			dead.Close()
		}
	}})
	b.setFaults(standin.Faults{ServiceMS: 2})
	var callers sync.WaitGroup
	for range 48 {
		callers.Go(func() {
			for range 5 {
				if _, err := send(b, 0, "", "x"); err != nil {
					t.Error(err)
				}
			}
		})
	}
	callers.Wait()
	for i, e := range b.executors {
		require.Positive(t, e.Stats().Requests, i)
	}
}

// TestLeavingExecutorGetsNoNewWork marks an executor as leaving while it runs a request.
// The request must complete, and no new request may be sent there.
func TestLeavingExecutorGetsNoNewWork(t *testing.T) {
	b := newTestbed(t, testbedOptions{hosts: 0, executors: 2, slots: 8})
	source := &mutableSource{current: b.view, changed: make(chan struct{})}
	server := newTestServer(0, b.view, b.store.Client())
	server.options.Source = source
	mux := http.NewServeMux()
	server.Register(mux)
	listener := httptest.NewServer(mux)
	t.Cleanup(listener.Close)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { server.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	c := &client.Client{BaseURL: listener.URL, Token: testToken}

	b.setFaults(standin.Faults{Frozen: true})
	results := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := c.Do(ctx, client.Request{Service: "scans", Deadline: 9 * time.Second})
			results <- err
		}()
	}
	received := func() int64 { return b.executors[0].Stats().Requests + b.executors[1].Stats().Requests }
	require.Eventually(t, func() bool { return received() == 2 }, 10*time.Second, time.Millisecond)

	next := *b.view
	next.Serial++
	next.Executors = nil
	for _, e := range b.view.Executors {
		if e.ID == "scans-0" {
			e.State = model.HostLeaving
		}
		next.Executors = append(next.Executors, e)
	}
	source.set(&next)
	require.Eventually(t, func() bool { return server.router.Loads()[0].Executors+server.router.Loads()[1].Executors == 3 }, 10*time.Second, time.Millisecond)
	before := b.executors[0].Stats().Requests
	b.setFaults(standin.Faults{})
	require.NoError(t, <-results)
	require.NoError(t, <-results)
	for range 50 {
		_, err := c.Do(ctx, client.Request{Service: "scans"})
		require.NoError(t, err)
	}
	require.Equal(t, before, b.executors[0].Stats().Requests)
}
