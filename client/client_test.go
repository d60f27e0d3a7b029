package client_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/client"
)

func outcomeOf(t *testing.T, err error) client.Outcome {
	t.Helper()
	var failed *client.Error
	require.ErrorAs(t, err, &failed)
	return failed.Outcome
}

// TestInconclusiveResponsesAreUnknown returns responses that don't say whether the work ran.
func TestInconclusiveResponsesAreUnknown(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"balancer":   func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "bad gateway", http.StatusBadGateway) },
		"plain 200":  func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "hello") },
		"redirect":   func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/elsewhere", http.StatusFound) },
		"no outcome": func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, `{}`) },
		"truncated": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(client.HeaderOutcome, "done")
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, "half")
		},
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			_, err := (&client.Client{BaseURL: server.URL}).Do(context.Background(), client.Request{Service: "s"})
			require.Equal(t, client.Unknown, outcomeOf(t, err).Kind)
		})
	}
}

func writeProblem(w http.ResponseWriter, body string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprint(w, body)
}

func TestOutcomesAreRead(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, `{"outcome":"not_run","reason":"draining","request":"r-1"}`)
	}))
	_, err := (&client.Client{BaseURL: server.URL}).GetJob(context.Background(), "j")
	require.Equal(t, client.Outcome{Kind: client.NotRun, Reason: "draining"}, outcomeOf(t, err))
	server.Close()
	_, err = (&client.Client{BaseURL: server.URL}).GetJob(context.Background(), "j")
	require.Equal(t, client.Outcome{Kind: client.NotRun, Reason: "unreachable"}, client.Outcome{
		Kind: outcomeOf(t, err).Kind, Reason: outcomeOf(t, err).Reason,
	})
}

// TestKeyedCallsAreSentOnce closes a reused connection after the second call was read.
// By default net/http retries a POST with the header Idempotency-Key then.
func TestKeyedCallsAreSentOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var calls atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respondOnce(conn, &calls)
		}
	}()
	c := &client.Client{BaseURL: "http://" + listener.Addr().String()}
	for _, body := range [][]byte{[]byte("x"), nil} {
		calls.Store(0)
		for i := range 2 {
			_, err = c.Do(context.Background(), client.Request{Service: "s", Body: body, IdempotencyKey: fmt.Sprint(i)})
		}
		require.Equal(t, client.Unknown, outcomeOf(t, err).Kind)
		require.EqualValues(t, 2, calls.Load())
	}
}

// respondOnce responds to the first call on a connection and closes it after the second.
func respondOnce(conn net.Conn, calls *atomic.Int32) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = request.Body.Read(make([]byte, 16))
		calls.Add(1)
		if i == 0 {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nChervil-Outcome: done\r\nContent-Length: 0\r\n\r\n")
		}
	}
}
