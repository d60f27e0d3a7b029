package model

// OrganisationID names a tenant of the pool, for example "chikushi".
type OrganisationID string

// AvailabilityZoneID names an availability zone, for example "fukuoka".
type AvailabilityZoneID string

// RegionID names a region: a set of availability zones near one another.
type RegionID string

// RackID names a rack; rack names are unique within an availability zone.
type RackID string

// WorkerID names a worker, a host of the pool that runs tasks.
type WorkerID string

// ServiceID names a service whose requests go to executors and whose jobs run on workers.
type ServiceID string

// ExecutorID names one executor of a service.
type ExecutorID string

// HostID names an entry host, a host that runs chervilrun's own processes.
type HostID string

// JobID names a job; it is unique over all organisations and never reused.
type JobID string

// TaskID names one task of a gang; it consists of the job's ID and the task's index.
type TaskID string

// AttemptID names one attempt at a request or at a gang start; a response must echo it.
type AttemptID string

// Epoch is the fencing token of an availability zone's ownership. It rises by one
// with every change of owner, and a worker rejects commands with a lower one.
type Epoch uint64

// ConfigVersion numbers accepted configurations; it increases strictly.
type ConfigVersion uint64
