package pollenforward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A caller's retry must not be taken for a first request, nor a first request with a shorter timeout for a retry.
func TestDetectsCallerRetry(t *testing.T) {
	const route = "r"
	start := time.Unix(1_000_000, 0)
	tests := []struct {
		name    string
		after   time.Duration
		timeout time.Duration
		want    bool
	}{
		{"first", 0, 2 * time.Second, false},
		{"alike", time.Second, 1997 * time.Millisecond, false},
		{"repeated at once", time.Second, 1950 * time.Millisecond, false},
		{"soonest return", time.Second, 1700 * time.Millisecond, true},
		{"latest return", time.Second, 1400 * time.Millisecond, true},
		{"does not say", time.Second, 0, false},
		{"long after", 40 * time.Second, 1700 * time.Millisecond, true},
		{"the patience of the route has become shorter", 80 * time.Second, 1700 * time.Millisecond, false},
	}
	var detector callerRetryDetector
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, detector.isRetry(route, test.timeout, start.Add(test.after)), qt.Equals, test.want)
		})
	}
}
