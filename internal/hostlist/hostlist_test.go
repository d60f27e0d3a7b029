package hostlist_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/hostlist"
	"github.com/chervilrun/chervilrun/internal/model"
	standin "github.com/chervilrun/chervilrun/internal/standin/hostlist"
)

// countingWriter counts the bytes of all responses.
type countingWriter struct {
	http.ResponseWriter
	bytes *int
}

func (c countingWriter) Write(text []byte) (int, error) {
	*c.bytes += len(text)
	return c.ResponseWriter.Write(text)
}

// TestUnchangedListIsNotSentAgain checks that the client downloads only changed lists, and
// does not return a cached list when the server is down.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	server := standin.NewServer(clockwork.NewRealClock(), hostlist.Hosts{Workers: []model.Worker{{ID: "w1"}}})
	sentBytes := 0
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.ServeHTTP(countingWriter{w, &sentBytes}, r)
	}))
	defer listener.Close()
	client := hostlist.NewHTTPClient(listener.URL, time.Minute)
	first, err := client.List(t.Context())
	require.NoError(t, err)
	require.Len(t, first.Workers, 1)
	bytesOfFirst := sentBytes
	require.Positive(t, bytesOfFirst)
	again, err := client.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, first, again)
	require.Equal(t, bytesOfFirst, sentBytes, "an unchanged list is not sent again")

	server.SetHosts(hostlist.Hosts{Workers: []model.Worker{{ID: "w1"}, {ID: "w2"}}})
	changed, err := client.List(t.Context())
	require.NoError(t, err)
	require.Len(t, changed.Workers, 2)
	require.NotEqual(t, first.Tag, changed.Tag)

	server.SetFault(standin.Fault{Down: true})
	_, err = client.List(t.Context())
	require.Error(t, err, "the cached list is not returned as the current one")
}
