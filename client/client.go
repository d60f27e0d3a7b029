package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Client calls one address of the system, usually the platform's load balancer. It is
// safe for concurrent use.
type Client struct {
	// BaseURL is the address, for example "http://10.0.0.5:8080".
	BaseURL string
	// Token is the organisation's bearer token.
	Token string
	// HTTP sends the calls; nil means a default client that all Clients share.
	HTTP *http.Client
}

// Request is a request to a service.
type Request struct {
	Service     string
	ContentType string
	Body        []byte
	// Deadline is the time limit of the request; 0 means that of the service.
	Deadline time.Duration
	// IdempotencyKey is required for a service whose requests may not be repeated.
	IdempotencyKey string
}

// Answer is the complete response to a request.
type Answer struct {
	// Status is the executor's HTTP status, below 500.
	Status      int
	ContentType string
	Body        []byte
	// Request is the request's ID in the event timeline.
	Request string
	// Attempts is the number of attempts that the request took.
	Attempts int
	// Replayed is true if the response was recorded by an earlier request with the
	// same idempotency key; the work did not run again.
	Replayed bool
}

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 64 << 20

const dialTimeout = 5 * time.Second

// sharedHTTPClient is the HTTP client of Clients without their own. It follows no
// redirects.
var sharedHTTPClient = &http.Client{
	Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return sharedHTTPClient
}

// Do sends a request. A nil error means Done. Otherwise the error is an *Error whose
// Kind is NotRun or Unknown; the package comment says what each permits. Kind is Done
// in one case: an earlier call with the key ran the work, and its response was too large
// to be recorded (reason "answer_lost").
func (c *Client) Do(ctx context.Context, request Request) (Answer, error) {
	header := http.Header{}
	if request.ContentType != "" {
		header.Set("Content-Type", request.ContentType)
	}
	if request.Deadline > 0 {
		header.Set(HeaderDeadline, strconv.FormatInt(request.Deadline.Milliseconds(), 10))
	}
	if request.IdempotencyKey != "" {
		header.Set(HeaderKey, request.IdempotencyKey)
	}
	path := "/v1/services/" + url.PathEscape(request.Service) + "/requests"
	response, body, err := c.call(ctx, http.MethodPost, path, header, request.Body)
	if err != nil {
		return Answer{}, err
	}
	if response.Header.Get(HeaderOutcome) != string(Done) || isProblem(response) {
		return Answer{}, responseError(response, body)
	}
	attempts, _ := strconv.Atoi(response.Header.Get(HeaderAttempts))
	return Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
		Request:     response.Header.Get(HeaderRequest),
		Attempts:    attempts,
		Replayed:    response.Header.Get(HeaderReplayed) == "true",
	}, nil
}

// call sends one HTTP request and reads the complete response.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, newError(NotRun, "malformed", err)
	}
	key := header.Get(HeaderKey)
	request.Header = header
	// By default net/http retries a POST with the header Idempotency-Key when a reused
	// connection breaks. It can't if GetBody is nil and the body, even if empty, is a reader.
	request.GetBody = nil
	if key != "" && len(body) == 0 {
		request.Body = io.NopCloser(bytes.NewReader(nil))
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := c.httpClient().Do(request)
	if err != nil {
		return nil, nil, transportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, newError(Unknown, "answer_lost", err)
	}
	return response, responseBody, nil
}

// transportError returns NotRun if the connection could not be established, and Unknown
// otherwise, since the response may have been lost.
func transportError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return newError(NotRun, "unreachable", err)
	}
	return newError(Unknown, "answer_lost", err)
}

func newError(kind Kind, reason string, err error) error {
	return &Error{Outcome: Outcome{Kind: kind, Reason: reason, Detail: err.Error()}}
}

func isProblem(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == "application/problem+json"
}

// responseError returns the error for a response that is not Done. Without a problem
// document the response is not from an entry host, and the outcome is Unknown.
func responseError(response *http.Response, body []byte) error {
	if isProblem(response) {
		var document struct {
			Outcome
			Request string `json:"request"`
		}
		if err := json.Unmarshal(body, &document); err == nil && document.Kind != "" {
			return &Error{Outcome: document.Outcome, Status: response.StatusCode, Request: document.Request}
		}
	}
	outcome := Outcome{Kind: Unknown, Reason: "answer_lost", Detail: "status " + response.Status + " without a problem document"}
	return &Error{Outcome: outcome, Status: response.StatusCode}
}
