package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"sync/atomic"

	"github.com/chervilrun/chervilrun/internal/model"
)

// idSource generates IDs that are unique across all entry hosts and their restarts.
type idSource struct {
	prefix  string
	counter atomic.Uint64
}

const (
	idPrefixDigits = 12
	jobIDDigits    = 24
	idBase         = 36
)

func newIDSource(incarnation string) *idSource {
	return &idSource{prefix: sha256Hex(incarnation)[:idPrefixDigits]}
}

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// newRequestID returns a new request ID.
func (s *idSource) newRequestID() string {
	return "r-" + s.prefix + "-" + strconv.FormatUint(s.counter.Add(1), idBase)
}

// attemptID returns the ID of a request's attempt; the first has number 1.
func attemptID(request string, number int) model.AttemptID {
	return model.AttemptID(request + "." + strconv.Itoa(number))
}

// newJobID returns a new job ID. With an idempotency key the ID is derived from the
// organisation and the key alone, so that a repeated submission names the same job.
func (s *idSource) newJobID(organisation model.OrganisationID, key string) model.JobID {
	if key == "" {
		return model.JobID("j-" + s.prefix + "-" + strconv.FormatUint(s.counter.Add(1), idBase))
	}
	return model.JobID("k-" + sha256Hex(string(organisation) + "\x00" + key)[:jobIDDigits])
}
