package ownership_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
)

// invariantChecker checks the invariants of ownership over all hosts and keeps the first
// violation.
type invariantChecker struct {
	clock clockwork.Clock

	mu sync.Mutex
	// epochs holds the epochs written to the store, in order.
	epochs map[model.AvailabilityZoneID][]epochWrite
	// holders maps zone and epoch to the incarnation that has held them.
	holders map[string]string
	// outOfServiceSince holds when each zone that is out of service was taken out.
	outOfServiceSince map[model.AvailabilityZoneID]time.Time
	version           model.ConfigVersion
	// lastAction is the time of a zone's last action, maxGap the longest time between two.
	lastAction     map[model.AvailabilityZoneID]time.Time
	maxGap         time.Duration
	taskStarts     int
	firstViolation string
}

type epochWrite struct {
	epoch     model.Epoch
	writtenAt time.Time
}

func newInvariantChecker(clock clockwork.Clock) *invariantChecker {
	return &invariantChecker{
		clock:             clock,
		epochs:            map[model.AvailabilityZoneID][]epochWrite{},
		holders:           map[string]string{},
		outOfServiceSince: map[model.AvailabilityZoneID]time.Time{},
		lastAction:        map[model.AvailabilityZoneID]time.Time{},
	}
}

// observe receives every change of the store, unaffected by faults, until ctx ends.
func (c *invariantChecker) observe(ctx context.Context, s *memory.Store) {
	changes := s.Observe()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case change := <-changes:
				c.apply(change)
			}
		}
	}()
}

func (c *invariantChecker) apply(change store.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case change.Key == store.ConfigKey:
		c.applyConfig(change.Value)
	case strings.HasPrefix(change.Key, store.EpochsPrefix):
		zone := model.AvailabilityZoneID(strings.TrimPrefix(change.Key, store.EpochsPrefix))
		epoch, err := strconv.ParseUint(string(change.Value), 10, 64)
		records := c.epochs[zone]
		if err != nil || len(records) > 0 && records[len(records)-1].epoch >= model.Epoch(epoch) {
			c.fail(fmt.Sprintf("epoch of %s does not increase: %v, then %s", zone, records, change.Value))
		}
		c.epochs[zone] = append(records, epochWrite{model.Epoch(epoch), c.clock.Now()})
	}
}

func (c *invariantChecker) applyConfig(value []byte) {
	stored, err := config.Decode(value)
	if err != nil || stored.Version <= c.version {
		c.fail(fmt.Sprintf("configuration version %d after %d: %v", stored.Version, c.version, err))
	}
	c.version = stored.Version
	cluster, err := stored.Cluster()
	if err != nil {
		c.fail(err.Error())
		return
	}
	for _, zone := range cluster.Zones {
		_, isOut := c.outOfServiceSince[zone.ID]
		switch {
		case zone.OutOfService && !isOut:
			c.outOfServiceSince[zone.ID] = c.clock.Now()
		case !zone.OutOfService:
			delete(c.outOfServiceSince, zone.ID)
		}
	}
}

func (c *invariantChecker) recordTake(member view.Member, zone model.AvailabilityZoneID, epoch model.Epoch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkSingleHolder(member, zone, epoch)
}

// checkSingleHolder checks that no two incarnations hold the same epoch; c.mu is held.
func (c *invariantChecker) checkSingleHolder(member view.Member, zone model.AvailabilityZoneID, epoch model.Epoch) {
	key := fmt.Sprintf("%s/%d", zone, epoch)
	if other, taken := c.holders[key]; taken && other != member.Incarnation {
		c.fail(fmt.Sprintf("zone and epoch %s held by %s and by %s", key, other, member.Incarnation))
	}
	c.holders[key] = member.Incarnation
}

// recordAction checks that no host acts under an epoch later than MaxConfirmationAge after
// a higher one was written. Until then the workers refuse the lower epoch.
func (c *invariantChecker) recordAction(member view.Member, zone model.AvailabilityZoneID, epoch model.Epoch, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkSingleHolder(member, zone, epoch)
	for _, record := range c.epochs[zone] {
		if record.epoch > epoch && now.Sub(record.writtenAt) > view.MaxConfirmationAge {
			c.fail(fmt.Sprintf("%s acts for %s under epoch %d, %s after epoch %d",
				member.Incarnation, zone, epoch, now.Sub(record.writtenAt), record.epoch))
		}
	}
	if last, acted := c.lastAction[zone]; acted {
		c.maxGap = max(c.maxGap, now.Sub(last))
	}
	c.lastAction[zone] = now
}

// recordTaskStart checks that no task start is allowed, at the time now, later than
// MaxConfirmationAge after the zone was taken out of service.
func (c *invariantChecker) recordTaskStart(member view.Member, zone model.AvailabilityZoneID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taskStarts++
	since, isOut := c.outOfServiceSince[zone]
	if late := now.Sub(since); isOut && late > view.MaxConfirmationAge {
		c.fail(fmt.Sprintf("%s starts a task in %s, %s after it was taken out of service", member.Incarnation, zone, late))
	}
}

// resetGap starts a new measurement of the longest gap between actions.
func (c *invariantChecker) resetGap() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxGap = 0
}

func (c *invariantChecker) longestGap() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxGap
}

func (c *invariantChecker) taskStartCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.taskStarts
}

// fail keeps the first violation; c.mu is held.
func (c *invariantChecker) fail(violation string) {
	if c.firstViolation == "" {
		c.firstViolation = violation
	}
}

// violation returns the first violation, or "".
func (c *invariantChecker) violation() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstViolation
}
