// Package problem writes and reads errors as problem documents (RFC 9457). Each
// carries the outcome of the call, so that a client branches on the outcome and its
// reason and never on text.
package problem

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/outcome"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// TypePrefix precedes the reason in the member "type".
const TypePrefix = "urn:chervilrun:problem:"

// MaxBytes is the size of the largest problem document that a client reads.
const MaxBytes = 1 << 20

// Document is a problem document. Calls that add members of their own embed it.
type Document struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome says whether the work ran: done, not_run or unknown.
	Outcome outcome.Kind   `json:"outcome"`
	Reason  outcome.Reason `json:"reason"`
	// Request is the ID of the request or of its attempt, if there is one.
	Request string `json:"request,omitempty"`
}

// New returns the document for an outcome, with the status from StatusFor.
func New(o outcome.Outcome) Document {
	status := StatusFor(o)
	return Document{
		Type:    TypePrefix + string(o.Reason),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  o.Detail,
		Outcome: o.Kind,
		Reason:  o.Reason,
	}
}

// Result returns the outcome that the document carries.
func (d Document) Result() outcome.Outcome {
	return outcome.Outcome{Kind: d.Outcome, Reason: d.Reason, Detail: d.Detail}
}

// Error implements error, so that clients can return a Document as one.
func (d Document) Error() string { return d.Result().String() }

// Write sends the problem document of an outcome.
func Write(w http.ResponseWriter, o outcome.Outcome) { WriteDocument(w, StatusFor(o), New(o)) }

// WriteDocument sends document, a Document or a struct that embeds one.
func WriteDocument(w http.ResponseWriter, status int, document any) {
	body, err := json.Marshal(document)
	if err != nil {
		panic(errors.Wrap(err, "problem: a document can always be encoded"))
	}
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set("Cache-Control", "no-store")
	header.Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_, _ = w.Write(append(body, '\n'))
}

// Is reports whether a response carries a problem document.
func Is(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == ContentType
}

// Read decodes the problem document of a response into document, a pointer to a
// Document or to a struct that embeds one.
func Read(response *http.Response, document any) error {
	if !Is(response) {
		return errors.Errorf("problem: status %d without a problem document", response.StatusCode)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, MaxBytes))
	return errors.Wrap(decoder.Decode(document), "problem document")
}
