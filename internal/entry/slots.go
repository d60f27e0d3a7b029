package entry

import (
	"context"
	"net/http"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/routing"
	"github.com/chervilrun/chervilrun/internal/rpc"
)

// Slots returns the service that lends slots to other entry hosts.
func (s *Server) Slots() rpc.Slots { return slotsServer{s.router} }

type slotsServer struct{ router *routing.Router }

// LendSlots implements rpc.Slots.
func (l slotsServer) LendSlots(_ context.Context, request *rpc.LendSlotsRequest) (*rpc.LendSlotsResponse, error) {
	response := l.router.Lend(routing.LoanRequest{
		Borrower:    model.HostID(request.GetFromHost()),
		Service:     model.ServiceID(request.GetService()),
		Holdings:    fromRPC(request.GetHoldings()),
		WantedSlots: int(request.GetWanted()),
	})
	return &rpc.LendSlotsResponse{Holdings: toRPC(response.Holdings), Contended: response.Contended}, nil
}

// slotsClient is a routing.LoanClient that calls other entry hosts over Twirp.
type slotsClient struct{ http *http.Client }

// Exchange implements routing.LoanClient.
func (c slotsClient) Exchange(ctx context.Context, address string, request routing.LoanRequest) (routing.LoanResponse, error) {
	remote := rpc.NewSlotsProtobufClient("http://"+address, c.http)
	response, err := remote.LendSlots(ctx, &rpc.LendSlotsRequest{
		FromHost: string(request.Borrower),
		Service:  string(request.Service),
		Holdings: toRPC(request.Holdings),
		Wanted:   int32(request.WantedSlots),
	})
	if err != nil {
		return routing.LoanResponse{}, err
	}
	return routing.LoanResponse{
		Holdings:  fromRPC(response.GetHoldings()),
		Contended: response.GetContended(),
	}, nil
}

func toRPC(holdings []routing.Holding) []*rpc.SlotHolding {
	converted := make([]*rpc.SlotHolding, len(holdings))
	for i, h := range holdings {
		converted[i] = &rpc.SlotHolding{Executor: string(h.Executor), Held: int32(h.HeldSlots), InUse: int32(h.InUse)}
	}
	return converted
}

// fromRPC replaces negative counts, which only a faulty host sends, by 0.
func fromRPC(holdings []*rpc.SlotHolding) []routing.Holding {
	converted := make([]routing.Holding, len(holdings))
	for i, h := range holdings {
		converted[i] = routing.Holding{
			Executor:  model.ExecutorID(h.GetExecutor()),
			HeldSlots: max(int(h.GetHeld()), 0),
			InUse:     max(int(h.GetInUse()), 0),
		}
	}
	return converted
}
