// Package ownership elects the owner of each availability zone: one scheduler, which
// holds a lease and an epoch in the store. Rendezvous hashing assigns zones to the live
// entry hosts.
package ownership

import (
	"context"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Handler runs the zones that this host owns. The elector calls it from one goroutine.
type Handler interface {
	// Take is called after this host has become the owner of zone at epoch.
	Take(zone model.AvailabilityZoneID, epoch model.Epoch)
	// Release is called before a planned handover. It returns when all state is stored
	// and no command of this epoch is in flight, or when ctx ends.
	Release(ctx context.Context, zone model.AvailabilityZoneID) error
	// Lose is called when another host has raised the zone's epoch.
	Lose(zone model.AvailabilityZoneID, epoch model.Epoch)
}
