package pollensuspect

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var suspect = Fingerprint{1}

// crash records that a server ended under the suspect content, which was sent ten milliseconds before.
func crash(r *Registry, server string) {
	r.RecordCrash(suspect, "route", server, time.Now().Add(-10*time.Millisecond), time.Now())
}

// crashes records as many crashes, one a second.
func crashes(r *Registry, n int) {
	for i := range n {
		crash(r, fmt.Sprintf("s%d", i))
		time.Sleep(time.Second)
	}
}

// A request must be refused after enough independent rounds, and for no longer than the evidence holds.
func TestDecisions(t *testing.T) {
	tests := []struct {
		name string
		run  func(r *Registry)
		want Decision
	}{
		{"no evidence", func(*Registry) {}, Send},
		{"one round", func(r *Registry) { crashes(r, 1) }, SendSuspect},
		{"servers of one round", func(r *Registry) {
			for i := range 20 {
				crash(r, fmt.Sprintf("s%d", i))
			}
		}, SendSuspect},
		{"two rounds", func(r *Registry) { crashes(r, 2) }, SendSuspect},
		{"three rounds", func(r *Registry) { crashes(r, 3) }, Refuse},
		{"answer between rounds", func(r *Registry) {
			crashes(r, 2)
			r.RecordAnswer(suspect, time.Now())
			crashes(r, 2)
		}, SendSuspect},
		{"answer", func(r *Registry) {
			crashes(r, 2)
			r.RecordAnswer(suspect, time.Now())
		}, Send},
		{"crash of an attempt that was sent before the answer", func(r *Registry) {
			crashes(r, 1)
			r.RecordAnswer(suspect, time.Now())
			crash(r, "s")
		}, Send},
		{"answer to another content", func(r *Registry) {
			crashes(r, 3)
			r.RecordAnswer(Fingerprint{2}, time.Now())
		}, Refuse},
		{"suspicion is forgotten", func(r *Registry) {
			crashes(r, 2)
			time.Sleep(suspicionDuration)
		}, Send},
		{"verdict ends in probation", func(r *Registry) {
			crashes(r, 3)
			time.Sleep(firstVerdictDuration)
		}, SendSuspect},
		{"verdict is renewed by one round", func(r *Registry) {
			crashes(r, 3)
			time.Sleep(firstVerdictDuration)
			crash(r, "s")
			time.Sleep(2*firstVerdictDuration - time.Second)
		}, Refuse},
		{"verdict is not renewed without a round", func(r *Registry) {
			crashes(r, 3)
			time.Sleep(firstVerdictDuration)
			r.Merge(Message{Records: []Record{{Content: suspect, Rounds: []Round{{ID: "other", Servers: []string{"s"}, Age: 3 * time.Minute}}}}}, time.Now())
		}, SendSuspect},
		{"everything is forgotten", func(r *Registry) {
			crashes(r, 3)
			time.Sleep(firstVerdictDuration + probationDuration)
		}, Send},
		{"lifted by an operator", func(r *Registry) {
			crashes(r, 3)
			r.Lift(suspect, time.Now())
		}, Send},
		{"another suspect content of the route", func(r *Registry) {
			r.RecordCrash(Fingerprint{2}, "route", "s", time.Now(), time.Now())
		}, Send},
		{"two harmful contents of the route", func(r *Registry) { recordOthers(r, "route") }, SendCanary},
		{"two contents of the route that each ended many servers", func(r *Registry) {
			for n := range 2 {
				for i := range alertServers {
					r.RecordCrash(Fingerprint{byte(n + 2)}, "route", fmt.Sprint(i), time.Now(), time.Now().Add(time.Millisecond))
				}
			}
		}, SendCanary},
		{"one of them is answered", func(r *Registry) {
			for n := range 2 {
				for i := range alertServers {
					r.RecordCrash(Fingerprint{byte(n + 2)}, "route", fmt.Sprint(i), time.Now(), time.Now().Add(time.Millisecond))
				}
			}
			r.RecordAnswer(Fingerprint{2}, time.Now().Add(time.Second))
		}, Send},
		{"two harmful contents of another route", func(r *Registry) { recordOthers(r, "other") }, Send},
		{"two harmful contents of the route, long ago", func(r *Registry) {
			recordOthers(r, "route")
			time.Sleep(alertDuration)
		}, Send},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := New(Config{InstanceName: "a"})
				test.run(r)
				decision, verdict := r.Decide(suspect, "route", time.Now())
				qt.Check(t, decision, qt.Equals, test.want)
				qt.Check(t, len(r.Verdicts(time.Now())), qt.Equals, map[bool]int{true: 1}[test.want == Refuse])
				if test.want == Refuse {
					qt.Check(t, verdict.Instances, qt.DeepEquals, []string{"a"})
				}
			})
		})
	}
}

// recordOthers records two rounds of two other contents of a route.
func recordOthers(r *Registry, route string) {
	for range 2 {
		for n := range 2 {
			r.RecordCrash(Fingerprint{byte(n + 2)}, route, "s", time.Now(), time.Now())
		}
		time.Sleep(time.Millisecond)
	}
}

// Evidence of several instances must add up at each of them, whichever way it takes, and an answer must clear it at all.
func TestEvidenceOfInstancesAddsUp(t *testing.T) {
	const delay = 10 * time.Millisecond
	tests := []struct {
		name string
		run  func(a, b, c *Registry, share func(from, to *Registry))
		want Decision
	}{
		{"one round each", func(a, b, c *Registry, share func(from, to *Registry)) {
			for _, r := range []*Registry{a, b, c} {
				crashes(r, 1)
			}
			share(a, b)
			share(b, c)
			share(c, a)
			share(a, b)
		}, Refuse},
		{"the same round by two ways", func(a, b, c *Registry, share func(from, to *Registry)) {
			crashes(a, 1)
			share(a, b)
			share(a, c)
			share(b, c)
			share(c, a)
		}, SendSuspect},
		{"verdict alone", func(a, b, c *Registry, share func(from, to *Registry)) {
			crashes(a, 3)
			share(a, b)
			share(b, c)
		}, Refuse},
		{"answer at one instance", func(a, b, c *Registry, share func(from, to *Registry)) {
			crashes(a, 3)
			share(a, b)
			share(b, c)
			c.RecordAnswer(suspect, time.Now())
			share(c, b)
			share(c, a)
		}, Send},
		{"evidence that crosses its clearing", func(a, b, c *Registry, share func(from, to *Registry)) {
			crash(a, "s")
			share(a, b)
			share(a, c)
			a.RecordAnswer(suspect, time.Now())
			share(b, a)
			share(a, b)
			share(a, c)
			share(b, c)
			share(c, a)
		}, Send},
		{"one round each at the same time", func(a, b, c *Registry, share func(from, to *Registry)) {
			for _, r := range []*Registry{a, b, c} {
				crash(r, "s")
			}
			for range 2 {
				share(a, b)
				share(b, c)
				share(c, a)
			}
		}, SendSuspect},
		{"restart of an instance", func(a, b, c *Registry, share func(from, to *Registry)) {
			crashes(a, 1)
			share(a, b)
			restarted := New(Config{InstanceName: "a"})
			crashes(restarted, 2)
			share(restarted, b)
			share(b, a)
			share(b, c)
		}, Refuse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				registries := []*Registry{New(Config{InstanceName: "a"}), New(Config{InstanceName: "b"}), New(Config{InstanceName: "c"})}
				test.run(registries[0], registries[1], registries[2], func(from, to *Registry) {
					m := from.Message(time.Now())
					time.Sleep(delay)
					to.Merge(m, time.Now())
				})
				for _, r := range registries {
					decision, _ := r.Decide(suspect, "route", time.Now())
					qt.Check(t, decision, qt.Equals, test.want, qt.Commentf(r.config.InstanceName))
				}
			})
		})
	}
}

// An instance must not hold more evidence than it has room for, and must not drop a verdict for suspicions.
func TestEvidenceIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := New(Config{InstanceName: "a"})
		crashes(r, 3)
		for n := range 3 * maxRecords {
			r.RecordCrash(Fingerprint{2, byte(n), byte(n >> 8)}, "route", "s", time.Now(), time.Now())
		}
		c.Assert(len(r.Message(time.Now()).Records) <= maxRecords, qt.IsTrue)
		decision, _ := r.Decide(suspect, "route", time.Now())
		c.Assert(decision, qt.Equals, Refuse)
		for range 20 {
			r.RecordCrash(suspect, "route", "s", time.Now(), time.Now())
			time.Sleep(time.Hour)
			r.RecordCrash(suspect, "route", "s", time.Now(), time.Now())
		}
		c.Assert(len(r.records[suspect].rounds) <= maxRounds, qt.IsTrue)
	})
}

// Guards against several attempts of one suspect content at once, before the evidence of the first counts.
func TestOneTestAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := New(Config{InstanceName: "a"})
		c.Assert(r.TryTest(suspect, time.Now()), qt.IsTrue)
		crashes(r, 1)
		c.Assert(r.TryTest(suspect, time.Now()), qt.IsTrue)
		c.Assert(r.TryTest(suspect, time.Now()), qt.IsFalse)
		c.Assert(r.MayTest(suspect, time.Now()), qt.IsFalse)
		r.EndTest(suspect)
		c.Assert(r.MayTest(suspect, time.Now()), qt.IsTrue)
		crashes(r, 2)
		c.Assert(r.TryTest(suspect, time.Now()), qt.IsFalse)
	})
}

// A fingerprint must tell requests apart that differ in any part, and must not depend on the order of header fields.
func TestFingerprint(t *testing.T) {
	base := Content{Method: "GET", Host: "h", Target: "/a?b", Header: http.Header{"X": {"1"}, "Y": {"2"}}, Body: []byte("body")}
	tests := []struct {
		name   string
		change func(c *Content)
		same   bool
	}{
		{"nothing", func(*Content) {}, true},
		{"method", func(c *Content) { c.Method = "POST" }, false},
		{"host", func(c *Content) { c.Host = "i" }, false},
		{"target", func(c *Content) { c.Target = "/a?c" }, false},
		{"caller", func(c *Content) { c.Header = http.Header{"X": {"3"}, "Y": {"2"}} }, false},
		{"body", func(c *Content) { c.Body = []byte("Body") }, false},
		{"no body", func(c *Content) { c.Body = nil }, false},
		{"border between fields", func(c *Content) { c.Host, c.Target = "h/", "a?b" }, false},
		{"equal header", func(c *Content) { c.Header = http.Header{"Y": {"2"}, "X": {"1"}} }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			changed := base
			test.change(&changed)
			qt.Check(t, changed.Fingerprint() == base.Fingerprint(), qt.Equals, test.same)
			parsed, err := ParseFingerprint(changed.Fingerprint().String())
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, parsed, qt.Equals, changed.Fingerprint())
		})
	}
	for _, text := range []string{"", "xyz", "0102"} {
		_, err := ParseFingerprint(text)
		qt.Check(t, err, qt.ErrorAs, new(*InvalidFingerprintError))
	}
}
