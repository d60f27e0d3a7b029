// Package ctl holds what the commands of chervilctl share: settings, the client of the
// operators' API, output formats and exit codes.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/problem"
)

// ReasonUnreachable is the reason of a call that could not connect, or of a read without a
// valid response.
const ReasonUnreachable outcome.Reason = "unreachable"

const maxResponseBytes = 64 << 20

// Admin is a client of the operators' API.
type Admin struct {
	// Addresses are URLs of chervil-admin on one or more hosts, for example
	// "http://10.0.0.5:8081". They are tried in order: the next one is tried when a host is
	// unreachable or can't serve the call, and the call is known to have had no effect.
	Addresses []string
	Token     string
	HTTP      *http.Client
}

// Failure is the error of a call that was not done, or whose outcome is unknown.
type Failure struct {
	adminapi.ChangeProblem
}

// Result returns the outcome of the call.
func (f *Failure) Result() outcome.Outcome { return f.ChangeProblem.Result() }

// Error returns the outcome with all details of the response.
func (f *Failure) Error() string { return describeFailure(f.ChangeProblem) }

func failure(o outcome.Outcome) *Failure {
	return &Failure{adminapi.ChangeProblem{Document: problem.New(o)}}
}

// Get reads path and decodes the response into result.
func (a *Admin) Get(ctx context.Context, path string, query url.Values, result any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return a.call(ctx, http.MethodGet, path, nil, nil, result)
}

// Post sends body to path and decodes the response into result.
func (a *Admin) Post(ctx context.Context, path string, body []byte, result any) error {
	return a.call(ctx, http.MethodPost, path, nil, body, result)
}

// PutConfig submits a configuration that is based on version base.
func (a *Admin) PutConfig(ctx context.Context, base model.ConfigVersion, text []byte) (adminapi.ChangeResponse, error) {
	header := http.Header{}
	header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(base), 10)))
	header.Set("Content-Type", "application/toml")
	var response adminapi.ChangeResponse
	err := a.call(ctx, http.MethodPut, "config", header, text, &response)
	return response, err
}

func (a *Admin) call(ctx context.Context, method, path string, header http.Header, body []byte, result any) error {
	var err error
	for _, address := range a.Addresses {
		err = a.callHost(ctx, method, address+adminapi.Prefix+path, header, body, result)
		if !shouldTryNextHost(err) {
			return err
		}
	}
	return err
}

// shouldTryNextHost reports whether the call had no effect and another host may serve it.
func shouldTryNextHost(err error) bool {
	var failed *Failure
	if !errors.As(err, &failed) || failed.Outcome != outcome.NotRun {
		return false
	}
	switch failed.Reason {
	case ReasonUnreachable, outcome.ReasonStaleView, outcome.ReasonDraining, outcome.ReasonStoreUnavailable:
		return true
	}
	return false
}

func (a *Admin) callHost(ctx context.Context, method, target string, header http.Header, body []byte, result any) error {
	header = header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("Authorization", "Bearer "+a.Token)
	return send(ctx, a.HTTP, method, target, header, body, result)
}

// send makes one call and decodes the response into result.
func send(ctx context.Context, client *http.Client, method, target string, header http.Header, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return &UsageError{Message: err.Error()}
	}
	if header != nil {
		request.Header = header
	}
	response, err := client.Do(request)
	if err != nil {
		return failure(transportOutcome(method, err))
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse(method, response, result)
}

func readResponse(method string, response *http.Response, result any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return failure(lostOutcome(method, err))
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	if problem.Is(response) {
		failed := &Failure{}
		if err := problem.Read(response, &failed.ChangeProblem); err != nil {
			return failure(lostOutcome(method, err))
		}
		return failed
	}
	if response.StatusCode != http.StatusOK {
		return failure(lostOutcome(method, errors.Errorf("unexpected status %s, is this a chervilrun process?", response.Status)))
	}
	if err := json.Unmarshal(body, result); err != nil {
		return failure(lostOutcome(method, err))
	}
	return nil
}

// transportOutcome distinguishes a connection that was never made from a lost response.
func transportOutcome(method string, err error) outcome.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.NotRunBecause(ReasonUnreachable, "%v", err)
	}
	return lostOutcome(method, err)
}

// lostOutcome returns the outcome of a call without a valid response: unknown for a change,
// not run for a read, which has no effects.
func lostOutcome(method string, err error) outcome.Outcome {
	if method == http.MethodGet {
		return outcome.NotRunBecause(ReasonUnreachable, "%v", err)
	}
	return outcome.UnknownBecause(outcome.ReasonAnswerLost, "%v", err)
}

// callTimeout limits one call; it is longer than chervil-admin takes for a change.
const callTimeout = 20 * time.Second

const dialTimeout = 5 * time.Second

// NewHTTP returns the HTTP client of the commands. It follows no redirects and never
// repeats a call.
func NewHTTP() *http.Client {
	return &http.Client{
		Timeout:       callTimeout,
		Transport:     &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
