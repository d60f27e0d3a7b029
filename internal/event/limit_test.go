package event_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
)

// A flood of one kind of event is limited to its rate, the next line counts the suppressed
// ones, and other kinds are still logged.
func TestRepeatedEventsAreLimitedAndCounted(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	clock := clockwork.NewFakeClock()
	recorder := event.NewRecorder("test", clock, log, 8)
	recorder.LimitLog(event.Limit{PerSecond: 2, Burst: 5})
	for range 20 {
		recorder.RecordFields(event.WorkerSilent, event.Subject{Worker: "w"}, event.Fields{})
	}
	recorder.RecordFields(event.JobAccepted, event.Subject{Job: "j"}, event.Fields{})
	require.Equal(t, 5, strings.Count(out.String(), "worker silent"))
	require.Equal(t, 1, strings.Count(out.String(), "job accepted"))
	require.NotContains(t, out.String(), "left_out")

	clock.Advance(time.Second)
	for range 4 {
		recorder.RecordFields(event.WorkerSilent, event.Subject{Worker: "w"}, event.Fields{})
	}
	require.Equal(t, 7, strings.Count(out.String(), "worker silent"))
	require.Equal(t, 1, strings.Count(out.String(), "left_out=15"))
}

// BenchmarkNote measures recording an event with a log line as long as that of a started
// job.
func BenchmarkNote(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	recorder := event.NewRecorder("test", clockwork.NewRealClock(), log, 256)
	recorder.LimitLog(event.Limit{PerSecond: 1e9, Burst: 1e9})
	for b.Loop() {
		recorder.RecordFields(event.JobStarting, event.Subject{Job: "2b07c2306a639cb5"}, event.Fields{
			"piece": "0.0.12", "run": 2, "workers": []string{"i-814e5feeae"}, "resumes": true, "waited_ms": 26, "fence": 2,
		})
	}
}
