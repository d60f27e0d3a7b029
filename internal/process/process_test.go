package process

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/rpc"
)

const drainTimeout = 10 * time.Second

func testSettings() Settings {
	return Settings{
		Host:         "host1",
		Zone:         "fukuoka",
		Listen:       "127.0.0.1:0",
		Secret:       "0123456789abcdef",
		LogLevel:     "error",
		DrainTimeout: drainTimeout,
	}
}

func start(t *testing.T, s Settings) (p *Process, stop func(), exit <-chan int) {
	p, err := newProcess("test", s, io.Discard)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	code := make(chan int, 1)
	go func() { code <- p.Serve(ctx) }()
	t.Cleanup(cancel)
	return p, cancel, code
}

func status(t *testing.T, url string) int {
	response, err := http.Get(url)
	require.NoError(t, err)
	defer response.Body.Close()
	return response.StatusCode
}

// TestShutdownCompletesRequestsInProgress begins a shutdown while a request is in progress:
// readiness fails first, the request is completed, then the process ends.
func TestShutdownCompletesRequestsInProgress(t *testing.T) {
	p, stop, exit := start(t, testSettings())
	arrived := make(chan struct{})
	release := make(chan struct{})
	p.Mux.HandleFunc("GET /slow", func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		_, _ = io.WriteString(w, "complete")
	})
	var statusWhileDraining int
	p.OnDrain(func(context.Context) error {
		statusWhileDraining = status(t, "http://"+p.Address()+"/readyz")
		close(release)
		return nil
	})
	require.Equal(t, http.StatusOK, status(t, "http://"+p.Address()+"/readyz"))
	body := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + p.Address() + "/slow")
		if err != nil {
			body <- err.Error()
			return
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		body <- string(text)
	}()
	<-arrived
	stop()
	require.Equal(t, "complete", <-body)
	require.Equal(t, ExitOK, <-exit)
	require.Equal(t, http.StatusServiceUnavailable, statusWhileDraining)
}

func TestInternalCallsNeedTheSecret(t *testing.T) {
	p, _, _ := start(t, testSettings())
	p.Events.Record(event.ConfigApplied, event.Subject{Zone: "fukuoka"}, "version 3")
	base := "http://" + p.Address()
	filter, err := json.Marshal(event.Filter{Subject: event.Subject{Zone: "fukuoka"}})
	require.NoError(t, err)
	request := &rpc.TimelineRequest{FilterJson: filter}

	_, err = rpc.NewTimelineProtobufClient(base, http.DefaultClient).Read(t.Context(), request)
	require.ErrorContains(t, err, "permission_denied")

	other, err := newProcess("other", testSettings(), io.Discard)
	require.NoError(t, err)
	defer other.listener.Close()
	response, err := rpc.NewTimelineProtobufClient(base, other.InternalClient()).Read(t.Context(), request)
	require.NoError(t, err)
	var events []event.Event
	require.NoError(t, json.Unmarshal(response.GetEventsJson(), &events))
	require.Len(t, events, 1)
	require.True(t, events[0].Time.Before(other.Events.Clock().Now()), "the caller's clock has not advanced past the event")
}

func FuzzTimestamp(f *testing.F) {
	for _, seed := range []string{"", ".", "1.2", "-1.2", "1.-2", "99999999999999999999.1", "1.4294967296"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		timestamp, ok := decodeTimestamp(text)
		if !ok {
			return
		}
		decoded, ok := decodeTimestamp(encodeTimestamp(timestamp))
		require.True(t, ok)
		require.Equal(t, timestamp, decoded)
	})
}
