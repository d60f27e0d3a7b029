package pool

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/panics"
	"github.com/chervilrun/chervilrun/internal/store"
)

// Ports are the external dependencies of a loop.
type Ports struct {
	Clock   clockwork.Clock
	Workers WorkerPort
	// Adviser may be nil if no queue needs advice.
	Adviser Adviser
	// Machines may be nil if there are no upkeep waves.
	Machines MachinePort
	Store    store.Store
	// Gate returns the effects that are allowed at present.
	Gate func() Gate
	// OnOwnershipLost is called once when the ownership is lost to a later owner; it must not block.
	OnOwnershipLost func()
	// OnFailure is called once when the owner has panicked, with its lock held; it must not
	// block. The loop then does nothing more: the owner's state can't be trusted.
	OnFailure func(error)
}

// Loop drives an Owner and executes its calls. It is safe for concurrent use.
type Loop struct {
	ports  Ports
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	wake   chan struct{}

	mu                    sync.Mutex
	owner                 *Owner
	releasing             bool
	ownershipLossReported bool
	// failed is true once the owner has panicked.
	failed bool
}

// NewLoop starts driving an owner.
func NewLoop(owner *Owner, ports Ports) *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loop{ports: ports, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), owner: owner}
	l.calls.Add(1)
	go l.run()
	return l
}

// Stop ends the loop at once: it sends nothing more, cancels the calls in flight and waits
// for them.
func (l *Loop) Stop() {
	l.cancel()
	l.calls.Wait()
}

// Update calls f with the owner and wakes the loop up.
func (l *Loop) Update(f func(o *Owner, now time.Time)) {
	l.withOwner(func(o *Owner) { f(o, l.ports.Clock.Now()) })
	l.wakeUp()
}

// withOwner calls f with the owner under the lock, unless the owner has panicked before. A
// panic of f ends the loop's work, not the process.
func (l *Loop) withOwner(f func(o *Owner)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed {
		return
	}
	defer func() {
		if value := recover(); value != nil {
			l.failed = true
			l.ports.OnFailure(panics.New(value))
		}
	}()
	f(l.owner)
}

// Read calls f with the owner, unless it has panicked; f must not change it.
func (l *Loop) Read(f func(o *Owner)) { l.withOwner(f) }

func (l *Loop) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Loop) run() {
	defer l.calls.Done()
	for l.ctx.Err() == nil {
		timer := l.ports.Clock.NewTimer(l.advance())
		select {
		case <-l.ctx.Done():
		case <-l.wake:
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

// advance advances the owner, starts its calls and returns the time until the next advance.
func (l *Loop) advance() time.Duration {
	wait := idleInterval
	l.withOwner(func(o *Owner) { wait = l.advanceOwner(o) })
	return wait
}

func (l *Loop) advanceOwner(o *Owner) time.Duration {
	now := l.ports.Clock.Now()
	gate := l.ports.Gate()
	gate.MayStart = gate.MayStart && !l.releasing
	effects := o.Advance(now, gate)
	for _, call := range effects.Calls {
		l.calls.Add(1)
		go l.execute(call)
	}
	if effects.Store != nil {
		l.calls.Add(1)
		go l.executeStoreCall(effects.Store)
	}
	if o.OwnershipLost() && !l.ownershipLossReported {
		l.ownershipLossReported = true
		l.ports.OnOwnershipLost()
	}
	return max(effects.Next.Sub(now), time.Millisecond)
}

// Elapsed returns the larger of the differences by the monotonic clock and by the wall
// clock, since the monotonic clock does not advance while the machine is suspended.
func Elapsed(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// maySend reports whether the permission on which a call was decided still holds. The process
// may have been paused since, while the ownership has passed to another host. The fencing
// token rejects late orders only where the receiver checks it and has seen a later one; the
// expiry of a start order bounds the time from the decision.
func (l *Loop) maySend(call Call) bool {
	switch {
	case call.Start != nil, call.Upkeep != nil:
		return l.ports.Gate().MayStart
	case call.Stop != nil, call.Pace != nil:
		return l.ports.Gate().MayRenewLeases
	}
	return true
}

// refuse passes an order that was not sent back to the owner.
func (l *Loop) refuse(call Call) {
	l.Update(func(o *Owner, now time.Time) {
		switch {
		case call.Start != nil:
			o.StartDone(call, 0, ErrPermissionExpired, now)
		case call.Stop != nil:
			o.StopDone(call, 0, ErrPermissionExpired, now)
		case call.Pace != nil:
			o.PaceDone(call, 0, ErrPermissionExpired, now)
		case call.Upkeep != nil:
			o.UpkeepDone(call, ErrPermissionExpired, now)
		}
	})
}

func (l *Loop) execute(call Call) {
	defer l.calls.Done()
	ctx, cancel := context.WithTimeout(l.ctx, call.Timeout)
	defer cancel()
	if !l.maySend(call) {
		l.refuse(call)
		return
	}
	switch {
	case call.Start != nil:
		clockMS, err := contained(ErrResponseLost, func() (int64, error) { return l.ports.Workers.Start(ctx, call.Target, *call.Start) })
		l.Update(func(o *Owner, now time.Time) { o.StartDone(call, clockMS, err, now) })
	case call.Stop != nil:
		clockMS, err := contained(ErrResponseLost, func() (int64, error) { return l.ports.Workers.Stop(ctx, call.Target, *call.Stop) })
		l.Update(func(o *Owner, now time.Time) { o.StopDone(call, clockMS, err, now) })
	case call.Pace != nil:
		clockMS, err := contained(ErrResponseLost, func() (int64, error) { return l.ports.Workers.Pace(ctx, call.Target, *call.Pace) })
		l.Update(func(o *Owner, now time.Time) { o.PaceDone(call, clockMS, err, now) })
	case call.Machines:
		machines, err := contained(ErrResponseLost, func() ([]Machine, error) { return l.ports.Machines.Machines(ctx) })
		l.Update(func(o *Owner, now time.Time) { o.MachinesDone(call, machines, err, now) })
	case call.Upkeep != nil:
		_, err := contained(ErrResponseLost, func() (struct{}, error) {
			return struct{}{}, l.ports.Machines.Upkeep(ctx, call.Upkeep.Machine, call.Upkeep.Wave, call.Upkeep.Fence)
		})
		l.Update(func(o *Owner, now time.Time) { o.UpkeepDone(call, err, now) })
	case call.Advise != nil:
		advice, err := contained(ErrResponseLost, func() (Advice, error) { return l.ports.Adviser.Advise(ctx, call.Advise.Step, call.Advise.Workers) })
		l.Update(func(o *Owner, now time.Time) { o.AdviseDone(call, advice, err, now) })
	default:
		inventory, err := contained(ErrResponseLost, func() (Inventory, error) { return l.ports.Workers.RenewLeases(ctx, call.Target, *call.Renew) })
		if l.ctx.Err() != nil {
			// The loop cancelled the call, so the error says nothing about the worker.
			return
		}
		l.Update(func(o *Owner, now time.Time) { o.RenewalDone(call, inventory, err, now) })
	}
}

// contained makes a call. If an adapter panics on the response, the call may have been
// carried out: its outcome is unknown, and the error wraps responseLost.
func contained[T any](responseLost error, call func() (T, error)) (result T, err error) {
	defer func() {
		if value := recover(); value != nil {
			err = errors.Wrapf(responseLost, "the response can't be processed: %v", panics.New(value))
		}
	}()
	return call()
}

func (l *Loop) executeStoreCall(call *StoreCall) {
	defer l.calls.Done()
	ctx, cancel := context.WithTimeout(l.ctx, call.Timeout)
	defer cancel()
	result, err := contained(store.ErrResponseLost, func() (store.TxnResult, error) { return l.ports.Store.Txn(ctx, call.Txn) })
	l.Update(func(o *Owner, now time.Time) { o.StoreDone(call, result, err, now) })
}

// releaseCheckInterval is the time between checks whether everything is recorded.
const releaseCheckInterval = 10 * time.Millisecond

// Release stops starting tasks, records all changes and ends the loop. Running tasks go on
// under their leases until the next owner takes them over.
func (l *Loop) Release(ctx context.Context) {
	l.mu.Lock()
	l.releasing = true
	l.mu.Unlock()
	for ctx.Err() == nil && !l.allRecorded() {
		l.wakeUp()
		select {
		case <-ctx.Done():
		case <-l.ctx.Done():
			return
		case <-l.ports.Clock.After(releaseCheckInterval):
		}
	}
	l.Stop()
}

// allRecorded reports whether every change is recorded; an owner that has panicked records
// nothing more.
func (l *Loop) allRecorded() bool {
	recorded := true
	l.withOwner(func(o *Owner) {
		for _, j := range o.jobs.all() {
			recorded = recorded && (j.fullyRecorded() || j.cantBeRecorded())
		}
		recorded = recorded && !o.storeCallInFlight
	})
	return recorded
}
