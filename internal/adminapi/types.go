package adminapi

import (
	"time"

	"github.com/chervilrun/chervilrun/internal/acceptance"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/problem"
	"github.com/chervilrun/chervilrun/internal/view"
)

// Prefix is the path prefix of every call.
const Prefix = "/admin/v1/"

// ConfigResponse is the configuration in force.
type ConfigResponse struct {
	Version    model.ConfigVersion `json:"version"`
	Author     string              `json:"author,omitempty"`
	AcceptedAt time.Time           `json:"accepted_at,omitzero"`
	// Confirmed is false if the store could not be read or held an older version; then
	// the text is the configuration that this host uses.
	Confirmed bool                  `json:"confirmed"`
	History   []config.HistoryEntry `json:"history,omitempty"`
	Text      string                `json:"text"`
}

// ChangeResponse describes the effect of an accepted or checked change.
type ChangeResponse struct {
	// Version is the version of the accepted change, or for a check the version that the
	// text was compared with.
	Version model.ConfigVersion `json:"version"`
	Changes []config.Change     `json:"changes"`
	// Warnings lists guarantees that can't be met with the current workers and zones.
	Warnings []UnmetGuarantee `json:"warnings,omitempty"`
}

// UnmetGuarantee is a guarantee that can't be met in full.
type UnmetGuarantee struct {
	Organisation model.OrganisationID `json:"organisation"`
	Guarantee    string               `json:"guarantee"`
	// Missing is the number of the guarantee's instances that could not be placed.
	Missing int `json:"missing"`
	// Clashes names the guarantees that hold the resources, as "organisation/name".
	Clashes []string `json:"clashes,omitempty"`
}

// ChangeProblem is the problem document of a refused change.
type ChangeProblem struct {
	problem.Document
	Problems []config.Problem     `json:"problems,omitempty"`
	Unmet    []UnmetGuarantee     `json:"unmet,omitempty"`
	Conflict *acceptance.Conflict `json:"conflict,omitempty"`
}

// PeerState is the state that an entry host reports.
type PeerState struct {
	Host model.HostID `json:"host"`
	// Reachable is false when the host did not respond.
	Reachable      bool                `json:"reachable"`
	ConfigVersion  model.ConfigVersion `json:"config_version"`
	StoreReachable bool                `json:"store_reachable"`
	// ConfirmedAgeMS is the time since the store, directly or through a peer, last confirmed
	// the host's view, in milliseconds.
	ConfirmedAgeMS int64 `json:"confirmed_age_ms"`
}

// StatusResponse is the state of the deployment as one host sees it.
type StatusResponse struct {
	Host    model.HostID `json:"host"`
	Version string       `json:"version"`
	View    ViewStatus   `json:"view"`
	Members []MemberInfo `json:"members"`
	Zones   []ZoneInfo   `json:"zones"`
	// Unmet lists guarantees that can't be met with the current workers and zones.
	Unmet []UnmetGuarantee `json:"unmet,omitempty"`
}

// ViewStatus describes how current the host's view is.
type ViewStatus struct {
	Serial        uint64              `json:"serial"`
	ConfigVersion model.ConfigVersion `json:"config_version"`
	// ConfirmedAgeMS is the time since the store, directly or through a peer, last confirmed
	// the view, in milliseconds.
	ConfirmedAgeMS int64 `json:"confirmed_age_ms"`
	StoreReachable bool  `json:"store_reachable"`
	// OutageConfirmed is true when every known member has recently reported that it can't
	// reach the store either.
	OutageConfirmed bool `json:"outage_confirmed"`
	// MayStart is false while tasks must not be started under this view.
	MayStart bool `json:"may_start"`
}

// MemberInfo is an entry host and the state that it reports.
type MemberInfo struct {
	view.Member
	State PeerState `json:"state"`
}

// ZoneInfo is an availability zone with its owner and the size of its pool.
type ZoneInfo struct {
	model.AvailabilityZone
	// Owner is absent while no host owns the zone.
	Owner        *view.Owner `json:"owner,omitempty"`
	Workers      int         `json:"workers"`
	Accelerators int         `json:"accelerators"`
	Executors    int         `json:"executors"`
}

// TimelineResponse is the merged timeline of all processes.
type TimelineResponse struct {
	Events []event.Event `json:"events"`
	// Missing names the processes that did not respond.
	Missing []string `json:"missing,omitempty"`
}

// OrganisationInfo is an organisation without its token hashes.
type OrganisationInfo struct {
	ID              model.OrganisationID `json:"id"`
	Weight          int                  `json:"weight"`
	MaxAccelerators int                  `json:"max_accelerators"`
	Tokens          int                  `json:"tokens"`
	Guarantees      []model.Guarantee    `json:"guarantees"`
	Services        []model.ServiceID    `json:"services"`
	Unmet           []UnmetGuarantee     `json:"unmet,omitempty"`
}

// OrganisationsResponse lists the organisations.
type OrganisationsResponse struct {
	Organisations []OrganisationInfo `json:"organisations"`
}

// ExecutorsResponse lists the executors that the platform reports.
type ExecutorsResponse struct {
	Executors []model.Executor `json:"executors"`
}

// Cost is the total usage of an organisation since the processes started.
type Cost struct {
	Organisation model.OrganisationID `json:"organisation"`
	Requests     int64                `json:"requests"`
	// Attempts counts the attempts of all requests.
	Attempts           int64   `json:"attempts"`
	SlotSeconds        float64 `json:"slot_seconds"`
	AcceleratorSeconds float64 `json:"accelerator_seconds"`
}

// CostResponse lists the cost of each organisation over all processes.
type CostResponse struct {
	Costs []Cost `json:"costs"`
	// Missing names the processes that did not respond.
	Missing []string `json:"missing,omitempty"`
}

func unmetGuarantees(unmet []guarantee.Unmet) []UnmetGuarantee {
	var converted []UnmetGuarantee
	for _, u := range unmet {
		converted = append(converted, UnmetGuarantee{
			Organisation: u.Organisation,
			Guarantee:    u.Guarantee,
			Missing:      u.Missing,
			Clashes:      u.Clashes,
		})
	}
	return converted
}
