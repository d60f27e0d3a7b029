package entry

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/once"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/view"
)

// Limits of the calls to owners of zones.
const (
	// maxZoneAttempts limits the zones to which one job is submitted.
	maxZoneAttempts = 3
	// maxOwnerAttempts limits the calls to the owner of one zone.
	maxOwnerAttempts = 4
	ownerTimeout     = 4 * time.Second
	ownerRetryDelay  = 250 * time.Millisecond
)

// submit submits a job to its candidate zones, one after another, until one accepts it or
// may have accepted it.
func (s *Server) submit(ctx context.Context, spec model.JobSpec) (job.Record, outcome.Outcome) {
	result := s.noZoneOutcome(spec)
	for _, zone := range s.candidates(spec) {
		var record job.Record
		record, result = s.submitToZone(ctx, zone, spec, false)
		if result.Kind != outcome.NotRun || !mayTryAnotherZone(result.Reason) {
			return record, result
		}
	}
	return job.Record{}, result
}

// noZoneOutcome returns the outcome of a job for which there is no candidate zone.
func (s *Server) noZoneOutcome(spec model.JobSpec) outcome.Outcome {
	for _, zone := range s.options.Source.Current().Config.Zones {
		if !zone.OutOfService && spec.MayRunIn(zone.ID) {
			return outcome.NotRunBecause(outcome.ReasonNoOwner, "no availability zone that the job may run in currently has an owner")
		}
	}
	return outcome.NotRunBecause(outcome.ReasonZoneOut, "every availability zone that the job may run in is out of service")
}

func (s *Server) candidates(spec model.JobSpec) []model.AvailabilityZoneID {
	zones := s.zones.candidates(s.options.Source.Current(), spec)
	return zones[:min(len(zones), maxZoneAttempts)]
}

// mayTryAnotherZone reports whether a refusal for reason applies to one zone only.
func mayTryAnotherZone(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonOverQuota, outcome.ReasonMalformed, outcome.ReasonTooLarge, outcome.ReasonDeadline:
		return false
	}
	return true
}

// refusesEveryCall reports whether a refusal for reason depends on the job alone, so that it
// applies to earlier calls as well.
func refusesEveryCall(reason outcome.Reason) bool { return reason == outcome.ReasonMalformed }

// submitOnce submits a job with an idempotency key. The zone is stored in the key's
// record before the job is submitted to it, so that a repeated submission goes to the
// same owner.
func (s *Server) submitOnce(ctx context.Context, spec model.JobSpec, key, fingerprint string) (job.Record, outcome.Outcome) {
	recordKey := store.OnceKey(spec.Organisation, "job:"+key)
	result := s.noZoneOutcome(spec)
	for _, zone := range s.candidates(spec) {
		claim, existing, err := s.once.Claim(ctx, recordKey, once.Record{
			Attempt:     model.AttemptID(s.ids.newRequestID()),
			Host:        s.options.Host,
			Service:     spec.Service,
			Fingerprint: fingerprint,
			Note:        string(zone),
		})
		switch {
		case err != nil:
			return job.Record{}, claimErrorOutcome(err)
		case existing != nil:
			return s.resubmit(ctx, spec, existing, fingerprint)
		}
		var record job.Record
		record, result = s.submitToZone(ctx, zone, spec, false)
		if result.Kind == outcome.Unknown {
			// The record stays pending: a repeated submission goes to the same zone.
			return record, result
		}
		recorded := s.awaitRecord(claim.End(result, nil))
		if !recorded || result.Kind != outcome.NotRun || !mayTryAnotherZone(result.Reason) {
			return record, result
		}
	}
	return job.Record{}, result
}

// resubmit repeats a submission whose key has a record. The job's ID is the same, so
// that the owner of the zone accepts it only once.
func (s *Server) resubmit(ctx context.Context, spec model.JobSpec, existing *once.Record, fingerprint string) (job.Record, outcome.Outcome) {
	if existing.Fingerprint != fingerprint {
		return job.Record{}, outcome.NotRunBecause(outcome.ReasonKeyReused, "the key was used for another job")
	}
	if existing.State == once.Pending {
		return s.submitToZone(ctx, model.AvailabilityZoneID(existing.Note), spec, true)
	}
	record, result := s.findJob(ctx, s.options.Source.Current(), jobQuery{id: string(spec.ID), organisation: spec.Organisation})
	if result.Kind == outcome.NotRun && result.Reason == outcome.ReasonNotFound {
		return record, outcome.UnknownBecause(outcome.ReasonNotFound, "the job was accepted earlier and is no longer stored")
	}
	if result.Kind == outcome.Done {
		result.Kind = outcome.Accepted
	}
	return record, result
}

// submitToZone submits a job to the owner of a zone. The call is idempotent by the job's
// ID, so it is repeated after a lost response. mayBeAccepted says that an earlier call of the
// same submission had no result, so that the job may have been accepted or may still be.
func (s *Server) submitToZone(ctx context.Context, zone model.AvailabilityZoneID, spec model.JobSpec, mayBeAccepted bool) (job.Record, outcome.Outcome) {
	specJSON, err := json.Marshal(spec)
	if err != nil {
		return job.Record{}, outcome.NotRunBecause(outcome.ReasonMalformed, "the job can't be encoded: %v", err)
	}
	for attempt := range maxOwnerAttempts {
		if attempt > 0 && !s.sleep(ctx, ownerRetryDelay) {
			break
		}
		owner, owned := s.options.Source.Current().Owners[zone]
		if !owned {
			continue
		}
		response, err := s.callOwner(ctx, owner, &rpc.SubmitJobRequest{Zone: string(zone), SpecJson: specJSON})
		if err != nil {
			mayBeAccepted = mayBeAccepted || !isDialError(err)
			continue
		}
		result := outcomeOf(response.GetOutcome())
		if result.Kind == outcome.NotRun && mayBeAccepted && !refusesEveryCall(result.Reason) {
			// This refusal does not rule out that an earlier call was accepted.
			continue
		}
		return s.submitResult(zone, spec, response, result)
	}
	if mayBeAccepted {
		return job.Record{}, outcome.UnknownBecause(outcome.ReasonAnswerLost, "the owner of zone %s did not respond", zone)
	}
	return job.Record{}, outcome.NotRunBecause(outcome.ReasonNoOwner, "the owner of zone %s could not be reached", zone)
}

func (s *Server) callOwner(ctx context.Context, owner view.Owner, request *rpc.SubmitJobRequest) (*rpc.SubmitJobResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	remote := rpc.NewSchedulerProtobufClient("http://"+owner.SchedulerAddress, s.options.InternalClient)
	return remote.SubmitJob(ctx, request)
}

func (s *Server) submitResult(zone model.AvailabilityZoneID, spec model.JobSpec, response *rpc.SubmitJobResponse, result outcome.Outcome) (job.Record, outcome.Outcome) {
	if result.Kind != outcome.Accepted {
		return job.Record{}, result
	}
	s.zones.countAccepted(zone, spec.Shape)
	record, err := job.Decode(response.GetJobJson())
	if err != nil {
		return job.Record{Spec: spec, Zone: zone, State: job.Queued}, result
	}
	return record, result
}

// sleep returns false if ctx ends before duration has passed.
func (s *Server) sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.options.Clock.After(duration):
		return true
	}
}

func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func outcomeOf(o *rpc.Outcome) outcome.Outcome {
	return outcome.Outcome{Kind: outcome.Kind(o.GetKind()), Reason: outcome.Reason(o.GetReason()), Detail: o.GetDetail()}
}

// jobQuery is a query for one job, or its cancellation, sent to the owners of all zones.
type jobQuery struct {
	id            string
	organisation  model.OrganisationID
	knownRevision int64
	wait          time.Duration
	cancel        bool
}

// lookupResult is one owner's response to a jobQuery.
type lookupResult struct {
	record job.Record
	result outcome.Outcome
	found  bool
	err    error
}

// findJob queries the owners of all zones concurrently. The job is known not to exist
// only if every zone has an owner that responded.
func (s *Server) findJob(ctx context.Context, v *view.View, query jobQuery) (job.Record, outcome.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, query.wait+ownerTimeout)
	defer cancel()
	addresses := ownerAddresses(v)
	lookups := make(chan lookupResult, len(addresses))
	for _, address := range addresses {
		go func() { lookups <- s.queryOwner(ctx, address, query) }()
	}
	complete := len(v.Owners) >= len(v.Config.Zones)
	for range addresses {
		lookup := <-lookups
		if lookup.found {
			return lookup.record, lookup.result
		}
		complete = complete && lookup.err == nil
	}
	if !complete {
		return job.Record{}, outcome.UnknownBecause(outcome.ReasonNoOwner, "not every zone has an owner that responded")
	}
	return job.Record{}, outcome.NotRunBecause(outcome.ReasonNotFound, "the organisation has no such job")
}

func (s *Server) queryOwner(ctx context.Context, address string, query jobQuery) lookupResult {
	remote := rpc.NewSchedulerProtobufClient("http://"+address, s.options.InternalClient)
	if query.cancel {
		request := &rpc.CancelJobRequest{Job: query.id, Organisation: string(query.organisation)}
		response, err := remote.CancelJob(ctx, request)
		return decodeLookup(response.GetFound(), response.GetJobJson(), outcomeOf(response.GetOutcome()), err)
	}
	response, err := remote.GetJob(ctx, &rpc.GetJobRequest{
		Job:           query.id,
		Organisation:  string(query.organisation),
		KnownRevision: query.knownRevision,
		WaitMs:        query.wait.Milliseconds(),
	})
	return decodeLookup(response.GetFound(), response.GetJobJson(), outcome.Ok(), err)
}

func decodeLookup(found bool, jobJSON []byte, result outcome.Outcome, err error) lookupResult {
	if err != nil || !found {
		return lookupResult{err: err}
	}
	lookup := lookupResult{found: true, result: result}
	if len(jobJSON) > 0 {
		lookup.record, lookup.err = job.Decode(jobJSON)
		lookup.found = lookup.err == nil
	}
	return lookup
}
