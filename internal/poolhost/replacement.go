package poolhost

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/store"
)

// replacement is whether and why the holder of the owner key may be replaced before its lease
// has expired.
type replacement int

const (
	keepHolder replacement = iota
	// replaceEnded: the holder's process has ended.
	replaceEnded
	// replaceSuspect: the holder may have ended, or may be cut off from this host only.
	replaceSuspect
)

// mayReplace returns whether the holder of the key may be replaced. An earlier incarnation at
// this host's own address has ended, since this one listens there. The caller holds the lock.
func (e *elector) mayReplace(kv *store.KeyValue) replacement {
	value, err := decodeOwner(kv.Value)
	switch {
	case err != nil:
		return keepHolder
	case value.Host == e.self.Host && value.Incarnation != e.self.Incarnation:
		if value.Address == e.self.Address {
			return replaceEnded
		}
		return replaceSuspect
	case e.suspects[value.Incarnation] == kv.ModRevision:
		return replaceSuspect
	}
	return keepHolder
}

// suspectOwner handles an owner that refuses connections. Its process has ended, or it is cut off
// from this host: the two can't be told apart. So this host may end the owner's lease and take
// over, but once only: an incarnation that becomes the owner again is alive, and from then on its
// lease alone decides. Otherwise two hosts that are cut off from each other would replace each
// other for as long as the cut lasts. It reports whether the suspicion is a new one.
func (e *elector) suspectOwner(incarnation string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.suspects[incarnation]; known || e.withdrawn || e.keyIncarnation != incarnation {
		return false
	}
	e.suspects[incarnation], e.suspectedAt = e.keyRevision, e.clock.Now()
	signal(e.electionDue)
	return true
}

// beginReplacement reports whether the holder of the key may be replaced. The owner key is written
// only after the holder's lease has ended: while it is valid, a holder that lives on takes itself
// for the owner until its watch on the key tells it, which may take seconds.
func (e *elector) beginReplacement(current *store.KeyValue) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	why := e.mayReplace(current)
	if why == replaceSuspect {
		e.suspectedAt = e.clock.Now()
	}
	return why != keepHolder
}

// leaseLeft returns how much of the earlier owner's lease may have been left when this host was
// elected. Nothing, unless this host has suspected that owner lately: its lease may then have been
// renewed right before it was ended. The caller holds the lock.
func (e *elector) leaseLeft() time.Duration {
	if e.suspectedAt.IsZero() || pool.Elapsed(e.clock.Now(), e.suspectedAt) > suspicionPeriod {
		return 0
	}
	return ownerLeaseTTL
}
