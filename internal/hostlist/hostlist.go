// Package hostlist reads the platform's list of live and leaving hosts. The list may
// lag behind the actual state.
package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Hosts is the platform's list.
type Hosts struct {
	Workers   []model.Worker   `json:"workers"`
	Executors []model.Executor `json:"executors"`
	// EntryHosts lists the entry hosts; it is empty when the platform does not list them.
	EntryHosts []EntryHost `json:"entry_hosts,omitempty"`
	// Tag identifies the version of the list: equal tags mean equal lists. It is empty when
	// the platform sends no tags.
	Tag string `json:"-"`
}

// EntryHost is an entry host in the platform's list.
type EntryHost struct {
	Host  model.HostID    `json:"host"`
	State model.HostState `json:"state"`
}

// Lister reads the list.
type Lister interface {
	// List returns the complete current list.
	List(ctx context.Context) (Hosts, error)
}

// Path is the URL path of the list.
const Path = "/v1/hosts"

// maxListBytes limits the size of a list: 10,000 hosts of at most 400 bytes each.
const maxListBytes = 4 << 20

// HTTPClient reads a list that is served as JSON over HTTP. It sends the entity tag of the
// last response (RFC 9110, If-None-Match), so that a platform with entity tags sends
// the list only when it has changed. It is safe for concurrent use.
type HTTPClient struct {
	url    string
	client *http.Client

	mu   sync.Mutex
	last Hosts
}

// NewHTTPClient returns a client for the list below the given base URL; timeout limits each call.
func NewHTTPClient(url string, timeout time.Duration) *HTTPClient {
	return &HTTPClient{url: strings.TrimSuffix(url, "/") + Path, client: &http.Client{Timeout: timeout}}
}

// List implements Lister.
func (h *HTTPClient) List(ctx context.Context) (Hosts, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url, nil)
	if err != nil {
		return Hosts{}, errors.Wrap(err, "list of hosts")
	}
	if h.last.Tag != "" {
		request.Header.Set("If-None-Match", h.last.Tag)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return Hosts{}, errors.Wrap(err, "list of hosts")
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusNotModified && h.last.Tag != "":
		return h.last, nil
	case response.StatusCode != http.StatusOK:
		return Hosts{}, errors.Errorf("list of hosts: %s", response.Status)
	}
	var hosts Hosts
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&hosts); err != nil {
		return Hosts{}, errors.Wrap(err, "list of hosts")
	}
	hosts.Tag = response.Header.Get("ETag")
	h.last = hosts
	return hosts, nil
}
