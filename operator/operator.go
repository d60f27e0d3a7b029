// Package operator lets operators write the configuration of chervilrun as a Go
// program. The program builds a Cluster and prints it; the operator reviews the
// printed TOML and submits it with "chervilctl config apply".
//
//	cluster := operator.Cluster{
//		Zones: []operator.Zone{{ID: "fukuoka", Region: "kyushu"}},
//		// ...
//	}
//	operator.Main(cluster)
//
// Equal clusters print the same bytes, whatever the order of their elements.
// docs/operators/configuration.md specifies the printed form.
package operator

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/chervilrun/chervilrun/internal/auth"
	"github.com/chervilrun/chervilrun/internal/config"
)

// Cluster is a complete configuration.
type Cluster struct {
	Zones         []Zone
	Organisations []Organisation
	Services      []Service
	Operators     []Operator
}

// Zone is an availability zone.
type Zone struct {
	ID     string
	Region string
	// Out takes the zone out of service: no task starts in it.
	Out bool
}

// Organisation is a tenant of the pool.
type Organisation struct {
	ID string
	// Weight sets the organisation's share of the capacity beyond guarantees, in relation
	// to the other organisations' weights; 0 means 1.
	Weight int
	// MaxAccelerators limits how many accelerators the organisation may use at once; 0
	// means no limit.
	MaxAccelerators int
	// Tokens holds the hashes of the tokens that the organisation's callers present.
	// While a token is being replaced, it holds both the old and the new one.
	Tokens     []TokenHash
	Guarantees []Guarantee
}

// Guarantee is a number of instances of one shape that an organisation can always reclaim.
type Guarantee struct {
	// Name is unique within the organisation.
	Name string
	// Count is the number of instances guaranteed at the same time; 0 means 1.
	Count int
	Shape Shape
	// Zones lists the IDs of the zones where the instances may be placed; empty means any.
	Zones []string
}

// Adjacency says how close to one another the tasks of a shape must run.
type Adjacency string

const (
	WithinWorker Adjacency = "worker"
	WithinRack   Adjacency = "rack"
	WithinZone   Adjacency = "zone"
)

// Shape is a number of identical tasks that run at the same time, close to one another.
type Shape struct {
	Tasks     int
	Adjacency Adjacency
	// Accelerators is the number of whole accelerators per task.
	Accelerators int
	// MilliCPU is the CPU time per task, in thousandths of a core.
	MilliCPU int64
	// MemoryMB is the memory per task, in mebibytes (2^20 bytes).
	MemoryMB int64
}

// Service is a program of one organisation. Its requests go to executors, its jobs
// run on workers.
type Service struct {
	ID           string
	Organisation string
	// Repeatable is true when a request may run more than once without harm (idempotent).
	Repeatable bool
	// TimeoutMS is the maximum duration of a request, in milliseconds; 0 means 30,000.
	TimeoutMS int64
	// MaxBodyBytes is the maximum size of a request's body, in bytes; 0 means 1 MiB.
	MaxBodyBytes int64
	// Zones lists the IDs of zones where its executors may be used; empty means any.
	Zones []string
}

// Operator is a person or program that may change the configuration.
type Operator struct {
	Name  string
	Token TokenHash
}

// TokenHash is the SHA-256 of a token in hexadecimal. A configuration never holds the
// token itself.
type TokenHash string

// HashToken returns the hash of a token.
func HashToken(token string) TokenHash { return TokenHash(auth.Hash(token)) }

// InvalidError lists all problems of a cluster. Their line numbers refer to the text that
// Cluster.TOML would have returned.
type InvalidError struct{ Problems []string }

// Error returns one line for each problem.
func (e *InvalidError) Error() string {
	return "configuration is invalid:\n" + strings.Join(e.Problems, "\n")
}

// TOML returns the cluster in canonical form, or an *InvalidError.
func (c Cluster) TOML() ([]byte, error) {
	text := config.Canonical(c.internal())
	_, problems := config.Parse(text)
	if len(problems) == 0 {
		return text, nil
	}
	invalid := &InvalidError{}
	for _, p := range problems {
		invalid.Problems = append(invalid.Problems, p.String())
	}
	return nil, invalid
}

// Print writes the cluster in canonical form to w.
func Print(w io.Writer, c Cluster) error {
	text, err := c.TOML()
	if err != nil {
		return err
	}
	_, err = w.Write(text)
	return err
}

// Main prints the cluster to standard output and exits with code 0, or prints its problems
// to standard error and exits with code 1.
func Main(c Cluster) {
	if err := Print(os.Stdout, c); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}
