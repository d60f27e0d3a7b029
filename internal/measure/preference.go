package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/scheduler"
)

// scheduleAt adds an event at a time counted from the start of the simulation.
func (s *simulation) scheduleAt(at time.Duration, do func()) { s.events.Add(origin.Add(at), do) }

// preference holds the criteria by which a zone is ranked for a job.
type preference struct {
	zone             *zone
	withinGuarantee  bool
	fits             bool
	freeAccelerators int
	queuedJobs       int
}

// zonesByPreference orders the zones in service for a job by their digests, as an entry
// host does: zones with an unused guarantee for it first, then zones where it fits now,
// then by shorter queue and more free accelerators.
func (s *simulation) zonesByPreference(j *job) []*zone {
	var list []preference
	for _, z := range s.zones {
		if !z.outOfService {
			list = append(list, s.preferenceFor(z, j))
		}
	}
	slices.SortStableFunc(list, func(a, b preference) int {
		return cmp.Or(
			compareBool(b.withinGuarantee, a.withinGuarantee),
			compareBool(b.fits, a.fits),
			cmp.Compare(a.queuedJobs, b.queuedJobs),
			cmp.Compare(b.freeAccelerators, a.freeAccelerators))
	})
	zones := make([]*zone, len(list))
	for i, p := range list {
		zones[i] = p.zone
	}
	return zones
}

func (s *simulation) preferenceFor(z *zone, j *job) preference {
	digest := z.engine.Digest(s.now())
	return preference{
		zone:             z,
		withinGuarantee:  j.class.Guaranteed && z.unfinishedJobs[j.class] < guaranteedCountIn(z, j.class),
		fits:             fits(digest, j),
		freeAccelerators: digest.FreeAccelerators,
		queuedJobs:       digest.Queued,
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
