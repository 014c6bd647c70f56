package pollenforward

import (
	"maps"
	"sync"
	"time"

	"pollenline.example/pollen/pollensuspect"
)

// callerRetryDetector tells callers' retries from first requests by the timeouts that callers state.
//
// First requests of a route state about the same timeout; a caller that was refused and has waited for Retry-After has
// clearly less time left. The zero value is ready to use.
type callerRetryDetector struct {
	mu     sync.Mutex
	routes map[string]*timeoutWindow
	// refused holds until when a request of the content of a refused one is its caller's retry.
	refused map[pollensuspect.Fingerprint]time.Time
}

// maxRefusedContents bounds the memory for refused contents to about half a megabyte.
const maxRefusedContents = 10_000

// recordRefusal records that a request of a content was refused; its caller may repeat it until a time.
//
// Load pattern: callers repeat a refused request at once and often. They state nearly the same timeout each time.
func (d *callerRetryDetector) recordRefusal(content pollensuspect.Fingerprint, until, now time.Time) {
	if content == (pollensuspect.Fingerprint{}) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refused == nil {
		d.refused = make(map[pollensuspect.Fingerprint]time.Time)
	}
	if len(d.refused) >= maxRefusedContents {
		maps.DeleteFunc(d.refused, func(_ pollensuspect.Fingerprint, until time.Time) bool { return now.After(until) })
	}
	if len(d.refused) < maxRefusedContents {
		d.refused[content] = until
	}
}

// repeatsRefused reports whether a request of the content was refused lately, and forgets that.
func (d *callerRetryDetector) repeatsRefused(content pollensuspect.Fingerprint, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	until, ok := d.refused[content]
	delete(d.refused, content)
	return ok && now.Before(until)
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
