package ownership_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
)

// printMeasurement prints one measured value as a JSON object; show all of them with
// `go test -v -run TestFigures`.
func printMeasurement(t *testing.T, scenario, metric string, value float64, unit string) {
	line, err := json.Marshal(map[string]any{"scenario": scenario, "metric": metric, "value": value, "unit": unit})
	require.NoError(t, err)
	fmt.Println(string(line))
}

// callsByKind sums the store calls of all hosts.
func (c *cluster) callsByKind() map[string]float64 {
	calls := map[string]float64{}
	for _, h := range c.hosts {
		families, err := h.storeCalls.Gather()
		require.NoError(c.t, err)
		for _, family := range families {
			if family.GetName() != "chervil_store_calls_total" {
				continue
			}
			for _, metric := range family.GetMetric() {
				calls[metric.GetLabel()[0].GetValue()] += metric.GetCounter().GetValue()
			}
		}
	}
	return calls
}

// callsPerSecond measures the rate of store calls in the steady state, by kind and in
// total.
func (c *cluster) callsPerSecond() map[string]float64 {
	const period = 300 * time.Second
	before := c.callsByKind()
	c.clock.Sleep(period)
	rates := map[string]float64{}
	for kind, count := range c.callsByKind() {
		rates[kind] = (count - before[kind]) / period.Seconds()
		rates["sum"] += rates[kind]
	}
	return rates
}

// TestFiguresStoreCalls measures the rate of store calls in the steady state for several
// numbers of hosts, and checks that the rate per host does not depend on the number of
// workers.
func TestFiguresStoreCalls(t *testing.T) {
	maxPerHost := 0.0
	for _, count := range []int{3, 6, 9, 18} {
		runInCluster(t, count, func(c *cluster) {
			c.actInterval.Store(int64(time.Second))
			rates := c.callsPerSecond()
			for kind, rate := range rates {
				printMeasurement(t, fmt.Sprintf("rest_%d_hosts", count), "store_calls_per_second_"+kind, rate, "1/s")
			}
			maxPerHost = max(maxPerHost, rates["sum"]/float64(count))
			require.Less(t, rates["sum"]/float64(count), 2.0)
		})
	}
	runInCluster(t, 9, func(c *cluster) {
		c.actInterval.Store(int64(time.Second))
		workers := make([]model.Worker, 1500)
		for i := range workers {
			workers[i] = model.Worker{ID: model.WorkerID(fmt.Sprint("w", i)), Zone: "fukuoka"}
		}
		c.mu.Lock()
		c.hostList.Workers = workers
		c.mu.Unlock()
		c.clock.Sleep(10 * time.Second)
		rates := c.callsPerSecond()
		printMeasurement(t, "rest_9_hosts_1500_workers", "store_calls_per_second_sum", rates["sum"], "1/s")
		require.LessOrEqual(t, rates["sum"]/9, maxPerHost+0.01)
	})
}

// maxGapAfter measures the longest time without an acting owner after injectFault, over
// several trials at random times within the owner's lease.
func maxGapAfter(t *testing.T, injectFault func(c *cluster, h *host)) time.Duration {
	const trials = 20
	random := rand.New(rand.NewPCG(1, 1))
	var longest time.Duration
	for range trials {
		phase := time.Duration(random.Int64N(int64(leaseTTL)))
		runInCluster(t, 3, func(c *cluster) {
			c.actInterval.Store(int64(5 * time.Millisecond))
			c.clock.Sleep(phase)
			c.invariants.resetGap()
			injectFault(c, c.ownerOf("fukuoka"))
			c.clock.Sleep(15 * time.Second)
			longest = max(longest, c.invariants.longestGap())
		})
	}
	return longest
}

// TestFiguresGaps measures the longest time without an acting owner after the owner is
// killed, paused or drained.
func TestFiguresGaps(t *testing.T) {
	killed := maxGapAfter(t, func(_ *cluster, h *host) { h.kill() })
	printMeasurement(t, "owner_killed", "longest_time_without_owner", killed.Seconds(), "s")
	require.Less(t, killed, leaseTTL+500*time.Millisecond)
	paused := maxGapAfter(t, func(_ *cluster, h *host) { h.pauser.pause() })
	printMeasurement(t, "owner_paused", "longest_time_without_owner", paused.Seconds(), "s")
	require.Less(t, paused, leaseTTL+500*time.Millisecond)
	handedOver := maxGapAfter(t, func(c *cluster, h *host) {
		ctx, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
		defer cancel()
		require.NoError(c.t, h.elector.Drain(ctx))
	})
	printMeasurement(t, "planned_hand_over", "longest_time_without_owner", handedOver.Seconds(), "s")
	require.Less(t, handedOver, 200*time.Millisecond)
}

// TestFiguresConfiguration measures the time from an accepted configuration change until
// every host applies it.
func TestFiguresConfiguration(t *testing.T) {
	faults := map[string]func(c *cluster){
		"change":               func(*cluster) {},
		"change_watches_break": func(c *cluster) { c.store.BreakWatches() },
		"change_compaction":    func(c *cluster) { c.store.Compact() },
		"change_store_slow":    func(c *cluster) { c.store.SetFaults(memory.Faults{Delay: time.Second, ResponseDelay: time.Second}) },
	}
	for _, name := range []string{"change", "change_watches_break", "change_compaction", "change_store_slow"} {
		runInCluster(t, 9, func(c *cluster) {
			c.actInterval.Store(int64(time.Second))
			var longest time.Duration
			for i := range 30 {
				faults[name](c)
				c.clock.Sleep(time.Duration(i) * 37 * time.Millisecond)
				require.NoError(t, c.configure(nil, threeZones, threeZones[i%3]))
				longest = max(longest, c.eventually(7*time.Second, "every host has the change", c.allAtLastVersion))
			}
			printMeasurement(t, name, "longest_time_to_force_everywhere", longest.Seconds(), "s")
		})
	}
}

func (c *cluster) allAtLastVersion() bool {
	c.invariants.mu.Lock()
	version := c.invariants.version
	c.invariants.mu.Unlock()
	for _, h := range c.hosts {
		if h.client.Current().Config.Version != version {
			return false
		}
	}
	return true
}

// TestFiguresOutage measures how many tasks owners start during a store outage of ten
// minutes, from its very start, relative to the same time without one.
func TestFiguresOutage(t *testing.T) {
	runInCluster(t, 6, func(c *cluster) {
		const period = 10 * time.Minute
		before := c.invariants.taskStartCount()
		c.clock.Sleep(period)
		normalStarts := c.invariants.taskStartCount() - before
		c.store.SetFaults(memory.Faults{Down: true})
		before = c.invariants.taskStartCount()
		c.clock.Sleep(period)
		outageStarts := c.invariants.taskStartCount() - before
		printMeasurement(t, "outage_10_min", "starts_against_none", float64(outageStarts)/float64(normalStarts), "1")
		require.Greater(t, float64(outageStarts)/float64(normalStarts), 0.98)
	})
}

// TestFiguresOptimistic measures the alternative design that was rejected, optimistic
// concurrency: every host places tasks, and conflicting starts fail at the
// compare-and-swap of the zone's record.
func TestFiguresOptimistic(t *testing.T) {
	const starts = 200
	for _, hosts := range []int{1, 3, 6, 9} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			c.store.SetFaults(memory.Faults{Delay: time.Millisecond, ResponseDelay: time.Millisecond})
			start := c.clock.Now()
			pending := make(chan int, starts)
			calls := make(chan int, starts)
			for i := range starts {
				pending <- i
			}
			close(pending)
			for i := range hosts {
				random := rand.New(rand.NewPCG(1, uint64(i)))
				go func() {
					for range pending {
						calls <- c.startOptimistically(random)
					}
				}()
			}
			sum := 0
			for range starts {
				sum += <-calls
			}
			scenario := fmt.Sprintf("optimistic_%d_hosts", hosts)
			printMeasurement(t, scenario, "store_calls_per_start", float64(sum)/starts, "1")
			printMeasurement(t, scenario, "time_for_200_starts", c.clock.Since(start).Seconds(), "s")
		})
	}
}

// startOptimistically reads and updates the zone's record until the compare-and-swap
// succeeds, and returns the number of store calls.
func (c *cluster) startOptimistically(random *rand.Rand) int {
	key := store.ZoneJobsPrefix("fukuoka")
	for calls := 2; ; calls += 2 {
		page, err := c.store.Range(c.t.Context(), key, key+"\x00", 1)
		require.NoError(c.t, err)
		condition := store.Absent(key)
		if len(page.KeyValues) > 0 {
			condition.ModRevision = page.KeyValues[0].ModRevision
		}
		// The decision takes up to a millisecond.
		c.clock.Sleep(time.Duration(random.Int64N(int64(time.Millisecond))))
		result, err := c.store.Txn(c.t.Context(), store.Txn{
			If:   []store.Compare{condition},
			Then: []store.Op{{Put: &store.Put{Key: key, Value: []byte(strconv.Itoa(calls))}}},
		})
		require.NoError(c.t, err)
		if result.Succeeded {
			return calls
		}
	}
}
