// Package adminapi implements the operators' HTTP API, which chervil-admin serves under
// /admin/v1/. Every call requires an operator's bearer token. Errors are problem
// documents (RFC 9457) with an exact outcome.
package adminapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilrun/chervilrun/internal/acceptance"
	"github.com/chervilrun/chervilrun/internal/auth"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/problem"
	"github.com/chervilrun/chervilrun/internal/view"
)

// Options holds the dependencies and settings of the handler.
type Options struct {
	Host model.HostID
	// Version is the program's version.
	Version  string
	Acceptor *acceptance.Acceptor
	View     view.Source
	Clock    clockwork.Clock
	// Metrics registers the metrics; nil leaves them unregistered.
	Metrics prometheus.Registerer
	// BootstrapHash is the SHA-256, in hexadecimal, of the token that may submit the first
	// configuration; if it is empty, no token may.
	BootstrapHash string
	// QueryPeers asks every member, including this host, for its state.
	QueryPeers func(ctx context.Context, members []view.Member) []PeerState
	// CollectTimeline merges the timelines of all processes, oldest event first.
	CollectTimeline func(ctx context.Context, filter event.Filter) TimelineResponse
	// CollectCost sums the costs over all processes.
	CollectCost func(ctx context.Context) CostResponse
}

// writeTimeout limits the time for a change. A change continues after the client has
// disconnected, so that a write whose response was lost is still resolved.
const writeTimeout = 15 * time.Second

type handler struct {
	Options
	mux   *http.ServeMux
	unmet unmetCache
}

// New returns the handler of all paths below Prefix.
func New(options Options) http.Handler {
	h := &handler{Options: options, mux: http.NewServeMux()}
	h.handle("GET config", h.getConfig)
	h.handle("PUT config", h.putConfig)
	h.handle("POST config/check", h.checkConfig)
	h.handle("POST zones/{zone}/out", h.postZoneOut)
	h.handle("POST zones/{zone}/in", h.postZoneIn)
	h.handle("GET status", h.getStatus)
	h.handle("GET timeline", h.getTimeline)
	h.handle("GET organisations", h.getOrganisations)
	h.handle("GET executors", h.getExecutors)
	h.handle("GET cost", h.getCost)
	if h.Metrics != nil {
		h.Metrics.MustRegister(h.unmetGauge())
	}
	return h
}

// operatorHandler serves a request of an authenticated operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, operator string)

// handle registers serve for a pattern, which is a method and a path relative to Prefix.
func (h *handler) handle(pattern string, serve operatorHandler) {
	method, path, _ := strings.Cut(pattern, " ")
	h.mux.HandleFunc(method+" "+Prefix+path, func(w http.ResponseWriter, r *http.Request) {
		if !h.canVerifyTokens() {
			problem.Write(w, outcome.NotRunBecause(outcome.ReasonStaleView,
				"this host has not read the configuration yet, so it can't authenticate operators"))
			return
		}
		operator, ok := auth.Operator(h.View.Current().Config, h.BootstrapHash, r)
		if !ok {
			h.rejectNonOperator(w, r)
			return
		}
		serve(w, r, operator)
	})
}

// canVerifyTokens reports whether this host can verify tokens. A host without a
// configuration must first confirm that none exists; otherwise the bootstrap token would
// be valid again on every host that has just started.
func (h *handler) canVerifyTokens() bool {
	return h.View.Current().Config.Version > 0 || h.View.Confirmation().MayStart(h.Clock.Now())
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, pattern := h.mux.Handler(r); pattern == "" {
		problem.Write(w, outcome.NotRunBecause(outcome.ReasonNotFound, "there is no %s %s", r.Method, r.URL.Path))
		return
	}
	h.mux.ServeHTTP(w, r)
}

// rejectNonOperator writes the error response: 403 if the token belongs to an
// organisation, else 401.
func (h *handler) rejectNonOperator(w http.ResponseWriter, r *http.Request) {
	if organisation, known := auth.Caller(h.View.Current().Config, r); known {
		problem.Write(w, outcome.NotRunBecause(outcome.ReasonForbidden,
			"the token belongs to the organisation %q, not to an operator", organisation))
		return
	}
	w.Header().Set("WWW-Authenticate", `Bearer realm="chervilrun operators"`)
	problem.Write(w, outcome.NotRunBecause(outcome.ReasonUnauthenticated, "an operator's token is required"))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "adminapi: encode response"))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_, _ = w.Write(append(body, '\n'))
}
