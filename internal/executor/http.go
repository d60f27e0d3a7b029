package executor

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/outcome"
)

// MaxResponseBytes is the largest response body accepted from an executor.
const MaxResponseBytes = 16 << 20

// Limits of the connections to executors.
const (
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	maxHeaderBytes     = 32 << 10
	maxIdleConnections = 1 << 14
)

// HTTPClient is a Client that uses net/http.
type HTTPClient struct{ transport *http.Transport }

// NewHTTPClient returns a client that opens at most maxConnections connections to one
// executor and keeps at most maxIdle of them open while idle.
func NewHTTPClient(maxConnections, maxIdle int) *HTTPClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &HTTPClient{transport: &http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxIdle,
		MaxIdleConns:           maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}}
}

// Close closes the idle connections.
func (h *HTTPClient) Close() { h.transport.CloseIdleConnections() }

// Call implements Client. It uses the transport directly, because an http.Client would
// follow redirects.
func (h *HTTPClient) Call(ctx context.Context, endpoint string, request Request) (Response, error) {
	// Once a connection was obtained, bytes of the attempt may have been sent on it.
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	httpRequest := newHTTPRequest(httptrace.WithClientTrace(ctx, trace), endpoint, request)
	response, err := h.transport.RoundTrip(httpRequest)
	switch {
	case err != nil && !connected:
		return Response{}, errors.Wrap(ErrUnreachable, err.Error())
	case err != nil:
		return Response{}, errors.Wrap(ErrResponseLost, err.Error())
	}
	// Closing the body before its end also closes the connection, so that unread
	// bytes are not taken for the response to a later attempt.
	defer func() { _ = response.Body.Close() }()
	return readResponse(response, request)
}

func newHTTPRequest(ctx context.Context, endpoint string, request Request) *http.Request {
	header := http.Header{
		HeaderAttempt:      {string(request.Attempt)},
		HeaderDeadline:     {strconv.FormatInt(request.Remaining.Milliseconds(), 10)},
		HeaderOrganisation: {string(request.Organisation)},
	}
	if request.ContentType != "" {
		header["Content-Type"] = []string{request.ContentType}
	}
	if request.IdempotencyKey != "" {
		header[HeaderIdempotencyKey] = []string{request.IdempotencyKey}
	}
	httpRequest := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: endpoint, Path: Path(request.Service)},
		Header:        header,
		ContentLength: int64(len(request.Body)),
		Body:          http.NoBody,
	}
	if len(request.Body) > 0 {
		httpRequest.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return httpRequest.WithContext(ctx)
}

func readResponse(response *http.Response, request Request) (Response, error) {
	if echo := response.Header.Get(HeaderAttempt); echo != string(request.Attempt) {
		return Response{}, errors.Wrapf(ErrResponseMismatch, "the response is to attempt %q, expected %q", echo, request.Attempt)
	}
	if response.Header.Get(HeaderOutcome) == string(outcome.NotRun) {
		return Response{}, errors.Wrapf(ErrRefused, "status %d", response.StatusCode)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return Response{}, errors.Wrapf(ErrFailed, "status %d", response.StatusCode)
	}
	if response.StatusCode < http.StatusOK {
		return Response{}, errors.Wrapf(ErrResponseMismatch, "status %d", response.StatusCode)
	}
	body, err := readBody(response)
	if err != nil {
		return Response{}, err
	}
	return Response{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

func readBody(response *http.Response) ([]byte, error) {
	length := response.ContentLength
	if length < 0 || length > MaxResponseBytes {
		return nil, errors.Wrapf(ErrResponseMismatch, "length %d, expected 0 to %d", length, MaxResponseBytes)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		return nil, errors.Wrapf(ErrResponseLost, "body truncated: %v", err)
	}
	if response.Header.Get(HeaderDigest) != Digest(body) {
		return nil, errors.Wrap(ErrResponseMismatch, "the digest does not match the body")
	}
	return body, nil
}

// Digest returns the value of the Content-Digest header for a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return digestPrefix + base64.StdEncoding.EncodeToString(sum[:]) + digestSuffix
}
