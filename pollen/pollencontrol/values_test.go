package pollencontrol

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/pollenreplica"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenstore"
)

// idleOwner is an Owner without sub-queries.
type idleOwner struct{}

func (idleOwner) InFlight(pollenroute.Group) int             { return 0 }
func (idleOwner) ProcessQueues()                             {}
func (idleOwner) RemoveUnowned(func(pollenroute.Group) bool) {}

func newTestCore() *Core {
	return NewCore(Config{
		Self: Record{Name: "self", Incarnation: "one", Zone: "zone"}, Owner: idleOwner{}, Replica: pollenreplica.New(),
		Ownership: NewOwnership(), Publish: func(*pollenroute.Table) {}, Post: func(any) {}, Log: pollenevent.NewLog(10),
	})
}

// FuzzStoreValues checks that no value under any key in the store makes the control state panic.
func FuzzStoreValues(f *testing.F) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	f.Add("head", []byte(`{"Revision":1,"Documents":[{"Name":"zone/a","Key":"pollenline/document/a"}]}`))
	f.Add("instance/other", []byte(`{"Name":"other","Peer":"127.0.0.1:1"}`))
	f.Add("group/zone/7", []byte(`{"Instance":"other"}`))
	f.Add("group/nowhere", []byte(`{}`))
	f.Add("document/a", []byte(`{`))
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		core := newTestCore()
		entry := pollenstore.Entry{Key: Prefix + key, Value: value, Version: 1}
		core.applyEvents(core.config.Replica.Apply(pollenstore.Changes{Events: []pollenstore.Event{{Entry: entry}}, Revision: 1}))
		core.publish()
	})
}

// TestHeadWithMissingDocumentIsRejected guards against a head taking effect without all documents that it refers to.
func TestHeadWithMissingDocumentIsRejected(t *testing.T) {
	c := qt.New(t)
	core := newTestCore()
	entry := pollenstore.Entry{Key: KeyHead, Value: []byte(`{"Revision":5,"Documents":[{"Name":"zone/a","Revision":5,"Key":"gone"}]}`), Version: 1}
	core.applyEvents(core.config.Replica.Apply(pollenstore.Changes{Events: []pollenstore.Event{{Entry: entry}}, Revision: 1}))
	c.Check(core.table.Revision, qt.Equals, uint64(0))
	events := core.config.Log.Newest(10)
	c.Assert(events, qt.HasLen, 1)
	c.Check(events[0].Cause, qt.Contains, "is not in the replica")
}
