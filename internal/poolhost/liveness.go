package poolhost

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
)

// livenessRetryInterval is the time between attempts to connect to the owner.
const livenessRetryInterval = 500 * time.Millisecond

// watchOwner keeps an idle connection to the owner. When it breaks and a new one is refused, the
// owner is suspected to have ended, and its lease need not expire first: see
// elector.suspectOwner. An owner that merely doesn't respond keeps its lease.
func (h *Host) watchOwner(ctx context.Context) {
	for ctx.Err() == nil {
		h.mu.Lock()
		owner, ownerChanged := h.owner, h.ownerChanged
		h.mu.Unlock()
		if owner.Address == "" || owner.Incarnation == h.Incarnation {
			select {
			case <-ctx.Done():
			case <-ownerChanged:
			}
			continue
		}
		if h.waitForRefusal(ctx, owner.Address, ownerChanged) && h.elector.suspectOwner(owner.Incarnation) {
			h.Events.RecordFields(event.OwnerSuspected, event.Subject{Host: owner.Host}, event.Fields{"incarnation": owner.Incarnation})
		}
		select {
		case <-ctx.Done():
		case <-ownerChanged:
		case <-h.Clock.After(livenessRetryInterval):
		}
	}
}

// waitForRefusal connects to an address, waits until the connection breaks or the owner
// changes, and reports whether new connections are refused.
func (h *Host) waitForRefusal(ctx context.Context, address string, ownerChanged <-chan struct{}) bool {
	dialer := &net.Dialer{Timeout: peerDialTimeout, KeepAlive: peerKeepAlive}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	broken := make(chan struct{})
	go func() {
		defer close(broken)
		// Nothing is ever sent; the read returns when the connection is closed.
		_, _ = connection.Read(make([]byte, 1))
	}()
	select {
	case <-ctx.Done():
	case <-ownerChanged:
	case <-broken:
	}
	_ = connection.Close()
	<-broken
	if ctx.Err() != nil {
		return false
	}
	reconnected, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = reconnected.Close()
	return false
}
