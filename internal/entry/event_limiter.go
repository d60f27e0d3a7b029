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
	l := &eventLimiter{events: events, clock: clock, limiters: map[event.Number]*rate.Limiter{}}
	l.suppressed = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "chervil_request_events_suppressed_total",
		Help: "Events about requests that were left out because there were too many.",
	})
	registry.MustRegister(l.suppressed)
	return l
}

func (l *eventLimiter) record(number event.Number, subject event.Subject, detail string) {
	if !l.allow(number) {
		l.suppressed.Inc()
		return
	}
	l.events.Record(number, subject, detail)
}

func (l *eventLimiter) allow(number event.Number) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter, known := l.limiters[number]
	if !known {
		limiter = rate.NewLimiter(eventsPerSecond, eventBurst)
		l.limiters[number] = limiter
	}
	return limiter.AllowN(l.clock.Now(), 1)
}
