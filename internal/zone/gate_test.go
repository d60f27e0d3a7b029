package zone_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/view"
	"github.com/chervilrun/chervilrun/internal/worker"
	"github.com/chervilrun/chervilrun/internal/zone"
)

// TestGate checks which calls MayCarryOut allows under which conditions.
func TestGate(t *testing.T) {
	now := time.Unix(1000, 0)
	fresh := view.Confirmation{ConfirmedAt: now.Add(-view.MaxConfirmationAge)}
	stale := view.Confirmation{ConfirmedAt: now.Add(-view.MaxConfirmationAge - time.Nanosecond)}
	outage := stale
	outage.OutageConfirmed = true
	start := zone.Call{Deadline: now.Add(time.Second), Exchange: worker.Exchange{Starts: []worker.Start{{Task: "a/0"}}}}
	renewal := zone.Call{Deadline: now.Add(time.Second)}
	late := zone.Call{Deadline: now}
	cases := []struct {
		name string
		call zone.Call
		gate zone.Gate
		want bool
	}{
		{"a start on a confirmed view", start, zone.Gate{Owned: true, Confirmation: fresh}, true},
		{"a start on a stale view", start, zone.Gate{Owned: true, Confirmation: stale}, false},
		{"a start in a confirmed outage", start, zone.Gate{Owned: true, Confirmation: outage}, true},
		{"a start without ownership", start, zone.Gate{Confirmation: fresh}, false},
		{"a renewal on a stale view", renewal, zone.Gate{Owned: true, Confirmation: stale}, true},
		{"a renewal without ownership", renewal, zone.Gate{Confirmation: fresh}, false},
		{"a call after its deadline", late, zone.Gate{Owned: true, Confirmation: fresh}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, zone.MayCarryOut(c.call, c.gate, now))
		})
	}
}
