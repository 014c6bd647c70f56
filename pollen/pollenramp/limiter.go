package pollenramp

import (
	"sync"
	"time"

	"pollenline.example/pollen/pollencatalog"
)

// Config identifies the instance that uses a ColdLimiter.
type Config struct {
	// InstanceName is the name of this instance.
	InstanceName string
}

// ColdLimiter limits this instance's requests to cold servers.
type ColdLimiter struct {
	config Config

	mu      sync.Mutex
	servers map[pollencatalog.Incarnation]*bucket
}

// senderRateShare is the share of a server's cold rate that its sender uses. While one instance does not know another
// yet, both may consider themselves the sender; together they send at 1.4 times the rate. A cold server may get at
// most 1.5 times its rate plus five requests in any second, as TestColdServerStaysWithinRate checks.
const senderRateShare = 0.7

// bucket is a token bucket with a capacity of one request.
type bucket struct {
	nextSend time.Time
}

// New returns a ColdLimiter without counted requests.
func New(config Config) *ColdLimiter {
	return &ColdLimiter{config: config, servers: make(map[pollencatalog.Incarnation]*bucket)}
}

// Allows reports whether a request may be sent to a server now, without counting it.
func (l *ColdLimiter) Allows(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) bool {
	return l.checkRate(server, table, now, false)
}

// TryAcquire reports whether a request may be sent to a server now, and counts it if so.
func (l *ColdLimiter) TryAcquire(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) bool {
	return l.checkRate(server, table, now, true)
}

// Holds reports whether a server is cold and may not be sent a request now. Unlike Allows, it does not begin to count the time for a
// server that was not asked for before.
func (l *ColdLimiter) Holds(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) bool {
	if _, limited := l.interval(server, table, now); !limited {
		return false
	}
	if sender := Sender(table.Senders(), server); sender != "" && sender != l.config.InstanceName {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.servers[server.Incarnation()]
	return !ok || now.Before(b.nextSend)
}

// interval returns the time between two requests to a cold server, or false if the server is not limited.
func (l *ColdLimiter) interval(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) (time.Duration, bool) {
	if !server.Cold(now) || table.Configuration() == nil {
		return 0, false
	}
	rate := table.Configuration().Services[server.Service].ColdRate
	if rate <= 0 {
		return 0, false
	}
	return time.Duration(float64(time.Second) / (rate * senderRateShare)), true
}

// checkRate reports whether a request may be sent to a server now, and counts it if acquire is set.
func (l *ColdLimiter) checkRate(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time, acquire bool) bool {
	interval, limited := l.interval(server, table, now)
	if !limited {
		return true
	}
	if sender := Sender(table.Senders(), server); sender != "" && sender != l.config.InstanceName {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := server.Incarnation()
	b, ok := l.servers[key]
	if !ok {
		// The previous sender may have just sent a request.
		l.servers[key] = &bucket{nextSend: now.Add(interval)}
		return false
	}
	if now.Before(b.nextSend) {
		return false
	}
	if acquire {
		b.nextSend = now.Add(interval)
	}
	return true
}

// Prune removes the servers that the table no longer holds.
func (l *ColdLimiter) Prune(table *pollencatalog.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := table.Incarnations()
	for incarnation := range l.servers {
		if !known[incarnation] {
			delete(l.servers, incarnation)
		}
	}
}

// Sender returns the name of the instance that sends to a server while it is cold, empty if there are no instances.
func Sender(instances []pollencatalog.Instance, server *pollencatalog.Server) string {
	first, _ := pollencatalog.FirstByRank(instances, server.ID)
	return first.Name
}
