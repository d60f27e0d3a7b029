package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/workflow"
)

// Guards against an end that is acknowledged although neither its part nor the head that stands for it
// is recorded: a write of the head from before is still in flight when the occurrence closes.
func TestEarlierWriteOfTheHeadDoesNotRecordPartsThatItStandsFor(t *testing.T) {
	o := NewOwner(1, DefaultTiming(time.Second, time.Hour), nil, time.Unix(0, 0))
	j := newJob(&workflow.Record{ID: "large", Spec: workflow.Spec{Steps: []workflow.Step{{Tasks: 300}}}})
	part := j.part(0, 0)
	ended := o.markRecordChanged(j, part)
	inFlight := o.markHeadChanged(j)
	closed := o.markHeadChanged(j)
	j.supersedeParts(func(int) bool { return true })

	j.recorded(&j.head, inFlight)
	require.Less(t, j.recordedVersion, ended)
	j.recorded(part, inFlight)
	require.Less(t, j.recordedVersion, ended)
	j.recorded(&j.head, closed)
	require.Equal(t, closed, j.recordedVersion)
	require.True(t, j.fullyRecorded())
}
