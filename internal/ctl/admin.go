// Package ctl is what the commands of chervilctl share: settings, the client of the
// operators' API, output and exit codes.
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

// ReasonUnreachable is the reason when no connection could be made.
const ReasonUnreachable outcome.Reason = "unreachable"

// maxAnswerBytes bounds an answer that is read.
const maxAnswerBytes = 64 << 20

// Admin calls the operators' API.
type Admin struct {
	// Addresses are URLs of chervil-admin on one or more hosts, for example
	// "http://10.0.0.5:8081". They are tried in order, as long as a host can't be
	// reached or can't serve and nothing has happened.
	Addresses []string
	Token     string
	HTTP      *http.Client
}

// Failure is a call that was not done.
type Failure struct {
	adminapi.ChangeProblem
}

// Result returns the outcome of the call.
func (f *Failure) Result() outcome.Outcome { return f.ChangeProblem.Result() }

// Error returns the outcome and every detail that came with it.
func (f *Failure) Error() string { return describeFailure(f.ChangeProblem) }

func failure(o outcome.Outcome) *Failure {
	return &Failure{adminapi.ChangeProblem{Document: problem.New(o)}}
}

// Get reads path into answer.
func (a *Admin) Get(ctx context.Context, path string, query url.Values, answer any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return a.call(ctx, http.MethodGet, path, nil, nil, answer)
}

// Post sends body to path.
func (a *Admin) Post(ctx context.Context, path string, body []byte, answer any) error {
	return a.call(ctx, http.MethodPost, path, nil, body, answer)
}

// PutConfig submits a configuration on top of version base.
func (a *Admin) PutConfig(ctx context.Context, base model.ConfigVersion, text []byte) (adminapi.ChangeAnswer, error) {
	header := http.Header{}
	header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(base), 10)))
	header.Set("Content-Type", "application/toml")
	var answer adminapi.ChangeAnswer
	err := a.call(ctx, http.MethodPut, "config", header, text, &answer)
	return answer, err
}

func (a *Admin) call(ctx context.Context, method, path string, header http.Header, body []byte, answer any) error {
	var err error
	for _, address := range a.Addresses {
		err = a.callHost(ctx, method, address+adminapi.Prefix+path, header, body, answer)
		if !isForAnotherHost(err) {
			return err
		}
	}
	return err
}

// isForAnotherHost reports whether nothing has happened and another host may serve the
// call.
func isForAnotherHost(err error) bool {
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

func (a *Admin) callHost(ctx context.Context, method, target string, header http.Header, body []byte, answer any) error {
	header = header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("Authorization", "Bearer "+a.Token)
	return send(ctx, a.HTTP, method, target, header, body, answer)
}

// send makes one call and reads its answer.
func send(ctx context.Context, client *http.Client, method, target string, header http.Header, body []byte, answer any) error {
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
	return readAnswer(method, response, answer)
}

func readAnswer(method string, response *http.Response, answer any) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return failure(lostOutcome(method, err))
	}
	response.Body = io.NopCloser(bytes.NewReader(text))
	if problem.Is(response) {
		failed := &Failure{}
		if err := problem.Read(response, &failed.ChangeProblem); err != nil {
			return failure(lostOutcome(method, err))
		}
		return failed
	}
	if response.StatusCode != http.StatusOK {
		return failure(lostOutcome(method, errors.Errorf("status %s, is this a process of chervilrun?", response.Status)))
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return failure(lostOutcome(method, err))
	}
	return nil
}

// transportOutcome tells a connection that was never made from an answer that was lost.
func transportOutcome(method string, err error) outcome.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.NotRunBecause(ReasonUnreachable, "%v", err)
	}
	return lostOutcome(method, err)
}

// lostOutcome is Unknown for a change and NotRun for a read, which changes nothing.
func lostOutcome(method string, err error) outcome.Outcome {
	if method == http.MethodGet {
		return outcome.NotRunBecause(ReasonUnreachable, "%v", err)
	}
	return outcome.UnknownBecause(outcome.ReasonAnswerLost, "%v", err)
}

// callTimeout bounds one call; it is longer than chervil-admin takes for a change.
const callTimeout = 20 * time.Second

// dialTimeout bounds the making of a connection.
const dialTimeout = 5 * time.Second

// NewHTTP returns the HTTP client of the commands. It never repeats a call by itself.
func NewHTTP() *http.Client {
	return &http.Client{
		Timeout:       callTimeout,
		Transport:     &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
