// Package auth authenticates HTTP requests of organisations and operators by bearer
// tokens. The configuration holds only the SHA-256 hashes of the tokens.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/model"
)

// MaxTokenBytes is the maximum length of a token, in bytes.
const MaxTokenBytes = 512

// BootstrapOperator is the operator name of requests with the bootstrap token, which is
// set in chervil-admin's settings and may submit the first configuration.
const BootstrapOperator = "bootstrap"

const scheme = "bearer"

// Hash returns the SHA-256 of a token in hexadecimal, as written in the configuration.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Bearer returns the bearer token of a request with exactly one Authorization header.
func Bearer(r *http.Request) (string, bool) {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	givenScheme, token, found := strings.Cut(values[0], " ")
	token = strings.TrimSpace(token)
	if !found || !strings.EqualFold(givenScheme, scheme) || token == "" || len(token) > MaxTokenBytes {
		return "", false
	}
	return token, true
}

// Caller returns the organisation whose token the request carries.
func Caller(c *config.Cluster, r *http.Request) (model.OrganisationID, bool) {
	token, ok := Bearer(r)
	if !ok {
		return "", false
	}
	hash := Hash(token)
	var caller model.OrganisationID
	found := false
	// Every hash is compared, so that the response time does not reveal which one matched.
	for i := range c.Organisations {
		for _, known := range c.Organisations[i].TokenSHA256 {
			if equalConstantTime(hash, known) {
				caller, found = c.Organisations[i].ID, true
			}
		}
	}
	return caller, found
}

// Operator returns the name of the operator whose token the request carries. Until the
// first configuration is accepted, only the token with bootstrapHash is valid, and none
// if bootstrapHash is empty.
func Operator(c *config.Cluster, bootstrapHash string, r *http.Request) (string, bool) {
	token, ok := Bearer(r)
	if !ok {
		return "", false
	}
	hash := Hash(token)
	if c.Version == 0 {
		return BootstrapOperator, equalConstantTime(hash, bootstrapHash)
	}
	name, found := "", false
	for _, operator := range c.Operators {
		if equalConstantTime(hash, operator.TokenSHA256) {
			name, found = operator.Name, true
		}
	}
	return name, found
}

func equalConstantTime(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
