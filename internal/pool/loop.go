package pool

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chervilrun/chervilrun/internal/store"
)

// Ports are what a loop reaches the outside through.
type Ports struct {
	Clock   clockwork.Clock
	Workers WorkerPort
	// Adviser may be nil where no queue needs one.
	Adviser Adviser
	// Machines may be nil where there are no waves.
	Machines MachinePort
	Store    store.Store
	// Gate tells at any moment which effects are allowed.
	Gate func() Gate
	// Deposed is called once when a later owner has shown itself; it must not block.
	Deposed func()
}

// Loop drives an Owner and carries out its calls. It is safe for use by several goroutines.
type Loop struct {
	ports  Ports
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	wake   chan struct{}

	mu       sync.Mutex
	owner    *Owner
	releases bool
	told     bool
}

// NewLoop starts to drive an owner.
func NewLoop(owner *Owner, ports Ports) *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loop{ports: ports, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), owner: owner}
	l.calls.Add(1)
	go l.run()
	return l
}

// Stop ends the loop at once; nothing more is sent.
func (l *Loop) Stop() {
	l.cancel()
	l.calls.Wait()
}

// Change lets f change the owner and then lets the owner act.
func (l *Loop) Change(f func(o *Owner, now time.Time)) {
	l.mu.Lock()
	f(l.owner, l.ports.Clock.Now())
	l.mu.Unlock()
	l.nudge()
}

// Read lets f look at the owner.
func (l *Loop) Read(f func(o *Owner)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.owner)
}

func (l *Loop) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Loop) run() {
	defer l.calls.Done()
	for l.ctx.Err() == nil {
		timer := l.ports.Clock.NewTimer(l.step())
		select {
		case <-l.ctx.Done():
		case <-l.wake:
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

// step makes the calls that are due and returns the time until the next step.
func (l *Loop) step() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.ports.Clock.Now()
	gate := l.ports.Gate()
	gate.MayStart = gate.MayStart && !l.releases
	effects := l.owner.Step(now, gate)
	for _, call := range effects.Calls {
		l.calls.Add(1)
		go l.order(call)
	}
	if effects.Store != nil {
		l.calls.Add(1)
		go l.callStore(effects.Store)
	}
	if l.owner.Deposed() && !l.told {
		l.told = true
		l.ports.Deposed()
	}
	return max(effects.Next.Sub(now), time.Millisecond)
}

func (l *Loop) order(call Call) {
	defer l.calls.Done()
	ctx, cancel := context.WithTimeout(l.ctx, call.Timeout)
	defer cancel()
	switch {
	case call.Start != nil:
		clockMS, err := l.ports.Workers.Start(ctx, call.Target, *call.Start)
		l.Change(func(o *Owner, now time.Time) { o.StartDone(call, clockMS, err, now) })
	case call.Stop != nil:
		clockMS, err := l.ports.Workers.Stop(ctx, call.Target, *call.Stop)
		l.Change(func(o *Owner, now time.Time) { o.StopDone(call, clockMS, err, now) })
	case call.Pace != nil:
		clockMS, err := l.ports.Workers.Pace(ctx, call.Target, *call.Pace)
		l.Change(func(o *Owner, now time.Time) { o.PaceDone(call, clockMS, err, now) })
	case call.Machines:
		machines, err := l.ports.Machines.Machines(ctx)
		l.Change(func(o *Owner, now time.Time) { o.MachinesDone(call, machines, err, now) })
	case call.Upkeep != nil:
		err := l.ports.Machines.Upkeep(ctx, call.Upkeep.Machine, call.Upkeep.Wave, call.Upkeep.Fence)
		l.Change(func(o *Owner, now time.Time) { o.UpkeepDone(call, err, now) })
	case call.Advise != nil:
		advice, err := l.ports.Adviser.Advise(ctx, call.Advise.Step, call.Advise.Workers)
		l.Change(func(o *Owner, now time.Time) { o.AdviseDone(call, advice, err, now) })
	default:
		inventory, err := l.ports.Workers.Hold(ctx, call.Target, *call.Hold)
		if l.ctx.Err() != nil {
			// The loop has cut the call off, which tells nothing of the worker.
			return
		}
		l.Change(func(o *Owner, now time.Time) { o.HoldDone(call, inventory, err, now) })
	}
}

func (l *Loop) callStore(call *StoreCall) {
	defer l.calls.Done()
	ctx, cancel := context.WithTimeout(l.ctx, call.Timeout)
	defer cancel()
	result, err := l.ports.Store.Txn(ctx, call.Txn)
	l.Change(func(o *Owner, now time.Time) { o.StoreDone(call, result, err, now) })
}

// releaseCheck is the time between looks at whether everything is recorded.
const releaseCheck = 10 * time.Millisecond

// Release starts nothing any more, records what is not yet recorded and ends the loop.
// Running tasks go on under their leases until the next owner takes them over.
func (l *Loop) Release(ctx context.Context) {
	l.mu.Lock()
	l.releases = true
	l.mu.Unlock()
	for ctx.Err() == nil && !l.recorded() {
		l.nudge()
		select {
		case <-ctx.Done():
		case <-l.ctx.Done():
			return
		case <-l.ports.Clock.After(releaseCheck):
		}
	}
	l.Stop()
}

func (l *Loop) recorded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.owner.jobs.all() {
		if !j.durable() {
			return false
		}
	}
	return !l.owner.recording
}
