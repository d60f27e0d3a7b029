package evidence_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/pool/evidence"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against an observation that counts as the end of a worker's runs although they may live:
// what is missing, announced, refused or silent proves nothing before the lease has run out.
func TestAllRunsHaveEndedOnlyByProof(t *testing.T) {
	for name, test := range map[string]struct {
		observe func(w *evidence.Worker)
		want    evidence.Proof
	}{
		"nothing":                       {func(*evidence.Worker) {}, evidence.None},
		"entry missing":                 {func(w *evidence.Worker) { w.Listed = false }, evidence.None},
		"draining":                      {func(w *evidence.Worker) { w.Draining, w.LeavesAt = true, at(5) }, evidence.None},
		"draining, minimum time over":   {func(w *evidence.Worker) { w.Draining, w.LeavesAt = true, at(-5) }, evidence.None},
		"call failed":                   {func(w *evidence.Worker) { w.CallFailed(at(-5)) }, evidence.None},
		"everything of that at once":    {func(w *evidence.Worker) { w.Draining, w.LeavesAt = true, at(-5); w.CallFailed(at(-5)) }, evidence.None},
		"no lease known":                {func(w *evidence.Worker) { *w = evidence.Worker{}; w.CallFailed(at(-60)) }, evidence.None},
		"lease just running out":        {func(w *evidence.Worker) { w.MayHaveLeaseUntil(at(10)) }, evidence.None},
		"shorter lease":                 {func(w *evidence.Worker) { w.MayHaveLeaseUntil(at(-1)) }, evidence.None},
		"restarted, may have new lease": {func(w *evidence.Worker) { w.Restarted(2, at(10)) }, evidence.None},
		"restarted, lease run out":      {func(w *evidence.Worker) { w.Restarted(2, at(-1)) }, evidence.LeaseExpired},
		"replaced":                      {func(w *evidence.Worker) { w.OtherIncarnationAnswered() }, evidence.Replaced},
		"replaced, then answered":       {func(w *evidence.Worker) { w.OtherIncarnationAnswered(); w.Answered(at(0)) }, evidence.None},
		"replaced, then restarted":      {func(w *evidence.Worker) { w.OtherIncarnationAnswered(); w.Restarted(2, at(10)) }, evidence.None},
		"machine taken down":            {func(w *evidence.Worker) { w.MachineTakenDown() }, evidence.UpkeepBegun},
		"machine down, then answered":   {func(w *evidence.Worker) { w.MachineTakenDown(); w.Answered(at(0)) }, evidence.None},
	} {
		t.Run(name, func(t *testing.T) {
			w := evidence.Worker{Incarnation: 1, Listed: true}
			w.Answered(at(-6))
			w.MayHaveLeaseUntil(at(0))
			test.observe(&w)
			require.Equal(t, test.want, w.AllEnded(at(0)))
		})
	}
}

func TestLeaseThatHasRunOutEndsAllRuns(t *testing.T) {
	var w evidence.Worker
	w.MayHaveLeaseUntil(at(2))
	w.MayHaveLeaseUntil(at(1))
	until, known := w.LeaseUntil()
	require.True(t, known)
	require.Equal(t, at(2), until)
	require.Equal(t, evidence.None, w.AllEnded(at(2)))
	require.Equal(t, evidence.LeaseExpired, w.AllEnded(at(2.001)))
}

func TestFirstFailedCallAfterAResponseIsToldFromFurtherOnes(t *testing.T) {
	var w evidence.Worker
	require.True(t, w.CallFailed(at(0)))
	require.False(t, w.CallFailed(at(1)))
	require.Equal(t, at(0), w.SilentSince)
	w.Answered(at(2))
	require.True(t, w.SilentSince.IsZero())
	require.True(t, w.CallFailed(at(3)))
}

// Guards against a run that counts as ended because a response doesn't list it, although the
// response may be older than the run, or not complete.
func TestRunMissingInAResponse(t *testing.T) {
	for name, test := range map[string]struct {
		run      evidence.Run
		response evidence.Inventory
		want     evidence.Proof
	}{
		"confirmed before the request":         {evidence.Run{ConfirmedAt: at(1)}, evidence.Inventory{RequestedAt: at(2)}, evidence.NotListed},
		"confirmed after the request":          {evidence.Run{ConfirmedAt: at(2)}, evidence.Inventory{RequestedAt: at(1)}, evidence.None},
		"confirmed, full list":                 {evidence.Run{ConfirmedAt: at(1)}, evidence.Inventory{RequestedAt: at(2), Full: true}, evidence.None},
		"recorded by an earlier owner":         {evidence.Run{Recorded: true}, evidence.Inventory{RequestedAt: at(2)}, evidence.NotListed},
		"recorded, full list":                  {evidence.Run{Recorded: true}, evidence.Inventory{RequestedAt: at(2), Full: true}, evidence.None},
		"start without response, may yet come": {evidence.Run{StartsSent: 1, StartSentAt: at(1), StartExpiresMS: 5000}, evidence.Inventory{RequestedAt: at(2), ClockMS: 5000}, evidence.None},
		"start without response, has expired":  {evidence.Run{StartsSent: 1, StartSentAt: at(1), StartExpiresMS: 5000}, evidence.Inventory{RequestedAt: at(2), ClockMS: 5001}, evidence.NotListed},
		"start sent after the request":         {evidence.Run{StartsSent: 1, StartSentAt: at(3), StartExpiresMS: 5000}, evidence.Inventory{RequestedAt: at(2), ClockMS: 5001}, evidence.None},
		"start pending":                        {evidence.Run{StartsSent: 1, StartPending: true, StartSentAt: at(1), StartExpiresMS: 5000}, evidence.Inventory{RequestedAt: at(2), ClockMS: 5001}, evidence.None},
		"start pending, stop confirmed":        {evidence.Run{StartsSent: 2, StartPending: true, StopConfirmedAt: at(1)}, evidence.Inventory{RequestedAt: at(2), ClockMS: 1}, evidence.None},
		"stop confirmed before the request":    {evidence.Run{StartsSent: 1, StartSentAt: at(0), StartExpiresMS: 5000, StopConfirmedAt: at(1)}, evidence.Inventory{RequestedAt: at(2), ClockMS: 1}, evidence.NotListed},
		"stop confirmed after the request":     {evidence.Run{StartsSent: 1, StartSentAt: at(0), StartExpiresMS: 5000, StopConfirmedAt: at(3)}, evidence.Inventory{RequestedAt: at(2), ClockMS: 1}, evidence.None},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, test.want, test.run.Missing(test.response)) })
	}
}

// Guards against a refused start that counts as the end of a run of which an earlier order may
// have been, or may yet be, carried out.
func TestRefusedStartProvesNothingAfterAnEarlierOne(t *testing.T) {
	require.Equal(t, evidence.StartRefused, evidence.Run{StartsSent: 1}.Refused())
	require.Equal(t, evidence.None, evidence.Run{StartsSent: 2}.Refused())
	require.Equal(t, evidence.NotSent, evidence.Run{}.Unsent())
	require.Equal(t, evidence.None, evidence.Run{StartsSent: 1}.Unsent())
}
