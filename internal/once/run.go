package once

import (
	"context"
	"time"

	"github.com/chervilrun/chervilrun/internal/store"
)

// maxBurstCalls is the number of store calls permitted back to back after an idle
// period, so that a single request does not wait between its two writes.
const maxBurstCalls = 4

// Run commits the queued writes in groups until ctx ends. It limits the average rate to
// one store call per Interval, whatever the rate of requests.
func (r *Recorder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for {
			group := r.nextGroup()
			if len(group) == 0 {
				break
			}
			calls := r.commitGroup(ctx, group)
			select {
			case <-ctx.Done():
				return
			case <-r.options.Clock.After(r.rateLimitDelay(calls)):
			}
		}
	}
}

// rateLimitDelay counts calls against the rate limit and returns the time to wait before
// the next group.
func (r *Recorder) rateLimitDelay(calls int) time.Duration {
	now := r.options.Clock.Now()
	if r.nextCallDue.Before(now) {
		r.nextCallDue = now
	}
	r.nextCallDue = r.nextCallDue.Add(time.Duration(calls) * r.options.Interval)
	return max(r.nextCallDue.Sub(now)-maxBurstCalls*r.options.Interval, 0)
}

// nextGroup removes the next group from the queue: writes to different keys that fit
// into one transaction.
func (r *Recorder) nextGroup() []*write {
	r.mu.Lock()
	defer r.mu.Unlock()
	var group, remaining []*write
	keys := map[string]bool{}
	size := 0
	for _, w := range r.queue {
		full := len(group) >= maxGroupWrites || (len(group) > 0 && size+len(w.value) > maxGroupBytes)
		if full || keys[w.key] {
			remaining = append(remaining, w)
			continue
		}
		keys[w.key] = true
		size += len(w.value)
		group = append(group, w)
	}
	r.queue = remaining
	return group
}

func (r *Recorder) commitGroup(ctx context.Context, group []*write) int {
	lease, calls, err := r.currentLease(ctx)
	if err != nil {
		failUnsettled(group, err)
	} else {
		calls += commit(ctx, r.options.Store, group, lease)
	}
	r.mu.Lock()
	r.storeCalls += int64(calls)
	r.mu.Unlock()
	for _, w := range group {
		w.onSettled(w.result)
	}
	return calls
}

// currentLease returns the lease with which records expire, and the number of store
// calls made. A new lease is granted every leaseRotationInterval, so that each record is
// kept for at least Retention.
func (r *Recorder) currentLease(ctx context.Context) (store.LeaseID, int, error) {
	now := r.options.Clock.Now()
	if r.lease != 0 && now.Sub(r.leaseGrantedAt) < leaseRotationInterval {
		return r.lease, 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := r.options.Store.Grant(ctx, r.options.Retention+leaseRotationInterval)
	if err != nil {
		return 0, 1, err
	}
	r.lease, r.leaseGrantedAt = lease, now
	return lease, 1, nil
}
