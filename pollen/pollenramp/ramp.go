package pollenramp

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenline.example/pollen/pollencatalog"
)

// Config configures a Ramp.
type Config struct {
	// Self is the name of this instance.
	Self string
}

// Ramp decides whether this instance may send a request to a cold server.
type Ramp struct {
	config Config

	mu      sync.Mutex
	servers map[pollencatalog.Incarnation]*bucket
}

// rateMargin keeps two instances that both take themselves for the sender, while one of them has not heard of the
// other, within one and a half times the rate.
const rateMargin = 0.7

// bucket allows one request at a time.
type bucket struct {
	next time.Time
}

// New returns a Ramp.
func New(config Config) *Ramp {
	return &Ramp{config: config, servers: make(map[pollencatalog.Incarnation]*bucket)}
}

// May reports whether a request may be sent to a server now.
func (r *Ramp) May(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) bool {
	return r.decide(server, table, now, false)
}

// Take is May, and counts the request if it may be sent.
func (r *Ramp) Take(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) bool {
	return r.decide(server, table, now, true)
}

func (r *Ramp) decide(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time, count bool) bool {
	if !server.Cold(now) || table.Configuration() == nil {
		return true
	}
	rate := table.Configuration().Services[server.Service].ColdRate
	if rate <= 0 {
		return true
	}
	if sender := Sender(table.Instances(), server); sender != "" && sender != r.config.Self {
		return false
	}
	interval := time.Duration(float64(time.Second) / (rate * rateMargin))
	r.mu.Lock()
	defer r.mu.Unlock()
	key := server.Incarnation()
	b, ok := r.servers[key]
	if !ok {
		// The sender before this one may have just used its turn.
		r.servers[key] = &bucket{next: now.Add(interval)}
		return false
	}
	if now.Before(b.next) {
		return false
	}
	if count {
		b.next = now.Add(interval)
	}
	return true
}

// Forget drops the servers that the table no longer names.
func (r *Ramp) Forget(table *pollencatalog.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	named := table.Incarnations()
	for incarnation := range r.servers {
		if !named[incarnation] {
			delete(r.servers, incarnation)
		}
	}
}

// Sender returns the instance that sends to a server while it is cold, empty if there is none.
func Sender(instances []pollencatalog.Instance, server *pollencatalog.Server) string {
	name, highest := "", uint64(0)
	for _, i := range instances {
		if hash := xxhash.Sum64String(i.Name + "/" + server.ID); name == "" || hash > highest {
			name, highest = i.Name, hash
		}
	}
	return name
}
