package schedulerd

import (
	"context"
	"encoding/json"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/scheduler"
	"github.com/chervilrun/chervilrun/internal/zone"
)

// Limits of the RPCs.
const (
	maxGetJobWait = time.Minute
	notifyTimeout = 5 * time.Second
)

// SubmitJob implements rpc.Scheduler.
func (s *Service) SubmitJob(ctx context.Context, request *rpc.SubmitJobRequest) (*rpc.SubmitJobResponse, error) {
	var spec model.JobSpec
	if err := json.Unmarshal(request.GetSpecJson(), &spec); err != nil {
		return nil, twirp.InvalidArgumentError("spec_json", err.Error())
	}
	z := s.findZone(model.AvailabilityZoneID(request.GetZone()))
	switch {
	case z == nil:
		refusal := outcome.NotRunBecause(outcome.ReasonNoOwner, "this scheduler does not own zone %s", request.GetZone())
		return &rpc.SubmitJobResponse{Outcome: toRPC(refusal)}, nil
	case spec.ID == "" || spec.Shape.Validate() != nil || len(spec.Payload) > model.MaxPayloadBytes:
		refusal := outcome.NotRunBecause(outcome.ReasonMalformed, "the job has no ID, no valid shape or too large a payload")
		return &rpc.SubmitJobResponse{Outcome: toRPC(refusal)}, nil
	}
	result, record := z.loop.Submit(ctx, spec)
	response := &rpc.SubmitJobResponse{Outcome: toRPC(result)}
	if result.Kind == outcome.Accepted {
		response.JobJson = record.Encode()
	}
	return response, nil
}

func toRPC(o outcome.Outcome) *rpc.Outcome {
	return &rpc.Outcome{Kind: string(o.Kind), Reason: string(o.Reason), Detail: o.Detail}
}

// GetJob implements rpc.Scheduler.
func (s *Service) GetJob(ctx context.Context, request *rpc.GetJobRequest) (*rpc.GetJobResponse, error) {
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxGetJobWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	known := request.GetKnownRevision()
	if wait <= 0 {
		known = 0
	}
	id := model.JobID(request.GetJob())
	absent := true
	for _, zoneID := range s.Zones() {
		z := s.findZone(zoneID)
		if z == nil {
			continue
		}
		record, found := z.loop.Get(ctx, id, known)
		if found && belongsTo(record, request.GetOrganisation()) {
			return &rpc.GetJobResponse{Found: true, JobJson: record.Encode()}, nil
		}
		absent = absent && (found || z.loop.IsAbsent(id))
	}
	if !absent {
		return nil, errMayExist()
	}
	return &rpc.GetJobResponse{}, nil
}

// errMayExist is the error of a call for a job that was not found and may exist nevertheless.
func errMayExist() error {
	return twirp.NewError(twirp.Unavailable, "the job is not known here, and not all records have been read yet")
}

func belongsTo(record job.Record, organisation string) bool {
	return organisation == "" || string(record.Spec.Organisation) == organisation
}

// CancelJob implements rpc.Scheduler.
func (s *Service) CancelJob(ctx context.Context, request *rpc.CancelJobRequest) (*rpc.CancelJobResponse, error) {
	id := model.JobID(request.GetJob())
	organisation := model.OrganisationID(request.GetOrganisation())
	absent := true
	for _, zoneID := range s.Zones() {
		z := s.findZone(zoneID)
		if z == nil {
			continue
		}
		result, record, found := z.loop.Cancel(ctx, id, organisation)
		if found {
			return &rpc.CancelJobResponse{Found: true, Outcome: toRPC(result), JobJson: record.Encode()}, nil
		}
		absent = absent && z.loop.IsAbsent(id)
	}
	if !absent {
		return nil, errMayExist()
	}
	return &rpc.CancelJobResponse{}, nil
}

// Digest implements rpc.Scheduler.
func (s *Service) Digest(context.Context, *rpc.DigestRequest) (*rpc.DigestResponse, error) {
	response := &rpc.DigestResponse{}
	for _, id := range s.Zones() {
		if z := s.findZone(id); z != nil {
			digest, accepting := z.loop.Digest()
			zoneDigest := digestToRPC(id, digest)
			zoneDigest.Epoch = uint64(z.epoch)
			zoneDigest.Accepting = accepting && !s.isDraining()
			response.Zones = append(response.Zones, zoneDigest)
		}
	}
	return response, nil
}

func digestToRPC(id model.AvailabilityZoneID, d scheduler.Digest) *rpc.ZoneDigest {
	out := &rpc.ZoneDigest{
		Zone:              string(id),
		FreeAccelerators:  int32(d.FreeAccelerators),
		TotalAccelerators: int32(d.TotalAccelerators),
		QueuedJobs:        int32(d.Queued),
		RunningJobs:       int32(d.Running),
		OldestQueuedMs:    d.OldestQueued.Milliseconds(),
		GuaranteeDebt:     int32(d.GuaranteeDebt),
	}
	for _, free := range d.FreeShapes {
		out.FreeShapes = append(out.FreeShapes, &rpc.ShapeCount{
			Adjacency:           string(free.Shape.Adjacency),
			Tasks:               int32(free.Shape.Tasks),
			AcceleratorsPerTask: int32(free.Shape.PerTask.Accelerators),
			Count:               int32(free.Count),
		})
	}
	return out
}

// notify submits a moved job to the new zone's owner, which then finds the job's record
// in the store. If the notice is lost, the owner finds the record at its next rescan.
func (s *Service) notify(ctx context.Context, notice zone.Notice) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	spec, err := json.Marshal(notice.Spec)
	if err != nil {
		return
	}
	request := &rpc.SubmitJobRequest{Zone: string(notice.Zone), SpecJson: spec}
	if s.findZone(notice.Zone) != nil {
		_, _ = s.SubmitJob(ctx, request) // the next rescan makes up for a failure
		return
	}
	owner, known := s.config.Views.Current().Owners[notice.Zone]
	if !known {
		return
	}
	client := rpc.NewSchedulerProtobufClient("http://"+owner.SchedulerAddress, s.config.Client)
	_, _ = client.SubmitJob(ctx, request) // the next rescan makes up for a failure
}
