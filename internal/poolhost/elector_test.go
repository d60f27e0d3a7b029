package poolhost

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/store"
)

// muteStore tells of each renewal and answers it when the test says so.
type muteStore struct {
	store.Store
	renewals chan chan error
}

func (m *muteStore) KeepAlive(ctx context.Context, _ store.LeaseID) error {
	answer := make(chan error, 1)
	m.renewals <- answer
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return store.ErrUnavailable
	}
}

// A renewal whose answer is lost is repeated soon, so that the ownership stays certain.
func TestRenewalWithoutAnswerIsRepeated(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	mute := &muteStore{renewals: make(chan chan error)}
	e := newElector(mute, clock, ownerValue{Host: "a", Incarnation: "a1", Weight: 1}, event.NewRecorder("a", clock, log, 8))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e.remember(1, clock.Now(), 7)
	ended := make(chan string, 1)
	go func() { ended <- e.renewUntilLost(ctx) }()

	advance := func(d time.Duration) {
		require.NoError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(d)
	}
	advance(renewInterval)
	first := <-mute.renewals
	advance(renewAgain)
	second := <-mute.renewals
	second <- nil
	require.Eventually(t, func() bool {
		since, owned := e.sinceRenewal()
		return owned && since == 0
	}, time.Minute, time.Millisecond)

	first <- store.ErrLeaseGone
	require.Equal(t, "the lease has ended", <-ended)
}
