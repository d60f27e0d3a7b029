package workflow_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/workflow"
)

// The crashes in a record of an earlier version are counted further.
func TestProgressOfAnEarlierVersionKeepsItsCrashes(t *testing.T) {
	p, err := workflow.DecodeProgress([]byte(`{"s":"running","p":{"0.0.0":{"r":4,"crashed":[1,3],"lone_crashes":1,"expected_crashes":0.5}}}`))
	require.NoError(t, err)
	require.Equal(t, []workflow.CrashedRun{{Run: 1, Alone: true, Expected: 0.25}, {Run: 3, Expected: 0.25}}, p.TaskGroups["0.0.0"].Crashes)
	require.NotContains(t, string(workflow.Encode(p)), "lone_crashes")
}

// Guards against an earlier version that takes a job in parts for one without progress, and starts its
// tasks again.
func TestEarlierVersionsDoNotReadAJobInParts(t *testing.T) {
	text := workflow.Encode(workflow.Progress{State: workflow.Running, EndedOccurrences: []int{0, 1, 2, 5, 7, 8}, InParts: true})
	var earlier struct {
		TaskGroups map[string]workflow.TaskGroupProgress `json:"p"`
	}
	require.Error(t, json.Unmarshal(text, &earlier))
	p, err := workflow.DecodeProgress(text)
	require.NoError(t, err)
	require.True(t, p.InParts)
	require.Equal(t, []int{0, 1, 2, 5, 7, 8}, p.EndedOccurrences)
}

// Guards against a record that outgrows the store with the occurrences of a job, of which there may be
// 100,000.
func TestEndedOccurrencesAreRecordedAsRanges(t *testing.T) {
	ended := make([]int, workflow.MaxOccurrences)
	for i := range ended {
		ended[i] = i
	}
	require.Less(t, len(workflow.Encode(workflow.Progress{State: workflow.Running, EndedOccurrences: ended, InParts: true})), 200)
}
