package zone

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/store"
)

// evacuate stops the gangs that may be stopped in a zone that is out of service, and
// moves its waiting jobs to other zones.
func (r *Runner) evacuate(now time.Time) {
	for _, g := range append([]*gang(nil), r.gangs...) {
		if g.job == nil || g.state() == gangStopping || !g.isMovable() {
			continue
		}
		s := stop{cause: stopPreempted, reason: outcome.ReasonZoneOut, checkpoint: g.job.record.Spec.Checkpoint}
		r.stopGang(g, s, now)
	}
	for _, j := range r.orderedJobs {
		r.moveJob(j, now)
	}
}

// isMovable reports whether the gang may be stopped: its job is preemptible, or no task
// of it can have run.
func (g *gang) isMovable() bool {
	return g.job.record.Spec.Preemptible() || !g.mayHaveRun()
}

// moveJob begins to move the record of a waiting job.
func (r *Runner) moveJob(j *jobState, now time.Time) {
	isWaiting := j.record.State == job.Queued && j.gang == nil && !j.needsReconciliation && !j.movedAway && !j.moveUnsettled && j.storedVersion > 0
	if !isWaiting || now.Before(j.nextMoveAt) || j.moveTo != "" || !r.recorder.isStoreUp {
		return
	}
	target, found := r.moveTarget(j.record.Spec)
	if !found {
		return
	}
	if j.inEngine {
		r.Engine.Cancel(j.id())
		j.inEngine = false
	}
	j.parked = false
	j.retryAt = time.Time{}
	j.moveTo = target
	r.markChanged(j, true, now)
}

// moveTarget returns the zone that a job moves to. It chooses among the zones that are
// in service, allowed for the job, owned and large enough, by unweighted rendezvous
// hashing of the job ID.
func (r *Runner) moveTarget(spec model.JobSpec) (model.AvailabilityZoneID, bool) {
	var best model.AvailabilityZoneID
	var bestScore uint64
	for _, zone := range r.view.Config.Zones {
		isAllowed := len(spec.Zones) == 0 || slices.Contains(spec.Zones, zone.ID)
		if zone.ID == r.Zone || zone.OutOfService || !isAllowed || !r.hasCapacityFor(zone.ID, spec.Shape) {
			continue
		}
		score := xxhash.Sum64String(string(spec.ID) + "\x00" + string(zone.ID))
		if best == "" || score > bestScore {
			best, bestScore = zone.ID, score
		}
	}
	return best, best != ""
}

// hasCapacityFor reports whether a zone is owned and its workers, if empty, could run
// the shape under its adjacency.
func (r *Runner) hasCapacityFor(zone model.AvailabilityZoneID, shape model.Shape) bool {
	if _, owned := r.view.Owners[zone]; !owned {
		return false
	}
	inRack := map[model.RackID]int{}
	inZone := 0
	for _, w := range r.view.Workers {
		if w.Zone != zone || w.State != model.HostLive {
			continue
		}
		n := shape.PerTask.CountIn(w.Capacity, shape.Tasks)
		inRack[w.Rack] += n
		inZone += n
		tasksThatFit := map[model.Adjacency]int{
			model.AdjacencyWorker: n, model.AdjacencyRack: inRack[w.Rack], model.AdjacencyZone: inZone,
		}
		if tasksThatFit[shape.Adjacency] >= shape.Tasks {
			return true
		}
	}
	return false
}

// movedRecord returns the record to be written in the other zone.
func movedRecord(record job.Record, zone model.AvailabilityZoneID) job.Record {
	from := record.Zone
	record.Zone = zone
	record.State = job.Queued
	record.Epoch = 0
	record.MovedFrom = from
	record.Placement = nil
	return record
}

// forwardingRecord returns the record that remains in this zone when a job moves to
// another one.
func forwardingRecord(record job.Record, zone model.AvailabilityZoneID) job.Record {
	record.Zone = zone
	record.Spec.Payload = nil
	record.Checkpoints = nil
	record.Placement = nil
	return record
}

// moveRetryDelay is the time before a failed move is tried again.
const moveRetryDelay = 30 * time.Second

// moveFailed keeps a job in this zone after its record could not be moved, as far as is known. The
// job is queued once its record has been written again, which the write of the move then conflicts
// with if it is still under way.
func (r *Runner) moveFailed(j *jobState, now time.Time) {
	j.moveTo = ""
	j.nextMoveAt = now.Add(moveRetryDelay)
	j.moveUnsettled = true
}

// moveSettled is called when the record of a job is in this zone after a failed move.
func (r *Runner) moveSettled(j *jobState, now time.Time) {
	j.moveUnsettled = false
	r.enqueue(j, now)
}

// movedLate handles a move that has taken effect although it seemed to have failed.
func (r *Runner) movedLate(j *jobState, to model.AvailabilityZoneID, revision store.Revision, now time.Time) {
	j.moveUnsettled = false
	j.modRevision = revision
	j.storedVersion = j.version
	j.moveTo = to
	r.jobMoved(j, now)
}

// forwardedTo returns the zone that a stored record of this zone forwards to, or "" if it is not a
// forwarding record.
func (r *Runner) forwardedTo(value []byte) model.AvailabilityZoneID {
	record, err := job.Decode(value)
	if err != nil || record.Zone == r.Zone {
		return "" // an unreadable record is not one that this owner has written
	}
	return record.Zone
}

// jobMoved is called once the record is in the other zone.
func (r *Runner) jobMoved(j *jobState, now time.Time) {
	r.notices = append(r.notices, Notice{Zone: j.moveTo, Spec: j.record.Spec})
	r.recordEvent(event.JobRequeued, j, "moved to zone "+string(j.moveTo))
	j.record = forwardingRecord(j.record, j.moveTo)
	j.record.Ended = now
	j.moveTo = ""
	j.movedAway = true
	r.notifyWaiters(j)
}
