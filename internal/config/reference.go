package config

import "github.com/chervilrun/chervilrun/internal/model"

// reference is a key whose value is the ID of a zone or an organisation in the text.
type reference struct {
	path string
	// kind is "zone" or "organisation".
	kind string
	id   string
}

func (r *clusterReader) addReference(path, kind, id string) {
	if id != "" {
		r.references = append(r.references, reference{path: path, kind: kind, id: id})
	}
}

func (r *clusterReader) checkReferences() {
	for _, ref := range r.references {
		switch ref.kind {
		case "zone":
			if _, known := r.cluster.Zone(model.AvailabilityZoneID(ref.id)); !known {
				r.doc.report(ref.path, zoneListRemedy, "there is no zone %q", ref.id)
			}
		case "organisation":
			if _, known := r.cluster.Organisation(model.OrganisationID(ref.id)); !known {
				r.doc.report(ref.path, organisationRemedy, "there is no organisation %q", ref.id)
			}
		}
	}
}

// checkRequiredTables reports missing tables that every configuration must have.
func (r *clusterReader) checkRequiredTables() {
	if len(r.cluster.Zones) == 0 {
		r.doc.report("zone", "add a [[zone]] with an id and a region", "there is no zone")
	}
	if len(r.cluster.Operators) == 0 {
		r.doc.report("operator", operatorRemedy, "there is no operator, so nobody could change the configuration again")
	}
}

// seenIDs reports duplicate identifiers.
type seenIDs struct {
	doc *document
	// paths maps each identifier to the path of its first occurrence.
	paths map[string]string
}

func (s *seenIDs) add(t *table, key, id string) {
	path := joinPath(t.path, key)
	if first, duplicate := s.paths[id]; duplicate && id != "" {
		s.doc.report(path, "choose another one", "%q is already used at %s", id, first)
		return
	}
	if s.paths == nil {
		s.paths = map[string]string{}
	}
	s.paths[id] = path
}
