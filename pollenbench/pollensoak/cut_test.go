package pollensoak

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/platform/pollenfakeplatform"
)

// Guards against a check that misses a request cut at a stop, or counts one whose end is excused or crossed the request. SIGTERM is sent
// at second 0, and the stop timeout is 6 s.
func TestAnsweredAtStopCountsCutRequests(t *testing.T) {
	type work struct{ from, to float64 }
	tests := []struct {
		name string
		// sent and ended are when the request was written and its connection ended; exited is when the process ended.
		sent, ended, exited float64
		status              int
		unwritten           bool
		received            bool
		runs                []work
		// timeout and routeTimeout are those of the caller and the route; 15 s if they are zero.
		timeout, routeTimeout time.Duration
		slow                  bool
		want                  bool
	}{
		{name: "answered", sent: 3.5, ended: 5.58, exited: 5.58, status: 200, received: true, runs: []work{{3.5, 5.5}}},
		{name: "sent late, run cut at the exit", sent: 3.5, ended: 5.58, exited: 5.58, received: true, runs: []work{{3.5, 5.58}}, want: true},
		{name: "the same while servers are slow", sent: 3.5, ended: 5.58, exited: 5.58, received: true, runs: []work{{3.5, 5.58}}, slow: true, want: true},
		{name: "sent in time, server at work at the end", sent: 2.9, ended: 5.58, exited: 5.58, received: true, runs: []work{{3, 5.58}}},
		{name: "sent before SIGTERM, server at work at the end", sent: -4, ended: 5.58, exited: 5.58, received: true, runs: []work{{-4, 5.58}}},
		{name: "sent in time, server has no end", sent: 2.9, ended: 5.58, exited: 5.58, received: true, runs: []work{{from: 3}}},
		{name: "sent in time, server done before the end", sent: 2.9, ended: 5.58, exited: 5.58, received: true, runs: []work{{3, 4.9}}, want: true},
		{name: "sent in time, in a server's queue until the end", sent: 2.9, ended: 5.58, exited: 5.58, received: true, want: true},
		{name: "sent in time, second server at work at the end", sent: 2.9, ended: 5.58, exited: 5.58, received: true, runs: []work{{3, 3.1}, {3.2, 5.58}}},
		{name: "cut while the instance serves", sent: -5, ended: -4, exited: 5.58, received: true, runs: []work{{-5, -4}}, want: true},
		{name: "cut after a restart", sent: 8, ended: 9, exited: 5.58, received: true, runs: []work{{8, 9}}, want: true},
		{name: "crossed the close", sent: 4.2, ended: 4.3, exited: 5.58},
		{name: "received, then closed at once", sent: 4.2, ended: 4.3, exited: 5.58, received: true, want: true},
		{name: "no server known, closed late", sent: 4.2, ended: 4.5, exited: 5.58, want: true},
		{name: "not written completely", sent: 4.2, ended: 4.5, exited: 5.58, unwritten: true},
		{name: "caller's timeout reached", sent: 3.5, ended: 4.5, exited: 5.58, received: true, runs: []work{{3.5, 4.5}}, timeout: time.Second},
		{name: "route's timeout reached", sent: 3.5, ended: 4.5, exited: 5.58, received: true, runs: []work{{3.5, 4.5}}, routeTimeout: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := &record{
				bounds: platformBounds, instanceByAddress: map[string]int{instanceAddr.String(): 2}, runs: make(map[string][]*pollenfakeplatform.Run),
				received: make(map[string]time.Time),
				stops:    []*stop{{instance: 1, signaledAt: atSecond(1)}, {instance: 2, signaledAt: atSecond(0), exitedAt: atSecond(test.exited)}},
				versions: []*version{{
					configuration: pollenfakeplatform.Configuration{Routes: []pollenfakeplatform.Route{{Prefix: pathWork, Timeout: cmp.Or(test.routeTimeout, stopCallerTimeout)}}},
					sentAt:        atSecond(-20), ackedAt: atSecond(-20),
				}},
				outcomes: []pollenfakeplatform.Outcome{{
					Request: pollenfakeplatform.Request{ID: "a", Path: pathWork, Timeout: cmp.Or(test.timeout, stopCallerTimeout)}, Instance: instanceAddr,
					Sent: atSecond(test.sent), Written: atSecond(test.sent), Ended: atSecond(test.ended), Status: test.status, Err: io.EOF,
				}},
			}
			if test.unwritten {
				r.outcomes[0].Written = time.Time{}
			}
			if test.received {
				r.received["a"] = atSecond(test.sent)
			}
			for _, w := range test.runs {
				run := &pollenfakeplatform.Run{Server: "srv", Request: "a", StartedAt: atSecond(w.from)}
				if w.to != 0 {
					run.EndedAt = atSecond(w.to)
				}
				r.runs["a"] = append(r.runs["a"], run)
			}
			if test.slow {
				r.disturbances = []*disturbance{{instance: allInstances, effect: disturbsRequests, begin: atSecond(-5)}}
			}
			violations := r.checkAll([]promise{answeredAtStop})
			qt.Assert(t, len(violations) == 1, qt.Equals, test.want, qt.Commentf("%v", violations))
		})
	}
}

// Guards against details from which the instance and the times of a cut can't be told.
func TestCutIsDescribed(t *testing.T) {
	r := &record{
		instanceByAddress: map[string]int{instanceAddr.String(): 2},
		stops:             []*stop{{instance: 2, signaledAt: atSecond(0), exitedAt: atSecond(5.58)}},
		received:          map[string]time.Time{"a": atSecond(3.6)},
		runs:              map[string][]*pollenfakeplatform.Run{"a": {{Server: "srv", StartedAt: atSecond(3.7), EndedAt: atSecond(5.5)}}},
	}
	o := pollenfakeplatform.Outcome{
		Request: pollenfakeplatform.Request{ID: "a", Method: "GET", Path: pathWork}, Instance: instanceAddr, Sent: atSecond(3.5), Ended: atSecond(5.57), Err: io.EOF,
	}
	qt.Assert(t, r.describeCut(o), qt.Equals, "GET /work/ to entry-2: times since SIGTERM: sent at 3.5s, process ended at 5.58s, "+
		"connection ended at 5.57s (EOF), received by a server at 3.6s, ran on srv from 3.7s to 5.5s")
}

// Guards against stops that end requests which servers have received, with real processes. Longer runs are made with pollenbench soak.
func TestStopsCutNoRequests(t *testing.T) {
	c := qt.New(t)
	var output bytes.Buffer
	report, err := Run(t.Context(), Config{
		Program: entryProgram(t), Directory: t.TempDir(), Seed: 5, Duration: time.Second, Instances: 3, Callers: 40,
		Load: LoadStops, MeanWork: 100 * time.Millisecond, SlowServers: true, Output: &output,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(report.Violations, qt.HasLen, 0, qt.Commentf("%v\n%s", report.Violations, output.String()))
	c.Assert(report.Served > 0 && report.Stops > 0, qt.IsTrue, qt.Commentf("%+v", report))
	_, err = Run(t.Context(), Config{Load: "unknown"})
	c.Assert(err, qt.ErrorAs, new(*UnknownLoadError))
}

// Guards against seeds whose stops differ between runs, and against two lanes that begin with the same instance.
func TestStopPlanIsDeterminedBySeed(t *testing.T) {
	config := Config{Seed: 1, Duration: 20 * time.Second, Instances: 4}
	plan := newStopPlan(config)
	text := fmt.Sprint(plan)
	qt.Assert(t, fmt.Sprint(newStopPlan(config)), qt.Equals, text)
	qt.Assert(t, plan[0][0].instance, qt.Not(qt.Equals), plan[1][0].instance)
	config.Seed = 2
	qt.Assert(t, fmt.Sprint(newStopPlan(config)), qt.Not(qt.Equals), text)
}
