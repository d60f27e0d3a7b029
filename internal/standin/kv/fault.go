package kv

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/chervilrun/chervilrun/internal/store/memory"
)

// PathFault is the path that sets the faults, by POST of a Fault.
const PathFault = "/fault"

// Fault is a set of faults that the stand-in injects; the zero value ends all faults.
type Fault struct {
	// Client limits the faults to clients whose User-Agent starts with it; empty means all.
	Client string `json:"client,omitempty"`
	// Down refuses every call and ends the watches.
	Down bool `json:"down,omitempty"`
	// Frozen holds back every call and every batch of a watch until it is set to false.
	Frozen bool `json:"frozen,omitempty"`
	// DelayMS delays every call before it takes effect, ResponseDelayMS its response after.
	DelayMS         int64 `json:"delay_ms,omitempty"`
	ResponseDelayMS int64 `json:"answer_delay_ms,omitempty"`
	// LoseResponses closes the connection of that many writes after they took effect; -1
	// means of all.
	LoseResponses int `json:"lose_answers,omitempty"`
	// BreakWatches ends every watch once; Compact compacts the history up to now.
	BreakWatches bool `json:"break_watches,omitempty"`
	Compact      bool `json:"compact,omitempty"`
}

func (k *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.SetFault(fault)
	w.WriteHeader(http.StatusNoContent)
}

// SetFault replaces the faults of the clients that fault.Client selects; the zero value
// ends the faults of all clients.
func (k *Server) SetFault(fault Fault) {
	if fault == (Fault{}) {
		k.clearClientFaults()
	}
	k.setFrozen(fault.Client, fault.Frozen)
	faults := memory.Faults{
		Down:          fault.Down,
		Delay:         time.Duration(fault.DelayMS) * time.Millisecond,
		ResponseDelay: time.Duration(fault.ResponseDelayMS) * time.Millisecond,
		LoseResponses: fault.LoseResponses,
	}
	if fault.Client == "" {
		k.store.SetFaults(faults)
	} else {
		k.setClientFaults(fault.Client, faults)
	}
	if fault.BreakWatches {
		k.store.BreakWatches()
	}
	if fault.Compact {
		k.store.Compact()
	}
}

func (k *Server) setClientFaults(prefix string, faults memory.Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults[prefix] = faults
	for name, client := range k.clients {
		if strings.HasPrefix(name, prefix) {
			client.SetFaults(faults)
		}
	}
}

// clearClientFaults ends the faults that are limited to some clients, and all freezes.
func (k *Server) clearClientFaults() {
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.faults)
	for _, client := range k.clients {
		client.SetFaults(memory.Faults{})
	}
	for _, unfrozen := range k.frozen {
		close(unfrozen)
	}
	clear(k.frozen)
}

func (k *Server) setFrozen(prefix string, frozen bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	unfrozen, isFrozen := k.frozen[prefix]
	switch {
	case frozen && !isFrozen:
		k.frozen[prefix] = make(chan struct{})
	case !frozen && isFrozen:
		close(unfrozen)
		delete(k.frozen, prefix)
	}
}
