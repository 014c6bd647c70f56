package pollenview

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenstore"
)

// plainDecoder decodes the keys "config", whose value is a version, "server/ID", "instance/NAME" and "zone/NAME".
type plainDecoder struct{}

var errUnreadable = errors.New("not readable")

func (plainDecoder) Decode(entry pollenstore.Entry, _ time.Time) (Record, error) {
	kind, name, _ := strings.Cut(entry.Key, "/")
	value := string(entry.Value)
	if value == "?" {
		return Record{}, errUnreadable
	}
	switch kind {
	case "config":
		version, err := strconv.ParseUint(value, 10, 64)
		return Record{Configuration: &pollencatalog.Configuration{Version: version}}, err
	case "server":
		return Record{Server: &pollencatalog.Server{
			ID: name, Service: "s", Zone: "z", Draining: value == "leaving", Address: netip.MustParseAddrPort("127.0.0.1:80"),
		}}, nil
	case "instance":
		return Record{Instance: &pollencatalog.Instance{Name: name, Ready: true}}, nil
	case "zone":
		return Record{EvacuatedZone: name}, nil
	}
	return Record{}, nil
}

func newTestView() *View {
	return New(Config{Decoder: plainDecoder{}, GracePeriod: 2 * time.Second, DepartedRetention: 15 * time.Second})
}

func listing(keys ...string) StoreListed {
	var l StoreListed
	for _, key := range keys {
		l.Listing.Entries = append(l.Listing.Entries, entry(key))
	}
	return l
}

// listingOfEra returns a listing of an era of the store.
func listingOfEra(era uint64, keys ...string) StoreListed {
	l := listing(keys...)
	l.Listing.Era = era
	return l
}

func entry(key string) pollenstore.Entry {
	key, value, _ := strings.Cut(key, "=")
	return pollenstore.Entry{Key: key, Value: []byte(value)}
}

func keyWritten(key string) StoreChanged {
	return StoreChanged{Changes: pollenstore.Changes{Events: []pollenstore.Event{{Entry: entry(key)}}}}
}

func keyDeleted(key string) StoreChanged {
	return StoreChanged{Changes: pollenstore.Changes{Events: []pollenstore.Event{{Entry: entry(key), Deleted: true}}}}
}

// summarize returns a table's version, eligible servers, number of instances and number of sharers as text.
func summarize(t *pollencatalog.Table) string {
	var names []string
	for _, s := range t.AppendEligible(nil, "s") {
		names = append(names, s.ID)
	}
	version := uint64(0)
	if t.Configuration() != nil {
		version = t.Configuration().Version
	}
	return fmt.Sprintf("v%d servers=%s instances=%d sharers=%d", version, strings.Join(names, ","), len(t.Instances()), t.SharerCount())
}

// testMessages checks the table after messages and pauses.
func testMessages(t *testing.T, messages []any, want string) {
	synctest.Test(t, func(t *testing.T) {
		v := newTestView()
		for _, message := range messages {
			if d, ok := message.(elapse); ok {
				time.Sleep(time.Duration(d))
				continue
			}
			v.Receive(message)
		}
		qt.Assert(t, summarize(v.Table()), qt.Equals, want)
	})
}

// elapse is a pause between two messages.
type elapse time.Duration

// Guards against what a store's copy says of servers and zones that have changed since, until its owners had time to write again.
func TestTableAfterRestore(t *testing.T) {
	before := listingOfEra(1, "config=5", "server/a", "server/b", "server/c")
	tests := []struct {
		name     string
		messages []any
		want     string
	}{
		{"draining server stays draining", []any{before, keyWritten("server/a=leaving"), listingOfEra(2, "config=5", "server/a", "server/b", "server/c")}, "v5 servers=b,c instances=0 sharers=1"},
		{"deleted server stays deleted", []any{before, keyDeleted("server/a"), listingOfEra(2, "config=5", "server/a", "server/b", "server/c")}, "v5 servers=b,c instances=0 sharers=1"},
		{"deleted instance stays deleted", []any{
			listingOfEra(1, "instance/x", "instance/y"), keyDeleted("instance/x"), listingOfEra(2, "instance/x", "instance/y"),
		}, "v0 servers= instances=1 sharers=2"},
		{"evacuated zone stays evacuated", []any{before, keyWritten("zone/z"), listingOfEra(2, "config=5", "server/a")}, "v5 servers= instances=0 sharers=1"},
		{"new server stays", []any{before, keyWritten("server/d"), listingOfEra(2, "config=5", "server/a", "server/b", "server/c")}, "v5 servers=a,b,c,d instances=0 sharers=1"},
		{"newer configuration stays in force", []any{before, keyWritten("config=6"), listingOfEra(2, "config=5", "server/a")}, "v6 servers=a,b,c instances=0 sharers=1"},
		{"what is written again counts at once", []any{
			before, keyWritten("server/a=leaving"), keyDeleted("server/b"), keyWritten("zone/z"), listingOfEra(2, "config=5", "server/a", "server/b", "server/c"),
			keyWritten("server/a"), keyWritten("server/b"), keyWritten("zone/z"), keyDeleted("zone/z"),
		}, "v5 servers=a,b,c instances=0 sharers=1"},
		{"what is not written again is as the store says", []any{
			before, keyWritten("server/a=leaving"), keyDeleted("server/b"), keyWritten("zone/z"), listingOfEra(2, "config=5", "server/a", "server/b"),
			elapse(2100 * time.Millisecond), Tick{},
		}, "v5 servers=a,b instances=0 sharers=1"},
		{"server deleted long before", []any{before, keyDeleted("server/a"), elapse(time.Minute), Tick{}, listingOfEra(2, "server/a")}, "v5 servers=a,b,c instances=0 sharers=1"},
		{"listing of the same era", []any{before, keyWritten("server/a=leaving"), keyDeleted("server/b"), listingOfEra(1, "server/a", "server/b")}, "v5 servers=a,b instances=0 sharers=1"},
		{"era not stated", []any{before, keyDeleted("server/a"), listingOfEra(0, "server/a")}, "v5 servers=a instances=0 sharers=1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { testMessages(t, test.messages, test.want) })
	}
}

// Guards against requests to servers that are gone, and against dropping servers whose keys expired in an outage.
func TestTableAfterMessages(t *testing.T) {
	tests := []struct {
		name     string
		messages []any
		want     string
	}{
		{"listing", []any{listing("config=3", "server/a", "server/b", "instance/x")}, "v3 servers=a,b instances=1 sharers=1"},
		{"newer version", []any{listing("config=3"), keyWritten("config=5")}, "v5 servers= instances=0 sharers=1"},
		{"older version is ignored", []any{listing("config=5"), keyWritten("config=3"), listing("config=4")}, "v5 servers= instances=0 sharers=1"},
		{"unreadable configuration is ignored", []any{listing("config=5"), keyWritten("config=?")}, "v5 servers= instances=0 sharers=1"},
		{"missing configuration stays in force", []any{listing("config=5"), listing()}, "v5 servers= instances=0 sharers=1"},
		{"unreadable server is removed", []any{listing("server/a", "server/b"), keyWritten("server/a=?")}, "v0 servers=b instances=0 sharers=1"},
		{"draining server is not eligible", []any{listing("server/a", "server/b"), keyWritten("server/a=leaving")}, "v0 servers=b instances=0 sharers=1"},
		{"deleted server is gone at once", []any{listing("server/a", "server/b"), keyDeleted("server/a")}, "v0 servers=b instances=0 sharers=1"},
		{"evacuated zone", []any{listing("server/a"), keyWritten("zone/z")}, "v0 servers= instances=0 sharers=1"},
		{"zone is back", []any{listing("server/a", "zone/z"), keyDeleted("zone/z")}, "v0 servers=a instances=0 sharers=1"},
		{"zone is back after an outage", []any{listing("server/a", "zone/z"), StoreUnavailable{}, StoreRecovered{}, keyDeleted("zone/z")}, "v0 servers=a instances=0 sharers=1"},
		{"server whose key expired in an outage is retained", []any{
			listing("server/a", "server/b"), StoreUnavailable{}, elapse(5 * time.Second), StoreRecovered{}, keyDeleted("server/a"),
			elapse(1900 * time.Millisecond), Tick{},
		}, "v0 servers=a,b instances=0 sharers=1"},
		{"server that does not return is gone", []any{
			listing("server/a", "server/b"), StoreUnavailable{}, elapse(5 * time.Second), StoreRecovered{}, listing("server/b"),
			elapse(2100 * time.Millisecond), Tick{},
		}, "v0 servers=b instances=0 sharers=1"},
		{"server that returned stays", []any{
			listing("server/a"), StoreUnavailable{}, StoreRecovered{}, keyDeleted("server/a"), elapse(time.Second), keyWritten("server/a"),
			elapse(2 * time.Second), Tick{},
		}, "v0 servers=a instances=0 sharers=1"},
		{"retained server that is draining is not eligible", []any{
			listing("server/a", "server/b"), StoreUnavailable{}, StoreRecovered{}, keyWritten("server/a=leaving"), keyDeleted("server/a"),
		}, "v0 servers=b instances=0 sharers=1"},
		{"departed instances keep their share of limits", []any{listing("instance/x", "instance/y", "instance/z"), keyDeleted("instance/x")}, "v0 servers= instances=2 sharers=3"},
		{"departed instances are forgotten", []any{
			listing("instance/x", "instance/y", "instance/z"), keyDeleted("instance/x"), elapse(16 * time.Second), Tick{},
		}, "v0 servers= instances=2 sharers=2"},
		{"returned instance counts once", []any{listing("instance/x", "instance/y"), keyDeleted("instance/x"), keyWritten("instance/x")}, "v0 servers= instances=2 sharers=2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { testMessages(t, test.messages, test.want) })
	}
}
