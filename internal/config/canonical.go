package config

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Normalise returns a copy of c in canonical order: zones, organisations and services
// by ID, operators and guarantees by name, lists of zones and token hashes in byte
// order. Empty lists become nil.
func Normalise(c *Cluster) *Cluster {
	n := &Cluster{Version: c.Version}
	n.Zones = sortedBy(c.Zones, func(z model.AvailabilityZone) string { return string(z.ID) })
	n.Organisations = sortedBy(c.Organisations, func(o model.Organisation) string { return string(o.ID) })
	n.Services = sortedBy(c.Services, func(s model.Service) string { return string(s.ID) })
	n.Operators = sortedBy(c.Operators, func(o Operator) string { return o.Name })
	for i := range n.Organisations {
		o := &n.Organisations[i]
		o.TokenSHA256 = sortedBy(o.TokenSHA256, func(hash string) string { return hash })
		o.Guarantees = sortedBy(o.Guarantees, func(g model.Guarantee) string { return g.Name })
		for j := range o.Guarantees {
			o.Guarantees[j].Zones = sortedZones(o.Guarantees[j].Zones)
		}
	}
	for i := range n.Services {
		n.Services[i].Zones = sortedZones(n.Services[i].Zones)
	}
	return n
}

func sortedZones(zones []model.AvailabilityZoneID) []model.AvailabilityZoneID {
	return sortedBy(zones, func(zone model.AvailabilityZoneID) string { return string(zone) })
}

// sortedBy returns a copy of items sorted by key, or nil if items is empty.
func sortedBy[T any](items []T, key func(T) string) []T {
	if len(items) == 0 {
		return nil
	}
	sorted := slices.Clone(items)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return sorted
}

// Canonical encodes c in the canonical form specified in
// docs/operators/configuration.md. Clusters that are equal after Normalise give the
// same bytes. The text does not contain the version.
func Canonical(c *Cluster) []byte {
	var p printer
	p.number("format", Format)
	c = Normalise(c)
	for _, zone := range c.Zones {
		p.zone(zone)
	}
	for _, organisation := range c.Organisations {
		p.organisation(organisation)
	}
	for _, service := range c.Services {
		p.service(service)
	}
	for _, operator := range c.Operators {
		p.header("operator")
		p.text("name", operator.Name)
		p.text("token_sha256", operator.TokenSHA256)
	}
	return []byte(p.String())
}

// printer writes canonical TOML.
type printer struct{ strings.Builder }

func (p *printer) zone(zone model.AvailabilityZone) {
	p.header("zone")
	p.text("id", string(zone.ID))
	p.text("region", string(zone.Region))
	p.boolean("out", zone.OutOfService)
}

func (p *printer) organisation(organisation model.Organisation) {
	p.header("organisation")
	p.text("id", string(organisation.ID))
	p.number("weight", int64(organisation.Weight))
	p.number("max_accelerators", int64(organisation.MaxAccelerators))
	list(p, "token_sha256", organisation.TokenSHA256)
	for _, g := range organisation.Guarantees {
		p.guarantee(g)
	}
}

func (p *printer) guarantee(g model.Guarantee) {
	p.header("organisation.guarantee")
	p.text("name", g.Name)
	p.number("count", int64(g.Count))
	p.number("tasks", int64(g.Shape.Tasks))
	p.text("adjacency", string(g.Shape.Adjacency))
	p.number("accelerators_per_task", int64(g.Shape.PerTask.Accelerators))
	p.number("milli_cpu_per_task", g.Shape.PerTask.MilliCPU)
	p.number("memory_mb_per_task", g.Shape.PerTask.MemoryMB)
	list(p, "zones", g.Zones)
}

func (p *printer) service(service model.Service) {
	p.header("service")
	p.text("id", string(service.ID))
	p.text("organisation", string(service.Organisation))
	p.boolean("repeatable", service.Repeatable)
	p.number("timeout_ms", service.TimeoutMS)
	p.number("max_body_bytes", service.MaxBodyBytes)
	list(p, "zones", service.Zones)
}

func (p *printer) header(name string) { p.WriteString("\n[[" + name + "]]\n") }

func (p *printer) pair(key, value string) { p.WriteString(key + " = " + value + "\n") }

func (p *printer) text(key, value string) { p.pair(key, quote(value)) }

func (p *printer) number(key string, value int64) { p.pair(key, formatInteger(value)) }

func (p *printer) boolean(key string, value bool) { p.pair(key, strconv.FormatBool(value)) }

// list writes a list of strings on one line.
func list[T ~string](p *printer, key string, items []T) {
	quoted := make([]string, len(items))
	for i, item := range items {
		quoted[i] = quote(string(item))
	}
	p.pair(key, "["+strings.Join(quoted, ", ")+"]")
}

// quote returns a TOML basic string. Valid values contain only letters, digits and "-";
// invalid ones are escaped so that Parse can report them.
func quote(value string) string {
	escaped := strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\r", `\r`, "\t", `\t`)
	return `"` + escaped.Replace(value) + `"`
}

func formatInteger(value int64) string { return strconv.FormatInt(value, 10) }
