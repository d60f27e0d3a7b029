package pool_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/eventqueue"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

var begin = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const (
	workerLease      = 6 * time.Second
	retention        = time.Hour
	entryLifetime    = 4500 * time.Millisecond
	endsPerResponse  = 500
	ownerLease       = 3 * time.Second
	gangStartTimeout = 3 * time.Second
	stopDuration     = 300 * time.Millisecond
)

// simulation runs owners, workers and a store under a fake clock. All events go through one
// queue, so that a run is reproducible by its seed.
type simulation struct {
	t       require.TestingT
	rng     *rand.Rand
	clock   *clockwork.FakeClock
	store   *memory.Store
	events  *eventqueue.Simulation
	workers map[model.WorkerID]*fakeWorker
	ids     []model.WorkerID
	owner   *fakeOwner
	policy  pool.Policy
	records map[model.JobID]*workflow.Record

	// loseCall decides whether the response to a call is lost, and after how long the call is
	// executed all the same.
	loseCall func(c pool.Call) (lost bool, late time.Duration)
	// leaseLeft is how much of the earlier owner's lease is left at the next takeover.
	leaseLeft time.Duration
	// alterResponse replaces the response of a worker that has carried out a call.
	alterResponse func(c pool.Call, inventory pool.Inventory, err error) (pool.Inventory, error)
	// carry, if set, carries out the calls to workers in place of the simulation's network.
	// listedWorkers, if set, is what owners read as the list of workers.
	carry         func(o *fakeOwner, call pool.Call)
	listedWorkers func() []pool.WorkerInfo
	// unreachable holds the workers that can't be reached.
	unreachable map[model.WorkerID]bool
	// storeDown makes every transaction fail. loseWrites is the number of transactions
	// whose response is lost; they take effect after lateWrites.
	// resetWrites loses every response at once and executes nothing; transactions counts the
	// transactions meanwhile.
	storeDown    bool
	resetWrites  bool
	transactions int
	loseWrites   int
	lateWrites   time.Duration

	// seenSilence is what a host that follows the store has seen of the record of silent workers;
	// unawareOwner is true once an owner doesn't keep to it.
	seenSilence  pool.SilenceTimes
	unawareOwner bool
	// followsNothing is true while the watch of that host delivers nothing.
	followsNothing bool
	// loadDelay is how long after the records and the list of workers new owners read the jobs.
	loadDelay time.Duration
	// listFirst gives new owners the list of workers before the records.
	listFirst bool
	// refuseWrite decides whether the store refuses a transaction for what it contains.
	refuseWrite func(txn store.Txn) bool
	// onWrite is called with each transaction that is executed; nil for none.
	onWrite func(txn store.Txn)

	// crashAfter decides whether a run crashes its worker, and after how long; crashedWorkers
	// are what the list of workers still names of those that came back under another ID.
	crashAfter func(run *fakeRun) (crashes bool, after time.Duration)
	// failAfter decides whether a run fails, and after how long.
	failAfter      func(run *fakeRun) (fails bool, after time.Duration)
	restart        workerRestart
	crashedWorkers []pool.WorkerInfo

	adviser fakeAdviser
	// machinesDown holds the upkeeps in progress, at most maxMachinesDown of a wave at a time,
	// machinesDone the completed ones. machineOrders holds the latest order for each machine.
	machinesDown    map[upkeepKey]bool
	machinesDone    map[upkeepKey]bool
	maxMachinesDown int
	upkeepTime      time.Duration
	machineOrders   map[pool.MachineID]machineOrder
	upkeepOrders    int
	// waves are those that operators request at present, if a new owner is to know them.
	waves []pool.Wave
	// loseUpkeep decides whether the response to an upkeep order is lost, and whether it is
	// carried out all the same. failList decides whether the list of machines can't be read,
	// omitMachine which machines are missing in it although they exist.
	loseUpkeep  func() (lost, carriedOut bool)
	failList    func() bool
	omitMachine func(id pool.MachineID) bool

	decodedParts map[string]decodedPart

	// timeline keeps the events of the owners; nil discards them.
	timeline *event.Recorder

	audit audit
}

func newSimulation(t require.TestingT, seed uint64, racks, perRack int) *simulation {
	clock := clockwork.NewFakeClockAt(begin)
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), clock: clock, store: memory.New(clock), events: eventqueue.NewSimulation(clock),
		workers: map[model.WorkerID]*fakeWorker{}, unreachable: map[model.WorkerID]bool{},
		policy:  pool.Policy{Guarantees: map[model.OrganisationID]int{}, ZonesOutOfService: map[model.AvailabilityZoneID]bool{}},
		records: map[model.JobID]*workflow.Record{}, decodedParts: map[string]decodedPart{},
		upkeepTime: upkeepDuration, machinesDown: map[upkeepKey]bool{}, machinesDone: map[upkeepKey]bool{}, machineOrders: map[pool.MachineID]machineOrder{},
	}
	sim.audit = audit{sim: sim, done: map[model.TaskID]bool{}, finished: map[model.TaskID]bool{}, discarded: map[endKey]bool{}, running: map[model.TaskID]int{}, failed: map[model.TaskID]int{}, crashes: map[model.TaskID]int{}, startsAfterCrashes: map[model.TaskID]int{}}
	for rack := range racks {
		for i := range perRack {
			sim.addWorker(rack, i)
		}
	}
	return sim
}

func (sim *simulation) addWorker(rack, i int) {
	id := model.WorkerID(fmt.Sprintf("w%d-%d", rack, i))
	sim.ids = append(sim.ids, id)
	sim.workers[id] = &fakeWorker{
		sim: sim, incarnation: 1, startedAt: begin, runs: map[pool.RunKey]*fakeRun{}, lastRun: map[model.TaskID]int{}, speed: 1,
		info: pool.WorkerInfo{
			ID: id, Address: string(id), Service: "ledger", Zone: model.AvailabilityZoneID(fmt.Sprintf("z%d", rack%2)),
			Rack: fmt.Sprintf("r%d", rack), Labels: []string{"a", fmt.Sprintf("r%d", rack)}, Incarnation: 1,
			Capacity: model.Resources{Accelerators: 8, MilliCPU: 64000, MemoryMB: 128000},
		},
	}
}

func (sim *simulation) now() time.Time { return sim.clock.Now() }

func (sim *simulation) after(d time.Duration, do func()) { sim.events.After(d, do) }

func (sim *simulation) run(d time.Duration) { sim.events.Run(d) }

func (sim *simulation) runUntil(d time.Duration, done func() bool) bool {
	return sim.events.RunUntil(d, done)
}

func (sim *simulation) networkDelay() time.Duration {
	return time.Duration(500+sim.rng.IntN(2000)) * time.Microsecond
}

// ---- owners ----

type fakeOwner struct {
	sim     *simulation
	owner   *pool.Owner
	fence   store.Revision
	stopped bool
	// cutOff owners can't reach the store.
	cutOff bool
	// paused owners do nothing; renewedAt is when the owner's lease was last renewed.
	paused    bool
	renewedAt time.Time
	renewing  bool
	// loading is true until the owner has read the jobs.
	loading bool
	// advanceAt is the time of the next scheduled call of Advance.
	advanceAt time.Time
	loaded    map[model.JobID]bool
}

// takeOver creates a new owner, as after an election.
func (sim *simulation) takeOver() *fakeOwner {
	ctx := context.Background()
	page, err := sim.store.Range(ctx, store.PoolOwnerKey, store.PrefixEnd(store.PoolOwnerKey), 1)
	require.NoError(sim.t, err)
	condition := store.Absent(store.PoolOwnerKey)
	if len(page.KeyValues) == 1 {
		condition = store.Unchanged(store.PoolOwnerKey, page.KeyValues[0].ModRevision)
	}
	result, err := sim.store.Txn(ctx, store.Txn{
		If:   []store.Compare{condition},
		Then: []store.Op{{Put: &store.Put{Key: store.PoolOwnerKey, Value: []byte("{}")}}},
	})
	require.NoError(sim.t, err)
	require.True(sim.t, result.Succeeded)
	o := &fakeOwner{sim: sim, fence: result.Revision, renewedAt: sim.now(), renewing: true, loaded: map[model.JobID]bool{}}
	timing := pool.DefaultTiming(workerLease, retention)
	timing.TakeoverWait += sim.leaseLeft
	o.owner = pool.NewOwner(uint64(o.fence), timing, sim.recorder(), sim.now())
	o.owner.SetPolicy(sim.policy, sim.now())
	sim.owner = o
	if sim.listFirst {
		o.setWorkers()
	}
	for _, kv := range sim.rangeAll(store.PoolRecordsPrefix) {
		if !strings.HasPrefix(kv.Key, store.PoolProgressPrefix) {
			require.NoError(sim.t, o.owner.AddRecord(kv, sim.now()))
		}
	}
	if o.loading = sim.loadDelay > 0; o.loading {
		sim.after(sim.loadDelay, func() {
			o.loading = false
			o.reload()
			o.advanceIn(0)
		})
	}
	o.reload()
	sim.after(silenceFollowDelay, o.trustSilence)
	if len(sim.waves) > 0 {
		sim.requestWaves(sim.waves...)
	}
	sim.after(0, o.advance)
	return o
}

// reload passes the list of workers, the policy, the jobs and the cancellations to the owner.
func (o *fakeOwner) reload() {
	o.setWorkers()
	o.owner.SetPolicy(o.sim.policy, o.sim.now())
	o.load()
}

func (o *fakeOwner) setWorkers() {
	sim := o.sim
	var list []pool.WorkerInfo
	for _, id := range sim.ids {
		if worker := sim.workers[id]; !worker.unlisted {
			list = append(list, worker.info)
		}
	}
	list = append(list, sim.crashedWorkers...)
	if sim.listedWorkers != nil {
		list = sim.listedWorkers()
	}
	o.owner.SetWorkers(list, sim.now())
}

func (o *fakeOwner) load() {
	if o.loading || o.stopped {
		return
	}
	sim := o.sim
	progress := map[model.JobID]store.KeyValue{}
	for _, kv := range sim.rangeAll(store.PoolProgressPrefix) {
		progress[model.JobID(kv.Key[len(store.PoolProgressPrefix):])] = kv
	}
	var cancelled []pool.Cancellation
	for _, kv := range sim.rangeAll(store.PoolInputPrefix) {
		id, kind := store.ParsePoolInput(kv.Key)
		if kind == store.PoolCancel || kind == store.PoolEarlyCancel {
			c, err := workflow.DecodeCancellation(kv.Value)
			require.NoError(sim.t, err)
			cancelled = append(cancelled, pool.Cancellation{Cancellation: c, Job: id, Key: kv.Key, Revision: kv.ModRevision})
		}
		if kind != store.PoolJob || o.loaded[id] {
			continue
		}
		o.loaded[id] = true
		record, err := workflow.DecodeRecord(kv.Value)
		require.NoError(sim.t, err)
		if found, ok := progress[id]; ok {
			p, err := workflow.DecodeProgress(found.Value)
			require.NoError(sim.t, err)
			o.owner.AddJob(record, &p, found.ModRevision, sim.now())
		} else {
			o.owner.AddJob(record, nil, 0, sim.now())
		}
	}
	for _, c := range cancelled {
		o.owner.CancelJob(c, sim.now())
	}
}

func (sim *simulation) rangeAll(prefix string) []store.KeyValue {
	page, err := sim.store.Range(context.Background(), prefix, store.PrefixEnd(prefix), 0)
	require.NoError(sim.t, err)
	return page.KeyValues
}

func (o *fakeOwner) gate() pool.Gate {
	if o.renewing {
		o.renewedAt = o.sim.now()
	}
	since := o.sim.now().Sub(o.renewedAt)
	if o.loading {
		return pool.Gate{Loading: true}
	}
	return pool.Gate{
		MayStart:       since < ownerLease,
		MayRecord:      since < ownerLease,
		MayRenewLeases: since < ownerLease+pool.LeaseRenewalGrace,
	}
}

// maxAdvanceInterval limits the time between two calls of Advance; in production, other
// inputs do.
const maxAdvanceInterval = 100 * time.Millisecond

func (o *fakeOwner) advance() {
	sim := o.sim
	o.advanceAt = time.Time{}
	if o.stopped || o.paused || o.owner.OwnershipLost() {
		return
	}
	effects := o.owner.Advance(sim.now(), o.gate())
	for _, call := range effects.Calls {
		sim.after(sim.networkDelay(), func() { sim.deliver(o, call) })
	}
	if effects.Store != nil {
		sim.after(sim.networkDelay(), func() { sim.executeStoreCall(o, effects.Store) })
	}
	o.advanceIn(min(max(effects.Next.Sub(sim.now()), time.Millisecond), maxAdvanceInterval))
}

func (o *fakeOwner) advanceIn(d time.Duration) {
	at := o.sim.now().Add(d)
	if !o.advanceAt.IsZero() && !at.Before(o.advanceAt) {
		return
	}
	o.advanceAt = at
	o.sim.after(d, func() {
		if o.advanceAt.Equal(at) {
			o.advance()
		}
	})
}

// deliverResult passes a result to the owner, after the end of a pause; a stopped owner gets
// none.
func (o *fakeOwner) deliverResult(do func(owner *pool.Owner, now time.Time)) {
	if o.stopped {
		return
	}
	if o.paused {
		o.sim.after(10*time.Millisecond, func() { o.deliverResult(do) })
		return
	}
	do(o.owner, o.sim.now())
	o.advanceIn(0)
}

// pause freezes the owner for d.
func (o *fakeOwner) pause(d time.Duration) {
	o.paused, o.renewing = true, false
	o.sim.after(d, func() {
		o.paused = false
		o.advance()
	})
}

// ---- messages ----

func (sim *simulation) deliver(o *fakeOwner, call pool.Call) {
	switch {
	case call.Advise != nil:
		sim.advise(o, call)
		return
	case call.Machines:
		sim.after(sim.networkDelay(), func() {
			list, err := sim.listMachines()
			o.deliverResult(func(owner *pool.Owner, now time.Time) { owner.MachinesDone(call, list, err, now) })
		})
		return
	case call.Upkeep != nil:
		sim.deliverUpkeep(o, call)
		return
	case sim.carry != nil:
		sim.carry(o, call)
		return
	}
	if sim.unreachable[call.Target.Worker] {
		sim.after(call.Timeout, func() { o.handleResult(call, pool.Inventory{}, pool.ErrResponseLost) })
		return
	}
	lost, late := false, time.Duration(0)
	if sim.loseCall != nil {
		lost, late = sim.loseCall(call)
	}
	if lost {
		incarnation := sim.incarnationOf(call.Target.Worker)
		sim.after(late, func() {
			// A delayed order does not outlive the incarnation of the worker that it was
			// sent to, which is the one that it names: see docs/design/071-platform-questions.md.
			if incarnation != 0 && incarnation == call.Target.Incarnation && sim.incarnationOf(call.Target.Worker) == incarnation {
				sim.execute(call)
			}
		})
		sim.after(call.Timeout, func() { o.handleResult(call, pool.Inventory{}, pool.ErrResponseLost) })
		return
	}
	if f := sim.workers[call.Target.Worker]; f != nil && f.incarnation != call.Target.Incarnation {
		sim.deliverToOtherIncarnation(o, call)
		return
	}
	if call.Renew != nil && call.Renew.Wait > 0 {
		sim.respondToRenewal(o, call, sim.now().Add(call.Renew.Wait))
		return
	}
	inventory, err := sim.execute(call)
	sim.after(sim.networkDelay(), func() { o.handleResult(call, inventory, err) })
}

// deliverToOtherIncarnation behaves as a port whose connection leads to another incarnation of the
// worker than a call names: only its inventory is requested.
func (sim *simulation) deliverToOtherIncarnation(o *fakeOwner, call pool.Call) {
	inventory, err := pool.Inventory{}, error(pool.ErrRestarted)
	if call.Renew != nil {
		request := call
		order := *call.Renew
		order.Acknowledged, order.Wait = 0, 0
		request.Renew = &order
		inventory, err = sim.execute(request)
		inventory.Unacknowledged = call.Renew.Acknowledged > 0
	}
	sim.after(sim.networkDelay(), func() { o.handleResult(call, inventory, err) })
}

// machineOf returns the machine of a worker; the worker's ID changes with an upkeep.
func machineOf(f *fakeWorker) pool.MachineID { return pool.MachineID("m-" + f.info.Address) }

func (sim *simulation) listMachines() ([]pool.Machine, error) {
	if sim.failList != nil && sim.failList() {
		return nil, pool.ErrOverloaded
	}
	var list []pool.Machine
	for _, id := range sim.ids {
		f := sim.workers[id]
		machine := machineOf(f)
		if sim.omitMachine != nil && sim.omitMachine(machine) {
			continue
		}
		m := pool.Machine{ID: machine, Worker: f.info.ID, Up: !sim.isDown(machine)}
		if !m.Up {
			m.Worker, m.Emptied = "", true
		}
		list = append(list, m)
	}
	return list, nil
}

// upkeepKey identifies the upkeep of a machine for a wave.
type upkeepKey struct {
	wave    int
	machine pool.MachineID
}

func (sim *simulation) isDown(machine pool.MachineID) bool {
	for key := range sim.machinesDown {
		if key.machine == machine {
			return true
		}
	}
	return false
}

// machineOrder is an order for a machine as the platform has received it.
type machineOrder struct {
	fence uint64
	at    time.Time
}

// upkeepDuration is how long a machine is down, unless upkeepTime differs from it.
const upkeepDuration = 2 * time.Second

func (sim *simulation) deliverUpkeep(o *fakeOwner, call pool.Call) {
	lost, carriedOut := false, true
	if sim.loseUpkeep != nil {
		lost, carriedOut = sim.loseUpkeep()
	}
	var err error
	if carriedOut {
		err = sim.beginUpkeep(*call.Upkeep)
	}
	delay := sim.networkDelay()
	if lost {
		delay, err = call.Timeout, pool.ErrResponseLost
	}
	sim.after(delay, func() {
		o.deliverResult(func(owner *pool.Owner, now time.Time) { owner.UpkeepDone(call, err, now) })
	})
}

// beginUpkeep takes a machine down; it comes back with a new worker after upkeepDuration.
func (sim *simulation) beginUpkeep(order pool.UpkeepOrder) error {
	last, ordered := sim.machineOrders[order.Machine]
	require.False(sim.t, ordered && last.fence != order.Fence && sim.now().Sub(last.at) < ownerLease,
		"two owners have given orders for %s within %s", order.Machine, sim.now().Sub(last.at))
	sim.upkeepOrders++
	sim.machineOrders[order.Machine] = machineOrder{order.Fence, sim.now()}
	key := upkeepKey{order.Wave, order.Machine}
	if sim.machinesDown[key] || sim.machinesDone[key] {
		return nil
	}
	if sim.isDown(order.Machine) {
		return pool.ErrBusy
	}
	down := 0
	for other := range sim.machinesDown {
		if other.wave == order.Wave {
			down++
		}
	}
	require.Less(sim.t, down, sim.maxMachinesDown, "more machines are down than the wave allows")
	for _, id := range sim.ids {
		f := sim.workers[id]
		if machineOf(f) != order.Machine {
			continue
		}
		sim.audit.disrupted(f)
		sim.machinesDown[key] = true
		f.crash()
		f.down, f.unlisted = true, true
		sim.owner.reload()
		sim.after(sim.upkeepTime, func() {
			delete(sim.machinesDown, key)
			sim.machinesDone[key] = true
			f.down, f.unlisted = false, false
			delete(sim.workers, id)
			f.info.ID += "x"
			sim.ids[slices.Index(sim.ids, id)] = f.info.ID
			sim.workers[f.info.ID] = f
			sim.owner.reload()
		})
		return nil
	}
	return pool.ErrInvalid
}

// respondToRenewal responds to a waiting lease renewal once a run has ended or the wait is over.
func (sim *simulation) respondToRenewal(o *fakeOwner, call pool.Call, until time.Time) {
	inventory, err := sim.execute(call)
	if err != nil || len(inventory.Ended) > 0 || !sim.now().Before(until) {
		sim.after(sim.networkDelay(), func() { o.handleResult(call, inventory, err) })
		return
	}
	incarnation := sim.incarnationOf(call.Target.Worker)
	sim.after(20*time.Millisecond, func() {
		if sim.unreachable[call.Target.Worker] {
			sim.after(call.Timeout, func() { o.handleResult(call, pool.Inventory{}, pool.ErrResponseLost) })
			return
		}
		if sim.incarnationOf(call.Target.Worker) != incarnation {
			// The worker has restarted, which closed the connection.
			sim.after(sim.networkDelay(), func() { o.handleResult(call, pool.Inventory{}, pool.ErrResponseLost) })
			return
		}
		order := *call.Renew
		order.ExpiresMS = 0
		later := call
		later.Renew = &order
		sim.respondToRenewal(o, later, until)
	})
}

func (sim *simulation) execute(call pool.Call) (pool.Inventory, error) {
	inventory, err := sim.carryOut(call)
	if sim.alterResponse != nil {
		return sim.alterResponse(call, inventory, err)
	}
	return inventory, err
}

func (sim *simulation) carryOut(call pool.Call) (pool.Inventory, error) {
	worker := sim.workers[call.Target.Worker]
	if worker == nil {
		return pool.Inventory{}, sim.replacementError(call.Target.Address)
	}
	if worker.left || worker.cutRefusing {
		return pool.Inventory{}, pool.ErrUnreachable
	}
	if worker.down {
		return pool.Inventory{}, pool.ErrUnreachable
	}
	worker.advance()
	switch {
	case call.Start != nil:
		err := worker.start(*call.Start)
		return pool.Inventory{ClockMS: worker.clockMS()}, err
	case call.Stop != nil:
		err := worker.stop(*call.Stop)
		return pool.Inventory{ClockMS: worker.clockMS()}, err
	case call.Pace != nil:
		if run := worker.runs[call.Pace.RunKey]; run != nil {
			run.share = call.Pace.Percent
		}
		return pool.Inventory{ClockMS: worker.clockMS()}, nil
	}
	return worker.renewLeases(*call.Renew)
}

func (o *fakeOwner) handleResult(call pool.Call, inventory pool.Inventory, err error) {
	o.deliverResult(func(owner *pool.Owner, now time.Time) {
		switch {
		case call.Start != nil:
			owner.StartDone(call, inventory.ClockMS, err, now)
		case call.Stop != nil:
			owner.StopDone(call, inventory.ClockMS, err, now)
		case call.Pace != nil:
			owner.PaceDone(call, inventory.ClockMS, err, now)
		default:
			owner.RenewalDone(call, inventory, err, now)
		}
	})
}

func (sim *simulation) executeStoreCall(o *fakeOwner, call *pool.StoreCall) {
	delay := sim.networkDelay()
	done := func(result store.TxnResult, err error) {
		sim.after(delay, func() {
			o.deliverResult(func(owner *pool.Owner, now time.Time) { owner.StoreDone(call, result, err, now) })
		})
	}
	switch {
	case sim.resetWrites:
		sim.transactions++
		done(store.TxnResult{}, store.ErrResponseLost)
	case sim.storeDown || o.cutOff:
		done(store.TxnResult{}, store.ErrUnavailable)
	case sim.refuseWrite != nil && sim.refuseWrite(call.Txn):
		done(store.TxnResult{}, store.ErrRefused)
	case sim.loseWrites > 0:
		sim.loseWrites--
		delay = call.Timeout
		sim.after(sim.lateWrites, func() {
			_, err := sim.store.Txn(context.Background(), call.Txn)
			require.NoError(sim.t, err)
			sim.after(silenceFollowDelay, sim.followSilence)
		})
		done(store.TxnResult{}, store.ErrResponseLost)
	default:
		if sim.onWrite != nil {
			sim.onWrite(call.Txn)
		}
		done(sim.store.Txn(context.Background(), call.Txn))
		sim.after(silenceFollowDelay, sim.followSilence)
	}
}

// ---- jobs ----

func (sim *simulation) submit(id string, organisation model.OrganisationID, queue workflow.Queue, steps ...workflow.Step) model.JobID {
	return sim.submitSpec(id, organisation, queue, workflow.Spec{Payload: id, Steps: steps})
}

func (sim *simulation) submitSpec(id string, organisation model.OrganisationID, queue workflow.Queue, spec workflow.Spec) model.JobID {
	record := &workflow.Record{ID: model.JobID(id), Queue: queue, Organisation: organisation, Accepted: sim.now(), Spec: spec}
	sim.records[record.ID] = record
	sim.put(store.PoolJobKey(record.ID), workflow.Encode(record))
	if sim.owner != nil && !sim.owner.stopped {
		sim.owner.load()
		sim.owner.advanceIn(0)
	}
	return record.ID
}

func (sim *simulation) cancel(id model.JobID) {
	sim.put(store.PoolCancelKey(id), []byte("{}"))
	if sim.owner != nil && !sim.owner.stopped {
		sim.owner.load()
		sim.after(0, sim.owner.advance)
	}
}

func (sim *simulation) put(key string, value []byte) {
	_, err := sim.store.Txn(context.Background(), store.Txn{
		If: []store.Compare{store.Absent(key)}, Then: []store.Op{{Put: &store.Put{Key: key, Value: value}}},
	})
	require.NoError(sim.t, err)
}

func (sim *simulation) remove(key string) {
	_, err := sim.store.Txn(context.Background(), store.Txn{Then: []store.Op{{Delete: key}}})
	require.NoError(sim.t, err)
}

func (sim *simulation) state(id model.JobID) workflow.State {
	_, state, _ := sim.owner.owner.Lookup(id)
	return state
}

// waitFor runs the simulation until the visible state of a job is as expected.
func (sim *simulation) waitFor(d time.Duration, id model.JobID, state workflow.State) {
	require.True(sim.t, sim.runUntil(d, func() bool { return sim.state(id) == state }), "%s is %s after %s, expected %s", id, sim.state(id), d, state)
}

func normalQueue() workflow.Queue {
	return workflow.Queue{Name: "normal", Service: "ledger", Priority: 1, MaxAttempts: 2, Stretch: 3, Slack: time.Second}
}

func urgentQueue() workflow.Queue {
	return workflow.Queue{Name: "urgent", Service: "ledger", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Slack: 250 * time.Millisecond}
}

func step(tasks, accelerators int, run time.Duration) workflow.Step {
	return workflow.Step{
		Tasks: tasks, Estimate: run,
		PerTask: model.Resources{Accelerators: accelerators, MilliCPU: int64(accelerators) * 1000, MemoryMB: int64(accelerators) * 1000},
	}
}

func gang(tasks, accelerators int, run time.Duration) workflow.Step {
	s := step(tasks, accelerators, run)
	s.Gang = true
	return s
}

// ---- workers ----

// fakeWorker implements the protocol of a worker: fencing, leases, gangs and ended runs.
type fakeWorker struct {
	sim         *simulation
	info        pool.WorkerInfo
	incarnation int64
	// startedAt is the start of this incarnation; the worker's clock counts from there.
	startedAt time.Time
	// slowness is the share by which the worker's clock runs slow.
	slowness float64
	unlisted bool
	down     bool
	// left workers have ended as planned: nothing listens at their address.
	left bool
	// cutRefusing workers run, but connections to them are refused.
	cutRefusing bool
	fence       uint64
	leaseMS     int64
	runs        map[pool.RunKey]*fakeRun
	ends        []pool.EndedTask
	endCount    int64
	lastRun     map[model.TaskID]int
	// shrunk holds the capacities before recent shrinkages.
	shrunk []shrinkage
	// speed divides the run time; failTasks makes every task fail at its end.
	speed     float64
	failTasks bool
	// refuses makes the worker refuse every start; refused counts these.
	refuses bool
	refused int
}

type fakeRun struct {
	key       pool.RunKey
	task      workflow.Task
	spec      *workflow.Step
	startedAt time.Time
	stopAt    time.Time
	// previousWork is the run time saved in the checkpoint that this run resumes from.
	previousWork time.Duration
	// share is the share of its speed, in percent, at which a filler runs.
	share int
}

func (f *fakeWorker) now() time.Time { return f.sim.now() }

func (f *fakeWorker) clockMS() int64 {
	return int64((1-f.slowness)*float64(f.now().Sub(f.startedAt).Milliseconds())) + 1000
}

func (f *fakeWorker) start(order pool.StartOrder) error {
	if order.Fence < f.fence {
		return pool.ErrFenced
	}
	f.fence = order.Fence
	if f.refuses {
		f.refused++
		return pool.ErrOverloaded
	}
	key := pool.RunKey{Task: order.Task, Run: order.Run}
	if f.runs[key] != nil {
		return nil
	}
	if f.clockMS() >= order.ExpiresMS {
		return pool.ErrExpired
	}
	f.extendLease(order.ExpiresMS)
	if order.Run <= f.lastRun[order.Task] {
		return pool.ErrStaleRun
	}
	task, err := workflow.ParseTask(order.Task)
	require.NoError(f.sim.t, err)
	record := f.sim.records[task.Job]
	require.NotNil(f.sim.t, record, "started a job that nobody submitted")
	if record.Queue.Advised && !f.acceptsTicket(order.Ticket, task) {
		return pool.ErrTicketRefused
	}
	run := &fakeRun{key: key, task: task, spec: &record.Spec.Steps[task.Step], startedAt: f.now(), share: 100}
	if order.Checkpoint != "" {
		worked, err := time.ParseDuration(order.Checkpoint)
		require.NoError(f.sim.t, err)
		run.previousWork = worked
	}
	f.runs[key] = run
	f.sim.audit.started(f, run)
	f.crashLater(run)
	f.failLater(run)
	return nil
}

func (f *fakeWorker) extendLease(expiresMS int64) {
	f.leaseMS = max(f.leaseMS, min(expiresMS, f.clockMS()+workerLease.Milliseconds()))
}

func (f *fakeWorker) stop(order pool.StopOrder) error {
	if order.Fence < f.fence {
		return pool.ErrFenced
	}
	f.fence = order.Fence
	if run := f.runs[pool.RunKey{Task: order.Task, Run: order.Run}]; run != nil {
		if run.stopAt.IsZero() {
			run.stopAt = f.now().Add(stopDuration)
		}
		return nil
	}
	f.lastRun[order.Task] = max(f.lastRun[order.Task], order.Run)
	return nil
}

func (f *fakeWorker) renewLeases(order pool.RenewalOrder) (pool.Inventory, error) {
	if order.Fence < f.fence {
		return pool.Inventory{}, pool.ErrFenced
	}
	f.fence = order.Fence
	if order.ExpiresMS > 0 {
		f.extendLease(order.ExpiresMS)
	}
	kept := f.ends[:0:0]
	for _, end := range f.ends {
		if end.Number <= order.Acknowledged {
			f.sim.audit.acknowledged(f, end)
			continue
		}
		kept = append(kept, end)
	}
	f.ends = kept
	inventory := pool.Inventory{ClockMS: f.clockMS(), Incarnation: f.incarnation, Ended: slices.Clone(f.ends[:min(len(f.ends), endsPerResponse)])}
	for _, run := range f.sortedRuns() {
		inventory.Running = append(inventory.Running, pool.RunningTask{RunKey: run.key, Checkpoint: f.checkpoint(run), Percent: f.percent(run), Load: f.load(run)})
	}
	return inventory, nil
}

func (f *fakeWorker) sortedRuns() []*fakeRun {
	var runs []*fakeRun
	for _, run := range f.runs {
		runs = append(runs, run)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].key.Task < runs[j].key.Task })
	return runs
}

func (f *fakeWorker) checkpoint(run *fakeRun) string {
	if !run.spec.Checkpoints {
		return ""
	}
	return f.worked(run).Truncate(time.Second).String()
}

// load is the tail latency of a serving task: 40 ms, and 1 ms for each percent of speed of
// the fillers on the same worker.
func (f *fakeWorker) load(run *fakeRun) int {
	if run.spec.LatencyTarget == 0 {
		return 1000
	}
	latency := 40
	for _, other := range f.runs {
		if other.spec.Filler {
			latency += other.share
		}
	}
	return latency
}

func (f *fakeWorker) percent(run *fakeRun) int {
	if run.spec.LongRunning {
		return 100
	}
	return int(100 * f.worked(run) / max(1, run.spec.Estimate))
}

// worked is the run time of a run; that of a gang counts from when all members are present.
func (f *fakeWorker) worked(run *fakeRun) time.Duration {
	since := run.startedAt
	if run.spec.Gang {
		complete, at := f.sim.gangComplete(run)
		if !complete {
			return run.previousWork
		}
		since = at
	}
	return run.previousWork + time.Duration(float64(f.now().Sub(since))*f.speed)
}

// gangComplete reports whether all members of a run are present, and since when.
func (sim *simulation) gangComplete(run *fakeRun) (bool, time.Time) {
	count, latest := 0, run.startedAt
	for _, worker := range sim.workers {
		for _, other := range worker.runs {
			if other.task.Job == run.task.Job && other.task.Occurrence == run.task.Occurrence && other.task.Step == run.task.Step && other.key.Run == run.key.Run {
				count++
				if other.startedAt.After(latest) {
					latest = other.startedAt
				}
			}
		}
	}
	return count == run.spec.Tasks, latest
}

// advance ends the runs that have finished, been stopped or lost their lease.
func (f *fakeWorker) advance() {
	if f.clockMS() >= f.leaseMS {
		f.sim.audit.leaseExpired(f)
	}
	for _, run := range f.sortedRuns() {
		switch {
		case f.runs[run.key] == nil:
		case f.clockMS() >= f.leaseMS:
			f.end(run, pool.EndLeaseExpired)
		case !run.stopAt.IsZero() && !f.now().Before(run.stopAt):
			f.end(run, pool.EndStopped)
		case f.worked(run) >= run.spec.Estimate && !run.spec.LongRunning:
			f.finish(run)
		case run.spec.Gang && f.now().Sub(run.startedAt) > gangStartTimeout:
			if complete, _ := f.sim.gangComplete(run); !complete {
				f.end(run, pool.EndGangIncomplete)
			}
		}
	}
}

func (f *fakeWorker) finish(run *fakeRun) {
	if f.failTasks {
		f.end(run, pool.EndFailed)
		return
	}
	f.end(run, pool.EndDone)
}

// end ends a run; the other members of its gang end with it.
func (f *fakeWorker) end(run *fakeRun, cause pool.EndCause) {
	delete(f.runs, run.key)
	f.lastRun[run.key.Task] = max(f.lastRun[run.key.Task], run.key.Run)
	f.endCount++
	end := pool.EndedTask{Number: f.endCount, RunKey: run.key, Cause: cause}
	if cause != pool.EndDone {
		end.Checkpoint = f.checkpoint(run)
	}
	f.ends = append(f.ends, end)
	f.sim.audit.ended(run, cause)
	if !run.spec.Gang {
		return
	}
	othersCause := pool.EndGangBroken
	if cause == pool.EndDone {
		othersCause = pool.EndDone
	}
	for _, id := range f.sim.ids {
		worker := f.sim.workers[id]
		for _, member := range worker.sortedRuns() {
			sameGang := member.task.Job == run.task.Job && member.task.Occurrence == run.task.Occurrence && member.task.Step == run.task.Step && member.key.Run == run.key.Run
			if sameGang && worker.runs[member.key] != nil {
				worker.end(member, othersCause)
			}
		}
	}
}

// crash restarts the worker, which loses its state and its tasks.
func (f *fakeWorker) crash() {
	f.sim.audit.leaseExpired(f)
	for _, run := range f.sortedRuns() {
		f.sim.audit.ended(run, pool.EndLeaseExpired)
	}
	f.sim.audit.endsLost(f)
	f.runs, f.lastRun, f.ends = map[pool.RunKey]*fakeRun{}, map[model.TaskID]int{}, nil
	f.endCount, f.fence, f.leaseMS = 0, 0, 0
	f.incarnation++
	f.startedAt = f.now()
	f.info.Incarnation = f.incarnation
}

// drain announces that the worker leaves in d at the earliest.
func (f *fakeWorker) drain(d time.Duration) {
	f.info.Draining, f.info.TimeUntilRemoval = true, d
	f.sim.owner.reload()
}

// unlist removes the worker from the list of workers.
func (f *fakeWorker) unlist() {
	f.unlisted = true
	f.sim.owner.reload()
}

// list puts the worker back in the list of workers.
func (f *fakeWorker) list() {
	f.unlisted = false
	f.sim.owner.reload()
}

// leave ends the worker as planned, with all that runs there.
func (f *fakeWorker) leave() {
	f.crash()
	f.left = true
}

// tick advances every worker periodically.
func (sim *simulation) tick() {
	for _, id := range sim.ids {
		if worker := sim.workers[id]; !worker.down && !worker.left {
			worker.advance()
		}
	}
	sim.after(10*time.Millisecond, sim.tick)
}

// ---- invariants ----

// audit checks the invariants at each start and each acknowledgement.
type audit struct {
	sim *simulation
	// done holds the tasks whose result counts, finished those that were ever done.
	done     map[model.TaskID]bool
	finished map[model.TaskID]bool
	// discarded holds the ended runs whose result does not count, since the lease expired
	// before they were acknowledged.
	discarded map[endKey]bool
	running   map[model.TaskID]int
	failed    map[model.TaskID]int
	// crashes counts the workers that a task has crashed, startsAfterCrashes its starts after
	// maxCrashes of them; lostRuns counts the runs of other tasks that were lost with them.
	crashes            map[model.TaskID]int
	startsAfterCrashes map[model.TaskID]int
	lostRuns           int
	// faults is true if orders get lost, so that a gang may be incomplete.
	faults bool
	// starts counts the starts, resumes those from a checkpoint.
	starts  int
	resumes int
}

// started checks a start: the task does not run already and was not done, its dependencies
// are done, and the worker's capacity and the limits are kept.
func (a *audit) started(f *fakeWorker, run *fakeRun) {
	sim := a.sim
	id := run.key.Task
	a.starts++
	if run.previousWork > 0 {
		a.resumes++
	}
	a.checkCrashes(run)
	require.False(sim.t, a.done[id], "%s started after it was done", id)
	require.Zero(sim.t, a.running[id], "%s started while it was running", id)
	a.running[id]++
	record := sim.records[run.task.Job]
	require.False(sim.t, !run.spec.LongRunning && a.failed[id] >= record.Queue.MaxAttempts, "%s started after its last attempt", id)
	for _, earlier := range run.spec.DependsOn {
		for index := range record.Spec.Steps[earlier].Tasks {
			dependency := workflow.Task{Job: run.task.Job, Occurrence: run.task.Occurrence, Step: earlier, Index: index}.ID()
			require.True(sim.t, a.finished[dependency], "%s started before %s was done", id, dependency)
		}
	}
	var used model.Resources
	sameStep := 0
	for _, other := range f.runs {
		used = used.Add(other.spec.Demand())
		if other.task.Job == run.task.Job && other.task.Step == run.task.Step && other.task.Occurrence == run.task.Occurrence {
			sameStep++
		}
	}
	require.True(sim.t, used.Fits(f.capacityInForce()), "%s exceeds its capacity: %s", f.info.ID, used)
	if run.spec.MaxPerWorker > 0 {
		require.LessOrEqual(sim.t, sameStep, run.spec.MaxPerWorker, "%s has too many tasks of one step", f.info.ID)
	}
}

func (a *audit) ended(run *fakeRun, cause pool.EndCause) {
	a.running[run.key.Task]--
	switch cause {
	case pool.EndDone:
		a.done[run.key.Task], a.finished[run.key.Task] = true, true
	case pool.EndFailed:
		a.failed[run.key.Task]++
	}
	require.False(a.sim.t, cause == pool.EndGangIncomplete && !a.faults, "%s ended because its gang was incomplete", run.key.Task)
}

// disrupted checks that an upkeep stops no more long-running tasks than their disruption
// budget allows.
func (a *audit) disrupted(f *fakeWorker) {
	for _, run := range f.runs {
		if !run.spec.LongRunning {
			continue
		}
		present := 0
		for _, other := range a.sim.workers {
			for _, r := range other.runs {
				if r.task.Job == run.task.Job && r.task.Step == run.task.Step {
					present++
				}
			}
		}
		require.Less(a.sim.t, run.spec.Tasks-present, run.spec.DisruptionBudget, "%s is stopped beyond its disruption budget", run.key.Task)
	}
}

// leaseExpired discards results that were not acknowledged before the worker's lease
// expired: these tasks may be run again.
func (a *audit) leaseExpired(f *fakeWorker) {
	for _, end := range f.ends {
		if end.Cause == pool.EndDone && !a.discarded[endKey{f.info.ID, f.incarnation, end.Number}] {
			delete(a.done, end.Task)
			a.discarded[endKey{f.info.ID, f.incarnation, end.Number}] = true
		}
	}
}

// endsLost discards the failures that were not acknowledged when their worker crashed: only those
// that are taken note of, then or later, count as attempts.
func (a *audit) endsLost(f *fakeWorker) {
	for _, end := range f.ends {
		if end.Cause == pool.EndFailed {
			a.failed[end.Task]--
		}
	}
}

// endKey identifies an ended run of one incarnation of a worker.
type endKey struct {
	worker      model.WorkerID
	incarnation int64
	number      int64
}

// acknowledged checks that an acknowledged end is recorded.
func (a *audit) acknowledged(f *fakeWorker, end pool.EndedTask) {
	if end.Cause != pool.EndDone || a.discarded[endKey{f.info.ID, f.incarnation, end.Number}] {
		return
	}
	task, err := workflow.ParseTask(end.Task)
	require.NoError(a.sim.t, err)
	progress, recorded := a.sim.recordedProgress(task.Job)
	require.True(a.sim.t, recorded, "%s: the end was acknowledged before it was recorded", end.Task)
	if progress.State.Final() {
		return
	}
	for _, closed := range progress.EndedOccurrences {
		if closed == task.Occurrence {
			return
		}
	}
	key := fmt.Sprintf("%d.%d.%d", task.Occurrence, task.Step, task.Index)
	if a.sim.records[task.Job].Spec.Steps[task.Step].Gang {
		key = fmt.Sprintf("%d.%d", task.Occurrence, task.Step)
	}
	require.True(a.sim.t, progress.TaskGroups[key].Done, "%s: the end was acknowledged before it was recorded", end.Task)
}

// recordedProgress returns the progress of a job as it is recorded, in one value or in parts.
func (sim *simulation) recordedProgress(id model.JobID) (progress workflow.Progress, recorded bool) {
	for _, kv := range sim.rangeAll(store.PoolProgressKey(id)) {
		if kv.Key == store.PoolProgressKey(id) {
			var err error
			progress, err = workflow.DecodeProgress(kv.Value)
			require.NoError(sim.t, err)
			recorded = true
		}
	}
	for _, kv := range sim.rangeAll(store.PoolPartKey(id, "")) {
		if progress.TaskGroups == nil {
			progress.TaskGroups = map[string]workflow.TaskGroupProgress{}
		}
		maps.Copy(progress.TaskGroups, sim.decodePart(kv).TaskGroups)
		recorded = true
	}
	return progress, recorded
}

// decodePart decodes a part of the progress of a job, once for each revision.
func (sim *simulation) decodePart(kv store.KeyValue) workflow.ProgressPart {
	decoded, ok := sim.decodedParts[kv.Key]
	if !ok || decoded.revision != kv.ModRevision {
		part, err := workflow.DecodeProgressPart(kv.Value)
		require.NoError(sim.t, err)
		decoded = decodedPart{kv.ModRevision, part}
		sim.decodedParts[kv.Key] = decoded
	}
	return decoded.part
}

type decodedPart struct {
	revision store.Revision
	part     workflow.ProgressPart
}

// startSimulation returns a simulation with one owner, and workers that advance periodically.
func startSimulation(t *testing.T, racks, perRack int) *simulation {
	sim := newSimulation(t, 1, racks, perRack)
	sim.after(0, sim.tick)
	sim.takeOver()
	return sim
}
