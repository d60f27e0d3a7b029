// Package view provides the shared state of the cluster to every process of a host: the
// accepted configuration, the members, the owners of zones, the workers and the executors.
// chervil-admin maintains it with the only store watch of its host and serves it to the
// other processes.
package view

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/model"
)

// Member is the registration of an entry host.
type Member struct {
	Host             model.HostID             `json:"host"`
	Zone             model.AvailabilityZoneID `json:"zone"`
	EntryAddress     string                   `json:"entry_address"`
	SchedulerAddress string                   `json:"scheduler_address"`
	AdminAddress     string                   `json:"admin_address"`
	Draining         bool                     `json:"draining"`
	// Incarnation is unique to each start of the host.
	Incarnation string `json:"incarnation"`
}

// Owner is the scheduler that owns an availability zone.
type Owner struct {
	Zone             model.AvailabilityZoneID `json:"zone"`
	Host             model.HostID             `json:"host"`
	SchedulerAddress string                   `json:"scheduler_address"`
	Epoch            model.Epoch              `json:"epoch"`
	Incarnation      string                   `json:"incarnation"`
}

// View is an immutable snapshot of the cluster's state.
type View struct {
	// Serial increases with every change in the process that made the snapshot.
	Serial uint64
	// Config is never nil; its Version is 0 until a configuration is known.
	Config *config.Cluster
	// ConfigText is the accepted text that Config was parsed from.
	ConfigText []byte
	Members    []Member
	Owners     map[model.AvailabilityZoneID]Owner
	// Epochs holds the latest epoch of each zone; an owner's epoch is never higher.
	Epochs    map[model.AvailabilityZoneID]model.Epoch
	Workers   []model.Worker
	Executors []model.Executor
	// HostsDigest identifies the lists of workers and executors.
	HostsDigest uint64
}

// HostsKnown reports whether the platform's list of hosts has been read.
func (v *View) HostsKnown() bool {
	return v.HostsDigest != 0 || len(v.Workers)+len(v.Executors) > 0
}

// Confirmation says how fresh the view is.
type Confirmation struct {
	// ConfirmedAt is when the store, directly or through a peer, last confirmed the view, on
	// this process's clock.
	ConfirmedAt    time.Time
	StoreReachable bool
	// OutageConfirmed is true when every known member has recently reported that it can't
	// reach the store either, so that no host can have accepted a change.
	OutageConfirmed bool
}

// Source provides the current view to the components of a process.
type Source interface {
	Current() *View
	Confirmation() Confirmation
	// Changed returns a channel that is closed when there is a newer view.
	Changed() <-chan struct{}
}

// MaxConfirmationAge is the greatest age of a confirmation at which tasks may start.
const MaxConfirmationAge = 3 * time.Second

// MayStart reports whether tasks may start at the given time.
func (c Confirmation) MayStart(now time.Time) bool {
	return c.OutageConfirmed || now.Sub(c.ConfirmedAt) <= MaxConfirmationAge
}
