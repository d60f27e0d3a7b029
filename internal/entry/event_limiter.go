package entry

import (
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/chervilrun/chervilrun/internal/event"
)

// Limits of the events about requests, for each event number.
const (
	eventsPerSecond = 50
	eventBurst      = 200
)

// eventLimiter limits the rate of events about requests, so that an overload floods
// neither the log nor the event timeline. The metrics count every request.
type eventLimiter struct {
	events     *event.Recorder
	clock      clockwork.Clock
	suppressed prometheus.Counter

	mu       sync.Mutex
	limiters map[event.Number]*rate.Limiter
}

func newEventLimiter(events *event.Recorder, clock clockwork.Clock, registry prometheus.Registerer) *eventLimiter {
	g := &eventLimiter{events: events, clock: clock, limiters: map[event.Number]*rate.Limiter{}}
	g.suppressed = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "chervil_request_events_suppressed_total",
		Help: "Events about requests that were left out because there were too many.",
	})
	registry.MustRegister(g.suppressed)
	return g
}

func (g *eventLimiter) record(number event.Number, subject event.Subject, detail string) {
	if !g.allow(number) {
		g.suppressed.Inc()
		return
	}
	g.events.Record(number, subject, detail)
}

func (g *eventLimiter) allow(number event.Number) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	limiter, known := g.limiters[number]
	if !known {
		limiter = rate.NewLimiter(eventsPerSecond, eventBurst)
		g.limiters[number] = limiter
	}
	return limiter.AllowN(g.clock.Now(), 1)
}
