package pollenforward

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
)

// crashDetector finds out whether servers whose connections broke have ended. The zero value is ready to use.
type crashDetector struct {
	mu sync.Mutex
	// checks holds the newest check of each server whose connections broke lately.
	checks map[pollencatalog.Incarnation]*crashCheck
}

// crashCheck is one attempt to connect to a server after a connection to it broke.
type crashCheck struct {
	startedAt time.Time
	// done is closed when refused is set.
	done    chan struct{}
	refused bool
}

// crashCheckReuse is how long the result of a check holds for other requests on the server: a server that ends breaks all of
// its connections at about the same time.
const crashCheckReuse = 500 * time.Millisecond

// detectCrash finds out whether the server of a request whose connection broke has ended.
//
// Connections also break when a server drops an answer or is at its connection limit, and when a network device resets
// them; only a server that has ended, or is cut off, refuses a new one.
func (f *Forwarder) detectCrash(request ServerRequest, sentAt time.Time) {
	if !f.crashes.refused(request, f.config.Exchanger) {
		return
	}
	klog.InfoS("Server ended with a request in flight", "server", request.Server.ID, "service", request.Server.Service,
		"leaving", request.Server.Draining, "requestID", request.Request.ID, "content", request.Request.Content.String(),
		"sentMsAgo", time.Since(sentAt).Milliseconds())
}

// refused reports whether the server refuses a new connection, by a check that one of the callers makes for all.
func (d *crashDetector) refused(request ServerRequest, exchanger Exchanger) bool {
	key := request.Server.Incarnation()
	now := time.Now()
	d.mu.Lock()
	check, ok := d.checks[key]
	if ok && now.Sub(check.startedAt) < crashCheckReuse {
		d.mu.Unlock()
		<-check.done
		return check.refused
	}
	check = &crashCheck{startedAt: now, done: make(chan struct{})}
	if d.checks == nil {
		d.checks = make(map[pollencatalog.Incarnation]*crashCheck)
	}
	for other, c := range d.checks {
		if now.Sub(c.startedAt) >= crashCheckReuse {
			delete(d.checks, other)
		}
	}
	d.checks[key] = check
	d.mu.Unlock()
	// The caller's request may end meanwhile, and the check serves other requests too.
	check.refused = exchanger.RefusesConnections(context.Background(), request.Server, request.ConnectionLimit)
	close(check.done)
	return check.refused
}
