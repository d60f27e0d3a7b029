package view

import (
	"io"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store/memory"
)

// TestEpochsFromPeersAreKept: a peer reports a higher epoch between the read of the store
// and the update of the view.
func TestEpochsFromPeersAreKept(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewSyncer(SyncerOptions{
		Self:    Member{Host: "host1"},
		Store:   memory.New(clock),
		Clock:   clock,
		Events:  event.NewRecorder("test", clock, log, 16),
		Metrics: prometheus.NewRegistry(),
	})
	olderState := storeState{epochs: s.Current().Epochs, owners: map[model.AvailabilityZoneID]Owner{
		"fukuoka": {Zone: "fukuoka", Host: "host2", Epoch: 1},
	}}
	s.update(func(next *View) (changed bool) {
		next.Epochs, changed = raiseEpoch(next.Epochs, "fukuoka", 2)
		return changed
	})
	s.publish(olderState)
	require.EqualValues(t, 2, s.Current().Epochs["fukuoka"])
	require.Empty(t, s.Current().Owners, "the owner of epoch 1 is outdated")
}
