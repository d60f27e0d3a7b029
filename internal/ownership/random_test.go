package ownership_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilrun/chervilrun/internal/model"
	_ "github.com/chervilrun/chervilrun/internal/rapidseed"
	"github.com/chervilrun/chervilrun/internal/store/memory"
)

// fault is one step of a randomised run; Kind is one of faultKinds.
type fault struct {
	Kind string
	// Host and Other are indices of hosts, Zone is an index into threeZones.
	Host, Other, Zone int
	// Wait is the time until the next step, in milliseconds.
	Wait int
}

const randomHosts = 4

// faultKinds lists the kinds of fault; "quiet" injects none.
var faultKinds = []string{
	"store_down", "store_slow", "store_lose_answers", "store_up", "watches_break", "compact",
	"host_store_down", "host_store_slow", "host_store_lose_answers", "host_store_up",
	"pause", "continue", "cut", "mend", "kill", "drain", "replace",
	"zone_out", "zone_in", "race", "quiet",
}

func drawFaults(t *rapid.T) []fault {
	generator := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind:  rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			Host:  rapid.IntRange(0, randomHosts-1).Draw(t, "host"),
			Other: rapid.IntRange(0, randomHosts-1).Draw(t, "other"),
			Zone:  rapid.IntRange(0, len(threeZones)-1).Draw(t, "zone"),
			Wait:  rapid.SampledFrom([]int{0, 10, 500, 2000, 4000, 8000, 30000}).Draw(t, "wait"),
		}
	})
	return rapid.SliceOfN(generator, 1, 30).Draw(t, "faults")
}

// randomRun injects a sequence of faults into a cluster.
type randomRun struct {
	*cluster
	// hostsByIndex holds the current host of each index; nextHost is the number of the next
	// replacement.
	hostsByIndex [randomHosts]model.HostID
	nextHost     int
}

// TestRandomFaults injects random sequences of faults, which may overlap and repeat. The
// invariants are checked throughout; after all faults have been cleared, every zone must
// have an owner and every host the latest configuration.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt)
		var violation string
		synctest.Test(t, func(t *testing.T) {
			r := &randomRun{cluster: newCluster(t), nextHost: randomHosts}
			defer r.stopAll()
			violation = r.run(faults)
		})
		if violation != "" {
			rt.Fatalf("%s after %+v", violation, faults)
		}
	})
}

func (r *randomRun) run(faults []fault) string {
	if err := r.configure(nil, threeZones); err != nil {
		return err.Error()
	}
	for i := range r.hostsByIndex {
		r.hostsByIndex[i] = hostID(i)
		r.start(hostID(i), hostID((i+1)%randomHosts))
	}
	r.clock.Sleep(10 * time.Second)
	for _, f := range faults {
		r.inject(f)
		r.clock.Sleep(time.Duration(f.Wait) * time.Millisecond)
		if violation := r.invariants.violation(); violation != "" {
			return violation
		}
	}
	return r.recoverAll()
}

func (r *randomRun) inject(f fault) {
	h := r.hosts[r.hostsByIndex[f.Host]]
	switch f.Kind {
	case "store_down":
		r.store.SetFaults(memory.Faults{Down: true})
	case "store_slow":
		r.store.SetFaults(memory.Faults{Delay: 700 * time.Millisecond, ResponseDelay: 800 * time.Millisecond})
	case "store_lose_answers":
		r.store.SetFaults(memory.Faults{LoseResponses: 5})
	case "store_up":
		r.store.SetFaults(memory.Faults{})
	case "watches_break":
		r.store.BreakWatches()
	case "compact":
		r.store.Compact()
	case "host_store_down":
		h.store.SetFaults(memory.Faults{Down: true})
	case "host_store_slow":
		h.store.SetFaults(memory.Faults{Delay: time.Second, ResponseDelay: time.Second})
	case "host_store_lose_answers":
		h.store.SetFaults(memory.Faults{LoseResponses: memory.AllResponses})
	case "host_store_up":
		h.store.SetFaults(memory.Faults{})
	case "pause":
		h.pauser.pause()
	case "continue":
		h.pauser.resume()
	case "cut", "mend":
		r.setPartitioned(h.id, r.hostsByIndex[f.Other], f.Kind == "cut")
	default:
		r.injectOperation(f, h)
	}
}

func (r *randomRun) injectOperation(f fault, h *host) {
	switch f.Kind {
	case "kill":
		h.kill()
		r.start(h.id, r.seeds(f.Host)...)
	case "drain":
		ctx, cancel := context.WithTimeout(r.t.Context(), 2*time.Second)
		defer cancel()
		// The drain may fail under the faults; the host is stopped anyway.
		_ = h.elector.Drain(ctx)
		h.kill()
		r.start(h.id, r.seeds(f.Host)...)
	case "replace":
		h.kill()
		r.hostsByIndex[f.Host] = hostID(r.nextHost)
		r.nextHost++
		r.start(r.hostsByIndex[f.Host], r.seeds(f.Host)...)
	case "zone_out":
		go r.change(h, threeZones[f.Zone])
	case "zone_in":
		go r.change(h)
	case "race":
		go r.change(h, threeZones[f.Zone])
		go r.change(r.hosts[r.hostsByIndex[f.Other]])
	}
}

func (r *randomRun) seeds(exclude int) []model.HostID {
	var seeds []model.HostID
	for i, id := range r.hostsByIndex {
		if i != exclude {
			seeds = append(seeds, id)
		}
	}
	return seeds
}

// change writes a configuration through a host; it may fail under the faults.
func (r *randomRun) change(h *host, outOfService ...model.AvailabilityZoneID) {
	_ = r.configure(h, threeZones, outOfService...)
}

// recoverAll clears all faults and waits until every zone has an owner and all hosts are
// up to date. It returns a description of a failure or violation, or "".
func (r *randomRun) recoverAll() string {
	r.store.SetFaults(memory.Faults{})
	for _, h := range r.hosts {
		h.store.SetFaults(memory.Faults{})
		h.pauser.resume()
	}
	r.mu.Lock()
	clear(r.partitioned)
	r.mu.Unlock()
	const limit = time.Minute
	start := r.clock.Now()
	for !r.allOwned() || !r.upToDate() {
		if r.clock.Since(start) > limit {
			return fmt.Sprintf("not recovered: owners %v, up to date: %v", r.owners(), r.upToDate())
		}
		r.clock.Sleep(100 * time.Millisecond)
	}
	return r.invariants.violation()
}

// upToDate reports whether every host has the latest configuration and may start tasks
// under it.
func (r *randomRun) upToDate() bool {
	r.invariants.mu.Lock()
	version := r.invariants.version
	r.invariants.mu.Unlock()
	for _, h := range r.hosts {
		if h.client.Current().Config.Version != version || !h.client.Confirmation().MayStart(r.clock.Now()) {
			return false
		}
	}
	return true
}
