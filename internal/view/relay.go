package view

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/rpc"
)

// maxHoldTime limits how long WatchView holds a request.
const maxHoldTime = 10 * time.Second

// WatchView implements rpc.Relay as a long poll: it responds when the view differs from the
// caller's, when the view is confirmed again, or after the requested wait.
func (s *Syncer) WatchView(ctx context.Context, request *rpc.WatchViewRequest) (*rpc.WatchViewResponse, error) {
	arrivedAt := s.Clock.Now()
	if !s.Loaded() {
		return nil, twirp.NewError(twirp.Unavailable, "the view is not loaded yet")
	}
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxHoldTime)
	if wait > 0 {
		s.waitForUpdate(ctx, request.GetKnownSerial(), wait)
	}
	return s.watchViewResponse(request, arrivedAt), ctx.Err()
}

// Loaded reports whether the members and owners were read from the store or from a peer.
func (s *Syncer) Loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

func (s *Syncer) waitForUpdate(ctx context.Context, serial uint64, wait time.Duration) {
	s.mu.Lock()
	confirmed := s.nextConfirmation
	s.mu.Unlock()
	changed := s.Changed()
	if s.Current().Serial != serial {
		return
	}
	timer := s.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-confirmed:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// watchViewResponse reads the confirmation before the view, so that the confirmation never
// refers to a newer view than the one sent.
func (s *Syncer) watchViewResponse(request *rpc.WatchViewRequest, arrivedAt time.Time) *rpc.WatchViewResponse {
	now := s.Clock.Now()
	confirmation := s.Confirmation()
	outageSince, outage := s.outage(now)
	view := s.Current()
	response := &rpc.WatchViewResponse{
		Serial:          view.Serial,
		ConfirmedAgeMs:  ageMS(now, confirmation.ConfirmedAt),
		StoreReachable:  confirmation.StoreReachable,
		OutageConfirmed: outage,
		HostsDigest:     view.HostsDigest,
		HeldMs:          now.Sub(arrivedAt).Milliseconds(),
	}
	if outage {
		response.OutageAgeMs = ageMS(now, outageSince)
	}
	if view.Serial != request.GetKnownSerial() {
		response.HostsUnchanged = !needsHosts(view, request)
		response.View = viewMessage(view, request)
	}
	return response
}

// maxReportedAge is reported for all greater ages, also of events that never happened.
const maxReportedAge = 1000 * time.Hour

// ageMS rounds up, so that a confirmation never appears younger than it is.
func ageMS(now, then time.Time) int64 {
	age := min(now.Sub(then), maxReportedAge)
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

// needsHosts reports whether the caller lacks the current lists of workers and executors.
func needsHosts(view *View, request *rpc.WatchViewRequest) bool {
	return view.HostsDigest != 0 && view.HostsDigest != request.GetKnownHostsDigest()
}

func viewMessage(view *View, request *rpc.WatchViewRequest) *rpc.View {
	message := &rpc.View{
		Serial:        view.Serial,
		ConfigVersion: uint64(view.Config.Version),
		Members:       memberMessages(view.Members),
		Owners:        ownerMessages(view.Owners),
		Epochs:        epochMessages(view.Epochs),
	}
	if request.GetKnownConfigVersion() != message.ConfigVersion {
		message.ConfigToml = view.ConfigText
	}
	if needsHosts(view, request) {
		message.Workers = workerMessages(view.Workers)
		message.Executors = executorMessages(view.Executors)
	}
	return message
}

// PeerStatus implements rpc.Relay: it records the call and returns this host's state of the
// view and of the store.
func (s *Syncer) PeerStatus(_ context.Context, request *rpc.PeerStatusRequest) (*rpc.PeerStatusResponse, error) {
	now := s.Clock.Now()
	from := request.GetFrom()
	s.peers.recordCall(model.HostID(request.GetFromHost()), from.GetAdminAddress(), now)
	mayReachStore := s.mayReachStore(now)
	confirmed := s.Confirmation().ConfirmedAt
	view := s.Current()
	response := &rpc.PeerStatusResponse{
		Host:           string(s.Self.Host),
		Incarnation:    s.Self.Incarnation,
		ConfigVersion:  uint64(view.Config.Version),
		ConfirmedAgeMs: ageMS(now, confirmed),
		StoreReachable: mayReachStore,
	}
	if listsDigest(view) != request.GetKnownListsDigest() {
		response.Members = memberMessages(view.Members)
		response.Owners = ownerMessages(view.Owners)
		response.Epochs = epochMessages(view.Epochs)
	}
	if uint64(view.Config.Version) > request.GetConfigVersion() {
		response.ConfigToml = view.ConfigText
	}
	return response, nil
}
