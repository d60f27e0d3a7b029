package poolhost

import (
	"context"
	"sync"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/mirror"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// term is the time during which this host owns the pool.
type term struct {
	host   *Host
	fence  store.Revision
	began  time.Time
	loop   *pool.Loop
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	// progress is what was recorded of jobs that the owner has not been told of yet.
	progress map[model.JobID]store.KeyValue
	// cancelled holds cancellations of jobs whose record has not been seen yet.
	cancelled map[model.JobID]bool

	mu sync.Mutex
	// loaded is true once the jobs are known; only then does the owner act.
	loaded bool
}

func (h *Host) beginTerm(fence store.Revision) {
	ctx, cancel := context.WithCancel(h.ctx)
	t := &term{host: h, fence: fence, began: h.Clock.Now(), ctx: ctx, cancel: cancel, cancelled: map[model.JobID]bool{}}
	owner := pool.NewOwner(uint64(fence), h.Timing, h.Events, h.Clock.Now())
	h.Events.Note(event.OwnershipTaken, event.Subject{Host: h.Name}, event.Fields{"fence": fence})
	t.loop = pool.NewLoop(owner, pool.Ports{
		Clock: h.Clock, Workers: h.Workers, Adviser: h.Adviser, Machines: h.Machines, Store: h.Store, Gate: t.gate,
		Deposed: h.elector.signalResign,
	})
	if config, _, _ := h.directory.get(); config != nil {
		t.loop.Change(func(o *pool.Owner, now time.Time) { t.apply(o, config, now) })
	}
	h.mu.Lock()
	h.term = t
	h.mu.Unlock()
	t.background(func() { h.follow(ctx, h.WorkersStore, h.Directories.WorkersPrefix, "workers", t.takeWorkers) })
	t.background(t.loadAndFollow)
}

// apply tells the owner what the configuration says.
func (t *term) apply(o *pool.Owner, config *Configuration, now time.Time) {
	o.SetPolicy(config.Policy(), now)
	o.SetUpkeep(t.host.UpkeepTime, t.host.Directories.WaveStatus)
	o.SetWaves(config.Waves, now)
}

func (t *term) background(f func()) {
	t.done.Add(1)
	go func() {
		defer t.done.Done()
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
	t.done.Wait()
	h.outage.forget(h.Clock.Now(), "workers", "progress", "jobs")
	h.Events.Note(event.OwnershipLost, event.Subject{Host: h.Name}, event.Fields{"fence": t.fence, "why": why})
}

// release hands the ownership over at once.
func (t *term) release(ctx context.Context) {
	t.loop.Release(ctx)
	t.host.elector.giveUp(ctx, t.fence)
	t.host.Events.Note(event.OwnershipHandedOff, event.Subject{Host: t.host.Name}, event.Fields{"fence": t.fence})
}

// evacuationMargin bounds the age of the configuration by which tasks are started.
const evacuationMargin = 4 * time.Second

// gate says what the owner may do now.
func (t *term) gate() pool.Gate {
	since, owned := t.host.elector.sinceRenewal()
	t.mu.Lock()
	loaded := t.loaded
	t.mu.Unlock()
	if !owned {
		return pool.Gate{}
	}
	certain := since < ownerLease-ownerMargin
	_, configAge, _ := t.host.directory.get()
	return pool.Gate{
		MayStart:  certain && loaded && configAge < evacuationMargin,
		MayRecord: certain && loaded,
		MayHold:   loaded && since < ownerLease+pool.OwnerHoldGrace,
	}
}

// loadAndFollow reads what is recorded of the jobs and then follows what is accepted
// and cancelled. No earlier owner can write progress any more, since the owner's key
// has changed.
func (t *term) loadAndFollow() {
	for t.progress == nil {
		progress, err := t.readProgress()
		if err == nil {
			t.progress = progress
			break
		}
		t.host.noteStore("progress", err)
		select {
		case <-t.ctx.Done():
			return
		case <-t.host.Clock.After(electionRetry):
		}
	}
	t.host.noteStore("progress", nil)
	t.host.follow(t.ctx, t.host.Store, store.PoolInputPrefix, "jobs", t.takeInput)
}

// progressPage is the number of keys asked for in one read.
const progressPage = 500

func (t *term) readProgress() (map[model.JobID]store.KeyValue, error) {
	ctx, cancel := context.WithTimeout(t.ctx, followTimeout)
	defer cancel()
	found := map[model.JobID]store.KeyValue{}
	from, to := store.PoolProgressPrefix, store.PrefixEnd(store.PoolProgressPrefix)
	for {
		page, err := t.host.Store.Range(ctx, from, to, progressPage)
		if err != nil {
			return nil, err
		}
		for _, kv := range page.KeyValues {
			found[model.JobID(kv.Key[len(store.PoolProgressPrefix):])] = kv
		}
		if !page.More || len(page.KeyValues) == 0 {
			return found, nil
		}
		from = page.KeyValues[len(page.KeyValues)-1].Key + "\x00"
	}
}

func (t *term) takeWorkers(state mirror.State) {
	var list []pool.WorkerInfo
	for _, kv := range state.Keys {
		info, err := t.host.Directories.DecodeWorker(kv)
		if err != nil {
			t.host.Events.Note(event.EntryMalformed, event.Subject{}, event.Fields{"key": kv.Key, "revision": kv.ModRevision, "why": err.Error()})
			continue
		}
		list = append(list, info)
	}
	t.loop.Change(func(o *pool.Owner, now time.Time) { o.SetWorkers(list, now) })
}

// takeInput hands accepted jobs and cancellations to the owner.
func (t *term) takeInput(state mirror.State) {
	var jobs []*workflow.Record
	for _, key := range state.Changed {
		kv, ok := state.Keys[key]
		if !ok {
			continue
		}
		id, kind := store.ParsePoolInput(key)
		switch kind {
		case store.PoolJob:
			if record := t.decode(id, kv); record != nil {
				jobs = append(jobs, record)
			}
		case store.PoolCancel:
			t.cancelled[id] = true
		}
	}
	t.loop.Change(func(o *pool.Owner, now time.Time) {
		for _, record := range jobs {
			t.add(o, record, now)
		}
		for id := range t.cancelled {
			if _, _, known := o.Lookup(id); known {
				o.CancelJob(id, now)
				delete(t.cancelled, id)
			}
		}
	})
	t.mu.Lock()
	t.loaded = true
	t.mu.Unlock()
}

func (t *term) decode(id model.JobID, kv store.KeyValue) *workflow.Record {
	record, err := workflow.DecodeRecord(kv.Value)
	if err != nil {
		t.host.Events.Note(event.EntryMalformed, event.Subject{Job: string(id)}, event.Fields{"key": kv.Key, "revision": kv.ModRevision, "why": err.Error()})
		return nil
	}
	return record
}

func (t *term) add(o *pool.Owner, record *workflow.Record, now time.Time) {
	kv, known := t.progress[record.ID]
	if !known {
		o.AddJob(record, nil, 0, now)
		return
	}
	delete(t.progress, record.ID)
	progress, err := workflow.DecodeProgress(kv.Value)
	if err != nil {
		t.host.Events.Note(event.EntryMalformed, event.Subject{Job: string(record.ID)}, event.Fields{"key": kv.Key, "revision": kv.ModRevision, "why": err.Error(), "outcome": "the job stays as it is"})
		return
	}
	o.AddJob(record, &progress, kv.ModRevision, now)
}
