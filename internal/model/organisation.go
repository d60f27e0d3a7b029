package model

// Guarantee is a number of equal shapes that an organisation can reclaim at any time.
type Guarantee struct {
	// Name is unique within the organisation.
	Name  string `json:"name"`
	Shape Shape  `json:"shape"`
	// Count is the number of such shapes held at the same time.
	Count int `json:"count"`
	// Zones lists the availability zones where it may be held; empty means any.
	Zones []AvailabilityZoneID `json:"zones,omitempty"`
}

// Organisation is a tenant that shares the pool with others.
type Organisation struct {
	ID OrganisationID `json:"id"`
	// Weight is the organisation's fair-share weight for capacity outside its guarantees, 1 or more.
	Weight     int         `json:"weight"`
	Guarantees []Guarantee `json:"guarantees,omitempty"`
	// MaxAccelerators is the organisation's accelerator quota; 0 means no limit.
	MaxAccelerators int `json:"max_accelerators,omitempty"`
	// TokenSHA256 holds the SHA-256 hashes, in hexadecimal, of its callers' tokens.
	TokenSHA256 []string `json:"token_sha256,omitempty"`
}

// Service is a program of one organisation: its requests go to executors and its
// jobs run on workers.
type Service struct {
	ID           ServiceID      `json:"id"`
	Organisation OrganisationID `json:"organisation"`
	// Repeatable is true when a request may run more than once without harm (idempotent).
	Repeatable bool `json:"repeatable"`
	// TimeoutMS is the longest time a request may take, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
	// MaxBodyBytes limits the body of a request, in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// Zones lists the availability zones where its executors may be used; empty means any.
	Zones []AvailabilityZoneID `json:"zones,omitempty"`
}
