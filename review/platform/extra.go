package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// shedShare is the share of requests that the servers of shedServices of the services reject: 30 of 40 servers. repeatedShare is
	// the share of their answers that one server of each service sends a second time: 20 of 40 servers.
	shedShare     = 0.6
	shedServices  = 15
	repeatedShare = 0.04

	extraServices = 20
	extraClients  = 3 // of each service
	extraDuration = 90 * time.Second
)

// runExtra sends bookings, which may run once at most, to services of two servers each, most of which reject a part of their
// requests, and some of which send a few of their answers a second time.
func runExtra(f *fleet, trouble bool) (verdict, error) {
	var routes []route
	var services []string
	for n := range extraServices {
		service := fmt.Sprintf("sending%d", n)
		services = append(services, service)
		routes = append(routes, plainRoute("booking"+service, "/"+service+"/", "non_idempotent", service, 3, 8*time.Second, 800*time.Millisecond))
	}
	f.store.put("op/config", configuration(3, routes, services))
	for n := range 2 * extraServices {
		s := &server{
			id: fmt.Sprintf("i-%04d", n+1), service: services[n/2], zone: zoneOf(n), record: f.record,
			work: func(*http.Request) time.Duration { return 30 * time.Millisecond },
		}
		if n/2 < shedServices {
			s.shed = func(string) bool { return rand.Float64() < shedShare }
		}
		if trouble && n%2 == 0 {
			s.repeats = func(string, bool) bool { return rand.Float64() < repeatedShare }
		}
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
	time.Sleep(6 * time.Second)
	t := &tally{record: f.record}
	var clients sync.WaitGroup
	end := time.Now().Add(extraDuration)
	for n := range extraServices * extraClients {
		clients.Go(func() { t.send(f.entries[n%len(f.entries)].caller, services[n/extraClients], n, end) })
	}
	clients.Wait()
	return t.verdict(), nil
}

// tally counts bookings that ran more than once, and those that were refused although they had run.
type tally struct {
	record *record

	mu             sync.Mutex
	count          int
	twice, refused []string
}

// send sends bookings one after the other, over a connection that is kept.
func (t *tally) send(address, service string, number int, end time.Time) {
	var c *client
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(400+rand.IntN(800)) * time.Millisecond)
		if c == nil {
			var err error
			if c, err = dial(address); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("c%d-%d", number, i)
		res, err := c.send(t.record, http.MethodPost, "/"+service+"/", id, "courier for "+id, 8*time.Second)
		if err != nil || res.close {
			c.conn.Close()
			c = nil
		}
		// A run of the request that is still under way is on record by then.
		time.Sleep(100 * time.Millisecond)
		t.add(id, res, err)
	}
}

func (t *tally) add(id string, res result, err error) {
	runs := t.record.ranOn(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	if len(runs) > 1 {
		t.record.printf("BROKEN: %s ran %d times, on %v", id, len(runs), runs)
		t.twice = append(t.twice, id)
	}
	if err == nil && len(runs) > 0 && (res.status == http.StatusServiceUnavailable || res.status == http.StatusTooManyRequests) {
		t.record.printf("BROKEN: %s was answered %d and has run on %v", id, res.status, runs)
		t.refused = append(t.refused, id)
	}
}

func (t *tally) verdict() verdict {
	return verdict{broken: len(t.twice)+len(t.refused) > 0, text: fmt.Sprintf(
		"of %d bookings, %d ran more than once: %v; %d were answered 503 or 429 and had run: %v", t.count, len(t.twice), t.twice, len(t.refused), t.refused)}
}
