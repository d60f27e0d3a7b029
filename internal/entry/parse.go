package entry

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/client"
	"github.com/chervilrun/chervilrun/internal/chart"
	"github.com/chervilrun/chervilrun/internal/executor"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/once"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/view"
)

// call is one caller's request in flight.
type call struct {
	id           string
	organisation model.OrganisationID
	weight       int
	service      model.Service
	key          string
	contentType  string
	body         []byte
	receivedAt   time.Time
	deadline     time.Time
	stateMachine *chart.Machine

	attempts int
	// slotTime is the total time that the attempts have held slots of executors.
	slotTime time.Duration
	replayed bool
}

// Defaults and limits of requests.
const (
	defaultTimeout      = 30 * time.Second
	defaultMaxBodyBytes = 1 << 20
	maxHeaderValueBytes = 256
)

// parseRequest reads the request of an authenticated caller. The outcome is not Done if
// the request is refused; the call is nil if its service is unknown.
func (s *Server) parseRequest(w http.ResponseWriter, r *http.Request, v *view.View, organisation model.OrganisationID) (*call, outcome.Outcome) {
	service, known := v.Config.Service(model.ServiceID(r.PathValue("service")))
	if !known || service.Organisation != organisation {
		return nil, outcome.NotRunBecause(outcome.ReasonUnknownService, "the organisation has no service of this name")
	}
	organisationConfig, _ := v.Config.Organisation(organisation)
	c := &call{
		id:           s.ids.newRequestID(),
		organisation: organisation,
		weight:       organisationConfig.Weight,
		service:      service,
		receivedAt:   s.options.Clock.Now(),
		stateMachine: s.chart.New(),
	}
	if refused := c.readHeaders(r); refused.Kind != outcome.Done {
		return c, refused
	}
	return c, c.readBody(w, r)
}

func (c *call) readHeaders(r *http.Request) outcome.Outcome {
	key, err := singleHeader(r.Header, client.HeaderKey)
	if err != nil || (key != "" && !once.ValidKey(key)) {
		return outcome.NotRunBecause(outcome.ReasonMalformed,
			"header %s: expected 1 to %d visible ASCII characters, once", client.HeaderKey, once.MaxKeyBytes)
	}
	if key == "" && !c.service.Repeatable {
		return outcome.NotRunBecause(outcome.ReasonKeyMissing,
			"requests of this service may not be repeated: header %s is required", client.HeaderKey)
	}
	c.key = key
	contentType, err := singleHeader(r.Header, "Content-Type")
	if err != nil || len(contentType) > maxHeaderValueBytes {
		return outcome.NotRunBecause(outcome.ReasonMalformed, "header Content-Type: expected at most %d characters, once", maxHeaderValueBytes)
	}
	c.contentType = contentType
	return c.readDeadline(r)
}

func (c *call) readDeadline(r *http.Request) outcome.Outcome {
	timeout := time.Duration(c.service.TimeoutMS) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	value, err := singleHeader(r.Header, client.HeaderDeadline)
	if err != nil {
		return outcome.NotRunBecause(outcome.ReasonMalformed, "header %s: expected at most once", client.HeaderDeadline)
	}
	if value != "" {
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return outcome.NotRunBecause(outcome.ReasonMalformed, "header %s: expected milliseconds", client.HeaderDeadline)
		}
		if ms <= 0 {
			return outcome.NotRunBecause(outcome.ReasonDeadline, "the deadline has passed")
		}
		if ms < timeout.Milliseconds() {
			timeout = time.Duration(ms) * time.Millisecond
		}
	}
	c.deadline = c.receivedAt.Add(timeout)
	return outcome.Ok()
}

// singleHeader returns the value of a header that may occur at most once.
func singleHeader(header http.Header, name string) (string, error) {
	values := header.Values(name)
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", errors.Errorf("header %s is given %d times", name, len(values))
}

func (c *call) readBody(w http.ResponseWriter, r *http.Request) outcome.Outcome {
	limit := c.service.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.Header.Get("Content-Encoding") != "" {
		return outcome.NotRunBecause(outcome.ReasonMalformed, "header Content-Encoding: encoded bodies are not supported")
	}
	body, refused := readLimited(w, r, limit, c.deadline)
	if refused.Kind != outcome.Done {
		return refused
	}
	if digest := r.Header.Get(executor.HeaderDigest); digest != "" && digest != executor.Digest(body) {
		return outcome.NotRunBecause(outcome.ReasonMalformed, "header %s does not match the body", executor.HeaderDigest)
	}
	c.body = body
	return outcome.Ok()
}

// readLimited reads a body of at most limit bytes until the deadline.
func readLimited(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, outcome.Outcome) {
	if r.ContentLength > limit {
		return nil, outcome.NotRunBecause(outcome.ReasonTooLarge, "the body may have at most %d bytes", limit)
	}
	if r.ContentLength != 0 {
		// The deadline must be cleared afterwards, because net/http keeps reading to
		// detect that the caller disconnects. Errors are ignored: a writer that does not
		// support deadlines belongs to a request that is read from memory.
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(deadline)
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	reader := http.MaxBytesReader(w, r.Body, limit)
	var body []byte
	var err error
	if r.ContentLength >= 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(reader, body)
	} else {
		body, err = io.ReadAll(reader)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, outcome.NotRunBecause(outcome.ReasonTooLarge, "the body may have at most %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, outcome.NotRunBecause(outcome.ReasonDeadline, "the body was not received before the deadline")
	case err != nil:
		return nil, outcome.NotRunBecause(outcome.ReasonMalformed, "the body was truncated")
	}
	return body, outcome.Ok()
}
