package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"github.com/chervilrun/chervilrun/client"
	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/problem"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
)

// fakeOwner is a fake scheduler that owns one zone.
type fakeOwner struct {
	zone string

	mu              sync.Mutex
	jobs            map[string]job.Record
	refusalReason   outcome.Reason
	responsesToLose int
	reasonAfterLoss outcome.Reason // refusalReason after a lost response, if not empty
	free            int32
	changed         chan struct{}
}

func newFakeOwner(zone string, free int32) *fakeOwner {
	return &fakeOwner{zone: zone, jobs: map[string]job.Record{}, free: free, changed: make(chan struct{})}
}

func (f *fakeOwner) SubmitJob(_ context.Context, request *rpc.SubmitJobRequest) (*rpc.SubmitJobResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var spec model.JobSpec
	if err := json.Unmarshal(request.GetSpecJson(), &spec); err != nil || request.GetZone() != f.zone {
		return nil, twirp.InvalidArgumentError("spec_json", "wrong")
	}
	if f.refusalReason != "" {
		return &rpc.SubmitJobResponse{Outcome: &rpc.Outcome{Kind: string(outcome.NotRun), Reason: string(f.refusalReason)}}, nil
	}
	record, known := f.jobs[string(spec.ID)]
	if !known {
		record = job.Record{Spec: spec, Zone: model.AvailabilityZoneID(f.zone), State: job.Queued, Revision: 1}
		f.jobs[string(spec.ID)] = record
	}
	if f.responsesToLose > 0 {
		f.responsesToLose--
		f.refusalReason = f.reasonAfterLoss
		return nil, twirp.InternalError("the response is lost")
	}
	return &rpc.SubmitJobResponse{Outcome: &rpc.Outcome{Kind: string(outcome.Accepted)}, JobJson: record.Encode()}, nil
}

func (f *fakeOwner) GetJob(ctx context.Context, request *rpc.GetJobRequest) (*rpc.GetJobResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetWaitMs())*time.Millisecond)
	defer cancel()
	for {
		f.mu.Lock()
		record, known := f.jobs[request.GetJob()]
		changed := f.changed
		f.mu.Unlock()
		if !known || string(record.Spec.Organisation) != request.GetOrganisation() {
			return &rpc.GetJobResponse{}, nil
		}
		if record.Revision > request.GetKnownRevision() || ctx.Err() != nil {
			return &rpc.GetJobResponse{Found: true, JobJson: record.Encode()}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (f *fakeOwner) CancelJob(_ context.Context, request *rpc.CancelJobRequest) (*rpc.CancelJobResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record, known := f.jobs[request.GetJob()]
	if !known || string(record.Spec.Organisation) != request.GetOrganisation() {
		return &rpc.CancelJobResponse{}, nil
	}
	record.State, record.Revision = job.Cancelled, record.Revision+1
	f.jobs[request.GetJob()] = record
	close(f.changed)
	f.changed = make(chan struct{})
	return &rpc.CancelJobResponse{Found: true, Outcome: &rpc.Outcome{Kind: string(outcome.Done)}, JobJson: record.Encode()}, nil
}

func (f *fakeOwner) Digest(context.Context, *rpc.DigestRequest) (*rpc.DigestResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &rpc.DigestResponse{Zones: []*rpc.ZoneDigest{{Zone: f.zone, Accepting: true, FreeAccelerators: f.free, TotalAccelerators: f.free}}}, nil
}

func (f *fakeOwner) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.jobs)
}

// newJobTestbed returns a testbed with an owner for each of two zones.
func newJobTestbed(t *testing.T) (*testbed, map[string]*fakeOwner) {
	owners := map[string]*fakeOwner{"fukuoka": newFakeOwner("fukuoka", 64), "kumamoto": newFakeOwner("kumamoto", 16)}
	b := newTestbed(t, testbedOptions{hosts: 2, executors: 1, slots: 1, edit: func(v *view.View) {
		for zone, owner := range owners {
			listener := httptest.NewServer(rpc.NewSchedulerServer(owner))
			t.Cleanup(listener.Close)
			id := model.AvailabilityZoneID(zone)
			v.Owners[id] = view.Owner{Zone: id, SchedulerAddress: listener.Listener.Addr().String(), Epoch: 1}
		}
	}})
	for _, server := range b.servers {
		require.Eventually(t, func() bool {
			server.zones.mu.Lock()
			defer server.zones.mu.Unlock()
			return len(server.zones.digests) == len(owners)
		}, 10*time.Second, time.Millisecond)
	}
	return b, owners
}

func jobRequest(tasks int) client.JobRequest {
	return client.JobRequest{
		Service: "scans",
		Shape:   client.Shape{Tasks: tasks, PerTask: client.Resources{Accelerators: 1}, Adjacency: "rack"},
	}
}

func TestJobLifecycle(t *testing.T) {
	b, owners := newJobTestbed(t)
	ctx := context.Background()
	submitted, err := b.client(0).SubmitJob(ctx, jobRequest(8), "")
	require.NoError(t, err)
	require.Equal(t, "kumamoto", submitted.Zone, "the fuller of the zones that can place it")
	large, err := b.client(0).SubmitJob(ctx, jobRequest(32), "")
	require.NoError(t, err)
	require.Equal(t, "fukuoka", large.Zone)
	found, err := b.client(1).GetJob(ctx, submitted.ID)
	require.NoError(t, err)
	require.Equal(t, submitted.ID, found.ID)

	waited := make(chan client.Job, 1)
	go func() {
		changed, err := b.client(1).WaitJob(ctx, submitted.ID, found.Revision, 30*time.Second)
		if err == nil {
			waited <- changed
		}
	}()
	_, err = b.client(0).CancelJob(ctx, submitted.ID)
	require.NoError(t, err)
	require.Equal(t, "cancelled", (<-waited).State)

	stranger := &client.Client{BaseURL: b.urls[0], Token: otherToken}
	_, err = stranger.GetJob(ctx, large.ID)
	requireOutcome(t, err, client.NotRun, "not_found")
	_, err = stranger.CancelJob(ctx, large.ID)
	requireOutcome(t, err, client.NotRun, "not_found")
	require.Equal(t, 1, owners["fukuoka"].count())
}

// TestRepeatedSubmitGivesTheSameJob submits with one key through both hosts, while
// the owner's first responses are lost and its digest changes.
func TestRepeatedSubmitGivesTheSameJob(t *testing.T) {
	b, owners := newJobTestbed(t)
	owners["kumamoto"].responsesToLose = 2
	ids := map[string]bool{}
	var submits sync.WaitGroup
	var mu sync.Mutex
	for i := range 8 {
		submits.Go(func() {
			submitted, err := b.client(i%2).SubmitJob(context.Background(), jobRequest(8), "nightly-1")
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Error(err)
				return
			}
			ids[submitted.ID] = true
		})
	}
	submits.Wait()
	require.Len(t, ids, 1)
	require.Equal(t, 1, owners["kumamoto"].count()+owners["fukuoka"].count())
	_, err := b.client(0).SubmitJob(context.Background(), jobRequest(9), "nightly-1")
	requireOutcome(t, err, client.NotRun, "idempotency_key_reused")
}

func TestSubmitGoesToAnotherZoneWhenOneRefuses(t *testing.T) {
	b, owners := newJobTestbed(t)
	owners["kumamoto"].refusalReason = outcome.ReasonStaleView
	for _, key := range []string{"", "nightly-1"} {
		submitted, err := b.client(0).SubmitJob(context.Background(), jobRequest(8), key)
		require.NoError(t, err)
		require.Equal(t, "fukuoka", submitted.Zone)
	}
	owners["fukuoka"].refusalReason = outcome.ReasonOverQuota
	_, err := b.client(0).SubmitJob(context.Background(), jobRequest(32), "")
	requireOutcome(t, err, client.NotRun, "over_quota")
}

func TestJobCallsReportUnknownOutcomes(t *testing.T) {
	b, owners := newJobTestbed(t)
	b.store.SetFaults(memory.Faults{Down: true})
	_, err := b.client(0).SubmitJob(context.Background(), jobRequest(8), "nightly-1")
	requireOutcome(t, err, client.NotRun, "store_unavailable")
	require.Zero(t, owners["kumamoto"].count()+owners["fukuoka"].count())
	delete(b.view.Owners, "fukuoka")
	_, err = b.client(0).GetJob(context.Background(), "j-1")
	requireOutcome(t, err, client.Unknown, "no_owner")
}

func TestBadJobsAreRefused(t *testing.T) {
	b, owners := newJobTestbed(t)
	good := `"service":"scans","shape":{"tasks":1,"per_task":{"accelerators":1},"adjacency":"rack"}`
	cases := map[string]outcome.Reason{
		`{`:                                 outcome.ReasonMalformed,
		`[]`:                                outcome.ReasonMalformed,
		`{"service":"scans"}`:               outcome.ReasonMalformed,
		`{` + good + `,"color":"red"}`:      outcome.ReasonMalformed,
		`{` + good + `} {}`:                 outcome.ReasonMalformed,
		`{` + good + `,"priority":"now"}`:   outcome.ReasonMalformed,
		`{` + good + `,"zones":["narnia"]}`: outcome.ReasonMalformed,
		`{` + good + `,"deadline":"2001-01-01T00:00:00Z"}`:                                           outcome.ReasonDeadline,
		`{` + good + `,"declared_run_time_ms":-1}`:                                                   outcome.ReasonMalformed,
		`{"service":"x","shape":{"tasks":1,"per_task":{"accelerators":1},"adjacency":"rack"}}`:       outcome.ReasonUnknownService,
		`{"service":"scans","shape":{"tasks":999,"per_task":{"accelerators":1},"adjacency":"rack"}}`: outcome.ReasonMalformed,
		strings.Repeat(" ", maxJobBytes+1):                                                           outcome.ReasonTooLarge,
	}
	for body, reason := range cases {
		response := post(t, b.urls[0]+"/v1/jobs", body, http.Header{})
		var document problem.Document
		require.NoError(t, problem.Read(response, &document), body)
		require.Equal(t, outcome.NotRun, document.Outcome, body)
		require.Equal(t, reason, document.Reason, "%.100s: %s", body, document.Detail)
	}
	require.Zero(t, owners["kumamoto"].count()+owners["fukuoka"].count())
}

// Guards against a refusal that says "not run" after an earlier call of the same submission, which may
// be accepted later: that call had no answer, and the owner refuses the next one.
func TestRefusalAfterALostResponseIsUnknown(t *testing.T) {
	for _, reason := range []outcome.Reason{outcome.ReasonOverQuota, outcome.ReasonDeadline, outcome.ReasonStaleView} {
		b, owners := newJobTestbed(t)
		owner := owners["kumamoto"]
		owner.responsesToLose, owner.reasonAfterLoss = 1, reason
		_, err := b.client(0).SubmitJob(context.Background(), jobRequest(8), "")
		requireOutcome(t, err, client.Unknown, "answer_lost")
		require.Equal(t, 1, owner.count())
	}
}

// Guards against a refusal that says "not run" of a job that an earlier call with the same key may have
// submitted: the owner can't be reached now.
func TestRefusalOfAKeyInProgressIsUnknown(t *testing.T) {
	b, owners := newJobTestbed(t)
	owner := owners["kumamoto"]
	owner.responsesToLose = maxOwnerAttempts
	_, err := b.client(0).SubmitJob(context.Background(), jobRequest(8), "nightly-1")
	requireOutcome(t, err, client.Unknown, "answer_lost")
	require.Equal(t, 1, owner.count())

	owner.mu.Lock()
	owner.refusalReason = outcome.ReasonZoneOut
	owner.mu.Unlock()
	_, err = b.client(1).SubmitJob(context.Background(), jobRequest(8), "nightly-1")
	requireOutcome(t, err, client.Unknown, "answer_lost")

	delete(b.view.Owners, "kumamoto")
	_, err = b.client(1).SubmitJob(context.Background(), jobRequest(8), "nightly-1")
	requireOutcome(t, err, client.Unknown, "answer_lost")
}
