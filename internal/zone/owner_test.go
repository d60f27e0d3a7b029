package zone_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/scheduler"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/view"
	"github.com/chervilrun/chervilrun/internal/worker"
	"github.com/chervilrun/chervilrun/internal/zone"
)

// owner is one host that runs a zone.
type owner struct {
	cluster           *testCluster
	zone              *testZone
	runner            *zone.Runner
	events            *event.Recorder
	viewConfirmedAt   time.Time
	outageConfirmedAt time.Time
	ownedUntil        time.Time // ownership is certain until then
	dead              bool
	calls             map[zone.CallKind]int
	paused            bool
	missesUpdates     bool // receives no updates of the view
	cutOff            map[model.WorkerID]bool
	deferred          []func()
	wakeAt            time.Time
}

// takeZone makes a new host the owner of a zone, in a new epoch.
func (c *testCluster) takeZone(z *testZone) {
	z.epoch++
	put := store.Put{Key: store.EpochKey(z.id), Value: []byte(strconv.FormatUint(uint64(z.epoch), 10))}
	_, err := c.store.Txn(context.Background(), store.Txn{Then: []store.Op{{Put: &put}}})
	require.NoError(c.t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	o := &owner{cluster: c, zone: z, calls: map[zone.CallKind]int{}, events: event.NewRecorder(fmt.Sprint("host", z.epoch), c.clock, log, 4096)}
	z.owner = o
	o.runner = zone.NewRunner(zone.Options{
		Zone: z.id, Epoch: z.epoch,
		Engine:            scheduler.New(z.id, scheduler.Options{Seed: 1}),
		Events:            o.events,
		Rand:              rand.New(rand.NewPCG(c.rng.Uint64(), 2)),
		Timing:            c.timing,
		Metrics:           zone.NewMetrics(nil),
		IntentBeforeStart: c.intentBeforeStart,
		Assign: func(*view.View, model.AvailabilityZoneID) map[model.OrganisationID][]model.Guarantee {
			return nil
		},
	}, c.now())
	o.keepOwnership()
	o.step()
}

// keepOwnership simulates the elector and the view updates of a host.
func (o *owner) keepOwnership() {
	if o.dead || o.zone.owner != o {
		return
	}
	if !o.paused {
		o.refreshView()
		o.ownedUntil = o.cluster.now().Add(ownerTTL - ownerMargin)
		o.step()
	}
	o.cluster.schedule(time.Second, o.keepOwnership)
}

func (o *owner) refreshView() {
	if o.missesUpdates {
		return
	}
	if o.cluster.storeDown {
		o.outageConfirmedAt = o.cluster.now() // the other hosts confirm the outage and the last configuration
	} else {
		o.viewConfirmedAt = o.cluster.now()
	}
	o.runner.SetView(o.cluster.view(), o.cluster.now())
}

func (o *owner) gate() zone.Gate {
	now := o.cluster.now()
	return zone.Gate{
		Owned: now.Before(o.ownedUntil),
		Confirmation: view.Confirmation{
			ConfirmedAt:     o.viewConfirmedAt,
			OutageConfirmed: now.Sub(o.outageConfirmedAt) <= view.MaxConfirmationAge,
		},
	}
}

// execute calls f on the owner's host, at once or when the host is no longer paused.
func (o *owner) execute(f func()) {
	switch {
	case o.dead:
	case o.paused:
		o.deferred = append(o.deferred, f)
	default:
		f()
		o.step()
	}
}

// step runs one step of the runner and simulates the calls that it returns.
func (o *owner) step() {
	if o.dead || o.paused {
		return
	}
	now := o.cluster.now()
	effects := o.runner.Step(now, o.gate())
	for _, call := range effects.Calls {
		o.cluster.schedule(0, func() { o.execute(func() { o.send(call) }) })
	}
	if effects.Store != nil {
		o.callStore(effects.Store)
	}
	for _, notice := range effects.Notices {
		o.cluster.schedule(o.cluster.latency(), func() { o.cluster.deliverNotice(notice) })
	}
	next := o.runner.Next(now)
	if o.wakeAt.After(now) && !next.Before(o.wakeAt) {
		return
	}
	o.wakeAt = next
	o.cluster.schedule(next.Sub(now), func() { o.execute(func() {}) })
}

func (c *testCluster) latency() time.Duration {
	return time.Duration(1+c.rng.IntN(5)) * time.Millisecond
}

func (o *owner) send(call zone.Call) {
	c := o.cluster
	if !zone.MayCarryOut(call, o.gate(), c.now()) {
		o.runner.ExchangeDone(call, worker.Response{}, worker.ErrUnreachable, c.now())
		return
	}
	if o.cutOff[call.Worker] {
		c.schedule(call.Deadline.Sub(c.now()), func() {
			o.execute(func() { o.runner.ExchangeDone(call, worker.Response{}, worker.ErrResponseLost, c.now()) })
		})
		return
	}
	c.schedule(c.latency(), func() {
		before := len(c.pool.History())
		response, err := c.pool.Exchange(context.Background(), call.Endpoint, call.Exchange)
		c.countLateStarts(before)
		delay := c.latency()
		if err == worker.ErrResponseLost {
			delay = call.Deadline.Sub(c.now())
		}
		c.schedule(max(delay, 0), func() {
			o.execute(func() { o.runner.ExchangeDone(call, response, err, c.now()) })
		})
	})
}

// zoneOutLimit is how long tasks may still start after a zone was taken out of service.
const zoneOutLimit = 3 * time.Second

func (c *testCluster) countLateStarts(before int) {
	for _, run := range c.pool.History()[before:] {
		since, isOut := c.outOfServiceSince[run.Zone]
		if isOut && run.Start.Sub(since) > zoneOutLimit {
			c.lateStarts++
		}
	}
}

func (o *owner) callStore(call *zone.StoreCall) {
	c := o.cluster
	c.storeCalls++
	o.calls[call.Kind]++
	c.schedule(c.latency()+c.storeLatency, func() {
		result, err := zone.StoreResult{}, store.ErrUnavailable
		switch {
		case c.storeDown:
		case c.writesToLose > 0 && call.Kind == zone.CallWrite:
			c.writesToLose--
			_, _ = zone.CallStore(context.Background(), c.store, call)
			err = store.ErrResponseLost
		case c.writesToDelay > 0 && call.Kind == zone.CallWrite:
			c.writesToDelay--
			c.schedule(c.writeDelay, func() { _, _ = zone.CallStore(context.Background(), c.store, call) })
			err = store.ErrResponseLost
		default:
			result, err = zone.CallStore(context.Background(), c.store, call)
		}
		c.schedule(c.latency(), func() {
			o.execute(func() { o.runner.StoreDone(call, result, err, c.now()) })
		})
	})
}

// kill ends the owner of a zone. Another host takes over when its lease has expired.
func (c *testCluster) kill(z *testZone) {
	z.owner.dead = true
	c.scheduleTakeover(z)
}

func (c *testCluster) scheduleTakeover(z *testZone) {
	previous := z.owner
	c.schedule(ownerTTL, func() {
		switch {
		case z.owner != previous:
		case c.storeDown:
			c.scheduleTakeover(z)
		case previous.dead || previous.paused || c.now().After(previous.ownedUntil):
			c.takeZone(z)
		}
	})
}

func (o *owner) resume() {
	o.paused = false
	deferred := o.deferred
	o.deferred = nil
	for _, f := range deferred {
		o.execute(f)
	}
	o.step()
}
