// Package executor is a stand-in (fake) of the executors of a service. It responds to
// each request with a transformation of its body, counts the runs per idempotency key,
// and injects the faults that executors have.
package executor

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	executorapi "github.com/chervilrun/chervilrun/internal/executor"
	"github.com/chervilrun/chervilrun/internal/outcome"
)

// Faults are the faults that a stand-in injects. Each EveryN field affects every Nth
// request; 0 disables it.
type Faults struct {
	// ServiceMS is how long each run takes, in milliseconds.
	ServiceMS int64 `json:"service_ms"`
	// Frozen holds back every response until it is set to false.
	Frozen bool `json:"frozen"`
	// LateEveryN delays the response by LateMS.
	LateEveryN int   `json:"late_every_n"`
	LateMS     int64 `json:"late_ms"`
	// MismatchedEveryN sends the response to the previous attempt.
	MismatchedEveryN int `json:"crossed_every_n"`
	// TruncatedEveryN closes the connection in the middle of the body.
	TruncatedEveryN int `json:"truncated_every_n"`
	// DuplicatedEveryN sends the response twice on the connection.
	DuplicatedEveryN int `json:"doubled_every_n"`
	// CorruptEveryN changes a byte of the body after computing the digest.
	CorruptEveryN int `json:"corrupt_every_n"`
	// FailsEveryN runs the request and responds with status 500.
	FailsEveryN int `json:"fails_every_n"`
	// LostEveryN runs the request and closes the connection without a response.
	LostEveryN int `json:"lost_every_n"`
	// RefusesEveryN refuses the request without running it.
	RefusesEveryN int `json:"refuses_every_n"`
}

// Stats counts the requests to a stand-in.
type Stats struct {
	// Runs counts runs by idempotency key, or by attempt for requests without a key.
	Runs map[string]int `json:"runs"`
	// Requests counts all requests, including refused ones.
	Requests int64 `json:"requests"`
	// MaxInFlight is the maximum number of concurrent requests.
	MaxInFlight int `json:"max_in_flight"`
	// Refused counts requests refused for lack of a slot or by RefusesEveryN.
	Refused int64 `json:"refused"`
}

// Options configure a stand-in.
type Options struct {
	// Slots is the number of requests that run concurrently; more are refused.
	Slots int
	Clock clockwork.Clock
	// CountRuns enables Stats.Runs, which grows with every key; long measurements do
	// without it.
	CountRuns bool
}

// Server is one stand-in executor. It serves the protocol of executors, POST /fault with
// Faults as JSON, and GET /stats.
type Server struct {
	options Options
	mux     *http.ServeMux

	mu       sync.Mutex
	faults   Faults
	unfrozen chan struct{}
	stats    Stats
	inFlight int
	previous sentResponse
}

// sentResponse is a response that the next attempt may get by MismatchedEveryN.
type sentResponse struct {
	attempt string
	body    []byte
}

// NewServer returns a stand-in executor.
func NewServer(options Options) *Server {
	s := &Server{options: options, mux: http.NewServeMux(), unfrozen: make(chan struct{})}
	s.stats.Runs = map[string]int{}
	s.mux.HandleFunc("POST /v1/services/{service}/run", s.serveRun)
	s.mux.HandleFunc("POST /fault", s.serveFaults)
	s.mux.HandleFunc("GET /stats", s.serveStats)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Frozen && !faults.Frozen {
		close(s.unfrozen)
		s.unfrozen = make(chan struct{})
	}
	s.faults = faults
}

// Stats returns a copy of the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Runs = maps.Clone(s.stats.Runs)
	return stats
}

// Transform returns the response body for a request body.
func Transform(body []byte) []byte { return append([]byte("answer to "), body...) }

const maxBodyBytes = 32 << 20

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Stats())
}

// requestFaults holds the faults that apply to one request. number counts all requests,
// unfrozen is closed when Frozen ends.
type requestFaults struct {
	faults   Faults
	number   int64
	unfrozen chan struct{}
}

func (f requestFaults) affectedBy(everyN int) bool {
	return everyN > 0 && f.number%int64(everyN) == 0
}

func (s *Server) admit() (requestFaults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests++
	f := requestFaults{faults: s.faults, number: s.stats.Requests, unfrozen: s.unfrozen}
	if f.affectedBy(f.faults.RefusesEveryN) || s.inFlight >= s.options.Slots {
		s.stats.Refused++
		return f, false
	}
	s.inFlight++
	s.stats.MaxInFlight = max(s.stats.MaxInFlight, s.inFlight)
	return f, true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

func (s *Server) countRun(r *http.Request) {
	if !s.options.CountRuns {
		return
	}
	key := r.Header.Get(executorapi.HeaderIdempotencyKey)
	if key == "" {
		key = r.Header.Get(executorapi.HeaderAttempt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Runs[key]++
}

func (s *Server) serveRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "request body incomplete or too large", http.StatusBadRequest)
		return
	}
	f, admitted := s.admit()
	attempt := r.Header.Get(executorapi.HeaderAttempt)
	w.Header().Set(executorapi.HeaderAttempt, attempt)
	if !admitted {
		w.Header().Set(executorapi.HeaderOutcome, string(outcome.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	s.countRun(r)
	s.delay(r, f)
	s.respond(w, f, Transform(body))
}

func (s *Server) delay(r *http.Request, f requestFaults) {
	if f.faults.Frozen {
		select {
		case <-f.unfrozen:
		case <-r.Context().Done():
		}
	}
	ms := f.faults.ServiceMS
	if f.affectedBy(f.faults.LateEveryN) {
		ms += f.faults.LateMS
	}
	if ms > 0 {
		s.options.Clock.Sleep(time.Duration(ms) * time.Millisecond)
	}
}

func (s *Server) respond(w http.ResponseWriter, f requestFaults, body []byte) {
	header := w.Header()
	other := s.swapPrevious(sentResponse{header.Get(executorapi.HeaderAttempt), body})
	if f.affectedBy(f.faults.MismatchedEveryN) {
		header.Set(executorapi.HeaderAttempt, other.attempt)
		body = other.body
	}
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(executorapi.HeaderDigest, executorapi.Digest(body))
	switch {
	case f.affectedBy(f.faults.FailsEveryN):
		w.WriteHeader(http.StatusInternalServerError)
	case f.affectedBy(f.faults.LostEveryN):
		panic(http.ErrAbortHandler)
	case f.affectedBy(f.faults.TruncatedEveryN):
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case f.affectedBy(f.faults.CorruptEveryN):
		body = append([]byte("x"), body[1:]...)
	case f.affectedBy(f.faults.DuplicatedEveryN):
		writeDuplicated(w, body)
		return
	}
	_, _ = w.Write(body)
}

// swapPrevious stores a response and returns the one stored before.
func (s *Server) swapPrevious(next sentResponse) sentResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.previous
	s.previous = next
	if previous.body == nil {
		previous = sentResponse{attempt: "none", body: []byte("x")}
	}
	return previous
}

// writeDuplicated sends the same response twice on the connection.
func writeDuplicated(w http.ResponseWriter, body []byte) {
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&text)
	text.WriteString("\r\n")
	text.Write(body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	response := []byte(text.String())
	_, _ = conn.Write(append(response, response...))
}
