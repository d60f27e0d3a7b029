package event

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limit bounds the log lines of each kind of event. The ring is not bounded by it.
type Limit struct {
	// PerSecond is the rate of lines in the long run, Burst what may come at once.
	PerSecond rate.Limit
	Burst     int
}

// DefaultLimit lets through what a pool of some hundred workers logs, and keeps a storm
// of one kind of event from hiding the others.
var DefaultLimit = Limit{PerSecond: 200, Burst: 1000}

// throttle counts what is left out of the log, by number.
type throttle struct {
	limit Limit

	mu    sync.Mutex
	kinds map[Number]*kind
}

type kind struct {
	limiter *rate.Limiter
	leftOut int
}

func newThrottle(limit Limit) *throttle {
	return &throttle{limit: limit, kinds: map[Number]*kind{}}
}

// admit reports whether a line may be written, and how many of its kind were left out
// since the last one that was.
func (t *throttle) admit(number Number, now time.Time) (leftOut int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kinds[number]
	if k == nil {
		k = &kind{limiter: rate.NewLimiter(t.limit.PerSecond, t.limit.Burst)}
		t.kinds[number] = k
	}
	if !k.limiter.AllowN(now, 1) {
		k.leftOut++
		return 0, false
	}
	leftOut, k.leftOut = k.leftOut, 0
	return leftOut, true
}
