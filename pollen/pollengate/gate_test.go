package pollengate

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

var start = time.Unix(1_000_000, 0)

// conditions states which servers are limited until a time, cold, ejected or of a version without traffic, by ID.
type conditions struct {
	limitedUntil               map[string]time.Time
	cold, ejected, notAdmitted map[string]bool
}

func (c conditions) NextSend(server *pollencatalog.Server, _ *pollencatalog.Table, now time.Time) time.Time {
	if until := c.limitedUntil[server.ID]; until.After(now) {
		return until
	}
	return now
}

func (c conditions) Holds(server *pollencatalog.Server, _ *pollencatalog.Table, _ time.Time) bool {
	return c.cold[server.ID]
}

func (c conditions) Ejected(server *pollencatalog.Server, _ time.Time) bool {
	return c.ejected[server.ID]
}

func (c conditions) Admits(server *pollencatalog.Server, _ *pollencatalog.Table, _ time.Time) bool {
	return !c.notAdmitted[server.ID]
}

func testServer(id string) *pollencatalog.Server {
	return &pollencatalog.Server{ID: id, Service: "s", Zone: "z-" + id, Address: netip.MustParseAddrPort("10.0.0.1:80"), StartedAt: start}
}

// newTestGate returns a gate over servers with a drain notice of four seconds.
func newTestGate(c conditions, config pollencatalog.TableConfig) *Gate {
	table := pollencatalog.NewTable(config)
	return New(Config{
		DrainNotice: 4 * time.Second, Table: func() *pollencatalog.Table { return table }, Limits: c, ColdLimits: c, Health: c, Versions: c,
	})
}

// Guards against a server that gets requests although one of the reasons applies, and against a leaving server that gets requests
// while its service has another one, or later than half of the drain notice.
func TestCheckNamesReason(t *testing.T) {
	a, b := testServer("a"), testServer("b")
	draining := testServer("a")
	draining.Draining = true
	type answer struct {
		server  *pollencatalog.Server
		leaving bool
		pause   time.Duration
		at      time.Duration
	}
	leaving := func(server *pollencatalog.Server, at time.Duration) answer {
		return answer{server: server, leaving: true, at: at}
	}
	tests := []struct {
		name       string
		server     *pollencatalog.Server
		conditions conditions
		evacuated  map[string]bool
		// alone is set if the service has no other server.
		alone   bool
		answers []answer
		// sentAt is when the caller sent the request, now the time of the check.
		sentAt, now time.Duration
		want        Reason
	}{
		{name: "nothing known", server: a},
		{name: "draining", server: draining, want: Draining},
		{name: "evacuated", server: a, evacuated: map[string]bool{"z-a": true}, want: ZoneEvacuated},
		{name: "leaving", server: a, answers: []answer{leaving(a, 0)}, want: Leaving},
		{name: "sent before the announcement", server: a, answers: []answer{leaving(a, 100)}, sentAt: 50, now: 200, want: Leaving},
		{name: "sibling leaves", server: a, answers: []answer{leaving(b, 0)}},
		{name: "only server, early", server: a, alone: true, answers: []answer{leaving(a, 0)}, sentAt: 2 * time.Second, now: 9 * time.Second},
		{name: "only server, late", server: a, alone: true, answers: []answer{leaving(a, 0)}, sentAt: 2*time.Second + 1, now: 2*time.Second + 1, want: Leaving},
		{name: "first announcement counts", server: a, alone: true, answers: []answer{leaving(a, 0), leaving(a, time.Second)}, sentAt: 2*time.Second + 1, now: 3 * time.Second, want: Leaving},
		{name: "all leave, early", server: a, answers: []answer{leaving(a, 0), leaving(b, 0)}, sentAt: time.Second, now: time.Second},
		{name: "all leave, late", server: a, answers: []answer{leaving(a, 0), leaving(b, 0)}, sentAt: 3 * time.Second, now: 3 * time.Second, want: Leaving},
		{name: "sibling paused", server: a, answers: []answer{leaving(a, 0), {server: b, pause: time.Second}}, now: 500 * time.Millisecond},
		{name: "sibling no longer paused", server: a, answers: []answer{leaving(a, 0), {server: b, pause: time.Second}}, now: time.Second, want: Leaving},
		{name: "sibling limited", server: a, conditions: conditions{limitedUntil: map[string]time.Time{"b": start.Add(time.Hour)}}, answers: []answer{leaving(a, 0)}},
		{name: "sibling ejected", server: a, conditions: conditions{ejected: map[string]bool{"b": true}}, answers: []answer{leaving(a, 0)}},
		{name: "sibling ejected, late", server: a, conditions: conditions{ejected: map[string]bool{"b": true}}, answers: []answer{leaving(a, 0)}, sentAt: 3 * time.Second, now: 3 * time.Second, want: Leaving},
		{name: "paused", server: a, answers: []answer{{server: a, pause: time.Second}}, now: time.Second - 1, want: Paused},
		{name: "pause over", server: a, answers: []answer{{server: a, pause: time.Second}}, now: time.Second},
		{name: "shorter pause later", server: a, answers: []answer{{server: a, pause: time.Second}, {server: a, pause: time.Millisecond, at: 1}}, now: time.Second / 2, want: Paused},
		{name: "pause is capped", server: a, answers: []answer{{server: a, pause: time.Hour}}, now: 30 * time.Second},
		{name: "leaving and paused", server: a, alone: true, answers: []answer{{server: a, leaving: true, pause: time.Second}}, want: Paused},
		{name: "limited", server: a, conditions: conditions{limitedUntil: map[string]time.Time{"a": start.Add(1)}}, want: Limited},
		{name: "cold", server: a, conditions: conditions{cold: map[string]bool{"a": true}}, want: Cold},
		{name: "version", server: a, conditions: conditions{notAdmitted: map[string]bool{"a": true}}, want: VersionNotAdmitted},
		{name: "ejected", server: a, conditions: conditions{ejected: map[string]bool{"a": true}}, want: Ejected},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			config := pollencatalog.TableConfig{Servers: []*pollencatalog.Server{test.server}, EvacuatedZones: test.evacuated}
			if !test.alone {
				config.Servers = append(config.Servers, b)
			}
			g := newTestGate(test.conditions, config)
			for _, answer := range test.answers {
				g.RecordAnswer(answer.server, answer.leaving, answer.pause, start.Add(answer.at))
			}
			sentAt, now := start.Add(test.sentAt), start.Add(test.now)
			c.Assert(g.Check(test.server, sentAt, now), qt.Equals, test.want)
			// The check must not change what it reports.
			c.Assert(g.Check(test.server, sentAt, now), qt.Equals, test.want)
			if test.want == Leaving || test.want == Paused {
				c.Assert(g.Announced(test.server, sentAt, now), qt.Equals, test.want)
				c.Assert(g.MaySendBy(test.server, sentAt, now, now), qt.IsFalse)
			}
		})
	}
}

// Guards against announcements that end when the server's entry is missing for a moment, that grow without bound, or that hold back
// a new incarnation.
func TestAnnouncementsEndWithIncarnation(t *testing.T) {
	c := qt.New(t)
	unknownStart := testServer("b")
	unknownStart.StartedAt = time.Time{}
	a := testServer("a")
	full := pollencatalog.TableConfig{Servers: []*pollencatalog.Server{a, unknownStart}}
	g := newTestGate(conditions{}, full)
	empty := pollencatalog.NewTable(pollencatalog.TableConfig{})
	g.RecordAnswer(a, true, 0, start)
	g.RecordAnswer(unknownStart, true, 0, start)
	restarted := testServer("a")
	restarted.StartedAt = start.Add(time.Second)
	c.Assert(g.IsLeaving(restarted), qt.IsFalse)
	g.Prune(empty, start)
	c.Assert(g.IsLeaving(a), qt.IsTrue)
	c.Assert(g.IsLeaving(unknownStart), qt.IsFalse)
	g.Prune(pollencatalog.NewTable(full), start.Add(2*time.Minute))
	g.Prune(empty, start.Add(3*time.Minute))
	c.Assert(g.IsLeaving(a), qt.IsTrue)
	g.Prune(empty, start.Add(4*time.Minute))
	c.Assert(g.Holding(), qt.IsFalse)
}

// Guards against a lock on the request path long after the last pause.
func TestEndedPausesAreForgotten(t *testing.T) {
	c := qt.New(t)
	g := newTestGate(conditions{}, pollencatalog.TableConfig{Servers: []*pollencatalog.Server{testServer("a")}})
	until := g.RecordAnswer(testServer("a"), false, time.Second, start)
	c.Assert(until, qt.Equals, start.Add(time.Second))
	g.Expire(until.Add(-1))
	c.Assert(g.Holding(), qt.IsTrue)
	g.Expire(until)
	c.Assert(g.Holding(), qt.IsFalse)
}

// Guards against log lines that name no reason, or a reason that does not occur.
func TestCountsListReasons(t *testing.T) {
	c := qt.New(t)
	g := newTestGate(conditions{ejected: map[string]bool{"b": true}}, pollencatalog.TableConfig{Servers: []*pollencatalog.Server{testServer("a"), testServer("b"), testServer("c")}})
	g.RecordAnswer(testServer("a"), true, 0, start)
	c.Assert(g.Count(start).String(), qt.Equals, "leaving: 1, ejected: 1")
}
