package acceptance

import (
	"math/rand/v2"
	"sync"
	"time"
)

// jitter randomises retry delays, so that concurrent writers don't conflict repeatedly.
type jitter struct {
	mu     sync.Mutex
	random *rand.Rand
}

// delay returns a random duration whose mean is attempt times retryDelay.
func (j *jitter) delay(attempt int) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return time.Duration(j.random.Int64N(2 * int64(attempt) * int64(retryDelay)))
}
