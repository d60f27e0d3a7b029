package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/scheduler"
)

// at adds what happens at a time, counted from the begin of the simulation.
func (s *simulation) at(at time.Duration, do func()) { s.events.Add(origin.Add(at), do) }

// preference is how much a zone suits a job.
type preference struct {
	zone     *zone
	entitled bool
	fits     bool
	free     int
	queued   int
}

// preferred orders the zones for a job by their digests, as an entry host does: zones
// that hold a guarantee for it, then zones where it fits now, then short queues.
func (s *simulation) preferred(j *job) []*zone {
	var list []preference
	for _, z := range s.zones {
		if !z.out {
			list = append(list, s.prefer(z, j))
		}
	}
	slices.SortStableFunc(list, func(a, b preference) int {
		return cmp.Or(
			compareBool(b.entitled, a.entitled),
			compareBool(b.fits, a.fits),
			cmp.Compare(a.queued, b.queued),
			cmp.Compare(b.free, a.free))
	})
	zones := make([]*zone, len(list))
	for i, p := range list {
		zones[i] = p.zone
	}
	return zones
}

func (s *simulation) prefer(z *zone, j *job) preference {
	digest := z.engine.Digest(s.now())
	return preference{
		zone:     z,
		entitled: j.class.Guaranteed && z.active[j.class] < heldIn(z, j.class),
		fits:     fits(digest, j),
		free:     digest.FreeAccelerators,
		queued:   digest.Queued,
	}
}

func fits(digest scheduler.Digest, j *job) bool {
	for _, free := range digest.FreeShapes {
		if free.Shape == j.spec.Shape {
			return free.Count > 0
		}
	}
	return digest.FreeAccelerators >= j.spec.Shape.Total().Accelerators
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
