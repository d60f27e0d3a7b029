package pool_test

import (
	"fmt"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

const (
	// ticketValidity is how long the tickets of the simulated adviser are valid, unless it says
	// otherwise.
	ticketValidity = 2 * time.Second
	// minAdviceTime is the time for a request of a queue that specifies none.
	minAdviceTime = 50 * time.Millisecond
)

// fakeAdviser is the adviser. It handles the requests of an owner one at a time, in turn, and goes
// on with those that the owner has given up.
type fakeAdviser struct {
	// allows decides which workers may run a step.
	allows func(step string, worker model.WorkerID) bool
	// validity is how long tickets are valid; 0 means ticketValidity.
	validity time.Duration
	// omitsValidity makes responses say nothing of the validity.
	omitsValidity bool
	// slowness multiplies the time that a request takes; 0 means 1.
	slowness int
	// busyUntil is when the last request of each owner has been handled.
	busyUntil map[*fakeOwner]time.Time
	// requests counts the requests by step.
	requests map[string]int
}

func (a *fakeAdviser) ticketValidity() time.Duration {
	if a.validity > 0 {
		return a.validity
	}
	return ticketValidity
}

// adviceTime returns how long the adviser takes for a request.
func (sim *simulation) adviceTime(order *pool.AdviseOrder) time.Duration {
	task, err := workflow.ParseTask(model.TaskID(order.Step + ".0"))
	if err != nil {
		panic(err)
	}
	queue := sim.records[task.Job].Queue
	return max(minAdviceTime, queue.AdviceTime(len(order.Workers))) * time.Duration(max(1, sim.adviser.slowness))
}

func (sim *simulation) advise(o *fakeOwner, call pool.Call) {
	adviser := &sim.adviser
	if adviser.busyUntil == nil {
		adviser.busyUntil, adviser.requests = map[*fakeOwner]time.Time{}, map[string]int{}
	}
	adviser.requests[call.Advise.Step]++
	done := sim.now()
	if busy := adviser.busyUntil[o]; busy.After(done) {
		done = busy
	}
	done = done.Add(sim.adviceTime(call.Advise))
	adviser.busyUntil[o] = done
	if timeout := call.Sent.Add(call.Timeout); timeout.Before(done) {
		sim.after(timeout.Sub(sim.now()), func() {
			o.deliverResult(func(owner *pool.Owner, now time.Time) {
				owner.AdviseDone(call, pool.Advice{}, pool.ErrResponseLost, now)
			})
		})
		return
	}
	sim.after(done.Sub(sim.now()), func() {
		advice := pool.Advice{Tickets: map[model.WorkerID]string{}, ValidFor: adviser.ticketValidity()}
		if adviser.omitsValidity {
			advice.ValidFor = 0
		}
		for _, id := range call.Advise.Workers {
			if sim.workers[id] != nil && adviser.allows(call.Advise.Step, id) {
				advice.Tickets[id] = sim.ticket(call.Advise.Step, id)
			}
		}
		sim.after(sim.networkDelay(), func() {
			o.deliverResult(func(owner *pool.Owner, now time.Time) { owner.AdviseDone(call, advice, nil, now) })
		})
	})
}

// ticketFormat is a ticket of a step for a worker's incarnation, with the time of its issue.
const ticketFormat = "%s/%s/%d %d"

func (sim *simulation) ticket(step string, id model.WorkerID) string {
	return fmt.Sprintf(ticketFormat, step, id, sim.workers[id].incarnation, sim.now().UnixMilli())
}

// acceptsTicket reports whether the worker may start the task with a ticket.
func (f *fakeWorker) acceptsTicket(ticket string, task workflow.Task) bool {
	var bearer string
	var issuedMS int64
	if _, err := fmt.Sscanf(ticket, "%s %d", &bearer, &issuedMS); err != nil {
		return false
	}
	step := fmt.Sprintf("%s.%d.%d", task.Job, task.Occurrence, task.Step)
	return ticket == fmt.Sprintf(ticketFormat, step, f.info.ID, f.incarnation, issuedMS) &&
		f.now().UnixMilli() <= issuedMS+f.sim.adviser.ticketValidity().Milliseconds()
}
