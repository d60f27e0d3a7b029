package command_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/poolhost"
)

// fakePool serves the status of two hosts of a pool, of which the second is the owner.
type fakePool struct {
	host, owner *httptest.Server
}

func newFakePool() *fakePool {
	f := &fakePool{}
	f.owner = httptest.NewServer(poolHandler(poolhost.Status{
		Host: "host-b", ConfigVersion: 7, ConfigAgeMS: 90, ConfigConfirmed: true, FailingCalls: []string{}, Owner: "host-b",
		Term: &poolhost.TermStatus{Fence: 12, AgeMS: 42_000, Confirmed: true, Pool: pool.Report{
			Fence:   12,
			Workers: pool.WorkersReport{Listed: 48, Usable: 46, Silent: 1, Draining: 1, Slow: 2, Capacity: 368, Free: 12},
			Queues: []pool.QueueReport{
				{Queue: "previews", Priority: 0, Waiting: 1, Running: 4, OldestMS: 300},
				{Queue: "proofs", Priority: 2, Waiting: 9, Running: 6, OldestMS: 21_400},
			},
			Organisations: []pool.OrganisationReport{
				{Organisation: "bugac", Guaranteed: 24, Urgent: 16, UrgentWaiting: 8, Use: 120},
				{Organisation: "maros", Use: 236},
			},
			Reclaims: []pool.ReclaimReport{{For: "bugac", From: "maros", Runs: 3, CoreSeconds: 411.6}},
		}},
	}, poolhost.ExplainResponse{Owner: true, Found: true, Explanation: &pool.Explanation{
		Job: "2b07c2306a639cb5", Organisation: "maros", Queue: "proofs", State: "running",
		Accepted: time.Date(2026, 7, 22, 17, 50, 1, 0, time.UTC),
		Steps: []pool.StepExplanation{
			{Step: 0, Tasks: 12, Done: 10, Running: 2, Runs: 13, Failures: 1},
			{Step: 1, Tasks: 4, Gang: true, Waiting: 1, Why: "step 0 has 2 parts that are not done"},
		},
	}}))
	ownerAddress := strings.TrimPrefix(f.owner.URL, "http://")
	f.host = httptest.NewServer(poolHandler(poolhost.Status{
		Host: "host-a", ConfigVersion: 7, ConfigAgeMS: 140, ConfigConfirmed: true, FailingCalls: []string{"workers"}, Owner: "host-b", OwnerAddress: ownerAddress,
	}, poolhost.ExplainResponse{OwnerAddress: ownerAddress}))
	return f
}

// poolHandler serves the status of a host and the explanation of at most one job.
func poolHandler(status poolhost.Status, explained poolhost.ExplainResponse) http.Handler {
	write := func(w http.ResponseWriter, response any) { _ = json.NewEncoder(w).Encode(response) }
	mux := http.NewServeMux()
	mux.HandleFunc(poolhost.StatusPath, func(w http.ResponseWriter, _ *http.Request) { write(w, status) })
	mux.HandleFunc(poolhost.ExplainPath, func(w http.ResponseWriter, r *http.Request) {
		if explained.Explanation != nil && !strings.HasSuffix(r.URL.Path, string(explained.Explanation.Job)) {
			write(w, poolhost.ExplainResponse{Owner: true})
			return
		}
		write(w, explained)
	})
	return mux
}
