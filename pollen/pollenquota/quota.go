package pollenquota

import (
	"sync"
	"sync/atomic"
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

// Config holds the parameters of Quotas.
type Config struct {
	// InstanceName is the name of this instance.
	InstanceName string
	// Standbys returns the number of instances in the fleet that are not registered, as far as it is known.
	Standbys func() int
}

// Quotas holds the limits that servers state, and this instance's requests to these servers.
type Quotas struct {
	config Config

	// limited is the number of servers that state a limit. It spares the lock while there are none.
	limited atomic.Int32

	mu sync.Mutex
	// servers holds the servers that have stated a limit, also those that no longer do.
	servers map[pollencatalog.Incarnation]*quota
}

// quota is the state of a server that has stated a limit.
type quota struct {
	limit Limit
	// statedAt is when the newest answer with a limit arrived.
	statedAt time.Time
	// lastSend is when the last request was sent; before the first one, it is set such that the first one waits for the
	// share's delay.
	lastSend time.Time
	// share is this instance's share of the limit, as worked out from dividedBy, nil if it must be worked out anew, and
	// dividedStandbys.
	share           share
	dividedBy       *pollencatalog.Table
	dividedStandbys int
	sends           sendCounts
}

// sendCounts counts requests to a limited server since a time; extra are the hedges and retries among them.
type sendCounts struct {
	since        time.Time
	total, extra int
}

// countPeriod is how often the requests to a limited server are logged.
const countPeriod = 4 * time.Second

// New returns Quotas without limits.
func New(config Config) *Quotas {
	return &Quotas{config: config, servers: make(map[pollencatalog.Incarnation]*quota)}
}

// RecordAnswer records what an answer states about the server's limit; the request was sent not before sentAt.
//
// An answer without a limit ends the limit only if its request was sent after the newest answer with one: the others may
// have been written before the server stated it.
func (q *Quotas) RecordAnswer(server *pollencatalog.Server, limit Limit, table *pollencatalog.Table, sentAt, now time.Time) {
	if !limit.Stated && q.limited.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.servers[server.Incarnation()]
	switch {
	case limit.Stated:
		if !ok {
			first := q.divide(limit.PerSecond, server, table)
			s = &quota{lastSend: now.Add(first.delay - first.interval), sends: sendCounts{since: now}}
			q.servers[server.Incarnation()] = s
		}
		if s.limit != limit {
			klog.InfoS("Server states limit", "server", server.ID, "service", server.Service, "perSecond", limit.PerSecond, "before", s.limit.PerSecond)
			s.dividedBy = nil
		}
		if !s.limit.Stated {
			q.limited.Add(1)
		}
		s.limit, s.statedAt = limit, now
	case ok && s.limit.Stated && sentAt.After(s.statedAt):
		klog.InfoS("Server no longer states limit", "server", server.ID, "service", server.Service, "before", s.limit.PerSecond)
		s.limit = Limit{}
		q.limited.Add(-1)
	}
}

// NextSend returns when a request may be sent to a server: now if that is not later.
func (q *Quotas) NextSend(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) time.Time {
	if q.limited.Load() == 0 {
		return now
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.nextSend(server, table, now)
}

// TryAcquire reports whether a request may be sent to a server now, and counts it if so; extra is set for hedges and retries.
func (q *Quotas) TryAcquire(server *pollencatalog.Server, extra bool, table *pollencatalog.Table, now time.Time) bool {
	if q.limited.Load() == 0 {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.nextSend(server, table, now).After(now) {
		return false
	}
	if s, ok := q.servers[server.Incarnation()]; ok && s.limit.Stated {
		s.lastSend = now
		s.countSend(server, extra, now)
	}
	return true
}

// nextSend implements NextSend. The caller must hold the mutex.
func (q *Quotas) nextSend(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) time.Time {
	s, ok := q.servers[server.Incarnation()]
	if !ok || !s.limit.Stated {
		return now
	}
	if standbys := q.config.Standbys(); s.dividedBy != table || s.dividedStandbys != standbys {
		s.share, s.dividedBy, s.dividedStandbys = q.divide(s.limit.PerSecond, server, table), table, standbys
	}
	next := s.lastSend.Add(s.share.interval)
	if s.share.probe && now.Sub(next) >= probeWindow {
		// A turn that was not used is lost; else all instances without a share might send at once.
		missed := now.Sub(next) / s.share.interval
		if next = next.Add(missed * s.share.interval); now.Sub(next) >= probeWindow {
			next = next.Add(s.share.interval)
		}
	}
	if next.Before(now) {
		return now
	}
	return next
}

// countSend counts a request to a limited server and logs the count once per countPeriod.
func (s *quota) countSend(server *pollencatalog.Server, extra bool, now time.Time) {
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
func (q *Quotas) LimitedServers() int { return int(q.limited.Load()) }

// Prune removes the servers that the table no longer holds.
func (q *Quotas) Prune(table *pollencatalog.Table) {
	q.mu.Lock()
	defer q.mu.Unlock()
	known := table.Incarnations()
	for incarnation, s := range q.servers {
		if known[incarnation] {
			continue
		}
		delete(q.servers, incarnation)
		if s.limit.Stated {
			q.limited.Add(-1)
		}
	}
}
