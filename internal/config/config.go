// Package config holds the cluster configuration that operators submit: regions,
// availability zones, organisations with their guarantees, services and operators.
// It is a single versioned value that is validated and accepted as a whole.
package config

import "github.com/chervilrun/chervilrun/internal/model"

// Cluster is a configuration. It is immutable once parsed.
type Cluster struct {
	// Version strictly increases with each accepted change; 0 means not accepted yet.
	Version       model.ConfigVersion
	Zones         []model.AvailabilityZone
	Organisations []model.Organisation
	Services      []model.Service
	Operators     []Operator
}

// Operator is a person or program that may change the configuration.
type Operator struct {
	Name string
	// TokenSHA256 is the SHA-256 hash of the operator's token, in hexadecimal.
	TokenSHA256 string
}

// Zone returns the zone with the given ID.
func (c *Cluster) Zone(id model.AvailabilityZoneID) (model.AvailabilityZone, bool) {
	for _, zone := range c.Zones {
		if zone.ID == id {
			return zone, true
		}
	}
	return model.AvailabilityZone{}, false
}

// Organisation returns the organisation with the given ID.
func (c *Cluster) Organisation(id model.OrganisationID) (model.Organisation, bool) {
	for _, organisation := range c.Organisations {
		if organisation.ID == id {
			return organisation, true
		}
	}
	return model.Organisation{}, false
}

// Service returns the service with the given ID.
func (c *Cluster) Service(id model.ServiceID) (model.Service, bool) {
	for _, service := range c.Services {
		if service.ID == id {
			return service, true
		}
	}
	return model.Service{}, false
}
