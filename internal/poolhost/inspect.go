package poolhost

import (
	"encoding/json"
	"net/http"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/store"
)

// The paths of the read-only JSON API for operators.
const (
	StatusPath  = "/pool/v1/status"
	ExplainPath = "/pool/v1/jobs/"
)

// Status is the status of a host and, if it owns the pool, of the pool.
type Status struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// ConfigVersion is the version in force; 0 before the first. ConfigAgeMS is the time
	// since the host last confirmed that no later version existed.
	ConfigVersion   uint64 `json:"config_version"`
	ConfigAgeMS     int64  `json:"config_age_ms"`
	ConfigConfirmed bool   `json:"config_confirmed"`
	// Owner is the host that owns the pool, as far as this host knows; empty when none does.
	Owner        string `json:"owner"`
	OwnerAddress string `json:"owner_address"`
	// FailingCalls lists the reads from the store that currently fail, and the calls to the owner
	// if they do.
	FailingCalls []string `json:"lost"`
	// Term is set when this host owns the pool.
	Term *TermStatus `json:"term,omitempty"`
}

// TermStatus is the status of the host's ownership of the pool.
type TermStatus struct {
	Fence store.Revision `json:"fence"`
	AgeMS int64          `json:"age_ms"`
	// Confirmed is true while the ownership is confirmed and the jobs are loaded.
	Confirmed bool        `json:"certain"`
	Pool      pool.Report `json:"pool"`
}

// ExplainResponse is the response for a job. Owner is false when the host does not own the pool.
type ExplainResponse struct {
	Owner        bool              `json:"owner"`
	OwnerAddress string            `json:"owner_address"`
	Found        bool              `json:"found"`
	Explanation  *pool.Explanation `json:"explanation,omitempty"`
}

// Status returns the current status of the host.
func (h *Host) Status() Status {
	config, age, fresh := h.config.get()
	s := Status{Host: h.Name, Incarnation: h.Incarnation, ConfigConfirmed: fresh, ConfigAgeMS: age.Milliseconds(), FailingCalls: append([]string{}, h.outage.listFailingReads()...)}
	if config != nil {
		s.ConfigVersion = config.Version
	}
	h.mu.Lock()
	s.Owner, s.OwnerAddress = h.owner.Host, h.owner.Address
	if h.ownerUnresponsive {
		s.FailingCalls = append(s.FailingCalls, "owner's answers")
	}
	h.mu.Unlock()
	if t := h.currentTerm(); t != nil {
		s.Term = &TermStatus{Fence: t.fence, AgeMS: h.Clock.Now().Sub(t.startedAt).Milliseconds(), Confirmed: t.isAuthoritative()}
		t.loop.Read(func(o *pool.Owner) { s.Term.Pool = o.Report() })
	}
	return s
}

// Explain returns the state of a job and why it waits.
func (h *Host) Explain(id model.JobID) ExplainResponse {
	h.mu.Lock()
	response := ExplainResponse{OwnerAddress: h.owner.Address}
	h.mu.Unlock()
	t := h.currentTerm()
	if t == nil {
		return response
	}
	response.Owner = true
	t.loop.Read(func(o *pool.Owner) {
		if explanation, found := o.Explain(id); found {
			response.Found, response.Explanation = true, &explanation
		}
	})
	return response
}

// registerOperatorRoutes adds the routes of the API for operators.
func (h *Host) registerOperatorRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+StatusPath, func(w http.ResponseWriter, _ *http.Request) { h.writeJSON(w, h.Status()) })
	mux.HandleFunc("GET "+ExplainPath+"{id}", func(w http.ResponseWriter, r *http.Request) {
		h.writeJSON(w, h.Explain(model.JobID(r.PathValue("id"))))
	})
}

func (h *Host) writeJSON(w http.ResponseWriter, response any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(response); err != nil {
		h.Events.RecordFields(event.RequestNotRun, event.Subject{}, event.Fields{"why": err.Error()})
	}
}
