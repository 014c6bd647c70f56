package pollenforward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

// The hedge, reply and end times must stay within the objective and the shorter of both timeouts.
func TestScheduleStaysWithinLimits(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name            string
		timeout         time.Duration
		objective       time.Duration
		callerTimeout   time.Duration
		latencyQuantile time.Duration
		admission       time.Duration
		hedge           time.Duration
		partialReply    time.Duration
		end             time.Duration
		callerDeadline  time.Duration
	}{
		{"usual", 1000 * ms, 100 * ms, 1000 * ms, 20 * ms, 15 * ms, 20 * ms, 74 * ms, 980 * ms, 1000 * ms},
		{"nothing known yet", 1000 * ms, 100 * ms, 1000 * ms, 0, 15 * ms, 40 * ms, 74 * ms, 980 * ms, 1000 * ms},
		{"very quick servers", 1000 * ms, 100 * ms, 1000 * ms, ms, 15 * ms, 8 * ms, 74 * ms, 980 * ms, 1000 * ms},
		{"all servers slow", 1000 * ms, 100 * ms, 1000 * ms, 300 * ms, 15 * ms, 40 * ms, 74 * ms, 980 * ms, 1000 * ms},
		{"timeout before the deadline", 400 * ms, 100 * ms, 8000 * ms, 20 * ms, 15 * ms, 20 * ms, 74 * ms, 392 * ms, 400 * ms},
		{"deadline before the timeout", 8000 * ms, 100 * ms, 400 * ms, 20 * ms, 15 * ms, 20 * ms, 74 * ms, 392 * ms, 400 * ms},
		{"objective beyond the deadline", 1000 * ms, 500 * ms, 200 * ms, 20 * ms, 40 * ms, 20 * ms, 168 * ms, 196 * ms, 200 * ms},
		{"no objective", 1000 * ms, 0, 1000 * ms, 20 * ms, 240 * ms, 80 * ms, 920 * ms, 980 * ms, 1000 * ms},
		{"objective shorter than the way", 1000 * ms, 20 * ms, 1000 * ms, 20 * ms, 0, 8 * ms, 10 * ms, 980 * ms, 1000 * ms},
		{"no limit", 0, 0, 0, 20 * ms, 7490 * ms, 2400 * ms, 28180 * ms, 29950 * ms, 30000 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			received := time.Unix(1_000_000, 0)
			got := NewSchedule(ScheduleConfig{
				Route:    &pollencatalog.Route{Timeout: test.timeout, Objective: test.objective},
				Received: received, CallerTimeout: test.callerTimeout, CallerRoundTrip: 20 * ms, LatencyQuantile: test.latencyQuantile,
			})
			qt.Assert(t, got, qt.Equals, Schedule{
				AdmissionDeadline: received.Add(test.admission), RetryAdmissionDeadline: received.Add(min(test.end-test.partialReply, test.callerDeadline*45/100)), HedgeAt: received.Add(test.hedge), PartialReplyAt: received.Add(test.partialReply),
				End: received.Add(test.end), CallerDeadline: received.Add(test.callerDeadline),
			})
		})
	}
}

// Retry-After must leave a refused caller enough time to be served.
func TestRetryAfterWithinBounds(t *testing.T) {
	c := qt.New(t)
	c.Assert(RetryAfterOutage(time.Second), qt.Equals, 300*time.Millisecond)
	c.Assert(RetryAfterOverload(time.Second, 0), qt.Equals, 150*time.Millisecond)
	c.Assert(RetryAfterOverload(time.Second, 1), qt.Equals, 300*time.Millisecond)
}
