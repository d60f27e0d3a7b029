package pool_test

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
)

// keepEvents makes the owners from now on keep their latest events.
func (sim *simulation) keepEvents() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	sim.timeline = event.NewRecorder("owner", sim.clock, log, 256)
}

// eventsOf returns the kept events of one kind, oldest first.
func (sim *simulation) eventsOf(number event.Number) []event.Event {
	return slices.DeleteFunc(sim.timeline.Read(event.Filter{}), func(e event.Event) bool { return e.Number != number })
}

// Guards against a log that doesn't show on what the owner rests when it concludes that a run has
// ended: after a double run, the state of the worker and of its lease could only be computed.
func TestConcludedEndIsLoggedWithTheStateOfTheWorker(t *testing.T) {
	sim := newSimulation(t, 1, 1, 4)
	sim.keepEvents()
	sim.after(0, sim.tick)
	sim.takeOver()
	_, f := sim.submitToOneWorker(step(1, 8, 9*time.Second))
	sim.unreachable[f.info.ID] = true
	require.True(t, sim.runUntil(10*time.Second, func() bool { return len(sim.eventsOf(event.TaskEnded)) > 0 }))

	fields := sim.eventsOf(event.TaskEnded)[0].Fields
	require.Equal(t, "lease_lapsed", fields["why"])
	require.Equal(t, true, fields["listed"])
	require.Equal(t, false, fields["draining"])
	require.LessOrEqual(t, fields["lease_left_ms"], int64(0))
	require.GreaterOrEqual(t, fields["silent_ms"], int64(0))
}
