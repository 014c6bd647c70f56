package pollenforward

import "sync"

// maxBacklog is the number of pending subrequests of a service at one instance from which on no more are expected to get
// capacity in time.
const maxBacklog = 1

// backlog counts one instance's pending subrequests by service. The zero value is ready to use.
type backlog struct {
	mu       sync.Mutex
	services map[string]int
}

// add changes the number of pending subrequests of a service.
func (b *backlog) add(service string, change int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = make(map[string]int)
	}
	b.services[service] += change
	if b.services[service] == 0 {
		delete(b.services, service)
	}
}

// count returns the number of pending subrequests of a service.
func (b *backlog) count(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.services[service]
}

// setPending records whether a subrequest waits for a server with capacity.
func (c *call) setPending(s *subrequest, pending bool) {
	switch {
	case pending && !s.pending:
		c.forwarder.backlog.add(s.service, 1)
	case !pending && s.pending:
		c.forwarder.backlog.add(s.service, -1)
	}
	s.pending = pending
}

// dropPending ends the wait of all pending subrequests.
func (c *call) dropPending() {
	for i := range c.subrequests {
		c.setPending(&c.subrequests[i], false)
	}
}
