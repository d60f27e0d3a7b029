package harness2

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The times of the adviser: decideMs, eachMs and validMs of the queue with advice.
const (
	DecideTime = 300 * time.Millisecond
	EachTime   = 40 * time.Millisecond
	ValidTime  = 3 * time.Second
	maxWaiting = 32
)

// AdviserHandler serves the adviser of a deployment with one host: it handles one call at a time, in
// turn, and permits every second executor.
func (p *Pool) AdviserHandler() http.Handler {
	var turn sync.Mutex
	var waiting int
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Workers) > 100 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		arrived := time.Now()
		p.mu.Lock()
		waiting++
		full := waiting > maxWaiting
		p.mu.Unlock()
		defer func() { p.mu.Lock(); waiting--; p.mu.Unlock() }()
		if full {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		turn.Lock()
		time.Sleep(DecideTime + time.Duration(len(body.Workers))*EachTime)
		turn.Unlock()
		good := [][]string{}
		p.mu.Lock()
		for _, id := range body.Workers {
			if strings.ContainsAny(id[len(id)-1:], "02468ace") {
				ticket := body.Step + "/" + id
				p.tickets[ticket] = time.Now().Add(ValidTime)
				good = append(good, []string{id, ticket})
			}
		}
		p.mu.Unlock()
		p.bench.Log("advice on %s: %d of %d workers, %d ms after the request", body.Step, len(good), len(body.Workers), time.Since(arrived).Milliseconds())
		writeJSON(w, http.StatusOK, map[string]any{"good": good, "validMs": ValidTime.Milliseconds()})
	})
}

// ticketValid reports whether an order carries a valid ticket for the executor. The pool is locked.
func (p *Pool) ticketValid(executor string, o order) bool {
	step := o.Task[:strings.LastIndexByte(o.Task, '.')]
	until, known := p.tickets[o.Token]
	return known && o.Token == step+"/"+executor && time.Now().Before(until)
}
