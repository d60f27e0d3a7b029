// Command benchmark measures an entry host over loopback, in one process with
// stand-in executors: the latency it adds to a direct call of the executor, and its
// throughput in requests per second. It prints one JSON object per line.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/chervilrun/chervilrun/internal/auth"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/entry"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/executor"
	"github.com/chervilrun/chervilrun/internal/model"
	standin "github.com/chervilrun/chervilrun/internal/standin/executor"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
)

// The load, the deployment and the names that the benchmark uses.
const (
	executors         = 50
	slots             = 8
	connections       = 6 // idle connections kept open to each executor
	callers           = 64
	warmUp            = 2000
	bodyBytes         = 512
	token             = "benchmark-token"
	serviceName       = model.ServiceID("scans")
	nonRepeatableName = model.ServiceID("payouts")
	// onceInterval is the minimum time between two writes of single-execution records, as
	// chervil-entry has it by default.
	onceInterval = 50 * time.Millisecond
)

// measurement is one measured value, printed as one line of JSON.
type measurement struct {
	Metric string  `json:"metric"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
}

func main() {
	unloaded := flag.Int("unloaded", 20_000, "requests sent one after another to an executor directly, and as many through the entry host")
	loaded := flag.Int("loaded", 200_000, "requests sent by concurrent callers")
	nonRepeatable := flag.Int("recorded", 5_000, "requests that may not be repeated")
	profile := flag.String("profile", "", "`path` of a CPU profile to write")
	flag.Parse()
	if *profile != "" {
		file, err := os.Create(*profile)
		if err == nil {
			err = pprof.StartCPUProfile(file)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "benchmark:", err)
			os.Exit(1)
		}
		defer pprof.StopCPUProfile()
	}
	if err := run(*unloaded, *loaded, *nonRepeatable); err != nil {
		fmt.Fprintln(os.Stderr, "benchmark:", err)
		os.Exit(1)
	}
}

func run(unloaded, loaded, nonRepeatable int) error {
	v := benchmarkView()
	for i := range executors {
		server := standin.NewServer(standin.Options{Slots: slots, Clock: clockwork.NewRealClock()})
		address, err := serve(server)
		if err != nil {
			return err
		}
		for _, service := range []model.ServiceID{serviceName, nonRepeatableName} {
			v.Executors = append(v.Executors, model.Executor{
				ID: model.ExecutorID(fmt.Sprint(service, "-", i)), Service: service, Zone: "zone",
				Endpoint: address, State: model.HostLive, Slots: slots,
			})
		}
	}
	countedStore := &countingStore{Store: memory.New(clockwork.NewRealClock())}
	address, err := startEntry(v, countedStore)
	if err != nil {
		return err
	}
	direct := target{url: "http://" + v.Executors[0].Endpoint + executor.Path(serviceName)}
	viaEntry := target{url: "http://" + address + "/v1/services/" + string(serviceName) + "/requests"}
	if err := measureUnloaded(direct, viaEntry, unloaded); err != nil {
		return err
	}
	if err := measureLoaded(viaEntry, loaded, ""); err != nil {
		return err
	}
	return measureNonRepeatable(address, countedStore, nonRepeatable)
}

// countingStore is a store.Store that counts its transactions.
type countingStore struct {
	store.Store
	calls atomic.Int64
}

// Txn implements store.Store.
func (s *countingStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	s.calls.Add(1)
	return s.Store.Txn(ctx, txn)
}

// measureNonRepeatable sends requests that may not be repeated, each with its own key.
func measureNonRepeatable(address string, countedStore *countingStore, requests int) error {
	nonRepeatable := target{url: "http://" + address + "/v1/services/" + string(nonRepeatableName) + "/requests", keyed: true}
	before, start := countedStore.calls.Load(), time.Now()
	if err := measureLoaded(nonRepeatable, requests, "once_"); err != nil {
		return err
	}
	calls := float64(countedStore.calls.Load() - before)
	printMeasurement(measurement{"once_store_calls_per_second", calls / time.Since(start).Seconds(), "1/s"})
	printMeasurement(measurement{"once_store_calls_per_request", calls / float64(requests), "1"})
	return nil
}

func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

func benchmarkView() *view.View {
	return &view.View{Serial: 1, Config: &config.Cluster{
		Version:       1,
		Zones:         []model.AvailabilityZone{{ID: "zone"}},
		Organisations: []model.Organisation{{ID: "o", Weight: 1, TokenSHA256: []string{auth.Hash(token)}}},
		Services: []model.Service{
			{ID: serviceName, Organisation: "o", Repeatable: true, TimeoutMS: 10_000, MaxBodyBytes: 1 << 16},
			{ID: nonRepeatableName, Organisation: "o", TimeoutMS: 10_000, MaxBodyBytes: 1 << 16},
		},
	}}
}

// fixedSource is a view.Source whose view does not change.
type fixedSource struct{ current *view.View }

func (s fixedSource) Current() *view.View             { return s.current }
func (s fixedSource) Confirmation() view.Confirmation { return view.Confirmation{} }
func (s fixedSource) Changed() <-chan struct{}        { return nil }

func startEntry(v *view.View, recordStore store.Store) (string, error) {
	log := logrus.New()
	clock := clockwork.NewRealClock()
	server := entry.New(entry.Options{
		Host: "host", Incarnation: "benchmark", Clock: clock, Seed: 1,
		Source:         fixedSource{v},
		Executors:      executor.NewHTTPClient(slots, connections),
		Store:          recordStore,
		Events:         event.NewRecorder("benchmark", clock, log, event.DefaultRingEvents),
		Metrics:        prometheus.NewRegistry(),
		InternalClient: http.DefaultClient,
		MaxConnections: slots,
		QueueLimit:     callers,
		OnceInterval:   onceInterval,
	})
	mux := http.NewServeMux()
	server.Register(mux)
	go server.Run(context.Background())
	return serve(mux)
}

// target is a URL to which requests are sent, of an executor or of an entry host.
type target struct {
	url   string
	keyed bool
}

var nextKey atomic.Int64

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}

var body = bytes.Repeat([]byte("x"), bodyBytes)

func (t target) call() (time.Duration, error) {
	request, err := http.NewRequest(http.MethodPost, t.url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set(executor.HeaderAttempt, "attempt")
	if t.keyed {
		request.Header.Set("Idempotency-Key", fmt.Sprint("key-", nextKey.Add(1)))
	}
	sentAt := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	elapsed := time.Since(sentAt)
	if err == nil && !bytes.Equal(responseBody, standin.Transform(body)) {
		err = errors.Errorf("status %d, a wrong response of %d bytes", response.StatusCode, len(responseBody))
	}
	return elapsed, err
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

// measureUnloaded sends one request at a time, alternately to the executor and through
// the entry host.
func measureUnloaded(direct, viaEntry target, requests int) error {
	times := []*hdrhistogram.Histogram{newHistogram(), newHistogram()}
	for i := range requests + warmUp {
		for index, t := range []target{direct, viaEntry} {
			elapsed, err := t.call()
			if err != nil {
				return err
			}
			if i >= warmUp {
				_ = times[index].RecordValue(elapsed.Microseconds())
			}
		}
	}
	for _, quantile := range []float64{50, 99} {
		name := fmt.Sprintf("p%.0f", quantile)
		directMS := milliseconds(times[0], quantile)
		viaEntryMS := milliseconds(times[1], quantile)
		printMeasurement(measurement{"direct_" + name, directMS, "ms"})
		printMeasurement(measurement{"through_entry_" + name, viaEntryMS, "ms"})
		printMeasurement(measurement{"added_" + name, viaEntryMS - directMS, "ms"})
	}
	return nil
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// measureLoaded sends requests from concurrent callers, each as soon as its previous one
// has completed.
func measureLoaded(t target, requests int, prefix string) error {
	var group sync.WaitGroup
	failures := make(chan error, callers)
	times := make([]*hdrhistogram.Histogram, callers)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for c := range callers {
		times[c] = newHistogram()
		group.Go(func() {
			for range requests / callers {
				requestTime, err := t.call()
				if err != nil {
					failures <- err
					return
				}
				_ = times[c].RecordValue(requestTime.Microseconds())
			}
		})
	}
	group.Wait()
	elapsed := time.Since(start)
	runtime.ReadMemStats(&after)
	close(failures)
	if err := <-failures; err != nil {
		return err
	}
	all := newHistogram()
	for _, h := range times {
		all.Merge(h)
	}
	printMeasurement(measurement{prefix + "requests_per_second", float64(all.TotalCount()) / elapsed.Seconds(), "1/s"})
	printMeasurement(measurement{prefix + "loaded_p50", milliseconds(all, 50), "ms"})
	printMeasurement(measurement{prefix + "loaded_p99", milliseconds(all, 99), "ms"})
	printMeasurement(measurement{prefix + "allocations_per_request", float64(after.Mallocs-before.Mallocs) / float64(all.TotalCount()), "1"})
	return nil
}

func printMeasurement(m measurement) {
	if err := json.NewEncoder(os.Stdout).Encode(m); err != nil {
		panic(errors.Wrap(err, "benchmark: standard output"))
	}
}
