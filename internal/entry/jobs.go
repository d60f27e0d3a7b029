package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/client"
	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/once"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/problem"
	"github.com/chervilrun/chervilrun/internal/view"
)

// maxJobBytes is the size of the largest body of a job request: the payload in base64 and
// the other members.
const maxJobBytes = model.MaxPayloadBytes*2 + 16<<10

// submitJob handles POST /v1/jobs.
func (s *Server) submitJob(w http.ResponseWriter, r *http.Request) {
	v := s.options.Source.Current()
	organisation, ok := s.authenticate(w, r, v)
	if !ok {
		return
	}
	key, err := singleHeader(r.Header, client.HeaderKey)
	if err != nil || (key != "" && !once.ValidKey(key)) {
		writeOutcome(w, outcome.NotRunBecause(outcome.ReasonMalformed,
			"header %s: expected 1 to %d visible ASCII characters, once", client.HeaderKey, once.MaxKeyBytes), "")
		return
	}
	body, refused := readLimited(w, r, maxJobBytes, s.options.Clock.Now().Add(defaultTimeout))
	if refused.Kind != outcome.Done {
		writeOutcome(w, refused, "")
		return
	}
	spec, refused := s.parseJobSpec(v, organisation, body)
	if refused.Kind != outcome.Done {
		writeOutcome(w, refused, "")
		return
	}
	spec.ID = s.ids.newJobID(organisation, key)
	var record job.Record
	var result outcome.Outcome
	if key == "" {
		record, result = s.submit(r.Context(), spec)
	} else {
		record, result = s.submitOnce(r.Context(), spec, key, once.Fingerprint(body))
	}
	writeJob(w, record, result)
}

// parseJobSpec parses and validates a job request. The outcome is not Done if it is
// refused.
func (s *Server) parseJobSpec(v *view.View, organisation model.OrganisationID, body []byte) (model.JobSpec, outcome.Outcome) {
	var request client.JobRequest
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return model.JobSpec{}, outcome.NotRunBecause(outcome.ReasonMalformed, "the body is not a valid job: %v", err)
	}
	if decoder.More() {
		return model.JobSpec{}, outcome.NotRunBecause(outcome.ReasonMalformed, "the body has data after the job")
	}
	service, known := v.Config.Service(model.ServiceID(request.Service))
	if !known || service.Organisation != organisation {
		return model.JobSpec{}, outcome.NotRunBecause(outcome.ReasonUnknownService, "the organisation has no service of this name")
	}
	spec := newJobSpec(request, organisation)
	return spec, s.checkSpec(v, spec)
}

func newJobSpec(request client.JobRequest, organisation model.OrganisationID) model.JobSpec {
	spec := model.JobSpec{
		Organisation:    organisation,
		Service:         model.ServiceID(request.Service),
		Priority:        model.PriorityClass(request.Priority),
		Repeatable:      request.Repeatable,
		Checkpoint:      request.Checkpoint,
		DeclaredRunTime: time.Duration(request.DeclaredRunTimeMS) * time.Millisecond,
		Deadline:        request.Deadline,
		Payload:         request.Payload,
		Shape: model.Shape{
			Tasks:     request.Shape.Tasks,
			PerTask:   model.Resources(request.Shape.PerTask),
			Adjacency: model.Adjacency(request.Shape.Adjacency),
		},
	}
	if spec.Priority == "" {
		spec.Priority = model.PriorityNormal
	}
	for _, zone := range request.Zones {
		spec.Zones = append(spec.Zones, model.AvailabilityZoneID(zone))
	}
	return spec
}

// maxDeclaredRunTime limits the declared run time of a job.
const maxDeclaredRunTime = 366 * 24 * time.Hour

func (s *Server) checkSpec(v *view.View, spec model.JobSpec) outcome.Outcome {
	if err := spec.Shape.Validate(); err != nil {
		return outcome.NotRunBecause(outcome.ReasonMalformed, "shape: %v", err)
	}
	for _, zone := range spec.Zones {
		if _, known := v.Config.Zone(zone); !known {
			return outcome.NotRunBecause(outcome.ReasonMalformed, "zones: unknown zone %q", zone)
		}
	}
	switch {
	case !spec.Priority.Valid():
		return outcome.NotRunBecause(outcome.ReasonMalformed, "priority is %q, expected urgent or normal", spec.Priority)
	case spec.DeclaredRunTime < 0 || spec.DeclaredRunTime > maxDeclaredRunTime:
		return outcome.NotRunBecause(outcome.ReasonMalformed, "declared_run_time_ms: expected 0 to %d", maxDeclaredRunTime.Milliseconds())
	case len(spec.Payload) > model.MaxPayloadBytes:
		return outcome.NotRunBecause(outcome.ReasonTooLarge, "the payload may have at most %d bytes", model.MaxPayloadBytes)
	case !spec.Deadline.IsZero() && !spec.Deadline.After(s.options.Clock.Now()):
		return outcome.NotRunBecause(outcome.ReasonDeadline, "the deadline has passed")
	}
	return outcome.Ok()
}

// maxJobWait limits how long a call waits for a change of a job.
const maxJobWait = time.Minute

// getJob handles GET /v1/jobs/{job}.
func (s *Server) getJob(w http.ResponseWriter, r *http.Request) {
	v := s.options.Source.Current()
	organisation, ok := s.authenticate(w, r, v)
	if !ok {
		return
	}
	knownRevision, wait, err := waitParameters(r)
	if err != nil {
		writeOutcome(w, outcome.NotRunBecause(outcome.ReasonMalformed, "%v", err), "")
		return
	}
	record, result := s.findJob(r.Context(), v, jobQuery{
		id:            r.PathValue("job"),
		organisation:  organisation,
		knownRevision: knownRevision,
		wait:          wait,
	})
	writeJob(w, record, result)
}

func waitParameters(r *http.Request) (knownRevision int64, wait time.Duration, err error) {
	query := r.URL.Query()
	if text := query.Get("wait"); text != "" {
		wait, err = time.ParseDuration(text)
		if err != nil || wait < 0 {
			return 0, 0, errors.New("wait: expected a duration, for example 10s")
		}
	}
	if text := query.Get("revision"); text != "" {
		knownRevision, err = strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, 0, errors.New("revision: expected an integer")
		}
	}
	return knownRevision, min(wait, maxJobWait), nil
}

// cancelJob handles DELETE /v1/jobs/{job}.
func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	v := s.options.Source.Current()
	organisation, ok := s.authenticate(w, r, v)
	if !ok {
		return
	}
	query := jobQuery{id: r.PathValue("job"), organisation: organisation, cancel: true}
	record, result := s.findJob(r.Context(), v, query)
	writeJob(w, record, result)
}

// writeJob sends a job, or a problem document if the outcome is not Done or Accepted.
func writeJob(w http.ResponseWriter, record job.Record, result outcome.Outcome) {
	if result.Kind != outcome.Done && result.Kind != outcome.Accepted {
		writeOutcome(w, result, "")
		return
	}
	body, err := json.Marshal(clientJob(record))
	if err != nil {
		panic(errors.Wrap(err, "entry: a job can always be encoded"))
	}
	header := w.Header()
	header.Set(client.HeaderOutcome, string(result.Kind))
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	header.Set("Location", "/v1/jobs/"+string(record.Spec.ID))
	w.WriteHeader(problem.StatusFor(result))
	_, _ = w.Write(append(body, '\n'))
}

// clientJob returns the representation of a job for its caller.
func clientJob(record job.Record) client.Job {
	visible := client.Job{
		ID:           string(record.Spec.ID),
		Organisation: string(record.Spec.Organisation),
		Service:      string(record.Spec.Service),
		Zone:         string(record.Zone),
		State:        string(record.State),
		Attempts:     record.Attempts,
		Accepted:     record.Accepted,
		Started:      record.Started,
		Ended:        record.Ended,
		Revision:     record.Revision,
		Outcome: client.Outcome{
			Kind:   client.Kind(record.Outcome.Kind),
			Reason: string(record.Outcome.Reason),
			Detail: record.Outcome.Detail,
		},
		Shape: client.Shape{
			Tasks:     record.Spec.Shape.Tasks,
			PerTask:   client.Resources(record.Spec.Shape.PerTask),
			Adjacency: string(record.Spec.Shape.Adjacency),
		},
	}
	for _, worker := range record.Placement {
		visible.Workers = append(visible.Workers, string(worker))
	}
	return visible
}
