package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/client"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/problem"
	"github.com/chervilrun/chervilrun/internal/rpc"
)

// newFuzzHandler returns an entry host without executors, so that nothing can run.
func newFuzzHandler(f *testing.F) http.Handler {
	mux := http.NewServeMux()
	newTestServer(0, testView(), nil).Register(mux)
	return mux
}

// requireNotRun checks that a response is a problem document with outcome not_run, a
// reason and a status other than 500.
func requireNotRun(t *testing.T, recorder *httptest.ResponseRecorder) {
	response := recorder.Result()
	require.GreaterOrEqual(t, response.StatusCode, 400)
	require.NotEqual(t, http.StatusInternalServerError, response.StatusCode)
	var document problem.Document
	require.NoError(t, problem.Read(response, &document))
	require.Equal(t, outcome.NotRun, document.Outcome)
	require.NotEmpty(t, document.Reason)
}

func FuzzRequest(f *testing.F) {
	f.Add("scans", "Bearer "+testToken, "", "100", "application/json", "{}")
	f.Add("payouts", "Bearer "+testToken, "", "", "", "100 yen")
	f.Add("..", "Basic x", "\x00", "-1", strings.Repeat("x", 300), "")
	f.Add("scans", "Bearer "+testToken, "key", "99999999999999999999", "text/plain", "x")
	handler := newFuzzHandler(f)
	f.Fuzz(func(t *testing.T, service, token, key, deadline, contentType, body string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/services/x/requests", strings.NewReader(body))
		r.URL.Path = "/v1/services/" + service + "/requests"
		r.Header = http.Header{
			"Authorization":       {token},
			client.HeaderDeadline: {deadline},
			"Content-Type":        {contentType},
		}
		if key != "" && service != "payouts" {
			r.Header.Set(client.HeaderKey, key)
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		if recorder.Code == http.StatusTemporaryRedirect || recorder.Code == http.StatusMovedPermanently {
			return // http.ServeMux redirects to the cleaned path
		}
		requireNotRun(t, recorder)
	})
}

func FuzzJob(f *testing.F) {
	f.Add("POST", "", `{"service":"scans","shape":{"tasks":8,"per_task":{"accelerators":1},"adjacency":"rack"}}`)
	f.Add("POST", "", `{"service":"scans","shape":{"tasks":1e99}}`)
	f.Add("POST", "", "{\"payload\":\"\xff\"}")
	f.Add("GET", "wait=1s&revision=x", "")
	f.Add("GET", "wait=-1s&revision=9223372036854775807", "")
	f.Add("DELETE", "%", "")
	handler := newFuzzHandler(f)
	f.Fuzz(func(t *testing.T, method, query, body string) {
		path := "/v1/jobs/j-1"
		if method == http.MethodPost {
			path = "/v1/jobs"
		}
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
		r.Method = method
		r.URL.RawQuery = query
		r.Header.Set("Authorization", "Bearer "+testToken)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		response := recorder.Result()
		require.GreaterOrEqual(t, response.StatusCode, 400)
		require.Less(t, response.StatusCode, 504)
		var document problem.Document
		require.NoError(t, problem.Read(response, &document))
		require.Contains(t, []outcome.Kind{outcome.NotRun, outcome.Unknown}, document.Outcome)
	})
}

// FuzzLendSlots sends counts that only a faulty host sends. The lent slots must not
// exceed those of the executor.
func FuzzLendSlots(f *testing.F) {
	f.Add("host-1", "scans-0", int32(1), int32(1), int32(5))
	f.Add("host-0", "scans-0", int32(-1), int32(1<<30), int32(-7))
	f.Add("", "", int32(1<<30), int32(0), int32(1<<30))
	f.Fuzz(func(t *testing.T, from, executor string, held, inUse, wanted int32) {
		v := testView()
		v.Executors = []model.Executor{{ID: "scans-0", Service: "scans", Zone: "fukuoka", Endpoint: "127.0.0.1:1", State: model.HostLive, Slots: 8}}
		server := newTestServer(0, v, nil)
		for range 3 {
			response, err := server.Slots().LendSlots(t.Context(), &rpc.LendSlotsRequest{
				FromHost: from, Service: "scans", Wanted: wanted,
				Holdings: []*rpc.SlotHolding{{Executor: executor, Held: held, InUse: inUse}},
			})
			require.NoError(t, err)
			for _, h := range response.GetHoldings() {
				require.LessOrEqual(t, h.GetHeld(), int32(8))
			}
		}
	})
}
