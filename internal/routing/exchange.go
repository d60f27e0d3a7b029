package routing

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Holding is the number of one executor's slots that a host has borrowed.
type Holding struct {
	Executor model.ExecutorID
	// HeldSlots is the number of slots that the host may use.
	HeldSlots int
	// InUse is the number of attempts in flight, at most HeldSlots.
	InUse int
}

// LoanRequest reports all slots that a host has borrowed from another host, and how many
// more it wants. It is idempotent.
type LoanRequest struct {
	Borrower    model.HostID
	Service     model.ServiceID
	Holdings    []Holding
	WantedSlots int
}

// LoanResponse lists all slots that the borrower holds from now on, for LoanTTL.
type LoanResponse struct {
	Holdings []Holding
	// Contended is true while requests wait for slots of the home host; the borrower then
	// returns unused slots sooner.
	Contended bool
}

// DueLoanRequests returns the loan requests to send now, by home host: every
// ExchangeInterval to all hosts that slots are borrowed from and, in between, while
// requests wait, to a few hosts in turn. Slots that they return are no longer used from
// now on. waiting is the number of requests that wait here; hosts in pending have not
// responded to the last exchange yet and are skipped.
func (p *Pool) DueLoanRequests(service model.ServiceID, waiting int, pending map[model.HostID]bool, now time.Time) map[model.HostID]LoanRequest {
	periodic := !now.Before(p.nextExchange)
	if p.policy != PolicyLoans || (!periodic && (waiting == 0 || now.Before(p.backoffUntil))) {
		return nil
	}
	if periodic {
		p.nextExchange = now.Add(ExchangeInterval)
	}
	homes := p.otherHomes(pending)
	chosen := p.chooseHomes(homes, waiting, now)
	requests := map[model.HostID]LoanRequest{}
	for _, home := range homes {
		mayAsk := slices.Contains(chosen, home)
		if !periodic && !mayAsk {
			continue
		}
		request := LoanRequest{Borrower: p.self, Service: service, Holdings: p.reportHoldings(home, periodic, now)}
		if mayAsk {
			request.WantedSlots = (waiting + len(chosen) - 1) / len(chosen)
		}
		if request.WantedSlots > 0 || len(request.Holdings) > 0 {
			requests[home] = request
		}
	}
	return requests
}

// otherHomes returns the other home hosts that this host may borrow slots from, sorted.
func (p *Pool) otherHomes(pending map[model.HostID]bool) []model.HostID {
	var homes []model.HostID
	for _, e := range p.executors {
		if home := e.loans.homeHost; home != p.self && home != "" && !pending[home] {
			homes = append(homes, home)
		}
	}
	slices.Sort(homes)
	return slices.Compact(homes)
}

// Number of hosts that are asked for slots at once: minHomes, plus one for each
// waitingPerHome waiting requests.
const (
	minHomes       = 1
	waitingPerHome = 8
)

// chooseHomes returns the hosts to ask for slots now, by round robin. It then returns none
// for exchangeBackoff, unless a response brings a slot or arrives while there are
// hosts that were not asked in this round; see ApplyResponse.
func (p *Pool) chooseHomes(homes []model.HostID, waiting int, now time.Time) []model.HostID {
	if waiting == 0 || len(homes) == 0 || now.Before(p.backoffUntil) {
		return nil
	}
	count := min(minHomes+waiting/waitingPerHome, len(homes))
	chosen := make([]model.HostID, count)
	for i := range chosen {
		chosen[i] = homes[(p.nextHome+i)%len(homes)]
	}
	p.nextHome = (p.nextHome + count) % len(homes)
	p.untriedHomes -= count
	if p.untriedHomes < 0 {
		p.untriedHomes = len(homes) - count
	}
	p.backoffUntil = now.Add(exchangeBackoff)
	return chosen
}

// reportHoldings returns the slots borrowed from a home host. With returnUnused it first
// gives up the slots that were not used since the last periodic exchange.
func (p *Pool) reportHoldings(home model.HostID, returnUnused bool, now time.Time) []Holding {
	var holdings []Holding
	for _, id := range p.sortedIDs {
		e := p.executors[id]
		if e.loans.homeHost != home {
			continue
		}
		if holding, borrowing := e.reportHolding(now, returnUnused); borrowing {
			holdings = append(holdings, holding)
		}
	}
	return holdings
}

// reportHolding returns the borrowed slots of one executor, and whether there were any
// before unused ones were given up; see reportHoldings.
func (e *executorState) reportHolding(now time.Time, returnUnused bool) (Holding, bool) {
	if !now.Before(e.loans.borrowedUntil) {
		e.loans.borrowedSlots = 0
	}
	borrowing := e.loans.borrowedSlots > 0
	if returnUnused {
		e.loans.borrowedSlots = min(e.loans.borrowedSlots, max(e.loans.peakInFlight, e.inFlight))
		e.loans.peakInFlight = e.inFlight
	}
	holding := Holding{Executor: e.executor.ID, HeldSlots: e.loans.borrowedSlots, InUse: min(e.inFlight, e.loans.borrowedSlots)}
	return holding, borrowing
}

// Lend serves another host's loan request. waiting is the number of requests that wait at
// this host: while there are any, the borrower gets no more than its fair share, except
// that it keeps the slots in use.
func (p *Pool) Lend(request LoanRequest, waiting int, now time.Time) LoanResponse {
	reported := map[model.ExecutorID]Holding{}
	for _, holding := range request.Holdings {
		reported[holding.Executor] = holding
	}
	var homeExecutors []*executorState
	for _, id := range p.sortedIDs {
		e := p.executors[id]
		if e.loans.homeHost != p.self {
			continue
		}
		homeExecutors = append(homeExecutors, e)
		e.renewLoan(request.Borrower, reported[id], waiting > 0, now)
	}
	unmet := lendFreeSlots(homeExecutors, request.Borrower, request.WantedSlots, waiting > 0, now)
	response := buildResponse(homeExecutors, request.Borrower, unmet, now)
	response.Contended = waiting > 0 || unmet > 0 || anyUnmetRequest(homeExecutors, now)
	return response
}

// anyUnmetRequest reports whether a host waits for slots of any of the executors.
func anyUnmetRequest(homeExecutors []*executorState, now time.Time) bool {
	return slices.ContainsFunc(homeExecutors, func(e *executorState) bool { return e.loans.hasUnmetRequest(now) })
}

// renewLoan renews the loan that the borrower reports, as far as the slots are still
// free. Slots in use are always renewed, up to the executor's number of slots.
func (e *executorState) renewLoan(borrower model.HostID, reported Holding, contended bool, now time.Time) {
	e.loans.byBorrower[borrower] = loan{}
	held := min(reported.HeldSlots, e.executor.Slots)
	reported.InUse = min(reported.InUse, held)
	if contended {
		held = min(held, max(e.loans.fairShare(e.executor.Slots, now), reported.InUse))
	}
	held = min(held, max(e.freeSlots(now), reported.InUse))
	e.loans.byBorrower[borrower] = loan{heldSlots: held, expiresAt: now.Add(LoanTTL)}
}

// freeSlots returns how many slots are neither used here nor lent.
func (e *executorState) freeSlots(now time.Time) int {
	return max(e.executor.Slots-e.inFlight-e.loans.lentSlots(now), 0)
}

// lendFreeSlots lends up to wanted further slots, one at a time from the executor with
// the most free slots, and returns how many could not be lent.
func lendFreeSlots(homeExecutors []*executorState, borrower model.HostID, wanted int, contended bool, now time.Time) int {
	for ; wanted > 0; wanted-- {
		best := mostFreeExecutor(homeExecutors, borrower, contended, now)
		if best == nil {
			return wanted
		}
		current := best.loans.byBorrower[borrower]
		current.heldSlots++
		best.loans.byBorrower[borrower] = current
	}
	return 0
}

// mostFreeExecutor returns the live executor with the most free slots that the borrower
// may get, or nil.
func mostFreeExecutor(homeExecutors []*executorState, borrower model.HostID, contended bool, now time.Time) *executorState {
	var best *executorState
	most := 0
	for _, e := range homeExecutors {
		if e.health.machine.State() != stateLive {
			continue
		}
		if contended && e.loans.byBorrower[borrower].heldSlots >= e.loans.fairShare(e.executor.Slots, now) {
			continue
		}
		if free := e.freeSlots(now); free > most {
			best, most = e, free
		}
	}
	return best
}

// buildResponse spreads the unmet slots over the executors, records them and lists the
// borrower's holdings.
func buildResponse(homeExecutors []*executorState, borrower model.HostID, unmet int, now time.Time) LoanResponse {
	var response LoanResponse
	for i, e := range homeExecutors {
		current := e.loans.byBorrower[borrower]
		current.unmetSlots = unmet / len(homeExecutors)
		if i < unmet%len(homeExecutors) {
			current.unmetSlots++
		}
		current.unmetUntil = now.Add(unmetTTL)
		e.loans.byBorrower[borrower] = current
		if current.heldSlots > 0 {
			response.Holdings = append(response.Holdings, Holding{Executor: e.executor.ID, HeldSlots: current.heldSlots})
		}
		if current.heldSlots+current.unmetSlots == 0 {
			delete(e.loans.byBorrower, borrower)
		}
	}
	return response
}

// contendedExchangeInterval replaces ExchangeInterval while slots are contended.
const contendedExchangeInterval = 50 * time.Millisecond

// ApplyResponse applies the response of a home host to a request sent at the given time;
// nil means that there was no response.
func (p *Pool) ApplyResponse(home model.HostID, response *LoanResponse, sent time.Time) {
	if response != nil && response.Contended {
		soon := sent.Add(contendedExchangeInterval)
		if soon.Before(p.nextExchange) {
			p.nextExchange = soon
		}
	}
	gainedSlot := false
	for _, id := range p.sortedIDs {
		e := p.executors[id]
		if e.loans.homeHost != home {
			continue
		}
		e.loans.homeUnreachable = response == nil
		if response == nil {
			continue
		}
		previous := e.loans.borrowedSlots
		e.loans.borrowedSlots = 0
		e.loans.borrowedUntil = sent.Add(LoanTTL)
		at := slices.IndexFunc(response.Holdings, func(h Holding) bool { return h.Executor == id })
		if at >= 0 {
			e.loans.borrowedSlots = response.Holdings[at].HeldSlots
		}
		gainedSlot = gainedSlot || e.loans.borrowedSlots > previous
	}
	if gainedSlot || p.untriedHomes > 0 {
		p.backoffUntil = time.Time{}
	}
}
