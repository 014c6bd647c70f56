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

// RefusalObserver learns which requests were refused and which were repeated, to tell other instances; it must not block.
//
// Load pattern: callers repeat a refused request at once, each time at another instance. An instance that does not know of the refusal
// takes the repeat for a first try, and first tries get a small part of the slots.
type RefusalObserver interface {
	// ObserveRefusal is called when a request was refused for want of capacity, whose caller may repeat the content until a time.
	ObserveRefusal(content pollensuspect.Fingerprint, until time.Time)
	// ObserveRepeat is called when a request was taken for the repetition of a refused one.
	ObserveRepeat(content pollensuspect.Fingerprint)
}

// ignoredRefusals is a RefusalObserver that does nothing.
type ignoredRefusals struct{}

func (ignoredRefusals) ObserveRefusal(pollensuspect.Fingerprint, time.Time) {}
func (ignoredRefusals) ObserveRepeat(pollensuspect.Fingerprint)             {}

// RecordRefusal records that another instance has refused a request of a content, whose caller may repeat it until a time.
func (f *Forwarder) RecordRefusal(content pollensuspect.Fingerprint, until time.Time) {
	f.callerRetries.recordRefusal(content, until, time.Now())
}

// RecordRepeat records that a refused request was repeated at another instance. The content may be that of many callers: one refusal
// must not make later requests of all of them count as repetitions.
func (f *Forwarder) RecordRepeat(content pollensuspect.Fingerprint) { f.callerRetries.forget(content) }

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

// forget forgets that a content was refused.
func (d *callerRetryDetector) forget(content pollensuspect.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.refused, content)
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
