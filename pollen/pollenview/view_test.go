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

// plainDecoder reads keys such as "config" with a version, "server/ID", "instance/NAME" and "zone/NAME".
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
			ID: name, Service: "s", Zone: "z", Leaving: value == "leaving", Address: netip.MustParseAddrPort("127.0.0.1:80"),
		}}, nil
	case "instance":
		return Record{Instance: &pollencatalog.Instance{Name: name, Ready: true}}, nil
	case "zone":
		return Record{EvacuatedZone: name}, nil
	}
	return Record{}, nil
}

func newView() *View {
	return New(Config{Decoder: plainDecoder{}, Return: 2 * time.Second, Memory: 15 * time.Second})
}

func listed(keys ...string) Listed {
	var l Listed
	for _, key := range keys {
		l.Listing.Entries = append(l.Listing.Entries, entry(key))
	}
	return l
}

func entry(key string) pollenstore.Entry {
	key, value, _ := strings.Cut(key, "=")
	return pollenstore.Entry{Key: key, Value: []byte(value)}
}

func written(key string) Changed {
	return Changed{Changes: pollenstore.Changes{Events: []pollenstore.Event{{Entry: entry(key)}}}}
}

func deleted(key string) Changed {
	return Changed{Changes: pollenstore.Changes{Events: []pollenstore.Event{{Entry: entry(key), Deleted: true}}}}
}

// state renders a table as the servers that may be used, the instances and the version.
func state(t *pollencatalog.Table) string {
	var names []string
	for _, s := range t.Usable(nil, "s") {
		names = append(names, s.ID)
	}
	version := uint64(0)
	if t.Configuration() != nil {
		version = t.Configuration().Version
	}
	return fmt.Sprintf("v%d servers=%s instances=%d sharers=%d", version, strings.Join(names, ","), len(t.Instances()), t.Sharers())
}

type wait time.Duration

func TestView(t *testing.T) {
	tests := []struct {
		name     string
		messages []any
		want     string
	}{
		{"listing", []any{listed("config=3", "server/a", "server/b", "instance/x")}, "v3 servers=a,b instances=1 sharers=1"},
		{"newer version", []any{listed("config=3"), written("config=5")}, "v5 servers= instances=0 sharers=1"},
		{"older version is not taken", []any{listed("config=5"), written("config=3"), listed("config=4")}, "v5 servers= instances=0 sharers=1"},
		{"unreadable configuration is not taken", []any{listed("config=5"), written("config=?")}, "v5 servers= instances=0 sharers=1"},
		{"missing configuration stays in force", []any{listed("config=5"), listed()}, "v5 servers= instances=0 sharers=1"},
		{"unreadable server names no server", []any{listed("server/a", "server/b"), written("server/a=?")}, "v0 servers=b instances=0 sharers=1"},
		{"leaving server gets nothing", []any{listed("server/a", "server/b"), written("server/a=leaving")}, "v0 servers=b instances=0 sharers=1"},
		{"deleted server is gone at once", []any{listed("server/a", "server/b"), deleted("server/a")}, "v0 servers=b instances=0 sharers=1"},
		{"evacuated zone", []any{listed("server/a"), written("zone/z")}, "v0 servers= instances=0 sharers=1"},
		{"zone is back", []any{listed("server/a", "zone/z"), deleted("zone/z")}, "v0 servers=a instances=0 sharers=1"},
		{"zone is back after an outage", []any{listed("server/a", "zone/z"), StoreLost{}, StoreRegained{}, deleted("zone/z")}, "v0 servers=a instances=0 sharers=1"},
		{"server that lapsed in an outage is held", []any{
			listed("server/a", "server/b"), StoreLost{}, wait(5 * time.Second), StoreRegained{}, deleted("server/a"),
			wait(1900 * time.Millisecond), Tick{},
		}, "v0 servers=a,b instances=0 sharers=1"},
		{"server that does not return is gone", []any{
			listed("server/a", "server/b"), StoreLost{}, wait(5 * time.Second), StoreRegained{}, listed("server/b"),
			wait(2100 * time.Millisecond), Tick{},
		}, "v0 servers=b instances=0 sharers=1"},
		{"server that returned stays", []any{
			listed("server/a"), StoreLost{}, StoreRegained{}, deleted("server/a"), wait(time.Second), written("server/a"),
			wait(2 * time.Second), Tick{},
		}, "v0 servers=a instances=0 sharers=1"},
		{"held server that is leaving gets nothing", []any{
			listed("server/a", "server/b"), StoreLost{}, StoreRegained{}, written("server/a=leaving"), deleted("server/a"),
		}, "v0 servers=b instances=0 sharers=1"},
		{"departed instances keep their share of limits", []any{listed("instance/x", "instance/y", "instance/z"), deleted("instance/x")}, "v0 servers= instances=2 sharers=3"},
		{"departed instances are forgotten", []any{
			listed("instance/x", "instance/y", "instance/z"), deleted("instance/x"), wait(16 * time.Second), Tick{},
		}, "v0 servers= instances=2 sharers=2"},
		{"returned instance counts once", []any{listed("instance/x", "instance/y"), deleted("instance/x"), written("instance/x")}, "v0 servers= instances=2 sharers=2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newView()
				for _, message := range test.messages {
					if d, ok := message.(wait); ok {
						time.Sleep(time.Duration(d))
						continue
					}
					v.Receive(message)
				}
				qt.Assert(t, state(v.Table()), qt.Equals, test.want)
			})
		})
	}
}
