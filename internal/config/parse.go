package config

import (
	"encoding/hex"
	"math"
	"strings"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Format is the version of the text format, the value of the key "format".
const Format = 1

// MaxTextBytes is the maximum size of a configuration text, in bytes. It keeps the
// stored form below the maximum value size of the key-value service.
const MaxTextBytes = 384 << 10

// The default values of optional keys.
const (
	DefaultWeight           = 1
	DefaultTimeoutMS        = 30_000
	DefaultServiceBodyBytes = 1 << 20
)

// The limits of the numbers in a configuration. The default value "required" marks a
// key as required.
const (
	maxWeight           = 1_000_000
	maxAccelerators     = 1_000_000
	maxGuaranteeCount   = 100_000
	maxTimeoutMS        = 24 * 60 * 60 * 1000
	maxServiceBodyBytes = 64 << 20
	required            = math.MinInt64
	tokenHashBytes      = 32
)

const (
	tokenRemedy        = "write the SHA-256 of the token as 64 hexadecimal digits in lower case"
	zoneListRemedy     = `write a list of zone ids, or [] for any zone`
	operatorRemedy     = "add an [[operator]] with a name and a token_sha256"
	adjacencyRemedy    = `write "worker", "rack" or "zone"`
	organisationRemedy = "write the id of an [[organisation]] in this text"
)

// Parse parses and validates a configuration text. It reports all mistakes, and the
// cluster is nil if there are any. The cluster is normalised and has Version 0, since
// a version is assigned only when the text is accepted.
func Parse(text []byte) (*Cluster, []Problem) {
	if len(text) > MaxTextBytes {
		return nil, []Problem{textTooLarge(len(text))}
	}
	doc, syntax := readDocument(text)
	if syntax != nil {
		return nil, []Problem{*syntax}
	}
	r := &clusterReader{doc: doc, cluster: &Cluster{}, tokenPaths: map[string]string{}}
	r.read(&table{doc: doc, values: doc.root})
	if len(doc.problems) > 0 {
		return nil, doc.sortedProblems()
	}
	return Normalise(r.cluster), nil
}

// clusterReader builds a cluster from a document.
type clusterReader struct {
	doc     *document
	cluster *Cluster
	// tokenPaths maps each token hash to its path.
	tokenPaths map[string]string
	// references are checked after all zones and organisations have been read.
	references []reference
}

func (r *clusterReader) read(root *table) {
	root.integer("format", Format, Format, Format)
	seen := seenIDs{doc: r.doc}
	for _, t := range root.tables("zone") {
		r.readZone(t, &seen)
	}
	seen = seenIDs{doc: r.doc}
	for _, t := range root.tables("organisation") {
		r.readOrganisation(t, &seen)
	}
	seen = seenIDs{doc: r.doc}
	for _, t := range root.tables("service") {
		r.readService(t, &seen)
	}
	seen = seenIDs{doc: r.doc}
	for _, t := range root.tables("operator") {
		r.readOperator(t, &seen)
	}
	root.reportUnknownKeys()
	r.checkReferences()
	r.checkRequiredTables()
}

func (r *clusterReader) readZone(t *table, seen *seenIDs) {
	zone := model.AvailabilityZone{
		ID:           model.AvailabilityZoneID(t.requiredID("id")),
		Region:       model.RegionID(t.requiredID("region")),
		OutOfService: t.boolean("out"),
	}
	seen.add(t, "id", string(zone.ID))
	t.reportUnknownKeys()
	r.cluster.Zones = append(r.cluster.Zones, zone)
}

func (r *clusterReader) readOrganisation(t *table, seen *seenIDs) {
	organisation := model.Organisation{
		ID:              model.OrganisationID(t.requiredID("id")),
		Weight:          int(t.integer("weight", 1, maxWeight, DefaultWeight)),
		MaxAccelerators: int(t.integer("max_accelerators", 0, maxAccelerators, 0)),
	}
	seen.add(t, "id", string(organisation.ID))
	for _, hash := range t.stringList("token_sha256", tokenRemedy) {
		r.checkToken(hash.path, hash.text)
		organisation.TokenSHA256 = append(organisation.TokenSHA256, hash.text)
	}
	seenNames := seenIDs{doc: r.doc}
	for _, g := range t.tables("guarantee") {
		organisation.Guarantees = append(organisation.Guarantees, r.readGuarantee(g, &seenNames))
	}
	t.reportUnknownKeys()
	r.cluster.Organisations = append(r.cluster.Organisations, organisation)
}

func (r *clusterReader) readGuarantee(t *table, seen *seenIDs) model.Guarantee {
	g := model.Guarantee{Name: t.requiredID("name")}
	seen.add(t, "name", g.Name)
	g.Count = int(t.integer("count", 1, maxGuaranteeCount, required))
	g.Shape.Tasks = int(t.integer("tasks", 1, model.MaxGangTasks, required))
	g.Shape.Adjacency = model.Adjacency(t.requiredString("adjacency", adjacencyRemedy))
	if value, isText := t.values["adjacency"].(string); isText && !g.Shape.Adjacency.Valid() {
		t.report("adjacency", adjacencyRemedy, "is %q", value)
	}
	g.Shape.PerTask = model.Resources{
		Accelerators: int(t.integer("accelerators_per_task", 0, maxAccelerators, 0)),
		MilliCPU:     t.integer("milli_cpu_per_task", 0, math.MaxInt32, 0),
		MemoryMB:     t.integer("memory_mb_per_task", 0, math.MaxInt32, 0),
	}
	if g.Shape.PerTask.IsZero() {
		t.report("", "set accelerators_per_task, milli_cpu_per_task or memory_mb_per_task", "requests no resources")
	}
	g.Zones = r.readZones(t)
	t.reportUnknownKeys()
	return g
}

func (r *clusterReader) readService(t *table, seen *seenIDs) {
	service := model.Service{
		ID:           model.ServiceID(t.requiredID("id")),
		Organisation: model.OrganisationID(t.requiredID("organisation")),
		Repeatable:   t.boolean("repeatable"),
		TimeoutMS:    t.integer("timeout_ms", 1, maxTimeoutMS, DefaultTimeoutMS),
		MaxBodyBytes: t.integer("max_body_bytes", 1, maxServiceBodyBytes, DefaultServiceBodyBytes),
		Zones:        r.readZones(t),
	}
	seen.add(t, "id", string(service.ID))
	r.addReference(joinPath(t.path, "organisation"), "organisation", string(service.Organisation))
	t.reportUnknownKeys()
	r.cluster.Services = append(r.cluster.Services, service)
}

func (r *clusterReader) readZones(t *table) []model.AvailabilityZoneID {
	var zones []model.AvailabilityZoneID
	for _, zone := range t.stringList("zones", zoneListRemedy) {
		zones = append(zones, model.AvailabilityZoneID(zone.text))
		r.addReference(zone.path, "zone", zone.text)
	}
	return zones
}

func (r *clusterReader) readOperator(t *table, seen *seenIDs) {
	operator := Operator{
		Name:        t.requiredID("name"),
		TokenSHA256: t.requiredString("token_sha256", tokenRemedy),
	}
	seen.add(t, "name", operator.Name)
	r.checkToken(joinPath(t.path, "token_sha256"), operator.TokenSHA256)
	t.reportUnknownKeys()
	r.cluster.Operators = append(r.cluster.Operators, operator)
}

// checkToken reports a hash that is malformed or a duplicate: a token must identify
// exactly one caller.
func (r *clusterReader) checkToken(path, hash string) {
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != tokenHashBytes || hash != strings.ToLower(hash) {
		r.doc.report(path, tokenRemedy, "is not a SHA-256 hash")
		return
	}
	if first, duplicate := r.tokenPaths[hash]; duplicate {
		r.doc.report(path, "give each caller its own token", "is the same as %s", first)
		return
	}
	r.tokenPaths[hash] = path
}

func textTooLarge(size int) Problem {
	return Problem{
		Message: "the text is too large: " + formatInteger(int64(size)) + " bytes",
		Remedy:  "write at most " + formatInteger(MaxTextBytes) + " bytes",
	}
}
