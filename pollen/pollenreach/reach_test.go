package pollenreach

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

var start = time.Unix(1_000_000, 0)

const testServices, testZones = 12, 3

// testTable returns two servers for each service, in two of three zones.
func testTable() (*pollencatalog.Table, []*pollencatalog.Server) {
	var config pollencatalog.TableConfig
	for i := range testServices {
		for j := range 2 {
			config.Servers = append(config.Servers, &pollencatalog.Server{
				ID: fmt.Sprintf("%d-%d", i, j), Service: fmt.Sprintf("s%d", i), Zone: fmt.Sprintf("zone-%d", (i+j)%testZones),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(j), 0, byte(i)}), 80),
			})
		}
	}
	return pollencatalog.NewTable(config), config.Servers
}

// way states what happens to requests to a server.
type way int

const (
	answers way = iota
	// hangs leaves requests and connections without an answer; resets breaks connections and refuses new ones.
	hangs
	resets
	// pauses leaves requests unanswered for 250 ms, and answers them then.
	pauses
	// idle means that no requests are sent to the server.
	idle
)

// usualWork is how long servers take for the requests of drive.
const usualWork = 20 * time.Millisecond

// drive sends requests to all servers for a time, each of which goes the way that the function returns, and returns how long it took
// until the instance was cut off; zero if it was not.
func drive(t *Tracker, table *pollencatalog.Table, servers []*pollencatalog.Server, from time.Time, duration time.Duration, wayOf func(s *pollencatalog.Server, at time.Duration) way) time.Duration {
	type pending struct {
		server  *pollencatalog.Server
		endsAt  time.Time
		outcome Outcome
	}
	var inFlight []pending
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < duration; at += step {
		now := from.Add(at)
		rest := inFlight[:0]
		for _, p := range inFlight {
			if now.Before(p.endsAt) {
				rest = append(rest, p)
				continue
			}
			t.End(p.server, p.outcome, now)
		}
		inFlight = rest
		for i, s := range servers {
			if int(at/step)%20 != i%20 {
				continue
			}
			p := pending{server: s, endsAt: now.Add(usualWork), outcome: Answered}
			switch wayOf(s, at) {
			case hangs:
				p.endsAt, p.outcome = now.Add(500*time.Millisecond), Unreached
			case resets:
				p.outcome = Unreached
			case pauses:
				p.endsAt = now.Add(250 * time.Millisecond)
			case idle:
				continue
			}
			t.Begin(s, usualWork, now)
			inFlight = append(inFlight, p)
		}
		if int(at/step)%10 == 0 {
			t.Review(table, now)
			if t.CutOff() {
				return at
			}
		}
	}
	return 0
}

// Load pattern: links, servers, services and zones fail in many ways; only an instance that has lost its own links must pass its
// requests on, and soon.
func TestCutOffIsToldFromFailedServers(t *testing.T) {
	const lostAt = 2 * time.Second
	after := func(then way, only func(s *pollencatalog.Server) bool) func(*pollencatalog.Server, time.Duration) way {
		return func(s *pollencatalog.Server, at time.Duration) way {
			if at >= lostAt && only(s) {
				return then
			}
			return answers
		}
	}
	all := func(*pollencatalog.Server) bool { return true }
	random := rand.New(rand.NewPCG(1, 2))
	tests := []struct {
		name   string
		wayOf  func(s *pollencatalog.Server, at time.Duration) way
		cutOff bool
	}{
		{"all links hang", after(hangs, all), true},
		{"all links are reset and refused", after(resets, all), true},
		{"links live on while new ones are refused", func(_ *pollencatalog.Server, at time.Duration) way {
			if at >= lostAt && random.Float64() < 0.4 {
				return resets
			}
			return answers
		}, false},
		{"nothing", after(answers, all), false},
		{"all servers pause", after(pauses, all), false},
		{"a few servers end", after(resets, func(s *pollencatalog.Server) bool { return s.ID < "2" }), false},
		{"a service ends", after(resets, func(s *pollencatalog.Server) bool { return s.Service == "s1" }), false},
		{"one of each service's servers ends", after(resets, func(s *pollencatalog.Server) bool { return s.ID[len(s.ID)-1] == '1' }), false},
		{"a zone is lost", after(hangs, func(s *pollencatalog.Server) bool { return s.Zone == "zone-1" }), false},
		{"two zones are lost", after(hangs, func(s *pollencatalog.Server) bool { return s.Zone != "zone-1" }), false},
		{"requests end after a few failures", func(s *pollencatalog.Server, at time.Duration) way {
			switch {
			case at >= lostAt:
				return idle
			case s.ID < "2" && at >= lostAt-100*time.Millisecond:
				return resets
			}
			return answers
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			table, servers := testTable()
			tracker := NewTracker()
			lost := tracker.Lost()
			took := drive(tracker, table, servers, start, 8*time.Second, test.wayOf)
			c.Assert(tracker.CutOff(), qt.Equals, test.cutOff)
			select {
			case <-lost:
				c.Assert(test.cutOff, qt.IsTrue)
			default:
				c.Assert(test.cutOff, qt.IsFalse)
			}
			if test.cutOff {
				c.Assert(took-lostAt <= time.Second, qt.IsTrue, qt.Commentf("after %v", took-lostAt))
			}
		})
	}
}

// Load pattern: servers work on requests for seconds, and no answer arrives; links hang or are refused meanwhile. The silence must lead to
// few probes, and only to a cut if they fail, or if it lasts much longer than the route's requests usually take.
func TestSilenceIsJudgedByProbes(t *testing.T) {
	const silence, interval = 10 * time.Second, 250 * time.Millisecond
	tests := []struct {
		name  string
		usual time.Duration
		// failAt is when probes begin to fail.
		failAt time.Duration
		// cutOffAt is when the instance must be cut off, or later by a second at most; zero if it must not be.
		cutOffAt time.Duration
		// abandoned is set if requests are given up after an interval, and others follow.
		abandoned bool
	}{
		{"busy, latencies not known", 0, silence, 0, false},
		{"busy, known as long", 3 * time.Second, silence, 0, false},
		{"busy, callers give up", 3 * time.Second, silence, 0, true},
		{"cut at the begin", 0, 0, 150 * time.Millisecond, false},
		{"cut later", 3 * time.Second, 5 * time.Second, 5 * time.Second, false},
		{"something else takes connections for servers", usualWork, silence, silentAfter, false},
		{"the same, callers give up", usualWork, silence, silentAfter, true},
		{"the same, after long work", 500 * time.Millisecond, silence, 2 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			table, servers := testTable()
			tracker, probes := NewTracker(), 0
			for _, s := range servers {
				tracker.Begin(s, test.usual, start)
			}
			var cutOffAt time.Duration
			for at := time.Duration(0); at < silence && !tracker.CutOff(); at += interval {
				for _, s := range servers {
					if test.abandoned && at > 0 {
						tracker.End(s, Unknown, start.Add(at))
						tracker.Begin(s, test.usual, start.Add(at))
					}
				}
				suspects := tracker.Suspects(table, start.Add(at))
				services, zones := make(map[string]bool), make(map[string]bool)
				for _, s := range suspects {
					probes++
					services[s.Service], zones[s.Zone] = true, true
					tracker.RecordProbe(s, at < test.failAt, start.Add(at))
				}
				c.Assert(len(suspects) == 0 || len(suspects) == probedSuspects && len(services) == probedSuspects && len(zones) == testZones, qt.IsTrue)
				tracker.Review(table, start.Add(at))
				cutOffAt = at
			}
			c.Assert(tracker.CutOff(), qt.Equals, test.cutOffAt > 0)
			if test.cutOffAt > 0 {
				c.Assert(cutOffAt >= test.cutOffAt && cutOffAt <= test.cutOffAt+time.Second, qt.IsTrue, qt.Commentf("%v", cutOffAt))
			}
			c.Assert(probes <= probedSuspects*int(silence/answerAge), qt.IsTrue, qt.Commentf("%d probes", probes))
		})
	}
}

// Guards against probes of an instance some of whose servers answer, and against a suspicion that ends with the requests that were
// given up.
func TestSuspicionNeedsSilenceOfMostServers(t *testing.T) {
	c := qt.New(t)
	table, servers := testTable()
	tracker, now := NewTracker(), start.Add(2*suspectAfter)
	for _, s := range servers {
		tracker.Begin(s, 0, start)
	}
	for _, s := range servers[:len(servers)/4] {
		tracker.End(s, Answered, now)
	}
	c.Assert(tracker.Suspects(table, now), qt.HasLen, 0)
	for _, s := range servers[len(servers)/4:] {
		tracker.End(s, Unknown, now)
	}
	now = now.Add(suspicionAnswerAge)
	c.Assert(tracker.Suspects(table, now), qt.HasLen, probedSuspects)
	c.Assert(tracker.Review(table, now).Unreached, qt.Equals, 0)
}

// Guards against log lines that do not say why an instance is cut off, or that grow with the number of servers.
func TestEvidenceNamesServersAndAge(t *testing.T) {
	c := qt.New(t)
	table, servers := testTable()
	tracker := NewTracker()
	for _, s := range servers {
		tracker.RecordProbe(s, false, start)
	}
	tracker.Review(table, start)
	c.Assert(tracker.CutOff(), qt.IsTrue)
	text := tracker.Evidence().Format(start.Add(120 * time.Millisecond))
	c.Assert(text, qt.Matches, `\d+-\d: no connection for a probe, 120 ms ago; .*; and 19 more`)
	c.Assert(strings.Count(text, "no connection"), qt.Equals, maxObservations)
}

// Guards against direct sending on the word of servers that answered before the instance was cut off.
func TestServersAnswerOnlyAfterTheCut(t *testing.T) {
	c := qt.New(t)
	table, servers := testTable()
	tracker := NewTracker()
	tracker.Begin(servers[0], 0, start)
	tracker.End(servers[0], Answered, start)
	for _, s := range servers {
		tracker.RecordProbe(s, false, start.Add(time.Millisecond))
	}
	now := start.Add(time.Millisecond)
	tracker.Review(table, now)
	c.Assert(tracker.CutOff(), qt.IsTrue)
	c.Assert(tracker.ServersAnswer(now), qt.IsFalse)
	tracker.RecordProbes(0, 3, now.Add(time.Second))
	c.Assert(tracker.ServersAnswer(now.Add(time.Second)), qt.IsFalse)
	tracker.RecordProbes(1, 3, now.Add(2*time.Second))
	c.Assert(tracker.ServersAnswer(now.Add(2*time.Second)), qt.IsTrue)
	c.Assert(tracker.ServersAnswer(now.Add(2*time.Second+contactAge)), qt.IsFalse)
}

// Guards against an instance that stays cut off for long, or that changes between both states while its links come and go.
func TestDirectSendingResumesAfterProbes(t *testing.T) {
	c := qt.New(t)
	table, servers := testTable()
	tracker := NewTracker()
	drive(tracker, table, servers, start, 4*time.Second, func(*pollencatalog.Server, time.Duration) way { return hangs })
	c.Assert(tracker.CutOff(), qt.IsTrue)
	for _, probes := range []struct {
		connected, tried int
		regained         bool
	}{{0, 3, false}, {3, 3, false}, {2, 3, false}, {3, 3, false}, {0, 0, false}, {3, 3, false}, {3, 3, true}} {
		c.Assert(tracker.RecordProbes(probes.connected, probes.tried, start), qt.Equals, probes.regained)
		c.Assert(tracker.CutOff(), qt.Equals, !probes.regained)
	}
	took := drive(tracker, table, servers, start.Add(5*time.Second), 4*time.Second, func(*pollencatalog.Server, time.Duration) way { return answers })
	c.Assert(took, qt.Equals, time.Duration(0))
	c.Assert(drive(tracker, table, servers, start.Add(20*time.Second), 4*time.Second, func(*pollencatalog.Server, time.Duration) way { return hangs }) > 0, qt.IsTrue)
}

// Guards against an instance that sends directly again and again because something takes connections for servers that do not answer.
func TestRelapsesTakeMoreProbes(t *testing.T) {
	c := qt.New(t)
	table, servers := testTable()
	tracker, now := NewTracker(), start
	lastRounds := 0
	for relapse := range 8 {
		drive(tracker, table, servers, now, 4*time.Second, func(*pollencatalog.Server, time.Duration) way { return hangs })
		c.Assert(tracker.CutOff(), qt.IsTrue)
		rounds := 1
		for now = now.Add(time.Second); !tracker.RecordProbes(3, 3, now); rounds++ {
		}
		if relapse > 0 {
			c.Assert(rounds >= lastRounds && rounds <= successfulProbes<<maxRelapses, qt.IsTrue, qt.Commentf("%d rounds after %d", rounds, lastRounds))
		}
		lastRounds = rounds
	}
	c.Assert(lastRounds, qt.Equals, successfulProbes<<maxRelapses)
}

// Load pattern: all but a few instances pass their requests on. The others must share the load by their processor shares, and those
// that do not take requests must be left out for a time.
func TestPeersShareTheLoad(t *testing.T) {
	c := qt.New(t)
	var candidates []pollencatalog.Instance
	for i := range 4 {
		candidates = append(candidates, pollencatalog.Instance{Name: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("zone-%d", i%2), Processor: 0.4})
	}
	candidates[3].Processor = 0.8
	p := NewPeers(rand.New(rand.NewPCG(1, 2)))
	counts := make(map[string]int)
	for range 1000 {
		i, ok := p.Choose(candidates, nil, start)
		c.Assert(ok, qt.IsTrue)
		p.Begin(i.Name)
		counts[i.Name]++
	}
	for i, candidate := range candidates {
		want := 1000 * candidate.Processor / 2
		c.Check(float64(counts[candidate.Name]) > 0.8*want && float64(counts[candidate.Name]) < 1.2*want, qt.IsTrue, qt.Commentf("instance %d: %v", i, counts))
	}
	p.End("entry-0", true, start)
	for range 100 {
		i, _ := p.Choose(candidates, []string{"entry-1"}, start)
		c.Assert(i.Name != "entry-0" && i.Name != "entry-1", qt.IsTrue)
	}
	_, ok := p.Choose(candidates[:1], nil, start)
	c.Assert(ok, qt.IsFalse)
	_, ok = p.Choose(candidates[:1], nil, start.Add(unavailability))
	c.Assert(ok, qt.IsTrue)
	p.Prune(pollencatalog.NewTable(pollencatalog.TableConfig{}))
	c.Assert(len(p.peers) > 0, qt.IsTrue, qt.Commentf("instances that have requests are not forgotten"))
}
