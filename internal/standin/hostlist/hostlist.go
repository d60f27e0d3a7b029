// Package hostlist is a stand-in (fake) of the platform's list of live and leaving
// hosts. Changes become visible after a delay.
package hostlist

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/chervilrun/chervilrun/internal/hostlist"
)

// PathFault is the path that sets the faults, by POST of a Fault.
const PathFault = "/fault"

// Fault is the set of faults that the stand-in injects.
type Fault struct {
	// Down refuses every read of the list.
	Down bool `json:"down,omitempty"`
	// LagMS is the delay until a change becomes visible, in milliseconds.
	LagMS int64 `json:"lag_ms,omitempty"`
}

// Server serves the list and accepts a new one by PUT. It is safe for concurrent use.
type Server struct {
	clock clockwork.Clock
	mux   *http.ServeMux

	mu      sync.Mutex
	fault   Fault
	visible hostlist.Hosts
	pending []pendingUpdate
}

type pendingUpdate struct {
	due   time.Time
	hosts hostlist.Hosts
}

// NewServer returns a server with the given list.
func NewServer(clock clockwork.Clock, hosts hostlist.Hosts) *Server {
	s := &Server{clock: clock, mux: http.NewServeMux(), visible: hosts}
	s.mux.HandleFunc("GET "+hostlist.Path, s.serveList)
	s.mux.HandleFunc("PUT "+hostlist.Path, s.serveReplacement)
	s.mux.HandleFunc("POST "+PathFault, s.serveFault)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetHosts replaces the list; the new one becomes visible after the current LagMS.
func (s *Server) SetHosts(hosts hostlist.Hosts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.clock.Now().Add(time.Duration(s.fault.LagMS) * time.Millisecond)
	s.pending = append(s.pending, pendingUpdate{due, hosts})
}

// SetFault replaces the faults in force.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// current returns the visible list and whether the server is up.
func (s *Server) current() (hostlist.Hosts, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for len(s.pending) > 0 && !now.Before(s.pending[0].due) {
		s.visible = s.pending[0].hosts
		s.pending = s.pending[1:]
	}
	return s.visible, !s.fault.Down
}

// serveList responds with the list and its entity tag, or with status 304 if the client
// already has this version.
func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	hosts, up := s.current()
	if !up {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	text, err := json.Marshal(hosts)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(text), 16)))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(text))
}

func (s *Server) serveReplacement(w http.ResponseWriter, r *http.Request) {
	var hosts hostlist.Hosts
	if decode(w, r, &hosts) {
		s.SetHosts(hosts)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if decode(w, r, &fault) {
		s.SetFault(fault)
		w.WriteHeader(http.StatusNoContent)
	}
}

func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
