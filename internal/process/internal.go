package process

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/rpc"
)

// Headers of calls between chervilrun's own processes.
const (
	headerSecret = "Chervil-Cluster-Secret"
	headerClock  = "Chervil-Clock"
)

// InternalServer is a generated twirp server.
type InternalServer interface {
	http.Handler
	PathPrefix() string
}

// MaxInternalBodyBytes limits the body of a call between chervilrun's own processes.
const MaxInternalBodyBytes = 16 << 20

// HandleInternal serves a twirp service to callers that present the cluster secret.
func (p *Process) HandleInternal(server InternalServer) {
	p.Mux.Handle(server.PathPrefix(), p.requireSecret(server))
}

func (p *Process) requireSecret(next http.Handler) http.Handler {
	secret := []byte(p.Settings.Secret)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received := []byte(r.Header.Get(headerSecret))
		if subtle.ConstantTimeCompare(received, secret) != 1 {
			http.Error(w, "wrong cluster secret", http.StatusForbidden)
			return
		}
		if remote, ok := decodeTimestamp(r.Header.Get(headerClock)); ok {
			p.Events.Clock().Observe(remote)
		}
		w.Header().Set(headerClock, encodeTimestamp(p.Events.Clock().Now()))
		r.Body = http.MaxBytesReader(w, r.Body, MaxInternalBodyBytes)
		next.ServeHTTP(w, r)
	})
}

func encodeTimestamp(t event.Timestamp) string {
	return strconv.FormatInt(t.WallNS, 10) + "." + strconv.FormatUint(uint64(t.Logical), 10)
}

func decodeTimestamp(text string) (event.Timestamp, bool) {
	wall, logical, found := strings.Cut(text, ".")
	if !found {
		return event.Timestamp{}, false
	}
	wallNS, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return event.Timestamp{}, false
	}
	counter, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return event.Timestamp{}, false
	}
	return event.Timestamp{WallNS: wallNS, Logical: uint32(counter)}, true
}

// Limits of the internal client.
const (
	internalDialTimeout  = 2 * time.Second
	internalIdlePerHost  = 16
	internalIdleTimeout  = time.Minute
	internalTCPKeepAlive = 5 * time.Second
)

// InternalClient returns an HTTP client for twirp calls to chervilrun's own processes.
// It sends the cluster secret and exchanges hybrid clock timestamps. It has no timeout of
// its own: deadlines come from the context of each call.
func (p *Process) InternalClient() *http.Client {
	dialer := &net.Dialer{Timeout: internalDialTimeout, KeepAlive: internalTCPKeepAlive}
	return &http.Client{Transport: &internalTransport{
		secret: p.Settings.Secret,
		agent:  p.Agent(),
		clock:  p.Events.Clock(),
		next: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: internalIdlePerHost,
			IdleConnTimeout:     internalIdleTimeout,
		},
	}}
}

type internalTransport struct {
	secret string
	agent  string
	clock  *event.HybridClock
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *internalTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(headerSecret, t.secret)
	r.Header.Set("User-Agent", t.agent)
	r.Header.Set(headerClock, encodeTimestamp(t.clock.Now()))
	response, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if remote, ok := decodeTimestamp(response.Header.Get(headerClock)); ok {
		t.clock.Observe(remote)
	}
	return response, nil
}

// timeline serves the events of this process.
type timeline struct{ events *event.Recorder }

func timelineServer(events *event.Recorder) InternalServer {
	return rpc.NewTimelineServer(timeline{events})
}

// Read implements rpc.Timeline.
func (t timeline) Read(_ context.Context, request *rpc.TimelineRequest) (*rpc.TimelineResponse, error) {
	var filter event.Filter
	if err := json.Unmarshal(request.GetFilterJson(), &filter); err != nil {
		return nil, twirp.InvalidArgumentError("filter_json", err.Error())
	}
	text, err := json.Marshal(t.events.Read(filter))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.TimelineResponse{EventsJson: text}, nil
}
