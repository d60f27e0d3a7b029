package main

import "time"

// scenario is a load on a set of entry hosts and executors.
type scenario struct {
	name      string
	hosts     int
	executors int
	slots     int
	// load is the offered load as a fraction of the capacity of all slots.
	load float64
	// hotShare is the fraction of the requests that arrive at the first host; the others
	// share the rest equally.
	hotShare float64
	// leavingShare is the fraction of the executors that stop halfway through the
	// simulation. The hosts learn of it listLag later.
	leavingShare float64
	// slowExecutors is the number of executors whose service times are slowdownFactor
	// times as long.
	slowExecutors int
}

// Parameters of all scenarios.
const (
	duration         = 10 * time.Second
	meanServiceTime  = 20 * time.Millisecond
	networkDelay     = 500 * time.Microsecond
	deadline         = time.Second
	queueLimit       = 2000
	listLag          = 2 * time.Second
	slowdownFactor   = 10
	maxAttempts      = 4
	dispatchInterval = 20 * time.Millisecond
)

func scenarios() []scenario {
	base := scenario{hosts: 6, executors: 50, slots: 8, load: 0.7, hotShare: 1.0 / 6}
	even, hot, leaving, slow, few, full, many := base, base, base, base, base, base, base
	even.name = "even"
	hot.name, hot.hotShare = "one_hot_host", 0.6
	leaving.name, leaving.load, leaving.leavingShare = "executors_leave", 0.5, 0.3
	slow.name, slow.load, slow.slowExecutors = "slow_executors", 0.6, 3
	few.name, few.executors = "fewer_executors_than_hosts", 3
	full.name, full.load, full.hotShare = "overload_and_hot_host", 1.1, 0.6
	many.name, many.hosts, many.hotShare = "many_hosts", 25, 0.04
	return []scenario{even, hot, leaving, slow, few, full, many}
}
