package pollenforward

import (
	"sync"
	"time"
)

// callerRetryDetector tells callers' retries from first requests by the timeouts that callers state.
//
// First requests of a route state about the same timeout; a caller that was refused and has waited for Retry-After has
// clearly less time left. The zero value is ready to use.
type callerRetryDetector struct {
	mu     sync.Mutex
	routes map[string]*timeoutWindow
}

// timeoutWindow holds the longest caller timeouts of the current and the previous period.
type timeoutWindow struct {
	start             time.Time
	current, previous time.Duration
}

const (
	// timeoutWindowPeriod is the shortest time for which a timeout counts after it was last stated.
	timeoutWindowPeriod = 30 * time.Second
	// retryThreshold is the share of the longest timeout below which a request is a retry: the shortest Retry-After
	// leaves a caller less than that, and an immediate repeat leaves it more.
	retryThreshold = 1 - minRetryAfterShare/2
)

// isRetry records the caller timeout of a request and reports whether the request is a caller's retry.
func (d *callerRetryDetector) isRetry(route string, timeout time.Duration, now time.Time) bool {
	if timeout <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = make(map[string]*timeoutWindow)
	}
	window, ok := d.routes[route]
	if !ok {
		window = &timeoutWindow{start: now}
		d.routes[route] = window
	}
	if now.Sub(window.start) > timeoutWindowPeriod {
		window.previous, window.current, window.start = window.current, 0, now
	}
	window.current = max(window.current, timeout)
	return timeout < share(max(window.current, window.previous), retryThreshold)
}
