package pool

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/worker"
	workerhttp "github.com/chervilrun/chervilrun/internal/worker/http"
)

// FaultRequest is the body of POST /fault, which sets the faults of all workers that match
// Worker, Rack and Zone; empty fields match all.
type FaultRequest struct {
	Worker model.WorkerID           `json:"worker,omitempty"`
	Rack   model.RackID             `json:"rack,omitempty"`
	Zone   model.AvailabilityZoneID `json:"zone,omitempty"`
	Faults Faults                   `json:"faults"`
	// Restart also makes the workers lose their tasks and all other state.
	Restart bool `json:"restart,omitempty"`
}

// maxBodyBytes limits the size of a request.
const maxBodyBytes = 16 << 20

// workerPath is the prefix of the path of each worker: /w/ID/v1/exchange.
const workerPath = "/w/"

// Handler serves all workers under /w/ID, as well as POST /fault, GET /audit, GET /history
// and GET /workers.
func (p *Pool) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+workerPath+"{worker}"+workerhttp.Path, func(w http.ResponseWriter, r *http.Request) {
		p.serveExchange(w, r, model.WorkerID(r.PathValue("worker")))
	})
	mux.HandleFunc("POST /fault", p.serveFault)
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Audit()) })
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.History()) })
	mux.HandleFunc("GET /workers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Workers()) })
	return mux
}

// EndpointAt returns the endpoint of a worker behind Handler at address.
func EndpointAt(address string, id model.WorkerID) string { return address + workerPath + string(id) }

// Listen serves each worker on its own port of host and adds it to the pool.
func (p *Pool) Listen(host string, workers []model.Worker) error {
	for _, info := range workers {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return errors.Wrap(err, "pool: listen on a port for a worker")
		}
		info.Endpoint = listener.Addr().String()
		p.Add(info)
		id := info.ID
		server := &http.Server{
			ReadHeaderTimeout: 10 * time.Second,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				p.serveExchange(w, r, id)
			}),
		}
		go func() { _ = server.Serve(listener) }() // runs as long as the process
	}
	return nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client may have disconnected
}

func (p *Pool) serveExchange(w http.ResponseWriter, r *http.Request, id model.WorkerID) {
	var exchange worker.Exchange
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&exchange); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	_, known := p.nodes[id]
	p.mu.Unlock()
	if !known {
		http.Error(w, "no such worker", http.StatusServiceUnavailable)
		return
	}
	response, result := p.deliver(id, exchange)
	if result.delay > 0 {
		p.clock.Sleep(result.delay)
	}
	if result.dropped {
		<-r.Context().Done() // until the caller gives up, as if the connection were lost
		return
	}
	p.writeResponse(w, response, result)
}

func (p *Pool) writeResponse(w http.ResponseWriter, response worker.Response, result delivery) {
	switch {
	case errors.Is(result.err, worker.ErrEpoch):
		http.Error(w, result.err.Error(), http.StatusConflict)
	case errors.Is(result.err, worker.ErrTooLate):
		http.Error(w, result.err.Error(), http.StatusGone)
	case errors.Is(result.err, worker.ErrUnreachable):
		http.Error(w, result.err.Error(), http.StatusServiceUnavailable)
	case result.truncated:
		text, _ := json.Marshal(response)
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text[:len(text)/2])
	default:
		writeJSON(w, response)
	}
}

func (p *Pool) serveFault(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	matched := 0
	for _, info := range p.Workers() {
		if !request.matches(info) {
			continue
		}
		matched++
		p.SetFaults(info.ID, request.Faults)
		if request.Restart {
			p.Restart(info.ID)
		}
	}
	writeJSON(w, map[string]int{"workers": matched})
}

func (f FaultRequest) matches(info model.Worker) bool {
	return (f.Worker == "" || f.Worker == info.ID) &&
		(f.Rack == "" || f.Rack == info.Rack) &&
		(f.Zone == "" || f.Zone == info.Zone)
}
