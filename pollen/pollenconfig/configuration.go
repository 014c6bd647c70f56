package pollenconfig

import (
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"pollenline.example/pollen/pollenschema"
)

// Document is an availability zone or a service in encoded form.
type Document struct {
	Name string
	// Revision is the revision of the change that wrote the document.
	Revision uint64
	// Deleted marks a retired document; it is kept so that ChangedSince includes the retirement.
	Deleted bool
	// Body is the message as JSON; it is empty for a retired document.
	Body []byte
}

// Configuration is an immutable set of documents at one revision.
type Configuration struct {
	Revision uint64
	// ChangeID identifies the change that resulted in this revision.
	ChangeID string
	// Documents holds the documents by name, retired ones included.
	Documents map[string]Document
	Zones     map[string]*pollenschema.Zone
	Services  map[string]*pollenschema.Service
}

// Empty returns the configuration at revision 0, which has no documents.
func Empty() *Configuration {
	return &Configuration{
		Documents: make(map[string]Document),
		Zones:     make(map[string]*pollenschema.Zone),
		Services:  make(map[string]*pollenschema.Service),
	}
}

// ChangedSince returns the documents that changed after a revision, sorted by name.
func (c *Configuration) ChangedSince(revision uint64) []Document {
	var changed []Document
	for _, name := range slices.Sorted(maps.Keys(c.Documents)) {
		if d := c.Documents[name]; d.Revision > revision {
			changed = append(changed, d)
		}
	}
	return changed
}

// Update returns a copy of the configuration at a later revision, with the given documents added or replaced.
//
// The documents must include all that changed after c.Revision.
func (c *Configuration) Update(revision uint64, changeID string, documents []Document) (*Configuration, error) {
	updated := &Configuration{
		Revision:  revision,
		ChangeID:  changeID,
		Documents: maps.Clone(c.Documents),
		Zones:     maps.Clone(c.Zones),
		Services:  maps.Clone(c.Services),
	}
	for _, d := range documents {
		if err := updated.put(d); err != nil {
			return nil, err
		}
	}
	return updated, nil
}

func (c *Configuration) put(d Document) error {
	c.Documents[d.Name] = d
	kind, name, _ := strings.Cut(d.Name, "/")
	switch kind {
	case zoneKind:
		return putDocument(c.Zones, name, d, &pollenschema.Zone{})
	case serviceKind:
		return putDocument(c.Services, name, d, &pollenschema.Service{})
	}
	return &DocumentError{Document: d.Name, Problem: "unknown kind of document"}
}

const (
	zoneKind    = "zone"
	serviceKind = "service"
)

func putDocument[M interface {
	*pollenschema.Zone | *pollenschema.Service
	protoMessage
}](documents map[string]M, name string, d Document, message M) error {
	if d.Deleted {
		delete(documents, name)
		return nil
	}
	if err := protojson.Unmarshal(d.Body, message); err != nil {
		return &DocumentError{Document: d.Name, Problem: "not valid", Err: err}
	}
	documents[name] = message
	return nil
}
