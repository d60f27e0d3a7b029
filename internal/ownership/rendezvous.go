package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/view"
)

// Rank returns the hosts that may own the zone, the preferred one first, by descending
// hash of zone and host (rendezvous hashing). Draining hosts are left out. When a host
// joins or leaves, only the zones that prefer it change their preferred host.
func Rank(zone model.AvailabilityZoneID, members []view.Member) []model.HostID {
	type candidate struct {
		host  model.HostID
		score uint64
	}
	var candidates []candidate
	for _, member := range members {
		if !member.Draining {
			candidates = append(candidates, candidate{member.Host, score(zone, member.Host)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host, b.host))
	})
	hosts := make([]model.HostID, len(candidates))
	for i, c := range candidates {
		hosts[i] = c.host
	}
	return hosts
}

func score(zone model.AvailabilityZoneID, host model.HostID) uint64 {
	return xxhash.Sum64String(string(zone) + "\x00" + string(host))
}
