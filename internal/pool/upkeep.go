package pool

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store"
)

// MachineID identifies the machine that a worker runs on. It stays the same when the worker
// restarts or gets a new ID.
type MachineID string

// Machine is an entry of the platform's list of machines.
type Machine struct {
	ID MachineID
	// Worker is the worker that runs on it now; empty while there is none.
	Worker model.WorkerID
	// Up is true while the machine runs and is neither being moved nor in upkeep.
	Up bool
}

// Wave requests the upkeep of some machines, at most MaxDown at a time and all by Due.
type Wave struct {
	Number   int
	Machines []MachineID
	MaxDown  int
	Due      time.Time
}

// MachinePort calls the platform's machine API.
type MachinePort interface {
	Machines(ctx context.Context) ([]Machine, error)
	// Upkeep starts the upkeep of a machine for a wave; everything that runs there ends
	// at once. It is idempotent. Errors wrap ErrBusy, ErrFenced, ErrInvalid, ErrOverloaded
	// or ErrResponseLost.
	Upkeep(ctx context.Context, machine MachineID, wave int, fence uint64) error
}

// ErrBusy means that an upkeep has not begun: the machine is not up or is about to leave, or
// the order could not be sent.
var ErrBusy = errors.New("machine is busy")

// WaveStatus returns the store key and value of the status of a wave that operators see.
type WaveStatus func(number int, completed bool) (key string, value []byte)

// Timing of the upkeep.
const (
	// machinesInterval is the time between requests for the list of machines.
	machinesInterval = 500 * time.Millisecond
	// machineTimeout limits a call to the machine API.
	machineTimeout = 1500 * time.Millisecond
	// upkeepRetry is the time between two orders for the same machine.
	upkeepRetry = 300 * time.Millisecond
	// upkeepSlack is added to the downtime of a machine to estimate the duration of a wave, and
	// to decide that a machine which is up with the same worker is back from its upkeep.
	upkeepSlack = 1500 * time.Millisecond
)

// wave is the state of a wave.
type wave struct {
	Wave
	machines map[MachineID]*waveMachine
	// statusWritten is true once a status is written, finished once the final one is.
	statusWritten bool
	finished      bool
	// revision is the last known store revision of the status; 0 if there is none.
	revision store.Revision
}

type waveMachine struct {
	// ordered is true once an upkeep order has been sent, so that the machine may be down.
	ordered  bool
	inFlight bool
	// maybeBegun is true once an order got no response: the upkeep may have begun.
	maybeBegun     bool
	retryAt        time.Time
	begunAt        time.Time
	previousWorker model.WorkerID
	done           bool
}

// upkeep is the owner's state of waves and machines.
type upkeep struct {
	waves        []*wave
	machines     map[MachineID]Machine
	listedAt     time.Time
	listInFlight bool
	// downtime is how long a machine is down for its upkeep.
	downtime time.Duration
	status   WaveStatus
}

// SetUpkeep sets how long machines are down and how the status of a wave is encoded.
func (o *Owner) SetUpkeep(downtime time.Duration, status WaveStatus) {
	o.upkeep.downtime, o.upkeep.status = downtime, status
}

// SetWaves replaces the list of waves.
func (o *Owner) SetWaves(waves []Wave, now time.Time) {
	o.now = now
	var kept []*wave
	for _, requested := range waves {
		index := slices.IndexFunc(o.upkeep.waves, func(w *wave) bool { return w.Number == requested.Number })
		if index >= 0 {
			kept = append(kept, o.upkeep.waves[index])
			continue
		}
		w := &wave{Wave: requested, machines: map[MachineID]*waveMachine{}}
		for _, id := range requested.Machines {
			w.machines[id] = &waveMachine{}
		}
		o.emit(event.UpkeepWaveSeen, event.Subject{}, event.Fields{"wave": w.Number, "machines": len(w.Machines), "cap": w.MaxDown, "due_ms": w.Due.Sub(now).Milliseconds()})
		kept = append(kept, w)
	}
	o.upkeep.waves = kept
}

// advanceUpkeep advances the waves that are not finished.
func (o *Owner) advanceUpkeep() {
	u := &o.upkeep
	active := slices.ContainsFunc(u.waves, func(w *wave) bool { return !w.finished })
	for _, w := range o.workers.all() {
		w.cordoned = false
	}
	if !active {
		return
	}
	o.wakeAt(o.now.Add(machinesInterval))
	if !u.listInFlight && o.now.Sub(u.listedAt) >= machinesInterval {
		u.listInFlight = true
		o.pendingCalls = append(o.pendingCalls, Call{Machines: true, Sent: o.now, Timeout: machineTimeout})
	}
	if u.machines == nil {
		return
	}
	for _, w := range u.waves {
		if !w.finished {
			o.advanceWave(w)
		}
	}
}

func (o *Owner) advanceWave(w *wave) {
	down, pending := 0, 0
	for _, id := range w.Machines {
		m := w.machines[id]
		o.updateWaveMachine(m, id)
		switch {
		case m.done:
		case m.ordered:
			down++
		default:
			pending++
		}
	}
	behind := o.behindSchedule(w, pending)
	for _, id := range w.Machines {
		m := w.machines[id]
		if m.done || m.inFlight {
			continue
		}
		if m.ordered && m.begunAt.IsZero() {
			if !o.now.Before(m.retryAt) {
				o.orderUpkeep(w, id)
			}
			continue
		}
		if m.ordered || down >= w.MaxDown {
			continue
		}
		down++
		if o.drainMachine(o.upkeep.machines[id], behind) {
			o.orderUpkeep(w, id)
		}
	}
}

// updateWaveMachine marks a machine as done once it is gone, or up again after its upkeep:
// with another worker, or with the same one after the downtime is over.
func (o *Owner) updateWaveMachine(m *waveMachine, id MachineID) {
	listed, ok := o.upkeep.machines[id]
	switch {
	case m.done:
	case !ok && !m.ordered:
		m.done = true
	case !m.begunAt.IsZero() && o.upkeep.listedAt.After(m.begunAt):
		m.done = !ok || listed.Up && listed.Worker != "" && (listed.Worker != m.previousWorker || o.now.Sub(m.begunAt) > o.upkeep.downtime+upkeepSlack)
	}
}

// behindSchedule reports whether there is no time left to wait for running tasks before
// the pending machines of the wave are taken down.
func (o *Owner) behindSchedule(w *wave, pending int) bool {
	batches := (pending + max(1, w.MaxDown) - 1) / max(1, w.MaxDown)
	required := time.Duration(batches) * (o.upkeep.downtime + upkeepSlack)
	return o.now.Add(required).After(w.Due)
}

// drainMachine drains the worker on a machine and reports whether its upkeep may begin.
// Tasks with checkpoints are stopped at once, long-running ones as their disruption budget
// allows, and others may finish unless the wave is behind schedule.
func (o *Owner) drainMachine(m Machine, behind bool) bool {
	if !m.Up {
		return false
	}
	w, ok := o.workers.get(m.Worker)
	if !ok {
		return m.Worker == "" || behind
	}
	w.cordoned = true
	empty := true
	for _, member := range w.members.all() {
		if member.phase == memberGone {
			continue
		}
		g := member.group
		spec := g.step.spec
		switch {
		case spec.LongRunning:
			empty = false
			if !member.stopping && o.mayDisrupt(g) {
				o.stopTaskGroup(g, "upkeep")
			}
		case spec.Checkpoints:
			empty = false
			o.stopTaskGroup(g, "upkeep")
		case !behind:
			empty = false
		}
	}
	for _, g := range o.assigned {
		for _, member := range g.members {
			empty = empty && (g.state() != taskGroupAssigned || member.workerID != m.Worker)
		}
	}
	return empty && w.orphans.len() == 0
}

// mayDisrupt reports whether the disruption budget of a long-running step allows a task group
// to be stopped.
func (o *Owner) mayDisrupt(g *taskGroup) bool {
	unavailable := 0
	for _, other := range g.step.taskGroups {
		if other != g && !other.isServing() {
			unavailable += other.tasks()
		}
	}
	return unavailable+g.tasks() <= g.step.spec.DisruptionBudget
}

// isServing reports whether all tasks of a long-running task group are ready.
func (g *taskGroup) isServing() bool {
	if g.state() != taskGroupRunning {
		return false
	}
	for _, m := range g.members {
		if m.progress.percent < 100 {
			return false
		}
	}
	return true
}

// UpkeepOrder starts the upkeep of a machine.
type UpkeepOrder struct {
	Machine MachineID
	Wave    int
	Fence   uint64
}

func (o *Owner) orderUpkeep(w *wave, id MachineID) {
	m := w.machines[id]
	if !m.ordered {
		m.previousWorker = o.upkeep.machines[id].Worker
	}
	m.ordered, m.inFlight = true, true
	if w, ok := o.workers.get(m.previousWorker); ok {
		w.upkeepOrdered = true
	}
	o.pendingCalls = append(o.pendingCalls, Call{
		Upkeep: &UpkeepOrder{Machine: id, Wave: w.Number, Fence: o.fence},
		Sent:   o.now, Timeout: machineTimeout, waveMachine: m,
	})
}

// MachinesDone handles the result of a request for the list of machines.
func (o *Owner) MachinesDone(call Call, machines []Machine, err error, now time.Time) {
	o.now = now
	o.upkeep.listInFlight = false
	o.upkeep.listedAt = call.Sent
	if err != nil {
		o.emit(event.MachinesUnread, event.Subject{}, event.Fields{"why": err.Error()})
		return
	}
	o.upkeep.machines = make(map[MachineID]Machine, len(machines))
	for _, m := range machines {
		o.upkeep.machines[m.ID] = m
	}
}

// UpkeepDone handles the result of an upkeep order.
func (o *Owner) UpkeepDone(call Call, err error, now time.Time) {
	o.now = now
	m := call.waveMachine
	m.inFlight = false
	switch {
	case err == nil:
		m.begunAt = now
		if w, ok := o.workers.get(m.previousWorker); ok {
			o.dropRuns(w, "upkeep")
		}
	case errors.Is(err, ErrFenced):
		o.loseOwnership("machine", string(call.Upkeep.Machine))
	case errors.Is(err, ErrInvalid):
		// The machine does not exist or is not part of this wave: there is nothing to do.
		m.done = true
	case errors.Is(err, ErrResponseLost):
		m.maybeBegun = true
	default:
		// The refused order has not started the upkeep, but an earlier unanswered one may
		// have; the order is then repeated until it gets a response.
		m.ordered = m.maybeBegun
	}
	m.retryAt = now.Add(upkeepRetry)
	o.emit(event.UpkeepOrdered, event.Subject{}, event.Fields{
		"wave": call.Upkeep.Wave, "machine": string(call.Upkeep.Machine), "worker": string(m.previousWorker), "outcome": outcomeOf(err),
	})
}

func outcomeOf(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}

// waveStatusCall returns the transaction that writes the status of a wave, if one is due.
func (o *Owner) waveStatusCall() *StoreCall {
	if o.upkeep.status == nil {
		return nil
	}
	for _, w := range o.upkeep.waves {
		completed := w.completed()
		if w.finished || w.statusWritten && !completed {
			continue
		}
		key, value := o.upkeep.status(w.Number, completed)
		call := &StoreCall{Txn: o.newTxn(), wave: w, waveCompleted: completed}
		call.Txn.If = append(call.Txn.If, store.Unchanged(key, w.revision))
		call.Txn.Then = []store.Op{{Put: &store.Put{Key: key, Value: value}}}
		call.Txn.Else = append(call.Txn.Else, store.Op{Get: key})
		return call
	}
	return nil
}

// completed reports whether every machine of the wave is done.
func (w *wave) completed() bool {
	for _, m := range w.machines {
		if !m.done {
			return false
		}
	}
	return true
}

// waveStatusWritten marks the status of a wave as written, if the call wrote one.
func (o *Owner) waveStatusWritten(call *StoreCall, revision store.Revision) {
	if call.wave == nil {
		return
	}
	call.wave.revision = revision
	call.wave.statusWritten = true
	call.wave.finished = call.waveCompleted
	if call.waveCompleted {
		o.emit(event.UpkeepWaveCompleted, event.Subject{}, event.Fields{"wave": call.wave.Number, "late_ms": max(0, o.now.Sub(call.wave.Due).Milliseconds())})
	}
}

// waveStatusConflict handles a failed condition: the stored status is either the one of an
// earlier try whose response was lost, or that of an earlier owner, which the next try replaces.
func (o *Owner) waveStatusConflict(call *StoreCall, values map[string]*store.KeyValue) {
	if call.wave == nil {
		return
	}
	put := call.Txn.Then[0].Put
	found := values[put.Key]
	switch {
	case found == nil:
		call.wave.revision = 0
	case bytes.Equal(found.Value, put.Value):
		o.waveStatusWritten(call, found.ModRevision)
	default:
		call.wave.revision = found.ModRevision
	}
}
