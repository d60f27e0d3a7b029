package http_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/worker"
	workerhttp "github.com/chervilrun/chervilrun/internal/worker/http"
)

// TestEachFailureMapsToAnError checks the error that each kind of failure maps to.
func TestEachFailureMapsToAnError(t *testing.T) {
	responses := map[string]struct {
		status int
		body   string
		want   error
	}{
		"ok":             {http.StatusOK, `{"epoch":3,"sequence":7}`, nil},
		"epoch":          {http.StatusConflict, "", worker.ErrEpoch},
		"late":           {http.StatusGone, "", worker.ErrTooLate},
		"refused":        {http.StatusServiceUnavailable, "", worker.ErrUnreachable},
		"truncated":      {http.StatusOK, `{"epoch":3,"seq`, worker.ErrResponseLost},
		"internal_error": {http.StatusInternalServerError, "", worker.ErrResponseLost},
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				require.Equal(t, workerhttp.Path, r.URL.Path)
				w.WriteHeader(response.status)
				_, _ = w.Write([]byte(response.body))
			}))
			defer server.Close()
			endpoint := strings.TrimPrefix(server.URL, "http://")
			got, err := workerhttp.NewClient("test").Exchange(context.Background(), endpoint, worker.Exchange{})
			require.ErrorIs(t, err, response.want)
			if response.want == nil {
				require.Equal(t, int64(7), got.Sequence)
			}
		})
	}
}

// TestRefusedConnectionIsNotALostAnswer checks that a refused connection, which executes no
// command, is distinguished from a worker that never responds, which may have executed one.
func TestRefusedConnectionIsNotALostAnswer(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	endpoint := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	_, err := workerhttp.NewClient("test").Exchange(context.Background(), endpoint, worker.Exchange{})
	require.ErrorIs(t, err, worker.ErrUnreachable)

	release := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer silent.Close()
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err = workerhttp.NewClient("test").Exchange(ctx, strings.TrimPrefix(silent.URL, "http://"), worker.Exchange{})
	require.ErrorIs(t, err, worker.ErrResponseLost)
}

// Guards against a redirect being followed: a connection that is refused there says nothing of the
// exchange, which something else at the worker's address has received.
func TestRedirectIsALostResponse(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	redirecting := httptest.NewServer(http.RedirectHandler(closed.URL, http.StatusTemporaryRedirect))
	defer redirecting.Close()
	_, err := workerhttp.NewClient("test").Exchange(context.Background(), strings.TrimPrefix(redirecting.URL, "http://"), worker.Exchange{})
	require.ErrorIs(t, err, worker.ErrResponseLost)
}
