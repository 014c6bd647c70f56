package pollenforward

import (
	"sync"
	"time"
)

// patienceTracker tells callers that have come back from those that ask for the first time.
//
// Callers state how long they wait. All first requests of a route state about the same; one that was sent away and has
// waited as told has clearly less time left. The zero value is ready to use.
type patienceTracker struct {
	mu     sync.Mutex
	routes map[string]*usualPatience
}

// usualPatience is the longest patience stated in this period and in the one before.
type usualPatience struct {
	begun          time.Time
	current, older time.Duration
}

const (
	// patiencePeriod is the time after which a patience that is no longer stated is forgotten, at least.
	patiencePeriod = 30 * time.Second
	// returnedShare is the share of the usual patience below which a caller has come back: the shortest time that
	// refused callers are told to wait leaves them less, and a repeat at once more.
	returnedShare = 1 - soonestReturn/2
)

// returned notes the patience of a request and reports whether its caller has come back.
func (t *patienceTracker) returned(route string, patience time.Duration, now time.Time) bool {
	if patience <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = make(map[string]*usualPatience)
	}
	u, ok := t.routes[route]
	if !ok {
		u = &usualPatience{begun: now}
		t.routes[route] = u
	}
	if now.Sub(u.begun) > patiencePeriod {
		u.older, u.current, u.begun = u.current, 0, now
	}
	u.current = max(u.current, patience)
	return patience < share(max(u.current, u.older), returnedShare)
}
