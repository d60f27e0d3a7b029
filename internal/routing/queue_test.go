package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
)

func waiter(organisation string, weight, deadline int) *Waiter {
	return &Waiter{
		Organisation: model.OrganisationID(organisation),
		Weight:       weight,
		Deadline:     testStart.Add(time.Duration(deadline) * time.Second),
	}
}

func TestQueueServesByShareThenDeadline(t *testing.T) {
	q := NewQueue(100)
	for i := range 30 {
		q.Push(waiter("large", 1, 30-i))
		q.Push(waiter("small", 2, i))
	}
	served := map[model.OrganisationID]int{}
	var last *Waiter
	for range 30 {
		w := q.Pop()
		served[w.Organisation]++
		if w.Organisation == "large" {
			require.True(t, last == nil || !w.Deadline.Before(last.Deadline))
			last = w
		}
	}
	require.InDelta(t, 20, served["small"], 1)
	require.InDelta(t, 10, served["large"], 1)
}

// TestFullQueueDropsFromTheOrganisationAboveItsShare fills the queue with the requests of
// one organisation, which then loses one to another organisation's request.
func TestFullQueueDropsFromTheOrganisationAboveItsShare(t *testing.T) {
	q := NewQueue(10)
	for i := range 20 {
		if dropped := q.Push(waiter("flood", 1, i)); dropped != nil {
			require.Equal(t, i, int(dropped.Deadline.Sub(testStart).Seconds()))
		}
	}
	dropped := q.Push(waiter("quiet", 1, 100))
	require.Equal(t, model.OrganisationID("flood"), dropped.Organisation)
	require.Equal(t, 10, q.Len())
}

func TestQueueRemoveAndUnpop(t *testing.T) {
	q := NewQueue(10)
	first, second := waiter("o", 1, 1), waiter("o", 1, 2)
	q.Push(second)
	q.Push(first)
	require.Same(t, first, q.Pop())
	q.Unpop(first)
	require.True(t, q.Remove(second))
	require.False(t, q.Remove(second))
	require.Same(t, first, q.Pop())
	require.Nil(t, q.Pop())
}
