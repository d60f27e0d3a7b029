package poolhost

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Route maps requests to a queue.
type Route struct {
	Queue workflow.Queue
	// Host and Prefix select the route: the longest matching prefix of the path applies.
	Host   string
	Prefix string
	// Public routes need no API key.
	Public bool
}

// Limits holds the maximum sizes of a request.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int
}

// Configuration is one decoded version of the operators' configuration.
type Configuration struct {
	Version uint64
	Routes  []Route
	// Keys maps each API key to its organisation.
	Keys       map[string]model.OrganisationID
	Guarantees map[model.OrganisationID]int
	// ZonesOutOfService holds the availability zones that are taken out of service.
	ZonesOutOfService map[model.AvailabilityZoneID]bool
	Limits            Limits
	// Waves are the upkeep waves that operators request; the decoder counts Due from
	// the time of decoding.
	Waves []pool.Wave

	byHost map[string][]Route
}

// Index prepares the lookup of routes.
func (c *Configuration) Index() {
	c.byHost = map[string][]Route{}
	for _, route := range c.Routes {
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Route returns the route of a path and the rest of the path after its prefix.
func (c *Configuration) Route(host, path string) (Route, string, bool) {
	for _, route := range c.byHost[host] {
		if rest, ok := strings.CutPrefix(path, route.Prefix); ok {
			return route, rest, true
		}
	}
	return Route{}, "", false
}

// Policy returns the part of the configuration that the owner of the pool depends on.
func (c *Configuration) Policy() pool.Policy {
	return pool.Policy{Guarantees: c.Guarantees, ZonesOutOfService: c.ZonesOutOfService}
}

// configState holds the configuration in force, and when it was last known to be the newest.
type configState struct {
	clock  clockwork.Clock
	events *event.Recorder
	// keyRevocationLimit is the time after which a revoked API key must no longer work.
	keyRevocationLimit time.Duration

	mu            sync.Mutex
	current       *Configuration
	lastConfirmed time.Time
	stale         bool
}

// revocationMargin is the part of the key revocation limit left for the request itself.
const revocationMargin = 900 * time.Millisecond

// set replaces the configuration; an older version is never applied.
func (d *configState) set(c *Configuration, confirmedAt time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil && c.Version < d.current.Version {
		d.events.RecordFields(event.ConfigRefused, event.Subject{}, event.Fields{"version": c.Version, "in_force": d.current.Version, "why": "older than the one in force"})
		return false
	}
	d.current = c
	d.confirmLocked(confirmedAt)
	return true
}

func (d *configState) confirmLocked(at time.Time) {
	if at.After(d.lastConfirmed) {
		d.lastConfirmed = at
	}
}

func (d *configState) confirm(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmLocked(at)
}

// get returns the configuration in force, the time since it was last confirmed, and
// whether that is recent enough. It records an event when the latter changes.
func (d *configState) get() (*Configuration, time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil {
		return nil, 0, false
	}
	age := pool.Elapsed(d.clock.Now(), d.lastConfirmed)
	fresh := age <= d.keyRevocationLimit-revocationMargin
	if fresh == d.stale {
		d.stale = !fresh
		number := event.ViewConfirmed
		if d.stale {
			number = event.ViewStale
		}
		d.events.RecordFields(number, event.Subject{}, event.Fields{"version": d.current.Version, "age_ms": age.Milliseconds()})
	}
	return d.current, age, fresh
}
