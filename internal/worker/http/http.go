// Package http implements worker.Port over net/http. An exchange is one request, POST
// /v1/exchange at the worker's endpoint, with a JSON body and a JSON response. A status
// other than 200 reports an error:
//
//	409  the worker has seen a higher epoch; no command was executed (worker.ErrEpoch)
//	410  the exchange arrived after its NotAfterMS; no command was executed (worker.ErrTooLate)
//	503  the worker executed no command (worker.ErrUnreachable)
//
// Any other failure after the connection was made means that the commands may or may
// not have taken effect (worker.ErrResponseLost).
package http

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/worker"
)

// Path is the URL path of exchanges on a worker.
const Path = "/v1/exchange"

// MaxResponseBytes is the maximum size of a worker's response.
const MaxResponseBytes = 4 << 20

// Limits of the connections to workers.
const (
	dialTimeout             = time.Second
	idleTimeout             = time.Minute
	maxIdlePerWorker        = 2
	keepAlive               = 10 * time.Second
	maxErrorBytes           = 1 << 10
	maxConnectionsPerWorker = 2
)

// Client sends exchanges to workers over HTTP. It is safe for concurrent use.
type Client struct {
	userAgent string
	client    *http.Client
}

// NewClient returns a client that sends userAgent in the User-Agent header. The
// context of each exchange sets its timeout.
func NewClient(userAgent string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerWorker,
		MaxConnsPerHost:     maxConnectionsPerWorker,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{userAgent: userAgent, client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
}

// refuseRedirect keeps exchanges at the worker that they are meant for.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Exchange implements worker.Port.
func (c *Client) Exchange(ctx context.Context, endpoint string, exchange worker.Exchange) (worker.Response, error) {
	body, err := json.Marshal(exchange)
	if err != nil {
		return worker.Response{}, errors.Wrap(err, "worker: encode exchange")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint+Path, bytes.NewReader(body))
	if err != nil {
		return worker.Response{}, errors.Wrapf(worker.ErrUnreachable, "endpoint %q: %v", endpoint, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("User-Agent", c.userAgent)
	response, err := c.client.Do(request)
	if err != nil {
		return worker.Response{}, classifyTransportError(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return worker.Response{}, classifyStatus(response)
	}
	return decode(response.Body)
}

// classifyTransportError distinguishes a failed connection from a lost response.
func classifyTransportError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Wrap(worker.ErrUnreachable, err.Error())
	}
	return errors.Wrap(worker.ErrResponseLost, err.Error())
}

func classifyStatus(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	detail := response.Status + ": " + string(bytes.TrimSpace(text))
	switch response.StatusCode {
	case http.StatusConflict:
		return errors.Wrap(worker.ErrEpoch, detail)
	case http.StatusGone:
		return errors.Wrap(worker.ErrTooLate, detail)
	case http.StatusServiceUnavailable:
		return errors.Wrap(worker.ErrUnreachable, detail)
	}
	return errors.Wrap(worker.ErrResponseLost, detail)
}

func decode(body io.Reader) (worker.Response, error) {
	text, err := io.ReadAll(io.LimitReader(body, MaxResponseBytes))
	if err != nil {
		return worker.Response{}, errors.Wrap(worker.ErrResponseLost, err.Error())
	}
	var response worker.Response
	if err := json.Unmarshal(text, &response); err != nil {
		return worker.Response{}, errors.Wrap(worker.ErrResponseLost, err.Error())
	}
	return response, nil
}
