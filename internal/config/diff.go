package config

import (
	"fmt"
	"strings"

	"github.com/chervilrun/chervilrun/internal/model"
)

// ChangeKind says whether an object was added, removed or changed.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	// Object names the object, for example "organisation chikushi guarantee repricing".
	Object string     `json:"object"`
	Kind   ChangeKind `json:"kind"`
	// Key, Old and New are set for ChangeChanged.
	Key string `json:"key,omitempty"`
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String formats c on one line.
func (c Change) String() string {
	if c.Kind != ChangeChanged {
		return fmt.Sprintf("%s: %s", c.Object, c.Kind)
	}
	return fmt.Sprintf("%s: %s: %s -> %s", c.Object, c.Key, c.Old, c.New)
}

// Diff lists the differences between two configurations: first the removed objects in
// the canonical order of from, then the added and changed ones in that of to.
func Diff(from, to *Cluster) []Change {
	before, after := objects(Normalise(from)), objects(Normalise(to))
	var changes []Change
	afterByName := indexByName(after)
	for _, o := range before {
		if _, kept := afterByName[o.name]; !kept {
			changes = append(changes, Change{Object: o.name, Kind: ChangeRemoved})
		}
	}
	beforeByName := indexByName(before)
	for _, o := range after {
		previous, existed := beforeByName[o.name]
		if !existed {
			changes = append(changes, Change{Object: o.name, Kind: ChangeAdded})
			continue
		}
		changes = append(changes, o.changesSince(previous)...)
	}
	return changes
}

// object is a zone, an organisation, a guarantee, a service or an operator as a list
// of keys and values. All objects of one kind have the same keys in the same order.
type object struct {
	name string
	keys []keyValue
}

type keyValue struct{ key, value string }

func (o object) changesSince(previous object) []Change {
	var changes []Change
	for i, kv := range o.keys {
		if old := previous.keys[i].value; old != kv.value {
			changes = append(changes, Change{
				Object: o.name, Kind: ChangeChanged, Key: kv.key, Old: old, New: kv.value,
			})
		}
	}
	return changes
}

func indexByName(objects []object) map[string]object {
	named := make(map[string]object, len(objects))
	for _, o := range objects {
		named[o.name] = o
	}
	return named
}

func objects(c *Cluster) []object {
	var all []object
	for _, zone := range c.Zones {
		all = append(all, zoneObject(zone))
	}
	for _, organisation := range c.Organisations {
		name := "organisation " + string(organisation.ID)
		all = append(all, organisationObject(name, organisation))
		for _, g := range organisation.Guarantees {
			all = append(all, guaranteeObject(name+" guarantee "+g.Name, g))
		}
	}
	for _, service := range c.Services {
		all = append(all, serviceObject(service))
	}
	for _, operator := range c.Operators {
		all = append(all, object{"operator " + operator.Name, []keyValue{
			{"token_sha256", shortHash(operator.TokenSHA256)},
		}})
	}
	return all
}

func zoneObject(zone model.AvailabilityZone) object {
	return object{"zone " + string(zone.ID), []keyValue{
		{"region", string(zone.Region)},
		{"out", fmt.Sprint(zone.OutOfService)},
	}}
}

func organisationObject(name string, o model.Organisation) object {
	hashes := make([]string, len(o.TokenSHA256))
	for i, hash := range o.TokenSHA256 {
		hashes[i] = shortHash(hash)
	}
	return object{name, []keyValue{
		{"weight", fmt.Sprint(o.Weight)},
		{"max_accelerators", fmt.Sprint(o.MaxAccelerators)},
		{"token_sha256", formatList(hashes)},
	}}
}

func guaranteeObject(name string, g model.Guarantee) object {
	return object{name, []keyValue{
		{"count", fmt.Sprint(g.Count)},
		{"tasks", fmt.Sprint(g.Shape.Tasks)},
		{"adjacency", string(g.Shape.Adjacency)},
		{"accelerators_per_task", fmt.Sprint(g.Shape.PerTask.Accelerators)},
		{"milli_cpu_per_task", fmt.Sprint(g.Shape.PerTask.MilliCPU)},
		{"memory_mb_per_task", fmt.Sprint(g.Shape.PerTask.MemoryMB)},
		{"zones", formatList(g.Zones)},
	}}
}

func serviceObject(s model.Service) object {
	return object{"service " + string(s.ID), []keyValue{
		{"organisation", string(s.Organisation)},
		{"repeatable", fmt.Sprint(s.Repeatable)},
		{"timeout_ms", fmt.Sprint(s.TimeoutMS)},
		{"max_body_bytes", fmt.Sprint(s.MaxBodyBytes)},
		{"zones", formatList(s.Zones)},
	}}
}

func formatList[T ~string](items []T) string {
	texts := make([]string, len(items))
	for i, item := range items {
		texts[i] = string(item)
	}
	return "[" + strings.Join(texts, ", ") + "]"
}

// shortHashDigits is the number of digits shown of a token hash, enough to tell two
// hashes apart.
const shortHashDigits = 12

func shortHash(hash string) string { return hash[:min(shortHashDigits, len(hash))] + "..." }
