package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Home returns the home host of an executor, which manages the executor's slots and lends
// them to other entry hosts. It is chosen by rendezvous hashing, so that a host that
// joins or leaves changes the home only of its own executors. It is empty without hosts.
func Home(executor model.ExecutorID, hosts []model.HostID) model.HostID {
	var home model.HostID
	var highest uint64
	for _, host := range hosts {
		score := xxhash.Sum64String(string(host) + "\x00" + string(executor))
		if home == "" || score > highest || (score == highest && host < home) {
			home, highest = host, score
		}
	}
	return home
}
