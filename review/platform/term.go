package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// graceTime is grace_s, the time from SIGTERM until the platform sends SIGKILL.
	graceTime = 6 * time.Second
	// sentAfter is when clients send their request: later than the 3 s within which a server's long work excuses the machine.
	sentAfter = 3900 * time.Millisecond
	// termClients is the number of clients with kept connections: twice the number of slots, so that half of the requests wait at their
	// servers.
	termClients = 24
)

// runTerm stops one instance of three as planned while clients with kept connections still use it.
func runTerm(f *fleet, trouble bool) (verdict, error) {
	f.store.put("op/config", configuration(3, []route{
		plainRoute("booking", "/booking/", "non_idempotent", "sending", 1, 15*time.Second, 800*time.Millisecond),
	}, []string{"sending"}))
	for n := range 3 {
		s := &server{
			id: fmt.Sprintf("i-%04d", n+1), service: "sending", zone: zoneOf(n), record: f.record,
			work: func(r *http.Request) time.Duration {
				if r.Header.Get("Request-Id")[:1] == "w" {
					return 20 * time.Millisecond
				}
				return termWork
			},
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
	time.Sleep(5 * time.Second)
	stopped := f.entries[0]
	var clients []*client
	for n := range termClients {
		c, err := dial(stopped.caller)
		if err != nil {
			return verdict{}, err
		}
		// The connection is in use before the stop.
		if _, err := c.send(f.record, "POST", "/booking/", fmt.Sprintf("w%d", n), "warm", 15*time.Second); err != nil {
			return verdict{}, err
		}
		clients = append(clients, c)
	}
	ttl, err := resolve(f.entries[1].directory, stopped.caller)
	if err != nil {
		return verdict{}, err
	}
	f.record.printf("clients ask the directory: %s is listed for %v, which some clients keep three times as long", stopped.name, ttl)
	if sentAfter > 3*ttl {
		return verdict{}, fmt.Errorf("no client keeps a directory answer for %v", sentAfter)
	}
	start := time.Now()
	if trouble {
		f.record.printf("SIGTERM to %s", stopped.name)
		stopped.signal(syscall.SIGTERM)
		go func() {
			time.Sleep(graceTime)
			f.record.printf("grace_s is over, SIGKILL to %s", stopped.name)
			stopped.signal(syscall.SIGKILL)
		}()
	}
	time.Sleep(time.Until(start.Add(sentAfter)))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	for n, c := range clients {
		wg.Go(func() {
			id := fmt.Sprintf("r%d", n)
			_, err := c.send(f.record, "POST", "/booking/", id, "two couriers", 15*time.Second)
			if errors.Is(err, errNoAnswer) && len(f.record.ranOn(id)) > 0 {
				mu.Lock()
				defer mu.Unlock()
				lost = append(lost, id)
			}
		})
	}
	wg.Wait()
	return verdict{broken: len(lost) > 0, text: fmt.Sprintf(
		"%d of %d requests that were sent %v after SIGTERM and passed on to a sound server got no answer: %v", len(lost), len(clients), sentAfter, lost)}, nil
}

// termWork is how long a request occupies a slot of its server: the longest work of archive-pull in the site file.
const termWork = 1300 * time.Millisecond

func zoneOf(n int) string { return []string{"selfoss", "hella", "vik"}[n%3] }

// resolve asks a directory for the addresses of the host, and returns how long the answer holds if it lists an address.
func resolve(directory, address string) (time.Duration, error) {
	response, err := http.Get("http://" + directory + "/resolve?name=" + host + "&region=sudurland&zone=hella")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var resolved struct {
		Addresses []string `json:"addrs"`
		Seconds   float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(response.Body).Decode(&resolved); err != nil {
		return 0, err
	}
	if !slices.Contains(resolved.Addresses, address) {
		return 0, fmt.Errorf("the directory does not list %s: %v", address, resolved.Addresses)
	}
	return time.Duration(resolved.Seconds * float64(time.Second)), nil
}
