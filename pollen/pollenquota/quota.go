package pollenquota

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
)

// Limit is what one answer of a server states about the rate of requests that it takes.
type Limit struct {
	// Stated is set if the answer states a rate.
	Stated bool
	// PerSecond is the number of requests per second that the server takes from all instances together.
	PerSecond float64
}

// Quotas holds the limits that servers state, and counts this instance's requests to these servers.
type Quotas struct {
	mu      sync.Mutex
	servers map[pollencatalog.Incarnation]*quota
}

// quota is the state of a server that has stated a limit.
type quota struct {
	limit Limit
	// statedAt is when the newest answer with a limit arrived.
	statedAt time.Time
	sends    sendCounts
}

// sendCounts counts requests to a limited server since a time; extra are the hedges and retries among them.
type sendCounts struct {
	since        time.Time
	total, extra int
}

// countPeriod is how often the requests to a limited server are logged.
const countPeriod = 4 * time.Second

// New returns Quotas without limits.
func New() *Quotas { return &Quotas{servers: make(map[pollencatalog.Incarnation]*quota)} }

// RecordAnswer records what an answer states about the server's limit; the request was sent not before sentAt.
//
// An answer without a limit ends the limit only if its request was sent after the newest answer with one: the others may
// have been written before the server stated it.
func (q *Quotas) RecordAnswer(server *pollencatalog.Server, limit Limit, sentAt, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.servers[server.Incarnation()]
	switch {
	case limit.Stated:
		if !ok {
			s = &quota{sends: sendCounts{since: now}}
			q.servers[server.Incarnation()] = s
		}
		if s.limit != limit {
			klog.InfoS("Server states limit", "server", server.ID, "service", server.Service, "perSecond", limit.PerSecond, "before", s.limit.PerSecond)
		}
		s.limit, s.statedAt = limit, now
	case ok && s.limit.Stated && sentAt.After(s.statedAt):
		klog.InfoS("Server no longer states limit", "server", server.ID, "service", server.Service, "before", s.limit.PerSecond)
		s.limit = Limit{}
	}
}

// CountSend counts a request to a server; extra is set for hedges and retries.
func (q *Quotas) CountSend(server *pollencatalog.Server, extra bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.servers[server.Incarnation()]
	if !ok || !s.limit.Stated {
		return
	}
	if now.Sub(s.sends.since) >= countPeriod {
		klog.InfoS("Requests to limited server", "server", server.ID, "perSecond", s.limit.PerSecond, "sends", s.sends.total, "extra", s.sends.extra,
			"periodMs", now.Sub(s.sends.since).Milliseconds())
		s.sends = sendCounts{since: now}
	}
	s.sends.total++
	if extra {
		s.sends.extra++
	}
}

// LimitedServers returns the number of servers that state a limit.
func (q *Quotas) LimitedServers() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	limited := 0
	for _, s := range q.servers {
		if s.limit.Stated {
			limited++
		}
	}
	return limited
}

// Prune removes the servers that the table no longer holds.
func (q *Quotas) Prune(table *pollencatalog.Table) {
	q.mu.Lock()
	defer q.mu.Unlock()
	known := table.Incarnations()
	for incarnation := range q.servers {
		if !known[incarnation] {
			delete(q.servers, incarnation)
		}
	}
}
