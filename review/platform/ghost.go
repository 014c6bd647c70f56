package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// ghosts are the entries of another writer: each lacks one field, or holds one of another type.
var ghosts = []struct {
	name, field string
	value       any
}{
	{"no-zone", "zone", nil},
	{"no-version", "version", nil},
	{"no-slots", "slots", nil},
	{"no-warmup", "warmup_left_ms", nil},
	{"no-seq", "seq", nil},
	{"seq-is-text", "seq", "many"},
}

// runGhost writes entries of another writer beside those of two servers, and sends bookings.
func runGhost(f *fleet, trouble bool) (verdict, error) {
	f.store.put("op/config", configuration(3, []route{
		plainRoute("booking", "/booking/", "non_idempotent", "sending", 2, 8*time.Second, 800*time.Millisecond),
	}, []string{"sending"}))
	work := func(*http.Request) time.Duration { return 30 * time.Millisecond }
	for n := range 2 {
		s := &server{id: fmt.Sprintf("i-%04d", n+1), service: "sending", zone: zoneOf(n), record: f.record, work: work}
		if err := startServer(s, 4, 16); err != nil {
			return verdict{}, err
		}
		f.store.put("servers/"+s.id, s.entry("ready"))
	}
	for n := range 3 {
		f.add(fmt.Sprintf("entry-%d", n+1), zoneOf(n), n)
	}
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for _, g := range ghosts {
			// What listens at the address belongs to the other writer, and accepts the ID of the entry.
			ghost := &server{id: "foreign-" + g.name, service: "sending", zone: "vik", record: f.record, work: work}
			if err := startServer(ghost, 4, 16); err != nil {
				return verdict{}, err
			}
			e := ghost.entry("ready")
			if g.value == nil {
				delete(e, g.field)
			} else {
				e[g.field] = g.value
			}
			f.record.printf("another writer writes servers/%s: %v", ghost.id, e)
			f.store.put("servers/"+ghost.id, e)
		}
	}
	time.Sleep(5 * time.Second)
	const count = 150
	reached := make(map[string]int)
	total := 0
	for n := range count {
		c, err := dial(f.entries[n%len(f.entries)].caller)
		if err != nil {
			return verdict{}, err
		}
		id := fmt.Sprintf("g%d", n)
		if _, err := c.send(f.record, http.MethodPost, "/booking/", id, "two couriers", 8*time.Second); err != nil {
			return verdict{}, err
		}
		c.conn.Close()
		for _, s := range f.record.ranOn(id) {
			if strings.HasPrefix(s, "foreign-") {
				reached[s]++
				total++
			}
		}
	}
	var lines []string
	for s, n := range reached {
		lines = append(lines, fmt.Sprintf("%s %d", s, n))
	}
	slices.Sort(lines)
	return verdict{broken: total > 0, text: fmt.Sprintf("%d of %d bookings ran at addresses of entries that name no server: %v", total, count, lines)}, nil
}
