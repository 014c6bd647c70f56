package pollenrelay

import (
	"math/rand/v2"
	"net"
	"net/rpc"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenstore"
)

// Guards against values that change on their way between instances, and against compressed ones for a build that does not know them.
func TestRepliesKeepValues(t *testing.T) {
	incompressible := make([]byte, minPackedBytes)
	rand.NewChaCha8([32]byte{}).Read(incompressible)
	large := encodedRoutes(100, 1)
	tests := []struct {
		name    string
		value   []byte
		unpacks bool
		// packed is whether the value is sent compressed.
		packed bool
	}{
		{"large", large, true, true},
		{"large, former build", large, false, false},
		{"small", large[:minPackedBytes-1], true, false},
		{"incompressible", incompressible, true, false},
		{"empty", nil, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := NewServer(ServerConfig{})
			first, second := pollenstore.Entry{Key: "a", Value: test.value, Version: 5}, pollenstore.Entry{Key: "b", Value: []byte("small"), Version: 6}
			s.Reset(pollenstore.Listing{Revision: 5, Entries: []pollenstore.Entry{first}})
			s.Apply(pollenstore.Changes{Revision: 6, Events: []pollenstore.Event{{Entry: second}}})
			// The second call is answered from what the first has compressed.
			for range 2 {
				reply := &Reply{}
				c.Assert((&service{server: s}).ListKnown(ListRequest{Unpacks: test.unpacks}, reply), qt.IsNil)
				c.Assert(len(reply.PackedValues) == 1, qt.Equals, test.packed)
				c.Assert(reply.unpack(), qt.IsNil)
				c.Assert(reply.Listing.Entries, qt.DeepEquals, []pollenstore.Entry{first, second})
			}
		})
	}
}

// formerLister answers listings as the builds did whose requests for them had no fields.
type formerLister struct{ listing pollenstore.Listing }

func (f *formerLister) ListKnown(_ struct{}, reply *Reply) error {
	reply.Listing = f.listing
	return nil
}

// Guards against listings that builds with and without a field in their requests do not get from each other.
func TestListingsBesideFormerBuild(t *testing.T) {
	listing := pollenstore.Listing{Revision: 5, Entries: []pollenstore.Entry{{Key: "a", Value: encodedRoutes(100, 1), Version: 5}}}
	current := NewServer(ServerConfig{})
	current.Reset(listing)
	tests := []struct {
		name    string
		service any
		request any
	}{
		{"former caller", &service{server: current}, struct{}{}},
		{"former server", &formerLister{listing}, ListRequest{Unpacks: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clientConn, serverConn := net.Pipe()
			defer clientConn.Close()
			server := rpc.NewServer()
			qt.Assert(t, server.RegisterName(serviceName, test.service), qt.IsNil)
			go server.ServeConn(serverConn)
			reply := &Reply{}
			qt.Assert(t, rpc.NewClient(clientConn).Call(methodListKnown, test.request, reply), qt.IsNil)
			qt.Assert(t, reply.unpack(), qt.IsNil)
			qt.Assert(t, reply.Listing, qt.DeepEquals, listing)
		})
	}
}

// Guards against the value of a former version under the newer version of a key, and the reverse.
func TestPackedValueBelongsToItsVersion(t *testing.T) {
	c := qt.New(t)
	p := newPacker()
	values := [][]byte{encodedRoutes(100, 1), encodedRoutes(100, 2)}
	for _, version := range []uint64{0, 1, 1, 0} {
		entry := pollenstore.Entry{Key: "a", Value: values[version], Version: version}
		reply := &Reply{Changes: pollenstore.Changes{Events: []pollenstore.Event{{Entry: entry}, {Entry: pollenstore.Entry{Key: "a", Version: 7}, Deleted: true}}}}
		p.pack(reply)
		c.Assert(reply.PackedValues, qt.HasLen, 1)
		c.Assert(reply.unpack(), qt.IsNil)
		c.Assert(reply.Changes.Events[0].Entry, qt.DeepEquals, entry)
		c.Assert(reply.Changes.Events[1].Entry.Value, qt.IsNil)
	}
}

// Guards against damaged or endless values that are used or fill the memory.
func TestDamagedPackedValuesAreErrors(t *testing.T) {
	data, err := deflate(make([]byte, 1<<20))
	qt.Assert(t, err, qt.IsNil)
	tests := []struct {
		name   string
		packed PackedValue
	}{
		{"longer than stated", PackedValue{Size: 1 << 10, Data: data}},
		{"shorter than stated", PackedValue{Size: 1<<20 + 1, Data: data}},
		{"cut", PackedValue{Size: 1 << 20, Data: data[:len(data)/2]}},
		{"not compressed", PackedValue{Size: 3, Data: []byte("abc")}},
		{"size below zero", PackedValue{Size: -1, Data: data}},
		{"too large", PackedValue{Size: maxUnpackedBytes + 1, Data: data}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reply := &Reply{PackedValues: []PackedValue{test.packed}}
			qt.Assert(t, reply.unpack(), qt.ErrorAs, new(*PackedValueError))
		})
	}
}
