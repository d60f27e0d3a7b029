package ctl

import (
	"context"
	"net/http"

	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/poolhost"
)

// Pool is a read-only client of the hosts of a pool.
type Pool struct {
	// Address is the URL of any host of the pool, with the port that serves other hosts.
	Address string
	HTTP    *http.Client
}

// Status returns the status that the host reports and the status that the owner of the
// pool reports; both are the same when the host is the owner. ownerErr says why there is no
// status of the owner.
func (p *Pool) Status(ctx context.Context) (host, owner poolhost.Status, ownerErr, err error) {
	if err = p.get(ctx, p.Address+poolhost.StatusPath, &host); err != nil {
		return host, owner, nil, err
	}
	switch {
	case host.Term != nil:
		return host, host, nil, nil
	case host.OwnerAddress == "":
		return host, owner, failure(outcome.NotRunBecause(outcome.ReasonNoOwner, "host %s knows no owner of the pool", host.Host)), nil
	}
	ownerErr = p.get(ctx, "http://"+host.OwnerAddress+poolhost.StatusPath, &owner)
	if ownerErr == nil && owner.Term == nil {
		ownerErr = failure(outcome.NotRunBecause(outcome.ReasonNoOwner, "host %s no longer owns the pool", owner.Host))
	}
	return host, owner, ownerErr, nil
}

// Explain returns the state of a job and why it waits, according to the owner of the pool.
func (p *Pool) Explain(ctx context.Context, job string) (poolhost.ExplainResponse, error) {
	var response poolhost.ExplainResponse
	if err := p.get(ctx, p.Address+poolhost.ExplainPath+job, &response); err != nil || response.Owner {
		return response, err
	}
	if response.OwnerAddress == "" {
		return response, failure(outcome.NotRunBecause(outcome.ReasonNoOwner, "the host knows no owner of the pool"))
	}
	err := p.get(ctx, "http://"+response.OwnerAddress+poolhost.ExplainPath+job, &response)
	if err == nil && !response.Owner {
		err = failure(outcome.NotRunBecause(outcome.ReasonNoOwner, "the host named as the owner no longer owns the pool"))
	}
	return response, err
}

func (p *Pool) get(ctx context.Context, target string, result any) error {
	return send(ctx, p.HTTP, http.MethodGet, target, nil, nil, result)
}
