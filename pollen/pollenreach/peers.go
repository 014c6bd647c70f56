package pollenreach

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pollenline.example/pollen/pollencatalog"
)

// Peers chooses the instances that take the requests of one that is cut off from the servers.
type Peers struct {
	mu     sync.Mutex
	random *rand.Rand
	// peers holds what is known of other instances, by name.
	peers map[string]*peer
}

// peer is what is known of one other instance.
type peer struct {
	// inFlight is the number of requests that it has taken and not answered.
	inFlight int
	// unavailableUntil is until when it is not chosen.
	unavailableUntil time.Time
}

// NewPeers returns Peers that know no instance.
func NewPeers(random *rand.Rand) *Peers { return &Peers{random: random, peers: make(map[string]*peer)} }

// unavailability is how long an instance is not chosen after it could not be reached or was cut off itself.
const unavailability = time.Second

// Choose returns the instance that takes the next request, or false if none is available.
//
// Load pattern: most instances of a zone, or of all zones, are cut off at once and pass all their requests on. Of two random
// instances the one that takes fewer requests for its processor share is chosen, in whichever zone it is, so that the load is
// spread over all that are left.
func (p *Peers) Choose(candidates []pollencatalog.Instance, tried []string, now time.Time) (pollencatalog.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	available := slices.DeleteFunc(slices.Clone(candidates), func(i pollencatalog.Instance) bool {
		return slices.Contains(tried, i.Name) || now.Before(p.peer(i.Name).unavailableUntil)
	})
	if len(available) == 0 {
		return pollencatalog.Instance{}, false
	}
	a, b := available[p.random.IntN(len(available))], available[p.random.IntN(len(available))]
	if p.load(b) < p.load(a) {
		return b, true
	}
	return a, true
}

// Begin records that an instance takes a request; End must be called after it.
func (p *Peers) Begin(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peer(name).inFlight++
}

// End records the end of a request; unavailable is set if the instance could not be reached or is cut off itself.
func (p *Peers) End(name string, unavailable bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.peer(name)
	taken.inFlight--
	if unavailable {
		taken.unavailableUntil = now.Add(unavailability)
	}
}

// Prune forgets the instances that are not in the table.
func (p *Peers) Prune(table *pollencatalog.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, known := range p.peers {
		if known.inFlight == 0 && !slices.ContainsFunc(table.Instances(), func(i pollencatalog.Instance) bool { return i.Name == name }) {
			delete(p.peers, name)
		}
	}
}

// load returns the requests that an instance has taken, for its processor share. The caller must hold the mutex.
func (p *Peers) load(instance pollencatalog.Instance) float64 {
	return float64(p.peer(instance.Name).inFlight) / max(instance.Processor, minProcessor)
}

// minProcessor is the processor share of instances that state none.
const minProcessor = 0.1

// peer returns what is known of an instance. The caller must hold the mutex.
func (p *Peers) peer(name string) *peer {
	known, ok := p.peers[name]
	if !ok {
		known = &peer{}
		p.peers[name] = known
	}
	return known
}
