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

// manualRenewals passes each renewal to the test, which decides its response.
type manualRenewals struct {
	store.Store
	renewals chan chan error
}

func (m *manualRenewals) KeepAlive(ctx context.Context, _ store.LeaseID) error {
	response := make(chan error, 1)
	m.renewals <- response
	select {
	case err := <-response:
		return err
	case <-ctx.Done():
		return store.ErrUnavailable
	}
}

// A renewal whose response is lost is repeated before the lease becomes uncertain.
func TestRenewalWithoutAnswerIsRepeated(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	calls := &manualRenewals{renewals: make(chan chan error)}
	e := newElector(calls, clock, ownerValue{Host: "a", Incarnation: "a1", Weight: 1}, event.NewRecorder("a", clock, log, 8))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e.setLease(1, clock.Now(), 7)
	ended := make(chan string, 1)
	go func() { ended <- e.renewUntilLost(ctx) }()

	advance := func(d time.Duration) {
		require.NoError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(d)
	}
	advance(renewInterval)
	first := <-calls.renewals
	advance(renewRetryInterval)
	second := <-calls.renewals
	second <- nil
	require.Eventually(t, func() bool {
		renewalAge, owned := e.sinceRenewal()
		return owned && renewalAge == 0
	}, time.Minute, time.Millisecond)

	first <- store.ErrLeaseGone
	require.Equal(t, "the lease has expired", <-ended)
}
