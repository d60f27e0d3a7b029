package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// The routes, the tenants and the keys of all cases.
const (
	routeHost = "ledger.example"
	deadline  = 3 * time.Second
)

type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"memMb"`
	GPU           int    `json:"gpu,omitempty"`
	EstRunMS      int    `json:"estRunMs"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	MaxPerServer  int    `json:"maxPerServer,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	SavesProgress bool   `json:"savesProgress,omitempty"`
}

type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	LongRunning bool   `json:"longRunning,omitempty"`
}

// configuration returns a configuration with an urgent and a batch queue and two tenants.
func configuration(version, guaranteed int) map[string]any {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{"name": name, "host": routeHost, "prefix": prefix, "service": serviceName, "kind": "unsafe", "timeoutMs": 3000, "priority": priority, "maxAttempts": 3, "stretch": 3, "sloMs": 3000, "public": false}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("urgent", "/urgent/", 0), route("batch", "/batch/", 2)},
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/health", "maxConns": 64, "admissionCheck": false}},
		"limits":   map[string]any{"maxBodyBytes": 262144, "maxHeaderBytes": 65536},
		"tenants": []any{
			map[string]any{"name": "aso", "apiKeys": []string{"key-aso"}, "guaranteed": map[string]any{"gpu": guaranteed}},
			map[string]any{"name": "genkai", "apiKeys": []string{"key-genkai"}, "guaranteed": map[string]any{"gpu": 0}},
		},
	}
}

// call makes one call of a client to a host and returns the status and the body; 0 if there was
// no complete answer.
func (c *cluster) call(h *host, method, path, key string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, reader)
	if err != nil {
		panic(err)
	}
	r.Host = routeHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := c.client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close() //nolint:errcheck // nothing is lost when closing a read body fails
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(bytes.TrimSpace(text))
}

// submit hands a job in, at one host after the other, until it is answered 2xx, five times at most.
// It reports whether it was.
func (c *cluster) submit(path, key string, j job) bool {
	for try := range 5 {
		h := c.hosts[try%len(c.hosts)]
		status, text := c.call(h, http.MethodPost, path, key, j)
		c.record("client: POST %s to %s, spec %q: %d %s", path, h.name, j.Spec, status, text)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (c *cluster) state(path, key string) (int, string) {
	status, text := c.call(c.hosts[len(c.hosts)-1], http.MethodGet, path, key, nil)
	c.record("client: GET %s: %d %s", path, status, text)
	return status, text
}
