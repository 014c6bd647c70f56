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
	// Name consists of the kind, zone or service, a slash and the name of the zone or service.
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
	// Zones and Services hold the messages of the documents that are not retired, by their names without the kind.
	Zones    map[string]*pollenschema.Zone
	Services map[string]*pollenschema.Service
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
		if err := updated.setDocument(d); err != nil {
			return nil, err
		}
	}
	return updated, nil
}

// setDocument adds or replaces a document and its message. Update calls it on its copy; others must not modify c.
func (c *Configuration) setDocument(d Document) error {
	c.Documents[d.Name] = d
	kind, name, _ := strings.Cut(d.Name, "/")
	switch kind {
	case zoneKind:
		return setMessage(c.Zones, name, d, &pollenschema.Zone{})
	case serviceKind:
		return setMessage(c.Services, name, d, &pollenschema.Service{})
	}
	return &DocumentError{Document: d.Name, Problem: "unknown kind of document"}
}

// The kinds of documents.
const (
	zoneKind    = "zone"
	serviceKind = "service"
)

// setMessage decodes a document into message and adds it to messages, or deletes the message of a retired document.
func setMessage[M interface {
	*pollenschema.Zone | *pollenschema.Service
	protoMessage
}](messages map[string]M, name string, d Document, message M) error {
	if d.Deleted {
		delete(messages, name)
		return nil
	}
	if err := protojson.Unmarshal(d.Body, message); err != nil {
		return &DocumentError{Document: d.Name, Problem: "not valid", Err: err}
	}
	messages[name] = message
	return nil
}
