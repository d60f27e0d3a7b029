package poolhost

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/rpc"
)

// Timing of the connections between hosts.
const (
	peerDialTimeout = 300 * time.Millisecond
	peerKeepAlive   = time.Second
	peerIdleTimeout = 30 * time.Second
)

func newPeerClient() *http.Client {
	dialer := &net.Dialer{Timeout: peerDialTimeout, KeepAlive: peerKeepAlive}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     peerIdleTimeout,
	}}
}

// ownerClient returns a client for the owner; false when no other host is known to be it.
func (h *Host) ownerClient() (rpc.Pool, bool) {
	h.mu.Lock()
	address := h.owner.Address
	h.mu.Unlock()
	if address == "" || address == h.Address {
		return nil, false
	}
	return rpc.NewPoolProtobufClient("http://"+address, h.peers), true
}

// recordOwnerCall records the result of a call to the owner, with an event when calls start
// to fail or succeed again.
func (h *Host) recordOwnerCall(err error) {
	h.mu.Lock()
	wasUnresponsive, owner := h.ownerUnresponsive, h.owner.Host
	h.ownerUnresponsive = err != nil
	h.mu.Unlock()
	switch {
	case err != nil && !wasUnresponsive:
		h.Events.RecordFields(event.OwnerSilent, event.Subject{Host: owner}, event.Fields{"why": err.Error()})
	case err == nil && wasUnresponsive:
		h.Events.RecordFields(event.OwnerAnswers, event.Subject{Host: owner}, event.Fields{})
	}
}

// poolServer serves calls from other hosts.
type poolServer struct{ host *Host }

// Job implements rpc.Pool.
func (s *poolServer) Job(_ context.Context, request *rpc.PoolJobRequest) (*rpc.PoolJobResponse, error) {
	t := s.host.currentTerm()
	if t == nil {
		return &rpc.PoolJobResponse{}, nil
	}
	return t.job(model.JobID(request.Job)), nil
}

// Queue implements rpc.Pool.
func (s *poolServer) Queue(_ context.Context, request *rpc.PoolQueueRequest) (*rpc.PoolQueueResponse, error) {
	t := s.host.currentTerm()
	if t == nil {
		return &rpc.PoolQueueResponse{}, nil
	}
	return t.queue(request.Queue), nil
}

// Yield implements rpc.Pool: the owner hands over on request of a host with much more
// weight.
func (s *poolServer) Yield(_ context.Context, request *rpc.PoolYieldRequest) (*rpc.PoolYieldResponse, error) {
	t := s.host.currentTerm()
	if t == nil || request.Weight < minWeightRatio*s.host.Weight || s.host.Clock.Now().Sub(t.startedAt) < minTerm {
		return &rpc.PoolYieldResponse{}, nil
	}
	s.host.Events.RecordFields(event.OwnershipYielded, event.Subject{Host: request.Host}, event.Fields{"weight": s.host.Weight, "theirs": request.Weight, "fence": t.fence})
	s.host.background(func() {
		ctx, cancel := context.WithTimeout(s.host.ctx, electionTimeout)
		defer cancel()
		t.handOver(ctx)
	})
	return &rpc.PoolYieldResponse{Yields: true}, nil
}

// replaceWeakOwner asks an owner with much less weight than this host to hand over.
func (h *Host) replaceWeakOwner(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.Clock.After(weightCheckInterval):
		}
		h.mu.Lock()
		owner := h.owner
		h.mu.Unlock()
		if owner.Weight*minWeightRatio > h.Weight || !h.Ready() || h.elector.isWithdrawn() {
			continue
		}
		client, ok := h.ownerClient()
		if !ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		_, err := client.Yield(callCtx, &rpc.PoolYieldRequest{Host: h.Name, Weight: h.Weight})
		cancel()
		h.recordOwnerCall(err)
	}
}

// isAuthoritative reports whether the ownership is confirmed and all jobs are loaded.
func (t *term) isAuthoritative() bool {
	gate := t.gate()
	return gate.MayRecord
}

func (t *term) job(id model.JobID) *rpc.PoolJobResponse {
	response := &rpc.PoolJobResponse{Owner: t.isAuthoritative()}
	t.loop.Read(func(o *pool.Owner) {
		record, state, found := o.Lookup(id)
		if found {
			response.Found, response.Organisation, response.State = true, string(record.Organisation), string(state)
		}
	})
	return response
}

func (t *term) queue(name string) *rpc.PoolQueueResponse {
	response := &rpc.PoolQueueResponse{Owner: t.isAuthoritative()}
	t.loop.Read(func(o *pool.Owner) { response.Waiting = int32(o.Waiting(name)) })
	return response
}
