package executor

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// serveRaw sends the same raw response to every request on a new listener.
func serveRaw(t *testing.T, response string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				fmt.Fprint(conn, response)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// TestOnlyCompleteMatchingResponsesAreAccepted sends one attempt to executors that return
// valid, malformed, mismatched and truncated responses. Only a complete response that
// echoes the attempt and has the right digest may be accepted.
func TestOnlyCompleteMatchingResponsesAreAccepted(t *testing.T) {
	const echo = "Chervil-Attempt: a\r\n"
	digest := HeaderDigest + ": " + Digest([]byte("body")) + "\r\n"
	cases := map[string]struct {
		response string
		err      error
	}{
		"complete":          {"200 OK\r\n" + echo + digest + "Content-Length: 4\r\n\r\nbody", nil},
		"application 404":   {"404 Not Found\r\n" + echo + digest + "Content-Length: 4\r\n\r\nbody", nil},
		"no attempt":        {"200 OK\r\n" + digest + "Content-Length: 4\r\n\r\nbody", ErrResponseMismatch},
		"other attempt":     {"200 OK\r\nChervil-Attempt: b\r\n" + digest + "Content-Length: 4\r\n\r\nbody", ErrResponseMismatch},
		"no digest":         {"200 OK\r\n" + echo + "Content-Length: 4\r\n\r\nbody", ErrResponseMismatch},
		"wrong digest":      {"200 OK\r\n" + echo + digest + "Content-Length: 4\r\n\r\nbutt", ErrResponseMismatch},
		"no length":         {"200 OK\r\n" + echo + digest + "\r\nbody", ErrResponseMismatch},
		"huge length":       {"200 OK\r\n" + echo + digest + "Content-Length: 99999999999\r\n\r\nbody", ErrResponseMismatch},
		"truncated body":    {"200 OK\r\n" + echo + digest + "Content-Length: 4\r\n\r\nbo", ErrResponseLost},
		"truncated header":  {"200 OK\r\nChervil-Att", ErrResponseLost},
		"not HTTP":          {"hello\r\n\r\n", ErrResponseLost},
		"status below 200":  {"099 Odd\r\n" + echo + digest + "Content-Length: 4\r\n\r\nbody", ErrResponseMismatch},
		"refused":           {"503 Busy\r\n" + echo + "Chervil-Outcome: not_run\r\nContent-Length: 0\r\n\r\n", ErrRefused},
		"503 of a balancer": {"503 Busy\r\nChervil-Outcome: not_run\r\nContent-Length: 0\r\n\r\n", ErrResponseMismatch},
		"failed":            {"500 Oops\r\n" + echo + "Content-Length: 0\r\n\r\n", ErrFailed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client := NewHTTPClient(1, 1)
			defer client.Close()
			response, err := client.Call(context.Background(), serveRaw(t, "HTTP/1.1 "+c.response), Request{Service: "s", Attempt: "a"})
			if c.err == nil {
				require.NoError(t, err)
				require.Equal(t, "body", string(response.Body))
				return
			}
			require.ErrorIs(t, err, c.err)
			require.Equal(t, name == "refused", HasNotRun(err))
		})
	}
}

func TestUnreachableIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = NewHTTPClient(1, 1).Call(context.Background(), address, Request{Service: "s", Attempt: "a"})
	require.ErrorIs(t, err, ErrUnreachable)
	require.True(t, HasNotRun(err))
}
