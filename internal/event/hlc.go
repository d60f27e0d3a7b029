package event

import (
	"fmt"
	"sync"

	"github.com/jonboulle/clockwork"
)

// Timestamp is a reading of a hybrid logical clock. It is close to the wall clock time and
// orders an event after every event that its process knew of.
type Timestamp struct {
	// WallNS is the wall clock time in nanoseconds since 1970.
	WallNS int64 `json:"wall_ns"`
	// Logical breaks ties between events with the same WallNS.
	Logical uint32 `json:"logical"`
}

// Before reports whether t is before other.
func (t Timestamp) Before(other Timestamp) bool {
	if t.WallNS != other.WallNS {
		return t.WallNS < other.WallNS
	}
	return t.Logical < other.Logical
}

// String formats t as "wall.logical". The texts sort by time when their wall parts have
// the same number of digits.
func (t Timestamp) String() string { return fmt.Sprintf("%d.%06d", t.WallNS, t.Logical) }

// HybridClock returns strictly increasing timestamps within one process.
type HybridClock struct {
	clock clockwork.Clock
	mu    sync.Mutex
	last  Timestamp
}

// NewHybridClock returns a hybrid clock that reads the given wall clock.
func NewHybridClock(clock clockwork.Clock) *HybridClock {
	return &HybridClock{clock: clock}
}

// Now returns the next timestamp.
func (h *HybridClock) Now() Timestamp {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.advance(Timestamp{})
}

// Observe moves the clock past a timestamp received from another process.
func (h *HybridClock) Observe(remote Timestamp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(remote)
}

func (h *HybridClock) advance(remote Timestamp) Timestamp {
	latest := h.last
	if latest.Before(remote) {
		latest = remote
	}
	wall := h.clock.Now().UnixNano()
	if wall > latest.WallNS {
		h.last = Timestamp{WallNS: wall}
	} else {
		h.last = Timestamp{WallNS: latest.WallNS, Logical: latest.Logical + 1}
	}
	return h.last
}
