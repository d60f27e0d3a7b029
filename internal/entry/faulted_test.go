package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/client"
	"github.com/chervilrun/chervilrun/internal/executor"
	standin "github.com/chervilrun/chervilrun/internal/standin/executor"
	"github.com/chervilrun/chervilrun/internal/store/memory"
)

const (
	faultedSeed         = 1
	faultedKeys         = 6000
	faultedCallers      = 32
	faultedHosts        = 3
	faultedKeysPerCrash = 1500
)

// crashableClient sends nothing once its host has crashed.
type crashableClient struct {
	executor.Client
	crashed *atomic.Bool
}

func (c crashableClient) Call(ctx context.Context, endpoint string, request executor.Request) (executor.Response, error) {
	if c.crashed.Load() {
		return executor.Response{}, errors.Wrap(executor.ErrUnreachable, "crashed")
	}
	return c.Client.Call(ctx, endpoint, request)
}

// crashableHost is an entry host that can crash. From then on it affects neither the
// store nor the executors, and its callers get no response.
type crashableHost struct {
	server  *httptest.Server
	entry   *Server
	store   *memory.Client
	crashed *atomic.Bool
}

func startCrashableHost(t *testing.T, b *testbed, number int) *crashableHost {
	h := &crashableHost{store: b.store.Client(), crashed: &atomic.Bool{}}
	h.entry = newTestServer(number, b.view, h.store)
	h.entry.options.Executors = crashableClient{h.entry.options.Executors, h.crashed}
	mux := http.NewServeMux()
	h.entry.Register(mux)
	h.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(w, r)
		if h.crashed.Load() {
			panic(http.ErrAbortHandler)
		}
	}))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { h.entry.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended; h.server.Close() })
	return h
}

func (h *crashableHost) crash() {
	h.crashed.Store(true)
	h.store.SetFaults(memory.Faults{Down: true})
}

// faultedRun is the state of the randomised test run.
type faultedRun struct {
	testbed *testbed
	mu      sync.Mutex
	hosts   []*crashableHost
	// outcomes maps each key to the outcome kinds of its calls.
	outcomes       map[string][]client.Kind
	wrongResponses int
	calls          int
}

func (f *faultedRun) host(i int) *crashableHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[i]
}

// TestFaultedRequestsRunAtMostOnce sends requests that may not be repeated, most of
// them several times, through three entry hosts, while executors and the store fail
// and entry hosts crash and are replaced.
func TestFaultedRequestsRunAtMostOnce(t *testing.T) {
	b := newTestbed(t, testbedOptions{hosts: 0, executors: 4, slots: 8})
	b.setFaults(standin.Faults{
		MismatchedEveryN: 23, TruncatedEveryN: 29, DuplicatedEveryN: 31, CorruptEveryN: 37,
		FailsEveryN: 41, LostEveryN: 19, RefusesEveryN: 17, LateEveryN: 43, LateMS: 20,
	})
	f := &faultedRun{testbed: b, outcomes: map[string][]client.Kind{}}
	for i := range faultedHosts {
		f.hosts = append(f.hosts, startCrashableHost(t, b, i))
	}
	keys := make(chan int)
	var callers sync.WaitGroup
	for c := range faultedCallers {
		callers.Go(func() { f.call(keys, rand.New(rand.NewPCG(faultedSeed, uint64(c)))) })
	}
	random := rand.New(rand.NewPCG(faultedSeed, faultedCallers))
	for key := range faultedKeys {
		f.injectFaults(t, key, random)
		keys <- key
	}
	close(keys)
	callers.Wait()
	f.check(t)
}

// injectFaults changes the faults of the store and crashes and replaces hosts.
func (f *faultedRun) injectFaults(t *testing.T, key int, random *rand.Rand) {
	const (
		storePeriod = 200
		downKeys    = 10
	)
	switch {
	case key%storePeriod == 0:
		f.testbed.store.SetFaults(memory.Faults{Down: true})
	case key%storePeriod == downKeys:
		f.testbed.store.SetFaults(memory.Faults{})
	case key%7 == 0:
		f.testbed.store.SetFaults(memory.Faults{LoseResponses: 1 + random.IntN(3)})
	}
	if key%faultedKeysPerCrash == faultedKeysPerCrash/2 {
		i := random.IntN(faultedHosts)
		f.host(i).crash()
		replacement := startCrashableHost(t, f.testbed, faultedHosts+key)
		f.mu.Lock()
		f.hosts[i] = replacement
		f.mu.Unlock()
	}
}

func (f *faultedRun) call(keys <-chan int, random *rand.Rand) {
	for number := range keys {
		key := fmt.Sprint("key-", number)
		body := fmt.Sprint("engrave ", number)
		for range 1 + random.IntN(3) {
			host := f.host(random.IntN(faultedHosts))
			c := &client.Client{BaseURL: host.server.URL, Token: testToken}
			response, err := c.Do(context.Background(), client.Request{
				Service:        "payouts",
				Body:           []byte(body),
				IdempotencyKey: key,
				Deadline:       time.Duration(50+random.IntN(2000)) * time.Millisecond,
			})
			f.recordCall(key, body, response, err)
		}
	}
}

func (f *faultedRun) recordCall(key, body string, response client.Answer, err error) {
	kind := client.Done
	var failed *client.Error
	if errors.As(err, &failed) {
		kind = failed.Kind
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	f.outcomes[key] = append(f.outcomes[key], kind)
	if kind == client.Done && string(response.Body) != string(standin.Transform([]byte(body))) {
		f.wrongResponses++
	}
}

// check asserts that nothing ran twice, that no response was wrong, that work whose calls
// all ended as "not run" has not run, and that work with a call that is done has run.
func (f *faultedRun) check(t *testing.T) {
	runs := f.testbed.runs()
	counts := map[client.Kind]int{}
	doubleRuns, falseOutcomes := 0, 0
	for key, kinds := range f.outcomes {
		if runs[key] > 1 {
			doubleRuns++
		}
		allNotRun, done := true, false
		for _, kind := range kinds {
			counts[kind]++
			allNotRun = allNotRun && kind == client.NotRun
			done = done || kind == client.Done
		}
		if (allNotRun && runs[key] > 0) || (done && runs[key] == 0) {
			falseOutcomes++
		}
	}
	t.Logf("%d calls for %d keys: %v", f.calls, len(f.outcomes), counts)
	require.GreaterOrEqual(t, f.calls, 10_000)
	require.Zero(t, doubleRuns, "keys that ran twice")
	require.Zero(t, f.wrongResponses, "wrong responses")
	require.Zero(t, falseOutcomes, "outcomes that contradict the runs")
	require.Greater(t, counts[client.Done], f.calls/3)
	require.Positive(t, counts[client.NotRun])
	require.Positive(t, counts[client.Unknown])
}
