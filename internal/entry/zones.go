package entry

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/view"
)

// Timing of the polls of zone digests.
const (
	digestInterval = time.Second
	digestTimeout  = 800 * time.Millisecond
)

// zoneSelector selects the availability zone of a job: first by the assignment of
// guarantees to zones, then by the digests that the owners of zones publish.
type zoneSelector struct {
	clock      clockwork.Clock
	source     view.Source
	httpClient *http.Client

	mu               sync.Mutex
	digests          map[model.AvailabilityZoneID]*rpc.ZoneDigest
	assignment       guarantee.Assignment
	assignmentSerial uint64
}

func newZoneSelector(clock clockwork.Clock, source view.Source, internalClient *http.Client) *zoneSelector {
	return &zoneSelector{clock: clock, source: source, httpClient: internalClient, digests: map[model.AvailabilityZoneID]*rpc.ZoneDigest{}}
}

// run polls all owners of zones at digestInterval until ctx ends.
func (z *zoneSelector) run(ctx context.Context) {
	ticker := z.clock.NewTicker(digestInterval)
	defer ticker.Stop()
	for {
		z.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (z *zoneSelector) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	var polls sync.WaitGroup
	for _, address := range ownerAddresses(z.source.Current()) {
		polls.Go(func() {
			remote := rpc.NewSchedulerProtobufClient("http://"+address, z.httpClient)
			response, err := remote.Digest(ctx, &rpc.DigestRequest{})
			if err != nil {
				return
			}
			z.mu.Lock()
			defer z.mu.Unlock()
			for _, d := range response.GetZones() {
				z.digests[model.AvailabilityZoneID(d.GetZone())] = d
			}
		})
	}
	polls.Wait()
}

// ownerAddresses returns the addresses of all schedulers that own a zone, sorted.
func ownerAddresses(v *view.View) []string {
	var addresses []string
	for _, owner := range v.Owners {
		addresses = append(addresses, owner.SchedulerAddress)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// candidate is a zone in which a job may run, with the criteria for ranking it.
type candidate struct {
	zone             model.AvailabilityZoneID
	guaranteed       bool
	placeable        bool
	queuedJobs       int
	freeAccelerators int
}

// candidates returns the zones in which a job may run, the best one first.
func (z *zoneSelector) candidates(v *view.View, spec model.JobSpec) []model.AvailabilityZoneID {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.refreshAssignment(v)
	var usable []candidate
	for _, zone := range v.Config.Zones {
		_, owned := v.Owners[zone.ID]
		if zone.OutOfService || !owned || !spec.MayRunIn(zone.ID) {
			continue
		}
		usable = append(usable, z.evaluate(zone.ID, spec))
	}
	slices.SortStableFunc(usable, compareCandidates)
	zones := make([]model.AvailabilityZoneID, len(usable))
	for i, c := range usable {
		zones[i] = c.zone
	}
	return zones
}

func (z *zoneSelector) evaluate(zone model.AvailabilityZoneID, spec model.JobSpec) candidate {
	c := candidate{zone: zone, guaranteed: guaranteeCovers(z.assignment[zone][spec.Organisation], spec.Shape)}
	d := z.digests[zone]
	if d == nil {
		return c
	}
	c.queuedJobs = int(d.GetQueuedJobs())
	c.freeAccelerators = int(d.GetFreeAccelerators())
	c.placeable = d.GetAccepting() && c.queuedJobs == 0 && fitsDigest(d, spec.Shape)
	return c
}

// guaranteeCovers reports whether a job of this shape can use one of the guarantees.
func guaranteeCovers(guarantees []model.Guarantee, shape model.Shape) bool {
	return slices.ContainsFunc(guarantees, func(g model.Guarantee) bool {
		return shape.Tasks <= g.Shape.Tasks && shape.PerTask.Fits(g.Shape.PerTask)
	})
}

// fitsDigest reports whether a free shape in the digest is large enough for the job. If the
// digest lists no such shape at all, not even with a count of 0, it compares the total of
// free accelerators.
func fitsDigest(d *rpc.ZoneDigest, shape model.Shape) bool {
	reported := false
	for _, s := range d.GetFreeShapes() {
		if s.GetAdjacency() != string(shape.Adjacency) {
			continue
		}
		if int(s.GetTasks()) >= shape.Tasks && int(s.GetAcceleratorsPerTask()) >= shape.PerTask.Accelerators {
			reported = true
			if s.GetCount() > 0 {
				return true
			}
		}
	}
	return !reported && shape.Total().Accelerators <= int(d.GetFreeAccelerators())
}

// compareCandidates prefers a zone that holds a guarantee for the job and can place it
// now, then one that holds a guarantee, then one that can place it now, then the shorter
// queue. Of zones that are equal in all this, the one with fewer free accelerators comes
// first, which keeps the others free for large gangs.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		compareBools(b.guaranteed && b.placeable, a.guaranteed && a.placeable),
		compareBools(b.guaranteed, a.guaranteed),
		compareBools(b.placeable, a.placeable),
		cmp.Compare(a.queuedJobs, b.queuedJobs),
		cmp.Compare(a.freeAccelerators, b.freeAccelerators),
		cmp.Compare(a.zone, b.zone),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// countAccepted updates the zone's digest for an accepted job; the next poll replaces the
// digest.
func (z *zoneSelector) countAccepted(zone model.AvailabilityZoneID, shape model.Shape) {
	z.mu.Lock()
	defer z.mu.Unlock()
	d := z.digests[zone]
	if d == nil {
		return
	}
	need := int32(shape.Total().Accelerators)
	if d.GetFreeAccelerators() < need {
		d.QueuedJobs++
		return
	}
	d.FreeAccelerators -= need
}

// refreshAssignment recomputes the assignment of guarantees to zones if the view has
// changed.
func (z *zoneSelector) refreshAssignment(v *view.View) {
	if z.assignment != nil && z.assignmentSerial == v.Serial {
		return
	}
	z.assignment, _ = guarantee.Pack(v.Workers, v.Config.Zones, v.Config.Organisations)
	z.assignmentSerial = v.Serial
}
