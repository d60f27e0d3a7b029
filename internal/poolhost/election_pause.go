package poolhost

import "time"

// Limits of the pause after a term that a panic ended.
const (
	minElectionPause = time.Second
	maxElectionPause = time.Minute
)

// pause keeps this host out of elections for a while and returns for how long.
func (e *elector) pause() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	length := min(maxElectionPause, minElectionPause<<min(e.failures, 10))
	e.failures++
	e.pausedUntil = e.clock.Now().Add(length)
	return length
}

// remainingPause is the time until this host may take part in elections again.
func (e *elector) remainingPause() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, e.pausedUntil.Sub(e.clock.Now()))
}
