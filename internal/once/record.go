// Package once keeps the single-execution records of requests that may not be
// repeated. A record is created in the store before its request is sent, so that at
// most one of all requests with the same key is sent, across all entry hosts. Writes
// are committed in groups at a limited rate.
package once

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/executor"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
)

// State is the state of a recorded request.
type State string

// The states of a record.
const (
	// Pending means that the request may have been sent and has no outcome yet.
	Pending State = "pending"
	// Ended means that Outcome is final. If it is not_run, the key may be claimed again.
	Ended State = "ended"
)

// Record is the stored record of one key.
type Record struct {
	// Attempt is the unique ID of the claim.
	Attempt model.AttemptID `json:"attempt"`
	Host    model.HostID    `json:"host"`
	Service model.ServiceID `json:"service"`
	// Fingerprint is the SHA-256 of the request's content, in hexadecimal.
	Fingerprint string          `json:"fingerprint"`
	State       State           `json:"state"`
	Outcome     outcome.Outcome `json:"outcome"`
	// Response is the executor's response; nil if there is none or it was too large.
	Response *executor.Response `json:"answer,omitempty"`
	// Note is data of the claimer for later claims, for example a job's zone.
	Note string `json:"note,omitempty"`
	// Deadline is the time after which a pending request is no longer running.
	Deadline time.Time `json:"deadline"`
}

// MaxResponseBytes is the size of the largest response body that a record keeps.
const MaxResponseBytes = 256 << 10

// MaxKeyBytes is the maximum length of a key.
const MaxKeyBytes = 128

// ValidKey reports whether key is 1 to MaxKeyBytes visible ASCII characters.
func ValidKey(key string) bool {
	if key == "" || len(key) > MaxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// Fingerprint returns the SHA-256, in hexadecimal, of the parts of a request.
func Fingerprint(parts ...[]byte) string {
	hash := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return hex.EncodeToString(hash.Sum(nil))
}

func (r Record) encode() []byte {
	text, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "once: a record can always be encoded"))
	}
	return text
}

func decode(text []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(text, &r)
	return r, errors.Wrap(err, "once: record")
}

// reclaimable reports whether the request of r is known not to have run.
func (r Record) reclaimable() bool { return r.State == Ended && r.Outcome.Kind == outcome.NotRun }

// withoutLargeResponse drops a response that is too large to keep.
func (r Record) withoutLargeResponse() Record {
	if r.Response != nil && len(r.Response.Body) > MaxResponseBytes {
		r.Response = nil
	}
	return r
}
