// Package adminserver assembles the operators' API for chervil-admin.
package adminserver

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/chervilrun/chervilrun/internal/acceptance"
	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/collect"
	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/process"
	"github.com/chervilrun/chervilrun/internal/settings"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/view"
)

// Settings are the settings of the operators' API.
type Settings struct {
	// BootstrapHash is the SHA-256, in hexadecimal, of the token that may submit the
	// first configuration; if it is empty, no token may.
	BootstrapHash string
}

// Declare adds the settings to set.
func (s *Settings) Declare(set *settings.Set) {
	set.SHA256(&s.BootstrapHash, "bootstrap-token-sha256",
		"SHA-256 `hash` of the token that may submit the first configuration; without effect afterwards")
}

// View is the view of this host. It also tracks the configuration changes in progress,
// which the view may not include yet.
type View interface {
	view.Source
	BeginChange() (endChange func())
}

// Mount serves the operators' API on the process's mux. self describes this host, and
// changes are written to the store st. When ctx ends, unknown outcomes of changes are no
// longer resolved.
func (s Settings) Mount(ctx context.Context, p *process.Process, source View, st store.Store, self view.Member) {
	collector := &collect.Collector{Client: p.InternalClient(), View: source, Self: self}
	acceptor := acceptance.New(acceptance.Options{
		Store:       st,
		View:        source,
		Pack:        guarantee.Pack,
		Clock:       p.Clock,
		Events:      p.Events,
		NewAttempt:  newAttemptIDs(p.Incarnation),
		BeginChange: source.BeginChange,
		Lifetime:    ctx,
		Metrics:     p.Metrics,
		Seed:        p.Seed,
	})
	p.Mux.Handle(adminapi.Prefix, s.handler(p, source, acceptor, collector))
}

func (s Settings) handler(p *process.Process, source view.Source, acceptor *acceptance.Acceptor, collector *collect.Collector) http.Handler {
	return adminapi.New(adminapi.Options{
		Host:            p.HostID(),
		Version:         process.Version(),
		Acceptor:        acceptor,
		View:            source,
		Clock:           p.Clock,
		Metrics:         p.Metrics,
		BootstrapHash:   s.BootstrapHash,
		QueryPeers:      collector.Peers,
		CollectTimeline: collector.Timeline,
		CollectCost:     collector.Cost,
	})
}

// newAttemptIDs returns a function that generates attempt IDs. They are unique across all
// processes, since each start of a process has a new incarnation.
func newAttemptIDs(incarnation string) func() model.AttemptID {
	var count atomic.Uint64
	return func() model.AttemptID {
		return model.AttemptID(fmt.Sprintf("%s/config/%d", incarnation, count.Add(1)))
	}
}
