package pool

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool/evidence"
	"github.com/chervilrun/chervilrun/internal/store"
)

// Wave requests the upkeep of some machines, at most MaxDown at a time and all by Due.
type Wave struct {
	Number   int
	Machines []MachineID
	MaxDown  int
	Due      time.Time
}

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
	// A machine counts as gone once it has been missing for machineGoneAfter in the list of
	// machines, and in minListsWithout successive lists: the pages of a list are not read at one
	// time, and a list that can't be read says nothing.
	machineGoneAfter = 3 * time.Second
	minListsWithout  = 4
)

// wave is the state of a wave.
type wave struct {
	Wave
	machines map[MachineID]*machineUpkeep
	// statusWritten is true once a status is written, finished once the final one is.
	statusWritten bool
	finished      bool
	// revision is the last known store revision of the status; 0 if there is none.
	revision store.Revision
	refusals refusals
}

// machineUpkeep is the state of the upkeep of one machine for a wave. Its record outlives the
// owner: see upkeeprecord.go.
type machineUpkeep struct {
	id upkeepID
	// ordered is true once the upkeep has been decided on. The order is sent when that is
	// recorded; the machine may be down from then on.
	ordered  bool
	inFlight bool
	// maybeBegun is true once an order may have been carried out without a response to this
	// owner.
	maybeBegun bool
	retryAt    time.Time
	begunAt    time.Time
	// previousWorker ran on the machine when the upkeep was decided on. previousEnded is true
	// once the list of machines has shown that it has ended.
	previousWorker model.WorkerID
	previousEnded  bool
	// absentSince is when the machine was first missing in the list of machines, listsWithout the
	// number of lists without it since.
	absentSince  time.Time
	listsWithout int
	done         bool

	recordState
	// unrequestedSince is when the upkeep was first not part of any wave; zero while it is.
	unrequestedSince time.Time
}

// upkeep is the owner's state of waves and machines.
type upkeep struct {
	waves []*wave
	// history holds the upkeep of every machine that an order may have been sent for, also of
	// waves that operators have removed since.
	history map[upkeepID]*machineUpkeep
	// ordersFrom holds, for each machine that an earlier owner may have given an order for, when this
	// owner may do so.
	ordersFrom map[MachineID]time.Time
	// changed lists the upkeeps that may have unrecorded changes.
	changed  []*machineUpkeep
	machines map[MachineID]Machine
	// listedAt is when the latest list of machines was requested, requestedAt the same for the
	// latest request, whether it succeeded or not. listWanted is true if the next request is
	// not to wait.
	listedAt     time.Time
	requestedAt  time.Time
	listWanted   bool
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
		w := &wave{}
		if index >= 0 {
			w = o.upkeep.waves[index]
		}
		o.updateWave(w, requested)
		if index < 0 {
			o.emit(event.UpkeepWaveSeen, event.Subject{}, event.Fields{
				"wave": w.Number, "machines": len(w.Machines), "cap": w.MaxDown, "due_ms": w.Due.Sub(now).Milliseconds(), "recorded": w.recordedMachines(),
			})
		}
		kept = append(kept, w)
	}
	o.upkeep.waves = kept
	o.markUnrequestedUpkeeps()
}

// updateWave sets what operators request of a wave. What is known of its machines stays.
func (o *Owner) updateWave(w *wave, requested Wave) {
	w.Wave = requested
	w.machines = map[MachineID]*machineUpkeep{}
	for _, id := range requested.Machines {
		w.machines[id] = o.upkeepOf(upkeepID{requested.Number, id})
	}
	if w.finished && !w.completed() {
		w.finished, w.statusWritten = false, false
	}
	// The status is written before the first record.
	w.statusWritten = w.statusWritten || w.recordedMachines() > 0
}

// upkeepOf returns the state of the upkeep of a machine.
func (o *Owner) upkeepOf(id upkeepID) *machineUpkeep {
	m, known := o.upkeep.history[id]
	if !known {
		m = &machineUpkeep{id: id, recordState: recordState{key: id.key()}}
		o.upkeep.history[id] = m
	}
	return m
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
	o.cordonOrdered()
	if !u.listInFlight && (u.listWanted || o.now.Sub(u.requestedAt) >= machinesInterval) {
		u.listInFlight, u.listWanted, u.requestedAt = true, false, o.now
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

// cordonOrdered cordons the workers whose upkeep was ordered and is not over.
func (o *Owner) cordonOrdered() {
	for _, m := range o.upkeep.history {
		if w, ok := o.workers.get(m.previousWorker); ok && m.ordered && !m.done {
			w.cordoned = true
		}
	}
}

func (o *Owner) advanceWave(w *wave) {
	down, pending := 0, 0
	for _, id := range w.Machines {
		m := w.machines[id]
		o.updateMachineUpkeep(m)
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
		switch {
		case m.done:
		case m.ordered:
			o.sendUpkeepOrder(m, behind)
		case down < w.MaxDown:
			down++
			if o.drainMachine(o.upkeep.machines[id], behind) {
				o.decideUpkeep(m)
			}
		}
	}
}

// updateMachineUpkeep compares the upkeep of a machine with the list of machines. The upkeep is
// done once the machine is gone, or up again: with another worker, or with the same one after
// the downtime is over.
func (o *Owner) updateMachineUpkeep(m *machineUpkeep) {
	if m.done {
		return
	}
	u := &o.upkeep
	listed, ok := u.machines[m.id.machine]
	switch {
	case !ok:
		m.done = m.listsWithout >= minListsWithout && u.listedAt.Sub(m.absentSince) >= machineGoneAfter
	case m.ordered:
		o.endPreviousWorker(m, listed)
		listedSince := !m.begunAt.IsZero() && u.listedAt.After(m.begunAt)
		isBack := listed.Up && listed.Worker != "" && (listed.Worker != m.previousWorker || o.now.Sub(m.begunAt) > u.downtime+upkeepSlack)
		m.done = listedSince && isBack
	}
	if m.done {
		o.upkeepChanged(m)
	}
}

// endPreviousWorker gives up the runs on the worker that ran on a machine before its upkeep, if
// the list of machines shows that it has ended. The response to the order does not show that:
// it is the same if the upkeep was over long before, and the worker has come since.
func (o *Owner) endPreviousWorker(m *machineUpkeep, listed Machine) {
	if m.previousEnded || m.previousWorker == "" || !listed.Emptied && (listed.Worker == "" || listed.Worker == m.previousWorker) {
		return
	}
	m.previousEnded = true
	runs := 0
	w, known := o.workers.get(m.previousWorker)
	if known {
		runs = w.members.len()
	}
	o.emit(event.UpkeepBegun, event.Subject{Worker: string(m.previousWorker)}, event.Fields{
		"wave": m.id.wave, "machine": string(m.id.machine), "emptied": listed.Emptied, "worker_now": string(listed.Worker), "runs": runs,
	})
	if !known {
		o.endRecordedRuns(m.previousWorker, evidence.UpkeepBegun)
		return
	}
	w.MachineTakenDown()
	o.endRunsOf(w)
}

// behindSchedule reports whether there is no time left to wait for running tasks before
// the pending machines of the wave are taken down.
func (o *Owner) behindSchedule(w *wave, pending int) bool {
	batches := (pending + max(1, w.MaxDown) - 1) / max(1, w.MaxDown)
	required := time.Duration(batches) * (o.upkeep.downtime + upkeepSlack)
	return o.now.Add(required).After(w.Due)
}

// UpkeepOrder starts the upkeep of a machine.
type UpkeepOrder struct {
	Machine MachineID
	Wave    int
	Fence   uint64
}

// decideUpkeep decides on the upkeep of a machine whose worker is drained.
func (o *Owner) decideUpkeep(m *machineUpkeep) {
	worker := o.upkeep.machines[m.id.machine].Worker
	m.ordered = true
	if m.version == 0 || m.previousWorker != worker {
		m.previousWorker = worker
		o.upkeepChanged(m)
	}
}

// isUpkeepOrdered reports whether the upkeep of the machine of a worker was ordered and is not
// over.
func (o *Owner) isUpkeepOrdered(id model.WorkerID) bool {
	for _, m := range o.upkeep.history {
		if m.previousWorker == id && m.ordered && !m.done {
			return true
		}
	}
	return false
}

// sendUpkeepOrder sends the order for an upkeep that was decided on, once that is recorded. The
// worker has to be drained still: an earlier owner may have decided on the upkeep.
func (o *Owner) sendUpkeepOrder(m *machineUpkeep, behind bool) {
	if !m.begunAt.IsZero() || m.inFlight || !m.isRecorded() {
		return
	}
	for _, earliest := range []time.Time{m.retryAt, o.upkeep.ordersFrom[m.id.machine]} {
		if o.now.Before(earliest) {
			o.wakeAt(earliest)
			return
		}
	}
	if machine := o.upkeep.machines[m.id.machine]; machine.Up && !o.drainMachine(machine, behind) {
		return
	}
	m.inFlight = true
	if w, ok := o.workers.get(m.previousWorker); ok {
		w.upkeepOrdered = true
	}
	o.pendingCalls = append(o.pendingCalls, Call{
		Upkeep: &UpkeepOrder{Machine: m.id.machine, Wave: m.id.wave, Fence: o.fence},
		Sent:   o.now, Timeout: machineTimeout, machineUpkeep: m,
	})
}

// MachinesDone handles the result of a request for the list of machines.
func (o *Owner) MachinesDone(call Call, machines []Machine, err error, now time.Time) {
	o.now = now
	u := &o.upkeep
	u.listInFlight = false
	if err != nil {
		o.emit(event.MachinesUnread, event.Subject{}, event.Fields{"why": err.Error()})
		return
	}
	u.listedAt = call.Sent
	u.machines = make(map[MachineID]Machine, len(machines))
	for _, m := range machines {
		u.machines[m.ID] = m
	}
	for _, m := range u.history {
		if _, listed := u.machines[m.id.machine]; listed {
			m.absentSince, m.listsWithout = time.Time{}, 0
			continue
		}
		if m.listsWithout == 0 {
			m.absentSince = u.listedAt
		}
		m.listsWithout++
	}
}

// UpkeepDone handles the result of an upkeep order.
func (o *Owner) UpkeepDone(call Call, err error, now time.Time) {
	o.now = now
	m := call.machineUpkeep
	m.inFlight = false
	switch {
	case err == nil:
		m.begunAt = now
		o.upkeep.listWanted = true
		o.upkeepChanged(m)
	case errors.Is(err, ErrFenced):
		o.loseOwnership("machine", string(call.Upkeep.Machine))
	case errors.Is(err, ErrInvalid):
		// The machine does not exist or is not part of this wave: there is nothing to do.
		m.done = true
		o.upkeepChanged(m)
	case errors.Is(err, ErrResponseLost):
		m.maybeBegun = true
	default:
		// The refused order has not started the upkeep, but an earlier unanswered one may
		// have; the order is then repeated until it gets a response.
		m.ordered = m.maybeBegun
		if w, ok := o.workers.get(m.previousWorker); ok {
			w.upkeepOrdered = m.ordered
		}
	}
	m.retryAt = now.Add(upkeepRetry)
	o.emit(event.UpkeepOrdered, event.Subject{}, event.Fields{
		"wave": call.Upkeep.Wave, "machine": string(call.Upkeep.Machine), "worker": string(m.previousWorker), "outcome": outcomeOf(err), "maybe_begun": m.maybeBegun,
	})
}

func outcomeOf(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}
