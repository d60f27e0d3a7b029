package event

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limit is the rate limit on log lines of one kind of event. It does not apply to the
// ring buffer.
type Limit struct {
	// PerSecond is the sustained rate of lines, Burst the number of lines allowed at once.
	PerSecond rate.Limit
	Burst     int
}

// DefaultLimit is above what a pool of some hundred workers logs, and stops a flood of one
// kind of event from hiding the others.
var DefaultLimit = Limit{PerSecond: 200, Burst: 1000}

// throttle limits the log lines of each kind of event and counts the suppressed ones.
type throttle struct {
	limit Limit

	mu    sync.Mutex
	kinds map[Number]*kindLimiter
}

type kindLimiter struct {
	limiter    *rate.Limiter
	suppressed int
}

func newThrottle(limit Limit) *throttle {
	return &throttle{limit: limit, kinds: map[Number]*kindLimiter{}}
}

// admit reports whether a line may be written, and how many lines of its kind were
// suppressed since the last one written.
func (t *throttle) admit(number Number, now time.Time) (suppressed int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kinds[number]
	if k == nil {
		k = &kindLimiter{limiter: rate.NewLimiter(t.limit.PerSecond, t.limit.Burst)}
		t.kinds[number] = k
	}
	if !k.limiter.AllowN(now, 1) {
		k.suppressed++
		return 0, false
	}
	suppressed, k.suppressed = k.suppressed, 0
	return suppressed, true
}
