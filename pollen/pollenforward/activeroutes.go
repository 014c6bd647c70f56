package pollenforward

import (
	"slices"
	"sync"
	"time"

	"pollenline.example/pollen/pollencatalog"
)

const (
	// activePeriod is how long after its last request a route counts as active.
	activePeriod = time.Second
	// otherRouteWaitShare is the share of an active route's time to reply that requests of other routes may wait in the queues of
	// servers that both use. With two slots and the usual 5 to 15 ms of work it is still enough to keep the slots in use.
	otherRouteWaitShare = 0.4
)

// activeRoutes holds the routes that were called lately. The zero value is ready to use.
//
// Load pattern: queries with objectives of 200 and 80 ms need the same servers, and callers request more than the slots can run.
// The queues of the servers have no priorities. Filled up to the longer objective they leave no capacity for the shorter one.
type activeRoutes struct {
	mu     sync.Mutex
	routes map[string]activeRoute
}

// activeRoute is a route, the time within which its requests should be answered, and when it was called last.
type activeRoute struct {
	route *pollencatalog.Route
	limit time.Duration
	last  time.Time
}

// record records a request of a route that should be answered within a limit.
func (a *activeRoutes) record(route *pollencatalog.Route, limit time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.routes == nil {
		a.routes = make(map[string]activeRoute)
	}
	a.routes[route.Name] = activeRoute{route: route, limit: limit, last: now}
}

// maxWait returns how long requests of a route may wait for a slot of a service for the sake of the other active routes that use it;
// zero if there are none.
func (a *activeRoutes) maxWait(route, service string, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	wait := time.Duration(0)
	for name, active := range a.routes {
		if now.Sub(active.last) > activePeriod {
			delete(a.routes, name)
			continue
		}
		if allowed := share(active.limit, otherRouteWaitShare); name != route && (wait == 0 || allowed < wait) && slices.Contains(active.route.Shards, service) {
			wait = allowed
		}
	}
	return wait
}
