package model

// HostState is the state of a host in the platform's list of hosts, which may be outdated.
type HostState string

// The states of a host in the platform's list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Worker is a host of the pool that runs tasks under leases.
type Worker struct {
	ID       WorkerID           `json:"id"`
	Zone     AvailabilityZoneID `json:"zone"`
	Rack     RackID             `json:"rack"`
	Capacity Resources          `json:"capacity"`
	// Endpoint is the worker's address, "IP:port".
	Endpoint string    `json:"endpoint"`
	State    HostState `json:"state"`
}

// Executor is a back end that serves requests of one service.
type Executor struct {
	ID      ExecutorID         `json:"id"`
	Service ServiceID          `json:"service"`
	Zone    AvailabilityZoneID `json:"zone"`
	// Endpoint is the executor's address, "IP:port".
	Endpoint string    `json:"endpoint"`
	State    HostState `json:"state"`
	// Slots is the number of requests that the executor handles at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts from all entry hosts together.
	Connections int `json:"connections"`
}

// AvailabilityZone is a zone as the configuration declares it.
type AvailabilityZone struct {
	ID     AvailabilityZoneID `json:"id"`
	Region RegionID           `json:"region"`
	// OutOfService is true while operators have taken the zone out of service.
	OutOfService bool `json:"out"`
}
