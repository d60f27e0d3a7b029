package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/client"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/problem"
	"github.com/chervilrun/chervilrun/internal/rpc"
	standin "github.com/chervilrun/chervilrun/internal/standin/executor"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
)

func newSlotsHandler(slots rpc.Slots) http.Handler { return rpc.NewSlotsServer(slots) }

func send(b *testbed, host int, key, body string) (client.Answer, error) {
	service := "scans"
	if key != "" {
		service = "payouts"
	}
	return b.client(host).Do(context.Background(), client.Request{Service: service, Body: []byte(body), IdempotencyKey: key})
}

// TestCallersGetTheirOwnCompleteResponse sends repeatable requests while executors return late,
// mismatched, truncated, duplicated, corrupted or no responses. A caller must get the complete
// response to its own request or an error.
func TestCallersGetTheirOwnCompleteResponse(t *testing.T) {
	faults := map[string]standin.Faults{
		"none":      {},
		"crossed":   {MismatchedEveryN: 3},
		"truncated": {TruncatedEveryN: 3},
		"doubled":   {DuplicatedEveryN: 3},
		"corrupt":   {CorruptEveryN: 3},
		"lost":      {LostEveryN: 3},
		"fails":     {FailsEveryN: 3},
		"refuses":   {RefusesEveryN: 3},
		"late":      {LateEveryN: 3, LateMS: 20},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, testbedOptions{hosts: 2, executors: 3, slots: 8})
			b.setFaults(fault)
			var callers sync.WaitGroup
			for caller := range 4 {
				callers.Go(func() {
					for i := range 25 {
						body := fmt.Sprintf("scan %d of %d", i, caller)
						response, err := send(b, i%2, "", body)
						if err == nil && string(response.Body) != string(standin.Transform([]byte(body))) {
							t.Errorf("the response to %q is %q", body, response.Body)
						}
						if name == "none" && err != nil {
							t.Error(err)
						}
					}
				})
			}
			callers.Wait()
		})
	}
}

func TestWorkThatMayNotBeRepeatedRunsOnce(t *testing.T) {
	b := newTestbed(t, testbedOptions{hosts: 2, executors: 2, slots: 8})
	first, err := send(b, 0, "payout-1", "100 yen")
	require.NoError(t, err)
	require.False(t, first.Replayed)
	second, err := send(b, 1, "payout-1", "100 yen")
	require.NoError(t, err)
	require.True(t, second.Replayed)
	require.Equal(t, first.Body, second.Body)
	_, err = send(b, 1, "payout-1", "900 yen")
	requireOutcome(t, err, client.NotRun, "idempotency_key_reused")
	require.Equal(t, map[string]int{"payout-1": 1}, b.runs())
}

func TestRequestRefusedDuringStoreOutageDoesNotRun(t *testing.T) {
	b := newTestbed(t, testbedOptions{hosts: 2, executors: 1, slots: 8})
	b.store.SetFaults(memory.Faults{Down: true})
	_, err := send(b, 0, "payout-1", "100 yen")
	requireOutcome(t, err, client.NotRun, "store_unavailable")
	require.Empty(t, b.runs())
	b.store.SetFaults(memory.Faults{})
	_, err = send(b, 1, "payout-1", "100 yen")
	require.NoError(t, err)
	require.Equal(t, 1, b.runs()["payout-1"])
}

// TestLostResponseStaysUnknown sends a request whose response is lost. A later call
// with the same key must not run it again.
func TestLostResponseStaysUnknown(t *testing.T) {
	b := newTestbed(t, testbedOptions{hosts: 2, executors: 2, slots: 8})
	b.setFaults(standin.Faults{LostEveryN: 1})
	_, err := send(b, 0, "payout-1", "100 yen")
	requireOutcome(t, err, client.Unknown, "answer_lost")
	b.setFaults(standin.Faults{})
	_, err = send(b, 1, "payout-1", "100 yen")
	requireOutcome(t, err, client.Unknown, "answer_lost")
	require.Equal(t, 1, b.runs()["payout-1"])
}

// TestRefusedWorkMayRunLater checks that the key of a request that is known not to have
// run can be claimed again.
func TestRefusedWorkMayRunLater(t *testing.T) {
	b := newTestbed(t, testbedOptions{hosts: 2, executors: 2, slots: 8})
	b.setFaults(standin.Faults{RefusesEveryN: 1})
	_, err := send(b, 0, "payout-1", "100 yen")
	requireOutcome(t, err, client.NotRun, "overloaded")
	b.setFaults(standin.Faults{})
	response, err := send(b, 1, "payout-1", "100 yen")
	require.NoError(t, err)
	require.False(t, response.Replayed)
	require.Equal(t, 1, b.runs()["payout-1"])
}

// TestDisconnectedCallerGetsTheOutcomeLater disconnects the caller while its request runs. A
// later call with the same key must get the recorded outcome.
func TestDisconnectedCallerGetsTheOutcomeLater(t *testing.T) {
	b := newTestbed(t, testbedOptions{hosts: 1, executors: 1, slots: 8})
	b.setFaults(standin.Faults{Frozen: true})
	ctx, disconnect := context.WithCancel(context.Background())
	clientErr := make(chan error)
	go func() {
		_, err := b.client(0).Do(ctx, client.Request{Service: "payouts", IdempotencyKey: "payout-1"})
		clientErr <- err
	}()
	require.Eventually(t, func() bool { return b.runs()["payout-1"] == 1 }, 10*time.Second, time.Millisecond)
	disconnect()
	require.Error(t, <-clientErr)
	b.setFaults(standin.Faults{})
	require.Eventually(t, func() bool {
		response, err := send(b, 0, "payout-1", "")
		return err == nil && response.Replayed
	}, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, 1, b.runs()["payout-1"])
}

func TestBadInputIsRefusedAndNotRun(t *testing.T) {
	b := newTestbed(t, testbedOptions{hosts: 1, executors: 1, slots: 8})
	long := strings.Repeat("x", 1<<17)
	cases := map[string]struct {
		service string
		body    string
		header  http.Header
		status  int
		reason  outcome.Reason
	}{
		"no token":         {"scans", "", http.Header{"Authorization": nil}, 401, outcome.ReasonUnauthenticated},
		"wrong token":      {"scans", "", http.Header{"Authorization": {"Bearer x"}}, 401, outcome.ReasonUnauthenticated},
		"two tokens":       {"scans", "", http.Header{"Authorization": {"Bearer x", "Bearer y"}}, 401, outcome.ReasonUnauthenticated},
		"other's service":  {"scans", "", http.Header{"Authorization": {"Bearer " + otherToken}}, 404, outcome.ReasonUnknownService},
		"unknown service":  {"nothing", "", nil, 404, outcome.ReasonUnknownService},
		"path as service":  {"%2e%2e%2f", "", nil, 404, outcome.ReasonUnknownService},
		"too large":        {"scans", long, nil, 413, outcome.ReasonTooLarge},
		"no key":           {"payouts", "", nil, 400, outcome.ReasonKeyMissing},
		"long key":         {"payouts", "", http.Header{"Idempotency-Key": {long[:200]}}, 400, outcome.ReasonMalformed},
		"two keys":         {"payouts", "", http.Header{"Idempotency-Key": {"a", "b"}}, 400, outcome.ReasonMalformed},
		"key with a space": {"payouts", "", http.Header{"Idempotency-Key": {"a b"}}, 400, outcome.ReasonMalformed},
		"deadline passed":  {"scans", "", http.Header{"Chervil-Deadline-Ms": {"0"}}, 504, outcome.ReasonDeadline},
		"deadline is text": {"scans", "", http.Header{"Chervil-Deadline-Ms": {"soon"}}, 400, outcome.ReasonMalformed},
		"two deadlines":    {"scans", "", http.Header{"Chervil-Deadline-Ms": {"10", "20"}}, 400, outcome.ReasonMalformed},
		"encoded body":     {"scans", "x", http.Header{"Content-Encoding": {"gzip"}}, 400, outcome.ReasonMalformed},
		"wrong digest":     {"scans", "x", http.Header{"Content-Digest": {"sha-256=:AA==:"}}, 400, outcome.ReasonMalformed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			response := post(t, b.urls[0]+"/v1/services/"+c.service+"/requests", c.body, c.header)
			var document problem.Document
			require.NoError(t, problem.Read(response, &document))
			require.Equal(t, c.status, response.StatusCode, document)
			require.Equal(t, outcome.NotRun, document.Outcome)
			require.Equal(t, c.reason, document.Reason)
		})
	}
	require.Zero(t, b.executors[0].Stats().Requests)
	_, err := send(b, 0, "", "after the refusals")
	require.NoError(t, err)
}

func TestNoExecutorIsNotRun(t *testing.T) {
	edits := map[string]func(*view.View){
		"leaving":  func(v *view.View) { v.Executors[0].State = model.HostLeaving },
		"zone out": func(v *view.View) { v.Config.Zones[0].OutOfService = true },
		"zone not allowed": func(v *view.View) {
			v.Config.Services[0].Zones = []model.AvailabilityZoneID{"kumamoto"}
		},
	}
	for name, edit := range edits {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, testbedOptions{hosts: 1, executors: 1, slots: 8, edit: edit})
			_, err := send(b, 0, "", "x")
			requireOutcome(t, err, client.NotRun, "no_executor")
		})
	}
}

// TestDrainCompletesRequestsInFlight drains a host while a request runs. The request must
// complete and be recorded, and new requests must be refused.
func TestDrainCompletesRequestsInFlight(t *testing.T) {
	b := newTestbed(t, testbedOptions{hosts: 1, executors: 1, slots: 8})
	b.setFaults(standin.Faults{Frozen: true})
	requestErr := make(chan error, 1)
	go func() {
		_, err := send(b, 0, "payout-1", "100 yen")
		requestErr <- err
	}()
	require.Eventually(t, func() bool { return b.runs()["payout-1"] == 1 }, 10*time.Second, time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- b.servers[0].Drain(context.Background()) }()
	require.Eventually(t, func() bool {
		_, err := send(b, 0, "", "late")
		return err != nil
	}, 10*time.Second, time.Millisecond)
	_, err := send(b, 0, "", "late")
	requireOutcome(t, err, client.NotRun, "draining")
	b.setFaults(standin.Faults{})
	require.NoError(t, <-requestErr)
	require.NoError(t, <-drained)
	require.Zero(t, b.servers[0].once.Unrecorded())
}

// TestStalledBodyIsNotRun sends half of a body and then nothing. The request must be
// refused at its deadline.
func TestStalledBodyIsNotRun(t *testing.T) {
	b := newTestbed(t, testbedOptions{hosts: 1, executors: 1, slots: 8})
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	request, err := http.NewRequest(http.MethodPost, b.urls[0]+"/v1/services/scans/requests", reader)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+testToken)
	request.Header.Set(client.HeaderDeadline, "50")
	go func() { _, _ = writer.Write([]byte("half")) }()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var document problem.Document
	require.NoError(t, problem.Read(response, &document))
	require.Equal(t, outcome.ReasonDeadline, document.Reason)
	require.Zero(t, b.executors[0].Stats().Requests)
}

// TestFloodOfRefusalsKeepsEarlierEvents refuses many requests. Their events must not
// displace an earlier event from the event timeline.
func TestFloodOfRefusalsKeepsEarlierEvents(t *testing.T) {
	b := newTestbed(t, testbedOptions{hosts: 1, executors: 1, slots: 8})
	_, err := send(b, 0, "payout-1", "100 yen")
	require.NoError(t, err)
	for range event.DefaultRingEvents {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/v1/services/payouts/requests", nil)
		request.Header.Set("Authorization", "Bearer "+testToken)
		request.SetPathValue("service", "payouts")
		b.servers[0].serveRequest(recorder, request)
		require.Equal(t, http.StatusBadRequest, recorder.Code)
	}
	kept := b.servers[0].options.Events.Read(event.Filter{})
	require.Equal(t, event.RequestDone, kept[0].Number)
	require.Less(t, len(kept), event.DefaultRingEvents)
}
