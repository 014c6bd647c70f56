package pollendrain

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a stopping instance that takes requests which it can't answer before it exits, and against one that refuses those
// which it can.
func TestStoppingInstanceTakesWhatItCanAnswer(t *testing.T) {
	begin := time.Unix(1000, 0)
	plan := NewPlan(begin, 6*time.Second)
	tests := []struct {
		name       string
		idempotent bool
		// at is when the request comes after the begin of the stop, timeout how long its caller waits.
		at, timeout time.Duration
		latency     time.Duration
		want        bool
	}{
		{name: "ends in time by its timeout", at: 4 * time.Second, timeout: time.Second, want: true},
		{name: "idempotent, usually short", idempotent: true, at: 4 * time.Second, timeout: 15 * time.Second, latency: 100 * time.Millisecond, want: true},
		{name: "idempotent, usually just answered in time", idempotent: true, at: 4 * time.Second, timeout: 15 * time.Second, latency: 1100 * time.Millisecond, want: true},
		{name: "idempotent, usually not answered in time", idempotent: true, at: 4 * time.Second, timeout: 15 * time.Second, latency: 1101 * time.Millisecond},
		{name: "idempotent, latency unknown, while callers may use the instance", idempotent: true, at: time.Second, timeout: 15 * time.Second, want: true},
		{name: "idempotent, latency unknown, late", idempotent: true, at: 3 * time.Second, timeout: 15 * time.Second},
		{name: "runs once, while callers may use the instance", at: time.Second, timeout: 15 * time.Second, latency: 100 * time.Millisecond, want: true},
		{name: "runs once, long, while callers may use the instance", at: time.Second, timeout: 15 * time.Second, latency: 4 * time.Second},
		{name: "runs once, latency unknown, while callers may use the instance", at: time.Second, timeout: 15 * time.Second},
		{name: "runs once, while callers may use the instance, leaves less than twice its latency", at: time.Second, timeout: 15 * time.Second, latency: 2051 * time.Millisecond},
		{name: "runs once, late", at: 3900 * time.Millisecond, timeout: 15 * time.Second, latency: 20 * time.Millisecond},
		{name: "runs once, late, latency unknown", at: 3900 * time.Millisecond, timeout: 15 * time.Second},
		{name: "open requests are ended", idempotent: true, at: 5500 * time.Millisecond, timeout: time.Millisecond, latency: time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := begin.Add(test.at)
			request := Request{Idempotent: test.idempotent, End: now.Add(test.timeout), Latency: test.latency}
			qt.Assert(t, plan.Takes(request, now), qt.Equals, test.want)
		})
	}
	qt.Assert(t, plan.LastAnswer.Before(plan.Exit), qt.IsTrue)
}
