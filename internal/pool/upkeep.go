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

// MachineID names the hardware of a worker, which outlives the worker's lives.
type MachineID string

// Machine is a machine as the platform lists it.
type Machine struct {
	ID MachineID
	// Worker is the life that runs on it now; empty while there is none.
	Worker model.WorkerID
	// Up is true while the machine runs and neither moves nor is in upkeep.
	Up bool
}

// Wave asks for the upkeep of some machines, at most Cap at once and all by Due.
type Wave struct {
	Number   int
	Machines []MachineID
	Cap      int
	Due      time.Time
}

// MachinePort reaches the platform's machines.
type MachinePort interface {
	Machines(ctx context.Context) ([]Machine, error)
	// Upkeep begins the upkeep of a machine for a wave; everything that runs there ends
	// at once. Repeating it is harmless. Errors wrap ErrBusy, ErrFenced, ErrInvalid,
	// ErrOverloaded or ErrAnswerLost.
	Upkeep(ctx context.Context, machine MachineID, wave int, fence uint64) error
}

// ErrBusy means that a machine is not up or about to leave.
var ErrBusy = errors.New("machine is busy")

// WaveStatus encodes the state of a wave for the operators: the key and the value.
type WaveStatus func(number int, completed bool) (key string, value []byte)

// Timing of the upkeep.
const (
	// machinesInterval is the time between readings of the list of machines.
	machinesInterval = 500 * time.Millisecond
	// machineTimeout bounds a call about machines.
	machineTimeout = 1500 * time.Millisecond
	// upkeepRetry is the time between two orders for the same machine.
	upkeepRetry = 300 * time.Millisecond
	// upkeepSlack is added to the time that a machine is down when time is planned.
	upkeepSlack = 1500 * time.Millisecond
)

// wave is a wave under way.
type wave struct {
	Wave
	machines map[MachineID]*waveMachine
	// announced and finished say which status is written.
	announced bool
	finished  bool
	// revision is that of the status as it was last seen; 0 when there is none.
	revision store.Revision
}

type waveMachine struct {
	// ordered is true from the first order on: the machine may be down for its upkeep.
	ordered  bool
	inFlight bool
	// doubt is true once an order had no answer: the upkeep may have begun.
	doubt   bool
	retryAt time.Time
	begun   time.Time
	before  model.WorkerID
	done    bool
}

// upkeep is what the owner knows of waves and machines.
type upkeep struct {
	waves    []*wave
	list     map[MachineID]Machine
	listedAt time.Time
	reading  bool
	// downFor is how long a machine is down for its upkeep.
	downFor time.Duration
	status  WaveStatus
}

// SetUpkeep tells how long machines are down and how the state of a wave is written.
func (o *Owner) SetUpkeep(downFor time.Duration, status WaveStatus) {
	o.upkeep.downFor, o.upkeep.status = downFor, status
}

// SetWaves replaces the list of waves.
func (o *Owner) SetWaves(waves []Wave, now time.Time) {
	o.now = now
	var kept []*wave
	for _, wanted := range waves {
		at := slices.IndexFunc(o.upkeep.waves, func(w *wave) bool { return w.Number == wanted.Number })
		if at >= 0 {
			kept = append(kept, o.upkeep.waves[at])
			continue
		}
		w := &wave{Wave: wanted, machines: map[MachineID]*waveMachine{}}
		for _, id := range wanted.Machines {
			w.machines[id] = &waveMachine{}
		}
		o.record(event.WaveSeen, event.Subject{}, event.Fields{"wave": w.Number, "machines": len(w.Machines), "cap": w.Cap, "due_ms": w.Due.Sub(now).Milliseconds()})
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
	if !u.reading && o.now.Sub(u.listedAt) >= machinesInterval {
		u.reading = true
		o.calls = append(o.calls, Call{Machines: true, Sent: o.now, Timeout: machineTimeout})
	}
	if u.list == nil {
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
		o.noteMachine(m, id)
		switch {
		case m.done:
		case m.ordered:
			down++
		default:
			pending++
		}
	}
	hurry := o.hurry(w, pending)
	for _, id := range w.Machines {
		m := w.machines[id]
		if m.done || m.inFlight {
			continue
		}
		if m.ordered && m.begun.IsZero() {
			if !o.now.Before(m.retryAt) {
				o.orderUpkeep(w, id)
			}
			continue
		}
		if m.ordered || down >= w.Cap {
			continue
		}
		down++
		if o.clear(o.upkeep.list[id], hurry) {
			o.orderUpkeep(w, id)
		}
	}
}

// noteMachine marks machines that are through: back with a new life, or gone.
func (o *Owner) noteMachine(m *waveMachine, id MachineID) {
	listed, ok := o.upkeep.list[id]
	switch {
	case m.done:
	case !ok && !m.ordered:
		m.done = true
	case !m.begun.IsZero() && o.upkeep.listedAt.After(m.begun):
		m.done = !ok || listed.Up && listed.Worker != "" && (listed.Worker != m.before || o.now.Sub(m.begun) > o.upkeep.downFor+upkeepSlack)
	}
}

// hurry reports whether the wave is late if its machines wait for their tasks.
func (o *Owner) hurry(w *wave, pending int) bool {
	rounds := (pending + max(1, w.Cap) - 1) / max(1, w.Cap)
	need := time.Duration(rounds) * (o.upkeep.downFor + upkeepSlack)
	return o.now.Add(need).After(w.Due)
}

// clear empties the worker on a machine and reports whether its upkeep may begin: tasks
// that save their progress move at once, long-running ones as their budget allows, and
// others are waited for while there is time.
func (o *Owner) clear(m Machine, hurry bool) bool {
	if !m.Up {
		return false
	}
	w, ok := o.workers.get(m.Worker)
	if !ok {
		return m.Worker == "" || hurry
	}
	w.cordoned = true
	empty := true
	for _, member := range w.members.all() {
		if member.phase == memberGone {
			continue
		}
		p := member.piece
		spec := p.step.spec
		switch {
		case spec.LongRunning:
			empty = false
			if !member.stopping && o.mayDisrupt(p) {
				o.stopPiece(p, "upkeep")
			}
		case spec.Checkpoints:
			empty = false
			o.stopPiece(p, "upkeep")
		case !hurry:
			empty = false
		}
	}
	for _, claimed := range o.claimed {
		for _, member := range claimed.members {
			empty = empty && (claimed.state() != pieceClaimed || member.on != m.Worker)
		}
	}
	return empty && w.orphans.len() == 0
}

// mayDisrupt reports whether one more task of a long-running step may be taken away.
func (o *Owner) mayDisrupt(p *piece) bool {
	away := 0
	for _, other := range p.step.pieces {
		if other != p && !other.atWork() {
			away += other.tasks()
		}
	}
	return away+p.tasks() <= p.step.spec.DisruptionBudget
}

// atWork reports whether all tasks of a long-running piece serve.
func (p *piece) atWork() bool {
	if p.state() != pieceRunning {
		return false
	}
	for _, m := range p.members {
		if m.progress.percent < 100 {
			return false
		}
	}
	return true
}

// UpkeepOrder begins the upkeep of a machine.
type UpkeepOrder struct {
	Machine MachineID
	Wave    int
	Fence   uint64
}

func (o *Owner) orderUpkeep(w *wave, id MachineID) {
	m := w.machines[id]
	if !m.ordered {
		m.before = o.upkeep.list[id].Worker
	}
	m.ordered, m.inFlight = true, true
	o.calls = append(o.calls, Call{
		Upkeep: &UpkeepOrder{Machine: id, Wave: w.Number, Fence: o.fence},
		Sent:   o.now, Timeout: machineTimeout, waveMachine: m,
	})
}

// MachinesDone takes in the list of machines.
func (o *Owner) MachinesDone(call Call, machines []Machine, err error, now time.Time) {
	o.now = now
	o.upkeep.reading = false
	o.upkeep.listedAt = call.Sent
	if err != nil {
		o.record(event.MachinesUnread, event.Subject{}, event.Fields{"why": err.Error()})
		return
	}
	o.upkeep.list = make(map[MachineID]Machine, len(machines))
	for _, m := range machines {
		o.upkeep.list[m.ID] = m
	}
}

// UpkeepDone takes in the result of an order for upkeep.
func (o *Owner) UpkeepDone(call Call, err error, now time.Time) {
	o.now = now
	m := call.waveMachine
	m.inFlight = false
	switch {
	case err == nil:
		m.begun = now
		if w, ok := o.workers.get(m.before); ok {
			o.dropRuns(w, "upkeep")
		}
	case errors.Is(err, ErrFenced):
		o.depose("machine", string(call.Upkeep.Machine))
	case errors.Is(err, ErrInvalid):
		// No such machine, or not one of this wave: there is nothing to do for it.
		m.done = true
	case errors.Is(err, ErrAnswerLost):
		m.doubt = true
	default:
		// A refusal has not begun it; an order without an answer before may have, and
		// is repeated until it is answered.
		m.ordered = m.doubt
	}
	m.retryAt = now.Add(upkeepRetry)
	o.record(event.UpkeepOrdered, event.Subject{}, event.Fields{
		"wave": call.Upkeep.Wave, "machine": string(call.Upkeep.Machine), "worker": string(m.before), "outcome": outcomeOf(err),
	})
}

func outcomeOf(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}

// waveRecord returns the transaction that writes the state of a wave, if one is due.
func (o *Owner) waveRecord() *StoreCall {
	if o.upkeep.status == nil {
		return nil
	}
	for _, w := range o.upkeep.waves {
		through := w.completed()
		if w.finished || w.announced && !through {
			continue
		}
		key, value := o.upkeep.status(w.Number, through)
		call := &StoreCall{Txn: o.newTxn(), wave: w, waveCompleted: through}
		call.Txn.If = append(call.Txn.If, store.Unchanged(key, w.revision))
		call.Txn.Then = []store.Op{{Put: &store.Put{Key: key, Value: value}}}
		call.Txn.Else = append(call.Txn.Else, store.Op{Get: key})
		return call
	}
	return nil
}

// completed reports whether every machine that stays has had its upkeep.
func (w *wave) completed() bool {
	for _, m := range w.machines {
		if !m.done {
			return false
		}
	}
	return true
}

// waveRecorded notes that the status of a wave is written, if the call wrote one.
func (o *Owner) waveRecorded(call *StoreCall, revision store.Revision) {
	if call.wave == nil {
		return
	}
	call.wave.revision = revision
	call.wave.announced = true
	call.wave.finished = call.waveCompleted
	if call.waveCompleted {
		o.record(event.WaveCompleted, event.Subject{}, event.Fields{"wave": call.wave.Number, "late_ms": max(0, o.now.Sub(call.wave.Due).Milliseconds())})
	}
}

// waveRefused looks at the status that is there: it is the one whose answer was lost, or
// that of an earlier owner, which the next try replaces.
func (o *Owner) waveRefused(call *StoreCall, values map[string]*store.KeyValue) {
	if call.wave == nil {
		return
	}
	put := call.Txn.Then[0].Put
	found := values[put.Key]
	switch {
	case found == nil:
		call.wave.revision = 0
	case bytes.Equal(found.Value, put.Value):
		o.waveRecorded(call, found.ModRevision)
	default:
		call.wave.revision = found.ModRevision
	}
}
