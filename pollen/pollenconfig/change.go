package pollenconfig

import (
	"errors"
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"pollenline.example/pollen/pollenschema"
)

// MaxSnapshots is the number of snapshots that a service keeps; publishing another drops the oldest.
const MaxSnapshots = 3

// MaxDocumentBytes keeps a document and its encoding overhead below the platform's limit of a megabyte per value.
const MaxDocumentBytes = 900_000

// DocumentError reports an invalid document, or a change that would result in one.
type DocumentError struct {
	Document string
	Problem  string
	Err      error
}

func (e *DocumentError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("document %s: %s: %v", e.Document, e.Problem, e.Err)
	}
	return fmt.Sprintf("document %s: %s", e.Document, e.Problem)
}

func (e *DocumentError) Unwrap() error { return e.Err }

// ConflictError reports a change whose expected revision is not the current one.
type ConflictError struct {
	// Revision and ChangeID identify the change that is in force.
	Revision uint64
	ChangeID string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: revision %d is already in force by change %s", e.Revision, e.ChangeID)
}

// ErrNoChange reports a request without changes, or a change of an unknown kind.
var ErrNoChange = errors.New("a change needs at least one document")

// Apply applies changes in order and returns the documents that differ from c, at the next revision.
//
// It returns *DocumentError if a document would be invalid, and ErrNoChange if there are no changes or one is of an
// unknown kind.
func (c *Configuration) Apply(changes []*pollenschema.Change) ([]Document, error) {
	if len(changes) == 0 {
		return nil, ErrNoChange
	}
	next := c
	revision := c.Revision + 1
	for _, change := range changes {
		d, err := next.buildDocument(change)
		if err != nil {
			return nil, err
		}
		d.Revision = revision
		if next, err = next.Update(revision, "", []Document{d}); err != nil {
			return nil, err
		}
	}
	if err := next.checkZones(); err != nil {
		return nil, err
	}
	return next.ChangedSince(c.Revision), nil
}

// protoMessage is implemented by all generated messages.
type protoMessage interface {
	proto.Message
}

// buildDocument returns the document that results from one change.
func (c *Configuration) buildDocument(change *pollenschema.Change) (Document, error) {
	switch kind := change.GetKind().(type) {
	case *pollenschema.Change_PutZone:
		return putZone(kind.PutZone)
	case *pollenschema.Change_RetireZone:
		return c.retire(zoneKind + "/" + kind.RetireZone)
	case *pollenschema.Change_PutService:
		return c.putService(kind.PutService)
	case *pollenschema.Change_RetireService:
		return c.retire(serviceKind + "/" + kind.RetireService)
	case *pollenschema.Change_SetServerState:
		return c.setServerState(kind.SetServerState)
	case *pollenschema.Change_PublishSnapshot:
		return c.publishSnapshot(kind.PublishSnapshot)
	}
	return Document{}, ErrNoChange
}

// putZone validates a zone and returns its document.
func putZone(z *pollenschema.Zone) (Document, error) {
	name := zoneKind + "/" + z.GetName()
	if z.GetName() == "" {
		return Document{}, &DocumentError{Document: name, Problem: "field Name: missing value"}
	}
	if s := z.GetState(); s != pollenschema.Admin_ADMIN_IN && s != pollenschema.Admin_ADMIN_OUT {
		return Document{}, &DocumentError{Document: name, Problem: "field State: want ADMIN_IN or ADMIN_OUT"}
	}
	return encodeDocument(name, z)
}

// retire returns the document that marks the named one as deleted.
func (c *Configuration) retire(name string) (Document, error) {
	if d, ok := c.Documents[name]; !ok || d.Deleted {
		return Document{}, &DocumentError{Document: name, Problem: "does not exist"}
	}
	return Document{Name: name, Deleted: true}, nil
}

// putService validates a service and returns its document.
func (c *Configuration) putService(s *pollenschema.Service) (Document, error) {
	name := serviceKind + "/" + s.GetName()
	if err := checkService(name, s); err != nil {
		return Document{}, err
	}
	return encodeDocument(name, s)
}

// setServerState returns the document of a service with the state of one backend server changed.
func (c *Configuration) setServerState(change *pollenschema.ServerState) (Document, error) {
	s, err := c.cloneService(change.GetService())
	if err != nil {
		return Document{}, err
	}
	for _, server := range s.Servers {
		if server.Name == change.GetServer() {
			server.State = change.GetState()
			return c.putService(s)
		}
	}
	return Document{}, &DocumentError{Document: serviceKind + "/" + s.Name, Problem: fmt.Sprintf("no backend server %q", change.GetServer())}
}

// publishSnapshot returns the document of a service with the snapshot added as its newest.
func (c *Configuration) publishSnapshot(change *pollenschema.PublishSnapshot) (Document, error) {
	s, err := c.cloneService(change.GetService())
	if err != nil {
		return Document{}, err
	}
	s.Snapshots = append([]*pollenschema.Snapshot{change.GetSnapshot()}, s.Snapshots...)
	if len(s.Snapshots) > MaxSnapshots {
		s.Snapshots = s.Snapshots[:MaxSnapshots]
	}
	return c.putService(s)
}

// cloneService returns a copy of a service, which may be modified.
func (c *Configuration) cloneService(name string) (*pollenschema.Service, error) {
	s, ok := c.Services[name]
	if !ok {
		return nil, &DocumentError{Document: serviceKind + "/" + name, Problem: "does not exist"}
	}
	return proto.CloneOf(s), nil
}

func checkService(document string, s *pollenschema.Service) error {
	if s.GetName() == "" {
		return &DocumentError{Document: document, Problem: "field Name: missing value"}
	}
	servers := make(map[string]bool)
	for _, server := range s.Servers {
		if err := checkServer(server); err != nil {
			return &DocumentError{Document: document, Problem: fmt.Sprintf("backend server %q", server.GetName()), Err: err}
		}
		if servers[server.Name] {
			return &DocumentError{Document: document, Problem: fmt.Sprintf("backend server %q stands twice", server.Name)}
		}
		servers[server.Name] = true
	}
	snapshots := make(map[string]bool)
	for _, snapshot := range s.Snapshots {
		if snapshots[snapshot.GetName()] || snapshot.GetName() == "" {
			return &DocumentError{Document: document, Problem: fmt.Sprintf("snapshot name %q is missing or stands twice", snapshot.GetName())}
		}
		snapshots[snapshot.GetName()] = true
		if err := checkSnapshot(snapshot, servers); err != nil {
			return &DocumentError{Document: document, Problem: fmt.Sprintf("snapshot %q", snapshot.GetName()), Err: err}
		}
	}
	return nil
}

func checkServer(server *pollenschema.BackendServer) error {
	address, err := netip.ParseAddrPort(server.GetAddress())
	switch {
	case server.GetName() == "":
		return &FieldError{Field: "Name", Problem: "missing value"}
	case server.GetZone() == "":
		return &FieldError{Field: "Zone", Problem: "missing value"}
	case err != nil || address.Port() == 0:
		return &FieldError{Field: "Address", Problem: "want an IP number and a port"}
	case server.GetSlots() == 0:
		return &FieldError{Field: "Slots", Problem: "want at least 1"}
	case server.GetConnections() < server.GetSlots():
		return &FieldError{Field: "Connections", Problem: "want at least one for each slot"}
	case server.GetState() == pollenschema.Admin_ADMIN_UNSPECIFIED:
		return &FieldError{Field: "State", Problem: "missing value"}
	}
	return nil
}

func checkSnapshot(snapshot *pollenschema.Snapshot, servers map[string]bool) error {
	indexes := make(map[string]bool)
	for _, v := range snapshot.Versions {
		indexes[v.GetIndex()] = true
	}
	shards := make(map[string]bool)
	for _, shard := range snapshot.Shards {
		if shards[shard.GetName()] || shard.GetName() == "" {
			return &FieldError{Field: "Shards", Problem: fmt.Sprintf("shard name %q is missing or stands twice", shard.GetName())}
		}
		shards[shard.GetName()] = true
		if !indexes[shard.GetIndex()] {
			return &FieldError{Field: "Shards", Problem: fmt.Sprintf("shard %q: no version of index %q", shard.GetName(), shard.GetIndex())}
		}
		for _, server := range shard.Servers {
			if !servers[server] {
				return &FieldError{Field: "Shards", Problem: fmt.Sprintf("shard %q: no backend server %q", shard.GetName(), server)}
			}
		}
	}
	if len(snapshot.Shards) == 0 {
		return &FieldError{Field: "Shards", Problem: "want at least one shard"}
	}
	return nil
}

// checkZones returns an error if a backend server is in an availability zone that does not exist.
func (c *Configuration) checkZones() error {
	for _, s := range c.Services {
		for _, server := range s.Servers {
			if _, ok := c.Zones[server.Zone]; !ok {
				return &DocumentError{Document: serviceKind + "/" + s.Name, Problem: fmt.Sprintf("backend server %q: no availability zone %q", server.Name, server.Zone)}
			}
		}
	}
	return nil
}

// FieldError reports an invalid value of a field of a document.
type FieldError struct {
	Field   string
	Problem string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s: %s", e.Field, e.Problem)
}

func encodeDocument(name string, message proto.Message) (Document, error) {
	body, err := protojson.Marshal(message)
	if err != nil {
		return Document{}, &DocumentError{Document: name, Problem: "cannot be encoded", Err: err}
	}
	if len(body) > MaxDocumentBytes {
		return Document{}, &DocumentError{Document: name, Problem: fmt.Sprintf("%d bytes are more than %d", len(body), MaxDocumentBytes)}
	}
	return Document{Name: name, Body: body}, nil
}
