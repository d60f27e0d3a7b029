package adminapi

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/acceptance"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/problem"
)

// getConfig returns the configuration in the store, or the one that this host uses if
// the store can't be read or holds an older one.
func (h *handler) getConfig(w http.ResponseWriter, r *http.Request, _ string) {
	response := h.configResponse(r.Context())
	w.Header().Set("ETag", etag(response.Version))
	writeJSON(w, http.StatusOK, response)
}

func (h *handler) configResponse(ctx context.Context) ConfigResponse {
	inForce := h.View.Current().Config
	stored, err := h.Acceptor.Read(ctx)
	if err != nil || stored.Version < inForce.Version {
		return ConfigResponse{Version: inForce.Version, Text: canonicalText(inForce)}
	}
	return ConfigResponse{
		Version:    stored.Version,
		Author:     stored.Author,
		AcceptedAt: stored.AcceptedAt,
		Confirmed:  true,
		History:    stored.History,
		Text:       stored.Text,
	}
}

func canonicalText(c *config.Cluster) string {
	if c.Version == 0 {
		return ""
	}
	return string(config.Canonical(c))
}

// checkConfig returns what the text in the body would change. It writes nothing.
func (h *handler) checkConfig(w http.ResponseWriter, r *http.Request, _ string) {
	text, ok := readText(w, r)
	if !ok {
		return
	}
	current, err := h.currentCluster(r.Context())
	if err != nil {
		problem.Write(w, outcome.NotRunBecause(outcome.ReasonInternal, "%v", err))
		return
	}
	writeChangeResult(w, h.Acceptor.Check(current, text))
}

// currentCluster returns the configuration in the store, or the one that this host uses
// if the store can't be read.
func (h *handler) currentCluster(ctx context.Context) (*config.Cluster, error) {
	stored, err := h.Acceptor.Read(ctx)
	if err != nil {
		return h.View.Current().Config, nil
	}
	return stored.Cluster()
}

// putConfig submits the text in the body as a change based on the version in If-Match.
func (h *handler) putConfig(w http.ResponseWriter, r *http.Request, operator string) {
	base, err := ifMatch(r)
	if err != nil {
		document := problem.New(outcome.NotRunBecause(outcome.ReasonMalformed, "%v", err))
		document.Status = http.StatusPreconditionRequired
		document.Title = http.StatusText(document.Status)
		problem.WriteDocument(w, document.Status, document)
		return
	}
	text, ok := readText(w, r)
	if !ok {
		return
	}
	ctx, cancel := writeContext(r)
	defer cancel()
	writeChangeResult(w, h.Acceptor.Submit(ctx, operator, base, text))
}

func (h *handler) postZoneOut(w http.ResponseWriter, r *http.Request, operator string) {
	h.setZone(w, r, operator, true)
}

func (h *handler) postZoneIn(w http.ResponseWriter, r *http.Request, operator string) {
	h.setZone(w, r, operator, false)
}

func (h *handler) setZone(w http.ResponseWriter, r *http.Request, operator string, outOfService bool) {
	ctx, cancel := writeContext(r)
	defer cancel()
	zone := model.AvailabilityZoneID(r.PathValue("zone"))
	writeChangeResult(w, h.Acceptor.SetZone(ctx, operator, zone, outOfService))
}

func writeContext(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(r.Context()), writeTimeout)
}

// readText reads the body. On an error it writes the response and returns false.
func readText(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxTextBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		problem.Write(w, outcome.NotRunBecause(outcome.ReasonTooLarge,
			"the text is larger than %d bytes", config.MaxTextBytes))
		return nil, false
	case err != nil:
		problem.Write(w, outcome.NotRunBecause(outcome.ReasonMalformed, "the body could not be read in full: %v", err))
		return nil, false
	}
	return text, true
}

func etag(version model.ConfigVersion) string {
	return strconv.Quote(strconv.FormatUint(uint64(version), 10))
}

// ifMatch returns the version in the If-Match header; "*" is not accepted.
func ifMatch(r *http.Request) (model.ConfigVersion, error) {
	header := r.Header.Get("If-Match")
	text := strings.Trim(header, `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Errorf("the header If-Match is %q, expected the version that the text is based on, such as %s", header, etag(1))
	}
	return model.ConfigVersion(version), nil
}

func writeChangeResult(w http.ResponseWriter, result acceptance.Result) {
	if result.Accepted() {
		w.Header().Set("ETag", etag(result.Version))
		response := ChangeResponse{
			Version:  result.Version,
			Changes:  result.Changes,
			Warnings: unmetGuarantees(result.Unmet),
		}
		if response.Changes == nil {
			response.Changes = []config.Change{}
		}
		writeJSON(w, http.StatusOK, response)
		return
	}
	document := ChangeProblem{
		Document: problem.New(result.Outcome),
		Problems: result.Problems,
		Unmet:    unmetGuarantees(result.Unmet),
		Conflict: result.Conflict,
	}
	switch {
	case document.Conflict != nil:
		document.setStatus(http.StatusPreconditionFailed)
	case len(document.Problems) > 0:
		document.setStatus(http.StatusUnprocessableEntity)
	}
	problem.WriteDocument(w, document.Status, document)
}

func (p *ChangeProblem) setStatus(status int) {
	p.Status = status
	p.Title = http.StatusText(status)
}
