package view

import (
	"fmt"
	"maps"
	"sync"

	"github.com/chervilrun/chervilrun/internal/chart"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
)

// viewState holds the current view and notifies of changes. It asserts that the version of
// the configuration and the epochs never decrease.
type viewState struct {
	host         model.HostID
	events       *event.Recorder
	zoneMachines map[model.AvailabilityZoneID]*chart.Machine

	mu      sync.Mutex
	view    *View
	changed chan struct{}
}

func newViewState(host model.HostID, events *event.Recorder) *viewState {
	return &viewState{
		host:         host,
		events:       events,
		zoneMachines: map[model.AvailabilityZoneID]*chart.Machine{},
		view:         &View{Config: &config.Cluster{}},
		changed:      make(chan struct{}),
	}
}

// Current implements Source.
func (v *viewState) Current() *View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view
}

// Changed implements Source.
func (v *viewState) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// update replaces the view with a copy modified by edit; edit returns false when nothing
// changes. It must replace maps and slices, not modify them.
func (v *viewState) update(edit func(next *View) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.view
	if !edit(&next) {
		return
	}
	next.Owners = currentOwners(next.Owners, next.Epochs)
	next.Serial++
	v.assertMonotonic(&next)
	old := v.view
	v.view = &next
	close(v.changed)
	v.changed = make(chan struct{})
	if next.Config != old.Config {
		v.recordConfig(next.Config)
	}
	v.recordMembers(old, &next)
}

// currentOwners returns the owners without those of an older epoch.
func currentOwners(owners map[model.AvailabilityZoneID]Owner, epochs map[model.AvailabilityZoneID]model.Epoch) map[model.AvailabilityZoneID]Owner {
	kept := maps.Clone(owners)
	maps.DeleteFunc(kept, func(zone model.AvailabilityZoneID, owner Owner) bool {
		return owner.Epoch < epochs[zone]
	})
	return kept
}

func (v *viewState) assertMonotonic(next *View) {
	if next.Config.Version < v.view.Config.Version {
		panic(fmt.Sprintf("view: broken invariant: configuration version decreases from %d to %d",
			v.view.Config.Version, next.Config.Version))
	}
	for zone, epoch := range v.view.Epochs {
		if next.Epochs[zone] < epoch {
			panic(fmt.Sprintf("view: broken invariant: epoch of %s decreases from %d to %d", zone, epoch, next.Epochs[zone]))
		}
	}
}

func (v *viewState) recordConfig(applied *config.Cluster) {
	v.events.Record(event.ConfigApplied, event.Subject{Host: string(v.host)}, fmt.Sprintf("version %d", applied.Version))
	for _, zone := range applied.Zones {
		v.recordZone(zone, applied.Version)
	}
}

func (v *viewState) recordZone(zone model.AvailabilityZone, version model.ConfigVersion) {
	machine, known := v.zoneMachines[zone.ID]
	if !known {
		machine = chart.Load("availability_zone").New()
		v.zoneMachines[zone.ID] = machine
	}
	before := machine.State()
	name, number := "bring_in", event.ZoneBroughtIn
	if zone.OutOfService {
		name, number = "take_out", event.ZoneTakenOut
	}
	machine.Fire(name)
	if machine.State() != before {
		v.events.Record(number, event.Subject{Host: string(v.host), Zone: string(zone.ID)}, fmt.Sprintf("version %d", version))
	}
}

func (v *viewState) recordMembers(old, next *View) {
	before, after := incarnations(old.Members), incarnations(next.Members)
	for host, incarnation := range after {
		if before[host] != incarnation {
			v.events.Record(event.MemberJoined, event.Subject{Host: string(host)}, incarnation)
		}
	}
	for host, incarnation := range before {
		if _, remains := after[host]; !remains {
			v.events.Record(event.MemberLeft, event.Subject{Host: string(host)}, incarnation)
		}
	}
}

func incarnations(members []Member) map[model.HostID]string {
	found := make(map[model.HostID]string, len(members))
	for _, member := range members {
		found[member.Host] = member.Incarnation
	}
	return found
}

// raiseEpoch returns epochs with zone raised to epoch, and whether that changed anything.
func raiseEpoch(epochs map[model.AvailabilityZoneID]model.Epoch, zone model.AvailabilityZoneID, epoch model.Epoch) (map[model.AvailabilityZoneID]model.Epoch, bool) {
	if known, ok := epochs[zone]; ok && known >= epoch {
		return epochs, false
	}
	raised := maps.Clone(epochs)
	if raised == nil {
		raised = map[model.AvailabilityZoneID]model.Epoch{}
	}
	raised[zone] = epoch
	return raised, true
}

// raiseEpochs returns epochs raised to those of other where these are higher.
func raiseEpochs(epochs, other map[model.AvailabilityZoneID]model.Epoch) map[model.AvailabilityZoneID]model.Epoch {
	for zone, epoch := range other {
		epochs, _ = raiseEpoch(epochs, zone, epoch)
	}
	return epochs
}
