// Package open declares a process's settings for the platform's key-value service and
// creates its client: the etcd implementation wrapped in a call budget.
package open

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/process"
	"github.com/chervilrun/chervilrun/internal/settings"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/budget"
	"github.com/chervilrun/chervilrun/internal/store/etcd"
)

// Settings configure a process's use of the store.
type Settings struct {
	// URLs are the addresses of the key-value service.
	URLs []string
	// CallTimeout limits the time of every call except a watch.
	CallTimeout time.Duration
	Limits      budget.Limits
}

// Defaults and limits of the settings.
const (
	defaultCallTimeout = 4 * time.Second
	maxCallTimeout     = time.Minute
	maxCallsPerSecond  = 2000
)

// Declare adds the settings to set.
func (s *Settings) Declare(set *settings.Set) {
	limits := budget.DefaultLimits
	set.URLs(&s.URLs, "store-urls", "`URLs` of the key-value service")
	set.Duration(&s.CallTimeout, "store-timeout", defaultCallTimeout, time.Millisecond, maxCallTimeout, "longest time of a call to the key-value service")
	set.Int(&s.Limits.ReadsPerSecond, "store-reads-per-second", limits.ReadsPerSecond, 1, maxCallsPerSecond, "most reads a second of this process")
	set.Int(&s.Limits.WritesPerSecond, "store-writes-per-second", limits.WritesPerSecond, 1, maxCallsPerSecond, "most writes a second of this process")
	set.Int(&s.Limits.LeasesPerSecond, "store-leases-per-second", limits.LeasesPerSecond, 1, maxCallsPerSecond, "most calls for leases a second of this process")
}

// Open returns the store for the process.
func (s *Settings) Open(p *process.Process) store.Store {
	return budget.New(etcd.New(s.URLs, p.Agent(), s.CallTimeout), p.Clock, s.Limits, p.Metrics)
}
