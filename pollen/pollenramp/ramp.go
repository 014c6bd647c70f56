package pollenramp

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenline.example/pollen/pollencatalog"
)

// Config identifies the instance that uses a Ramp.
type Config struct {
	// InstanceName is the name of this instance.
	InstanceName string
}

// Ramp limits this instance's requests to cold servers.
type Ramp struct {
	config Config

	mu      sync.Mutex
	servers map[pollencatalog.Incarnation]*bucket
}

// rateMargin keeps two instances within one and a half times the rate while both consider themselves the sender,
// because one does not know the other yet.
const rateMargin = 0.7

// bucket is a token bucket with a capacity of one request.
type bucket struct {
	nextSend time.Time
}

// New returns a Ramp that has sent no requests.
func New(config Config) *Ramp {
	return &Ramp{config: config, servers: make(map[pollencatalog.Incarnation]*bucket)}
}

// Allows reports whether a request may be sent to a server now, without counting it.
func (r *Ramp) Allows(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) bool {
	return r.checkRate(server, table, now, false)
}

// TryAcquire reports whether a request may be sent to a server now, and counts it if so.
func (r *Ramp) TryAcquire(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) bool {
	return r.checkRate(server, table, now, true)
}

// checkRate reports whether a request may be sent to a server now, and counts it if acquire is set.
func (r *Ramp) checkRate(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time, acquire bool) bool {
	if !server.Cold(now) || table.Configuration() == nil {
		return true
	}
	rate := table.Configuration().Services[server.Service].ColdRate
	if rate <= 0 {
		return true
	}
	if sender := Sender(table.Instances(), server); sender != "" && sender != r.config.InstanceName {
		return false
	}
	interval := time.Duration(float64(time.Second) / (rate * rateMargin))
	r.mu.Lock()
	defer r.mu.Unlock()
	key := server.Incarnation()
	b, ok := r.servers[key]
	if !ok {
		// The previous sender may have just sent a request.
		r.servers[key] = &bucket{nextSend: now.Add(interval)}
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
func (r *Ramp) Prune(table *pollencatalog.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := table.Incarnations()
	for incarnation := range r.servers {
		if !known[incarnation] {
			delete(r.servers, incarnation)
		}
	}
}

// Sender returns the name of the instance that sends to a server while it is cold, empty if there are no instances.
func Sender(instances []pollencatalog.Instance, server *pollencatalog.Server) string {
	name, highest := "", uint64(0)
	for _, i := range instances {
		if hash := xxhash.Sum64String(i.Name + "/" + server.ID); name == "" || hash > highest {
			name, highest = i.Name, hash
		}
	}
	return name
}
