package zone_test

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
)

// TestMemoryAboveDeclared runs jobs that declare too little memory. A task that obeys
// throttling runs to its end; one that ignores it is stopped and gets more memory in the
// next attempt.
func TestMemoryAboveDeclared(t *testing.T) {
	for payload, attempts := range map[string]int{
		`{"run_ms":30000,"use_memory_mb":60000}`:                        1,
		`{"run_ms":30000,"use_memory_mb":60000,"ignore_throttle":true}`: 2,
	} {
		c := newTestCluster(t, 13, 4)
		c.run(time.Second)
		s := spec("hungry", 2, 0)
		s.Payload = []byte(payload)
		c.submitTo(c.zones[0], s)
		c.requireDone(t, "hungry")
		record, _ := c.record("hungry")
		require.Equal(t, attempts, record.Attempts, payload)
		c.requireInvariants()
	}
}

// TestEventsExplainWhyAJobWaits checks that the events of a waiting job give the reason.
func TestEventsExplainWhyAJobWaits(t *testing.T) {
	c := newTestCluster(t, 14, 1)
	z := c.zones[0]
	c.run(time.Second)
	c.submitTo(z, spec("first", 2, 20*time.Second))
	c.submitTo(z, spec("second", 2, time.Second))
	c.run(5 * time.Second)
	var reasons []string
	for _, e := range z.owner.events.Read(event.Filter{Subject: event.Subject{Job: "second"}}) {
		if e.Number == event.JobDeferred {
			reasons = append(reasons, e.Detail)
		}
	}
	require.NotEmpty(t, reasons)
	require.NotEmpty(t, reasons[0])
	t.Log(reasons)
}

// TestPlannedHandOver hands a zone over while gangs run and a job waits. The next owner
// takes over after 15 s, longer than RunLease; no gang may be stopped.
func TestPlannedHandOver(t *testing.T) {
	c := newTestCluster(t, 15, 4)
	z := c.zones[0]
	c.run(time.Second)
	c.submitTo(z, spec("long", 4, 60*time.Second))
	c.submitTo(z, nonRepeatable("single", 4, 60*time.Second))
	c.submitTo(z, spec("waiting", 2, time.Second))
	require.True(t, c.runUntil(5*time.Second, c.allRunning("single", 4)))
	c.run(50 * time.Millisecond)
	previous := z.owner
	previous.execute(func() { previous.runner.BeginRelease(c.now()) })
	require.True(t, c.runUntil(5*time.Second, previous.runner.Released))
	previous.dead = true
	c.run(15 * time.Second)
	c.takeZone(z)
	c.requireDone(t, "long", "single", "waiting")
	require.Equal(t, 10, c.pool.Audit().Starts)
	c.requireInvariants()
}

// Guards against a gang that keeps its short lease when it is confirmed during a planned handover: the
// exchange that should have extended its lease was sent before, and no other one was waited for.
func TestGangConfirmedDuringAHandOverIsNotCut(t *testing.T) {
	for delay := time.Duration(0); delay <= 150*time.Millisecond; delay += 5 * time.Millisecond {
		c := newTestCluster(t, 15, 4)
		z := c.zones[0]
		c.run(time.Second)
		c.submitTo(z, nonRepeatable("single", 4, 60*time.Second))
		require.True(t, c.runUntil(5*time.Second, c.allRunning("single", 4)))
		c.run(delay)
		previous := z.owner
		previous.execute(func() { previous.runner.BeginRelease(c.now()) })
		require.True(t, c.runUntil(5*time.Second, previous.runner.Released))
		previous.dead = true
		c.run(15 * time.Second)
		c.takeZone(z)
		c.requireDone(t, "single")
		c.requireInvariants()
	}
}

// TestResumesFromTheLastCheckpoint restarts a worker after a checkpoint round, replaces the
// owner after another one and restarts a worker again. The job resumes each time.
func TestResumesFromTheLastCheckpoint(t *testing.T) {
	c := newTestCluster(t, 22, 4)
	c.timing.CheckpointInterval = 10 * time.Second
	z := c.zones[0]
	c.takeZone(z)
	c.run(time.Second)
	s := spec("long", 3, 60*time.Second)
	s.Checkpoint = true
	c.submitTo(z, s)
	c.run(25 * time.Second)
	c.pool.Restart(c.workerOf("long", 0))
	c.run(15 * time.Second)
	c.kill(z)
	c.run(20 * time.Second)
	c.pool.Restart(c.workerOf("long", 0))
	c.requireDone(t, "long")
	record, _ := c.record("long")
	require.Equal(t, 3, record.Attempts)
	lastRunTime := c.lastRunTime("long")
	require.Less(t, lastRunTime, 30*time.Second, "the last attempt must resume from a checkpoint")
	c.requireInvariants()
}

// TestCostIsCounted runs a gang with 16 accelerators for 5 s and checks its accelerator time.
func TestCostIsCounted(t *testing.T) {
	c := newTestCluster(t, 41, 4)
	z := c.zones[0]
	c.run(time.Second)
	c.submitTo(z, spec("a", 4, 5*time.Second))
	c.requireDone(t, "a")
	cost := testutil.ToFloat64(z.owner.runner.Metrics.AcceleratorSeconds.WithLabelValues("chikushi"))
	require.Greater(t, cost, 16*5.0)
	require.Less(t, cost, 16*9.0, "the end must be reported within 4 s")
}
