package poolhost

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/panics"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/mirror"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// term is a period during which this host owns the pool.
type term struct {
	host       *Host
	fence      store.Revision
	startedAt  time.Time
	loop       *pool.Loop
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// pendingProgress holds the recorded progress of jobs not yet added to the
	// pool.Owner.
	pendingProgress map[model.JobID]store.KeyValue
	// inputRevision is the revision up to which the watch has delivered jobs and
	// cancellations. It is used only while the loop is locked.
	inputRevision store.Revision

	mu sync.Mutex
	// loaded is true once all jobs are loaded; the owner does not act before.
	loaded bool
	// failed is true once the pool.Owner has panicked; it does not act any more.
	failed atomic.Bool
}

func (h *Host) beginTerm(fence store.Revision, leaseLeft time.Duration) {
	ctx, cancel := context.WithCancel(h.ctx)
	t := &term{host: h, fence: fence, startedAt: h.Clock.Now(), ctx: ctx, cancel: cancel}
	owner := pool.NewOwner(uint64(fence), termTiming(h.Timing, leaseLeft), h.Events, h.Clock.Now())
	h.Events.RecordFields(event.OwnershipTaken, event.Subject{Host: h.Name}, event.Fields{"fence": fence})
	t.loop = pool.NewLoop(owner, pool.Ports{
		Clock: h.Clock, Workers: h.Workers, Adviser: h.Adviser, Machines: h.Machines, Store: h.Store, Gate: t.gate,
		OnOwnershipLost: h.elector.signalOwnershipEnded, OnFailure: t.fail,
	})
	if config, _, _ := h.config.get(); config != nil {
		t.loop.Update(func(o *pool.Owner, now time.Time) { t.applyConfig(o, config, now) })
	}
	h.mu.Lock()
	h.term = t
	h.mu.Unlock()
	t.background(func() { h.follow(ctx, h.WorkersStore, h.Directories.WorkersPrefix, "workers", t.handleWorkers) })
	t.background(t.loadAndFollow)
}

// permission is how long after its last renewal an owner may start tasks, order upkeeps and
// record progress.
const permission = ownerLeaseTTL - leaseSafetyMargin

// termTiming returns the timing of a term that began with leaseLeft left of the earlier owner's
// lease. The earlier owner may not know yet that it was replaced: it may still give orders, and
// goes on renewing the leases of running tasks until some time after its own would have expired.
func termTiming(timing pool.Timing, leaseLeft time.Duration) pool.Timing {
	timing.OrderPermission = permission
	timing.TakeoverWait += leaseLeft
	return timing
}

// applyConfig applies the configuration to the pool.Owner.
func (t *term) applyConfig(o *pool.Owner, config *Configuration, now time.Time) {
	o.SetPolicy(config.Policy(), now)
	o.SetUpkeep(t.host.UpkeepTime, t.host.Directories.WaveStatus)
	o.SetWaves(config.Waves, now)
}

func (t *term) background(f func()) {
	t.goroutines.Add(1)
	go func() {
		defer t.goroutines.Done()
		f()
	}()
}

func (h *Host) endTerm(why string) {
	h.mu.Lock()
	t := h.term
	h.term = nil
	h.mu.Unlock()
	t.cancel()
	t.loop.Stop()
	t.goroutines.Wait()
	h.outage.forget(h.Clock.Now(), "workers", "progress", "jobs", "owners")
	h.Events.RecordFields(event.OwnershipLost, event.Subject{Host: h.Name}, event.Fields{"fence": t.fence, "why": why})
}

// handOver gives up the ownership without waiting for the lease to expire.
func (t *term) handOver(ctx context.Context) {
	t.loop.Release(ctx)
	t.host.elector.deleteOwnerKey(ctx, t.fence)
	t.host.Events.RecordFields(event.OwnershipHandedOver, event.Subject{Host: t.host.Name}, event.Fields{"fence": t.fence})
}

// maxConfigAgeForStarts is the age of the configuration up to which tasks are started, so
// that an availability zone taken out of service soon gets no more tasks.
const maxConfigAgeForStarts = 4 * time.Second

// fail ends the term after a panic of the pool.Owner: it gives up the ownership, so that the
// next owner starts from the records. This host takes part in elections again after a
// delay that grows with each such failure.
func (t *term) fail(err error) {
	t.failed.Store(true)
	t.host.Events.RecordFields(event.OwnerFailed, event.Subject{Host: t.host.Name}, event.Fields{
		"fence": t.fence, "why": err.Error(), "stack": panics.Stack(err), "pause_ms": t.host.elector.pause().Milliseconds(),
	})
	t.host.background(func() { t.host.elector.deleteOwnerKey(t.host.ctx, t.fence) })
}

// gate returns what the owner may do now.
func (t *term) gate() pool.Gate {
	if t.failed.Load() {
		return pool.Gate{}
	}
	renewalAge, owned := t.host.elector.sinceRenewal()
	t.mu.Lock()
	loaded := t.loaded
	t.mu.Unlock()
	if !owned {
		return pool.Gate{Loading: !loaded}
	}
	confirmed := renewalAge < permission
	_, configAge, _ := t.host.config.get()
	return pool.Gate{
		Loading:        !loaded,
		MayStart:       confirmed && loaded && configAge < maxConfigAgeForStarts,
		MayRecord:      confirmed && loaded,
		MayRenewLeases: loaded && renewalAge < ownerLeaseTTL+pool.LeaseRenewalGrace,
	}
}

// loadAndFollow reads what earlier owners have recorded and then watches for accepted and
// cancelled jobs. An earlier owner can no longer write records, since the owner key has
// changed.
func (t *term) loadAndFollow() {
	for !t.loadRecords() {
		select {
		case <-t.ctx.Done():
			return
		case <-t.host.Clock.After(electionRetryInterval):
		}
	}
	t.host.follow(t.ctx, t.host.Store, store.PoolInputPrefix, "jobs", t.handleJobInput)
}

// loadRecords reads the progress of the jobs and the owner's other records, and reports whether
// it could.
func (t *term) loadRecords() bool {
	records, err := t.readRecords()
	t.host.recordStoreRead("progress", err)
	if err != nil {
		return false
	}
	t.pendingProgress = map[model.JobID]store.KeyValue{}
	var others []store.KeyValue
	for _, kv := range records {
		if job, ok := strings.CutPrefix(kv.Key, store.PoolProgressPrefix); ok {
			t.pendingProgress[model.JobID(job)] = kv
		} else {
			others = append(others, kv)
		}
	}
	var writer store.Revision
	t.loop.Update(func(o *pool.Owner, now time.Time) {
		defer func() { writer = store.Revision(o.SilenceWriter()) }()
		for _, kv := range others {
			if err := o.AddRecord(kv, now); err != nil {
				t.host.Events.RecordFields(event.EntryMalformed, event.Subject{}, event.Fields{"key": kv.Key, "revision": kv.ModRevision, "why": err.Error()})
			}
		}
	})
	if writer != 0 {
		t.background(func() { t.trustSilence(writer) })
	}
	return true
}

// recordsPageSize is the maximum number of keys per read.
const recordsPageSize = 500

func (t *term) readRecords() ([]store.KeyValue, error) {
	ctx, cancel := context.WithTimeout(t.ctx, storeReadTimeout)
	defer cancel()
	var found []store.KeyValue
	from, to := store.PoolRecordsPrefix, store.PrefixEnd(store.PoolRecordsPrefix)
	for {
		page, err := t.host.Store.Range(ctx, from, to, recordsPageSize)
		if err != nil {
			return nil, err
		}
		found = append(found, page.KeyValues...)
		if !page.More || len(page.KeyValues) == 0 {
			return found, nil
		}
		from = page.KeyValues[len(page.KeyValues)-1].Key + "\x00"
	}
}

func (t *term) handleWorkers(state mirror.State) {
	var workers []pool.WorkerInfo
	for _, kv := range state.Keys {
		info, err := t.decodeWorker(kv)
		if err != nil {
			t.host.Events.RecordFields(event.EntryMalformed, event.Subject{}, event.Fields{"key": kv.Key, "revision": kv.ModRevision, "why": err.Error()})
			continue
		}
		workers = append(workers, info)
	}
	t.loop.Update(func(o *pool.Owner, now time.Time) { o.SetWorkers(workers, now) })
}

// decodeWorker decodes an entry of the list of workers. One that makes the decoder panic
// names no worker, and the others hold.
func (t *term) decodeWorker(kv store.KeyValue) (info pool.WorkerInfo, err error) {
	defer panics.ToError(&err)
	return t.host.Directories.DecodeWorker(kv)
}

// handleJobInput passes accepted jobs and cancellations to the pool.Owner.
func (t *term) handleJobInput(state mirror.State) {
	var jobs []*workflow.Record
	var cancellations []pool.Cancellation
	for _, key := range state.Changed {
		kv, ok := state.Keys[key]
		if !ok {
			continue
		}
		id, kind := store.ParsePoolInput(key)
		switch kind {
		case store.PoolJob:
			if record := t.decodeJob(id, kv); record != nil {
				jobs = append(jobs, record)
			}
		case store.PoolCancel, store.PoolEarlyCancel:
			cancellation, err := workflow.DecodeCancellation(kv.Value)
			if err != nil {
				t.host.Events.RecordFields(event.EntryMalformed, event.Subject{Job: string(id)}, event.Fields{"key": kv.Key, "revision": kv.ModRevision, "why": err.Error()})
				continue
			}
			cancellations = append(cancellations, pool.Cancellation{Cancellation: cancellation, Job: id, Key: key, Revision: kv.ModRevision})
		}
	}
	t.loop.Update(func(o *pool.Owner, now time.Time) {
		t.inputRevision = max(t.inputRevision, state.Revision)
		for _, record := range jobs {
			t.addJob(o, record, now)
		}
		for _, cancellation := range cancellations {
			o.CancelJob(cancellation, now)
		}
	})
	t.mu.Lock()
	t.loaded = true
	t.mu.Unlock()
}

func (t *term) decodeJob(id model.JobID, kv store.KeyValue) *workflow.Record {
	record, err := workflow.DecodeRecord(kv.Value)
	if err != nil {
		t.host.Events.RecordFields(event.EntryMalformed, event.Subject{Job: string(id)}, event.Fields{"key": kv.Key, "revision": kv.ModRevision, "why": err.Error()})
		return nil
	}
	return record
}

// addJob passes a job to the pool.Owner. A job whose record or progress can't be used is
// set aside: it stays in the store as it is and is not scheduled.
func (t *term) addJob(o *pool.Owner, record *workflow.Record, now time.Time) {
	kv, progress, err := t.takeProgress(record.ID)
	if err == nil {
		err = o.AddJob(record, progress, kv.ModRevision, now)
	}
	if err != nil {
		t.host.Events.RecordFields(event.JobSetAside, event.Subject{Job: string(record.ID)}, event.Fields{
			"key": kv.Key, "revision": kv.ModRevision, "why": err.Error(), "stack": panics.Stack(err),
		})
	}
}

// takeProgress removes and returns the recorded progress of a job, if it has any. Progress
// that can't be decoded is kept.
func (t *term) takeProgress(id model.JobID) (store.KeyValue, *workflow.Progress, error) {
	kv, known := t.pendingProgress[id]
	if !known {
		return store.KeyValue{}, nil, nil
	}
	progress, err := workflow.DecodeProgress(kv.Value)
	if err != nil {
		return kv, nil, err
	}
	delete(t.pendingProgress, id)
	return kv, &progress, nil
}
