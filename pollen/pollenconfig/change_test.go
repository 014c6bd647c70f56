package pollenconfig_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenconfig"
	"pollenline.example/pollen/pollenschema"
)

func zone(name string, state pollenschema.Admin) *pollenschema.Change {
	return &pollenschema.Change{Kind: &pollenschema.Change_PutZone{PutZone: &pollenschema.Zone{Name: name, State: state}}}
}

func service(change func(*pollenschema.Service)) *pollenschema.Change {
	s := &pollenschema.Service{
		Name: "s",
		Servers: []*pollenschema.BackendServer{
			{Name: "a", Zone: "z", Address: "127.0.0.1:1", Slots: 2, Connections: 25, State: pollenschema.Admin_ADMIN_IN},
		},
		Snapshots: []*pollenschema.Snapshot{snapshot("v1")},
	}
	change(s)
	return &pollenschema.Change{Kind: &pollenschema.Change_PutService{PutService: s}}
}

func snapshot(name string) *pollenschema.Snapshot {
	return &pollenschema.Snapshot{
		Name: name, Versions: []*pollenschema.IndexVersion{{Index: "i", Version: name}},
		Shards: []*pollenschema.Shard{{Name: "i/0", Index: "i", Servers: []string{"a"}}},
	}
}

func apply(c *pollenconfig.Configuration, changes ...*pollenschema.Change) (*pollenconfig.Configuration, error) {
	documents, err := c.Apply(changes)
	if err != nil {
		return nil, err
	}
	return c.Update(c.Revision+1, "change", documents)
}

// TestApplyRejectsInvalidChanges guards against invalid documents entering the configuration.
func TestApplyRejectsInvalidChanges(t *testing.T) {
	server := func(change func(*pollenschema.BackendServer)) *pollenschema.Change {
		return service(func(s *pollenschema.Service) { change(s.Servers[0]) })
	}
	shard := func(change func(*pollenschema.Shard)) *pollenschema.Change {
		return service(func(s *pollenschema.Service) { change(s.Snapshots[0].Shards[0]) })
	}
	tests := []struct {
		name    string
		change  *pollenschema.Change
		problem string
	}{
		{"zone without name", zone("", pollenschema.Admin_ADMIN_IN), "field Name"},
		{"zone without state", zone("y", 0), "field State"},
		{"draining zone", zone("y", pollenschema.Admin_ADMIN_DRAINING), "field State"},
		{"unknown zone", server(func(b *pollenschema.BackendServer) { b.Zone = "nowhere" }), `no availability zone "nowhere"`},
		{"no address", server(func(b *pollenschema.BackendServer) { b.Address = "" }), "field Address"},
		{"host name", server(func(b *pollenschema.BackendServer) { b.Address = "localhost:1" }), "field Address"},
		{"no slots", server(func(b *pollenschema.BackendServer) { b.Slots = 0 }), "field Slots"},
		{"too few connections", server(func(b *pollenschema.BackendServer) { b.Connections = 1 }), "field Connections"},
		{"server twice", service(func(s *pollenschema.Service) { s.Servers = append(s.Servers, s.Servers[0]) }), "stands twice"},
		{"unknown server of a shard", shard(func(s *pollenschema.Shard) { s.Servers = []string{"b"} }), `no backend server "b"`},
		{"unknown index of a shard", shard(func(s *pollenschema.Shard) { s.Index = "j" }), `no version of index "j"`},
		{"no shards", service(func(s *pollenschema.Service) { s.Snapshots[0].Shards = nil }), "at least one shard"},
		{"snapshot twice", service(func(s *pollenschema.Service) { s.Snapshots = append(s.Snapshots, s.Snapshots[0]) }), "stands twice"},
		{"retire unknown", &pollenschema.Change{Kind: &pollenschema.Change_RetireService{RetireService: "t"}}, "does not exist"},
		{"retire used zone", &pollenschema.Change{Kind: &pollenschema.Change_RetireZone{RetireZone: "z"}}, `no availability zone "z"`},
		{"state of unknown server", &pollenschema.Change{Kind: &pollenschema.Change_SetServerState{SetServerState: &pollenschema.ServerState{Service: "s", Server: "b"}}}, `no backend server "b"`},
	}
	start, err := apply(pollenconfig.Empty(), zone("z", pollenschema.Admin_ADMIN_IN), service(func(*pollenschema.Service) {}))
	qt.Assert(t, err, qt.IsNil)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := apply(start, test.change)
			var document *pollenconfig.DocumentError
			c.Assert(err, qt.ErrorAs, &document)
			c.Check(err.Error(), qt.Contains, test.problem)
			c.Check(start.Revision, qt.Equals, uint64(1))
		})
	}
	_, err = apply(start)
	qt.Assert(t, err, qt.ErrorIs, pollenconfig.ErrNoChange)
}

// TestPublishKeepsNewestSnapshots guards against a service that grows without limit or drops its newest snapshot.
func TestPublishKeepsNewestSnapshots(t *testing.T) {
	c := qt.New(t)
	configuration, err := apply(pollenconfig.Empty(), zone("z", pollenschema.Admin_ADMIN_IN), service(func(*pollenschema.Service) {}))
	c.Assert(err, qt.IsNil)
	for n := range 5 {
		configuration, err = apply(configuration, &pollenschema.Change{Kind: &pollenschema.Change_PublishSnapshot{
			PublishSnapshot: &pollenschema.PublishSnapshot{Service: "s", Snapshot: snapshot(fmt.Sprintf("v%d", n+2))},
		}})
		c.Assert(err, qt.IsNil)
	}
	snapshots := configuration.Services["s"].Snapshots
	c.Assert(snapshots, qt.HasLen, pollenconfig.MaxSnapshots)
	c.Check(snapshots[0].Name, qt.Equals, "v6")
}

// TestHeadKeepsDocumentsAndRecentChanges guards against a head that loses unchanged documents or earlier change IDs.
func TestHeadKeepsDocumentsAndRecentChanges(t *testing.T) {
	c := qt.New(t)
	head := &pollenconfig.Head{}
	head = head.Next("one", []pollenconfig.Reference{{Name: "zone/a", Revision: 1, Key: "k1"}, {Name: "zone/b", Revision: 1, Key: "k2"}})
	head = head.Next("two", []pollenconfig.Reference{{Name: "zone/a", Revision: 2, Deleted: true}})
	c.Check(head.Documents, qt.DeepEquals, []pollenconfig.Reference{{Name: "zone/b", Revision: 1, Key: "k2"}})
	revision, ok := head.RevisionOf("one")
	c.Check(ok, qt.IsTrue)
	c.Check(revision, qt.Equals, uint64(1))
	_, ok = head.RevisionOf("three")
	c.Check(ok, qt.IsFalse)
}
