package problem_test

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/problem"
)

func TestOutcomeSurvivesTheWire(t *testing.T) {
	type extended struct {
		problem.Document
		Version int `json:"version"`
	}
	o := outcome.NotRunBecause(outcome.ReasonConflict, "version is %d", 4)
	recorder := httptest.NewRecorder()
	problem.WriteDocument(recorder, 412, extended{Document: problem.New(o), Version: 4})
	var got extended
	require.NoError(t, problem.Read(recorder.Result(), &got))
	require.Equal(t, o, got.Result())
	require.Equal(t, 4, got.Version)
	require.Equal(t, 412, recorder.Code)
}

func TestReadRefusesOtherAnswers(t *testing.T) {
	var got problem.Document
	recorder := httptest.NewRecorder()
	_, _ = recorder.WriteString("<html>")
	require.Error(t, problem.Read(recorder.Result(), &got))
}

func TestStatus(t *testing.T) {
	require.Equal(t, 200, problem.StatusFor(outcome.Ok()))
	require.Equal(t, 202, problem.StatusFor(outcome.Outcome{Kind: outcome.Accepted}))
	require.Equal(t, 502, problem.StatusFor(outcome.UnknownBecause(outcome.ReasonAnswerLost, "")))
	require.Equal(t, 504, problem.StatusFor(outcome.UnknownBecause(outcome.ReasonDeadline, "")))
	require.Equal(t, 401, problem.StatusFor(outcome.NotRunBecause(outcome.ReasonUnauthenticated, "")))
	require.Equal(t, 500, problem.StatusFor(outcome.NotRunBecause("unlisted reason", "")))
}
