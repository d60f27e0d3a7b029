package store

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/chervilrun/chervilrun/internal/model"
)

// The layout of the keys. Each host watches WatchedPrefix; job records and
// single-execution records are outside it.
const (
	// Root is the prefix of all keys.
	Root = "/chervil/"
	// WatchedPrefix holds the configuration, members, owners and epochs.
	WatchedPrefix = Root + "view/"
	// ConfigKey holds the accepted configuration with its version.
	ConfigKey = WatchedPrefix + "config"
	// MembersPrefix holds one key with a lease for each entry host.
	MembersPrefix = WatchedPrefix + "members/"
	// OwnersPrefix holds one key with a lease for each owned availability zone.
	OwnersPrefix = WatchedPrefix + "owners/"
	// EpochsPrefix holds the last epoch of each availability zone, without a lease.
	EpochsPrefix = WatchedPrefix + "epochs/"
	// JobsPrefix holds the job records, by availability zone.
	JobsPrefix = Root + "jobs/"
	// ZoneWorkersPrefix holds the record of the workers that each zone's owner uses.
	ZoneWorkersPrefix = Root + "workers/"
	// OncePrefix holds the single-execution records, by organisation.
	OncePrefix = Root + "once/"
)

// MemberKey returns the key of an entry host's membership.
func MemberKey(host model.HostID) string { return MembersPrefix + string(host) }

// OwnerKey returns the key of a zone's owner.
func OwnerKey(zone model.AvailabilityZoneID) string { return OwnersPrefix + string(zone) }

// EpochKey returns the key of a zone's last epoch.
func EpochKey(zone model.AvailabilityZoneID) string { return EpochsPrefix + string(zone) }

// ZoneJobsPrefix returns the prefix of a zone's job records.
func ZoneJobsPrefix(zone model.AvailabilityZoneID) string {
	return JobsPrefix + string(zone) + "/"
}

// JobKey returns the key of a job's record.
func JobKey(zone model.AvailabilityZoneID, job model.JobID) string {
	return ZoneJobsPrefix(zone) + string(job)
}

// ZoneWorkersKey returns the key of the record of the workers that a zone's owner uses.
func ZoneWorkersKey(zone model.AvailabilityZoneID) string { return ZoneWorkersPrefix + string(zone) }

// OnceKey returns the key of a single-execution record.
func OnceKey(organisation model.OrganisationID, idempotencyKey string) string {
	return OncePrefix + string(organisation) + "/" + idempotencyKey
}

// The layout of the keys of a pool. Any entry host writes jobs and cancellations, with
// conditions that prevent a second write; only the pool's owner writes progress, on
// condition that its owner key is unchanged.
const (
	// PoolPrefix is the prefix of all keys of the pool.
	PoolPrefix = Root + "pool/"
	// PoolOwnerKey holds the pool's owner, with the owner's lease. Its revision is the
	// owner's fencing token, so an owner never rewrites it.
	PoolOwnerKey = PoolPrefix + "owner"
	// PoolInputPrefix holds accepted jobs and cancellations.
	PoolInputPrefix = PoolPrefix + "in/"
	// PoolRecordsPrefix is the prefix of all records of the owner, so that the next one reads
	// them in one call.
	PoolRecordsPrefix = PoolPrefix + "progress"
	// PoolProgressPrefix holds the owner's records of the jobs' progress.
	PoolProgressPrefix = PoolRecordsPrefix + "/"
	// PoolPartsPrefix holds the parts of the progress of jobs with many tasks, by job and part.
	PoolPartsPrefix = PoolRecordsPrefix + "-parts/"
	// PoolUpkeepPrefix holds the owner's records of the upkeep of machines, by wave and machine.
	PoolUpkeepPrefix = PoolRecordsPrefix + "-upkeep/"
	// PoolCrashesKey holds the owner's record of the latest crashes of workers.
	PoolCrashesKey = PoolRecordsPrefix + "-crashes"
	// PoolSilenceKey holds the owner's record of the silent workers. Each host watches it.
	PoolSilenceKey = PoolRecordsPrefix + "-silence"

	poolJobSuffix    = "/job"
	poolCancelSuffix = "/cancel"
)

// PoolJobKey returns the key of an accepted job.
func PoolJobKey(job model.JobID) string { return PoolInputPrefix + string(job) + poolJobSuffix }

// PoolCancelKey returns the key of the cancellation of an accepted job.
func PoolCancelKey(job model.JobID) string { return PoolInputPrefix + string(job) + poolCancelSuffix }

// PoolEarlyCancelKey returns the key of the cancellation by an organisation of a job that has not been
// accepted yet. Each organisation has its own, since callers choose the IDs of jobs.
func PoolEarlyCancelKey(job model.JobID, organisation model.OrganisationID) string {
	hash := sha256.Sum256([]byte(organisation))
	return PoolCancelKey(job) + "/" + hex.EncodeToString(hash[:8])
}

// PoolProgressKey returns the key of the progress of a job.
func PoolProgressKey(job model.JobID) string { return PoolProgressPrefix + string(job) }

// PoolPartKey returns the key of a part of the progress of a job.
func PoolPartKey(job model.JobID, part string) string {
	return PoolPartsPrefix + string(job) + "/" + part
}

// ParsePoolPart returns the job and the name of the part that a key under PoolPartsPrefix names.
func ParsePoolPart(key string) (job model.JobID, part string, ok bool) {
	rest, ok := strings.CutPrefix(key, PoolPartsPrefix)
	if !ok {
		return "", "", false
	}
	id, part, ok := strings.Cut(rest, "/")
	return model.JobID(id), part, ok
}

// PoolInput is the kind of a key under PoolInputPrefix.
type PoolInput int

// The kinds of PoolInput.
const (
	NoPoolInput PoolInput = iota
	PoolJob
	PoolCancel
	PoolEarlyCancel
)

// ParsePoolInput returns the job that a key under PoolInputPrefix belongs to and the kind
// of the key.
func ParsePoolInput(key string) (model.JobID, PoolInput) {
	rest, ok := strings.CutPrefix(key, PoolInputPrefix)
	if !ok {
		return "", NoPoolInput
	}
	if id, ok := strings.CutSuffix(rest, poolJobSuffix); ok {
		return model.JobID(id), PoolJob
	}
	if id, ok := strings.CutSuffix(rest, poolCancelSuffix); ok {
		return model.JobID(id), PoolCancel
	}
	if id, _, ok := strings.Cut(rest, poolCancelSuffix+"/"); ok {
		return model.JobID(id), PoolEarlyCancel
	}
	return "", NoPoolInput
}
