// Package collect queries the processes of all entry hosts and merges their responses:
// the configuration version in use, the timelines, and the cost of requests and jobs. It
// keeps no state. Processes that do not respond in time are listed in the result.
package collect

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/chervilrun/chervilrun/internal/view"
)

// queryTimeout limits the wait for the responses.
const queryTimeout = 2 * time.Second

// Collector queries the processes of the members in the view.
type Collector struct {
	// Client is used for calls between the project's processes.
	Client *http.Client
	View   view.Source
	// Self describes this host, which is queried even if the view does not list it yet.
	Self view.Member
}

// target is a process to be queried.
type target struct {
	// name is "host/process", as in the timeline.
	name    string
	address string
}

func (c *Collector) members() []view.Member {
	members := c.View.Current().Members
	if slices.ContainsFunc(members, func(m view.Member) bool { return m.Host == c.Self.Host }) {
		return members
	}
	return append([]view.Member{c.Self}, members...)
}

// targets returns the processes of all members that have a known address.
func (c *Collector) targets() []target {
	var targets []target
	for _, m := range c.members() {
		host := string(m.Host)
		targets = append(targets,
			target{host + "/chervil-admin", m.AdminAddress},
			target{host + "/chervil-entry", m.EntryAddress},
			target{host + "/chervil-scheduler", m.SchedulerAddress})
	}
	return slices.DeleteFunc(targets, func(t target) bool { return t.address == "" })
}

// result is the response or error of one process.
type result[T any] struct {
	target   target
	response T
	err      error
}

// queryAll queries all targets concurrently and returns the results in their order.
func queryAll[T any](ctx context.Context, targets []target, query func(context.Context, target) (T, error)) []result[T] {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	results := make([]result[T], len(targets))
	var group sync.WaitGroup
	for i, t := range targets {
		group.Go(func() {
			response, err := query(ctx, t)
			results[i] = result[T]{target: t, response: response, err: err}
		})
	}
	group.Wait()
	return results
}

// failedTargets returns the sorted names of the processes whose query failed.
func failedTargets[T any](results []result[T]) []string {
	var names []string
	for _, r := range results {
		if r.err != nil {
			names = append(names, r.target.name)
		}
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}
