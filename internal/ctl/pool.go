package ctl

import (
	"context"
	"net/http"

	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/poolhost"
)

// Pool reads from the hosts of a pool; it changes nothing.
type Pool struct {
	// Address is the URL of any host, at its address for other hosts.
	Address string
	HTTP    *http.Client
}

// Status returns what the host tells and, when another host owns the pool, what that one
// tells. The second error says why the owner could not be asked.
func (p *Pool) Status(ctx context.Context) (host, owner poolhost.Status, ownerErr, err error) {
	if err = p.get(ctx, p.Address+poolhost.StatusPath, &host); err != nil {
		return host, owner, nil, err
	}
	switch {
	case host.Term != nil:
		return host, host, nil, nil
	case host.OwnerAddress == "":
		return host, owner, failure(outcome.NotRunBecause(outcome.ReasonNoOwner, "host %s knows of no owner of the pool", host.Host)), nil
	}
	ownerErr = p.get(ctx, "http://"+host.OwnerAddress+poolhost.StatusPath, &owner)
	if ownerErr == nil && owner.Term == nil {
		ownerErr = failure(outcome.NotRunBecause(outcome.ReasonNoOwner, "host %s has just given the pool up", owner.Host))
	}
	return host, owner, ownerErr, nil
}

// Explain returns how a job stands, as the owner of the pool knows it.
func (p *Pool) Explain(ctx context.Context, job string) (poolhost.Explained, error) {
	var answer poolhost.Explained
	if err := p.get(ctx, p.Address+poolhost.ExplainPath+job, &answer); err != nil || answer.Owner {
		return answer, err
	}
	if answer.OwnerAddress == "" {
		return answer, failure(outcome.NotRunBecause(outcome.ReasonNoOwner, "the host knows of no owner of the pool"))
	}
	err := p.get(ctx, "http://"+answer.OwnerAddress+poolhost.ExplainPath+job, &answer)
	if err == nil && !answer.Owner {
		err = failure(outcome.NotRunBecause(outcome.ReasonNoOwner, "the owner has just given the pool up"))
	}
	return answer, err
}

func (p *Pool) get(ctx context.Context, target string, answer any) error {
	return send(ctx, p.HTTP, http.MethodGet, target, nil, nil, answer)
}
